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

// Guards against not_done and ran_twice: more tasks than places, each started
// once; done is recorded when all are, and only then are they forgotten.
func TestArrayRunsToCompletion(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 6, 1))
		cluster.advance(4 * time.Second)
		if got := len(cluster.startCounts()); got != 4 {
			t.Fatalf("%d tasks started on four places", got)
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		if cluster.finalStatus("wk-1") != "" {
			t.Fatal("called done with two tasks left")
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		if cluster.finalStatus("wk-1") != job.Done {
			t.Fatal("not recorded as done")
		}
		for task, n := range cluster.startCounts() {
			if n != 1 {
				t.Errorf("%s was started %d times", task, n)
			}
		}
		if cluster.countTasks() != 0 {
			t.Error("ended tasks were not forgotten")
		}
	})
}

// Guards against ran_cancelled and went_back: any controller may write the
// cancellation; the scheduler stops the tasks and starts no more of them.
func TestCancelledJobStops(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 6, 1))
		cluster.advance(4 * time.Second)
		if _, err := cluster.state.Txn(cluster.ctx, nil, []statekv.Op{{Delete: job.RecordKey("wk-1")}, tombstone.WriteOps("wk-1", tombstone.Tombstone{Status: job.Cancelled, Tasks: 6}, tombstone.LegacyOnly)[0]}); err != nil {
			t.Fatal(err)
		}
		cluster.advance(6 * time.Second)
		if cluster.countTasks() != 0 || len(cluster.startCounts()) != 4 || cluster.finalStatus("wk-1") != job.Cancelled {
			t.Fatalf("%d tasks on machines, %d started, %s", cluster.countTasks(), len(cluster.startCounts()), cluster.finalStatus("wk-1"))
		}
	})
}

// Guards against ran_twice and forgotten: when the scheduler whose controller also owned the
// machines crashes, another adopts its jobs and machines; what runs goes on,
// and only what never started is started.
func TestJobsOfCrashedSchedulerAreAdopted(t *testing.T) {
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
			t.Fatal("the adopted job did not finish")
		}
		for task, n := range cluster.startCounts() {
			if n != 1 {
				t.Errorf("%s was started %d times", task, n)
			}
		}
	})
}

// Guards against ran_twice: a worker that cannot be reached keeps its task's
// place until its lease has run out, and only then is the task started again.
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
			t.Fatal("started elsewhere while it may still run")
		}
		cluster.advance(15 * time.Second)
		if cluster.startCounts()["wk-1/0"] != 1 {
			t.Fatal("not started again after the lease")
		}
	})
}

// A machine's key is removed once all on it is proven gone. If its owner dies
// before its last entry has gone round, the scheduler must see it from the key: the
// job waited for ever.
func TestTasksOfRemovedMachineAreRestarted(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		owner := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		controller := cluster.start("host-1")
		cluster.advance(2 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 1, 1))
		cluster.advance(2 * time.Second)
		left, gone := cluster.machines[0], cluster.machines[1]
		if len(left.Started) > 0 {
			left, gone = gone, left
		}
		if len(gone.Started) != 1 {
			t.Fatal("not started")
		}
		cluster.machines = []*emulator.Worker{left}
		if _, err := cluster.state.Txn(cluster.ctx, nil, []statekv.Op{{Delete: statekv.MachinePrefix + gone.Heartbeat.Machine}}); err != nil {
			t.Fatal(err)
		}
		cluster.crash(owner, 1)
		cluster.advance(10 * time.Second)
		if len(left.Started) != 1 {
			t.Fatal("the task was not started on the other machine")
		}
	})
}

// Guards against ran_twice: an entry that its owner has not confirmed yet does
// not prove a task gone, not even under the ownership that it was committed to.
func TestUnconfirmedEntryDoesNotProveTaskGone(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 1, 1))
		cluster.advance(2 * time.Second)
		_, entries := controller.agent.Snapshot()
		for _, e := range entries {
			unconfirmed := agentapi.MachineEntry{
				Machine: e.Machine, Host: e.Host, Rev: e.Rev, Ver: e.Ver + 1000, Type: "box", Zone: e.Zone,
			}
			controller.scheduler.OnEntries([]agentapi.MachineEntry{unconfirmed})
		}
		cluster.advance(4 * time.Second)
		if got := cluster.startCounts()["wk-1/0"]; got != 1 {
			t.Fatalf("started %d times", got)
		}
	})
}

// The request to forget an ended task may get lost with the owner that it was sent
// to; the job's record tells the next one.
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
			t.Fatalf("%q, with %d tasks on machines", cluster.finalStatus("wk-1"), cluster.countTasks())
		}
		cluster.advance(30 * time.Second)
		if cluster.countTasks() != 0 {
			t.Fatalf("%d ended tasks of a job that is over stay on machines", cluster.countTasks())
		}
	})
}

// What a controller that stood still past its lease had under way, and sends when it
// goes on as if nothing had happened, has no effect: not a commit at a peer, not a
// command to a worker, not a write. Guards against ran_twice and went_back.
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
		for _, e := range entries {
			if e.Machine == "m1" {
				commit.Rev = e.Rev
			}
		}
		commit.Spec, commit.Slot, commit.Epoch = newSpec("wk-1", job.Array, 2, 0), shardID, epoch
		var reply agentapi.CommitReply
		err := controller.service.Commit(commit, &reply)
		if err != nil || commit.Rev == 0 || reply.Verdicts[0] != agentapi.Refused {
			t.Errorf("a commit under the old epoch: %+v %v", reply, err)
		}
		late := []worker.Command{worker.StartCommand("wk-1/1", 7)}
		if _, done, _ := cluster.workers.Send(cluster.ctx, "m1", token, 1, late); done {
			t.Error("a command under the old token was carried out")
		}
		deletion := []statekv.Op{{Delete: job.RecordKey("wk-1")}}
		if _, err := paused.session.Write(cluster.ctx, nil, deletion); !statekv.IsConflict(err) {
			t.Errorf("a write of the old session: %v", err)
		}
		cluster.advance(3 * time.Second)
		if cluster.countTasks() != before {
			t.Errorf("%d tasks on machines, %d before", cluster.countTasks(), before)
		}
	})
}

// A machine that is about to be taken away has its tasks saved and moved; tasks that cannot
// save run on for as long as the machine is there.
func TestSpotNoticeMovesTasksThatSave(t *testing.T) {
	for name, saves := range map[string]bool{"saves": true, "does not save": false} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(cluster *testCluster) {
				controller := cluster.start("host-0")
				cluster.advance(3 * time.Second)
				spec := newSpec("wk-1", job.Array, 1, 1)
				if saves {
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
				if got := cluster.wasStartedOn(1-from, "wk-1/0"); got != saves {
					t.Errorf("started on the other machine: %v", got)
				}
			})
		})
	}
}
