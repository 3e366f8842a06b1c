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

func recorded(t *testing.T) *CompatibilityReport {
	t.Helper()
	f, err := os.Open("testdata/form0.json") // what commit 37bc5da left after some jobs
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	r, err := CheckDump(f)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// What the version before there were levels has stored is read, all of it.
func TestFormZeroIsRead(t *testing.T) {
	r := recorded(t)
	if !r.Compatible() || r.Version.Number != 0 || r.Counts[JobRecordKind] != 3 || r.Counts["ended, former"] != 3 || r.Counts["machine"] == 0 || r.Counts["shard"] == 0 {
		t.Errorf("%+v", r)
	}
}

// What this build would not read is told by key before it is started, and so is a level
// that it lacks something for.
func TestWhatThisBuildWouldNotRead(t *testing.T) {
	for key, c := range map[string]struct{ value, why string }{
		job.RecordKey("wk-1"):            {`{"form":7,"spec":{}}`, "form 7"},
		job.RecordKey("wk-2"):            {`{"spec":{"id":"wk-2"}}`, "damaged"},
		tombstone.Key("wk-1"):            {`[3,"d",4]`, "form 3"},
		tombstone.LegacyKey("wk-1"):      {`"mangled"`, "cannot unmarshal"},
		statekv.MachinePrefix + "vm-1":   {`{"form":1}`, "form 1"},
		statekv.MachineShardPrefix + "s": {`[]`, "cannot unmarshal"},
		statekv.JobShardPrefix + "s":     {`{"form":1}`, "form 1"},
		statekv.ClusterVersionKey:        {`{"form":9}`, "form 9"},
		statekv.RootPrefix + "novelty/x": {`{}`, "knows no such key"},
	} {
		r := recorded(t)
		r.Add(key, json.RawMessage(c.value))
		if r.Compatible() || len(r.Undecodable) != 1 || r.Undecodable[0].Key != key || !strings.Contains(r.Undecodable[0].Reason, c.why) {
			t.Errorf("%s: %+v", key, r.Undecodable)
		}
	}
	r := recorded(t)
	r.Add(statekv.ClusterVersionKey, json.RawMessage(`{"form":1,"level":1,"features":["teleport"]}`))
	var out strings.Builder
	if err := r.Print(&out); err != nil || r.Compatible() || !strings.Contains(out.String(), `lacks feature "teleport"`) {
		t.Error(out.String(), err)
	}
	if _, err := CheckDump(strings.NewReader(`{"items":[`)); err == nil || !strings.Contains(err.Error(), "page 1") {
		t.Error(err)
	}
}
