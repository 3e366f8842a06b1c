package scheduler_test

import (
	"testing"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// startWithCachedImage has m1 run a job with image "x" to its end, and fills it with
// another of image "y"; m2 is free and has neither.
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
		cluster.t.Fatal("the first machine is not full")
	}
	return controller
}

// Fetching an image took a fifth of all that label tasks had of a full fleet: a job lets a
// machine without its image go by for a moment (delay scheduling), and takes it then.
func TestArrayDelaysForCachedImage(t *testing.T) {
	for name, ends := range map[string]bool{"a machine with the image comes free": true, "none does": false} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(cluster *testCluster) {
				controller := startWithCachedImage(cluster)
				s := newSpec("wk-3", job.Array, 1, 2)
				s.Image, s.ImageGB = "x", 10 // a fetch of 100 s
				cluster.submit(controller, s)
				cluster.advance(4 * time.Second)
				if cluster.countStarts("wk-3") != 0 {
					t.Fatal("started at once without the image")
				}
				if ends {
					cluster.exitAllTasks(worker.CauseDone)
				}
				cluster.advance(14 * time.Second)
				if got := cluster.wasStartedOn(0, "wk-3/0"); got != ends || cluster.countStarts("wk-3") != 1 {
					t.Fatalf("on the machine with the image: %v, started %d times", got, cluster.countStarts("wk-3"))
				}
			})
		})
	}
}

// A gang that would miss the objective for its start after a fetch preempts tasks on a
// machine with its image; one that can fetch in time takes the free one.
func TestGangPreemptsForCachedImageWhenFetchIsTooLate(t *testing.T) {
	for name, gb := range map[string]float64{"too late": 2.7, "in time": 0.5} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(cluster *testCluster) {
				cluster.objectives = []config.Objective{
					{Kind: "wait", Class: "c", Within: 25 * time.Second},
					{Kind: "wait", Class: "c", Within: 50 * time.Second},
				}
				controller := startWithCachedImage(cluster)
				s := newSpec("wk-3", job.Gang, 1, 2)
				s.Image, s.ImageGB, s.Rank = "x", gb, "high"
				cluster.submit(controller, s)
				cluster.advance(8 * time.Second)
				if got := cluster.wasStartedOn(0, "wk-3/0"); got != (gb > 2) || cluster.countStarts("wk-3") != 1 {
					t.Fatalf("on the machine with the image: %v, started %d times", got, cluster.countStarts("wk-3"))
				}
			})
		})
	}
}
