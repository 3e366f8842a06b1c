package scheduler_test

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// Jobs with slightly different needs share a scheduling class, and scarce capacity goes to the
// first of them. When such jobs paused independently, they took the capacity that came free in
// turn: every job got some of it, and few finished by their deadlines.
func TestScarceCapacityGoesToFirstInQueue(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 4, 1))
		cluster.advance(4 * time.Second)
		second := newSpec("wk-3", job.Array, 3, 1)
		second.CPUs = 2
		cluster.submit(controller, newSpec("wk-2", job.Array, 3, 1))
		time.Sleep(400 * time.Millisecond)
		cluster.submit(controller, second)
		for task := range 3 {
			time.Sleep(800 * time.Millisecond)
			for _, machine := range cluster.machines {
				cluster.workers.EndTask(machine, job.TaskID("wk-1", task), worker.CauseDone)
			}
			cluster.advance(2 * time.Second)
		}
		cluster.advance(3 * time.Second)
		if first, last := cluster.countStarts("wk-2"), cluster.countStarts("wk-3"); first != 3 || last != 0 {
			t.Fatalf("got %d starts of the first job in the queue and %d of the second, want 3 and 0", first, last)
		}
	})
}
