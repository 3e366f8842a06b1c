package agent_test

import (
	"context"
	"testing"
	"time"

	"robinstack/agent"
	"robinstack/fakes"
	"robinstack/job"
)

// What is stopped for a gang is sought where few jobs become late by it: a job is
// done with its last task, so a fifth of all tasks stopped, spread over all jobs,
// made nearly every job late.
func TestClearingSparesJobsThatWouldBecomeLate(t *testing.T) {
	story(t, func(t *testing.T, ctx context.Context, state *fakes.State, workers *fakes.Workers) {
		n := start(t, ctx, "host-0", state, workers)
		epoch := slot(t, n, "s", 0)
		due := 100.0
		put := func(machine, id string, age time.Duration, indices ...int) {
			w := workers.Add(machine, "box", "a")
			n.report(workers, w)
			time.Sleep(time.Second)
			req := agent.CommitRequest{Machine: machine, Rev: n.entries()[machine].Rev}
			req.Slot, req.Epoch, req.Age = "s", epoch, age
			req.Spec = job.Spec{ID: id, Shape: job.Array, Rank: "normal", Tasks: 9, Need: job.Need{CPUs: 4, GPUs: 1, MemoryGB: 1}, EstimateS: 60, DeadlineS: &due, CheckpointS: 10, SaveS: 6}
			for _, i := range indices {
				req.Refs = append(req.Refs, agent.TaskRef{Job: id, Index: i, Attempt: uint64(i + 1)})
			}
			var reply agent.CommitReply
			if err := n.service.Commit(req, &reply); err != nil || reply.Verdicts[0] != agent.Started {
				t.Fatal(reply, err)
			}
		}
		put("tight", "wk-1", 20*time.Second, 0, 1)  // 20 s to spare: late if it is stopped
		put("late", "wk-2", 200*time.Second, 0, 1)  // beyond its deadline
		put("early", "wk-3", -90*time.Second, 0, 1) // time enough to run again
		gang := agent.Request{Slot: "s", Epoch: epoch, Tasks: 3, Least: 9, Spare: 3}
		gang.Spec = job.Spec{ID: "wk-9", Shape: job.Gang, Rank: "high", Tasks: 3, Need: job.Need{CPUs: 8, GPUs: 2, MemoryGB: 9}}
		var found agent.Sample
		if err := n.service.Clearable(gang, &found); err != nil || len(found.Candidates) != 3 {
			t.Fatal(found, err)
		}
		scores := map[string]float64{}
		for _, c := range found.Candidates {
			scores[c.Machine] = c.Score
		}
		if scores["late"] != scores["early"] || scores["tight"] != scores["late"]-300 {
			t.Fatalf("one job that becomes late counts 300, however many of its tasks: %v", scores)
		}
	})
}
