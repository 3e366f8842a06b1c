package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// historyPages keep the paths of their day.
var historyPages = []string{"measurements.md", "ROADMAP.md"}

// goFile is a Go file, with or without folders before it.
var goFile = regexp.MustCompile(`^[\w./-]+\.go$`)

// Every Go file and every folder in backticks on the pages exists, but on those about the
// past and in the list of former names.
func TestPagesNamePathsThatExist(t *testing.T) {
	files := goFileNames(t)
	checked := 0
	for _, page := range currentPages(t) {
		text, _, _ := strings.Cut(readPage(t, page), sectionOfFormerNames)
		for _, match := range quoted.FindAllStringSubmatch(text, -1) {
			code := match[1]
			switch {
			case sourcePath.MatchString(code), goFile.MatchString(code) && strings.Contains(code, "/"):
				checked++
				if _, err := os.Stat(filepath.Join(moduleRoot, code)); err != nil {
					t.Errorf("%s names %s: %v", page, code, err)
				}
			case goFile.MatchString(code):
				checked++
				if !files[code] {
					t.Errorf("%s names %s: no folder has such a file", page, code)
				}
			}
		}
	}
	const fewest = 40 // paths that are not recognized any more would pass unseen
	if checked < fewest {
		t.Errorf("only %d paths were checked, at least %d are expected", checked, fewest)
	}
}

// fileOfPage is a file beside the code that is no name of a package's: a page, or data.
var fileOfPage = regexp.MustCompile(`\.(md|json|toml|golden|go)$`)

// testFunction is the name of a test.
var testFunction = regexp.MustCompile(`^Test[A-Z]\w*$`)

// Every test, and every name qualified by a package of the module, that stands in backticks
// on the pages is declared, but on those about the past and in the list of former names.
func TestPagesNameWhatIsDeclared(t *testing.T) {
	declared, tests := declarations(t), testFunctions(t)
	checked := 0
	for _, page := range currentPages(t) {
		text, _, _ := strings.Cut(readPage(t, page), sectionOfFormerNames)
		for _, match := range quoted.FindAllStringSubmatch(text, -1) {
			code := match[1]
			name := qualified.FindStringSubmatch(code)
			switch {
			case testFunction.MatchString(code):
				checked++
				if !tests[code] {
					t.Errorf("%s names %s, which is no test", page, code)
				}
			case name != nil && declared.packages[name[1]] && !fileOfPage.MatchString(code):
				checked++
				if !declared.names[name[1]+name[2]] {
					t.Errorf("%s names %s, which is not declared", page, code)
				}
			}
		}
	}
	const fewest = 100 // names that are not recognized any more would pass unseen
	if checked < fewest {
		t.Errorf("only %d names were checked, at least %d are expected", checked, fewest)
	}
}

// testFunctions returns the names of all tests of the module.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	tests := map[string]bool{}
	err := filepath.WalkDir(moduleRoot, func(file string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(file, "_test.go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, decl := range parsed.Decls {
			if function, ok := decl.(*ast.FuncDecl); ok && function.Recv == nil {
				tests[function.Name.Name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return tests
}

// currentPages lists the pages that speak of the present, as paths in the module.
func currentPages(t *testing.T) []string {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join(moduleRoot, "docs"))
	if err != nil {
		t.Fatal(err)
	}
	pages := []string{"README.md"}
	for _, entry := range entries {
		if filepath.Ext(entry.Name()) == ".md" && !slices.Contains(historyPages, entry.Name()) {
			pages = append(pages, "docs/"+entry.Name())
		}
	}
	return pages
}

// goFileNames returns the names of all Go files of the module, without their folders.
func goFileNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(moduleRoot, func(_ string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(entry.Name()) == ".go" {
			names[entry.Name()] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
