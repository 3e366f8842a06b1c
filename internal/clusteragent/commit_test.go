package clusteragent_test

import (
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// A start command without a reply is neither repeated nor abandoned until the worker shows a
// fencing token under which a late copy of it has no effect. Guards against ran_twice: otherwise
// the task could start elsewhere and, by the late copy, here as well.
func TestUnansweredStartIsFenced(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		bed.workers.WithLock(func() { w.HoldCommands = true })
		if got := n.commit("m1", "s", epoch, 0, 1); got != agentapi.Unresolved {
			t.Fatalf("got result %q while the command is unanswered, want unsettled", got)
		}
		if len(n.entries()["m1"].Tasks) != 1 {
			t.Fatal("the task lost its capacity although it may still start")
		}
		bed.workers.WithLock(func() { w.HoldCommands = false })
		n.sendHeartbeat(w)
		time.Sleep(3 * time.Second)
		n.sendHeartbeat(w)
		if got := n.entries()["m1"].Tasks; len(got) != 0 {
			t.Fatalf("got tasks %v after the worker showed the raised token without any, want none", got)
		}
		bed.workers.DeliverHeldCommands(w)
		if len(w.Started) != 0 {
			t.Fatalf("late copy of the start command started %v", w.Started)
		}
	})
}

// A commit under an epoch older than the job shard's latest is refused.
func TestCommitUnderStaleEpochIsRefused(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		old := n.acquireJobShard("s", 0)
		w := bed.workers.Add("m1", "box", "a")
		n.sendHeartbeat(w)
		time.Sleep(time.Second)
		latest := n.acquireJobShard("s", old)
		if got := n.commit("m1", "s", old, 0, 1); got != agentapi.Refused {
			t.Fatalf("commit under the stale epoch: got %q, want refused", got)
		}
		if got := n.commit("m1", "s", latest, 0, 2); got != agentapi.Started {
			t.Fatalf("commit under the latest epoch: got %q, want started", got)
		}
	})
}

// The new owner of a machine stops and forgets tasks whose job is finished or unknown. Guards
// against ran_cancelled.
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
			t.Fatal("a task of an unknown job is still running")
		}
	})
}

// Capacity that is reserved, or that a pending start may use, is not allocated a second time.
func TestReservedCapacityIsNotAllocatedTwice(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, _, epoch := bed.startOwner()
		got := []string{n.commit("m1", "s", epoch, 0, 1), n.commit("m1", "s", epoch, 1, 2), n.commit("m1", "s", epoch, 2, 3)}
		if got[0] != agentapi.Started || got[1] != agentapi.Started || got[2] != agentapi.Refused {
			t.Fatalf("got results %v on a machine with capacity for two tasks, want two started and one refused", got)
		}
	})
}

// A worker forgets an ended task only on request, and schedulers request it only after the end has
// been recorded durably.
func TestEndedTaskIsForgottenOnlyOnRequest(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		n.commit("m1", "s", epoch, 0, 1)
		bed.workers.EndTask(w, "wk-1/0", worker.CauseDone)
		n.sendHeartbeat(w)
		time.Sleep(2 * time.Second)
		if bed.taskCount(w) != 1 {
			t.Fatal("ended task was forgotten without a request")
		}
		if err := n.service.Stop(agentapi.StopRequest{Items: []agentapi.StopItem{{Machine: "m1", TaskRef: agentapi.TaskRef{Job: "wk-1", Attempt: 1}, Forget: true}}}, &struct{}{}); err != nil {
			t.Fatal(err)
		}
		n.sendHeartbeat(w) // the reply carries the forget command, which is not urgent
		if bed.taskCount(w) != 0 {
			t.Fatal("ended task was not forgotten on request")
		}
	})
}

// A later session of the same controller does not know the tasks that the earlier session started.
// When asked to resolve a commit, it must not report such a task as absent: the task would be
// started a second time elsewhere (ran_twice).
func TestOnlyOriginalOwnerResolvesCommit(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		ownershipRev := n.entries()["m1"].Rev
		if got := n.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("got result %q, want started", got)
		}
		resolve := func(n *node) (reply agentapi.ResolveReply, err error) {
			err = n.service.Void(agentapi.ResolveRequest{Machine: "m1", Rev: ownershipRev, Refs: []agentapi.TaskRef{{Job: "wk-1", Attempt: 1}}}, &reply)
			return reply, err
		}
		if reply, err := resolve(n); err != nil || !reply.Present[0] {
			t.Fatal("resolution by the owner: want the task reported as present, got", reply, err)
		}
		n.stop()
		synctest.Wait()
		if err := bed.state.Revoke(bed.ctx, 1); err != nil {
			t.Fatal(err)
		}
		bed.workers.WithLock(func() { w.HoldCommands = true })
		if reply, err := resolve(bed.startNode("host-0")); err == nil {
			t.Fatalf("resolution by a later session: got %v, want an error", reply)
		}
	})
}

// A machine is held for other gangs for a short time after a gang has left it. Otherwise job arrays
// fill the machine at once and are preempted for the next gang, which loses their work.
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
				t.Fatalf("gang attempt %d: got %q, want started", attempt, got)
			}
			bed.workers.EndTask(w, "wk-2/0", worker.CauseDone)
			n.sendHeartbeat(w)
			if got := n.commit("m1", "s", epoch, 0, 10+attempt); got != agentapi.Refused {
				t.Fatalf("array right after the gang: got %q, want refused", got)
			}
		}
		time.Sleep(9 * time.Second)
		n.sendHeartbeat(w)
		if got := n.commit("m1", "s", epoch, 0, 20); got != agentapi.Started {
			t.Fatalf("array after the hold: got %q, want started", got)
		}
	})
}

// Guards against ran_twice: an attempt that entries list is answered as refused, and committed to another machine too.
func TestStartThatEntriesListIsNeverAnsweredAsRefused(t *testing.T) {
	for name, prevent := range map[string]func(n *node, w *emulator.Worker, epoch uint64){
		"refused by the worker": func(_ *node, w *emulator.Worker, _ uint64) { w.StartsToRefuse = 1 },
		"withdrawn before it is sent": func(n *node, w *emulator.Worker, epoch uint64) {
			w.CommandsToLose = 1
			go n.commit("m1", "s", epoch, 1, 2) // keeps the sender busy
			time.AfterFunc(100*time.Millisecond, func() { n.agent.StopCancelledJob("wk-1") })
			time.Sleep(50 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, bed *testbed) {
				n, w, epoch := bed.startOwner()
				n.sendHeartbeat(w)
				prevent(n, w, epoch)
				if got := n.commit("m1", "s", epoch, 0, 1); got != agentapi.Unresolved {
					t.Errorf("got result %q, want %q", got, agentapi.Unresolved)
				}
				if entry := n.entries()["m1"]; bed.taskCount(w) > 0 && len(entry.Tasks) == 0 {
					t.Errorf("got entry %+v, want it to list the start", entry)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Invariant ran_twice: the copy of an unanswered commit arrives after the scheduler was told that it will start nothing.
func TestCommitOfAbandonedAttemptIsRefused(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		n.sendHeartbeat(w)
		ref := agentapi.TaskRef{Job: "wk-1", Index: 0, Attempt: 1}
		request := agentapi.ResolveRequest{Machine: "m1", Rev: n.entries()["m1"].Rev, Refs: []agentapi.TaskRef{ref}}
		var reply agentapi.ResolveReply
		if err := n.service.Void(request, &reply); err != nil || reply.Present[0] {
			t.Fatalf("got present %v, error %v, want an abandoned attempt", reply.Present, err)
		}
		if got := n.commit("m1", "s", epoch, 0, 1); got != agentapi.Refused {
			t.Errorf("late commit: got result %q, want %q", got, agentapi.Refused)
		}
		if got := n.commit("m1", "s", epoch, 0, 2); got != agentapi.Started {
			t.Errorf("next attempt: got result %q, want %q", got, agentapi.Started)
		}
	})
}

// Invariant ran_twice: an owner whose mirror is behind its machine's registration knows no scheduler's latest epoch.
func TestOwnerStartsNothingBeforeItsMirrorShowsTheOwnership(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		store := emulator.NewFaultyStateClient(bed.state, 1)
		n := bed.startNodeWith(settings(), "host-0", store)
		epoch := n.acquireJobShard("s", 0)
		time.Sleep(time.Second)
		w := bed.workers.Add("m1", "box", "a")
		store.SetWatchLag(4 * time.Second)
		time.Sleep(1500 * time.Millisecond) // the watch in flight has ended
		n.sendHeartbeat(w)                  // its claim is written, and the mirror does not show it
		n.sendHeartbeat(w)
		if got := n.commit("m1", "s", epoch, 0, 1); got != agentapi.Refused {
			t.Errorf("before the mirror shows the ownership: got result %q, want %q", got, agentapi.Refused)
		}
		store.SetWatchLag(0)
		time.Sleep(6 * time.Second)
		if got := n.commit("m1", "s", epoch, 0, 2); got != agentapi.Started {
			t.Errorf("after that: got result %q, want %q", got, agentapi.Started)
		}
	})
}
