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

func recordedReport(t *testing.T) *CompatibilityReport {
	t.Helper()
	f, err := os.Open("testdata/form0.json") // what commit 37bc5da left after some jobs
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	report, err := CheckDump(f)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// What the build from before there were cluster versions has stored is decoded, all of it.
func TestSchemaZeroIsCompatible(t *testing.T) {
	report := recordedReport(t)
	if !report.Compatible() || report.Version.Number != 0 || report.Counts[JobRecordKind] != 3 || report.Counts["ended, former"] != 3 || report.Counts["machine"] == 0 || report.Counts["shard"] == 0 {
		t.Errorf("%+v", report)
	}
}

// What this build cannot decode is reported by key before it is started, and so is a
// version that it does not support.
func TestUndecodableValuesAreReported(t *testing.T) {
	for key, c := range map[string]struct{ value, reason string }{
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
		report := recordedReport(t)
		report.Add(key, json.RawMessage(c.value))
		if report.Compatible() || len(report.Undecodable) != 1 || report.Undecodable[0].Key != key || !strings.Contains(report.Undecodable[0].Reason, c.reason) {
			t.Errorf("%s: %+v", key, report.Undecodable)
		}
	}
	report := recordedReport(t)
	report.Add(statekv.ClusterVersionKey, json.RawMessage(`{"form":1,"level":1,"features":["teleport"]}`))
	var out strings.Builder
	if err := report.Print(&out); err != nil || report.Compatible() || !strings.Contains(out.String(), `lacks feature "teleport"`) {
		t.Error(out.String(), err)
	}
	if _, err := CheckDump(strings.NewReader(`{"items":[`)); err == nil || !strings.Contains(err.Error(), "page 1") {
		t.Error(err)
	}
}
