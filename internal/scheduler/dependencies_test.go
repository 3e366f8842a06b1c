package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// Guards against too_early: a chain over two controllers goes on step by step, each when
// the final record of the one before stands, through the crash of either's scheduler.
func TestDependencyChainAcrossControllers(t *testing.T) {
	for _, crashed := range []string{"", "host-0", "host-1"} {
		runScenario(t, func(cluster *testCluster) {
			first := cluster.start("host-0")
			cluster.advance(3 * time.Second)
			second := cluster.start("host-1")
			cluster.advance(3 * time.Second)
			cluster.submit(first, dependentSpec("wk-1"))
			cluster.submit(second, dependentSpec("wk-2", "wk-1"))
			cluster.submit(first, dependentSpec("wk-3", "wk-2", "wk-1"))
			cluster.advance(5 * time.Second)
			if !cluster.wasStarted("wk-1") || cluster.wasStarted("wk-2") || cluster.wasStarted("wk-3") {
				t.Fatal(cluster.startCounts())
			}
			if crashed != "" {
				cluster.crash(cluster.controllers[crashed], map[string]uint64{"host-0": 1, "host-1": 2}[crashed])
			}
			for k, id := range []string{"wk-1", "wk-2", "wk-3"} {
				cluster.advance(15 * time.Second)
				if next := fmt.Sprintf("wk-%d", k+2); !cluster.wasStarted(id) || cluster.wasStarted(next) {
					t.Fatal(crashed, id, cluster.startCounts())
				}
				cluster.exitAllTasks(worker.CauseDone)
			}
			cluster.advance(5 * time.Second)
			if cluster.finalStatus("wk-3") != job.Done {
				t.Fatal(crashed, "the chain did not come to its end")
			}
			for task, n := range cluster.startCounts() {
				if n != 1 {
					t.Errorf("%s was started %d times", task, n)
				}
			}
		})
	}
}

// A chain through two teams, one of which is at its quota: while its job waits for the one
// before it requests no grant, and when it is ready it waits for its quota as any
// other; what comes after it waits for it.
func TestDependencyChainThroughTeamAtQuota(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.put(statekv.Op{Set: statekv.LeaderKey, Value: controller.session.Holder})
		cluster.advance(2 * time.Second)
		limited := dependentSpec("wk-2", "wk-1")
		limited.Team = "full"
		cluster.submit(controller, dependentSpec("wk-1"))
		cluster.submit(controller, limited)
		cluster.submit(controller, dependentSpec("wk-3", "wk-2"))
		cluster.advance(5 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(20 * time.Second)
		waiting := controller.waitingJobs(cluster)
		if cluster.wasStarted("wk-2") || waiting["wk-2"].ReadyS == nil || waiting["wk-3"].Why != "waits for wk-2" {
			t.Fatalf("%v, %+v", cluster.startCounts(), waiting)
		}
		cluster.mu.Lock()
		cluster.grantsLeft = 1
		cluster.mu.Unlock()
		cluster.advance(5 * time.Second)
		if !cluster.wasStarted("wk-2") || cluster.wasStarted("wk-3") {
			t.Fatal(cluster.startCounts())
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		if cluster.finalStatus("wk-3") != job.Done {
			t.Fatal(cluster.startCounts())
		}
	})
}

// A scheduler knows that a job is done and cannot record it: nothing is unblocked. And if
// its user cancels it in that moment, the one record that was written decides.
func TestUnrecordedCompletionUnblocksNothing(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		runScenario(t, func(cluster *testCluster) {
			controller := cluster.start("host-0")
			cluster.advance(3 * time.Second)
			cluster.submit(controller, dependentSpec("wk-1"))
			cluster.submit(controller, dependentSpec("wk-2", "wk-1"))
			cluster.advance(4 * time.Second)
			cluster.state.SetOutage(true, false)
			cluster.exitAllTasks(worker.CauseDone)
			cluster.advance(2 * time.Second)
			if cluster.wasStarted("wk-2") {
				t.Fatal("it was started before the completion was recorded")
			}
			cluster.state.SetOutage(false, false)
			if cancelled {
				cluster.cancel("wk-1")
			}
			cluster.advance(8 * time.Second)
			if got := cluster.wasStarted("wk-2"); got == cancelled {
				t.Fatalf("cancelled %v, started %v", cancelled, got)
			}
			if want := map[bool]string{true: job.Cancelled, false: ""}[cancelled]; cluster.finalStatus("wk-2") != want {
				t.Fatalf("cancelled %v: %q", cancelled, cluster.finalStatus("wk-2"))
			}
		})
	}
}

// Guards against orphaned: a cancellation reaches the end of a chain although every
// scheduler of it crashes, and nothing of it ever starts; what depends on another job goes
// on.
func TestCancellationPropagatesThroughChain(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		first := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		second := cluster.start("host-1")
		cluster.advance(3 * time.Second)
		cluster.submit(first, dependentSpec("wk-1"))
		cluster.submit(first, dependentSpec("wk-9"))
		cluster.submit(second, dependentSpec("wk-2", "wk-1", "wk-9"))
		cluster.submit(first, dependentSpec("wk-3", "wk-2"))
		cluster.submit(second, dependentSpec("wk-4", "wk-3", "wk-9"))
		cluster.submit(second, dependentSpec("wk-5", "wk-9"))
		cluster.advance(4 * time.Second)
		cluster.cancel("wk-1")
		cluster.crash(first, 1)
		cluster.crash(second, 2)
		cluster.start("host-0")
		cluster.advance(5 * time.Second)
		cluster.start("host-1")
		for range 10 {
			cluster.advance(5 * time.Second)
			cluster.exitAllTasks(worker.CauseDone)
		}
		for id, want := range map[string]string{
			"wk-1": job.Cancelled,
			"wk-2": job.Cancelled,
			"wk-3": job.Cancelled,
			"wk-4": job.Cancelled,
			"wk-5": job.Done,
			"wk-9": job.Done,
		} {
			if got := cluster.finalStatus(id); got != want {
				t.Errorf("%s: %q and not %q", id, got, want)
			}
		}
		for _, id := range []string{"wk-2", "wk-3", "wk-4"} {
			if cluster.wasStarted(id) {
				t.Errorf("%s was started", id)
			}
		}
	})
}

// A job that depends on some that ended long ago, in each schema of tombstones and as
// production wrote them, starts at once; one that depends on a cancelled one is cancelled
// at once.
func TestDependenciesOnOldTombstones(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.put(tombstone.WriteOps("wk-1", tombstone.Tombstone{Status: job.Done, Tasks: 3}, tombstone.CompactOnly)...)
		cluster.put(statekv.Op{Set: "robin/final/wk-2", Value: map[string]any{"status": "done", "tasks": 2}})
		cluster.put(statekv.Op{Set: "robin/ended/wk-3", Value: []any{1, "w", 2}})
		time.Sleep(1000 * time.Hour)
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, dependentSpec("wk-4", "wk-1", "wk-2"))
		cluster.submit(controller, dependentSpec("wk-5", "wk-1", "wk-3"))
		cluster.advance(4 * time.Second)
		if !cluster.wasStarted("wk-4") || cluster.wasStarted("wk-5") || cluster.finalStatus("wk-5") != job.Cancelled {
			t.Fatal(cluster.startCounts(), cluster.finalStatus("wk-5"))
		}
	})
}

// A waiting job asks for no machines, and counts its times from when it was ready.
func TestWaitCountsFromReadiness(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, dependentSpec("wk-1"))
		for k := range 9 {
			cluster.submit(controller, dependentSpec(fmt.Sprintf("wk-2%d", k), "wk-1"))
		}
		cluster.submit(controller, newSpec("wk-3", job.Array, 8, 1)) // the GPUs' four places; the CPUs are free
		cluster.advance(60 * time.Second)
		queue := controller.waitingJobs(cluster)
		if len(queue) != 10 || queue["wk-20"].Why != "waits for wk-1" || queue["wk-20"].ReadyS != nil {
			t.Fatalf("%+v", queue["wk-20"])
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(6 * time.Second)
		if !cluster.wasStarted("wk-20") {
			t.Fatal(cluster.startCounts())
		}
		// The next session knows the moment too, by the tombstone of the job before.
		cluster.submit(controller, withGPUs(dependentSpec("wk-4", "wk-1"), 2))
		cluster.advance(3 * time.Second)
		if q := controller.waitingJobs(cluster)["wk-4"]; q.ReadyS == nil || *q.ReadyS != 0 {
			t.Fatalf("%+v", q)
		}
		cluster.submit(controller, withGPUs(dependentSpec("wk-5", "wk-20"), 2))
		cluster.advance(20 * time.Second)
		cluster.workers.EndTask(cluster.machines[0], "wk-20/0", worker.CauseDone)
		cluster.workers.EndTask(cluster.machines[1], "wk-20/0", worker.CauseDone)
		cluster.advance(5 * time.Second)
		was := controller.waitingJobs(cluster)["wk-5"]
		cluster.crash(controller, 1)
		time.Sleep(30 * time.Second)
		controller = cluster.start("host-1")
		cluster.advance(3 * time.Second)
		if q := controller.waitingJobs(cluster)["wk-5"]; q.ReadyS == nil || was.ReadyS == nil || *q.ReadyS != *was.ReadyS || *q.ReadyS < 15 {
			t.Fatalf("%+v, and before %+v", q, was)
		}
	})
}

// The rank of the last job is that of all that it needs, from when it is submitted until
// it is cancelled; and never a lower one than their own.
func TestUrgencyIsInheritedByDependencies(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 4, 1)) // all places
		cluster.advance(3 * time.Second)
		first := withGPUs(dependentSpec("wk-2"), 1)
		first.Rank = "best_effort"
		cluster.submit(controller, first)
		last := dependentSpec("wk-3", "wk-2")
		due := 100.0
		last.Rank, last.DeadlineS, last.EstimateS = "high", &due, 5
		cluster.submit(controller, last)
		cluster.advance(3 * time.Second)
		if q := controller.waitingJobs(cluster)["wk-2"]; q.Rank != "high" || q.LeftS == nil || *q.LeftS > 90 || *q.LeftS < 80 {
			t.Fatalf("%+v", q)
		}
		cluster.cancel("wk-3")
		cluster.advance(3 * time.Second)
		if q := controller.waitingJobs(cluster)["wk-2"]; q.Rank != "" && q.Rank != "best_effort" || q.LeftS != nil {
			t.Fatalf("%+v", q)
		}
	})
}

// A thousand in a chain and a thousand that need one are recorded as cancelled, with
// nothing started, at the lowest limits of the state service; who asks is told long before
// (package dag).
func TestThousandsAreCancelledByDependency(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.state.SetSizeLimits(2048, 8)
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, dependentSpec("wk-0"))
		for k := 1; k <= 1000; k++ {
			cluster.submit(controller, dependentSpec(fmt.Sprintf("wk-%d", k), fmt.Sprintf("wk-%d", k-1)))
			cluster.submit(controller, dependentSpec(fmt.Sprintf("wk-%d", 2000+k), "wk-0"))
		}
		cluster.advance(2 * time.Second)
		cluster.cancel("wk-0")
		cluster.advance(50 * time.Second)
		left := len(cluster.state.ListAll(job.RecordPrefix))
		if left > 0 || len(cluster.startCounts()) > 1 {
			t.Errorf("%d are open, started %v", left, cluster.startCounts())
		}
		if over := cluster.state.SizeViolations(); len(over) > 0 {
			t.Error(over)
		}
	})
}
