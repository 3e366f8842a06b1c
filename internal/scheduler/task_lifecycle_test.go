package scheduler_test

import (
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// Invariants not_done and ran_twice: an array has more tasks than fit at once, and each task is
// started once. The job is recorded as done when all tasks are done, and only then are the tasks
// forgotten.
func TestArrayRunsToCompletion(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 6, 1))
		cluster.advance(4 * time.Second)
		if got := len(cluster.startCounts()); got != 4 {
			t.Fatalf("got %d started tasks, want 4", got)
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		if cluster.finalStatus("wk-1") != "" {
			t.Fatal("job is recorded as finished while two tasks are pending")
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		if cluster.finalStatus("wk-1") != job.Done {
			t.Fatal("job is not recorded as done")
		}
		for task, n := range cluster.startCounts() {
			if n != 1 {
				t.Errorf("%s: got %d starts, want 1", task, n)
			}
		}
		if cluster.countTasks() != 0 {
			t.Error("ended tasks are still on machines")
		}
	})
}

// Invariants ran_cancelled and went_back: any controller may record the cancellation. The job's
// scheduler then stops its tasks and starts no more of them.
func TestCancelledJobStops(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 6, 1))
		cluster.advance(4 * time.Second)
		if _, err := cluster.state.Txn(cluster.ctx, nil, []statekv.Op{
			{Delete: job.RecordKey("wk-1")},
			tombstone.WriteOps("wk-1", tombstone.Tombstone{Status: job.Cancelled, Tasks: 6}, tombstone.LegacyOnly)[0],
		}); err != nil {
			t.Fatal(err)
		}
		cluster.advance(6 * time.Second)
		if cluster.countTasks() != 0 || len(cluster.startCounts()) != 4 ||
			cluster.finalStatus("wk-1") != job.Cancelled {
			t.Fatalf("got %d tasks on machines, %d started tasks, status %q; want 0, 4, cancelled",
				cluster.countTasks(), len(cluster.startCounts()), cluster.finalStatus("wk-1"))
		}
	})
}

// Invariants ran_twice and forgotten: the controller that runs the scheduler and owns the machines
// crashes, and another takes over its jobs and machines. Running tasks go on, and only tasks that
// were never started are started.
func TestJobsOfCrashedSchedulerAreTakenOver(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		first := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.start("host-1")
		cluster.advance(2 * time.Second)
		cluster.submit(first, newSpec("wk-1", job.Array, 6, 1))
		cluster.advance(4 * time.Second)
		cluster.crash(first, 1)
		cluster.advance(8 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(6 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(6 * time.Second)
		if cluster.finalStatus("wk-1") != job.Done {
			t.Fatal("job is not recorded as done after the takeover")
		}
		for task, n := range cluster.startCounts() {
			if n != 1 {
				t.Errorf("%s: got %d starts, want 1", task, n)
			}
		}
	})
}

// Invariant ran_twice: a task on an unreachable machine keeps its place until the machine's lease
// has expired, and only then is it started again.
func TestTaskOfUnresponsiveMachineWaitsForLeaseExpiry(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 1, 2))
		cluster.advance(3 * time.Second)
		lost, other := cluster.machines[0], cluster.machines[1]
		cluster.workers.WithLock(func() {
			if len(lost.Started) == 0 {
				lost, other = other, lost
			}
			lost.HoldCommands = true
		})
		cluster.machines = []*emulator.Worker{other}
		cluster.advance(25 * time.Second)
		if len(cluster.startCounts()) != 0 {
			t.Fatal("task was started elsewhere before the lease of its machine expired")
		}
		cluster.advance(15 * time.Second)
		if cluster.startCounts()["wk-1/0"] != 1 {
			t.Fatal("task was not started again after the lease of its machine expired")
		}
	})
}

// A machine's key is removed once all its tasks are proven gone. If its owner crashes before the
// last entry is sent, the scheduler must learn from the missing key that the tasks are gone;
// otherwise the job would wait forever.
func TestTasksOfRemovedMachineAreRestarted(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		owner := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		controller := cluster.start("host-1")
		cluster.advance(2 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 1, 1))
		cluster.advance(2 * time.Second)
		remaining, removed := cluster.machines[0], cluster.machines[1]
		if len(remaining.Started) > 0 {
			remaining, removed = removed, remaining
		}
		if len(removed.Started) != 1 {
			t.Fatal("task was not started")
		}
		cluster.machines = []*emulator.Worker{remaining}
		if _, err := cluster.state.Txn(cluster.ctx, nil, []statekv.Op{
			{Delete: statekv.MachinePrefix + removed.Heartbeat.Machine},
		}); err != nil {
			t.Fatal(err)
		}
		cluster.crash(owner, 1)
		cluster.advance(10 * time.Second)
		if len(remaining.Started) != 1 {
			t.Fatal("task was not started on the other machine")
		}
	})
}

// Invariant ran_twice: an entry that its owner has not reconciled does not prove a task gone, not
// even under the ownership revision to which the task was committed.
func TestUnconfirmedEntryDoesNotProveTaskGone(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 1, 1))
		cluster.advance(2 * time.Second)
		_, entries := controller.agent.Snapshot()
		for _, entry := range entries {
			unconfirmed := agentapi.MachineEntry{
				Machine: entry.Machine, Host: entry.Host, Rev: entry.Rev, Ver: entry.Ver + 1000,
				Type: "box", Zone: entry.Zone,
			}
			controller.scheduler.OnEntries([]agentapi.MachineEntry{unconfirmed})
		}
		cluster.advance(4 * time.Second)
		if got := cluster.startCounts()["wk-1/0"]; got != 1 {
			t.Fatalf("got %d starts, want 1", got)
		}
	})
}

// A request to forget an ended task may be lost with the owner to which it was sent. The machine's
// owner must then learn from the job's stored status that it may forget the task.
func TestEndedTasksOfFinishedJobsAreForgotten(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 2, 1))
		cluster.advance(4 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.dropsStops = true
		cluster.advance(10 * time.Second)
		cluster.dropsStops = false
		if cluster.finalStatus("wk-1") != job.Done || cluster.countTasks() != 2 {
			t.Fatalf("got status %q with %d tasks on machines, want done with 2",
				cluster.finalStatus("wk-1"), cluster.countTasks())
		}
		cluster.advance(30 * time.Second)
		if cluster.countTasks() != 0 {
			t.Fatalf("got %d ended tasks of a finished job on machines, want 0", cluster.countTasks())
		}
	})
}

// Invariants ran_twice and went_back: a controller that was paused for longer than its lease
// resumes its pending operations. None of them has an effect: no commit at a peer, no command to a
// worker, no write.
func TestPausedControllerIsFenced(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		paused := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(paused, newSpec("wk-1", job.Array, 2, 1))
		cluster.advance(2 * time.Second)
		shardID, epoch, _ := paused.scheduler.OwnJobShard()
		var token uint64
		cluster.workers.WithLock(func() { token = cluster.machines[0].Heartbeat.FencingToken })
		controller := cluster.start("host-1")
		cluster.advance(2 * time.Second)
		cluster.mu.Lock()
		paused.up = false
		cluster.mu.Unlock()
		if err := cluster.state.Revoke(cluster.ctx, 1); err != nil {
			t.Fatal(err)
		}
		cluster.advance(12 * time.Second)
		before := cluster.countTasks()

		_, entries := controller.agent.Snapshot()
		commit := agentapi.CommitRequest{
			Machine: "m1",
			Refs:    []agentapi.TaskRef{{Job: "wk-1", Index: 1, Attempt: epoch<<20 + 99}},
		}
		for _, entry := range entries {
			if entry.Machine == "m1" {
				commit.Rev = entry.Rev
			}
		}
		commit.Spec, commit.Slot, commit.Epoch = newSpec("wk-1", job.Array, 2, 0), shardID, epoch
		var reply agentapi.CommitReply
		err := controller.service.Commit(commit, &reply)
		if err != nil || commit.Rev == 0 || reply.Verdicts[0] != agentapi.Refused {
			t.Errorf("commit under the old epoch: got %+v, error %v; want it refused", reply, err)
		}
		commands := []worker.Command{worker.StartCommand("wk-1/1", 7)}
		if _, done, _ := cluster.workers.Send(cluster.ctx, "m1", token, 1, commands); done {
			t.Error("command under the old fencing token was executed")
		}
		deletion := []statekv.Op{{Delete: job.RecordKey("wk-1")}}
		if _, err := paused.session.Write(cluster.ctx, nil, deletion); !statekv.IsConflict(err) {
			t.Errorf("write of the old session: got error %v, want a conflict", err)
		}
		cluster.advance(3 * time.Second)
		if cluster.countTasks() != before {
			t.Errorf("got %d tasks on machines, want %d as before", cluster.countTasks(), before)
		}
	})
}

// When the cloud is about to reclaim a machine, tasks that can write a checkpoint do so and are
// moved. Other tasks run on for as long as the machine exists.
func TestSpotNoticeMovesTasksWithCheckpoints(t *testing.T) {
	for name, canCheckpoint := range map[string]bool{"with checkpoint": true, "without checkpoint": false} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(cluster *testCluster) {
				controller := cluster.start("host-0")
				cluster.advance(3 * time.Second)
				spec := newSpec("wk-1", job.Array, 1, 1)
				if canCheckpoint {
					spec.CheckpointS = 10
				}
				cluster.submit(controller, spec)
				cluster.advance(4 * time.Second)
				from := 0
				if cluster.wasStartedOn(1, "wk-1/0") {
					from = 1
				}
				cluster.workers.WithLock(func() { cluster.machines[from].Heartbeat.SpotNoticeS = new(30.0) })
				cluster.advance(20 * time.Second)
				if got := cluster.wasStartedOn(1-from, "wk-1/0"); got != canCheckpoint {
					t.Errorf("can checkpoint %v: got started on the other machine %v", canCheckpoint, got)
				}
			})
		})
	}
}

// Guards against a panic when the answer to a batch of completions arrives after the watch has shown the cancellation.
func TestCancellationDuringCompletionWriteDoesNotPanic(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		n := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(n, newSpec("wk-1", job.Array, 2, 1))
		cluster.advance(4 * time.Second)
		cluster.txnAnswerDelay = 2 * time.Second
		for _, machine := range cluster.machines {
			cluster.workers.EndTask(machine, "wk-1/0", worker.CauseDone)
		}
		for accepted := cluster.recordRevision("wk-1"); cluster.recordRevision("wk-1") == accepted; {
			time.Sleep(100 * time.Millisecond)
			cluster.advance(time.Second)
		}
		cluster.cancel("wk-1")
		cluster.advance(15 * time.Second)
		if n := cluster.countTasks(); n != 0 {
			t.Errorf("got %d tasks on machines after the cancellation, want 0", n)
		}
	})
}

// Invariant ran_twice: the watch shows a job's record only after the scheduler has completed and dropped the job.
func TestCompletedJobIsNotTakenUpAgainByALateWatch(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(10 * time.Second)
		cluster.watchDelay = 6 * time.Second
		cluster.submit(controller, newSpec("wk-1", job.Array, 1, 1))
		cluster.advance(2 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(20 * time.Second)
		if cluster.finalStatus("wk-1") != job.Done {
			t.Fatalf("got final status %q, want %q", cluster.finalStatus("wk-1"), job.Done)
		}
		if n := cluster.countStarts("wk-1"); n != 1 {
			t.Errorf("got %d starts, want 1", n)
		}
	})
}
