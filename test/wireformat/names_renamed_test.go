package wireformat

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

// renameCase is a small source with a name of one kind. Replacing old by new in its text renames
// the name from before to after.
type renameCase struct {
	kind          string
	file          string
	source        string
	old, new      string
	before, after string
}

// A comparison that finds nothing is worth nothing: of each kind, a renamed name is reported, the
// one that is missing and the one that is not listed.
func TestRenamedNameIsReported(t *testing.T) {
	for _, c := range slices.Concat(renameCases, rpcRenameCases, placeCases()) {
		t.Run(c.kind+" in "+c.file, func(t *testing.T) {
			original := mustCollect(t, sources{c.file: c.source})
			list := original.format()
			known := original.differences(list)
			renamed := strings.Replace(c.source, c.old, c.new, 1)
			if renamed == c.source {
				t.Fatalf("the source has no %q", c.old)
			}
			var got []string
			for _, line := range mustCollect(t, sources{c.file: renamed}).differences(list) {
				if !slices.Contains(known, line) {
					got = append(got, line)
				}
			}
			missing := fmt.Sprintf("%s: %q is listed 1 times and stands in 0 places", c.kind, c.before)
			unlisted := fmt.Sprintf("%s: %q is listed 0 times and stands in 1 places", c.kind, c.after)
			if !hasPrefix(got, missing) || !hasPrefix(got, unlisted) {
				t.Errorf("got %q, want lines that begin with %q and %q", got, missing, unlisted)
			}
		})
	}
}

// Every kind on the list has a case above.
func TestEveryKindHasARenameCase(t *testing.T) {
	covered := map[string]bool{}
	for _, c := range slices.Concat(renameCases, rpcRenameCases, placeCases()) {
		covered[baseKind(c.kind)] = true
	}
	list, err := os.ReadFile(listFile)
	if err != nil {
		t.Fatal(err)
	}
	kinds := slices.Sorted(maps.Keys(parseList(string(list))))
	if len(kinds) == 0 {
		t.Fatalf("%s has no kinds", listFile)
	}
	for _, kind := range kinds {
		if !covered[baseKind(kind)] {
			t.Errorf("no case renames a name of the kind %q", kind)
		}
	}
}

// One of two equal names is renamed to a third that is listed too: the counts differ.
func TestRenameAmongEqualNamesIsReported(t *testing.T) {
	const source = "package p\ntype a struct{ X, Y int `json:\"host\"` }\n" +
		"type b struct{ Z int `json:\"host\"` }\ntype c struct{ Z int `json:\"zone\"` }\n"
	list := mustCollect(t, sources{"p/p.go": source}).format()
	renamed := strings.Replace(source, `"host"`, `"zone"`, 1)
	got := mustCollect(t, sources{"p/p.go": renamed}).differences(list)
	if len(got) != 2 || !hasPrefix(got, `JSON key, p: "host" is listed 2 times and stands in 1 places`) ||
		!hasPrefix(got, `JSON key, p: "zone" is listed 1 times and stands in 2 places`) {
		t.Errorf("got %q, want one line for each name", got)
	}
}

// A declaration that the collector names and does not find is a fault, not an empty kind.
func TestMissingPlaceIsReported(t *testing.T) {
	for file, want := range map[string]string{
		"internal/gateway/g.go":    "internal/gateway.machineState",
		"internal/job/j.go":        "internal/job.requiredFields",
		"internal/statekv/k.go":    "internal/statekv.RootPrefix",
		"internal/rollout/r.go":    "internal/rollout.FeatureGates",
		"internal/logline/l.go":    "internal/logline.Renames",
		"tools/scaletest/s.go":     "tools/scaletest.LoadPlan",
		"tools/devcluster/c.go":    "tools/devcluster.Response",
		"internal/controller/c.go": "internal/controller has no function that registers services",
	} {
		got := mustCollect(t, sources{file: "package p\n"}).differences("")
		if !hasPrefix(got, want) {
			t.Errorf("%s: got %q, want a line that begins with %q", file, got, want)
		}
	}
}

// mustCollect gathers the names in sources that parse.
func mustCollect(t *testing.T, files sources) *collection {
	t.Helper()
	m, err := parseModule(files)
	if err != nil {
		t.Fatal(err)
	}
	return collect(m)
}

// hasPrefix reports whether one of the lines begins with prefix.
func hasPrefix(lines []string, prefix string) bool {
	return slices.ContainsFunc(lines, func(line string) bool { return strings.HasPrefix(line, prefix) })
}

// baseKind is a kind without the package, the command or the file that it is listed for.
func baseKind(kind string) string {
	kind, _, _ = strings.Cut(kind, ", ")
	for _, common := range []string{"flag of ", "key of deploy/"} {
		if strings.HasPrefix(kind, common) {
			return common
		}
	}
	return kind
}

// placeCases has a case for each named declaration of the collector.
func placeCases() []renameCase {
	var cases []renameCase
	for _, place := range places {
		source := "package p\nvar " + place.declaration + " = \"before\"\n"
		if receiver, method, ok := strings.Cut(place.declaration, "."); ok {
			source = fmt.Sprintf("package p\ntype %s int\nfunc (%[1]s) %s() string { return \"before\" }\n",
				receiver, method)
		}
		cases = append(cases, renameCase{
			place.kind, place.pkg + "/p.go", source, `"before"`, `"after"`, "before", "after",
		})
	}
	return cases
}
