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

// Guards against unbounded concurrent fetches on machines whose fetches share bandwidth: with up to
// eight fetches on a machine, job arrays waited four times as long as for one fetch alone. The
// estimate must tell shared from separate bandwidth although machines differ in bandwidth by a
// third.
func TestFetchContentionEstimate(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		shared := seed%2 == 0
		var contention FetchContention
		machineType := cloud.MachineType{FetchGBPerS: 0.3}
		for range 60 {
			m := New(Identity{}, 0, 0, time.Time{})
			rate := 0.3 * (0.8 + 0.45*rnd.Float64())
			remainingGB := map[string]float64{}
			for k := range 1 + rnd.IntN(4) {
				image := fmt.Sprint("i", k)
				remainingGB[image] = 3 + 9*rnd.Float64()
				addFetching(m, image, image, remainingGB[image])
			}
			now := time.Time{}.Add(time.Hour)
			m.TrackFetches(now, machineType, &contention)
			for len(remainingGB) > 0 {
				now = now.Add(time.Second)
				fetchRate := rate
				if shared {
					fetchRate /= float64(len(remainingGB))
				}
				for image := range remainingGB {
					if remainingGB[image] -= fetchRate; remainingGB[image] <= 0 {
						delete(remainingGB, image)
						m.Task(AttemptKey{TaskID: image}).state = Running
						m.Images.present[image] = now
					}
				}
				m.TrackFetches(now, machineType, &contention)
			}
		}
		if f := contention.estimate(); shared && f < 0.6 || !shared && f > 0.2 {
			t.Fatalf("seed %d: shared bandwidth %t: got contention %v, want at least 0.6 if shared, at most 0.2 if not",
				seed, shared, f)
		}
		m := New(Identity{}, 0, 0, time.Time{})
		m.Images.present["here"] = time.Time{}
		for k := range 2 {
			addFetching(m, fmt.Sprint(k), fmt.Sprint("i", k), 0)
		}
		for image, want := range map[string]bool{"here": false, "i1": false, "one more": shared} {
			if got := contention.Contended(m, &job.Spec{Shape: job.Array, Image: image}); got != want {
				t.Fatalf("seed %d: shared bandwidth %t, image %q: got contended %t, want %t", seed, shared, image, got, want)
			}
		}
	}
}
