package scaletest

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// fieldLine returns the line of a field of a TOML document, such as "state.rps" or "jobs[1].tasks".
// For a field that is absent it returns the line of the innermost enclosing table, or 1 if there is
// none.
func fieldLine(raw []byte, field string) int {
	parser := unstable.Parser{}
	parser.Reset(raw)
	line, longest := 1, 0
	table := ""
	arrayLengths := map[string]int{}
	for parser.NextExpression() {
		node := parser.Expression()
		name := nodeKey(node)
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
		if len(path) > longest && encloses(path, field) {
			longest, line = len(path), nodeLine(&parser, node)
		}
	}
	return line
}

// encloses reports whether path is field itself or a table that encloses it.
func encloses(path, field string) bool {
	return path == field || strings.HasPrefix(field, path+".") || strings.HasPrefix(field, path+"[")
}

// nodeKey returns the dotted key of an expression.
func nodeKey(node *unstable.Node) string {
	var parts []string
	for it := node.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

// nodeLine returns the line of the key of an expression.
func nodeLine(parser *unstable.Parser, node *unstable.Node) int {
	it := node.Key()
	if !it.Next() {
		return 1
	}
	return parser.Shape(it.Node().Raw).Start.Line
}
