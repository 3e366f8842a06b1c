package scheduler_test

import (
	"testing"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// withImageOn has m1 run a job with image "x" to its end, and fills it with
// another of image "y"; m2 is free and has neither.
func withImageOn(w *world) *node {
	n := w.start("host-0")
	m2 := w.boxes[1]
	w.boxes = w.boxes[:1]
	w.run(3 * time.Second)
	first := spec("wk-1", job.Array, 1, 2)
	first.Image = "x"
	w.submit(n, first)
	w.run(3 * time.Second)
	w.endAll(worker.CauseDone)
	w.run(8 * time.Second)
	second := spec("wk-2", job.Array, 1, 2)
	second.Image = "y"
	w.submit(n, second)
	w.run(3 * time.Second)
	w.boxes = append(w.boxes, m2)
	w.run(4 * time.Second)
	if w.startsOf("wk-2") != 1 || len(w.boxes[0].Started) != 2 {
		w.t.Fatal("the first machine is not full")
	}
	return n
}

func (w *world) startedOn(box int, task string) (yes bool) {
	w.workers.WithLock(func() {
		for _, s := range w.boxes[box].Started {
			yes = yes || s == task
		}
	})
	return yes
}

// Fetching an image took a fifth of all that label tasks had of a full fleet: a
// job lets a room without its image go by for a moment, and takes it then.
func TestArraysWaitAMomentForTheirImage(t *testing.T) {
	for name, ends := range map[string]bool{"a machine with the image comes free": true, "none does": false} {
		t.Run(name, func(t *testing.T) {
			story(t, func(w *world) {
				n := withImageOn(w)
				s := spec("wk-3", job.Array, 1, 2)
				s.Image, s.ImageGB = "x", 10 // a fetch of 100 s
				w.submit(n, s)
				w.run(4 * time.Second)
				if w.startsOf("wk-3") != 0 {
					t.Fatal("started at once without the image")
				}
				if ends {
					w.endAll(worker.CauseDone)
				}
				w.run(14 * time.Second)
				if got := w.startedOn(0, "wk-3/0"); got != ends || w.startsOf("wk-3") != 1 {
					t.Fatalf("on the machine with the image: %v, started %d times", got, w.startsOf("wk-3"))
				}
			})
		})
	}
}

// A gang that would start too late by the users' aim after a fetch has a machine
// with its image cleared; one that can fetch in time takes the free one.
func TestGangsClearForTheirImageWhereAFetchIsTooLate(t *testing.T) {
	for name, gb := range map[string]float64{"too late": 2.7, "in time": 0.5} {
		t.Run(name, func(t *testing.T) {
			story(t, func(w *world) {
				w.objectives = []config.Objective{{Kind: "wait", Class: "c", Within: 25 * time.Second}, {Kind: "wait", Class: "c", Within: 50 * time.Second}}
				n := withImageOn(w)
				s := spec("wk-3", job.Gang, 1, 2)
				s.Image, s.ImageGB, s.Rank = "x", gb, "high"
				w.submit(n, s)
				w.run(8 * time.Second)
				if got := w.startedOn(0, "wk-3/0"); got != (gb > 2) || w.startsOf("wk-3") != 1 {
					t.Fatalf("on the machine with the image: %v, started %d times", got, w.startsOf("wk-3"))
				}
			})
		})
	}
}
