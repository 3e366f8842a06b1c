package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// after is a job of one small task that waits for others.
func after(id string, needs ...string) job.Spec {
	s := spec(id, job.Array, 1, 0)
	s.WaitsOn = needs
	return s
}

// upgraded has the fleet stand where all controllers know pipelines.
func (w *world) upgraded() {
	w.put(statekv.Op{Set: statekv.ClusterVersionKey, Value: rollout.ClusterVersion{Schema: 1, Number: 2, Features: []rollout.Feature{rollout.FeatureVersionGate, rollout.FeatureDependencies}}})
}

func (w *world) put(ops ...statekv.Op) {
	w.t.Helper()
	if _, err := w.state.Txn(w.ctx, nil, ops); err != nil {
		w.t.Fatal(err)
	}
}

// cancel records a cancellation, as a gateway does.
func (w *world) cancel(id string) {
	w.t.Helper()
	kv, err := w.state.Get(w.ctx, job.RecordKey(id))
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.state.Txn(w.ctx, []statekv.Compare{{Key: job.RecordKey(id), Rev: kv.Rev}}, append(tombstone.WriteOps(id, tombstone.Tombstone{Status: job.Cancelled, Tasks: 1}, tombstone.LegacyOnly), statekv.Op{Delete: job.RecordKey(id)})); err != nil {
		w.t.Fatal(err)
	}
}

// started reports whether a task of the job was ever started.
func (w *world) started(id string) bool { return w.starts()[id+"/0"] > 0 }

// Guards against too_early: a chain over two controllers goes on step by step, each when
// the final record of the one before stands, through the crash of either's placer.
func TestChainOverControllers(t *testing.T) {
	for _, crashed := range []string{"", "host-0", "host-1"} {
		story(t, func(w *world) {
			a := w.start("host-0")
			w.run(3 * time.Second)
			b := w.start("host-1")
			w.run(3 * time.Second)
			w.submit(a, after("wk-1"))
			w.submit(b, after("wk-2", "wk-1"))
			w.submit(a, after("wk-3", "wk-2", "wk-1"))
			w.run(5 * time.Second)
			if !w.started("wk-1") || w.started("wk-2") || w.started("wk-3") {
				t.Fatal(w.starts())
			}
			if crashed != "" {
				w.crash(w.nodes[crashed], map[string]uint64{"host-0": 1, "host-1": 2}[crashed])
			}
			for k, id := range []string{"wk-1", "wk-2", "wk-3"} {
				w.run(15 * time.Second)
				if next := fmt.Sprintf("wk-%d", k+2); !w.started(id) || w.started(next) {
					t.Fatal(crashed, id, w.starts())
				}
				w.endAll(worker.CauseDone)
			}
			w.run(5 * time.Second)
			if w.final("wk-3") != job.Done {
				t.Fatal(crashed, "the chain did not come to its end")
			}
			for task, n := range w.starts() {
				if n != 1 {
					t.Errorf("%s was started %d times", task, n)
				}
			}
		})
	}
}

// A chain through two teams, one of which is at its limit: while its job waits for the
// one before it asks for no permit, and when it is ready it waits for its limit as any
// other; what comes after it waits for it.
func TestChainThroughATeamAtItsLimit(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.put(statekv.Op{Set: statekv.LeaderKey, Value: n.member.Holder})
		w.run(2 * time.Second)
		limited := after("wk-2", "wk-1")
		limited.Team = "full"
		w.submit(n, after("wk-1"))
		w.submit(n, limited)
		w.submit(n, after("wk-3", "wk-2"))
		w.run(5 * time.Second)
		w.endAll(worker.CauseDone)
		w.run(20 * time.Second)
		if q := n.queue(w); w.started("wk-2") || q["wk-2"].ReadyS == nil || q["wk-3"].Why != "waits for wk-2" {
			t.Fatalf("%v, %+v", w.starts(), q)
		}
		w.mu.Lock()
		w.full = 1
		w.mu.Unlock()
		w.run(5 * time.Second)
		if !w.started("wk-2") || w.started("wk-3") {
			t.Fatal(w.starts())
		}
		w.endAll(worker.CauseDone)
		w.run(5 * time.Second)
		w.endAll(worker.CauseDone)
		w.run(5 * time.Second)
		if w.final("wk-3") != job.Done {
			t.Fatal(w.starts())
		}
	})
}

// A placer believes that a job is done and cannot record it: nothing opens. And if its
// user cancels it in that moment, the one record that was written decides.
func TestBeliefOpensNothing(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		story(t, func(w *world) {
			n := w.start("host-0")
			w.run(3 * time.Second)
			w.submit(n, after("wk-1"))
			w.submit(n, after("wk-2", "wk-1"))
			w.run(4 * time.Second)
			w.state.SetOutage(true, false)
			w.endAll(worker.CauseDone)
			w.run(2 * time.Second)
			if w.started("wk-2") {
				t.Fatal("it was started on a belief")
			}
			w.state.SetOutage(false, false)
			if cancelled {
				w.cancel("wk-1")
			}
			w.run(8 * time.Second)
			if got := w.started("wk-2"); got == cancelled {
				t.Fatalf("cancelled %v, started %v", cancelled, got)
			}
			if want := map[bool]string{true: job.Cancelled, false: ""}[cancelled]; w.final("wk-2") != want {
				t.Fatalf("cancelled %v: %q", cancelled, w.final("wk-2"))
			}
		})
	}
}

// Guards against orphaned: a cancellation reaches the end of a chain although every
// placer of it dies, and nothing of it ever starts; what hangs on another job goes on.
func TestCancellationReachesTheEnd(t *testing.T) {
	story(t, func(w *world) {
		a := w.start("host-0")
		w.run(3 * time.Second)
		b := w.start("host-1")
		w.run(3 * time.Second)
		w.submit(a, after("wk-1"))
		w.submit(a, after("wk-9"))
		w.submit(b, after("wk-2", "wk-1", "wk-9"))
		w.submit(a, after("wk-3", "wk-2"))
		w.submit(b, after("wk-4", "wk-3", "wk-9"))
		w.submit(b, after("wk-5", "wk-9"))
		w.run(4 * time.Second)
		w.cancel("wk-1")
		w.crash(a, 1)
		w.crash(b, 2)
		w.start("host-0")
		w.run(5 * time.Second)
		w.start("host-1")
		for range 10 {
			w.run(5 * time.Second)
			w.endAll(worker.CauseDone)
		}
		for id, want := range map[string]string{"wk-1": job.Cancelled, "wk-2": job.Cancelled, "wk-3": job.Cancelled, "wk-4": job.Cancelled, "wk-5": job.Done, "wk-9": job.Done} {
			if got := w.final(id); got != want {
				t.Errorf("%s: %q and not %q", id, got, want)
			}
		}
		for _, id := range []string{"wk-2", "wk-3", "wk-4"} {
			if w.started(id) {
				t.Errorf("%s was started", id)
			}
		}
	})
}

// A job that names some that ended long ago, in each form and as production wrote them,
// starts at once; one that names a cancelled one is withdrawn at once.
func TestNamesOfLongAgo(t *testing.T) {
	story(t, func(w *world) {
		w.put(tombstone.WriteOps("wk-1", tombstone.Tombstone{Status: job.Done, Tasks: 3}, tombstone.CompactOnly)...)
		w.put(statekv.Op{Set: "robin/final/wk-2", Value: map[string]any{"status": "done", "tasks": 2}})
		w.put(statekv.Op{Set: "robin/ended/wk-3", Value: []any{1, "w", 2}})
		time.Sleep(1000 * time.Hour)
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, after("wk-4", "wk-1", "wk-2"))
		w.submit(n, after("wk-5", "wk-1", "wk-3"))
		w.run(4 * time.Second)
		if !w.started("wk-4") || w.started("wk-5") || w.final("wk-5") != job.Cancelled {
			t.Fatal(w.starts(), w.final("wk-5"))
		}
	})
}

// A waiting job asks for no machines, and counts its times from when it was ready.
func TestTimesCountFromReadiness(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, after("wk-1"))
		for k := range 9 {
			w.submit(n, after(fmt.Sprintf("wk-2%d", k), "wk-1"))
		}
		w.submit(n, spec("wk-3", job.Array, 8, 1)) // the GPUs' four places; the CPUs are free
		w.run(60 * time.Second)
		queue := n.queue(w)
		if len(queue) != 10 || queue["wk-20"].Why != "waits for wk-1" || queue["wk-20"].ReadyS != nil {
			t.Fatalf("%+v", queue["wk-20"])
		}
		w.endAll(worker.CauseDone)
		w.run(6 * time.Second)
		if !w.started("wk-20") {
			t.Fatal(w.starts())
		}
		// Another life knows the moment too, by the record of the job before.
		w.submit(n, withGPUs(after("wk-4", "wk-1"), 2))
		w.run(3 * time.Second)
		if q := n.queue(w)["wk-4"]; q.ReadyS == nil || *q.ReadyS != 0 {
			t.Fatalf("%+v", q)
		}
		w.submit(n, withGPUs(after("wk-5", "wk-20"), 2))
		w.run(20 * time.Second)
		w.workers.EndTask(w.boxes[0], "wk-20/0", worker.CauseDone)
		w.workers.EndTask(w.boxes[1], "wk-20/0", worker.CauseDone)
		w.run(5 * time.Second)
		was := n.queue(w)["wk-5"]
		w.crash(n, 1)
		time.Sleep(30 * time.Second)
		n = w.start("host-1")
		w.run(3 * time.Second)
		if q := n.queue(w)["wk-5"]; q.ReadyS == nil || was.ReadyS == nil || *q.ReadyS != *was.ReadyS || *q.ReadyS < 15 {
			t.Fatalf("%+v, and before %+v", q, was)
		}
	})
}

func withGPUs(s job.Spec, gpus float64) job.Spec {
	s.GPUs = gpus
	return s
}

// The rank of the last job is that of all that it needs, from when it is submitted until
// it is cancelled; and never a lower one than their own.
func TestRankOfTheLastJob(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 4, 1)) // all places
		w.run(3 * time.Second)
		first := withGPUs(after("wk-2"), 1)
		first.Rank = "best_effort"
		w.submit(n, first)
		last := after("wk-3", "wk-2")
		due := 100.0
		last.Rank, last.DeadlineS, last.EstimateS = "high", &due, 5
		w.submit(n, last)
		w.run(3 * time.Second)
		if q := n.queue(w)["wk-2"]; q.Rank != "high" || q.LeftS == nil || *q.LeftS > 90 || *q.LeftS < 80 {
			t.Fatalf("%+v", q)
		}
		w.cancel("wk-3")
		w.run(3 * time.Second)
		if q := n.queue(w)["wk-2"]; q.Rank != "" && q.Rank != "best_effort" || q.LeftS != nil {
			t.Fatalf("%+v", q)
		}
	})
}

// A thousand in a chain and a thousand that need one are recorded as withdrawn, with
// nothing started, at the limits to come; who asks is told long before (package pipeline).
func TestThousandsWithdrawn(t *testing.T) {
	story(t, func(w *world) {
		w.state.SetSizeLimits(2048, 8)
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, after("wk-0"))
		for k := 1; k <= 1000; k++ {
			w.submit(n, after(fmt.Sprintf("wk-%d", k), fmt.Sprintf("wk-%d", k-1)))
			w.submit(n, after(fmt.Sprintf("wk-%d", 2000+k), "wk-0"))
		}
		w.run(2 * time.Second)
		w.cancel("wk-0")
		w.run(50 * time.Second)
		left := len(w.state.ListAll(job.RecordPrefix))
		if left > 0 || len(w.starts()) > 1 {
			t.Errorf("%d are open, started %v", left, w.starts())
		}
		if over := w.state.SizeViolations(); len(over) > 0 {
			t.Error(over)
		}
	})
}

// Guards against a limit that comes in the middle: a record that the former version wrote
// larger than a value may be now is brought into pieces when it is next written, and
// goes on to its end; what is left beside it is within what one transaction takes.
func TestLargeRecordOfTheFormerVersion(t *testing.T) {
	story(t, func(w *world) {
		w.upgraded()
		w.limits = [2]int{2048, 8}
		n := w.start("host-0")
		w.run(3 * time.Second)
		s := spec("wk-1", job.Array, 90_000, 1)
		for k := range 40 {
			s.Types = append(s.Types, fmt.Sprintf("type-%d-%080d", k, k*7919))
		}
		s.Types = append(s.Types, "box")
		w.submit(n, s)
		w.state.SetSizeLimits(2048, 8)
		w.run(4 * time.Second)
		w.endAll(worker.CauseDone)
		w.run(6 * time.Second)
		kv, err := w.state.Get(w.ctx, job.RecordKey("wk-1"))
		if err != nil || len(kv.Value) > 2048 {
			t.Fatalf("%d bytes: %v", len(kv.Value), err)
		}
		pieces := len(w.state.ListAll(job.SpecFragmentPrefix))
		w.crash(n, 1)
		time.Sleep(40 * time.Second)
		w.start("host-1")
		w.run(10 * time.Second)
		if len(w.starts()) <= 4 || pieces == 0 {
			t.Fatalf("%d pieces; it did not go on: %v", pieces, w.starts())
		}
		if over := w.state.SizeViolations(); len(over) > 0 {
			t.Error(over)
		}
	})
}
