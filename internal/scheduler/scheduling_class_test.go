package scheduler_test

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// Jobs whose needs differed a little paused each for itself, and took in turns what
// came free: all got some places, and few were done by their deadlines.
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
		for k := range 3 {
			time.Sleep(800 * time.Millisecond)
			for _, machine := range cluster.machines {
				cluster.workers.EndTask(machine, job.TaskID("wk-1", k), worker.CauseDone)
			}
			cluster.advance(2 * time.Second)
		}
		cluster.advance(3 * time.Second)
		if a, b := cluster.countStarts("wk-2"), cluster.countStarts("wk-3"); a != 3 || b != 0 {
			t.Fatalf("%d of 3 tasks of the first started, %d of the second", a, b)
		}
	})
}
