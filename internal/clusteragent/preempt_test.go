package clusteragent_test

import (
	"testing"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// What is stopped for a gang is sought where few jobs become late by it: a job is
// done with its last task, so a fifth of all tasks stopped, spread over all jobs,
// made nearly every job late.
func TestPreemptionPrefersJobsThatStayOnTime(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		epoch := n.takeJobShard("s", 0)
		due := 100.0
		put := func(machine, id string, tasks int, age time.Duration, indices ...int) {
			w := bed.workers.Add(machine, "box", "a")
			n.sendHeartbeat(w)
			time.Sleep(time.Second)
			req := agentapi.CommitRequest{Machine: machine, Rev: n.entries()[machine].Rev}
			req.Slot, req.Epoch, req.Age = "s", epoch, age
			req.Spec = job.Spec{ID: id, Shape: job.Array, Rank: "normal", Tasks: tasks, Need: job.Resources{CPUs: 4, GPUs: 1, MemoryGB: 1}, EstimateS: 60, DeadlineS: &due, CheckpointS: 10, SaveS: 6}
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
		gang.Spec = job.Spec{ID: "wk-9", Shape: job.Gang, Rank: "high", Tasks: 5, Need: job.Resources{CPUs: 8, GPUs: 2, MemoryGB: 9}}
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

// Tasks of arrays are stopped for a gang of higher priority, never for one of
// the same, and the machine is reserved for that gang.
func TestPreemptionStopsOnlyLowerPriority(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		n.commit("m1", "s", epoch, 0, 1)
		gang := agentapi.CommitRequest{Machine: "m1", Rev: n.entries()["m1"].Rev}
		gang.Slot, gang.Epoch = "s", epoch
		gang.Spec = job.Spec{ID: "wk-2", Shape: job.Gang, Rank: "normal", Tasks: 1, Need: job.Resources{CPUs: 8, GPUs: 2, MemoryGB: 9}}
		var reply agentapi.CommitReply
		if err := n.service.Clear(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Refused {
			t.Fatalf("equal priority: %+v %v", reply, err)
		}
		gang.Spec.Rank = "high"
		if err := n.service.Clear(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Held {
			t.Fatalf("higher priority: %+v %v", reply, err)
		}
		time.Sleep(time.Second)
		n.sendHeartbeat(w)
		if got := n.commit("m1", "s", epoch, 1, 2); got != agentapi.Refused {
			t.Fatalf("another job got the reserved machine: %q", got)
		}
		gang.Refs = []agentapi.TaskRef{{Job: "wk-2", Attempt: 9}}
		if err := n.service.Stop(agentapi.StopRequest{Items: []agentapi.StopItem{{Machine: "m1", TaskRef: agentapi.TaskRef{Job: "wk-1", Attempt: 1}, Forget: true}}}, &struct{}{}); err != nil {
			t.Fatal(err)
		}
		if err := n.service.Commit(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Started {
			t.Fatalf("the gang: %+v %v", reply, err)
		}
	})
}

// Small tasks that are not in the gang's way go on: they were stopped first, being
// the cheapest to stop, and those that do not save began anew again and again.
func TestPreemptionSparesTasksThatNeedNotStop(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		for k, need := range []job.Resources{{CPUs: 6, GPUs: 1}, {CPUs: 0.5}} {
			req := agentapi.CommitRequest{Machine: "m1", Rev: n.entries()["m1"].Rev, Refs: []agentapi.TaskRef{{Job: "wk-1", Index: k, Attempt: uint64(k + 1)}}}
			req.Spec = job.Spec{ID: "wk-1", Shape: job.Array, Rank: "normal", Tasks: 2, Need: need}
			req.Slot, req.Epoch = "s", epoch
			var reply agentapi.CommitReply
			if err := n.service.Commit(req, &reply); err != nil || reply.Verdicts[0] != agentapi.Started {
				t.Fatalf("%+v %v", reply, err)
			}
			time.Sleep(5 * time.Second)
			n.sendHeartbeat(w)
		}
		gang := agentapi.CommitRequest{Machine: "m1", Rev: n.entries()["m1"].Rev}
		gang.Slot, gang.Epoch = "s", epoch
		gang.Spec = job.Spec{ID: "wk-2", Shape: job.Gang, Rank: "high", Tasks: 1, Need: job.Resources{CPUs: 7, GPUs: 2}}
		var reply agentapi.CommitReply
		if err := n.service.Clear(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Held {
			t.Fatalf("%+v %v", reply, err)
		}
		time.Sleep(time.Second)
		n.sendHeartbeat(w)
		for _, task := range n.entries()["m1"].Tasks {
			if (task.State == worker.TaskExited) != (task.Index == 0) {
				t.Fatalf("task %d: %s", task.Index, task.State)
			}
		}
	})
}
