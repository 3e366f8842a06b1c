package rollout

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

func recorded(t *testing.T) *Reading {
	t.Helper()
	f, err := os.Open("testdata/form0.json") // what commit 37bc5da left after some jobs
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	r, err := ReadDump(f)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// What the version before there were levels has stored is read, all of it.
func TestFormZeroIsRead(t *testing.T) {
	r := recorded(t)
	if !r.Readable() || r.Level.N != 0 || r.Counts[RecordKind] != 3 || r.Counts["ended, former"] != 3 || r.Counts["machine"] == 0 || r.Counts["shard"] == 0 {
		t.Errorf("%+v", r)
	}
}

// What this build would not read is told by key before it is started, and so is a level
// that it lacks something for.
func TestWhatThisBuildWouldNotRead(t *testing.T) {
	for key, c := range map[string]struct{ value, why string }{
		job.OpenKey("wk-1"):              {`{"form":7,"spec":{}}`, "form 7"},
		job.OpenKey("wk-2"):              {`{"spec":{"id":"wk-2"}}`, "damaged"},
		tombstone.Key("wk-1"):            {`[3,"d",4]`, "form 3"},
		tombstone.FormerKey("wk-1"):      {`"mangled"`, "cannot unmarshal"},
		statekv.MachinePrefix + "vm-1":   {`{"form":1}`, "form 1"},
		statekv.MachineShardPrefix + "s": {`[]`, "cannot unmarshal"},
		statekv.JobShardPrefix + "s":     {`{"form":1}`, "form 1"},
		statekv.ClusterVersionKey:        {`{"form":9}`, "form 9"},
		statekv.RootPrefix + "novelty/x": {`{}`, "knows no such key"},
	} {
		r := recorded(t)
		r.Add(key, json.RawMessage(c.value))
		if r.Readable() || len(r.Bad) != 1 || r.Bad[0].Key != key || !strings.Contains(r.Bad[0].Why, c.why) {
			t.Errorf("%s: %+v", key, r.Bad)
		}
	}
	r := recorded(t)
	r.Add(statekv.ClusterVersionKey, json.RawMessage(`{"form":1,"level":1,"features":["teleport"]}`))
	var out strings.Builder
	if err := r.Print(&out); err != nil || r.Readable() || !strings.Contains(out.String(), `lacks feature "teleport"`) {
		t.Error(out.String(), err)
	}
	if _, err := ReadDump(strings.NewReader(`{"items":[`)); err == nil || !strings.Contains(err.Error(), "page 1") {
		t.Error(err)
	}
}
