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
	wireformat.JSON[Spec](t, "spec")
	wireformat.JSON[Record](t, "record")
	wireformat.Golden(t, "keys", RecordKey("wk-1")+"\n"+CompletedChunkKey("wk-1", 2)+"\n"+SpecFragmentKey("wk-1", 3)+"\n")
	wireformat.Golden(t, "words", strings.Join([]string{Array, Gang, Service, Queued, Running, Done, Cancelled,
		"production", "high", "normal", "best_effort"}, "\n")+"\n")
	wireformat.Golden(t, "required", strings.Join(required, "\n")+"\n")
	for name, rank := range map[string]int{"production": 3, "high": 2, "normal": 1, "best_effort": 0} {
		if PriorityOfRank(name) != rank {
			t.Errorf("rank %s is %d, want %d", name, PriorityOfRank(name), rank)
		}
	}
}

// A record is written with what a later version wrote beside its fields and in its spec.
func TestWireRecordOfALaterVersion(t *testing.T) {
	var r Record
	wireformat.Fill(&r)
	r.Schema, r.SpecFragments, r.Spec.ID, r.Spec.Tasks = RecordSchema, 0, "wk-1", 9000
	finished := NewTaskBitmap(r.Spec.Tasks)
	finished.Add(0)
	finished.Add(70)
	r.CompletedTasks = finished.EncodeChunk(0)
	r.UnknownFields = statekv.UnknownFields{"later": json.RawMessage(`[1]`)}
	r.UnknownSpecFields = statekv.UnknownFields{"later_too": json.RawMessage(`{"a":2}`)}
	wireformat.Golden(t, "record-later", wireformat.Indent(t, r))

	raw := json.RawMessage(wireformat.Recorded(t, "record-later"))
	got, err := ParseRecord(raw)
	if err != nil {
		t.Fatal(err)
	}
	got.KeepUnknownFields(raw)
	if wireformat.Indent(t, got) != wireformat.Indent(t, r) {
		t.Errorf("the recorded record reads as %+v, want %+v", got, r)
	}
	read := NewTaskBitmap(r.Spec.Tasks)
	if err := read.LoadChunk(0, got.CompletedTasks); err != nil || !reflect.DeepEqual(read, finished) {
		t.Errorf("the finished tasks read as %v, %v; want %v", read, err, finished)
	}
}

// Fragments are recorded to be read; what packs them may pack them otherwise.
func TestWireSpecFragments(t *testing.T) {
	var r Record
	wireformat.Fill(&r)
	r.Schema, r.Spec.ID, r.Spec.Tasks = RecordSchema, "wk-1", 9000
	want := r.Spec
	const limit, most = 200, 8
	ops, err := r.SplitSpec(limit, most)
	if err != nil {
		t.Fatal(err)
	}
	if wireformat.Updating() {
		wireformat.Golden(t, "pieces", wireformat.Indent(t, ops))
	}
	var recorded []statekv.Event
	if err := json.Unmarshal([]byte(wireformat.Recorded(t, "pieces")), &recorded); err != nil {
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
		t.Errorf("the recorded pieces read as %+v, %v; want %+v", got.Spec, err, want)
	}
}
