package machine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

func addFetching(m *Machine, id, image string, gb float64) *Task {
	t := &Task{state: Fetching, Spec: &job.Spec{Image: image, ImageGB: gb}}
	m.AddTask(AttemptKey{TaskID: id}, t)
	return t
}

// On a day on which fetches share their machine's rate, up to eight images were on their
// way to one machine, and arrays waited four times as long as for one alone. Whether
// they share is learned from machines whose rates differ by a third.
func TestFetchContentionIsEstimatedFromObservedFetches(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		share := seed%2 == 0
		var learned FetchContention
		box := cloud.MachineType{FetchGBPerS: 0.3}
		for range 60 {
			m := New(Identity{}, 0, 0, time.Time{})
			rate := 0.3 * (0.8 + 0.45*rnd.Float64())
			left := map[string]float64{}
			for k := range 1 + rnd.IntN(4) {
				image := fmt.Sprint("i", k)
				left[image] = 3 + 9*rnd.Float64()
				addFetching(m, image, image, left[image])
			}
			now := time.Time{}.Add(time.Hour)
			m.TrackFetches(now, box, &learned)
			for len(left) > 0 {
				now = now.Add(time.Second)
				each := rate
				if share {
					each /= float64(len(left))
				}
				for image := range left {
					if left[image] -= each; left[image] <= 0 {
						delete(left, image)
						m.Task(AttemptKey{TaskID: image}).state = Running
						m.Images.present[image] = now
					}
				}
				m.TrackFetches(now, box, &learned)
			}
		}
		if f := learned.factor(); share && f < 0.6 || !share && f > 0.2 {
			t.Fatalf("seed %d: share: %v, learned %v", seed, share, f)
		}
		m := New(Identity{}, 0, 0, time.Time{})
		m.Images.present["here"] = time.Time{}
		for k := range 2 {
			addFetching(m, fmt.Sprint(k), fmt.Sprint("i", k), 0)
		}
		for image, want := range map[string]bool{"here": false, "i1": false, "one more": share} {
			if got := learned.Contended(m, &job.Spec{Shape: job.Array, Image: image}); got != want {
				t.Fatalf("share: %v, image %s: contended %v", share, image, got)
			}
		}
	}
}
