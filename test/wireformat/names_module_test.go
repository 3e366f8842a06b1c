package wireformat

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"robinstack/test/sourcetree"
)

// modulePath is the prefix of the import paths of the module's packages.
const modulePath = "robinstack/"

// sources maps the slash-separated path of each source file, relative to the module root, to its
// contents.
type sources map[string]string

// deploymentDir is the directory whose TOML files are settings that are deployed with the program.
const deploymentDir = "deploy/"

// readSources reads the TOML files of the deployment and all Go files of the module at root except
// tests.
func readSources(root string) (sources, error) {
	paths, err := sourcetree.Files(root)
	if err != nil {
		return nil, err
	}
	files := sources{}
	for _, file := range paths {
		relative, err := filepath.Rel(root, file)
		if err != nil {
			return nil, err
		}
		relative = filepath.ToSlash(relative)
		if !isSource(relative) {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		files[relative] = string(text)
	}
	return files, nil
}

// isSource reports whether external names are collected from a file.
func isSource(file string) bool {
	if strings.HasSuffix(file, ".go") {
		return !strings.HasSuffix(file, "_test.go")
	}
	return strings.HasPrefix(file, deploymentDir) && strings.HasSuffix(file, ".toml")
}

// module holds the parsed packages of a module by directory, and its TOML files by path.
type module struct {
	packages map[string]*goPackage
	toml     map[string]string
	fset     *token.FileSet
}

// goPackage is a parsed package.
type goPackage struct {
	dir   string
	name  string
	files []*goFile
	types map[string]*typeDecl
	// initialValues holds the initial values of package-level constants and variables.
	initialValues map[string]initialValue
	methods       map[string][]*ast.FuncDecl // by receiver type
}

// goFile is a parsed file. imports maps the name of each imported package to its import path.
type goFile struct {
	pkg     *goPackage
	syntax  *ast.File
	imports map[string]string
}

// typeDecl is a type declaration.
type typeDecl struct {
	file  *goFile
	name  string
	expr  ast.Expr
	alias bool
}

// initialValue is the expression that initializes a constant or variable.
type initialValue struct {
	file  *goFile
	value ast.Expr
}

// parseModule parses all source files.
func parseModule(files sources) (*module, error) {
	m := &module{packages: map[string]*goPackage{}, toml: map[string]string{}, fset: token.NewFileSet()}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		if strings.HasSuffix(name, ".toml") {
			m.toml[name] = files[name]
			continue
		}
		syntax, err := parser.ParseFile(m.fset, name, files[name], parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		m.add(path.Dir(name), syntax)
	}
	return m, nil
}

// add indexes the declarations of one file.
func (m *module) add(dir string, syntax *ast.File) {
	p := m.packages[dir]
	if p == nil {
		p = &goPackage{
			dir:           dir,
			name:          syntax.Name.Name,
			types:         map[string]*typeDecl{},
			initialValues: map[string]initialValue{},
			methods:       map[string][]*ast.FuncDecl{},
		}
		m.packages[dir] = p
	}
	f := &goFile{pkg: p, syntax: syntax, imports: map[string]string{}}
	p.files = append(p.files, f)
	for _, spec := range syntax.Imports {
		importPath := unquote(spec.Path.Value)
		name := path.Base(importPath)
		if spec.Name != nil {
			name = spec.Name.Name
		}
		f.imports[name] = importPath
	}
	for _, decl := range syntax.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			if decl.Recv != nil {
				receiver := typeName(decl.Recv.List[0].Type)
				p.methods[receiver] = append(p.methods[receiver], decl)
			}
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				f.addSpec(spec)
			}
		}
	}
}

// addSpec indexes the declaration of a type, or of constants or variables.
func (f *goFile) addSpec(spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		f.pkg.types[spec.Name.Name] = &typeDecl{f, spec.Name.Name, spec.Type, spec.Assign.IsValid()}
	case *ast.ValueSpec:
		for i, name := range spec.Names {
			if len(spec.Values) == len(spec.Names) {
				f.pkg.initialValues[name.Name] = initialValue{f, spec.Values[i]}
			}
		}
	}
}

// function returns the declaration of a function, or of a method given as Type.Method, or nil.
func (p *goPackage) function(name string) (*goFile, *ast.FuncDecl) {
	for _, f := range p.files {
		for _, decl := range f.syntax.Decls {
			function, ok := decl.(*ast.FuncDecl)
			if !ok {
				continue
			}
			declared := function.Name.Name
			if function.Recv != nil {
				declared = typeName(function.Recv.List[0].Type) + "." + declared
			}
			if declared == name {
				return f, function
			}
		}
	}
	return nil, nil
}

// imported returns the package of this module that f imports under a name, or nil.
func (m *module) imported(f *goFile, qualifier string) *goPackage {
	importPath, inModule := strings.CutPrefix(f.imports[qualifier], modulePath)
	if !inModule {
		return nil
	}
	return m.packages[importPath]
}

// typeOf returns the declaration of a named type of this module, or nil. It resolves aliases.
func (m *module) typeOf(f *goFile, expr ast.Expr) *typeDecl {
	var found *typeDecl
	switch expr := expr.(type) {
	case *ast.StarExpr:
		return m.typeOf(f, expr.X)
	case *ast.Ident:
		found = f.pkg.types[expr.Name]
	case *ast.SelectorExpr:
		if qualifier, ok := expr.X.(*ast.Ident); ok {
			if p := m.imported(f, qualifier.Name); p != nil {
				found = p.types[expr.Sel.Name]
			}
		}
	}
	if found != nil && found.alias {
		if target := m.typeOf(found.file, found.expr); target != nil {
			return target
		}
	}
	return found
}

// stringValue evaluates a constant string expression.
func (m *module) stringValue(f *goFile, expr ast.Expr) (string, bool) {
	switch expr := expr.(type) {
	case *ast.BasicLit:
		return unquote(expr.Value), expr.Kind == token.STRING
	case *ast.ParenExpr:
		return m.stringValue(f, expr.X)
	case *ast.Ident:
		if c, ok := f.pkg.initialValues[expr.Name]; ok {
			return m.stringValue(c.file, c.value)
		}
	case *ast.SelectorExpr:
		if qualifier, ok := expr.X.(*ast.Ident); ok {
			if p := m.imported(f, qualifier.Name); p != nil {
				if c, ok := p.initialValues[expr.Sel.Name]; ok {
					return m.stringValue(c.file, c.value)
				}
			}
		}
	case *ast.BinaryExpr:
		left, leftOK := m.stringValue(f, expr.X)
		right, rightOK := m.stringValue(f, expr.Y)
		return left + right, leftOK && rightOK && expr.Op == token.ADD
	}
	return "", false
}

// unquote returns the value of a string literal, or "" for any other literal.
func unquote(literal string) string {
	value, err := strconv.Unquote(literal)
	if err != nil {
		return ""
	}
	return value
}

// typeName returns the unqualified name of a type, of the element of a pointer type, of a called
// function or of a value.
func typeName(expr ast.Expr) string {
	switch expr := expr.(type) {
	case *ast.StarExpr:
		return typeName(expr.X)
	case *ast.IndexExpr:
		return typeName(expr.X)
	case *ast.CallExpr:
		return typeName(expr.Fun)
	case *ast.SelectorExpr:
		return expr.Sel.Name
	case *ast.Ident:
		return expr.Name
	}
	return ""
}

// structTag returns the value of a key in the struct tag of a field.
func structTag(field *ast.Field, encoding string) (string, bool) {
	if field.Tag == nil {
		return "", false
	}
	return reflect.StructTag(unquote(field.Tag.Value)).Lookup(encoding)
}

// fieldNames returns the names of a struct field; an embedded field has the name of its type.
func fieldNames(field *ast.Field) []string {
	if len(field.Names) == 0 {
		return []string{typeName(field.Type)}
	}
	var names []string
	for _, name := range field.Names {
		names = append(names, name.Name)
	}
	return names
}
