package scheduler_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/worker"
)

// Each scheduler that took over a job that fails everywhere needed failures on several machines
// again to find the job at fault. The failure history is now part of the job's record, if and only
// if the cluster version enables it.
func TestFailureHistorySurvivesFailover(t *testing.T) {
	starts := map[bool]int{}
	for _, enabled := range []bool{false, true} {
		runScenario(t, func(cluster *testCluster) {
			if enabled {
				cluster.setClusterVersion(rollout.FeatureVersionGate, rollout.FeatureFailureHistory)
			}
			first := cluster.start("host-0")
			cluster.advance(3 * time.Second)
			cluster.start("host-1")
			cluster.machines = append(cluster.machines,
				cluster.workers.Add("m3", "box", "a"), cluster.workers.Add("m4", "box", "b"))
			cluster.advance(3 * time.Second)
			cluster.submit(first, newSpec("wk-1", job.Array, 8, 1))
			for range 8 {
				cluster.advance(2 * time.Second)
				cluster.exitAllTasks(worker.CauseFailed)
			}
			cluster.advance(3 * time.Second)
			kv, err := cluster.state.Get(cluster.ctx, job.RecordKey("wk-1"))
			if err != nil || strings.Contains(string(kv.Value), `"failed"`) != enabled {
				t.Fatalf("failure history enabled %v: got record %s, error %v", enabled, kv.Value, err)
			}
			countAllStarts := func() (n int) {
				for _, count := range cluster.startCounts() {
					n += count
				}
				return n
			}
			before := countAllStarts()
			cluster.crash(first, 1)
			cluster.advance(8 * time.Second)
			for range 10 {
				cluster.advance(2 * time.Second)
				cluster.exitAllTasks(worker.CauseFailed)
			}
			starts[enabled] += countAllStarts() - before
		})
	}
	if starts[true] > 2 || starts[false] <= 2*starts[true] {
		t.Errorf("got %d starts by the next scheduler with the failure history, %d without",
			starts[true], starts[false])
	}
}

// A record just below the value size limit is written without its failure history, because a write
// that exceeds the limit would be rejected forever.
func TestFailureHistoryIsOmittedFromLargeRecord(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.setClusterVersion(rollout.FeatureVersionGate, rollout.FeatureFailureHistory)
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		spec := newSpec("wk-1", job.Array, 4, 1)
		spec.Image = strings.Repeat("i", 200)
		for k := 0; len(spec.Types) < 50; k++ {
			spec.Types = append(spec.Types, fmt.Sprintf("%s%d", strings.Repeat("t", 98), k%10))
		}
		spec.Types[0] = "box"
		raw, _ := json.Marshal(job.Record{Spec: spec})
		spec.Class = strings.Repeat("c", max(1, 8192-len(raw)-60))
		cluster.submit(controller, spec)
		for range 6 {
			cluster.advance(2 * time.Second)
			cluster.exitAllTasks(worker.CauseFailed)
		}
		cluster.advance(3 * time.Second)
		kv, err := cluster.state.Get(cluster.ctx, job.RecordKey("wk-1"))
		if err != nil || len(kv.Value) > 8192 {
			t.Fatalf("got a record of %d bytes, error %v; want at most 8192", len(kv.Value), err)
		}
		t.Logf("record size: %d bytes", len(kv.Value))
	})
}
