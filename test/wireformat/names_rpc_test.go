package wireformat

import (
	"go/ast"
	"go/token"
	"regexp"
	"slices"
)

// controllerPackage is the package that registers the net/rpc services.
const controllerPackage = "internal/controller"

// collectServices collects the services that are registered with net/rpc, their methods, and the
// types and fields of their messages.
func collectServices(c *collection) {
	p := c.module.packages[controllerPackage]
	if p == nil {
		return
	}
	messages := &gobMessages{collection: c, visited: map[*typeDecl]bool{}}
	registered := false
	for _, f := range p.files {
		for _, decl := range f.syntax.Decls {
			if function, ok := decl.(*ast.FuncDecl); ok && calls(function, "RegisterName") {
				messages.addServices(f, function)
				registered = true
			}
		}
	}
	if !registered {
		c.errorf("%s has no function that calls RegisterName to register services", controllerPackage)
	}
}

// calls reports whether a function calls a function or method of this name.
func calls(function *ast.FuncDecl, method string) bool {
	found := false
	ast.Inspect(function, func(node ast.Node) bool {
		if call, ok := node.(*ast.CallExpr); ok && typeName(call.Fun) == method {
			found = true
		}
		return !found
	})
	return found
}

// addServices collects the services in the map literal of the function that registers them.
func (g *gobMessages) addServices(f *goFile, function *ast.FuncDecl) {
	ast.Inspect(function, func(node ast.Node) bool {
		pair, ok := node.(*ast.KeyValueExpr)
		if !ok {
			return true
		}
		name, ok := g.module.stringValue(f, pair.Key)
		service := g.serviceType(f, function, pair.Value)
		if !ok || service == nil {
			g.errorf("%s: cannot find the name or the type of a registered service", g.module.fset.Position(pair.Pos()))
			return true
		}
		g.add("RPC service", name, pair.Pos())
		for _, method := range service.file.pkg.methods[service.name] {
			if parameters := rpcParameters(method); parameters != nil {
				g.add("RPC method", name+"."+method.Name.Name, method.Pos())
				for _, parameter := range parameters {
					g.visit(service.file, parameter)
				}
			}
		}
		return true
	})
}

// serviceType returns the type of a registered value, which is the result of a constructor call or
// a parameter of the registering function.
func (g *gobMessages) serviceType(f *goFile, function *ast.FuncDecl, value ast.Expr) *typeDecl {
	switch value := value.(type) {
	case *ast.Ident:
		for _, parameter := range function.Type.Params.List {
			if slices.Contains(fieldNames(parameter), value.Name) {
				return g.module.typeOf(f, parameter.Type)
			}
		}
	case *ast.CallExpr:
		selector, ok := value.Fun.(*ast.SelectorExpr)
		if !ok {
			return nil
		}
		p := g.module.imported(f, typeName(selector.X))
		if p == nil {
			return nil
		}
		file, constructor := p.function(selector.Sel.Name)
		if constructor == nil || len(constructor.Type.Results.List) == 0 {
			return nil
		}
		return g.module.typeOf(file, constructor.Type.Results.List[0].Type)
	}
	return nil
}

// rpcParameters returns the types of the argument and the reply of a method that net/rpc registers,
// or nil for other methods.
func rpcParameters(method *ast.FuncDecl) []ast.Expr {
	var types []ast.Expr
	for _, field := range method.Type.Params.List {
		for range max(1, len(field.Names)) {
			types = append(types, field.Type)
		}
	}
	results := method.Type.Results
	if !method.Name.IsExported() || len(types) != 2 || results == nil || len(results.List) != 1 {
		return nil
	}
	if _, pointer := types[1].(*ast.StarExpr); !pointer || typeName(results.List[0].Type) != "error" {
		return nil
	}
	return types
}

// gobMessages collects the names that gob writes for the types of messages.
type gobMessages struct {
	*collection
	visited map[*typeDecl]bool
}

// visit collects the names of a type and of the types that it contains.
func (g *gobMessages) visit(f *goFile, expr ast.Expr) {
	switch typ := expr.(type) {
	case *ast.StarExpr:
		g.visit(f, typ.X)
	case *ast.ArrayType:
		g.visit(f, typ.Elt)
	case *ast.MapType:
		g.visit(f, typ.Key)
		g.visit(f, typ.Value)
	case *ast.StructType:
		g.visitFields(f, "", typ)
	case *ast.SelectorExpr:
		if typeName(typ.X) == "time" && typ.Sel.Name == "Time" {
			g.addType(f, "Time", typ.Pos())
			return
		}
		g.visitNamed(f, typ)
	case *ast.Ident:
		g.visitNamed(f, typ)
	}
}

// visitNamed collects the names of a declared type, once for each type. gob writes no name for a
// type whose underlying type is basic.
func (g *gobMessages) visitNamed(f *goFile, expr ast.Expr) {
	decl := g.module.typeOf(f, expr)
	if decl == nil || g.visited[decl] {
		return
	}
	g.visited[decl] = true
	switch typ := decl.expr.(type) {
	case *ast.StructType:
		g.addType(decl.file, decl.name, decl.expr.Pos())
		g.visitFields(decl.file, decl.name, typ)
	case *ast.ArrayType, *ast.MapType:
		g.addType(decl.file, decl.name, decl.expr.Pos())
		g.visit(decl.file, typ)
	}
}

// visitFields collects the exported fields of a struct.
func (g *gobMessages) visitFields(f *goFile, structName string, s *ast.StructType) {
	for _, field := range s.Fields.List {
		for _, name := range fieldNames(field) {
			if !token.IsExported(name) {
				continue
			}
			g.add(packageKind("gob field", f), structName+"."+name, field.Pos())
			if composite := g.compositeName(f, field.Type); composite != "" {
				g.addType(f, composite, field.Pos())
			}
			g.visit(f, field.Type)
		}
	}
}

// addType records the name of a type, once for each package.
func (g *gobMessages) addType(f *goFile, name string, pos token.Pos) {
	kind := packageKind("gob type", f)
	for _, known := range g.names[kind] {
		if known.name == name {
			return
		}
	}
	g.add(kind, name, pos)
}

// compositeName returns the name that gob gives to the unnamed slice or map type of a field, or ""
// for other types.
func (g *gobMessages) compositeName(f *goFile, expr ast.Expr) string {
	switch typ := expr.(type) {
	case *ast.StarExpr:
		return g.compositeName(f, typ.X)
	case *ast.ArrayType:
		if element := g.goTypeName(f, typ.Elt); element != "byte" && typ.Len == nil {
			return "[]" + element
		}
	case *ast.MapType:
		return "map[" + g.goTypeName(f, typ.Key) + "]" + g.goTypeName(f, typ.Value)
	}
	return ""
}

// goTypeName returns the name of a type as package reflect formats it.
func (g *gobMessages) goTypeName(f *goFile, expr ast.Expr) string {
	if star, ok := expr.(*ast.StarExpr); ok {
		return "*" + g.goTypeName(f, star.X)
	}
	if composite := g.compositeName(f, expr); composite != "" {
		return composite
	}
	if decl := g.module.typeOf(f, expr); decl != nil {
		return decl.file.pkg.name + "." + decl.name
	}
	if selector, ok := expr.(*ast.SelectorExpr); ok {
		return typeName(selector.X) + "." + selector.Sel.Name
	}
	return typeName(expr)
}

// calledMethod matches the name of a method in a call of another controller.
var calledMethod = regexp.MustCompile(`^[A-Z]\w+\.[A-Z]\w+$`)

// collectCalledMethods collects the net/rpc methods that are called, by package.
func collectCalledMethods(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		literal, ok := node.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return
		}
		if method := unquote(literal.Value); calledMethod.MatchString(method) {
			c.add(packageKind("RPC method called", f), method, literal.Pos())
		}
	})
}
