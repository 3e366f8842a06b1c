package clusteragent_test

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// A record that cannot be read kept an agent from reading all others, again and again,
// so that the tasks of every job that it had taken over stayed unknown to it. It is
// listed and left, and its task goes on.
func TestUnreadableRecordDoesNotBlockOtherRecords(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		good := job.Record{JobShard: "s", Spec: job.Spec{ID: "wk-2", Team: "t", Shape: job.Array, Rank: "normal", Tasks: 1, Need: job.Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}}}
		for key, v := range map[string]any{job.RecordKey("wk-1"): "mangled", job.RecordKey("wk-2"): good} {
			if _, err := bed.state.Txn(bed.ctx, nil, []statekv.Op{{Set: key, Value: v}}); err != nil {
				t.Fatal(err)
			}
		}
		n := bed.startNode("host-0")
		w := bed.workers.Add("m1", "box", "a")
		bed.workers.WithLock(func() {
			for _, id := range []string{"wk-1/0", "wk-2/0"} {
				w.Heartbeat.Tasks = append(w.Heartbeat.Tasks, worker.Task{ID: id, Attempt: 1, State: worker.TaskRunning})
			}
		})
		for range 5 {
			n.sendHeartbeat(w)
			time.Sleep(time.Second)
		}
		known := map[string]bool{}
		for _, task := range n.entries()["m1"].Tasks {
			known[task.Job] = task.Known
		}
		if len(known) != 2 || known["wk-1"] || !known["wk-2"] {
			t.Errorf("known: %v", known)
		}
		if bed.taskCount(w) != 2 {
			t.Errorf("%d tasks are on the machine", bed.taskCount(w))
		}
		if bad := n.mirror.Undecodable(); bad[job.RecordKey("wk-1")] == "" {
			t.Errorf("listed: %v", bad)
		}
	})
}
