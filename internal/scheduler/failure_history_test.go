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

// A job that fails everywhere was failed anew on several machines by each scheduler that
// took it over: what the last one knew is in its record, where the fleet has the
// feature, and only there.
func TestFailureHistorySurvivesFailover(t *testing.T) {
	tries := map[bool]int{}
	for _, noted := range []bool{false, true} {
		runScenario(t, func(cluster *testCluster) {
			if noted {
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
			if err != nil || strings.Contains(string(kv.Value), `"failed"`) != noted {
				t.Fatalf("noted %v: %s, %v", noted, kv.Value, err)
			}
			count := func() (n int) {
				for _, k := range cluster.startCounts() {
					n += k
				}
				return n
			}
			before := count()
			cluster.crash(first, 1)
			cluster.advance(8 * time.Second)
			for range 10 {
				cluster.advance(2 * time.Second)
				cluster.exitAllTasks(worker.CauseFailed)
			}
			tries[noted] += count() - before
		})
	}
	if tries[true] > 2 || tries[false] <= 2*tries[true] {
		t.Errorf("tries by the next scheduler: %d, without the recorded failures %d", tries[true], tries[false])
	}
}

// A record that is nearly as large as a value may be is written without the failures, rather
// than refused for ever.
func TestFailureHistoryIsLeftOutOfLargeRecord(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.setClusterVersion(rollout.FeatureVersionGate, rollout.FeatureFailureHistory)
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		s := newSpec("wk-1", job.Array, 4, 1)
		s.Image = strings.Repeat("i", 200)
		for k := 0; len(s.Types) < 50; k++ {
			s.Types = append(s.Types, fmt.Sprintf("%s%d", strings.Repeat("t", 98), k%10))
		}
		s.Types[0] = "box"
		raw, _ := json.Marshal(job.Record{Spec: s})
		s.Class = strings.Repeat("c", max(1, 8192-len(raw)-60))
		cluster.submit(controller, s)
		for range 6 {
			cluster.advance(2 * time.Second)
			cluster.exitAllTasks(worker.CauseFailed)
		}
		cluster.advance(3 * time.Second)
		kv, err := cluster.state.Get(cluster.ctx, job.RecordKey("wk-1"))
		if err != nil || len(kv.Value) > 8192 {
			t.Fatal(len(kv.Value), err)
		}
		t.Logf("the record has %d bytes", len(kv.Value))
	})
}
