package logline

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"robinstack/test/sourcetree"
)

// moduleRoot is the root directory of the module, relative to this package.
const moduleRoot = "../.."

// logCall is one call of a log function of slog in the sources of the module.
type logCall struct {
	position string
	message  string   // empty if it is neither a literal nor a constant of this package
	keys     []string // attribute keys that are literals
}

// stringConstants returns the string constants of logline.go by name.
func stringConstants(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "logline.go", nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]string{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != len(spec.Names) {
			return true
		}
		for i, name := range spec.Names {
			if value, ok := stringLiteral(spec.Values[i]); ok {
				found[name.Name] = value
			}
		}
		return true
	})
	return found
}

func stringLiteral(expression ast.Expr) (string, bool) {
	basicLit, ok := expression.(*ast.BasicLit)
	if !ok || basicLit.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(basicLit.Value)
	return value, err == nil
}

// messageIndex returns the index of the message among the arguments of a call. ok reports whether
// the call is one of a log function of slog.
func messageIndex(call *ast.CallExpr) (index int, ok bool) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return 0, false
	}
	if pkg, ok := selector.X.(*ast.Ident); !ok || pkg.Name != "slog" {
		return 0, false
	}
	switch selector.Sel.Name {
	case "Debug", "Info", "Warn", "Error":
		return 0, true
	case "DebugContext", "InfoContext", "WarnContext", "ErrorContext":
		return 1, true
	case "Log":
		return 2, true
	}
	return 0, false
}

func parseLogCall(call *ast.CallExpr, index int, position string, constants map[string]string) logCall {
	parsed := logCall{position: position}
	if value, ok := stringLiteral(call.Args[index]); ok {
		parsed.message = value
	} else if selector, ok := call.Args[index].(*ast.SelectorExpr); ok {
		if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "logline" {
			parsed.message = constants[selector.Sel.Name]
		}
	}
	for i := index + 1; i < len(call.Args); i += 2 {
		if key, ok := stringLiteral(call.Args[i]); ok {
			parsed.keys = append(parsed.keys, key)
		}
	}
	return parsed
}

// logCalls returns all calls of log functions in the sources of the module, without the tests.
func logCalls(t *testing.T) []logCall {
	t.Helper()
	constants := stringConstants(t)
	var calls []logCall
	paths, err := sourcetree.Files(moduleRoot)
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			continue
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return true
			}
			if index, ok := messageIndex(call); ok {
				calls = append(calls, parseLogCall(call, index, files.Position(call.Pos()).String(), constants))
			}
			return true
		})
	}
	if len(calls) == 0 {
		t.Fatalf("found no call of slog below %s", moduleRoot)
	}
	return calls
}

// Guards against entries of the table that no code logs any more: each current message and each
// renamed key has to occur in a log call.
func TestCurrentNamesAreLogged(t *testing.T) {
	keysOf := map[string]map[string]bool{}
	for _, call := range logCalls(t) {
		if keysOf[call.message] == nil {
			keysOf[call.message] = map[string]bool{}
		}
		for _, key := range call.keys {
			keysOf[call.message][key] = true
		}
	}
	for _, rename := range Renames {
		keys, written := keysOf[rename.New]
		if !written {
			t.Errorf("no call logs the message %q", rename.New)
			continue
		}
		for _, key := range rename.Keys {
			if !keys[key] {
				t.Errorf("no call logs the message %q with the key %q", rename.New, key)
			}
		}
	}
}

// Guards against log calls that use a former message or a former key, and against messages that are
// missing from the table or are neither a literal nor a constant of this package.
func TestFormerNamesAreNotLogged(t *testing.T) {
	byNew := map[string]Rename{}
	for _, rename := range Renames {
		byNew[rename.New] = rename
	}
	for _, call := range logCalls(t) {
		if former, ok := byFormerMessage[call.message]; ok && former.New != former.Old {
			t.Errorf("%s: logs the former message %q, want %q", call.position, former.Old, former.New)
			continue
		}
		rename, listed := byNew[call.message]
		if !listed {
			t.Errorf("%s: message %q is not in the table", call.position, call.message)
			continue
		}
		for _, key := range call.keys {
			if newKey, ok := rename.Keys[key]; ok {
				t.Errorf("%s: message %q has the former key %q, want %q", call.position, call.message, key, newKey)
			}
		}
	}
}

// Guards against log calls that use a key twice, or a key that slog itself writes: readers of the
// log keep only one value for each key.
func TestKeysOfLogCallAreUnique(t *testing.T) {
	for _, call := range logCalls(t) {
		seen := map[string]bool{"time": true, "level": true, "msg": true}
		for _, key := range call.keys {
			if seen[key] {
				t.Errorf("%s: message %q: key %q is used twice or is written by slog", call.position, call.message, key)
			}
			seen[key] = true
		}
	}
}

var messageInPage = regexp.MustCompile(`msg=("[^"]*"|\w+)`)

// Guards against documentation pages that name a message which is not logged any more. Incident
// reports are not checked, because they name the messages of their time.
func TestDocsNameCurrentMessages(t *testing.T) {
	current := map[string]bool{}
	for _, rename := range Renames {
		current[rename.New] = true
	}
	pages, err := filepath.Glob(filepath.Join(moduleRoot, "docs", "*.md"))
	if err != nil || len(pages) == 0 {
		t.Fatal("found no documentation pages", err)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range messageInPage.FindAllSubmatch(text, -1) {
			message := strings.Trim(string(found[1]), `"`)
			if !current[message] {
				t.Errorf("%s names the message %q, which is not logged", page, message)
			}
		}
	}
}

// Guards against log lines with two readings: except for unchanged messages, no name may be both a
// former and a current one, and no two former names may have the same current one.
func TestRenamesAreUnambiguous(t *testing.T) {
	former, current := map[string]bool{}, map[string]bool{}
	for _, rename := range Renames {
		if former[rename.Old] || current[rename.New] {
			t.Errorf("%q -> %q: former or current message is listed twice", rename.Old, rename.New)
		}
		former[rename.Old], current[rename.New] = true, true
	}
	for _, rename := range Renames {
		if rename.New != rename.Old && former[rename.New] {
			t.Errorf("current message %q is also a former message", rename.New)
		}
		newKeys := slices.Sorted(maps.Values(rename.Keys))
		if len(slices.Compact(newKeys)) != len(rename.Keys) {
			t.Errorf("message %q: two former keys have the same current key: %v", rename.New, rename.Keys)
		}
		for _, key := range newKeys {
			if _, former := rename.Keys[key]; former {
				t.Errorf("message %q: current key %q is also a former key", rename.New, key)
			}
		}
	}
}

func TestCurrent(t *testing.T) {
	for name, c := range map[string]struct {
		message    string
		attributes map[string]string
		want       string
		wantKeys   map[string]string
	}{
		"message and keys of the former version": {
			"machine is silent", map[string]string{"machine": "m1", "for_s": "14"},
			MachineUnresponsive, map[string]string{"machine": "m1", "duration_s": "14"},
		},
		"message with an unchanged name": {
			"task committed", map[string]string{"task": "wk-1/0", "verdict": "started"},
			TaskCommitted, map[string]string{"task": "wk-1/0", "result": "started"},
		},
		"line of the current version": {
			MachineUnresponsive, map[string]string{"machine": "m1", "duration_s": "14"},
			MachineUnresponsive, map[string]string{"machine": "m1", "duration_s": "14"},
		},
		"unknown message": {
			"something else", map[string]string{"why": "x"},
			"something else", map[string]string{"why": "x"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			before := maps.Clone(c.attributes)
			message, attributes := Current(c.message, c.attributes)
			if message != c.want || !maps.Equal(attributes, c.wantKeys) {
				t.Errorf("got %q %v, want %q %v", message, attributes, c.want, c.wantKeys)
			}
			if !maps.Equal(c.attributes, before) {
				t.Errorf("Current changed the given map to %v", c.attributes)
			}
			again, attributesAgain := Current(message, attributes)
			if again != message || !maps.Equal(attributesAgain, attributes) {
				t.Errorf("second call: got %q %v, want no change", again, attributesAgain)
			}
		})
	}
}

// Applies Current twice to every message of the table, with all its renamed keys.
func TestCurrentIsIdempotent(t *testing.T) {
	for _, rename := range Renames {
		attributes := map[string]string{}
		for oldKey := range rename.Keys {
			attributes[oldKey] = "value of " + oldKey
		}
		message, current := Current(rename.Old, attributes)
		if message != rename.New || len(current) != len(attributes) {
			t.Errorf("%q: got %q %v, want the current message and as many attributes", rename.Old, message, current)
		}
		for oldKey, newKey := range rename.Keys {
			if current[newKey] != attributes[oldKey] {
				t.Errorf("message %q: key %q has value %q, want %q", rename.New, newKey, current[newKey], attributes[oldKey])
			}
		}
		again, currentAgain := Current(message, current)
		if again != message || !maps.Equal(currentAgain, current) {
			t.Errorf("%q: second call: got %q %v, want no change", rename.Old, again, currentAgain)
		}
	}
}
