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

// world is a tracker beside a mirror of a state service.
type world struct {
	t     *testing.T
	ctx   context.Context
	state *emulator.StateService
	keys  *statekv.Mirror
	pipes *dag.Tracker
	known map[string]tombstone.Tombstone
	reads int
}

func story(t *testing.T, tell func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		tell(&world{t: t, ctx: ctx, state: emulator.NewStateService(), known: map[string]tombstone.Tombstone{}})
	})
}

// begin starts the tracker, as a life does.
func (w *world) begin() {
	w.t.Helper()
	w.keys = statekv.NewMirror(w.state, []string{job.RecordPrefix, job.SpecFragmentPrefix}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
	w.pipes = dag.NewTracker(w.keys, func(*job.Spec) time.Duration { return 10 * time.Second }, func(id string) (tombstone.Tombstone, bool) {
		r, ok := w.known[id]
		return r, ok
	})
	w.keys.OnApply = w.pipes.OnEvents
	if err := w.keys.Load(w.ctx); err != nil {
		w.t.Fatal(err)
	}
	go w.keys.Run(w.ctx)
	go w.pipes.Run(w.ctx, func(ctx context.Context, id string) (tombstone.Tombstone, error) {
		w.reads++
		return tombstone.Read(ctx, w.state, nil, id)
	})
}

func (w *world) write(ops ...statekv.Op) {
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

func record(id string, needs ...string) job.Record {
	return job.Record{Spec: job.Spec{ID: id, Tasks: 1, Rank: "normal", WaitsOn: needs}, SubmittedMS: time.Now().UnixMilli()}
}

func (w *world) open(id string, needs ...string) {
	w.t.Helper()
	w.write(statekv.Op{Set: job.RecordKey(id), Value: record(id, needs...)})
}

func (w *world) end(id, status string, form tombstone.Formats) {
	w.t.Helper()
	w.write(append(tombstone.WriteOps(id, tombstone.Tombstone{Status: status, Tasks: 1, CompletedAtMS: time.Now().UnixMilli()}, form), statekv.Op{Delete: job.RecordKey(id)})...)
}

func (w *world) is(id string, state dag.State) dag.Result {
	w.t.Helper()
	v, ok := w.pipes.Evaluate(id)
	if !ok || v.State != state {
		w.t.Fatalf("%s: %v %+v", id, ok, v)
	}
	return v
}

// Whoever waits until the mirror shows a revision finds the verdict that goes with it:
// a controller that told its user of a cancellation, and one that is asked afterwards,
// cannot disagree. Guards against a tracker that hears of changes after the mirror has
// said that it shows them.
func TestVerdictIsAsNewAsTheMirror(t *testing.T) {
	story(t, func(w *world) {
		w.begin()
		w.open("wk-1")
		w.open("wk-2", "wk-1")
		w.open("wk-3", "wk-2")
		w.is("wk-3", dag.Waiting)
		w.end("wk-1", job.Cancelled, tombstone.CompactOnly)
		w.is("wk-2", dag.Cancelled)
		w.is("wk-3", dag.Cancelled)
		w.end("wk-2", job.Cancelled, tombstone.LegacyAndCompact)
		if v := w.is("wk-3", dag.Cancelled); v.CancelledBy != "wk-2" {
			t.Error(v)
		}
		if w.reads > 0 {
			t.Errorf("%d records were read that the mirror's changes have shown", w.reads)
		}
	})
}

// A later life finds jobs that ended long ago, in the form of any version: their records
// are read once each. Until then nobody is told that a job waits, for one before it may
// have been cancelled.
func TestRecordsOfLongAgoAreRead(t *testing.T) {
	story(t, func(w *world) {
		w.end("wk-1", job.Done, tombstone.LegacyOnly)
		w.end("wk-2", job.Done, tombstone.CompactOnly)
		w.write(statekv.Op{Set: "robin/final/wk-3", Value: map[string]any{"status": "done", "tasks": 1}}) // production's
		w.end("wk-4", job.Cancelled, tombstone.CompactOnly)
		w.end("wk-9", job.Done, tombstone.LegacyAndCompact)
		w.open("wk-5", "wk-1", "wk-2")
		w.open("wk-6", "wk-2", "wk-3")
		w.open("wk-7", "wk-4")
		w.open("wk-8", "wk-7")
		w.known["wk-9"] = tombstone.Tombstone{Status: job.Done, Tasks: 1, CompletedAtMS: 5}
		w.open("wk-10", "wk-9")
		time.Sleep(time.Hour)
		w.begin()
		if v := w.is("wk-5", dag.Unresolved); len(v.MissingTombstones) != 2 {
			t.Error(v)
		}
		w.is("wk-6", dag.Unresolved)
		w.is("wk-7", dag.Unresolved)
		w.is("wk-10", dag.Ready)
		if v := w.is("wk-8", dag.Waiting); len(v.MissingTombstones) != 1 || v.MissingTombstones[0] != "wk-4" {
			t.Error(v)
		}
		time.Sleep(time.Second)
		if v := w.is("wk-5", dag.Ready); v.ReadySince.IsZero() {
			t.Error("when it was ready is lost")
		}
		if v := w.is("wk-6", dag.Ready); !v.ReadySince.IsZero() {
			t.Errorf("production does not tell when: %v", v.ReadySince)
		}
		w.is("wk-7", dag.Cancelled)
		w.is("wk-8", dag.Cancelled)
		if w.reads != 4 {
			t.Errorf("%d reads of 4 records", w.reads)
		}
	})
}

// The state service is away while records are wanted: nothing opens, and all is found
// out once it is back. A damaged record keeps what waits for it waiting, and is named.
func TestOutageAndDamage(t *testing.T) {
	story(t, func(w *world) {
		w.end("wk-1", job.Done, tombstone.CompactOnly)
		w.write(statekv.Op{Set: tombstone.Key("wk-2"), Value: "mangled"})
		w.open("wk-5", "wk-1")
		w.open("wk-6", "wk-2")
		w.open("wk-7", "wk-6")
		w.write(statekv.Op{Set: job.RecordKey("wk-8"), Value: "mangled"})
		w.open("wk-9", "wk-8")
		w.begin()
		w.state.SetOutage(true, false)
		for range 60 {
			w.is("wk-5", dag.Unresolved)
			w.is("wk-6", dag.Unresolved)
			time.Sleep(time.Second)
		}
		w.state.SetOutage(false, false)
		for range 5 {
			w.pipes.Evaluate("wk-5")
			w.pipes.Evaluate("wk-6")
			time.Sleep(time.Second)
		}
		w.is("wk-5", dag.Ready)
		w.is("wk-6", dag.Unresolved)
		w.is("wk-9", dag.Waiting)
		bad := w.keys.Undecodable()
		if bad[tombstone.Key("wk-2")] == "" {
			t.Error(bad)
		}
		// Their users are told that they wait, or the jobs would count as forgotten; and it is
		// read again seldom, until a person has written it back.
		if v := w.is("wk-7", dag.Waiting); len(v.MissingTombstones) > 0 || len(v.DamagedTombstones) != 1 {
			t.Errorf("%+v", v)
		}
		before := w.reads
		for range 60 {
			w.pipes.Evaluate("wk-6")
			time.Sleep(time.Second)
		}
		if n := w.reads - before; n < 2 || n > 4 {
			t.Errorf("read %d times in a minute", n)
		}
		w.write(statekv.Op{Set: tombstone.Key("wk-2"), Value: []any{1, "d", 1}})
		w.is("wk-6", dag.Ready)
	})
}

// Hundreds of names are kept in pieces; a job with them waits like any other, also for
// who reads everything anew after a gap in its watch.
func TestNamesInPieces(t *testing.T) {
	story(t, func(w *world) {
		w.begin()
		var names []string
		for k := range 800 {
			names = append(names, fmt.Sprintf("wk-%06d", 7919*k%1000000))
		}
		rec := record("wk-1", names...)
		if !rec.ExceedsLimit(2048) {
			t.Fatal("it fits one value")
		}
		ops, err := rec.SplitSpec(2048, 7)
		if err != nil {
			t.Fatal(err)
		}
		w.open(names[799])
		w.write(append(ops, statekv.Op{Set: job.RecordKey("wk-1"), Value: rec})...)
		for again := range 2 {
			v, _ := w.pipes.Evaluate("wk-1")
			if v.State != dag.Waiting || len(v.WaitingOn) != 1 || v.WaitingOn[0] != names[799] || len(v.MissingTombstones) != 799 {
				t.Fatal(again, v.State, v.WaitingOn, len(v.MissingTombstones))
			}
			if err := w.keys.Load(w.ctx); err != nil {
				t.Fatal(err)
			}
		}
		w.write(statekv.Op{Delete: job.RecordKey("wk-1")})
		if v, ok := w.pipes.Evaluate("wk-1"); ok {
			t.Error(v)
		}
	})
}
