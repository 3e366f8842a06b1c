package job

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"robinstack/cloud"
	"robinstack/config"
	"robinstack/statekv"
)

const good = `{"id":"wk-000412","job_class":"train","owner":"vision","shape":"gang","rank":"high","pieces":16,"cpus":8.0,"gpus":1.0,"mem_gb":64.0,"bundle":"img-07","pull_gb":6.2,"host_kinds":["g8"],"site":null,"one_zone":true,"spread":false,"loaners":true,"guess_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0,"new_field":1}`

func TestSubmissionsAreReadOrRefusedWithAReason(t *testing.T) {
	if s, err := Parse([]byte(good)); err != nil || s.Tasks != 16 || *s.DeadlineS != 900 {
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
	} {
		if _, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: error %v does not name %s", c.new, err, c.field)
		}
	}
}

func TestWhatCanNeverRun(t *testing.T) {
	types := map[string]cloud.MachineType{"g8": {Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}
	teams := map[string]config.Team{"vision": {Name: "vision", GPUsMax: 8}}
	s, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if r := s.NeverRuns(types, teams); !strings.Contains(r, "limit") {
		t.Errorf("a gang over the limit: %q", r)
	}
	s.Shape = Array
	if r := s.NeverRuns(types, teams); r != "" {
		t.Errorf("an array counts by the task: %q", r)
	}
	zone := "b"
	s.Zone = &zone
	if r := s.NeverRuns(types, teams); r == "" {
		t.Error("no machine type is offered in that zone")
	}
	s.Team = "nobody"
	if r := s.NeverRuns(types, teams); !strings.Contains(r, "team") {
		t.Errorf("unknown team: %q", r)
	}
}

// Finished tasks of the largest job fit their keys and come back whole.
func TestFinishedTasksSurviveTheirRecords(t *testing.T) {
	const n = MaxTasks
	done := NewSet(n)
	for i := 0; i < n; i += 3 {
		done.Add(i)
	}
	back := NewSet(n)
	for k := range Chunks(n) {
		c := done.Chunk(k)
		if len(c) > 4096 {
			t.Fatalf("chunk %d has %d bytes", k, len(c))
		}
		if err := back.Load(k, c); err != nil {
			t.Fatal(err)
		}
	}
	for i := range n {
		if back.Has(i) != (i%3 == 0) {
			t.Fatalf("task %d", i)
		}
	}
}

// What a later version wrote into a record, beside what this one knows and within the
// spec, is there again after this one has rewritten it; and a record without anything
// unknown is written as it always was.
func TestRecordsKeepWhatTheyDoNotKnow(t *testing.T) {
	plain := `{"spec":{"id":"wk-1","job_class":"c","owner":"t","shape":"sweep","rank":"high","pieces":3,"cpus":1,"gpus":0,"mem_gb":1,"bundle":"i","pull_gb":1,"host_kinds":null,"site":null,"one_zone":false,"spread":false,"loaners":true,"guess_s":5,"snapshot_every_s":0,"snapshot_s":0,"due_s":null},"slot":"s","submitted_ms":7,"done":"Aw"}`
	later := strings.Replace(strings.Replace(plain, `"slot"`, `"colour":"blue","slot"`, 1), `"owner"`, `"price_cap":3,"owner"`, 1)
	for _, raw := range []string{plain, later} {
		rec, err := ParseRecord([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		rec.Keep([]byte(raw))
		rec.Done = "Bw"
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
	var form *statekv.FormError
	if _, err := ParseRecord([]byte(strings.Replace(plain, `{"spec"`, `{"form":1,"spec"`, 1))); !errors.As(err, &form) {
		t.Error(err)
	}
}
