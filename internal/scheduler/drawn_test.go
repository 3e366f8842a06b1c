package scheduler_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// checker holds what is on the machines and in the records against the rules.
type checker struct {
	*world
	jobs      map[string]job.Spec
	cancelled map[string]time.Time // when their users were told
	began     map[string]bool
	broken    []string
}

func (c *checker) breaks(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// after lists a job with all that wait for it, directly or through others.
func (c *checker) after(id string) []string {
	out := []string{id}
	for k := 0; k < len(out); k++ {
		for other, s := range c.jobs {
			if slices.Contains(s.WaitsOn, out[k]) && !slices.Contains(out, other) {
				out = append(out, other)
			}
		}
	}
	return out
}

// look checks the present moment.
func (c *checker) look() {
	on := map[string][]string{}
	completed := map[string]bool{}
	c.workers.WithLock(func() {
		for _, b := range c.boxes {
			for _, t := range b.Heartbeat.Tasks {
				if t.State != worker.TaskExited {
					on[t.ID] = append(on[t.ID], b.Heartbeat.Machine)
				} else if t.Cause == worker.CauseDone {
					completed[t.ID] = true
				}
			}
		}
	})
	for task, where := range on {
		if len(where) > 1 {
			c.breaks("ran_twice: %s is on %v", task, where)
		}
		id, _, _ := strings.Cut(task, "/")
		if c.began[id] {
			continue
		}
		c.began[id] = true
		for _, p := range c.jobs[id].WaitsOn {
			if c.stored(p) != job.Done || c.openStill(p) {
				c.breaks("too_early: %s started before %s was done", task, p)
			}
		}
	}
	for id, at := range c.cancelled {
		if time.Since(at) < 60*time.Second {
			continue
		}
		for _, later := range c.after(id) {
			if on[later+"/0"] != nil {
				c.breaks("ran_cancelled: %s runs %v after %s was cancelled", later, time.Since(at), id)
			}
		}
	}
}

// openStill and stored tell what the records say, also while nobody can read them.
func (c *checker) openStill(id string) bool {
	return slices.ContainsFunc(c.state.ListAll(job.RecordKey(id)), func(kv statekv.KV) bool { return kv.Key == job.RecordKey(id) })
}

func (c *checker) stored(id string) string {
	for _, kv := range append(c.state.ListAll(tombstone.LegacyKey(id)), c.state.ListAll(tombstone.Key(id))...) {
		if of, r, ok, err := tombstone.Parse(kv.Key, kv.Value); ok && err == nil && of == id {
			return r.Status
		}
	}
	return ""
}

// end checks what became of all jobs once the troubles are over.
func (c *checker) end() {
	gone := map[string]bool{}
	for id := range c.cancelled {
		if c.final(id) == job.Cancelled {
			for _, later := range c.after(id) {
				gone[later] = true
			}
		}
	}
	for id := range c.jobs {
		switch got := c.final(id); {
		case gone[id] && got != job.Cancelled:
			c.breaks("orphaned: %s is %q and a job before it was cancelled", id, got)
		case !gone[id] && got == job.Cancelled:
			c.breaks("went_back: %s is withdrawn and nobody cancelled it", id)
		case !gone[id] && got != job.Done:
			c.breaks("forgotten: %s is %q", id, got)
		}
	}
}

// drawn plays a day of drawn troubles: controllers that are back within a fraction of a
// second, or later; outages of the state service and lost answers; machines that
// commands do not reach; late copies of reports; cancellations; and jobs that wait for
// others all the while. Then the troubles end.
func drawn(w *world, seed uint64, planted func(c *checker)) *checker {
	rng := rand.New(rand.NewPCG(seed, 7))
	c := &checker{world: w, jobs: map[string]job.Spec{}, cancelled: map[string]time.Time{}, began: map[string]bool{}}
	w.upgraded()
	leases := uint64(0)
	up := map[string]uint64{}
	begin := func(host string) {
		w.start(host)
		leases++
		up[host] = leases
	}
	begin("host-0")
	w.run(3 * time.Second)
	begin("host-1")
	w.run(3 * time.Second)
	var copies []late
	var ids []string
	for step := range 60 {
		if n := w.node([]string{"host-0", "host-1"}[rng.IntN(2)]); n != nil && step < 45 {
			if _, _, ok := n.placer.OwnJobShard(); ok && n.member.HoldsLease() {
				s := spec(fmt.Sprintf("wk-%d", step), job.Array, 1, 1)
				for _, p := range ids[max(0, len(ids)-4):] {
					if rng.IntN(3) == 0 {
						s.WaitsOn = append(s.WaitsOn, p)
					}
				}
				if w.offer(n, s) {
					c.jobs[s.ID] = s
					ids = append(ids, s.ID)
				}
			}
		}
		box := w.boxes[rng.IntN(len(w.boxes))]
		switch host := []string{"host-0", "host-1"}[rng.IntN(2)]; rng.IntN(12) {
		case 0: // back at once: its new life ends the one before
			if n := w.node(host); n != nil {
				w.mu.Lock()
				n.up = false
				w.mu.Unlock()
				n.stop()
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				w.state.SetOutage(false, false)
				begin(host)
			}
		case 1: // away for a while
			if n := w.node(host); n != nil && w.node(other(host)) != nil {
				w.crash(n, up[host])
				w.run(time.Duration(rng.IntN(10)) * time.Second)
				w.state.SetOutage(false, false)
				begin(host)
			}
		case 2:
			w.state.SetOutage(true, false)
		case 3:
			w.state.SetOutage(false, true)
		case 4, 5:
			w.state.SetOutage(false, false)
		case 6:
			w.workers.WithLock(func() { box.HoldCommands = !box.HoldCommands })
		case 7:
			w.workers.WithLock(func() { box.HoldCommands = false })
			w.workers.DeliverHeldCommands(box)
		case 8:
			var r worker.Heartbeat
			w.workers.WithLock(func() { r = box.Heartbeat; r.Tasks = slices.Clone(box.Heartbeat.Tasks) })
			copies = append(copies, late{r, time.Now().Add(time.Duration(rng.IntN(60)) * time.Second)})
		case 9:
			if len(ids) > 0 {
				id := ids[rng.IntN(len(ids))]
				if _, told := c.cancelled[id]; !told && w.abort(id) {
					c.cancelled[id] = time.Now()
				}
			}
		}
		for _, l := range copies {
			if n := w.node([]string{"host-0", "host-1"}[rng.IntN(2)]); n != nil && time.Now().After(l.at) {
				go func() { n.agent.Heartbeat(w.ctx, &l.report) }()
			}
		}
		w.run(2 * time.Second)
		if planted != nil {
			planted(c)
		}
		c.look()
		if rng.IntN(2) == 0 {
			w.endAll(worker.CauseDone)
		}
	}
	w.state.SetOutage(false, false)
	for _, b := range w.boxes {
		w.workers.WithLock(func() { b.HoldCommands = false })
		w.workers.DeliverHeldCommands(b)
	}
	for range 60 {
		w.run(5 * time.Second)
		c.look()
		w.endAll(worker.CauseDone)
	}
	c.end()
	return c
}

// late is a report that arrives once more.
type late struct {
	report worker.Heartbeat
	at     time.Time
}

// offer submits a job if the state service takes it.
func (w *world) offer(n *node, s job.Spec) bool {
	slot, epoch, _ := n.placer.OwnJobShard()
	rec := &job.Record{Spec: s, JobShard: slot, SubmittedMS: time.Now().UnixMilli()}
	when := append(tombstone.AbsentCompares(s.ID), statekv.Compare{Key: job.RecordKey(s.ID)}, statekv.Compare{Key: statekv.JobShardPrefix + slot, Rev: epoch})
	rev, err := n.member.Write(w.ctx, when, []statekv.Op{{Set: job.RecordKey(s.ID), Value: rec}})
	if err == nil {
		n.placer.OnJobAccepted(rec, rev)
	}
	// Without an answer its user asks again, and is told what the record says.
	return err == nil || errors.Is(err, statekv.ErrOutcomeUnknown)
}

// abort records a cancellation, and says whether its user was told so.
func (w *world) abort(id string) bool {
	kv, err := w.state.Get(w.ctx, job.RecordKey(id))
	if err != nil {
		return false
	}
	_, err = w.state.Txn(w.ctx, []statekv.Compare{{Key: kv.Key, Rev: kv.Rev}}, append(tombstone.WriteOps(id, tombstone.Tombstone{Status: job.Cancelled, Tasks: 1}, tombstone.LegacyOnly), statekv.Op{Delete: kv.Key}))
	return err == nil || errors.Is(err, statekv.ErrOutcomeUnknown)
}

// For drawn seeds of all these together no rule breaks, and every job is known and comes to
// its end.
func TestDrawnTroubles(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			story(t, func(w *world) {
				c := drawn(w, seed, nil)
				if len(c.broken) > 0 {
					t.Errorf("%d broken: %s", len(c.broken), strings.Join(c.broken[:min(5, len(c.broken))], "; "))
				}
				if len(c.jobs) < 20 || len(c.began) < 10 {
					t.Errorf("only %d jobs, %d began", len(c.jobs), len(c.began))
				}
			})
		})
	}
}

// What the checker must find: a record that says done too early, a task started behind
// the owners' backs, a job that is lost, and one withdrawn without a cause.
func TestDrawnTroublesFindPlantedFaults(t *testing.T) {
	for rule, plant := range map[string]func(c *checker) bool{
		"too_early": func(c *checker) bool {
			for id, s := range c.jobs {
				for _, p := range s.WaitsOn {
					if c.openStill(p) && !c.began[id] && c.cancelled[p].IsZero() {
						c.put(tombstone.WriteOps(p, tombstone.Tombstone{Status: job.Done, Tasks: 1}, tombstone.LegacyOnly)...)
						c.workers.WithLock(func() {
							c.boxes[0].Heartbeat.Tasks = append(c.boxes[0].Heartbeat.Tasks, worker.Task{ID: id + "/0", Attempt: 1 << 50, State: worker.TaskRunning})
						})
						return true
					}
				}
			}
			return false
		},
		"ran_twice": func(c *checker) bool {
			done := false
			c.workers.WithLock(func() {
				for k, b := range c.boxes {
					for _, t := range b.Heartbeat.Tasks {
						if t.State == worker.TaskRunning && !done {
							other := c.boxes[1-k]
							other.Heartbeat.Tasks = append(other.Heartbeat.Tasks, worker.Task{ID: t.ID, Attempt: t.Attempt + 1, State: worker.TaskRunning})
							done = true
						}
					}
				}
			})
			return done
		},
		"forgotten": func(c *checker) bool {
			if id := c.unharmed(); id != "" {
				c.put(lose(id)...)
				return true
			}
			return false
		},
		"went_back": func(c *checker) bool {
			if id := c.unharmed(); id != "" {
				c.put(append(lose(id), tombstone.WriteOps(id, tombstone.Tombstone{Status: job.Cancelled, Tasks: 1}, tombstone.LegacyOnly)...)...)
				return true
			}
			return false
		},
	} {
		t.Run(rule, func(t *testing.T) {
			story(t, func(w *world) {
				steps, planted := 0, false
				c := drawn(w, 3, func(c *checker) {
					if steps++; steps > 8 && !planted && !w.state.IsDown() {
						planted = plant(c)
					}
				})
				if !planted || !slices.ContainsFunc(c.broken, func(b string) bool { return strings.HasPrefix(b, rule) }) {
					t.Errorf("planted %v, found %v", planted, c.broken[:min(4, len(c.broken))])
				}
			})
		})
	}
}

// unharmed is an open job that waits for none, or "".
func (c *checker) unharmed() string {
	for id, s := range c.jobs {
		if len(s.WaitsOn) == 0 && c.openStill(id) && c.cancelled[id].IsZero() {
			return id
		}
	}
	return ""
}

// lose removes a job's record.
func lose(id string) []statekv.Op { return []statekv.Op{{Delete: job.RecordKey(id)}} }
