package scheduler_test

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// Guards against ran_twice and forgotten: a commit without an answer is resolved. Where the
// owner has the tasks they run on; where it never got the commit they are started anew. A
// gang, which is committed in two steps, comes to its end as well.
func TestUnansweredCommitIsResolved(t *testing.T) {
	for name, loss := range map[string]commitLoss{"the request is lost": requestLost, "the answer is lost": answerLost} {
		for _, shape := range []string{job.Array, job.Gang} {
			t.Run(name+", "+shape, func(t *testing.T) {
				runScenario(t, func(cluster *testCluster) {
					controller := cluster.start("host-0")
					cluster.advance(3 * time.Second)
					cluster.commitLoss, cluster.lossesLeft = loss, 1
					cluster.submit(controller, newSpec("wk-1", shape, 2, 2))
					cluster.advance(8 * time.Second)
					if cluster.resolutions == 0 || controller.scheduler.Counters().Unanswered == 0 {
						t.Fatal("no commit was resolved")
					}
					if got := cluster.countTasks(); got != 2 {
						t.Errorf("%d tasks on machines", got)
					}
					cluster.exitAllTasks(worker.CauseDone)
					cluster.advance(5 * time.Second)
					if cluster.finalStatus("wk-1") != job.Done {
						t.Error("not recorded as done")
					}
					for task, n := range cluster.startCounts() {
						if n != 1 {
							t.Errorf("%s was started %d times", task, n)
						}
					}
				})
			})
		}
	}
}

// A grant whose commit never arrived is released, so that the team's quota does not shrink.
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
			t.Errorf("%d grants released, %d starts", cluster.released, cluster.countStarts("wk-1"))
		}
	})
}

// Without a leader nothing of a team with a quota starts, and what was asked for is released
// once there is one: the request may have arrived all the same.
func TestUngrantedTasksWaitForTheLeader(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.grantsLeft = 1
		spec := newSpec("wk-1", job.Array, 1, 1)
		spec.Team = "full"
		cluster.submit(controller, spec)
		cluster.advance(5 * time.Second)
		if got := cluster.countStarts("wk-1"); got != 0 {
			t.Fatalf("%d starts without a grant", got)
		}
		cluster.put(statekv.Op{Set: statekv.LeaderKey, Value: controller.session.Holder})
		cluster.advance(5 * time.Second)
		if cluster.released == 0 || cluster.countStarts("wk-1") != 1 {
			t.Errorf("%d grants released, %d starts", cluster.released, cluster.countStarts("wk-1"))
		}
	})
}
