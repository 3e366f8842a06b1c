package wireformat

import (
	"os"
	"testing"
)

// moduleRoot is the root directory of the module, and listFile the list of external names; both are
// relative to this package.
const (
	moduleRoot = "../.."
	listFile   = "outer-names.txt"
)

// Renaming a Go identifier, a struct tag or a constant can change a name that other processes,
// operators or stored data depend on. Every such name must be on the list, and every name on the
// list must still occur in the sources. UPDATE_GOLDEN=1 rewrites the list; use it only for an
// intended change of a name.
func TestExternalNamesAreListed(t *testing.T) {
	files, err := readSources(moduleRoot)
	if err != nil {
		t.Fatal(err)
	}
	m, err := parseModule(files)
	if err != nil {
		t.Fatal(err)
	}
	collected := collect(m)
	if UpdatingGolden() {
		if err := os.WriteFile(listFile, []byte(collected.format()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	list, err := os.ReadFile(listFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, difference := range collected.differences(string(list)) {
		t.Error(difference)
	}
	if t.Failed() {
		t.Log("Names on the list must not change: a renamed field of JSON or TOML gets a tag with the listed " +
			"name, a renamed constant keeps its value; gob and net/rpc take Go names, which cannot change. " +
			"A declaration that the collector looks up by name must be renamed in these tests too.")
	}
}
