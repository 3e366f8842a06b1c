package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// busy is a fleet of boxes that are never without work: jobs of one small task each come
// faster than they end, for as long as it is run.
type busy struct {
	*world
	n     *node
	rank  string
	came  int
	began map[string]time.Time // of tasks on machines
	lasts time.Duration        // of each small task
}

// pass lets time pass with small jobs coming and ending.
func (b *busy) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for range 2 {
			b.came++
			s := spec(fmt.Sprintf("wk-9%05d", b.came), job.Array, 1, 1)
			s.Rank, s.EstimateS = b.rank, b.lasts.Seconds()
			b.submit(b.n, s)
		}
		b.run(3 * time.Second)
		type on struct {
			box *emulator.Worker
			id  string
		}
		var over []on
		b.workers.WithLock(func() {
			for _, box := range b.boxes {
				for _, t := range box.Heartbeat.Tasks {
					key := fmt.Sprint(t.ID, t.Attempt)
					if b.began[key].IsZero() {
						b.began[key] = time.Now()
					}
					if t.State == worker.TaskRunning && time.Since(b.began[key]) > b.lasts {
						over = append(over, on{box, t.ID})
					}
				}
			}
		})
		for _, o := range over {
			b.workers.EndTask(o.box, o.id, worker.CauseDone)
		}
	}
}

// begins runs until the job has begun, and returns after how long.
func (b *busy) begins(id string, most time.Duration) time.Duration {
	from := time.Now()
	for time.Since(from) < most && !b.started(id) {
		b.pass(3 * time.Second)
	}
	return time.Since(from)
}

func overloaded(w *world, n *node, rank string) *busy {
	b := &busy{world: w, n: n, rank: rank, began: map[string]time.Time{}, lasts: 9 * time.Second}
	b.pass(30 * time.Second)
	return b
}

// A gang of whole machines begins within four minutes of its submission though smaller
// work of the same rank, and of a higher one, takes each place that comes free; so do
// two such at once, for the one that came first has what both gather. Guards against
// gangs that never find all their machines free at one moment.
func TestLargestGangBegins(t *testing.T) {
	for _, rank := range []string{"normal", "high"} {
		story(t, func(w *world) {
			n := w.start("host-0")
			w.run(3 * time.Second)
			b := overloaded(w, n, rank)
			w.submit(n, spec("wk-1", job.Gang, 2, 2))
			b.pass(2 * time.Second)
			w.submit(n, spec("wk-2", job.Gang, 2, 2))
			if took := b.begins("wk-1", 5*time.Minute); took > 4*time.Minute {
				t.Fatalf("beside work of rank %s it began after %v", rank, took)
			}
			if took := b.begins("wk-2", 5*time.Minute); took > 2*time.Minute {
				t.Fatalf("beside work of rank %s the second began %v later", rank, took)
			}
			before := len(w.starts())
			b.pass(30 * time.Second)
			if len(w.starts()) < before+8 {
				t.Errorf("room is kept although both have begun: %d starts", len(w.starts())-before)
			}
		})
	}
}

// The largest array of the lowest rank begins too.
func TestLargestArrayBegins(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		b := overloaded(w, n, "high")
		s := spec("wk-1", job.Array, 500, 1)
		s.Rank = "best_effort"
		w.submit(n, s)
		if took := b.begins("wk-1", 5*time.Minute); took > 4*time.Minute {
			t.Fatalf("it began after %v", took)
		}
	})
}

// Room kept for a gang that does not begin is given back: it was cancelled, or its placer
// died, whose successor gathers anew.
func TestRoomKeptInVainIsGivenBack(t *testing.T) {
	for _, how := range []string{"cancelled", "placer dies"} {
		story(t, func(w *world) {
			n := w.start("host-0")
			w.run(3 * time.Second)
			b := overloaded(w, n, "normal")
			w.submit(n, spec("wk-1", job.Gang, 2, 2))
			for n.placer.Counters().Gathered == 0 {
				b.pass(time.Second)
			}
			if how == "cancelled" {
				w.cancel("wk-1")
			} else {
				w.crash(n, 1)
				b.n = w.start("host-1")
				w.run(20 * time.Second)
				if took := b.begins("wk-1", 5*time.Minute); took > 3*time.Minute {
					t.Fatalf("its next placer had it begin after %v", took)
				}
			}
			b.pass(15 * time.Second)
			before := len(w.starts())
			b.pass(30 * time.Second)
			if len(w.starts()) < before+8 {
				t.Errorf("%s: %d starts in 30 s", how, len(w.starts())-before)
			}
		})
	}
}
