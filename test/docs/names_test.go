// Package docs checks that the pages about the code speak of code that exists. It has
// only tests and keeps no state.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// moduleRoot is the module's directory, seen from this package's.
const moduleRoot = "../.."

// architecturePage is the page whose names are checked; sectionOfFormerNames is its last
// part, which lists names that are no more.
const (
	architecturePage     = "docs/ARCHITECTURE.md"
	sectionOfFormerNames = "\n## Former names"
)

// quoted matches code in backticks, qualified a name such as scheduler.Scheduler.Run, and
// sourcePath a file or folder of the module.
var (
	quoted     = regexp.MustCompile("`([^`\n]+)`")
	qualified  = regexp.MustCompile(`^([a-z]+)((?:\.[A-Za-z]\w*){1,2})(?:\(\))?$`)
	sourcePath = regexp.MustCompile(`^(?:cmd|deploy|docs|emulator|internal|test|tools)/[\w./-]*$`)
)

// Every name and path in backticks on the architecture page exists in the sources.
func TestArchitecturePageNamesWhatExists(t *testing.T) {
	text, _, found := strings.Cut(readPage(t, architecturePage), sectionOfFormerNames)
	if !found {
		t.Errorf("%s has no section %q", architecturePage, strings.TrimSpace(sectionOfFormerNames))
	}
	declared := declarations(t)
	checked := 0
	for _, match := range quoted.FindAllStringSubmatch(text, -1) {
		switch code := match[1]; {
		case sourcePath.MatchString(code):
			checked++
			if _, err := os.Stat(filepath.Join(moduleRoot, code)); err != nil {
				t.Errorf("%s names %s: %v", architecturePage, code, err)
			}
		case qualified.MatchString(code):
			parts := qualified.FindStringSubmatch(code)
			if !declared.packages[parts[1]] {
				continue // not a package of this module: a host, a file name, a field of JSON
			}
			checked++
			if !declared.names[parts[1]+parts[2]] {
				t.Errorf("%s names %s, which is not declared", architecturePage, code)
			}
		}
	}
	const fewest = 60 // a page whose names are not recognized any more would pass unseen
	if checked < fewest {
		t.Errorf("only %d names and paths were checked, at least %d are expected", checked, fewest)
	}
}

// readPage returns the text of a page, given as a path in the module.
func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(moduleRoot, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// declared lists what packages of the module declare: "package.Name" for what stands at
// the top, "package.Type.Name" for methods and fields.
type declared struct {
	packages map[string]bool
	names    map[string]bool
}

func declarations(t *testing.T) declared {
	t.Helper()
	d := declared{packages: map[string]bool{}, names: map[string]bool{}}
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != moduleRoot && strings.HasPrefix(entry.Name(), ".") {
			return filepath.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		d.add(file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (d declared) add(file *ast.File) {
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

// receiver is "." and the type that a method belongs to, or "" for a function.
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

func (d declared) addSpec(pkg string, spec ast.Spec) {
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

func (d declared) addMembers(typeName string, typ ast.Expr) {
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
