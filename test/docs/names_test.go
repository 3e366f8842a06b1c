// Package docs checks that the documentation names only code and paths that exist. It contains only
// tests and has no state.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"robinstack/test/sourcetree"
)

// moduleRoot is the root directory of the module, relative to this package.
const moduleRoot = "../.."

// architecturePage is the page whose names are checked. formerNamesPage must contain a section that
// starts with formerNamesHeading. It lists names that no longer exist, so its names are not checked.
const (
	architecturePage   = "docs/ARCHITECTURE.md"
	formerNamesPage    = "docs/readability/names.md"
	formerNamesHeading = "\n## Former names\n"
)

// codeSpan matches code in backticks, qualifiedName an identifier with its package, such as
// scheduler.Scheduler.Run, and sourcePath a file or directory of the module.
var (
	codeSpan      = regexp.MustCompile("`([^`\n]+)`")
	qualifiedName = regexp.MustCompile(`^([a-z]+)((?:\.[A-Za-z]\w*){1,2})(?:\(\))?$`)
	sourcePath    = regexp.MustCompile(`^(?:cmd|deploy|docs|emulator|internal|test|tools)/[\w./-]*$`)
)

// The architecture page must not go out of date when code is renamed or moved: every qualified
// identifier and every path in backticks on it must exist.
func TestArchitecturePageNamesExistingCode(t *testing.T) {
	text := readPage(t, architecturePage)
	declared := indexDeclarations(t)
	checked := 0
	for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
		switch code := match[1]; {
		case sourcePath.MatchString(code):
			checked++
			if _, err := os.Stat(filepath.Join(moduleRoot, code)); err != nil {
				t.Errorf("%s names the path %s, which cannot be found: %v", architecturePage, code, err)
			}
		case qualifiedName.MatchString(code):
			parts := qualifiedName.FindStringSubmatch(code)
			if !declared.packages[parts[1]] {
				continue // not a package of this module: a host, a file name or a JSON field
			}
			checked++
			if !declared.names[parts[1]+parts[2]] {
				t.Errorf("%s names %s, which is not declared", architecturePage, code)
			}
		}
	}
	const minChecked = 60 // guards against patterns that no longer match the page
	if checked < minChecked {
		t.Errorf("checked %d names and paths, want at least %d", checked, minChecked)
	}
}

// Readers who meet a former name must find its current one: the page of former names must exist,
// contain its section, and be linked from the architecture page.
func TestFormerNamesAreListed(t *testing.T) {
	if !strings.Contains(readPage(t, formerNamesPage), formerNamesHeading) {
		t.Errorf("%s has no section %q", formerNamesPage, strings.TrimSpace(formerNamesHeading))
	}
	link := "(" + strings.TrimPrefix(formerNamesPage, "docs/") + ")"
	if !strings.Contains(readPage(t, architecturePage), link) {
		t.Errorf("%s has no link %s", architecturePage, link)
	}
}

// readPage returns the text of a page; page is relative to the module root.
func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(moduleRoot, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// declarationIndex lists the declarations of the module's packages: "package.Name" for
// package-level declarations, "package.Type.Name" for methods and fields.
type declarationIndex struct {
	packages map[string]bool
	names    map[string]bool
}

// moduleFiles returns the paths of the module's files.
func moduleFiles(t *testing.T) []string {
	t.Helper()
	files, err := sourcetree.Files(moduleRoot)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func indexDeclarations(t *testing.T) declarationIndex {
	t.Helper()
	d := declarationIndex{packages: map[string]bool{}, names: map[string]bool{}}
	for _, path := range moduleFiles(t) {
		if filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		d.addFile(file)
	}
	return d
}

func (d declarationIndex) addFile(file *ast.File) {
	pkg := file.Name.Name
	d.packages[pkg] = true
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			d.names[pkg+receiver(decl)+"."+decl.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				d.addSpec(pkg, spec)
			}
		}
	}
}

// receiver returns "." and the name of a method's receiver type, or "" for a function.
func receiver(decl *ast.FuncDecl) string {
	if decl.Recv == nil {
		return ""
	}
	typ := decl.Recv.List[0].Type
	if star, ok := typ.(*ast.StarExpr); ok {
		typ = star.X
	}
	if generic, ok := typ.(*ast.IndexExpr); ok {
		typ = generic.X
	}
	if name, ok := typ.(*ast.Ident); ok {
		return "." + name.Name
	}
	return ""
}

func (d declarationIndex) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d.names[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		d.names[pkg+"."+spec.Name.Name] = true
		d.addMembers(pkg+"."+spec.Name.Name, spec.Type)
	}
}

func (d declarationIndex) addMembers(typeName string, typ ast.Expr) {
	var fields *ast.FieldList
	switch typ := typ.(type) {
	case *ast.StructType:
		fields = typ.Fields
	case *ast.InterfaceType:
		fields = typ.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			d.names[typeName+"."+name.Name] = true
		}
	}
}
