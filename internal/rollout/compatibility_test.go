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

func reportOfRecordedDump(t *testing.T) *CompatibilityReport {
	t.Helper()
	f, err := os.Open("testdata/form0.json") // the keys that commit 37bc5da stored while it ran some jobs
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

// Every value stored by a build that predates cluster versions can be decoded.
func TestSchemaZeroIsCompatible(t *testing.T) {
	report := reportOfRecordedDump(t)
	counts := report.Counts
	if !report.Compatible() || report.Version.Number != 0 || counts[JobRecordKind] != 3 ||
		counts["ended, former"] != 3 || counts["machine"] == 0 || counts["shard"] == 0 {
		t.Errorf("got %+v, want 3 job records, 3 legacy tombstones, machines and shards, all decodable", report)
	}
}

// The check that runs before a build is started reports each value that the build cannot decode by
// its key, and a cluster version that the build does not support.
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
		report := reportOfRecordedDump(t)
		report.Add(key, json.RawMessage(c.value))
		if report.Compatible() || len(report.Undecodable) != 1 || report.Undecodable[0].Key != key ||
			!strings.Contains(report.Undecodable[0].Reason, c.reason) {
			t.Errorf("%s: got undecodable values %+v, want only this key with a reason that contains %q",
				key, report.Undecodable, c.reason)
		}
	}
	report := reportOfRecordedDump(t)
	report.Add(statekv.ClusterVersionKey, json.RawMessage(`{"form":1,"level":1,"features":["teleport"]}`))
	var out strings.Builder
	if err := report.Print(&out); err != nil || report.Compatible() ||
		!strings.Contains(out.String(), `lacks feature "teleport"`) {
		t.Errorf("report of an unsupported version: %s %v", out.String(), err)
	}
	if _, err := CheckDump(strings.NewReader(`{"items":[`)); err == nil || !strings.Contains(err.Error(), "page 1") {
		t.Errorf("truncated dump: got error %v, want one that names page 1", err)
	}
}
