package logline

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// moduleRoot is the module's directory, seen from this package's.
const moduleRoot = "../.."

// logCall is one call of slog in the module's sources.
type logCall struct {
	position string
	message  string   // empty where it is neither a literal nor a constant of this package
	keys     []string // attribute keys that are literals
}

// constants returns the string constants that this package declares, by name.
func constants(t *testing.T) map[string]string {
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
			if value, ok := literal(spec.Values[i]); ok {
				found[name.Name] = value
			}
		}
		return true
	})
	return found
}

func literal(expression ast.Expr) (string, bool) {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(basic.Value)
	return value, err == nil
}

// messageAt is the index of a call's message among its arguments; ok is false for
// what is no call that writes a line.
func messageAt(call *ast.CallExpr) (index int, ok bool) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return 0, false
	}
	if of, ok := selector.X.(*ast.Ident); !ok || of.Name != "slog" {
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

func parseCall(call *ast.CallExpr, index int, position string, constants map[string]string) logCall {
	parsed := logCall{position: position}
	if value, ok := literal(call.Args[index]); ok {
		parsed.message = value
	} else if selector, ok := call.Args[index].(*ast.SelectorExpr); ok {
		if of, ok := selector.X.(*ast.Ident); ok && of.Name == "logline" {
			parsed.message = constants[selector.Sel.Name]
		}
	}
	for i := index + 1; i < len(call.Args); i += 2 {
		if key, ok := literal(call.Args[i]); ok {
			parsed.keys = append(parsed.keys, key)
		}
	}
	return parsed
}

// logCalls returns all calls of slog in the module's sources without its tests.
func logCalls(t *testing.T) []logCall {
	t.Helper()
	known := constants(t)
	var calls []logCall
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() && path != moduleRoot && (strings.HasPrefix(name, ".") || name == "testdata") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return true
			}
			if index, ok := messageAt(call); ok {
				calls = append(calls, parseCall(call, index, files.Position(call.Pos()).String(), known))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(calls) == 0 {
		t.Fatalf("no call of slog below %s", moduleRoot)
	}
	return calls
}

// Every message and every renamed key of the table is written somewhere.
func TestEveryNewNameIsWritten(t *testing.T) {
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
			t.Errorf("%q is written nowhere", rename.New)
			continue
		}
		for _, key := range rename.Keys {
			if !keys[key] {
				t.Errorf("%q is written without the key %q", rename.New, key)
			}
		}
	}
}

// No call uses a former message or a former key of its message, and each message
// is a literal or a constant of this package, and listed in the table.
func TestNoOldNameIsWritten(t *testing.T) {
	byNew := map[string]Rename{}
	for _, rename := range Renames {
		byNew[rename.New] = rename
	}
	for _, call := range logCalls(t) {
		if former, ok := byOldMessage[call.message]; ok && former.New != former.Old {
			t.Errorf("%s: %q is now %q", call.position, former.Old, former.New)
			continue
		}
		rename, listed := byNew[call.message]
		if !listed {
			t.Errorf("%s: the message %q is not in the table", call.position, call.message)
			continue
		}
		for _, key := range call.keys {
			if newKey, ok := rename.Keys[key]; ok {
				t.Errorf("%s: %q: the key %q is now %q", call.position, call.message, key, newKey)
			}
		}
	}
}

// No line names a key twice, or one that slog itself writes: readers keep one value
// for each key.
func TestKeysOfALineAreUnique(t *testing.T) {
	for _, call := range logCalls(t) {
		seen := map[string]bool{"time": true, "level": true, "msg": true}
		for _, key := range call.keys {
			if seen[key] {
				t.Errorf("%s: %q: the key %q stands twice in the line", call.position, call.message, key)
			}
			seen[key] = true
		}
	}
}

var namedInPage = regexp.MustCompile(`msg=("[^"]*"|\w+)`)

// The pages name messages as they are written now; incidents are history and keep
// the names of their day.
func TestPagesNameCurrentMessages(t *testing.T) {
	current := map[string]bool{}
	for _, rename := range Renames {
		current[rename.New] = true
	}
	pages, err := filepath.Glob(filepath.Join(moduleRoot, "docs", "*.md"))
	if err != nil || len(pages) == 0 {
		t.Fatal("no pages", err)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range namedInPage.FindAllSubmatch(text, -1) {
			message := strings.Trim(string(found[1]), `"`)
			if !current[message] {
				t.Errorf("%s names the message %q, which is not written", page, message)
			}
		}
	}
}

// A line of either version has one reading: no name is both old and new, and no
// two names became one.
func TestTableIsUnambiguous(t *testing.T) {
	old, current := map[string]bool{}, map[string]bool{}
	for _, rename := range Renames {
		if old[rename.Old] || current[rename.New] {
			t.Errorf("%q -> %q: one of them is listed twice", rename.Old, rename.New)
		}
		old[rename.Old], current[rename.New] = true, true
	}
	for _, rename := range Renames {
		if rename.New != rename.Old && old[rename.New] {
			t.Errorf("%q is a former message too", rename.New)
		}
		newKeys := slices.Sorted(maps.Values(rename.Keys))
		if len(slices.Compact(newKeys)) != len(rename.Keys) {
			t.Errorf("%q: two keys became one: %v", rename.New, rename.Keys)
		}
		for _, key := range newKeys {
			if _, former := rename.Keys[key]; former {
				t.Errorf("%q: the key %q is a former one too", rename.New, key)
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
		"a message that kept its name": {
			"task committed", map[string]string{"task": "wk-1/0", "verdict": "started"},
			TaskCommitted, map[string]string{"task": "wk-1/0", "result": "started"},
		},
		"a line of this version": {
			MachineUnresponsive, map[string]string{"machine": "m1", "duration_s": "14"},
			MachineUnresponsive, map[string]string{"machine": "m1", "duration_s": "14"},
		},
		"a message nobody knows": {
			"something else", map[string]string{"why": "x"},
			"something else", map[string]string{"why": "x"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			before := maps.Clone(c.attributes)
			message, attributes := Current(c.message, c.attributes)
			if message != c.want || !maps.Equal(attributes, c.wantKeys) {
				t.Errorf("%q %v, want %q %v", message, attributes, c.want, c.wantKeys)
			}
			if !maps.Equal(c.attributes, before) {
				t.Errorf("the given map became %v", c.attributes)
			}
			again, attributesAgain := Current(message, attributes)
			if again != message || !maps.Equal(attributesAgain, attributes) {
				t.Errorf("a second time: %q %v", again, attributesAgain)
			}
		})
	}
}

// All renames are idempotent, with every key they know.
func TestCurrentIsIdempotent(t *testing.T) {
	for _, rename := range Renames {
		attributes := map[string]string{}
		for oldKey := range rename.Keys {
			attributes[oldKey] = "value of " + oldKey
		}
		message, current := Current(rename.Old, attributes)
		if message != rename.New || len(current) != len(attributes) {
			t.Errorf("%q became %q %v", rename.Old, message, current)
		}
		for oldKey, newKey := range rename.Keys {
			if current[newKey] != attributes[oldKey] {
				t.Errorf("%q: %q is %q, want %q", rename.New, newKey, current[newKey], attributes[oldKey])
			}
		}
		again, currentAgain := Current(message, current)
		if again != message || !maps.Equal(currentAgain, current) {
			t.Errorf("%q: a second time %q %v", rename.Old, again, currentAgain)
		}
	}
}
