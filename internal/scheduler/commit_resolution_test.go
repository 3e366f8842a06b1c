package scheduler_test

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// An unanswered commit must be resolved: an unresolved one leads to a task that is started twice or
// never. If the owner has received the commit, its tasks run on; if not, they are started anew. The
// test loses the request or the answer of one commit, for an array and for a gang, which is
// committed in two steps.
func TestUnansweredCommitIsResolved(t *testing.T) {
	for name, loss := range map[string]commitLoss{"request lost": requestLost, "answer lost": answerLost} {
		for _, shape := range []string{job.Array, job.Gang} {
			t.Run(name+", "+shape, func(t *testing.T) {
				runScenario(t, func(cluster *testCluster) {
					controller := cluster.start("host-0")
					cluster.advance(3 * time.Second)
					cluster.commitLoss, cluster.lossesLeft = loss, 1
					cluster.submit(controller, newSpec("wk-1", shape, 2, 2))
					cluster.advance(8 * time.Second)
					if cluster.resolutions == 0 || controller.scheduler.Counters().Unanswered == 0 {
						t.Fatal("no unanswered commit was counted and resolved")
					}
					if got := cluster.countTasks(); got != 2 {
						t.Errorf("got %d tasks on machines, want 2", got)
					}
					cluster.exitAllTasks(worker.CauseDone)
					cluster.advance(5 * time.Second)
					if cluster.finalStatus("wk-1") != job.Done {
						t.Errorf("got final status %q, want %q", cluster.finalStatus("wk-1"), job.Done)
					}
					for task, n := range cluster.startCounts() {
						if n != 1 {
							t.Errorf("task %s: got %d starts, want 1", task, n)
						}
					}
				})
			})
		}
	}
}

// The quota grant of a commit that never reached the owner is released; otherwise the team would
// lose that part of its quota.
func TestGrantOfUnansweredCommitIsReleased(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.put(statekv.Op{Set: statekv.LeaderKey, Value: controller.session.Holder})
		cluster.advance(2 * time.Second)
		cluster.grantsLeft = 2
		cluster.commitLoss, cluster.lossesLeft = requestLost, 1
		spec := newSpec("wk-1", job.Array, 1, 1)
		spec.Team = "full"
		cluster.submit(controller, spec)
		cluster.advance(8 * time.Second)
		if cluster.released != 1 || cluster.countStarts("wk-1") != 1 {
			t.Errorf("got %d grants released and %d starts, want 1 and 1", cluster.released, cluster.countStarts("wk-1"))
		}
	})
}

// Without a leader, no task of a team with a quota starts. Once there is a leader, the grants that
// were requested before are released, because a failed request may have been carried out.
func TestTasksWithoutQuotaGrantWaitForLeader(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.grantsLeft = 1
		spec := newSpec("wk-1", job.Array, 1, 1)
		spec.Team = "full"
		cluster.submit(controller, spec)
		cluster.advance(5 * time.Second)
		if got := cluster.countStarts("wk-1"); got != 0 {
			t.Fatalf("got %d starts without a grant, want 0", got)
		}
		cluster.put(statekv.Op{Set: statekv.LeaderKey, Value: controller.session.Holder})
		cluster.advance(5 * time.Second)
		if cluster.released == 0 || cluster.countStarts("wk-1") != 1 {
			t.Errorf("got %d grants released and %d starts, want at least 1 and 1",
				cluster.released, cluster.countStarts("wk-1"))
		}
	})
}

// Guards against a task that waits for ever: the entry without its attempt arrives before the answer to the commit.
func TestTaskIsRestartedIfItsLossIsShownBeforeTheCommitIsAnswered(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.machines = cluster.machines[:1]
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		machine := cluster.machines[0]
		cluster.workers.WithLock(func() { machine.HoldCommands = true })
		cluster.commitAnswerDelay = 3 * time.Second
		cluster.submit(controller, newSpec("wk-1", job.Array, 1, 1))
		time.Sleep(30 * time.Millisecond) // entries are sent 60 ms after a change, so none lists the start
		cluster.workers.WithLock(func() { machine.HoldCommands, machine.Heartbeat.WorkerEpoch = false, 2 })
		heartbeat := cluster.workers.NextHeartbeat(machine)
		controller.agent.Heartbeat(cluster.ctx, &heartbeat)
		cluster.advance(30 * time.Second)
		if n := cluster.countStarts("wk-1"); n != 1 {
			t.Fatalf("got %d starts after the worker forgot the first one, want 1", n)
		}
	})
}
