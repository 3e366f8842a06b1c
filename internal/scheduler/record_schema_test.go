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

// After a change of the cluster version nothing is recorded in the previous schema: the write has a
// conflict, the scheduler sees the new version and writes the tombstone in the formats of that
// version.
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
			t.Fatal("wk-1 is not recorded as done")
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
			t.Error("wk-2 is not recorded as done in the compact format only")
		}
	})
}

// All controllers of the version without cluster versions stop, and this version starts on their
// stored state. Unfinished jobs are loaded, each task is started once its machine's lease has
// expired, done and cancelled jobs keep their status, and new tombstones have the format that the
// previous version reads.
func TestStoredStateOfSchemaZeroIsLoaded(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		raw, err := os.ReadFile("../rollout/testdata/form0.json")
		if err != nil {
			t.Fatal(err)
		}
		var dump statekv.Page
		if err := json.Unmarshal(raw, &dump); err != nil {
			t.Fatal(err)
		}
		previousStatus, open := map[string]string{}, []string{}
		for _, kv := range dump.Items {
			if _, isSession := strings.CutPrefix(kv.Key, statekv.SessionPrefix); isSession {
				continue // the leases of the sessions have expired
			}
			if _, err := cluster.state.Txn(cluster.ctx, nil, []statekv.Op{{Set: kv.Key, Value: kv.Value}}); err != nil {
				t.Fatal(err)
			}
			if id, ok := strings.CutPrefix(kv.Key, job.RecordPrefix); ok {
				open = append(open, id)
			}
			if id, r, ok, _ := tombstone.Parse(kv.Key, kv.Value); ok {
				previousStatus[id] = r.Status
			}
		}
		cluster.start("host-0")
		for range 30 {
			cluster.advance(5 * time.Second)
			cluster.exitAllTasks(worker.CauseDone)
		}
		for id, status := range previousStatus {
			if got := cluster.finalStatus(id); got != status {
				t.Errorf("%s: got status %s, want %s", id, got, status)
			}
		}
		for _, id := range open {
			kv, err := cluster.state.Get(cluster.ctx, tombstone.LegacyKey(id))
			if err != nil || cluster.finalStatus(id) != job.Done {
				t.Errorf("%s is not recorded as done in the legacy format: %s, error %v", id, kv.Value, err)
			}
		}
		for task, n := range cluster.startCounts() {
			if n != 1 {
				t.Errorf("%s: got %d starts, want 1", task, n)
			}
		}
		if r, err := rollout.CheckStore(cluster.ctx, cluster.state); err != nil || !r.Compatible() {
			t.Errorf("stored state is incompatible: %+v, error %v", r, err)
		}
	})
}

// A job shard and a job record in schemas that this build does not know are neither acquired nor
// changed. They are reported as undecodable, and all other jobs are served.
func TestUnknownSchemasAreNotModified(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		unknown := map[string]any{
			statekv.JobShardPrefix + "host-9.1": map[string]any{"form": 1, "host": "host-9", "instance": 1},
			job.RecordPrefix + "wk-7":           map[string]any{"form": 3, "what": "ever"},
		}
		for key, value := range unknown {
			if _, err := cluster.state.Txn(cluster.ctx, nil, []statekv.Op{{Set: key, Value: value}}); err != nil {
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
			t.Error("wk-1, in a known schema, is not recorded as done")
		}
		for key, value := range unknown {
			want, _ := json.Marshal(value)
			kv, err := cluster.state.Get(cluster.ctx, key)
			if err != nil || string(kv.Value) != string(want) {
				t.Errorf("%s: got %s, error %v; want %s", key, kv.Value, err, want)
			}
		}
		if undecodable := controller.mirror.Undecodable(); undecodable[statekv.JobShardPrefix+"host-9.1"] == "" {
			t.Errorf("got undecodable keys %v, want the job shard of host-9 among them", undecodable)
		}
	})
}

// The value size limit may be lowered while jobs are open. A record that an earlier version wrote
// larger than the limit gets its spec split into fragments at its next write, and its job goes on
// after a takeover. All writes stay within the limits for values and transactions.
func TestLargeRecordOfEarlierVersionIsSplit(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.enableDependencies()
		cluster.stateLimits = [2]int{2048, 8}
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		spec := newSpec("wk-1", job.Array, 90_000, 1)
		for k := range 40 {
			spec.Types = append(spec.Types, fmt.Sprintf("type-%d-%080d", k, k*7919))
		}
		spec.Types = append(spec.Types, "box")
		cluster.submit(controller, spec)
		cluster.state.SetSizeLimits(2048, 8)
		cluster.advance(4 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(6 * time.Second)
		kv, err := cluster.state.Get(cluster.ctx, job.RecordKey("wk-1"))
		if err != nil || len(kv.Value) > 2048 {
			t.Fatalf("got a record of %d bytes, error %v; want at most 2048", len(kv.Value), err)
		}
		fragments := len(cluster.state.ListAll(job.SpecFragmentPrefix))
		cluster.crash(controller, 1)
		time.Sleep(40 * time.Second)
		cluster.start("host-1")
		cluster.advance(10 * time.Second)
		if len(cluster.startCounts()) <= 4 || fragments == 0 {
			t.Fatalf("got %d spec fragments and start counts %v after the takeover", fragments, cluster.startCounts())
		}
		if violations := cluster.state.SizeViolations(); len(violations) > 0 {
			t.Errorf("limits of the state service exceeded: %v", violations)
		}
	})
}
