package clusteragent_test

import (
	"testing"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// Preemption for a gang prefers victims whose jobs stay on time. A job finishes with its last task:
// when a fifth of all tasks were preempted, spread over all jobs, nearly every job was late.
func TestPreemptionPrefersJobsThatStayOnTime(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		epoch := n.acquireJobShard("s", 0)
		deadline := 100.0
		startTasks := func(machine, id string, tasks int, age time.Duration, indices ...int) {
			w := bed.workers.Add(machine, "box", "a")
			n.sendHeartbeat(w)
			time.Sleep(time.Second)
			req := agentapi.CommitRequest{Machine: machine, Rev: n.entries()[machine].Rev}
			req.Slot, req.Epoch, req.Age = "s", epoch, age
			req.Spec = job.Spec{ID: id, Shape: job.Array, Rank: "normal", Tasks: tasks, Need: job.Resources{CPUs: 4, GPUs: 1, MemoryGB: 1}, EstimateS: 60, DeadlineS: &deadline, CheckpointS: 10, SaveS: 6}
			for _, i := range indices {
				req.Refs = append(req.Refs, agentapi.TaskRef{Job: id, Index: i, Attempt: uint64(i + 1)})
			}
			var reply agentapi.CommitReply
			if err := n.service.Commit(req, &reply); err != nil || reply.Verdicts[0] != agentapi.Started {
				t.Fatal(reply, err)
			}
		}
		startTasks("tight", "wk-1", 8, 20*time.Second, 0, 1)   // slack of 20 s: late if preempted
		startTasks("large", "wk-4", 80, 20*time.Second, 0, 1)  // same slack; other preemptions are more likely
		startTasks("late", "wk-2", 8, 200*time.Second, 0, 1)   // has missed its deadline
		startTasks("risk", "wk-5", 8, -60*time.Second, 0, 1)   // slack of 100 s: requeueing may take longer
		startTasks("early", "wk-3", 8, -150*time.Second, 0, 1) // enough slack to run again
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
			t.Errorf("a late job must cost 300, however many of its tasks are preempted: got scores %v", scores)
		}
		if scores["large"] != scores["late"]-30 {
			t.Errorf("a task of a job of 80 tasks must cost a tenth of a task of a job of 8: got scores %v", scores)
		}
		if cost := scores["late"] - scores["risk"]; cost < 50 || cost > 200 {
			t.Errorf("a job that may become late must cost between 50 and 200: got scores %v", scores)
		}
	})
}

// Tasks of job arrays are preempted for a gang of higher priority, never for one of equal priority,
// and the machine is reserved for that gang.
func TestPreemptionStopsOnlyLowerPriority(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		n.commit("m1", "s", epoch, 0, 1)
		gang := agentapi.CommitRequest{Machine: "m1", Rev: n.entries()["m1"].Rev}
		gang.Slot, gang.Epoch = "s", epoch
		gang.Spec = job.Spec{ID: "wk-2", Shape: job.Gang, Rank: "normal", Tasks: 1, Need: job.Resources{CPUs: 8, GPUs: 2, MemoryGB: 9}}
		var reply agentapi.CommitReply
		if err := n.service.Clear(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Refused {
			t.Fatalf("equal priority: got %+v, error %v, want refused", reply, err)
		}
		gang.Spec.Rank = "high"
		if err := n.service.Clear(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Held {
			t.Fatalf("higher priority: got %+v, error %v, want held", reply, err)
		}
		time.Sleep(time.Second)
		n.sendHeartbeat(w)
		if got := n.commit("m1", "s", epoch, 1, 2); got != agentapi.Refused {
			t.Fatalf("another job on the reserved machine: got %q, want refused", got)
		}
		gang.Refs = []agentapi.TaskRef{{Job: "wk-2", Attempt: 9}}
		if err := n.service.Stop(agentapi.StopRequest{Items: []agentapi.StopItem{{Machine: "m1", TaskRef: agentapi.TaskRef{Job: "wk-1", Attempt: 1}, Forget: true}}}, &struct{}{}); err != nil {
			t.Fatal(err)
		}
		if err := n.service.Commit(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Started {
			t.Fatalf("gang on its reserved machine: got %+v, error %v, want started", reply, err)
		}
	})
}

// Small tasks that do not block the gang keep running. They are the cheapest victims, so they used
// to be stopped first, and those that do not save checkpoints started over again and again.
func TestPreemptionSparesUnneededVictims(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		for k, need := range []job.Resources{{CPUs: 6, GPUs: 1}, {CPUs: 0.5}} {
			req := agentapi.CommitRequest{Machine: "m1", Rev: n.entries()["m1"].Rev, Refs: []agentapi.TaskRef{{Job: "wk-1", Index: k, Attempt: uint64(k + 1)}}}
			req.Spec = job.Spec{ID: "wk-1", Shape: job.Array, Rank: "normal", Tasks: 2, Need: need}
			req.Slot, req.Epoch = "s", epoch
			var reply agentapi.CommitReply
			if err := n.service.Commit(req, &reply); err != nil || reply.Verdicts[0] != agentapi.Started {
				t.Fatalf("got %+v, error %v, want started", reply, err)
			}
			time.Sleep(5 * time.Second)
			n.sendHeartbeat(w)
		}
		gang := agentapi.CommitRequest{Machine: "m1", Rev: n.entries()["m1"].Rev}
		gang.Slot, gang.Epoch = "s", epoch
		gang.Spec = job.Spec{ID: "wk-2", Shape: job.Gang, Rank: "high", Tasks: 1, Need: job.Resources{CPUs: 7, GPUs: 2}}
		var reply agentapi.CommitReply
		if err := n.service.Clear(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Held {
			t.Fatalf("got %+v, error %v, want held", reply, err)
		}
		time.Sleep(time.Second)
		n.sendHeartbeat(w)
		for _, task := range n.entries()["m1"].Tasks {
			if (task.State == worker.TaskExited) != (task.Index == 0) {
				t.Fatalf("task %d: got state %s, want only task 0 ended", task.Index, task.State)
			}
		}
	})
}
