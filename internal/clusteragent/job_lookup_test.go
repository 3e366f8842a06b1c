package clusteragent_test

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// A job record that cannot be decoded kept an agent from reading all other records, so that the
// tasks of all jobs that it had taken over stayed unknown to it. Such a record must be listed as
// undecodable and left unchanged, and its task must keep running.
func TestUndecodableRecordDoesNotBlockOtherRecords(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		decodable := job.Record{JobShard: "s", Spec: job.Spec{ID: "wk-2", Team: "t", Shape: job.Array, Rank: "normal", Tasks: 1, Need: job.Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}}}
		for key, v := range map[string]any{job.RecordKey("wk-1"): "mangled", job.RecordKey("wk-2"): decodable} {
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
			t.Errorf("got known jobs %v, want wk-2 known and wk-1 unknown", known)
		}
		if bed.taskCount(w) != 2 {
			t.Errorf("got %d tasks on the machine, want 2", bed.taskCount(w))
		}
		if undecodable := n.mirror.Undecodable(); undecodable[job.RecordKey("wk-1")] == "" {
			t.Errorf("got undecodable keys %v, want the record of wk-1 among them", undecodable)
		}
	})
}
