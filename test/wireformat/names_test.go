package wireformat

import (
	"os"
	"testing"
)

// moduleRoot is the directory of the module, and listFile the list of outer names, both seen
// from this package.
const (
	moduleRoot = "../.."
	listFile   = "outer-names.txt"
)

// Every name that leaves a process is on the list, and every name on the list still stands where
// it leaves the process. Without this check a rename of a Go identifier, a tag or a constant can
// change what other processes, operators and stored data rely on. The list is written anew with
// UPDATE_GOLDEN=1, which is right only where a name is meant to change.
func TestOuterNamesAreListed(t *testing.T) {
	files, err := readSources(moduleRoot)
	if err != nil {
		t.Fatal(err)
	}
	m, err := parseModule(files)
	if err != nil {
		t.Fatal(err)
	}
	names := collect(m)
	if Updating() {
		if err := os.WriteFile(listFile, []byte(names.format()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	list, err := os.ReadFile(listFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, difference := range names.differences(string(list)) {
		t.Error(difference)
	}
	if t.Failed() {
		t.Log("Names on the list keep their outer form: a renamed field of JSON or TOML gets a tag with the outer " +
			"name, a renamed constant keeps its value; gob and net/rpc take Go names, which cannot change. " +
			"A declaration that the collector itself names is renamed in these tests too.")
	}
}
