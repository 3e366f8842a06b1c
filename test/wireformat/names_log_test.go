package wireformat

import (
	"go/ast"
	"regexp"
)

// logTableVariable is the variable that lists all log messages.
const logTableVariable = "Renames"

// collectLogTable collects the messages and the renamed attribute keys in the table of package
// logline, both the present ones and those of the former version.
func collectLogTable(c *collection) {
	p := c.module.packages[logTablePackage]
	if p == nil {
		return
	}
	declared := p.initialValues[logTableVariable]
	table, ok := declared.value.(*ast.CompositeLit)
	if !ok {
		c.errorf("%s.%s, the table of log messages, is not declared; was it renamed?",
			logTablePackage, logTableVariable)
		return
	}
	for _, element := range table.Elts {
		if row, ok := element.(*ast.CompositeLit); ok {
			c.addLogRow(declared.file, row)
		}
	}
}

// addLogRow collects one message of the table and its keys.
func (c *collection) addLogRow(f *goFile, row *ast.CompositeLit) {
	fields := map[string]ast.Expr{}
	for _, element := range row.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			fields[typeName(pair.Key)] = pair.Value
		}
	}
	former, _ := c.module.stringValue(f, fields["Old"])
	current, ok := c.module.stringValue(f, fields["New"])
	if !ok {
		c.errorf("%s: an entry of the log table has no constant message", c.module.fset.Position(row.Pos()))
		return
	}
	c.add("log message", current, row.Pos())
	c.add("former log message", former, row.Pos())
	keys, ok := fields["Keys"].(*ast.CompositeLit)
	if !ok {
		return
	}
	for _, element := range keys.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			formerKey, _ := c.module.stringValue(f, pair.Key)
			key, _ := c.module.stringValue(f, pair.Value)
			c.add("former log attribute key", former+": "+formerKey, pair.Pos())
			c.add("renamed log attribute key", current+": "+key, pair.Pos())
		}
	}
}

// logMethods maps the logging functions of slog to the index of their message argument.
var logMethods = map[string]int{
	"slog.Debug": 0, "slog.Info": 0, "slog.Warn": 0, "slog.Error": 0, "slog.Log": 2,
	"slog.DebugContext": 1, "slog.InfoContext": 1, "slog.WarnContext": 1, "slog.ErrorContext": 1,
}

// collectLogCalls collects the attribute keys that are logged with each message, and the keys that
// the log reader looks up.
func collectLogCalls(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		switch node := node.(type) {
		case *ast.CallExpr:
			if index, ok := logMethods[qualifiedName(node.Fun)]; ok {
				c.addLogCall(f, node, index)
			}
			if f.pkg.dir == logReaderPackage && len(node.Args) == 1 && fieldReaders.MatchString(typeName(node.Fun)) {
				c.addReadField(f, node.Args[0])
			}
		case *ast.IndexExpr:
			if f.pkg.dir == logReaderPackage {
				c.addReadField(f, node.Index)
			}
		}
	})
}

// fieldReaders matches the methods that read an attribute of a log line.
var fieldReaders = regexp.MustCompile(`^(number|seconds)$`)

// addReadField collects an attribute key that the log reader looks up.
func (c *collection) addReadField(f *goFile, expr ast.Expr) {
	if literal, ok := expr.(*ast.BasicLit); ok && nameLike.MatchString(unquote(literal.Value)) {
		c.add(packageKind("log attribute key read", f), unquote(literal.Value), literal.Pos())
	}
}

// addLogCall collects the attribute keys of one log call.
func (c *collection) addLogCall(f *goFile, call *ast.CallExpr, index int) {
	message, ok := c.module.stringValue(f, call.Args[index])
	if !ok {
		c.errorf("%s: the log message is not constant", c.module.fset.Position(call.Pos()))
	}
	for i := index + 1; i < len(call.Args); i += 2 {
		key, ok := c.module.stringValue(f, call.Args[i])
		if !ok {
			c.errorf("%s: a log attribute key is not constant", c.module.fset.Position(call.Args[i].Pos()))
			continue
		}
		c.add("log attribute key", message+": "+key, call.Args[i].Pos())
	}
}
