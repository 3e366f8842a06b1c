package scheduler_test

import (
	"testing"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// startWithCachedImage starts a controller with two machines. m1 has the image "x", which an ended
// job left there, and is fully used by a job with image "y". m2 is free and has neither image.
func startWithCachedImage(cluster *testCluster) *testController {
	controller := cluster.start("host-0")
	m2 := cluster.machines[1]
	cluster.machines = cluster.machines[:1]
	cluster.advance(3 * time.Second)
	first := newSpec("wk-1", job.Array, 1, 2)
	first.Image = "x"
	cluster.submit(controller, first)
	cluster.advance(3 * time.Second)
	cluster.exitAllTasks(worker.CauseDone)
	cluster.advance(8 * time.Second)
	second := newSpec("wk-2", job.Array, 1, 2)
	second.Image = "y"
	cluster.submit(controller, second)
	cluster.advance(3 * time.Second)
	cluster.machines = append(cluster.machines, m2)
	cluster.advance(4 * time.Second)
	if cluster.countStarts("wk-2") != 1 || len(cluster.machines[0].Started) != 2 {
		cluster.t.Fatal("setup: the second job was not started on m1")
	}
	return controller
}

// Delay scheduling: an array passes over a machine without its image for a short time and then
// accepts it. Without the delay, image fetches took a fifth of the machine time of label tasks on a
// full cluster.
func TestArrayDelaysForCachedImage(t *testing.T) {
	for name, comesFree := range map[string]bool{"machine with image comes free": true, "none comes free": false} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(cluster *testCluster) {
				controller := startWithCachedImage(cluster)
				spec := newSpec("wk-3", job.Array, 1, 2)
				spec.Image, spec.ImageGB = "x", 10 // a fetch takes 100 s
				cluster.submit(controller, spec)
				cluster.advance(4 * time.Second)
				if cluster.countStarts("wk-3") != 0 {
					t.Fatal("job was started at once on the machine without the image")
				}
				if comesFree {
					cluster.exitAllTasks(worker.CauseDone)
				}
				cluster.advance(14 * time.Second)
				if got := cluster.wasStartedOn(0, "wk-3/0"); got != comesFree || cluster.countStarts("wk-3") != 1 {
					t.Fatalf("started on the machine with the image: got %v, want %v; got %d starts, want 1",
						got, comesFree, cluster.countStarts("wk-3"))
				}
			})
		})
	}
}

// A gang that would miss its start target by fetching its image preempts tasks on a machine that
// has the image. A gang that can fetch in time uses the free machine.
func TestGangPreemptsForCachedImageWhenFetchIsTooLate(t *testing.T) {
	for name, gb := range map[string]float64{"fetch too late": 2.7, "fetch in time": 0.5} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(cluster *testCluster) {
				cluster.objectives = []config.Objective{
					{Kind: "wait", Class: "c", Within: 25 * time.Second},
					{Kind: "wait", Class: "c", Within: 50 * time.Second},
				}
				controller := startWithCachedImage(cluster)
				spec := newSpec("wk-3", job.Gang, 1, 2)
				spec.Image, spec.ImageGB, spec.Rank = "x", gb, "high"
				cluster.submit(controller, spec)
				cluster.advance(8 * time.Second)
				if got := cluster.wasStartedOn(0, "wk-3/0"); got != (gb > 2) || cluster.countStarts("wk-3") != 1 {
					t.Fatalf("started on the machine with the image: got %v, want %v; got %d starts, want 1",
						got, gb > 2, cluster.countStarts("wk-3"))
				}
			})
		})
	}
}
