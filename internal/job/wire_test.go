package job

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"robinstack/internal/statekv"
	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.CheckJSON[Spec](t, "spec")
	wireformat.CheckJSON[Record](t, "record")
	wireformat.CheckGolden(t, "keys", RecordKey("wk-1")+"\n"+CompletedChunkKey("wk-1", 2)+"\n"+SpecFragmentKey("wk-1", 3)+"\n")
	wireformat.CheckGolden(t, "words", strings.Join([]string{Array, Gang, Service, Queued, Running, Done, Cancelled,
		"production", "high", "normal", "best_effort"}, "\n")+"\n")
	wireformat.CheckGolden(t, "required", strings.Join(requiredFields, "\n")+"\n")
	for name, priority := range map[string]int{"production": 3, "high": 2, "normal": 1, "best_effort": 0} {
		if PriorityOfRank(name) != priority {
			t.Errorf("priority of rank %s: got %d, want %d", name, PriorityOfRank(name), priority)
		}
	}
}

// A record is written with the unknown fields of a later version, in the record and in its spec.
func TestWireRecordOfLaterVersion(t *testing.T) {
	var r Record
	wireformat.Fill(&r)
	r.Schema, r.SpecFragments, r.Spec.ID, r.Spec.Tasks = RecordSchema, 0, "wk-1", 9000
	completed := NewTaskBitmap(r.Spec.Tasks)
	completed.Add(0)
	completed.Add(70)
	r.CompletedTasks = completed.EncodeChunk(0)
	r.UnknownFields = statekv.UnknownFields{"later": json.RawMessage(`[1]`)}
	r.UnknownSpecFields = statekv.UnknownFields{"later_too": json.RawMessage(`{"a":2}`)}
	wireformat.CheckGolden(t, "record-later", wireformat.IndentJSON(t, r))

	raw := json.RawMessage(wireformat.ReadGolden(t, "record-later"))
	got, err := ParseRecord(raw)
	if err != nil {
		t.Fatal(err)
	}
	got.KeepUnknownFields(raw)
	if wireformat.IndentJSON(t, got) != wireformat.IndentJSON(t, r) {
		t.Errorf("recorded record: got %+v, want %+v", got, r)
	}
	decoded := NewTaskBitmap(r.Spec.Tasks)
	if err := decoded.LoadChunk(0, got.CompletedTasks); err != nil || !reflect.DeepEqual(decoded, completed) {
		t.Errorf("completed tasks: got %v, %v; want %v", decoded, err, completed)
	}
}

// Recorded fragments must stay readable. The compressed bytes that are written may change.
func TestWireSpecFragments(t *testing.T) {
	var r Record
	wireformat.Fill(&r)
	r.Schema, r.Spec.ID, r.Spec.Tasks = RecordSchema, "wk-1", 9000
	want := r.Spec
	const limit, maxOps = 200, 8
	ops, err := r.SplitSpec(limit, maxOps)
	if err != nil {
		t.Fatal(err)
	}
	if wireformat.UpdatingGolden() {
		wireformat.CheckGolden(t, "pieces", wireformat.IndentJSON(t, ops))
	}
	var recorded []statekv.Event
	if err := json.Unmarshal([]byte(wireformat.ReadGolden(t, "pieces")), &recorded); err != nil {
		t.Fatal(err)
	}
	r.SpecFragments = len(recorded)
	raw, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseRecord(raw)
	if err != nil {
		t.Fatal(err)
	}
	err = got.JoinSpec(func(key string) (statekv.KV, bool) {
		for _, e := range recorded {
			if e.Set == key {
				return statekv.KV{Key: key, Value: e.Value}, true
			}
		}
		return statekv.KV{}, false
	})
	if err != nil || !reflect.DeepEqual(got.Spec, want) {
		t.Errorf("recorded fragments: got %+v, %v; want %+v", got.Spec, err, want)
	}
}
