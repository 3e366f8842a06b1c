package audit

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"robinstack/internal/logline"
	"robinstack/test/sourcetree"
	"robinstack/test/wireformat"
)

// moduleRoot is the root directory of the module, relative to this package.
const moduleRoot = "../.."

// The log lines that audit evaluates are written with the recorded levels, messages and keys, after
// the renames of package logline. All sources of the module are searched, so that the code that
// writes a line may move to another package.
func TestWireLogLines(t *testing.T) {
	var want []string
	messages := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(wireformat.ReadGolden(t, "log-lines")), "\n") {
		message, renamed := renameRecordedLine(t, line)
		messages[message] = true
		want = append(want, renamed)
	}
	slices.Sort(want)
	got := writtenLines(t, messages)
	if !slices.Equal(got, want) {
		t.Errorf("got log lines\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// renameRecordedLine returns the message and the line of a recorded line, `Level "message" key
// ...`, under current names.
func renameRecordedLine(t *testing.T, recorded string) (message, line string) {
	t.Helper()
	parts := strings.SplitN(recorded, `"`, 3)
	if len(parts) != 3 {
		t.Fatalf("recorded line %q has no message", recorded)
	}
	level, oldMessage, keys := parts[0], parts[1], strings.Fields(parts[2])
	line = level
	for i, key := range keys {
		var renamed map[string]string
		message, renamed = logline.Current(oldMessage, map[string]string{key: ""})
		if i == 0 {
			line += strconv.Quote(message)
		}
		for name := range renamed {
			line += " " + name
		}
	}
	return message, line
}

// writtenLines returns descriptions of all slog calls with one of the messages, sorted.
func writtenLines(t *testing.T, messages map[string]bool) []string {
	t.Helper()
	names := messageConstants(t)
	var lines []string
	paths, err := sourcetree.Files(moduleRoot)
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if message, line := describeLogCall(n, names); messages[message] {
				lines = append(lines, line)
			}
			return true
		})
	}
	slices.Sort(lines)
	return lines
}

// messageConstants returns the values of the constants of package logline by name.
func messageConstants(t *testing.T) map[string]string {
	t.Helper()
	path := filepath.Join(moduleRoot, "internal", "logline", "logline.go")
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && len(spec.Values) == 1 {
			names[spec.Names[0].Name] = stringLiteral(spec.Values[0])
		}
		return true
	})
	return names
}

// describeLogCall returns the message and a description of a slog call, or "" if n is something
// else.
func describeLogCall(n ast.Node, constants map[string]string) (message, line string) {
	call, isCall := n.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return "", ""
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod {
		return "", ""
	}
	if pkg, isName := method.X.(*ast.Ident); !isName || pkg.Name != "slog" {
		return "", ""
	}
	message = stringLiteral(call.Args[0])
	if name, isConstant := call.Args[0].(*ast.SelectorExpr); isConstant {
		message = constants[name.Sel.Name]
	}
	line = fmt.Sprintf("%s %q", method.Sel.Name, message)
	for i := 1; i < len(call.Args); i += 2 {
		line += " " + stringLiteral(call.Args[i])
	}
	return message, line
}

// stringLiteral returns the value of a string literal, or "(no literal)" for other expressions.
func stringLiteral(e ast.Expr) string {
	if lit, ok := e.(*ast.BasicLit); ok {
		if text, err := strconv.Unquote(lit.Value); err == nil {
			return text
		}
	}
	return "(no literal)"
}
