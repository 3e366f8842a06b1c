package wireformat

import (
	"bytes"
	"encoding/base64"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// CheckRPCService compares the methods of a service that net/rpc would register, with the form of
// each argument and reply, with the golden file "rpc". It also checks that messages that an earlier
// build encoded still decode to the same values.
func CheckRPCService(t *testing.T, service any) {
	t.Helper()
	const file = "rpc"
	var recorded map[string]message
	if !UpdatingGolden() {
		recorded = parseMessages(t, ReadGolden(t, file))
	}
	var all strings.Builder
	typ := reflect.TypeOf(service)
	for i := range typ.NumMethod() {
		m := typ.Method(i)
		if !isRPCMethod(m) {
			continue
		}
		for k, role := range []string{"argument", "reply"} {
			messageType := m.Type.In(1 + k)
			for messageType.Kind() == reflect.Pointer {
				messageType = messageType.Elem()
			}
			name := m.Name + " " + role
			current := message{form: DescribeGobType(messageType), stream: encodeFilled(t, messageType)}
			stream := base64.StdEncoding.EncodeToString(current.stream)
			fmt.Fprintf(&all, "== %s\n%sgob %s\n", name, current.form, stream)
			if UpdatingGolden() {
				continue
			}
			t.Run(name, func(t *testing.T) { current.check(t, messageType, recorded[name]) })
			delete(recorded, name)
		}
	}
	for name := range recorded {
		t.Errorf("%s is recorded, but the service has no such method", name)
	}
	if UpdatingGolden() {
		CheckGolden(t, file, all.String())
	}
}

// isRPCMethod reports whether net/rpc registers a method.
func isRPCMethod(m reflect.Method) bool {
	return m.IsExported() && m.Type.NumIn() == 3 && m.Type.In(2).Kind() == reflect.Pointer &&
		m.Type.NumOut() == 1 && m.Type.Out(0) == reflect.TypeFor[error]()
}

// message is the argument or reply of a method: the form of its type, and the gob stream of a
// filled value.
type message struct {
	form   string
	stream []byte
}

func parseMessages(t *testing.T, text string) map[string]message {
	t.Helper()
	out := map[string]message{}
	for _, part := range strings.Split(text, "== ")[1:] {
		name, rest, _ := strings.Cut(part, "\n")
		form, encoded, _ := strings.Cut(rest, "gob ")
		stream, err := base64.StdEncoding.DecodeString(strings.TrimSpace(encoded))
		if err != nil {
			t.Fatalf("decoding the recorded stream of %s: %v", name, err)
		}
		out[name] = message{form, stream}
	}
	return out
}

// check compares a message of type typ with the recorded one. Only the decoded values of the two
// streams are compared: gob also writes the names of Go types, which receivers ignore.
func (m message) check(t *testing.T, typ reflect.Type, recorded message) {
	t.Helper()
	if recorded.form == "" {
		t.Fatal("the golden file has no entry for this message")
	}
	if difference := firstDifference(recorded.form, m.form); difference != "" {
		t.Errorf("the form of the message differs from the recorded one: %s", difference)
	}
	want := newFilled(typ)
	for what, stream := range map[string][]byte{"recorded": recorded.stream, "current": m.stream} {
		got := reflect.New(typ)
		if err := gob.NewDecoder(bytes.NewReader(stream)).DecodeValue(got); err != nil {
			t.Errorf("decoding the %s stream: %v", what, err)
		} else if !reflect.DeepEqual(got.Interface(), want.Interface()) {
			t.Errorf("decoding the %s stream: got %+v, want %+v", what, got.Elem(), want.Elem())
		}
	}
}

func newFilled(typ reflect.Type) reflect.Value {
	v := reflect.New(typ)
	Fill(v.Interface())
	return v
}

func encodeFilled(t *testing.T, typ reflect.Type) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).EncodeValue(newFilled(typ)); err != nil {
		t.Fatalf("encoding a filled %s: %v", typ, err)
	}
	return b.Bytes()
}

// CheckJSON compares the JSON encodings of a filled and of a zero T with the golden file of that
// name, and checks that the recorded filled value decodes without loss.
func CheckJSON[T any](t *testing.T, name string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		var value, zero T
		Fill(&value)
		CheckGolden(t, name, "filled "+IndentJSON(t, value)+"\nzero "+IndentJSON(t, zero)+"\n")
		recorded, _, _ := strings.Cut(strings.TrimPrefix(ReadGolden(t, name), "filled "), "\nzero ")
		var got T
		if err := json.Unmarshal([]byte(recorded), &got); err != nil {
			t.Fatalf("decoding the recorded value: %v", err)
		}
		if wantJSON, gotJSON := IndentJSON(t, value), IndentJSON(t, got); wantJSON != gotJSON {
			t.Errorf("decoding the recorded value: got %s, want %s", gotJSON, wantJSON)
		}
	})
}

// IndentJSON returns v as indented JSON.
func IndentJSON(t testing.TB, v any) string {
	t.Helper()
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatalf("encoding %T: %v", v, err)
	}
	return string(raw)
}
