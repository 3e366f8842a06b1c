package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// loadGenerator keeps the machines of a cluster busy: while it runs, jobs of one small task arrive
// faster than such jobs end.
type loadGenerator struct {
	*testCluster
	controller   *testController
	rank         string
	submitted    int
	firstSeen    map[string]time.Time // when a task attempt was first seen on a machine
	taskDuration time.Duration        // run time of each small task
}

// overloadCluster fills the cluster with small jobs of the given rank.
func overloadCluster(cluster *testCluster, controller *testController, rank string) *loadGenerator {
	load := &loadGenerator{
		testCluster:  cluster,
		controller:   controller,
		rank:         rank,
		firstSeen:    map[string]time.Time{},
		taskDuration: 9 * time.Second,
	}
	load.advanceUnderLoad(30 * time.Second)
	return load
}

// advanceUnderLoad advances time while small jobs arrive and end.
func (load *loadGenerator) advanceUnderLoad(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for range 2 {
			load.submitted++
			spec := newSpec(fmt.Sprintf("wk-9%05d", load.submitted), job.Array, 1, 1)
			spec.Rank, spec.EstimateS = load.rank, load.taskDuration.Seconds()
			load.submit(load.controller, spec)
		}
		load.advance(3 * time.Second)
		type runningTask struct {
			worker *emulator.Worker
			id     string
		}
		var ending []runningTask
		load.workers.WithLock(func() {
			for _, machine := range load.machines {
				for _, t := range machine.Heartbeat.Tasks {
					key := fmt.Sprint(t.ID, t.Attempt)
					if load.firstSeen[key].IsZero() {
						load.firstSeen[key] = time.Now()
					}
					if t.State == worker.TaskRunning && time.Since(load.firstSeen[key]) > load.taskDuration {
						ending = append(ending, runningTask{machine, t.ID})
					}
				}
			}
		})
		for _, task := range ending {
			load.workers.EndTask(task.worker, task.id, worker.CauseDone)
		}
	}
}

// advanceUntilStarted advances time until the job starts, but not beyond the limit, and returns the
// time that passed.
func (load *loadGenerator) advanceUntilStarted(id string, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit && !load.wasStarted(id) {
		load.advanceUnderLoad(3 * time.Second)
	}
	return time.Since(start)
}

// A gang that needs whole machines starts within four minutes of its submission although smaller
// jobs of the same or a higher rank take all capacity that comes free. Two such gangs at once start
// as well, because capacity reserved for both goes to the earlier one. Without reservations, a gang
// never finds all its machines free at the same moment.
func TestLargestGangStartsWithinDeadline(t *testing.T) {
	for _, rank := range []string{"normal", "high"} {
		runScenario(t, func(cluster *testCluster) {
			controller := cluster.start("host-0")
			cluster.advance(3 * time.Second)
			load := overloadCluster(cluster, controller, rank)
			cluster.submit(controller, newSpec("wk-1", job.Gang, 2, 2))
			load.advanceUnderLoad(2 * time.Second)
			cluster.submit(controller, newSpec("wk-2", job.Gang, 2, 2))
			if took := load.advanceUntilStarted("wk-1", 5*time.Minute); took > 4*time.Minute {
				t.Fatalf("gang under load of rank %s: got a start after %v, want at most 4m", rank, took)
			}
			if took := load.advanceUntilStarted("wk-2", 5*time.Minute); took > 2*time.Minute {
				t.Fatalf("second gang under load of rank %s: got a start %v after the first, want at most 2m", rank, took)
			}
			before := len(cluster.startCounts())
			load.advanceUnderLoad(30 * time.Second)
			if len(cluster.startCounts()) < before+8 {
				t.Errorf("got %d started tasks in 30 s after both gangs started, want at least 8: capacity is still reserved",
					len(cluster.startCounts())-before)
			}
		})
	}
}

// The largest array of the lowest rank also starts within the deadline.
func TestLargestArrayStartsWithinDeadline(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		load := overloadCluster(cluster, controller, "high")
		spec := newSpec("wk-1", job.Array, 500, 1)
		spec.Rank = "best_effort"
		cluster.submit(controller, spec)
		if took := load.advanceUntilStarted("wk-1", 5*time.Minute); took > 4*time.Minute {
			t.Fatalf("array: got a start after %v, want at most 4m", took)
		}
	})
}

// Capacity reserved for a gang that does not start is released, whether the gang is cancelled or
// its scheduler crashes. After a crash, the next scheduler reserves capacity anew.
func TestUnusedReservationIsReleased(t *testing.T) {
	for _, reason := range []string{"cancelled", "scheduler crashes"} {
		runScenario(t, func(cluster *testCluster) {
			controller := cluster.start("host-0")
			cluster.advance(3 * time.Second)
			load := overloadCluster(cluster, controller, "normal")
			cluster.submit(controller, newSpec("wk-1", job.Gang, 2, 2))
			for controller.scheduler.Counters().Gathered == 0 {
				load.advanceUnderLoad(time.Second)
			}
			if reason == "cancelled" {
				cluster.cancel("wk-1")
			} else {
				cluster.crash(controller, 1)
				load.controller = cluster.start("host-1")
				cluster.advance(20 * time.Second)
				if took := load.advanceUntilStarted("wk-1", 5*time.Minute); took > 3*time.Minute {
					t.Fatalf("gang under the next scheduler: got a start after %v, want at most 3m", took)
				}
			}
			load.advanceUnderLoad(15 * time.Second)
			before := len(cluster.startCounts())
			load.advanceUnderLoad(30 * time.Second)
			if len(cluster.startCounts()) < before+8 {
				t.Errorf("%s: got %d started tasks in 30 s, want at least 8: capacity is still reserved",
					reason, len(cluster.startCounts())-before)
			}
		})
	}
}
