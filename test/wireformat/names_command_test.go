package wireformat

import (
	"go/ast"
	"go/token"
	"regexp"
	"strings"
)

// commandPackage declares the commands and their flags.
const commandPackage = "cmd/robinstack"

// eachFunction visits the functions of the command package.
func (c *collection) eachFunction(visit func(f *goFile, function *ast.FuncDecl)) {
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

// collectCommands gathers the commands with their arguments, as their usage states them. The
// name of a command that is not constant is *; the map of the verbs has it (collectMapKeys).
func collectCommands(c *collection) {
	c.eachFunction(func(f *goFile, function *ast.FuncDecl) {
		for _, usage := range usages(function) {
			c.add("command", c.pattern(f, usage), usage.Pos())
		}
	})
}

// usages returns the usage of each command that a function makes.
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

// flagMethods are the methods of a flag set that define a flag in a variable.
var flagMethods = regexp.MustCompile(`^(String|Bool|Int|Int64|Uint|Float64|Duration|StringArray|StringSlice)VarP?$`)

// collectFlags gathers the flags of each command.
func collectFlags(c *collection) {
	c.eachFunction(func(f *goFile, function *ast.FuncDecl) {
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
				c.faultf("%s: the name of a flag is not constant", c.module.fset.Position(call.Pos()))
			}
			c.add(kind, "--"+name, call.Pos())
			return true
		})
	})
}

// processFlag matches a flag among the arguments of a process.
var processFlag = regexp.MustCompile(`^--[a-z][a-z-]*$`)

// collectArguments gathers the flags that are given to processes.
func collectArguments(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		switch node := node.(type) {
		case *ast.BasicLit, *ast.BinaryExpr:
			if value, ok := c.module.stringValue(f, node.(ast.Expr)); ok && processFlag.MatchString(value) {
				c.add(in("flag given to a process", f), value, node.Pos())
			}
		}
	})
}

// environmentCalls are the functions that name an environment variable.
var environmentCalls = regexp.MustCompile(`^os\.(Getenv|LookupEnv|Setenv|Unsetenv)$`)

// environmentSetting matches the start of an entry of a process's environment.
var environmentSetting = regexp.MustCompile(`^([A-Z][A-Z0-9_]*)=`)

// collectEnvironment gathers the environment variables that are read or set.
func collectEnvironment(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		switch node := node.(type) {
		case *ast.CallExpr:
			if !environmentCalls.MatchString(qualifiedName(node.Fun)) {
				return
			}
			name, ok := c.module.stringValue(f, node.Args[0])
			if !ok {
				c.faultf("%s: the environment variable is not constant", c.module.fset.Position(node.Pos()))
			}
			c.add(in("environment variable", f), name, node.Pos())
		case *ast.BasicLit:
			if node.Kind != token.STRING {
				return
			}
			if match := environmentSetting.FindStringSubmatch(unquote(node.Value)); match != nil {
				c.add(in("environment variable", f), match[1], node.Pos())
			}
		}
	})
}
