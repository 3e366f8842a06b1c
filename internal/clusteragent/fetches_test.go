package clusteragent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// On a day on which fetches share their machine's rate, up to eight images were on their
// way to one machine, and arrays waited four times as long as for one alone. Whether
// they share is learned from machines whose rates differ by a third.
func TestFetchContentionIsEstimatedFromObservedFetches(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		share := seed%2 == 0
		var learned fetchContention
		box := cloud.MachineType{FetchGBPerS: 0.3}
		for range 60 {
			m := &machine{tasks: map[attemptKey]*task{}, images: map[string]time.Time{}}
			rate := 0.3 * (0.8 + 0.45*rnd.Float64())
			left := map[string]float64{}
			for k := range 1 + rnd.IntN(4) {
				image := fmt.Sprint("i", k)
				left[image] = 3 + 9*rnd.Float64()
				m.tasks[attemptKey{taskID: image}] = &task{state: worker.TaskFetching, spec: &job.Spec{Image: image, ImageGB: left[image]}}
			}
			now := time.Time{}.Add(time.Hour)
			m.trackFetches(now, box, &learned)
			for len(left) > 0 {
				now = now.Add(time.Second)
				each := rate
				if share {
					each /= float64(len(left))
				}
				for image := range left {
					if left[image] -= each; left[image] <= 0 {
						delete(left, image)
						m.tasks[attemptKey{taskID: image}].state = worker.TaskRunning
						m.images[image] = now
					}
				}
				m.trackFetches(now, box, &learned)
			}
		}
		if f := learned.factor(); share && f < 0.6 || !share && f > 0.2 {
			t.Fatalf("seed %d: share: %v, learned %v", seed, share, f)
		}
		a := &Agent{fetchContention: learned}
		m := &machine{tasks: map[attemptKey]*task{}, images: map[string]time.Time{"here": {}}}
		for k := range 2 {
			m.tasks[attemptKey{taskID: fmt.Sprint(k)}] = &task{state: worker.TaskFetching, spec: &job.Spec{Image: fmt.Sprint("i", k)}}
		}
		for image, want := range map[string]bool{"here": false, "i1": false, "one more": share} {
			if got := a.fetchContended(m, &agentapi.Request{Spec: job.Spec{Shape: job.Array, Image: image}}); got != want {
				t.Fatalf("share: %v, image %s: crowded %v", share, image, got)
			}
		}
	}
}
