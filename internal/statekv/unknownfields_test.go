package statekv_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"robinstack/internal/statekv"
)

type embedded struct {
	Host string `json:"host"`
}

// knownFields is the type of a build, with some fields in an embedded struct.
type knownFields struct {
	embedded
	Index int    `json:"index"`
	Note  string `json:"note,omitempty"`
}

// A rewrite preserves all fields written by a later version, and writes the known fields as this
// version has them, also where a field is empty and omitted.
func TestRewritesPreserveUnknownFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		later := rapid.MapOf(rapid.StringMatching(`[a-z]{1,6}`), rapid.Int()).Draw(t, "later")
		stored := map[string]any{"host": "a", "index": 3, "note": "gone"}
		for name, v := range later {
			if name != "host" && name != "index" && name != "note" {
				stored[name] = v
			}
		}
		raw, _ := json.Marshal(stored)
		out, err := json.Marshal(statekv.PreserveUnknownFields(raw, knownFields{embedded: embedded{"b"}, Index: 4}))
		if err != nil {
			t.Fatal(err)
		}
		stored["host"], stored["index"] = "b", 4
		delete(stored, "note")
		want, _ := json.Marshal(stored)
		var a, b map[string]any
		if json.Unmarshal(out, &a) != nil || json.Unmarshal(want, &b) != nil || !reflect.DeepEqual(a, b) {
			t.Fatalf("rewrite of %s: got %s, want %s", raw, out, want)
		}
	})
	for _, none := range []string{`[1]`, `"x"`, `null`, ``} {
		if unknown := statekv.UnknownFieldsOf(json.RawMessage(none), knownFields{}); unknown != nil {
			t.Errorf("unknown fields of %q: got %v, want none", none, unknown)
		}
	}
}

// Unknown fields can be written only together with a JSON object.
func TestUnknownFieldsRequireObject(t *testing.T) {
	unknown := statekv.UnknownFields{"colour": json.RawMessage(`"blue"`)}
	if out, err := json.Marshal(statekv.ValueWithUnknownFields{Value: []int{1}, Unknown: unknown}); err == nil {
		t.Errorf("marshalling a list with unknown fields: got %s, want an error", out)
	}
}
