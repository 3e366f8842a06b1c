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

// Service compares the methods that net/rpc would register of a service with the
// recorded ones, each with the form of its argument and of its reply; and it sees that
// messages recorded with an earlier build are read as what they said.
func Service(t *testing.T, service any) {
	t.Helper()
	const file = "rpc"
	var recorded map[string]message
	if !Updating() {
		recorded = parseMessages(t, Recorded(t, file))
	}
	var all strings.Builder
	typ := reflect.TypeOf(service)
	for i := range typ.NumMethod() {
		m := typ.Method(i)
		if !callable(m) {
			continue
		}
		for k, role := range []string{"argument", "reply"} {
			in := m.Type.In(1 + k)
			for in.Kind() == reflect.Pointer {
				in = in.Elem()
			}
			name := m.Name + " " + role
			current := message{form: Describe(in), stream: encodeFilled(t, in)}
			stream := base64.StdEncoding.EncodeToString(current.stream)
			fmt.Fprintf(&all, "== %s\n%sgob %s\n", name, current.form, stream)
			if Updating() {
				continue
			}
			t.Run(name, func(t *testing.T) { current.check(t, in, recorded[name]) })
			delete(recorded, name)
		}
	}
	for name := range recorded {
		t.Errorf("%s: recorded, and no such method any more", name)
	}
	if Updating() {
		Golden(t, file, all.String())
	}
}

// callable reports whether net/rpc registers a method.
func callable(m reflect.Method) bool {
	return m.IsExported() && m.Type.NumIn() == 3 && m.Type.In(2).Kind() == reflect.Pointer &&
		m.Type.NumOut() == 1 && m.Type.Out(0) == reflect.TypeFor[error]()
}

// message is an argument or a reply: its form, and a filled one as gob sends it.
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
			t.Fatalf("%s: %v", name, err)
		}
		out[name] = message{form, stream}
	}
	return out
}

// check compares a message of the given type with the recorded one. The streams may
// differ in the names of types, which gob sends and does not compare.
func (m message) check(t *testing.T, typ reflect.Type, recorded message) {
	t.Helper()
	if recorded.form == "" {
		t.Fatal("is not recorded")
	}
	if difference := firstDifference(recorded.form, m.form); difference != "" {
		t.Errorf("its form is not the recorded one: %s", difference)
	}
	want := filled(typ)
	for what, stream := range map[string][]byte{"recorded": recorded.stream, "current": m.stream} {
		got := reflect.New(typ)
		if err := gob.NewDecoder(bytes.NewReader(stream)).DecodeValue(got); err != nil {
			t.Errorf("reading the %s stream: %v", what, err)
		} else if !reflect.DeepEqual(got.Interface(), want.Interface()) {
			t.Errorf("the %s stream reads as %+v, want %+v", what, got.Elem(), want.Elem())
		}
	}
}

func filled(typ reflect.Type) reflect.Value {
	v := reflect.New(typ)
	Fill(v.Interface())
	return v
}

func encodeFilled(t *testing.T, typ reflect.Type) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).EncodeValue(filled(typ)); err != nil {
		t.Fatalf("encoding %s: %v", typ, err)
	}
	return b.Bytes()
}

// JSON compares the JSON of a filled and of a zero T with the recorded text of that
// name, and sees that the recorded filled one is read back in full.
func JSON[T any](t *testing.T, name string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		var value, zero T
		Fill(&value)
		Golden(t, name, "filled "+Indent(t, value)+"\nzero "+Indent(t, zero)+"\n")
		recorded, _, _ := strings.Cut(strings.TrimPrefix(Recorded(t, name), "filled "), "\nzero ")
		var got T
		if err := json.Unmarshal([]byte(recorded), &got); err != nil {
			t.Fatalf("reading the recorded value: %v", err)
		}
		if before, after := Indent(t, value), Indent(t, got); before != after {
			t.Errorf("the recorded value reads as %s, want %s", after, before)
		}
	})
}

// Indent returns v as indented JSON.
func Indent(t testing.TB, v any) string {
	t.Helper()
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatalf("encoding %T: %v", v, err)
	}
	return string(raw)
}
