package wireformat

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

// renameCase is a small source file with a name of one kind. Replacing oldText by newText in the
// file renames oldName to newName.
type renameCase struct {
	kind             string
	file             string
	source           string
	oldText, newText string
	oldName, newName string
}

// Guards against a collector that silently misses a kind of name: for each kind, renaming a name
// must report both the missing old name and the unlisted new name.
func TestRenamedNameIsReported(t *testing.T) {
	for _, c := range slices.Concat(renameCases, rpcRenameCases, namedDeclarationCases()) {
		t.Run(c.kind+" in "+c.file, func(t *testing.T) {
			original := mustCollect(t, sources{c.file: c.source})
			list := original.format()
			known := original.differences(list)
			renamed := strings.Replace(c.source, c.oldText, c.newText, 1)
			if renamed == c.source {
				t.Fatalf("the source does not contain %q", c.oldText)
			}
			var got []string
			for _, line := range mustCollect(t, sources{c.file: renamed}).differences(list) {
				if !slices.Contains(known, line) {
					got = append(got, line)
				}
			}
			missing := fmt.Sprintf("%s: %q is listed 1 times and occurs 0 times", c.kind, c.oldName)
			unlisted := fmt.Sprintf("%s: %q is listed 0 times and occurs 1 times", c.kind, c.newName)
			if !anyHasPrefix(got, missing) || !anyHasPrefix(got, unlisted) {
				t.Errorf("got %q, want lines that begin with %q and %q", got, missing, unlisted)
			}
		})
	}
}

// Guards against a kind of name whose collector no case tests.
func TestEveryKindHasRenameCase(t *testing.T) {
	covered := map[string]bool{}
	for _, c := range slices.Concat(renameCases, rpcRenameCases, namedDeclarationCases()) {
		covered[baseKind(c.kind)] = true
	}
	list, err := os.ReadFile(listFile)
	if err != nil {
		t.Fatal(err)
	}
	kinds := slices.Sorted(maps.Keys(parseList(string(list))))
	if len(kinds) == 0 {
		t.Fatalf("%s contains no kinds of names", listFile)
	}
	for _, kind := range kinds {
		if !covered[baseKind(kind)] {
			t.Errorf("the kind %q has no rename case", kind)
		}
	}
}

// Guards against a rename that only shifts the counts: one of two equal names is renamed to another
// name that is already listed.
func TestRenameAmongEqualNamesIsReported(t *testing.T) {
	const source = "package p\ntype a struct{ X, Y int `json:\"host\"` }\n" +
		"type b struct{ Z int `json:\"host\"` }\ntype c struct{ Z int `json:\"zone\"` }\n"
	list := mustCollect(t, sources{"p/p.go": source}).format()
	renamed := strings.Replace(source, `"host"`, `"zone"`, 1)
	got := mustCollect(t, sources{"p/p.go": renamed}).differences(list)
	if len(got) != 2 || !anyHasPrefix(got, `JSON key, p: "host" is listed 2 times and occurs 1 times`) ||
		!anyHasPrefix(got, `JSON key, p: "zone" is listed 1 times and occurs 2 times`) {
		t.Errorf("got %q, want one line for each name", got)
	}
}

// A declaration that the collector looks up by name may be renamed. The collector must report it as
// missing instead of collecting no names from it.
func TestMissingNamedDeclarationIsReported(t *testing.T) {
	for file, want := range map[string]string{
		"internal/gateway/g.go":    "internal/gateway.machineState",
		"internal/job/j.go":        "internal/job.requiredFields",
		"internal/statekv/k.go":    "internal/statekv.RootPrefix",
		"internal/rollout/r.go":    "internal/rollout.FeatureGates",
		"internal/logline/l.go":    "internal/logline.Renames",
		"tools/scaletest/s.go":     "tools/scaletest.LoadPlan",
		"tools/devcluster/c.go":    "tools/devcluster.Response",
		"internal/controller/c.go": "internal/controller has no function that calls RegisterName to register services",
	} {
		got := mustCollect(t, sources{file: "package p\n"}).differences("")
		if !anyHasPrefix(got, want) {
			t.Errorf("%s: got %q, want a line that begins with %q", file, got, want)
		}
	}
}

// mustCollect collects the names in sources, which must parse.
func mustCollect(t *testing.T, files sources) *collection {
	t.Helper()
	m, err := parseModule(files)
	if err != nil {
		t.Fatal(err)
	}
	return collect(m)
}

// anyHasPrefix reports whether one of the lines begins with prefix.
func anyHasPrefix(lines []string, prefix string) bool {
	return slices.ContainsFunc(lines, func(line string) bool { return strings.HasPrefix(line, prefix) })
}

// baseKind returns a kind without the package, command or file that it is listed for.
func baseKind(kind string) string {
	kind, _, _ = strings.Cut(kind, ", ")
	for _, common := range []string{"flag of ", "key of deploy/"} {
		if strings.HasPrefix(kind, common) {
			return common
		}
	}
	return kind
}

// namedDeclarationCases returns a case for each of namedDeclarations.
func namedDeclarationCases() []renameCase {
	var cases []renameCase
	for _, entry := range namedDeclarations {
		source := "package p\nvar " + entry.declaration + " = \"before\"\n"
		if receiver, method, ok := strings.Cut(entry.declaration, "."); ok {
			source = fmt.Sprintf("package p\ntype %s int\nfunc (%[1]s) %s() string { return \"before\" }\n",
				receiver, method)
		}
		cases = append(cases, renameCase{
			entry.kind, entry.pkg + "/p.go", source, `"before"`, `"after"`, "before", "after",
		})
	}
	return cases
}
