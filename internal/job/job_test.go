package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/statekv"
)

// validSubmission contains one field that is unknown to every build.
const validSubmission = `{"id":"wk-000412","job_class":"train","owner":"vision","shape":"gang","rank":"high","pieces":16,"cpus":8.0,"gpus":1.0,"mem_gb":64.0,"bundle":"img-07","pull_gb":6.2,"host_kinds":["g8"],"site":null,"one_zone":true,"spread":false,"loaners":true,"guess_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0,"new_field":1}`

// A malformed submission is rejected with an error that names the field.
func TestParseSpec(t *testing.T) {
	if s, err := ParseSpec([]byte(validSubmission)); err != nil || s.Tasks != 16 || *s.DeadlineS != 900 {
		t.Fatalf("valid submission: got %+v, %v; want 16 tasks and a deadline of 900 s", s, err)
	}
	for _, c := range []struct{ old, new, field string }{
		{`"pieces":16`, `"pieces":0`, "pieces"},
		{`"pieces":16`, `"pieces":100001`, "pieces"},
		{`"pieces":16`, `"pieces":1.5`, "pieces"},
		{`"pieces":16,`, ``, "pieces"},
		{`"cpus":8.0`, `"cpus":-1`, "cpus"},
		{`"cpus":8.0`, `"cpus":"8"`, "cpus"},
		{`"gpus":1.0`, `"gpus":1e300`, "gpus"},
		{`"id":"wk-000412"`, `"id":"wk-4/1"`, "id"},
		{`"shape":"gang"`, `"shape":"swarm"`, "shape"},
		{`"rank":"high"`, `"rank":null`, "rank"},
		{`"owner":"vision"`, `"owner":""`, "owner"},
		{`{"id"`, `[{"id"`, "object"},
		{`"new_field":1`, `"waits_on":"wk-1"`, "waits_on"},
		{`"new_field":1`, `"waits_on":[1]`, "waits_on"},
		{`"new_field":1`, `"waits_on":["job-1"]`, "waits_on"},
		{`"new_field":1`, `"waits_on":["wk-1",null]`, "waits_on"},
		{`"new_field":1`, `"waits_on":{"wk-1":1}`, "waits_on"},
		{`"new_field":1`, `"waits_on":[` + idListJSON(MaxDependencies+1) + `]`, "waits_on"},
	} {
		if _, err := ParseSpec([]byte(strings.Replace(validSubmission, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: got error %v, want one that names %s", c.new, err, c.field)
		}
	}
}

// idListJSON returns n job ids of maximum length as the elements of a JSON list.
func idListJSON(n int) string {
	var ids []string
	for k := range n {
		ids = append(ids, fmt.Sprintf(`"wk-%018d"`, k*7919))
	}
	return strings.Join(ids, ",")
}

// Repeated dependencies count once, and the largest allowed number of ids of maximum length fits a
// submission. The record of a job without dependencies is the same as in builds that do not support
// them.
func TestParseSpecDependencies(t *testing.T) {
	for field, n := range map[string]int{`"x":1`: 0, `"waits_on":null`: 0, `"waits_on":[]`: 0, `"waits_on":["wk-1","wk-2","wk-1"]`: 2, `"waits_on":[` + idListJSON(MaxDependencies) + `]`: MaxDependencies} {
		body := strings.Replace(validSubmission, `"new_field":1`, field, 1)
		s, err := ParseSpec([]byte(body))
		if err != nil || len(s.WaitsOn) != n || len(body) > 64<<10 {
			t.Errorf("%.40s: got error %v and %d bytes, want %d dependencies in at most 64 KiB", field, err, len(body), n)
			continue
		}
		if raw, _ := json.Marshal(Record{Spec: *s}); n == 0 && strings.Contains(string(raw), "waits_on") {
			t.Errorf("%.40s: record of a job without dependencies has the field waits_on: %s", field, raw)
		}
	}
	s, err := ParseSpec([]byte(strings.Replace(validSubmission, `"new_field":1`, `"waits_on":["wk-000412"]`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if r := s.UnschedulableReason(nil, nil); !strings.Contains(r, "waits for itself") {
		t.Errorf("job that depends on itself: got reason %q", r)
	}
}

// A spec that is too large for one value is stored in fragments and decoded unchanged, including
// the fields of a later build. The record stays within the size limit when all tasks are completed.
func TestSpecFragments(t *testing.T) {
	const limit, maxOps = 2048, 8
	s, err := ParseSpec([]byte(strings.Replace(validSubmission, `"new_field":1`, `"waits_on":[`+idListJSON(500)+`]`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	s.Tasks = MaxTasks
	rec := Record{Spec: *s, JobShard: "host-0.1", SubmittedMS: 1, UnknownSpecFields: statekv.UnknownFields{"colour": json.RawMessage(`"blue"`)}}
	if !rec.ExceedsLimit(limit) {
		t.Fatalf("record with 500 dependencies does not exceed the limit of %d bytes", limit)
	}
	fragments, err := rec.SplitSpec(limit, maxOps-1)
	if err != nil {
		t.Fatal(err)
	}
	done := NewTaskBitmap(MaxTasks)
	for k := range MaxTasks {
		done.Add(k)
	}
	rec.CompletedTasks = done.EncodeChunk(0)
	raw, err := json.Marshal(rec)
	if err != nil || len(raw) > limit || len(fragments) >= maxOps {
		t.Fatalf("got a record of %d bytes, %d fragments and error %v; want at most %d bytes and fewer than %d fragments",
			len(raw), len(fragments), err, limit, maxOps)
	}
	stored := map[string]json.RawMessage{}
	for _, op := range fragments {
		value, _ := json.Marshal(op.Value)
		if stored[op.Set] = value; len(value) > limit {
			t.Errorf("%s: got %d bytes, want at most %d", op.Set, len(value), limit)
		}
	}
	get := func(key string) (statekv.KV, bool) {
		value, ok := stored[key]
		return statekv.KV{Key: key, Value: value}, ok
	}
	decoded, err := ParseRecord(raw)
	if err == nil {
		err = decoded.JoinSpec(get)
	}
	if err != nil {
		t.Fatal(err)
	}
	if decoded.KeepUnknownFields(raw); !reflect.DeepEqual(decoded.Spec, *s) || string(decoded.UnknownSpecFields["colour"]) != `"blue"` || decoded.UnknownFields != nil {
		t.Errorf("decoded record differs: spec %.300v, unknown spec fields %.300s, unknown fields %.300s",
			decoded.Spec, decoded.UnknownSpecFields, decoded.UnknownFields)
	}
	if reencoded, _ := json.Marshal(decoded); string(reencoded) != string(raw) {
		t.Errorf("record encoded again: got %.200s, want %.200s", reencoded, raw)
	}
	if got := len(AuxiliaryKeys(s.ID, s.Tasks, decoded.SpecFragments)); got != len(fragments)+ChunkCount(MaxTasks)-1 {
		t.Errorf("got %d auxiliary keys, want %d", got, len(fragments)+ChunkCount(MaxTasks)-1)
	}
	// A missing or damaged fragment is an error.
	first := SpecFragmentKey(s.ID, 0)
	for name, value := range map[string]json.RawMessage{"missing": nil, "not a string": json.RawMessage(`1`), "damaged": json.RawMessage(`"AAAA"`)} {
		original := stored[first]
		if stored[first] = value; value == nil {
			delete(stored, first)
		}
		damaged, _ := ParseRecord(raw)
		if err := damaged.JoinSpec(get); err == nil {
			t.Errorf("%s fragment: JoinSpec succeeded, want an error", name)
		}
		stored[first] = original
	}
	// A spec that needs more fragments than allowed is an error.
	if _, err := (&Record{Spec: *s}).SplitSpec(limit, 1); !errors.Is(err, ErrSpecTooLarge) {
		t.Errorf("got %v, want ErrSpecTooLarge", err)
	}
	// An ordinary record is not split, however many tasks the job has.
	plain, _ := ParseSpec([]byte(validSubmission))
	plain.Tasks = MaxTasks
	if (Record{Spec: *plain, JobShard: "host-0.123456", SubmittedMS: 1764633600000}).ExceedsLimit(limit) {
		t.Errorf("record of an ordinary job with %d tasks exceeds the limit of %d bytes", plain.Tasks, limit)
	}
}

// A job that can never run is distinguished from one that only has to wait.
func TestUnschedulableReason(t *testing.T) {
	types := map[string]cloud.MachineType{"g8": {Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}
	teams := map[string]config.Team{"vision": {Name: "vision", GPUQuota: 8}}
	s, err := ParseSpec([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	if r := s.UnschedulableReason(types, teams); !strings.Contains(r, "limit") {
		t.Errorf("gang above the quota of its team: got reason %q", r)
	}
	s.Shape = Array
	if r := s.UnschedulableReason(types, teams); r != "" {
		t.Errorf("array each of whose tasks is within the quota: got reason %q, want none", r)
	}
	zone := "b"
	s.Zone = &zone
	if r := s.UnschedulableReason(types, teams); r == "" {
		t.Error("zone without machine types: got no reason")
	}
	s.Team = "nobody"
	if r := s.UnschedulableReason(types, teams); !strings.Contains(r, "team") {
		t.Errorf("unknown team: got reason %q", r)
	}
}

// The completed tasks of the largest job are decoded unchanged, and every chunk fits a value.
func TestCompletedTasksRoundTrip(t *testing.T) {
	const n = MaxTasks
	done := NewTaskBitmap(n)
	for i := 0; i < n; i += 3 {
		done.Add(i)
	}
	decoded := NewTaskBitmap(n)
	for k := range ChunkCount(n) {
		encoded := done.EncodeChunk(k)
		if len(encoded) > 4096 {
			t.Fatalf("chunk %d: got %d bytes, want at most 4096", k, len(encoded))
		}
		if err := decoded.LoadChunk(k, encoded); err != nil {
			t.Fatal(err)
		}
	}
	for i := range n {
		if decoded.Has(i) != (i%3 == 0) {
			t.Fatalf("task %d: got completed %t, want %t", i, decoded.Has(i), i%3 == 0)
		}
	}
}

// A record that a later build wrote keeps its unknown fields, also those within the spec, when this
// build rewrites it. A record without unknown fields is written unchanged.
func TestRecordPreservesUnknownFields(t *testing.T) {
	plain := `{"spec":{"id":"wk-1","job_class":"c","owner":"t","shape":"sweep","rank":"high","pieces":3,"cpus":1,"gpus":0,"mem_gb":1,"bundle":"i","pull_gb":1,"host_kinds":null,"site":null,"one_zone":false,"spread":false,"loaners":true,"guess_s":5,"snapshot_every_s":0,"snapshot_s":0,"due_s":null},"slot":"s","submitted_ms":7,"done":"Aw"}`
	later := strings.Replace(strings.Replace(plain, `"slot"`, `"colour":"blue","slot"`, 1), `"owner"`, `"price_cap":3,"owner"`, 1)
	for _, raw := range []string{plain, later} {
		rec, err := ParseRecord([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		rec.KeepUnknownFields([]byte(raw))
		rec.CompletedTasks = "Bw"
		out, err := json.Marshal(rec)
		if err != nil {
			t.Fatal(err)
		}
		var got, want any
		if json.Unmarshal(out, &got) != nil || json.Unmarshal([]byte(strings.Replace(raw, "Aw", "Bw", 1)), &want) != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("rewritten record: got %s, want %s", out, strings.Replace(raw, "Aw", "Bw", 1))
		}
		if raw == plain && string(out) != strings.Replace(plain, "Aw", "Bw", 1) {
			t.Errorf("record without unknown fields: got %s, want %s", out, strings.Replace(plain, "Aw", "Bw", 1))
		}
	}
	var schemaErr *statekv.SchemaError
	if _, err := ParseRecord([]byte(strings.Replace(plain, `{"spec"`, `{"form":1,"spec"`, 1))); !errors.As(err, &schemaErr) {
		t.Errorf("record of a later schema: got error %v, want a SchemaError", err)
	}
}
