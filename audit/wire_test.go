package audit

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"robinstack/wireformat"
)

// logged lists the messages and keys of the log lines that the audit goes by.
var logged = []string{"price", "rented", "machine up", "returned", "machine is silent", "task over",
	"job accepted", "task committed", "job complete", "job cancelled", "job ready", "job withdrawn"}

// The controllers' log lines that the audit reads keep their messages and keys. They are
// looked for in all sources, so that what writes them may move.
func TestWireLogLines(t *testing.T) {
	var lines []string
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if line, ok := logLine(n); ok {
				lines = append(lines, line)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(lines)
	wireformat.Golden(t, "log-lines", strings.Join(lines, "\n")+"\n")
}

// logLine describes a call of slog with a message that the audit goes by.
func logLine(n ast.Node) (line string, ok bool) {
	call, isCall := n.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return "", false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod {
		return "", false
	}
	if pkg, isName := method.X.(*ast.Ident); !isName || pkg.Name != "slog" {
		return "", false
	}
	message := literal(call.Args[0])
	if !slices.Contains(logged, message) {
		return "", false
	}
	line = fmt.Sprintf("%s %q", method.Sel.Name, message)
	for i := 1; i < len(call.Args); i += 2 {
		line += " " + literal(call.Args[i])
	}
	return line, true
}

// literal is the value of a string literal, or a mark where it is none.
func literal(e ast.Expr) string {
	if lit, ok := e.(*ast.BasicLit); ok {
		if text, err := strconv.Unquote(lit.Value); err == nil {
			return text
		}
	}
	return "(no literal)"
}
