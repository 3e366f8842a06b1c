package clusteragent_test

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/config"
	"robinstack/internal/job"
)

// A waiting class below its fair share is not preempted for a class above its own share, whatever
// the priorities: gangs that held more than half of a cluster kept preempting job arrays that held
// a fifth of it, so the arrays made no progress. It may be preempted if it is not waiting, or for a
// class that is below its own share.
func TestWaitingClassBelowFairShareIsNotPreempted(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		cfg := settings()
		cfg.Objectives = []config.Objective{{Kind: "wait", Class: "gangs", Within: 30 * time.Second}, {Kind: "wait", Class: "gangs", Within: 200 * time.Second}}
		n := bed.startNodeWith(cfg, "host-0", bed.state)
		epoch := n.acquireJobShard("s", 0)
		request := func(class, shape, rank string, gpus float64, tasks int) agentapi.Request {
			r := agentapi.Request{Slot: "s", Epoch: epoch, Tasks: tasks, Least: 9, Spare: 5, Parts: true}
			r.Spec = job.Spec{ID: "wk-9", Class: class, Team: "t", Shape: shape, Rank: rank, Tasks: tasks, Need: job.Resources{CPUs: 1, GPUs: gpus, MemoryGB: 1}, CheckpointS: 10, SaveS: 6}
			return r
		}
		var workers []*emulator.Worker
		for k := range 4 { // three machines are used by the gangs' class, one by the arrays' class
			w := bed.workers.Add(fmt.Sprintf("m%d", k), "box", "a")
			workers = append(workers, w)
			n.sendHeartbeat(w)
			time.Sleep(time.Second)
			req := agentapi.CommitRequest{Request: request("gangs", job.Gang, "high", 2, 1), Machine: w.Heartbeat.Machine, Rev: n.entries()[w.Heartbeat.Machine].Rev,
				Refs: []agentapi.TaskRef{{Job: fmt.Sprintf("wk-%d", k), Attempt: 1}}}
			if k == 3 {
				req.Request = request("arrays", job.Array, "normal", 2, 1)
			}
			req.Spec.ID = fmt.Sprintf("wk-%d", k)
			var reply agentapi.CommitReply
			if err := n.service.Commit(req, &reply); err != nil || reply.Verdicts[0] != agentapi.Started {
				t.Fatal(reply, err)
			}
		}
		preemptible := func(class string) int {
			t.Helper()
			time.Sleep(time.Second)
			var found agentapi.SampleReply
			if err := n.service.Clearable(request(class, job.Gang, "high", 2, 1), &found); err != nil {
				t.Fatal(err)
			}
			return len(found.Candidates)
		}
		if got := preemptible("gangs"); got != 1 {
			t.Errorf("arrays not waiting: got %d preemptible machines, want 1", got)
		}
		var found agentapi.SampleReply
		if err := n.service.Sample(request("arrays", job.Array, "normal", 2, 3), &found); err != nil || len(found.Candidates) != 0 {
			t.Fatal(found, err)
		}
		if got := preemptible("gangs"); got != 0 {
			t.Errorf("arrays waiting with a quarter of the machines: got %d machines preemptible for the class with the rest, want 0", got)
		}
		overdue := request("gangs", job.Gang, "high", 2, 1)
		overdue.Age = 200 * time.Second
		if err := n.service.Clearable(overdue, &found); err != nil || len(found.Candidates) != 1 {
			t.Errorf("request about to miss its longest start target: got candidates %v, error %v, want one candidate", found.Candidates, err)
		}
		if got := preemptible("others"); got != 1 {
			t.Errorf("class without machines: got %d preemptible machines, want 1", got)
		}
		time.Sleep(5 * time.Second)
		for _, w := range workers {
			n.sendHeartbeat(w)
		}
		if got := preemptible("gangs"); got != 1 {
			t.Errorf("arrays no longer waiting: got %d preemptible machines, want 1", got)
		}
	})
}
