package docs

import (
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// modulePath is the prefix of the import paths of the module's packages.
const modulePath = "robinstack/"

// diagramLine matches the first line of a diagram entry: an optional level, a comma-separated list
// of packages, and the packages that they import.
var diagramLine = regexp.MustCompile(`^    (\d| )  ([a-z, ]+?) *(?:-> (.*))?$`)

// continuationLine matches a line that continues the imports of the entry above it.
var continuationLine = regexp.MustCompile(`^ {20,}([a-z ]+)$`)

// diagramEntry is the level and the imports that the diagram shows for one package.
type diagramEntry struct {
	level   int
	imports []string
}

// The import diagram on the architecture page is written by hand. It must show every package at its
// level, with all its imports from the module.
func TestDiagramMatchesImports(t *testing.T) {
	diagram := parseDiagram(t, readPage(t, architecturePage))
	imports := moduleImports(t)
	for name, want := range imports {
		shown, ok := diagram[name]
		if !ok {
			t.Errorf("the diagram does not show package %s", name)
			continue
		}
		slices.Sort(shown.imports)
		if !slices.Equal(shown.imports, want) {
			t.Errorf("imports of %s in the diagram: got %v, want %v", name, shown.imports, want)
		}
		if level := levelOf(name, imports); shown.level != level {
			t.Errorf("level of %s in the diagram: got %d, want %d", name, shown.level, level)
		}
	}
	for name := range diagram {
		if _, ok := imports[name]; !ok {
			t.Errorf("the diagram shows package %s, which does not exist", name)
		}
	}
}

// parseDiagram returns the entries of the diagram, keyed by the last element of the import path.
func parseDiagram(t *testing.T, page string) map[string]*diagramEntry {
	t.Helper()
	diagram := map[string]*diagramEntry{}
	level := 0
	var lastPackages []string // packages of the entry that a continuation line extends
	for line := range strings.Lines(page) {
		line = strings.TrimRight(line, "\n")
		if more := continuationLine.FindStringSubmatch(line); more != nil {
			for _, name := range lastPackages {
				diagram[name].imports = append(diagram[name].imports, strings.Fields(more[1])...)
			}
			continue
		}
		lastPackages = nil
		parts := diagramLine.FindStringSubmatch(line)
		if parts == nil {
			continue
		}
		if n, err := strconv.Atoi(parts[1]); err == nil {
			level = n
		}
		for name := range strings.SplitSeq(parts[2], ",") {
			name = strings.TrimSpace(name)
			diagram[name] = &diagramEntry{level: level, imports: strings.Fields(parts[3])}
			lastPackages = append(lastPackages, name)
		}
	}
	return diagram
}

// moduleImports returns, for each package outside the directory test, the packages of the module
// that it imports. Packages are named by the last element of their import path; test files are
// ignored.
func moduleImports(t *testing.T) map[string][]string {
	t.Helper()
	sets := map[string]map[string]bool{}
	for _, top := range []string{"cmd", "emulator", "internal", "tools"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, top), func(file string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go") {
				return err
			}
			name := filepath.Base(filepath.Dir(file))
			if sets[name] == nil {
				sets[name] = map[string]bool{}
			}
			return addImports(file, sets[name])
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	imports := map[string][]string{}
	for name, set := range sets {
		imports[name] = slices.Sorted(maps.Keys(set))
	}
	return imports
}

// addImports adds the module packages that a file imports to set.
func addImports(file string, set map[string]bool) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		return err
	}
	for _, spec := range parsed.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return err
		}
		if strings.HasPrefix(imported, modulePath) {
			set[path.Base(imported)] = true
		}
	}
	return nil
}

// levelOf returns the length of the longest import chain that starts at a package: 0 for a package
// that imports nothing from the module.
func levelOf(name string, imports map[string][]string) int {
	level := 0
	for _, imported := range imports[name] {
		level = max(level, 1+levelOf(imported, imports))
	}
	return level
}
