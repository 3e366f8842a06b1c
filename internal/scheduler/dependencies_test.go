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

// Invariant too_early: a chain of jobs on two controllers proceeds job by job. Each job starts only
// after the tombstone of the previous one is stored, also if either scheduler crashes.
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
				t.Fatalf("got start counts %v, want only wk-1 started", cluster.startCounts())
			}
			if crashed != "" {
				cluster.crash(cluster.controllers[crashed], map[string]uint64{"host-0": 1, "host-1": 2}[crashed])
			}
			for k, id := range []string{"wk-1", "wk-2", "wk-3"} {
				cluster.advance(15 * time.Second)
				if next := fmt.Sprintf("wk-%d", k+2); !cluster.wasStarted(id) || cluster.wasStarted(next) {
					t.Fatalf("after crash of %q, at %s: got start counts %v", crashed, id, cluster.startCounts())
				}
				cluster.exitAllTasks(worker.CauseDone)
			}
			cluster.advance(5 * time.Second)
			if cluster.finalStatus("wk-3") != job.Done {
				t.Fatalf("after crash of %q: last job of the chain is not recorded as done", crashed)
			}
			for task, n := range cluster.startCounts() {
				if n != 1 {
					t.Errorf("%s: got %d starts, want 1", task, n)
				}
			}
		})
	}
}

// In a chain through two teams, one team is at its quota. Its job requests no quota grant while it
// is blocked, waits for quota once it is ready, and keeps its dependents waiting.
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
			t.Fatalf("got start counts %v, waiting jobs %+v", cluster.startCounts(), waiting)
		}
		cluster.mu.Lock()
		cluster.grantsLeft = 1
		cluster.mu.Unlock()
		cluster.advance(5 * time.Second)
		if !cluster.wasStarted("wk-2") || cluster.wasStarted("wk-3") {
			t.Fatalf("got start counts %v, want wk-2 started and wk-3 not", cluster.startCounts())
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		if cluster.finalStatus("wk-3") != job.Done {
			t.Fatalf("wk-3 is not recorded as done, start counts %v", cluster.startCounts())
		}
	})
}

// A scheduler that knows that a job is done but cannot record it must not unblock the dependents.
// If the user cancels the job in the meantime, the stored tombstone decides.
func TestUnrecordedCompletionDoesNotUnblockDependents(t *testing.T) {
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
				t.Fatal("wk-2 was started before the completion of wk-1 was recorded")
			}
			time.Sleep(50 * time.Millisecond) // between two attempts of the scheduler to record the completion
			cluster.state.SetOutage(false, false)
			if cancelled {
				cluster.cancel("wk-1")
			}
			cluster.advance(8 * time.Second)
			if got := cluster.wasStarted("wk-2"); got == cancelled {
				t.Fatalf("wk-1 cancelled %v: got wk-2 started %v", cancelled, got)
			}
			if want := map[bool]string{true: job.Cancelled, false: ""}[cancelled]; cluster.finalStatus("wk-2") != want {
				t.Fatalf("wk-1 cancelled %v: got status %q of wk-2, want %q",
					cancelled, cluster.finalStatus("wk-2"), want)
			}
		})
	}
}

// Invariant orphaned: a cancellation propagates to the end of a chain although all schedulers
// crash. No dependent of the cancelled job starts, and jobs without a cancelled dependency
// complete.
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
				t.Errorf("%s: got status %q, want %q", id, got, want)
			}
		}
		for _, id := range []string{"wk-2", "wk-3", "wk-4"} {
			if cluster.wasStarted(id) {
				t.Errorf("%s was started, want it cancelled before its start", id)
			}
		}
	})
}

// Tombstones in any format, including those written by the production version, count as
// dependencies however old they are: a job whose dependencies are done starts at once, and one with
// a cancelled dependency is cancelled at once.
func TestDependenciesOnTombstonesOfAllFormats(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.put(tombstone.WriteOps(
			"wk-1", tombstone.Tombstone{Status: job.Done, Tasks: 3}, tombstone.CompactOnly)...)
		cluster.put(statekv.Op{Set: "robin/final/wk-2", Value: map[string]any{"status": "done", "tasks": 2}})
		cluster.put(statekv.Op{Set: "robin/ended/wk-3", Value: []any{1, "w", 2}})
		time.Sleep(1000 * time.Hour)
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, dependentSpec("wk-4", "wk-1", "wk-2"))
		cluster.submit(controller, dependentSpec("wk-5", "wk-1", "wk-3"))
		cluster.advance(4 * time.Second)
		if !cluster.wasStarted("wk-4") || cluster.wasStarted("wk-5") || cluster.finalStatus("wk-5") != job.Cancelled {
			t.Fatalf("got start counts %v, status %q of wk-5", cluster.startCounts(), cluster.finalStatus("wk-5"))
		}
	})
}

// A blocked job is not started although capacity is free, and its waiting time counts from when it
// became ready. The next session restores that time from the tombstone of the dependency.
func TestWaitingTimeCountsFromReadiness(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, dependentSpec("wk-1"))
		for k := range 9 {
			cluster.submit(controller, dependentSpec(fmt.Sprintf("wk-2%d", k), "wk-1"))
		}
		cluster.submit(controller, newSpec("wk-3", job.Array, 8, 1)) // four of them use all GPUs; CPUs stay free
		cluster.advance(60 * time.Second)
		allWaiting := controller.waitingJobs(cluster)
		if len(allWaiting) != 10 || allWaiting["wk-20"].Why != "waits for wk-1" || allWaiting["wk-20"].ReadyS != nil {
			t.Fatalf("got %d waiting jobs, wk-20 %+v", len(allWaiting), allWaiting["wk-20"])
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(6 * time.Second)
		if !cluster.wasStarted("wk-20") {
			t.Fatalf("wk-20 was not started, start counts %v", cluster.startCounts())
		}
		// A job submitted after its dependency was done is ready at its submission.
		cluster.submit(controller, withGPUs(dependentSpec("wk-4", "wk-1"), 2))
		cluster.advance(3 * time.Second)
		if waiting := controller.waitingJobs(cluster)["wk-4"]; waiting.ReadyS == nil || *waiting.ReadyS != 0 {
			t.Fatalf("wk-4: got %+v, want ready at its submission", waiting)
		}
		cluster.submit(controller, withGPUs(dependentSpec("wk-5", "wk-20"), 2))
		cluster.advance(20 * time.Second)
		cluster.workers.EndTask(cluster.machines[0], "wk-20/0", worker.CauseDone)
		cluster.workers.EndTask(cluster.machines[1], "wk-20/0", worker.CauseDone)
		cluster.advance(5 * time.Second)
		before := controller.waitingJobs(cluster)["wk-5"]
		cluster.crash(controller, 1)
		time.Sleep(30 * time.Second)
		controller = cluster.start("host-1")
		cluster.advance(3 * time.Second)
		if waiting := controller.waitingJobs(cluster)["wk-5"]; waiting.ReadyS == nil || before.ReadyS == nil ||
			*waiting.ReadyS != *before.ReadyS || *waiting.ReadyS < 15 {
			t.Fatalf("wk-5: got %+v after the takeover, want the ready time of %+v, at least 15 s", waiting, before)
		}
	})
}

// The dependencies of a job inherit its rank and deadline from its submission until it is
// cancelled. An inherited rank never replaces a higher one of their own.
func TestUrgencyIsInheritedByDependencies(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 4, 1)) // uses all GPUs
		cluster.advance(3 * time.Second)
		first := withGPUs(dependentSpec("wk-2"), 1)
		first.Rank = "best_effort"
		cluster.submit(controller, first)
		last := dependentSpec("wk-3", "wk-2")
		deadlineS := 100.0
		last.Rank, last.DeadlineS, last.EstimateS = "high", &deadlineS, 5
		cluster.submit(controller, last)
		cluster.advance(3 * time.Second)
		if waiting := controller.waitingJobs(cluster)["wk-2"]; waiting.Rank != "high" ||
			waiting.LeftS == nil || *waiting.LeftS > 90 || *waiting.LeftS < 80 {
			t.Fatalf("wk-2: got %+v, want rank high and 80 to 90 s left", waiting)
		}
		cluster.cancel("wk-3")
		cluster.advance(3 * time.Second)
		if waiting := controller.waitingJobs(cluster)["wk-2"]; waiting.Rank != "" && waiting.Rank != "best_effort" ||
			waiting.LeftS != nil {
			t.Fatalf("wk-2: got %+v, want its own rank and no deadline", waiting)
		}
	})
}

// The cancellation of one job cancels a chain of 1000 dependents and 1000 direct dependents. All
// are recorded, and none starts, at the lowest limits of the state service. Users are told of the
// cancellations earlier (package dag).
func TestThousandsOfDependentsAreCancelled(t *testing.T) {
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
		open := len(cluster.state.ListAll(job.RecordPrefix))
		if open > 0 || len(cluster.startCounts()) > 1 {
			t.Errorf("got %d open jobs and start counts %v, want 0 open and only wk-0 started",
				open, cluster.startCounts())
		}
		if violations := cluster.state.SizeViolations(); len(violations) > 0 {
			t.Errorf("limits of the state service exceeded: %v", violations)
		}
	})
}
