package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// historicalPages describe past states of the module and may name paths that no longer exist.
var historicalPages = []string{"measurements.md", "ROADMAP.md"}

// goFilePath matches the name of a Go file, with or without directories.
var goFilePath = regexp.MustCompile(`^[\w./-]+\.go$`)

// The pages must not go out of date when files are moved or renamed: every Go file and directory in
// backticks must exist. Historical pages and the page of former names are not checked.
func TestPagesNameExistingPaths(t *testing.T) {
	files := goFileNames(t)
	checked := 0
	for _, page := range currentPages(t) {
		for _, match := range codeSpan.FindAllStringSubmatch(readPage(t, page), -1) {
			code := match[1]
			switch {
			case sourcePath.MatchString(code), goFilePath.MatchString(code) && strings.Contains(code, "/"):
				checked++
				if _, err := os.Stat(filepath.Join(moduleRoot, code)); err != nil {
					t.Errorf("%s names the path %s, which cannot be found: %v", page, code, err)
				}
			case goFilePath.MatchString(code):
				checked++
				if !files[code] {
					t.Errorf("%s names the file %s, which no directory contains", page, code)
				}
			}
		}
	}
	const minChecked = 40 // guards against patterns that no longer match the pages
	if checked < minChecked {
		t.Errorf("checked %d paths, want at least %d", checked, minChecked)
	}
}

// fileName matches file names, which otherwise look like qualified identifiers (job.go).
var fileName = regexp.MustCompile(`\.(md|json|toml|golden|go)$`)

// testFunction matches the name of a test function.
var testFunction = regexp.MustCompile(`^Test[A-Z]\w*$`)

// The pages must not go out of date when code is renamed: every test function and every identifier
// qualified by a package of the module, in backticks, must be declared. Historical pages and the
// page of former names are not checked.
func TestPagesNameDeclaredIdentifiers(t *testing.T) {
	declared, tests := indexDeclarations(t), testFunctions(t)
	checked := 0
	for _, page := range currentPages(t) {
		for _, match := range codeSpan.FindAllStringSubmatch(readPage(t, page), -1) {
			code := match[1]
			name := qualifiedName.FindStringSubmatch(code)
			switch {
			case testFunction.MatchString(code):
				checked++
				if !tests[code] {
					t.Errorf("%s names the test %s, which is not declared", page, code)
				}
			case name != nil && declared.packages[name[1]] && !fileName.MatchString(code):
				checked++
				if !declared.names[name[1]+name[2]] {
					t.Errorf("%s names %s, which is not declared", page, code)
				}
			}
		}
	}
	const minChecked = 100 // guards against patterns that no longer match the pages
	if checked < minChecked {
		t.Errorf("checked %d names, want at least %d", checked, minChecked)
	}
}

// testFunctions returns the names of all functions in the module's test files.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	tests := map[string]bool{}
	for _, file := range moduleFiles(t) {
		if !strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range parsed.Decls {
			if function, ok := decl.(*ast.FuncDecl); ok && function.Recv == nil {
				tests[function.Name.Name] = true
			}
		}
	}
	return tests
}

// currentPages lists the pages that describe the present state, relative to the module root: the
// README and the pages in docs itself. Pages in its subdirectories, such as formerNamesPage, are
// records of earlier states.
func currentPages(t *testing.T) []string {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join(moduleRoot, "docs"))
	if err != nil {
		t.Fatal(err)
	}
	pages := []string{"README.md"}
	for _, entry := range entries {
		if filepath.Ext(entry.Name()) == ".md" && !slices.Contains(historicalPages, entry.Name()) {
			pages = append(pages, "docs/"+entry.Name())
		}
	}
	return pages
}

// goFileNames returns the base names of all Go files of the module.
func goFileNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, file := range moduleFiles(t) {
		if filepath.Ext(file) == ".go" {
			names[filepath.Base(file)] = true
		}
	}
	return names
}
