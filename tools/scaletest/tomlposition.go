package scaletest

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineOf is the line of a field of a TOML document, such as "state.rps" or "jobs[1].tasks",
// or of the nearest table around it that is there; 1 if there is none.
func lineOf(raw []byte, field string) int {
	parser := unstable.Parser{}
	parser.Reset(raw)
	line, longest := 1, 0
	table := ""
	arrayLengths := map[string]int{}
	for parser.NextExpression() {
		node := parser.Expression()
		name := keyOf(node)
		switch node.Kind {
		case unstable.Table:
			table = name
			name = ""
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", name, arrayLengths[name])
			arrayLengths[name]++
			name = ""
		}
		path := strings.Trim(table+"."+name, ".")
		if len(path) > longest && isAround(path, field) {
			longest, line = len(path), lineAt(&parser, node)
		}
	}
	return line
}

// isAround reports whether a path is a field's, or that of a table around it.
func isAround(path, field string) bool {
	return path == field || strings.HasPrefix(field, path+".") || strings.HasPrefix(field, path+"[")
}

// keyOf joins the parts of an expression's key.
func keyOf(node *unstable.Node) string {
	var parts []string
	for it := node.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

// lineAt is the line of an expression's key.
func lineAt(parser *unstable.Parser, node *unstable.Node) int {
	it := node.Key()
	if !it.Next() {
		return 1
	}
	return parser.Shape(it.Node().Raw).Start.Line
}
