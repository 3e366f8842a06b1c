package dag_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/dag"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// trackerBed is a tracker beside a mirror of a state service.
type trackerBed struct {
	t       *testing.T
	ctx     context.Context
	state   *emulator.StateService
	keys    *statekv.Mirror
	tracker *dag.Tracker
	cached  map[string]tombstone.Tombstone
	reads   int
}

// runScenario runs a test of a tracker of its own in synthetic time.
func runScenario(t *testing.T, scenario func(w *trackerBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		scenario(&trackerBed{t: t, ctx: ctx, state: emulator.NewStateService(), cached: map[string]tombstone.Tombstone{}})
	})
}

// start starts the tracker, as a session does.
func (w *trackerBed) start() {
	w.t.Helper()
	w.keys = statekv.NewMirror(w.state, []string{job.RecordPrefix, job.SpecFragmentPrefix}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
	w.tracker = dag.NewTracker(w.keys, func(*job.Spec) time.Duration { return 10 * time.Second }, func(id string) (tombstone.Tombstone, bool) {
		r, ok := w.cached[id]
		return r, ok
	})
	w.keys.OnApply = w.tracker.OnEvents
	if err := w.keys.Load(w.ctx); err != nil {
		w.t.Fatal(err)
	}
	go w.keys.Run(w.ctx)
	go w.tracker.Run(w.ctx, func(ctx context.Context, id string) (tombstone.Tombstone, error) {
		// The read takes synthetic time, so that it cannot happen before the test sleeps.
		select {
		case <-ctx.Done():
			return tombstone.Tombstone{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
		w.reads++
		return tombstone.Read(ctx, w.state, nil, id)
	})
}

func (w *trackerBed) write(ops ...statekv.Op) {
	w.t.Helper()
	rev, err := w.state.Txn(w.ctx, nil, ops)
	if err != nil {
		w.t.Fatal(err)
	}
	if w.keys != nil {
		if err := w.keys.Wait(w.ctx, rev); err != nil {
			w.t.Fatal(err)
		}
	}
}

func recordOf(id string, dependencies ...string) job.Record {
	return job.Record{Spec: job.Spec{ID: id, Tasks: 1, Rank: "normal", WaitsOn: dependencies}, SubmittedMS: time.Now().UnixMilli()}
}

func (w *trackerBed) openJob(id string, dependencies ...string) {
	w.t.Helper()
	w.write(statekv.Op{Set: job.RecordKey(id), Value: recordOf(id, dependencies...)})
}

func (w *trackerBed) finishJob(id, status string, formats tombstone.Formats) {
	w.t.Helper()
	w.write(append(tombstone.WriteOps(id, tombstone.Tombstone{Status: status, Tasks: 1, CompletedAtMS: time.Now().UnixMilli()}, formats), statekv.Op{Delete: job.RecordKey(id)})...)
}

func (w *trackerBed) requireState(id string, state dag.State) dag.Result {
	w.t.Helper()
	result, ok := w.tracker.Evaluate(id)
	if !ok || result.State != state {
		w.t.Fatalf("%s: %v %+v", id, ok, result)
	}
	return result
}

// Whoever waits until the mirror shows a revision finds the result that goes with it: a
// controller that acknowledged a cancellation, and one that is asked afterwards, cannot
// disagree. Guards against a tracker that receives changes after the mirror has said that it
// shows them.
func TestResultIsAsRecentAsTheMirror(t *testing.T) {
	runScenario(t, func(w *trackerBed) {
		w.start()
		w.openJob("wk-1")
		w.openJob("wk-2", "wk-1")
		w.openJob("wk-3", "wk-2")
		w.requireState("wk-3", dag.Waiting)
		w.finishJob("wk-1", job.Cancelled, tombstone.CompactOnly)
		w.requireState("wk-2", dag.Cancelled)
		w.requireState("wk-3", dag.Cancelled)
		w.finishJob("wk-2", job.Cancelled, tombstone.LegacyAndCompact)
		if result := w.requireState("wk-3", dag.Cancelled); result.CancelledBy != "wk-2" {
			t.Error(result)
		}
		time.Sleep(time.Second) // any read that was requested is made by then
		if w.reads > 0 {
			t.Errorf("%d tombstones were read that the mirror's changes have shown", w.reads)
		}
	})
}

// A later session finds jobs that finished long ago, with tombstones of any build: they are
// read once each. Until then no user is answered that a job waits, for one before it may
// have been cancelled.
func TestTombstonesOfEarlierSessionsAreRead(t *testing.T) {
	runScenario(t, func(w *trackerBed) {
		w.finishJob("wk-1", job.Done, tombstone.LegacyOnly)
		w.finishJob("wk-2", job.Done, tombstone.CompactOnly)
		w.write(statekv.Op{Set: "robin/final/wk-3", Value: map[string]any{"status": "done", "tasks": 1}}) // the build in production writes it so
		w.finishJob("wk-4", job.Cancelled, tombstone.CompactOnly)
		w.finishJob("wk-9", job.Done, tombstone.LegacyAndCompact)
		w.openJob("wk-5", "wk-1", "wk-2")
		w.openJob("wk-6", "wk-2", "wk-3")
		w.openJob("wk-7", "wk-4")
		w.openJob("wk-8", "wk-7")
		w.cached["wk-9"] = tombstone.Tombstone{Status: job.Done, Tasks: 1, CompletedAtMS: 5}
		w.openJob("wk-10", "wk-9")
		time.Sleep(time.Hour)
		w.start()
		if result := w.requireState("wk-5", dag.Unresolved); len(result.MissingTombstones) != 2 {
			t.Error(result)
		}
		w.requireState("wk-6", dag.Unresolved)
		w.requireState("wk-7", dag.Unresolved)
		w.requireState("wk-10", dag.Ready)
		if result := w.requireState("wk-8", dag.Waiting); len(result.MissingTombstones) != 1 || result.MissingTombstones[0] != "wk-4" {
			t.Error(result)
		}
		time.Sleep(time.Second)
		if result := w.requireState("wk-5", dag.Ready); result.ReadySince.IsZero() {
			t.Error("the time at which it became ready is lost")
		}
		if result := w.requireState("wk-6", dag.Ready); !result.ReadySince.IsZero() {
			t.Errorf("the build in production does not record when: %v", result.ReadySince)
		}
		w.requireState("wk-7", dag.Cancelled)
		w.requireState("wk-8", dag.Cancelled)
		if w.reads != 4 {
			t.Errorf("%d reads of 4 tombstones", w.reads)
		}
	})
}

// The state service is down while tombstones are wanted: nothing becomes ready, and all is
// resolved once it is back. A damaged tombstone keeps what depends on it waiting, and is
// reported.
func TestOutageAndDamagedTombstone(t *testing.T) {
	runScenario(t, func(w *trackerBed) {
		w.finishJob("wk-1", job.Done, tombstone.CompactOnly)
		w.write(statekv.Op{Set: tombstone.Key("wk-2"), Value: "mangled"})
		w.openJob("wk-5", "wk-1")
		w.openJob("wk-6", "wk-2")
		w.openJob("wk-7", "wk-6")
		w.write(statekv.Op{Set: job.RecordKey("wk-8"), Value: "mangled"})
		w.openJob("wk-9", "wk-8")
		w.start()
		w.state.SetOutage(true, false)
		for range 60 {
			w.requireState("wk-5", dag.Unresolved)
			w.requireState("wk-6", dag.Unresolved)
			time.Sleep(time.Second)
		}
		w.state.SetOutage(false, false)
		for range 5 {
			w.tracker.Evaluate("wk-5")
			w.tracker.Evaluate("wk-6")
			time.Sleep(time.Second)
		}
		w.requireState("wk-5", dag.Ready)
		w.requireState("wk-6", dag.Unresolved)
		w.requireState("wk-9", dag.Waiting)
		undecodable := w.keys.Undecodable()
		if undecodable[tombstone.Key("wk-2")] == "" {
			t.Error(undecodable)
		}
		// Their users are answered that they wait, or the jobs would count as lost; and the
		// tombstone is read again seldom, until an operator has restored it.
		if result := w.requireState("wk-7", dag.Waiting); len(result.MissingTombstones) > 0 || len(result.DamagedTombstones) != 1 {
			t.Errorf("%+v", result)
		}
		before := w.reads
		for range 60 {
			w.tracker.Evaluate("wk-6")
			time.Sleep(time.Second)
		}
		if n := w.reads - before; n < 2 || n > 4 {
			t.Errorf("read %d times in a minute", n)
		}
		w.write(statekv.Op{Set: tombstone.Key("wk-2"), Value: []any{1, "d", 1}})
		w.requireState("wk-6", dag.Ready)
	})
}

// Hundreds of dependencies are kept in spec fragments; a job with them waits like any
// other, also after a reload because of a gap in the watch.
func TestDependenciesInSpecFragments(t *testing.T) {
	runScenario(t, func(w *trackerBed) {
		w.start()
		var names []string
		for k := range 800 {
			names = append(names, fmt.Sprintf("wk-%06d", 7919*k%1000000))
		}
		rec := recordOf("wk-1", names...)
		if !rec.ExceedsLimit(2048) {
			t.Fatal("it fits one value")
		}
		ops, err := rec.SplitSpec(2048, 7)
		if err != nil {
			t.Fatal(err)
		}
		w.openJob(names[799])
		w.write(append(ops, statekv.Op{Set: job.RecordKey("wk-1"), Value: rec})...)
		for again := range 2 {
			result, _ := w.tracker.Evaluate("wk-1")
			if result.State != dag.Waiting || len(result.WaitingOn) != 1 || result.WaitingOn[0] != names[799] || len(result.MissingTombstones) != 799 {
				t.Fatal(again, result.State, result.WaitingOn, len(result.MissingTombstones))
			}
			if err := w.keys.Load(w.ctx); err != nil {
				t.Fatal(err)
			}
		}
		w.write(statekv.Op{Delete: job.RecordKey("wk-1")})
		if result, ok := w.tracker.Evaluate("wk-1"); ok {
			t.Error(result)
		}
	})
}
