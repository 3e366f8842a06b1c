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

// A class that waits with less than its fair share is not stopped by one that has more than
// its own, whatever their ranks: gangs that held more than half of a fleet went on
// having arrays stopped that held a fifth of it and could not get on. It is where the
// class does not wait, and by one that has less than its share as well.
func TestWaitingClassBelowFairShareIsNotPreempted(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		set := settings()
		set.Objectives = []config.Objective{{Kind: "wait", Class: "gangs", Within: 30 * time.Second}, {Kind: "wait", Class: "gangs", Within: 200 * time.Second}}
		n := bed.startNodeWith(set, "host-0", bed.state)
		epoch := n.takeJobShard("s", 0)
		request := func(class, shape, rank string, gpus float64, tasks int) agentapi.Request {
			r := agentapi.Request{Slot: "s", Epoch: epoch, Tasks: tasks, Least: 9, Spare: 5, Parts: true}
			r.Spec = job.Spec{ID: "wk-9", Class: class, Team: "t", Shape: shape, Rank: rank, Tasks: tasks, Need: job.Resources{CPUs: 1, GPUs: gpus, MemoryGB: 1}, CheckpointS: 10, SaveS: 6}
			return r
		}
		var boxes []*emulator.Worker
		for k := range 4 { // three machines of a gang's class, one of an array's
			w := bed.workers.Add(fmt.Sprintf("m%d", k), "box", "a")
			boxes = append(boxes, w)
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
			t.Errorf("nobody of the arrays waits: %d machines can be preempted", got)
		}
		var found agentapi.SampleReply
		if err := n.service.Sample(request("arrays", job.Array, "normal", 2, 3), &found); err != nil || len(found.Candidates) != 0 {
			t.Fatal(found, err)
		}
		if got := preemptible("gangs"); got != 0 {
			t.Errorf("they wait, with a fourth of the machines: %d can be preempted by a class that has the rest", got)
		}
		late := request("gangs", job.Gang, "high", 2, 1)
		late.Age = 200 * time.Second
		if err := n.service.Clearable(late, &found); err != nil || len(found.Candidates) != 1 {
			t.Errorf("one that would miss the longest objective for its wait: %v, %v", found.Candidates, err)
		}
		if got := preemptible("others"); got != 1 {
			t.Errorf("a class that has nothing yet: %d can be preempted", got)
		}
		time.Sleep(5 * time.Second)
		for _, w := range boxes {
			n.sendHeartbeat(w)
		}
		if got := preemptible("gangs"); got != 1 {
			t.Errorf("they do not wait any more: %d can be preempted", got)
		}
	})
}
