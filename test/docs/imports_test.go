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

// modulePath begins the import paths of the module's packages.
const modulePath = "robinstack/"

// diagramLine is a line of the diagram: level, packages, what they import.
var diagramLine = regexp.MustCompile(`^    (\d| )  ([a-z, ]+?) *(?:-> (.*))?$`)

// continuation is a further line of a package's imports.
var continuation = regexp.MustCompile(`^ {20,}([a-z ]+)$`)

// drawn is what the diagram says of one package.
type drawn struct {
	level   int
	imports []string
}

// The diagram on the architecture page shows all packages, at their levels, with all their
// imports from the module.
func TestDiagramShowsTheImports(t *testing.T) {
	diagram := parseDiagram(t, readPage(t, architecturePage))
	imports := moduleImports(t)
	for name, want := range imports {
		shown, ok := diagram[name]
		if !ok {
			t.Errorf("the diagram does not show %s", name)
			continue
		}
		slices.Sort(shown.imports)
		if !slices.Equal(shown.imports, want) {
			t.Errorf("%s: the diagram shows the imports %v; they are %v", name, shown.imports, want)
		}
		if level := levelOf(name, imports); shown.level != level {
			t.Errorf("%s: the diagram shows level %d; it is %d", name, shown.level, level)
		}
	}
	for name := range diagram {
		if _, ok := imports[name]; !ok {
			t.Errorf("the diagram shows %s, which does not exist", name)
		}
	}
}

// parseDiagram reads the lines of the diagram, by the last element of the import path.
func parseDiagram(t *testing.T, page string) map[string]*drawn {
	t.Helper()
	diagram := map[string]*drawn{}
	level := 0
	var last []string // packages of the latest line
	for line := range strings.Lines(page) {
		line = strings.TrimRight(line, "\n")
		if more := continuation.FindStringSubmatch(line); more != nil {
			for _, name := range last {
				diagram[name].imports = append(diagram[name].imports, strings.Fields(more[1])...)
			}
			continue
		}
		last = nil
		parts := diagramLine.FindStringSubmatch(line)
		if parts == nil {
			continue
		}
		if n, err := strconv.Atoi(parts[1]); err == nil {
			level = n
		}
		for name := range strings.SplitSeq(parts[2], ",") {
			name = strings.TrimSpace(name)
			diagram[name] = &drawn{level: level, imports: strings.Fields(parts[3])}
			last = append(last, name)
		}
	}
	return diagram
}

// moduleImports returns what each package outside test imports from the module, by the last
// element of the import path, without tests.
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

// addImports adds what a file imports from the module to a set.
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

// levelOf is the length of the longest chain of imports below a package.
func levelOf(name string, imports map[string][]string) int {
	level := 0
	for _, imported := range imports[name] {
		level = max(level, 1+levelOf(imported, imports))
	}
	return level
}
