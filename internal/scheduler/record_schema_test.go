package scheduler_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// Under a cluster version that has changed, nothing is recorded in the schema of before: the
// scheduler meets a conflict, sees the new version, and records the end in both schemas.
func TestFinalRecordFollowsClusterVersion(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 2, 1))
		cluster.advance(4 * time.Second)
		cluster.setClusterVersion(rollout.FeatureVersionGate, rollout.FeatureFailureHistory, rollout.FeatureTombstones)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		if cluster.finalStatus("wk-1") != job.Done {
			t.Fatal("not recorded")
		}
		for _, key := range []string{tombstone.LegacyKey("wk-1"), tombstone.Key("wk-1")} {
			if _, err := cluster.state.Get(cluster.ctx, key); err != nil {
				t.Errorf("%s: %v", key, err)
			}
		}
		cluster.setClusterVersion(rollout.FeatureVersionGate, rollout.FeatureFailureHistory,
			rollout.FeatureTombstones, rollout.FeatureCompactTombstonesOnly)
		cluster.submit(controller, newSpec("wk-2", job.Array, 2, 1))
		cluster.advance(4 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		_, err := cluster.state.Get(cluster.ctx, tombstone.LegacyKey("wk-2"))
		if cluster.finalStatus("wk-2") != job.Done || err == nil {
			t.Error("the legacy schema is written still")
		}
	})
}

// All controllers of the version before there were levels end at once, and this one is
// started on what they left: unfinished jobs are taken up, each task is started once
// its machine's lease is over, what was done or cancelled stays so, and the records of
// later ends have the schema that the former version reads.
func TestStateOfSchemaZeroIsTakenUp(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		raw, err := os.ReadFile("../rollout/testdata/form0.json")
		if err != nil {
			t.Fatal(err)
		}
		var dump statekv.Page
		if err := json.Unmarshal(raw, &dump); err != nil {
			t.Fatal(err)
		}
		before, open := map[string]string{}, []string{}
		for _, kv := range dump.Items {
			if _, session := strings.CutPrefix(kv.Key, statekv.SessionPrefix); session {
				continue // their leases have ended
			}
			if _, err := cluster.state.Txn(cluster.ctx, nil, []statekv.Op{{Set: kv.Key, Value: kv.Value}}); err != nil {
				t.Fatal(err)
			}
			if id, ok := strings.CutPrefix(kv.Key, job.RecordPrefix); ok {
				open = append(open, id)
			}
			if id, r, ok, _ := tombstone.Parse(kv.Key, kv.Value); ok {
				before[id] = r.Status
			}
		}
		cluster.start("host-0")
		for range 30 {
			cluster.advance(5 * time.Second)
			cluster.exitAllTasks(worker.CauseDone)
		}
		for id, status := range before {
			if got := cluster.finalStatus(id); got != status {
				t.Errorf("%s was %s and is %s", id, status, got)
			}
		}
		for _, id := range open {
			kv, err := cluster.state.Get(cluster.ctx, tombstone.LegacyKey(id))
			if err != nil || cluster.finalStatus(id) != job.Done {
				t.Errorf("%s: %s %v", id, kv.Value, err)
			}
		}
		for task, n := range cluster.startCounts() {
			if n != 1 {
				t.Errorf("%s was started %d times", task, n)
			}
		}
		if r, err := rollout.CheckStore(cluster.ctx, cluster.state); err != nil || !r.Compatible() {
			t.Errorf("%+v %v", r, err)
		}
	})
}

// What a later version wrote is left alone, and the rest is served: a job shard and a record
// of schemas that this build does not know are neither taken nor changed, and are listed.
func TestUnknownSchemasAreLeftAlone(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		later := map[string]any{
			statekv.JobShardPrefix + "host-9.1": map[string]any{"form": 1, "host": "host-9", "instance": 1},
			job.RecordPrefix + "wk-7":           map[string]any{"form": 3, "what": "ever"},
		}
		for key, v := range later {
			if _, err := cluster.state.Txn(cluster.ctx, nil, []statekv.Op{{Set: key, Value: v}}); err != nil {
				t.Fatal(err)
			}
		}
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 2, 1))
		cluster.advance(10 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		if cluster.finalStatus("wk-1") != job.Done {
			t.Error("the rest is not served")
		}
		for key, v := range later {
			want, _ := json.Marshal(v)
			kv, err := cluster.state.Get(cluster.ctx, key)
			if err != nil || string(kv.Value) != string(want) {
				t.Errorf("%s: %s, %v", key, kv.Value, err)
			}
		}
		if bad := controller.mirror.Undecodable(); bad[statekv.JobShardPrefix+"host-9.1"] == "" {
			t.Errorf("listed: %v", bad)
		}
	})
}

// Guards against a limit that comes in the middle: a record that the former version wrote
// larger than a value may be now gets its spec split into fragments when it is next written, and
// goes on to its end; what is left beside it is within what one transaction takes.
func TestLargeRecordOfEarlierVersionIsSplit(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.enableDependencies()
		cluster.stateLimits = [2]int{2048, 8}
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		s := newSpec("wk-1", job.Array, 90_000, 1)
		for k := range 40 {
			s.Types = append(s.Types, fmt.Sprintf("type-%d-%080d", k, k*7919))
		}
		s.Types = append(s.Types, "box")
		cluster.submit(controller, s)
		cluster.state.SetSizeLimits(2048, 8)
		cluster.advance(4 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(6 * time.Second)
		kv, err := cluster.state.Get(cluster.ctx, job.RecordKey("wk-1"))
		if err != nil || len(kv.Value) > 2048 {
			t.Fatalf("%d bytes: %v", len(kv.Value), err)
		}
		fragments := len(cluster.state.ListAll(job.SpecFragmentPrefix))
		cluster.crash(controller, 1)
		time.Sleep(40 * time.Second)
		cluster.start("host-1")
		cluster.advance(10 * time.Second)
		if len(cluster.startCounts()) <= 4 || fragments == 0 {
			t.Fatalf("%d fragments; it did not go on: %v", fragments, cluster.startCounts())
		}
		if over := cluster.state.SizeViolations(); len(over) > 0 {
			t.Error(over)
		}
	})
}
