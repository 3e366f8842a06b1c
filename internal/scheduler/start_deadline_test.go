package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// loadGenerator keeps the machines of a cluster busy: jobs of one small task each come
// faster than they end, for as long as it is run.
type loadGenerator struct {
	*testCluster
	controller   *testController
	rank         string
	submitted    int
	firstSeen    map[string]time.Time // of tasks on machines
	taskDuration time.Duration        // of each small task
}

// overloadCluster has work of the rank fill the cluster.
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

// advanceUnderLoad lets time pass with small jobs coming and ending.
func (load *loadGenerator) advanceUnderLoad(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for range 2 {
			load.submitted++
			s := newSpec(fmt.Sprintf("wk-9%05d", load.submitted), job.Array, 1, 1)
			s.Rank, s.EstimateS = load.rank, load.taskDuration.Seconds()
			load.submit(load.controller, s)
		}
		load.advance(3 * time.Second)
		type on struct {
			box *emulator.Worker
			id  string
		}
		var over []on
		load.workers.WithLock(func() {
			for _, machine := range load.machines {
				for _, t := range machine.Heartbeat.Tasks {
					key := fmt.Sprint(t.ID, t.Attempt)
					if load.firstSeen[key].IsZero() {
						load.firstSeen[key] = time.Now()
					}
					if t.State == worker.TaskRunning && time.Since(load.firstSeen[key]) > load.taskDuration {
						over = append(over, on{machine, t.ID})
					}
				}
			}
		})
		for _, o := range over {
			load.workers.EndTask(o.box, o.id, worker.CauseDone)
		}
	}
}

// timeToStart lets time pass until the job has begun, and returns how long that took.
func (load *loadGenerator) timeToStart(id string, most time.Duration) time.Duration {
	from := time.Now()
	for time.Since(from) < most && !load.wasStarted(id) {
		load.advanceUnderLoad(3 * time.Second)
	}
	return time.Since(from)
}

// A gang of whole machines begins within four minutes of its submission though smaller
// work of the same rank, and of a higher one, takes each place that comes free; so do
// two such at once, for the one that came first has what is reserved for both. Guards against
// gangs that never find all their machines free at one moment.
func TestLargestGangStartsWithinDeadline(t *testing.T) {
	for _, rank := range []string{"normal", "high"} {
		runScenario(t, func(cluster *testCluster) {
			controller := cluster.start("host-0")
			cluster.advance(3 * time.Second)
			load := overloadCluster(cluster, controller, rank)
			cluster.submit(controller, newSpec("wk-1", job.Gang, 2, 2))
			load.advanceUnderLoad(2 * time.Second)
			cluster.submit(controller, newSpec("wk-2", job.Gang, 2, 2))
			if took := load.timeToStart("wk-1", 5*time.Minute); took > 4*time.Minute {
				t.Fatalf("beside work of rank %s it began after %v", rank, took)
			}
			if took := load.timeToStart("wk-2", 5*time.Minute); took > 2*time.Minute {
				t.Fatalf("beside work of rank %s the second began %v later", rank, took)
			}
			before := len(cluster.startCounts())
			load.advanceUnderLoad(30 * time.Second)
			if len(cluster.startCounts()) < before+8 {
				t.Errorf("capacity is reserved although both have begun: %d starts", len(cluster.startCounts())-before)
			}
		})
	}
}

// The largest array of the lowest rank begins too.
func TestLargestArrayStartsWithinDeadline(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		load := overloadCluster(cluster, controller, "high")
		s := newSpec("wk-1", job.Array, 500, 1)
		s.Rank = "best_effort"
		cluster.submit(controller, s)
		if took := load.timeToStart("wk-1", 5*time.Minute); took > 4*time.Minute {
			t.Fatalf("it began after %v", took)
		}
	})
}

// Capacity reserved for a gang that does not begin is released: it was cancelled, or its
// scheduler crashed, whose successor reserves anew.
func TestUnusedReservationIsReleased(t *testing.T) {
	for _, how := range []string{"cancelled", "scheduler crashes"} {
		runScenario(t, func(cluster *testCluster) {
			controller := cluster.start("host-0")
			cluster.advance(3 * time.Second)
			load := overloadCluster(cluster, controller, "normal")
			cluster.submit(controller, newSpec("wk-1", job.Gang, 2, 2))
			for controller.scheduler.Counters().Gathered == 0 {
				load.advanceUnderLoad(time.Second)
			}
			if how == "cancelled" {
				cluster.cancel("wk-1")
			} else {
				cluster.crash(controller, 1)
				load.controller = cluster.start("host-1")
				cluster.advance(20 * time.Second)
				if took := load.timeToStart("wk-1", 5*time.Minute); took > 3*time.Minute {
					t.Fatalf("its next scheduler had it begin after %v", took)
				}
			}
			load.advanceUnderLoad(15 * time.Second)
			before := len(cluster.startCounts())
			load.advanceUnderLoad(30 * time.Second)
			if len(cluster.startCounts()) < before+8 {
				t.Errorf("%s: %d starts in 30 s", how, len(cluster.startCounts())-before)
			}
		})
	}
}
