package clusteragent_test

import (
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// A start whose command got no answer is neither repeated nor given up until
// the worker shows a token under which a late copy of it is dead. Guards
// against ran_twice.
func TestUnansweredStartIsFenced(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		bed.workers.WithLock(func() { w.HoldCommands = true })
		if got := n.commit("m1", "s", epoch, 0, 1); got != agentapi.Unresolved {
			t.Fatalf("result %q while the command is unanswered", got)
		}
		if len(n.entries()["m1"].Tasks) != 1 {
			t.Fatal("the task must keep its place while it may still start")
		}
		bed.workers.WithLock(func() { w.HoldCommands = false })
		n.sendHeartbeat(w)
		time.Sleep(3 * time.Second)
		n.sendHeartbeat(w)
		if got := n.entries()["m1"].Tasks; len(got) != 0 {
			t.Fatalf("task %v is still booked after the worker showed the raised token without it", got)
		}
		bed.workers.DeliverHeldCommands(w)
		if len(w.Started) != 0 {
			t.Fatalf("late command started %v", w.Started)
		}
	})
}

// A commit under an epoch older than the job shard's latest is refused.
func TestCommitUnderStaleEpochIsRefused(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		old := n.takeJobShard("s", 0)
		w := bed.workers.Add("m1", "box", "a")
		n.sendHeartbeat(w)
		time.Sleep(time.Second)
		latest := n.takeJobShard("s", old)
		if got := n.commit("m1", "s", old, 0, 1); got != agentapi.Refused {
			t.Fatalf("stale commit: %q", got)
		}
		if got := n.commit("m1", "s", latest, 0, 2); got != agentapi.Started {
			t.Fatalf("latest commit: %q", got)
		}
	})
}

// Tasks found on a machine whose job is over, or was never known, are stopped
// and forgotten by the machine's new owner. Guards against ran_cancelled.
func TestTasksOfFinishedJobsAreStopped(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		w := bed.workers.Add("m1", "box", "a")
		bed.workers.WithLock(func() {
			w.Heartbeat.Tasks = []worker.Task{{ID: "wk-1/0", Attempt: 7, State: worker.TaskRunning}}
		})
		n.sendHeartbeat(w)
		time.Sleep(3 * time.Second)
		n.sendHeartbeat(w)
		if bed.taskCount(w) != 0 {
			t.Fatal("a task without a job goes on")
		}
	})
}

// Capacity that is reserved or may be taken by a start under way is not given twice.
func TestReservedCapacityIsNotGivenTwice(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, _, epoch := bed.startOwner()
		got := []string{n.commit("m1", "s", epoch, 0, 1), n.commit("m1", "s", epoch, 1, 2), n.commit("m1", "s", epoch, 2, 3)}
		if got[0] != agentapi.Started || got[1] != agentapi.Started || got[2] != agentapi.Refused {
			t.Fatalf("results %v on a machine with capacity for two", got)
		}
	})
}

// An ended task is forgotten only when that was asked for, which schedulers do
// once its end is durable.
func TestEndedTaskIsForgottenOnlyOnRequest(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		n.commit("m1", "s", epoch, 0, 1)
		bed.workers.EndTask(w, "wk-1/0", worker.CauseDone)
		n.sendHeartbeat(w)
		time.Sleep(2 * time.Second)
		if bed.taskCount(w) != 1 {
			t.Fatal("forgotten before anyone asked")
		}
		if err := n.service.Stop(agentapi.StopRequest{Items: []agentapi.StopItem{{Machine: "m1", TaskRef: agentapi.TaskRef{Job: "wk-1", Attempt: 1}, Forget: true}}}, &struct{}{}); err != nil {
			t.Fatal(err)
		}
		n.sendHeartbeat(w) // the answer takes it along: forgetting has time
		if bed.taskCount(w) != 0 {
			t.Fatal("not forgotten")
		}
	})
}

// A later session of the same controller does not know what its earlier one
// started: asked to resolve a commit, it must not say that the task never came.
// That had the task started a second time elsewhere (ran_twice).
func TestOnlyTheAskedOwnerResolvesACommit(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		rev := n.entries()["m1"].Rev
		if got := n.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("result %q", got)
		}
		resolve := func(n *node) (reply agentapi.ResolveReply, err error) {
			err = n.service.Void(agentapi.ResolveRequest{Machine: "m1", Rev: rev, Refs: []agentapi.TaskRef{{Job: "wk-1", Attempt: 1}}}, &reply)
			return reply, err
		}
		if reply, err := resolve(n); err != nil || !reply.Present[0] {
			t.Fatal("the task is there", reply, err)
		}
		n.stop()
		synctest.Wait()
		if err := bed.state.Revoke(bed.ctx, 1); err != nil {
			t.Fatal(err)
		}
		bed.workers.WithLock(func() { w.HoldCommands = true })
		if reply, err := resolve(bed.startNode("host-0")); err == nil {
			t.Fatalf("the next session answered %v", reply)
		}
	})
}

// A machine that a gang has just left is kept for the next gang for a moment:
// arrays filled it at once and were stopped for that gang, their work lost.
func TestMachineIsHeldForGangsAfterAGangLeaves(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		gang := func(attempt uint64) string {
			req := agentapi.CommitRequest{Machine: "m1", Rev: n.entries()["m1"].Rev, Refs: []agentapi.TaskRef{{Job: "wk-2", Attempt: attempt}}}
			req.Spec = job.Spec{ID: "wk-2", Shape: job.Gang, Rank: "high", Tasks: 1, Need: job.Resources{CPUs: 1, GPUs: 2, MemoryGB: 1}}
			req.Slot, req.Epoch = "s", epoch
			var reply agentapi.CommitReply
			if err := n.service.Commit(req, &reply); err != nil {
				t.Fatal(err)
			}
			return reply.Verdicts[0]
		}
		for attempt := uint64(1); attempt <= 2; attempt++ {
			if got := gang(attempt); got != agentapi.Started {
				t.Fatalf("gang, attempt %d: %q", attempt, got)
			}
			bed.workers.EndTask(w, "wk-2/0", worker.CauseDone)
			n.sendHeartbeat(w)
			if got := n.commit("m1", "s", epoch, 0, 10+attempt); got != agentapi.Refused {
				t.Fatalf("array at once: %q", got)
			}
		}
		time.Sleep(9 * time.Second)
		n.sendHeartbeat(w)
		if got := n.commit("m1", "s", epoch, 0, 20); got != agentapi.Started {
			t.Fatalf("array later: %q", got)
		}
	})
}
