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

// validSubmission has a field that no build knows.
const validSubmission = `{"id":"wk-000412","job_class":"train","owner":"vision","shape":"gang","rank":"high","pieces":16,"cpus":8.0,"gpus":1.0,"mem_gb":64.0,"bundle":"img-07","pull_gb":6.2,"host_kinds":["g8"],"site":null,"one_zone":true,"spread":false,"loaners":true,"guess_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0,"new_field":1}`

// A malformed submission is rejected by an error that names the field.
func TestSubmissionsAreParsedOrRejectedByField(t *testing.T) {
	if s, err := ParseSpec([]byte(validSubmission)); err != nil || s.Tasks != 16 || *s.DeadlineS != 900 {
		t.Fatalf("%+v: %v", s, err)
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
		{`"new_field":1`, `"waits_on":[` + idList(MaxDependencies+1) + `]`, "waits_on"},
	} {
		if _, err := ParseSpec([]byte(strings.Replace(validSubmission, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: error %v does not name %s", c.new, err, c.field)
		}
	}
}

// idList lists so many ids, as JSON.
func idList(n int) string {
	var out []string
	for k := range n {
		out = append(out, fmt.Sprintf(`"wk-%018d"`, k*7919))
	}
	return strings.Join(out, ",")
}

// The record of a submission without dependencies is as it was before there were any; ids
// that are given twice count once; hundreds of the longest fit a submission.
func TestDependenciesOfSubmission(t *testing.T) {
	for with, n := range map[string]int{`"x":1`: 0, `"waits_on":null`: 0, `"waits_on":[]`: 0, `"waits_on":["wk-1","wk-2","wk-1"]`: 2, `"waits_on":[` + idList(MaxDependencies) + `]`: MaxDependencies} {
		body := strings.Replace(validSubmission, `"new_field":1`, with, 1)
		s, err := ParseSpec([]byte(body))
		if err != nil || len(s.WaitsOn) != n || len(body) > 64<<10 {
			t.Errorf("%.40s: %v, %d bytes", with, err, len(body))
			continue
		}
		if raw, _ := json.Marshal(Record{Spec: *s}); n == 0 && strings.Contains(string(raw), "waits_on") {
			t.Errorf("%.40s: its record is not as it was: %s", with, raw)
		}
	}
	s, err := ParseSpec([]byte(strings.Replace(validSubmission, `"new_field":1`, `"waits_on":["wk-000412"]`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if r := s.UnschedulableReason(nil, nil); !strings.Contains(r, "waits for itself") {
		t.Error(r)
	}
}

// The spec of a record that is too large for one value is kept in fragments, and what is
// decoded is what was written, a later build's fields too; while the record grows it stays
// within the limit.
func TestSpecFragments(t *testing.T) {
	const limit, ops = 2048, 8
	s, err := ParseSpec([]byte(strings.Replace(validSubmission, `"new_field":1`, `"waits_on":[`+idList(500)+`]`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	s.Tasks = MaxTasks
	rec := Record{Spec: *s, JobShard: "host-0.1", SubmittedMS: 1, UnknownSpecFields: statekv.UnknownFields{"colour": json.RawMessage(`"blue"`)}}
	if !rec.ExceedsLimit(limit) {
		t.Fatal("it is not large")
	}
	fragments, err := rec.SplitSpec(limit, ops-1)
	if err != nil {
		t.Fatal(err)
	}
	done := NewTaskBitmap(MaxTasks)
	for k := range MaxTasks {
		done.Add(k)
	}
	rec.CompletedTasks = done.EncodeChunk(0)
	raw, err := json.Marshal(rec)
	if err != nil || len(raw) > limit || len(fragments) >= ops {
		t.Fatalf("%d bytes, %d fragments: %v", len(raw), len(fragments), err)
	}
	kept := map[string]json.RawMessage{}
	for _, op := range fragments {
		v, _ := json.Marshal(op.Value)
		if kept[op.Set] = v; len(v) > limit {
			t.Errorf("%s: %d bytes", op.Set, len(v))
		}
	}
	get := func(key string) (statekv.KV, bool) { v, ok := kept[key]; return statekv.KV{Key: key, Value: v}, ok }
	back, err := ParseRecord(raw)
	if err == nil {
		err = back.JoinSpec(get)
	}
	if err != nil {
		t.Fatal(err)
	}
	if back.KeepUnknownFields(raw); !reflect.DeepEqual(back.Spec, *s) || string(back.UnknownSpecFields["colour"]) != `"blue"` || back.UnknownFields != nil {
		t.Errorf("%.300s", back.UnknownSpecFields)
	}
	if again, _ := json.Marshal(back); string(again) != string(raw) {
		t.Errorf("written again it is another:\n%.200s\n%.200s", raw, again)
	}
	if got := len(AuxiliaryKeys(s.ID, s.Tasks, back.SpecFragments)); got != len(fragments)+ChunkCount(MaxTasks)-1 {
		t.Error(got)
	}
	// A fragment that is missing, damaged or another job's is an error.
	first := SpecFragmentKey(s.ID, 0)
	for what, v := range map[string]json.RawMessage{"missing": nil, "no text": json.RawMessage(`1`), "damaged": json.RawMessage(`"AAAA"`)} {
		was := kept[first]
		if kept[first] = v; v == nil {
			delete(kept, first)
		}
		bad, _ := ParseRecord(raw)
		if err := bad.JoinSpec(get); err == nil {
			t.Errorf("%s: joined", what)
		}
		kept[first] = was
	}
	// What does not fit at all is an error.
	if _, err := (&Record{Spec: *s}).SplitSpec(limit, 1); !errors.Is(err, ErrSpecTooLarge) {
		t.Error(err)
	}
	// An ordinary record fits as it is, however many tasks it has.
	plain, _ := ParseSpec([]byte(validSubmission))
	plain.Tasks = MaxTasks
	if (Record{Spec: *plain, JobShard: "host-0.123456", SubmittedMS: 1764633600000}).ExceedsLimit(limit) {
		t.Error("an ordinary job is large")
	}
}

// A job that can never run is told apart from one that has to wait.
func TestUnschedulableReason(t *testing.T) {
	types := map[string]cloud.MachineType{"g8": {Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}
	teams := map[string]config.Team{"vision": {Name: "vision", GPUQuota: 8}}
	s, err := ParseSpec([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	if r := s.UnschedulableReason(types, teams); !strings.Contains(r, "limit") {
		t.Errorf("a gang over the limit: %q", r)
	}
	s.Shape = Array
	if r := s.UnschedulableReason(types, teams); r != "" {
		t.Errorf("an array counts by the task: %q", r)
	}
	zone := "b"
	s.Zone = &zone
	if r := s.UnschedulableReason(types, teams); r == "" {
		t.Error("no machine type is offered in that zone")
	}
	s.Team = "nobody"
	if r := s.UnschedulableReason(types, teams); !strings.Contains(r, "team") {
		t.Errorf("unknown team: %q", r)
	}
}

// Completed tasks of the largest job fit their keys and are decoded as they were.
func TestCompletedTasksRoundTrip(t *testing.T) {
	const n = MaxTasks
	done := NewTaskBitmap(n)
	for i := 0; i < n; i += 3 {
		done.Add(i)
	}
	back := NewTaskBitmap(n)
	for k := range ChunkCount(n) {
		c := done.EncodeChunk(k)
		if len(c) > 4096 {
			t.Fatalf("chunk %d has %d bytes", k, len(c))
		}
		if err := back.LoadChunk(k, c); err != nil {
			t.Fatal(err)
		}
	}
	for i := range n {
		if back.Has(i) != (i%3 == 0) {
			t.Fatalf("task %d", i)
		}
	}
}

// What a later build wrote into a record, beside what this one knows and within the spec,
// is kept when this one rewrites it; and a record without anything unknown is written as it
// always was.
func TestRecordsKeepUnknownFields(t *testing.T) {
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
			t.Errorf("%s\nbecame %s", raw, out)
		}
		if raw == plain && string(out) != strings.Replace(plain, "Aw", "Bw", 1) {
			t.Errorf("a plain record is written as %s", out)
		}
	}
	var form *statekv.SchemaError
	if _, err := ParseRecord([]byte(strings.Replace(plain, `{"spec"`, `{"form":1,"spec"`, 1))); !errors.As(err, &form) {
		t.Error(err)
	}
}
