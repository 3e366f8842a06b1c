package clusteragent_test

import (
	"context"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// What is stopped for a gang is sought where few jobs become late by it: a job is
// done with its last task, so a fifth of all tasks stopped, spread over all jobs,
// made nearly every job late.
func TestPreemptionPrefersJobsThatStayOnTime(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		due := 100.0
		put := func(machine, id string, tasks int, age time.Duration, indices ...int) {
			w := workers.Add(machine, "box", "a")
			n.sendHeartbeat(workers, w)
			time.Sleep(time.Second)
			req := agentapi.CommitRequest{Machine: machine, Rev: n.entries()[machine].Rev}
			req.Slot, req.Epoch, req.Age = "s", epoch, age
			req.Spec = job.Spec{ID: id, Shape: job.Array, Rank: "normal", Tasks: tasks, Need: job.Need{CPUs: 4, GPUs: 1, MemoryGB: 1}, EstimateS: 60, DeadlineS: &due, CheckpointS: 10, SaveS: 6}
			for _, i := range indices {
				req.Refs = append(req.Refs, agentapi.TaskRef{Job: id, Index: i, Attempt: uint64(i + 1)})
			}
			var reply agentapi.CommitReply
			if err := n.service.Commit(req, &reply); err != nil || reply.Verdicts[0] != agentapi.Started {
				t.Fatal(reply, err)
			}
		}
		put("tight", "wk-1", 8, 20*time.Second, 0, 1)   // 20 s to spare: late if it is stopped
		put("large", "wk-4", 80, 20*time.Second, 0, 1)  // so is this one, but more likely by others
		put("late", "wk-2", 8, 200*time.Second, 0, 1)   // beyond its deadline
		put("risk", "wk-5", 8, -60*time.Second, 0, 1)   // 100 s to spare: it may wait for longer
		put("early", "wk-3", 8, -150*time.Second, 0, 1) // time enough to run again
		gang := agentapi.Request{Slot: "s", Epoch: epoch, Tasks: 5, Least: 9, Spare: 5}
		gang.Spec = job.Spec{ID: "wk-9", Shape: job.Gang, Rank: "high", Tasks: 5, Need: job.Need{CPUs: 8, GPUs: 2, MemoryGB: 9}}
		var found agentapi.SampleReply
		if err := n.service.Clearable(gang, &found); err != nil || len(found.Candidates) != 5 {
			t.Fatal(found, err)
		}
		scores := map[string]float64{}
		for _, c := range found.Candidates {
			scores[c.Machine] = c.Score
		}
		if scores["late"] != scores["early"] || scores["tight"] != scores["late"]-300 {
			t.Errorf("one job that becomes late counts 300, however many of its tasks: %v", scores)
		}
		if scores["large"] != scores["late"]-30 {
			t.Errorf("a task of eighty counts a tenth of one of eight: %v", scores)
		}
		if risk := scores["late"] - scores["risk"]; risk < 50 || risk > 200 {
			t.Errorf("a job that may become late counts in part: %v", scores)
		}
	})
}
