package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/internal/job"
)

// A user is told that a job is cancelled while no watch has shown it yet, not even that of
// the controller that tells it: the owners of its machines know all the same, whoever tells.
func TestOwnersKnowOfACancellationBeforeItsUserDoes(t *testing.T) {
	for _, shape := range []string{job.Array, job.Gang, job.Service} {
		for _, teller := range []string{"host-0", "host-1", "host-2"} { // placer, owner, neither
			t.Run(fmt.Sprint(shape, " ", teller), func(t *testing.T) {
				t.Parallel()
				story(t, 71, func(w *world) {
					s := w.running("host-0", "b", shape)
					for _, h := range w.hosts {
						w.port(h).SetWatchLag(3 * time.Second)
					}
					time.Sleep(10 * time.Second)
					if !w.cancelSoon(teller, s.ID) {
						w.t.Fatal("not told as cancelled")
					}
					time.Sleep(200 * time.Millisecond)
					if n := w.history.TasksOnMachines(s.ID); n > 0 {
						w.t.Errorf("%d tasks are on machines 0.2 s after it, where watches take 3 s", n)
					}
					for _, h := range w.hosts {
						w.port(h).SetWatchLag(0)
					}
					time.Sleep(20 * time.Second)
					w.check()
				})
			})
		}
	}
}

// Jobs are cancelled about when their tasks have their images. None starts after its user
// was told, though watches take half a second, at every node.
func TestNoStartAfterAConfirmedCancellation(t *testing.T) {
	story(t, 72, func(w *world) {
		w.running("host-0", "a", job.Array)
		time.Sleep(5 * time.Second)
		for _, h := range w.hosts {
			w.port(h).SetWatchLag(500 * time.Millisecond)
		}
		told := 0
		for k := range 60 {
			s := array(w.id(), 2)
			if !w.submit(w.hosts[k%3], s, time.Hour) {
				w.t.Fatal("not accepted")
			}
			time.Sleep(time.Duration(20*(k%30)) * time.Millisecond)
			if !w.cancelSoon(w.hosts[(k/3)%3], s.ID) {
				w.t.Fatal("not told as cancelled")
			}
			if w.history.TasksOnMachines(s.ID) < 2 { // some fetch their images
				told++
			}
			time.Sleep(3 * time.Second)
		}
		if told < 10 {
			w.t.Errorf("of %d jobs a task was yet to start when they were cancelled: this shows little", told)
		}
		if n := w.history.StartsAfterCancel(); n > 0 {
			w.t.Errorf("%d tasks started after their users were told", n)
		}
		w.check()
	})
}
