package wireformat

import (
	"go/ast"
	"go/token"
	"regexp"
	"strings"
)

// commandPackage is the package that declares the commands and their flags.
const commandPackage = "cmd/robinstack"

// eachCommandFunction calls visit for each function of the command package.
func (c *collection) eachCommandFunction(visit func(f *goFile, function *ast.FuncDecl)) {
	p := c.module.packages[commandPackage]
	if p == nil {
		return
	}
	for _, f := range p.files {
		for _, decl := range f.syntax.Decls {
			if function, ok := decl.(*ast.FuncDecl); ok {
				visit(f, function)
			}
		}
	}
}

// collectCommands collects the commands and their arguments from their usage lines. A command whose
// name is not constant is collected as "*"; its names are keys of a map (see collectMapKeys).
func collectCommands(c *collection) {
	c.eachCommandFunction(func(f *goFile, function *ast.FuncDecl) {
		for _, usage := range usages(function) {
			c.add("command", c.pattern(f, usage), usage.Pos())
		}
	})
}

// usages returns the usage line of each command that a function creates.
func usages(function *ast.FuncDecl) []ast.Expr {
	var found []ast.Expr
	ast.Inspect(function, func(node ast.Node) bool {
		if pair, ok := node.(*ast.KeyValueExpr); ok && typeName(pair.Key) == "Use" {
			found = append(found, pair.Value)
		}
		return true
	})
	return found
}

// flagMethods matches the methods of a flag set that bind a flag to a variable.
var flagMethods = regexp.MustCompile(`^(String|Bool|Int|Int64|Uint|Float64|Duration|StringArray|StringSlice)VarP?$`)

// collectFlags collects the flags of each command.
func collectFlags(c *collection) {
	c.eachCommandFunction(func(f *goFile, function *ast.FuncDecl) {
		ast.Inspect(function, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok || len(call.Args) < 2 || !flagMethods.MatchString(typeName(call.Fun)) {
				return true
			}
			kind := "flag"
			for _, usage := range usages(function) {
				command, _, _ := strings.Cut(c.pattern(f, usage), " ")
				kind += " of " + command
			}
			name, ok := c.module.stringValue(f, call.Args[1])
			if !ok {
				c.errorf("%s: the name of a flag is not constant", c.module.fset.Position(call.Pos()))
			}
			c.add(kind, "--"+name, call.Pos())
			return true
		})
	})
}

// processFlag matches a flag on the command line of a started process.
var processFlag = regexp.MustCompile(`^--[a-z][a-z-]*$`)

// collectArguments collects the flags that are passed to started processes.
func collectArguments(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		switch node := node.(type) {
		case *ast.BasicLit, *ast.BinaryExpr:
			if value, ok := c.module.stringValue(f, node.(ast.Expr)); ok && processFlag.MatchString(value) {
				c.add(packageKind("flag given to a process", f), value, node.Pos())
			}
		}
	})
}

// environmentCalls matches the functions that take the name of an environment variable.
var environmentCalls = regexp.MustCompile(`^os\.(Getenv|LookupEnv|Setenv|Unsetenv)$`)

// environmentSetting matches the prefix NAME= of an entry in the environment of a process.
var environmentSetting = regexp.MustCompile(`^([A-Z][A-Z0-9_]*)=`)

// collectEnvironment collects the environment variables that are read or set.
func collectEnvironment(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		switch node := node.(type) {
		case *ast.CallExpr:
			if !environmentCalls.MatchString(qualifiedName(node.Fun)) {
				return
			}
			name, ok := c.module.stringValue(f, node.Args[0])
			if !ok {
				c.errorf("%s: the environment variable is not constant", c.module.fset.Position(node.Pos()))
			}
			c.add(packageKind("environment variable", f), name, node.Pos())
		case *ast.BasicLit:
			if node.Kind != token.STRING {
				return
			}
			if match := environmentSetting.FindStringSubmatch(unquote(node.Value)); match != nil {
				c.add(packageKind("environment variable", f), match[1], node.Pos())
			}
		}
	})
}
