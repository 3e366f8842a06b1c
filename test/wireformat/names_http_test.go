package wireformat

import (
	"fmt"
	"go/ast"
	"go/token"
	"regexp"
	"strings"
)

// servedRoute matches a route of a server that matches method and path as one string.
var servedRoute = regexp.MustCompile(`^(GET|POST|PUT|DELETE) /`)

// routeMethods matches the methods of the HTTP framework that add a route.
var routeMethods = regexp.MustCompile(`^(Get|Post|Put|Patch|Delete|All|Use)$`)

// collectRoutes collects the routes that servers serve.
func collectRoutes(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		switch node := node.(type) {
		case *ast.BasicLit:
			if route := unquote(node.Value); servedRoute.MatchString(route) {
				c.add(packageKind("HTTP route", f), route, node.Pos())
			}
		case *ast.CallExpr:
			selector, ok := node.Fun.(*ast.SelectorExpr)
			if !ok || len(node.Args) < 2 || !routeMethods.MatchString(selector.Sel.Name) {
				return
			}
			if route, ok := c.module.stringValue(f, node.Args[0]); ok && strings.HasPrefix(route, "/") {
				c.add(packageKind("HTTP route", f), strings.ToUpper(selector.Sel.Name)+" "+route, node.Pos())
			}
		}
	})
}

// requestPath matches a string literal that begins with a request path.
var requestPath = regexp.MustCompile(`^/[a-z_]`)

// collectRequests collects the method and path of each request that clients send, and every path in
// a string literal. A request whose path is not known where it is sent is collected as its method
// alone.
func collectRequests(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		if f.pkg.dir == ownPackage {
			return
		}
		var parts []ast.Expr
		switch node := node.(type) {
		case *ast.BasicLit:
			if literal := unquote(node.Value); requestPath.MatchString(literal) {
				c.add(packageKind("HTTP path", f), literal, node.Pos())
			}
		case *ast.CallExpr:
			if !strings.HasPrefix(qualifiedName(node.Fun), "httptest.") {
				parts = node.Args
			}
		case *ast.CompositeLit:
			parts = node.Elts
		}
		if request := c.request(f, parts); request != "" {
			c.add(packageKind("HTTP request", f), request, node.Pos())
		}
	})
}

// request returns the method and path of a request among call arguments or composite literal
// elements, or "" if they contain no method.
func (c *collection) request(f *goFile, parts []ast.Expr) string {
	method, requestedPath := "", ""
	for _, part := range parts {
		if pair, ok := part.(*ast.KeyValueExpr); ok {
			part = pair.Value
		}
		if name, ok := strings.CutPrefix(qualifiedName(part), "http.Method"); ok {
			method = strings.ToUpper(name)
		}
		_, address, found := strings.Cut(strings.TrimPrefix(c.pattern(f, part), "http://"), "/")
		if found && requestedPath == "" {
			requestedPath = " /" + address
		}
	}
	if method == "" {
		return ""
	}
	return method + requestedPath
}

// pattern returns the value of a string expression, with "*" for each part that is not constant.
func (c *collection) pattern(f *goFile, expr ast.Expr) string {
	if value, ok := c.module.stringValue(f, expr); ok {
		return value
	}
	switch expr := expr.(type) {
	case *ast.BinaryExpr:
		if expr.Op == token.ADD {
			return c.pattern(f, expr.X) + c.pattern(f, expr.Y)
		}
	case *ast.CallExpr:
		if qualifiedName(expr.Fun) == "fmt.Sprintf" {
			return c.pattern(f, expr.Args[0])
		}
	}
	return "*"
}

// qualifiedName returns package.Name for a selector on an identifier, or "" for other expressions.
func qualifiedName(expr ast.Expr) string {
	if selector, ok := expr.(*ast.SelectorExpr); ok {
		if qualifier, ok := selector.X.(*ast.Ident); ok {
			return qualifier.Name + "." + selector.Sel.Name
		}
	}
	return ""
}

// parameterMethods matches the methods that read or set a path or query parameter.
var parameterMethods = regexp.MustCompile(`^(Params|Query|Get|Set)$`)

// collectParameters collects the names of path and query parameters that are not keys of a map
// literal.
func collectParameters(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		call, ok := node.(*ast.CallExpr)
		if !ok || f.pkg.dir == ownPackage {
			return
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || len(call.Args) == 0 || !parameterMethods.MatchString(selector.Sel.Name) {
			return
		}
		owner := typeName(selector.X)
		literal, ok := call.Args[0].(*ast.BasicLit)
		if !ok || owner == "Tag" || owner == "Header" {
			return
		}
		if name := unquote(literal.Value); nameLike.MatchString(name) {
			c.add(packageKind("HTTP parameter", f), name, call.Pos())
		}
	})
}

// collectHeaders collects the headers that are set, with their values where these are constant.
func collectHeaders(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		call, ok := node.(*ast.CallExpr)
		if !ok || f.pkg.dir == ownPackage {
			return
		}
		name := headerName(call)
		if name == "" {
			return
		}
		if len(call.Args) == 0 {
			c.add(packageKind("HTTP header", f), name, call.Pos())
			return
		}
		if value, ok := c.module.stringValue(f, call.Args[len(call.Args)-1]); ok {
			name += ": " + value
		}
		c.add(packageKind("HTTP header", f), name, call.Pos())
	})
}

// headerName returns the name of the header that a call sets, or "" for other calls.
func headerName(call *ast.CallExpr) string {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if selector.Sel.Name == "SetConnectionClose" {
		return "Connection: close"
	}
	if len(call.Args) == 0 {
		return ""
	}
	if constant, ok := strings.CutPrefix(qualifiedName(call.Args[0]), "fiber.Header"); ok {
		return hyphenate(constant)
	}
	switch {
	case selector.Sel.Name == "SetContentType":
		return "Content-Type"
	case selector.Sel.Name == "Set" && typeName(selector.X) == "Header":
		if literal, ok := call.Args[0].(*ast.BasicLit); ok {
			return unquote(literal.Value)
		}
	}
	return ""
}

// hyphenate converts a name in camel case to a header name: RetryAfter becomes Retry-After.
func hyphenate(name string) string {
	var b strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('-')
		}
		b.WriteRune(r)
	}
	return b.String()
}

// collectStatusCodes collects the HTTP status codes that a package sends or compares, once for each
// package, and the error texts of responses.
func collectStatusCodes(c *collection) {
	seen := map[string]bool{}
	c.eachNode(func(f *goFile, node ast.Node) {
		if f.pkg.dir == ownPackage {
			return
		}
		switch node := node.(type) {
		case *ast.SelectorExpr:
			_, code, ok := strings.Cut(qualifiedName(node), ".Status")
			qualifier := typeName(node.X)
			key := fmt.Sprint(f.pkg.dir, code)
			if ok && code != "" && (qualifier == "http" || qualifier == "fiber") && !seen[key] {
				seen[key] = true
				c.add(packageKind("HTTP status", f), code, node.Pos())
			}
		case *ast.CompositeLit:
			if typeName(node.Type) != "requestError" || len(node.Elts) != 2 {
				return
			}
			if text, ok := c.module.stringValue(f, node.Elts[1]); ok {
				c.add(packageKind("HTTP error text", f), text, node.Pos())
			}
		}
	})
}
