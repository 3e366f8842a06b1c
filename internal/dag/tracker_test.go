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

// trackerTestbed is a tracker with a mirror of an emulated state service.
type trackerTestbed struct {
	t       *testing.T
	ctx     context.Context
	state   *emulator.StateService
	mirror  *statekv.Mirror
	tracker *dag.Tracker
	cached  map[string]tombstone.Tombstone
	reads   int
}

// runTrackerTest runs a test with a testbed of its own in synthetic time.
func runTrackerTest(t *testing.T, test func(b *trackerTestbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		test(&trackerTestbed{t: t, ctx: ctx, state: emulator.NewStateService(), cached: map[string]tombstone.Tombstone{}})
	})
}

// start starts the mirror and the tracker, as a new session does.
func (b *trackerTestbed) start() {
	b.t.Helper()
	b.mirror = statekv.NewMirror(b.state, []string{job.RecordPrefix, job.SpecFragmentPrefix}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
	b.tracker = dag.NewTracker(b.mirror, func(*job.Spec) time.Duration { return 10 * time.Second }, func(id string) (tombstone.Tombstone, bool) {
		ts, ok := b.cached[id]
		return ts, ok
	})
	b.mirror.OnApply = b.tracker.OnEvents
	if err := b.mirror.Load(b.ctx); err != nil {
		b.t.Fatal(err)
	}
	go b.mirror.Run(b.ctx)
	go b.tracker.Run(b.ctx, func(ctx context.Context, id string) (tombstone.Tombstone, error) {
		// The read takes synthetic time, so that it cannot be made before the test sleeps.
		select {
		case <-ctx.Done():
			return tombstone.Tombstone{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
		b.reads++
		return tombstone.Read(ctx, b.state, nil, id)
	})
}

func (b *trackerTestbed) write(ops ...statekv.Op) {
	b.t.Helper()
	rev, err := b.state.Txn(b.ctx, nil, ops)
	if err != nil {
		b.t.Fatal(err)
	}
	if b.mirror != nil {
		if err := b.mirror.Wait(b.ctx, rev); err != nil {
			b.t.Fatal(err)
		}
	}
}

func newRecord(id string, dependencies ...string) job.Record {
	return job.Record{Spec: job.Spec{ID: id, Tasks: 1, Rank: "normal", WaitsOn: dependencies}, SubmittedMS: time.Now().UnixMilli()}
}

func (b *trackerTestbed) addJob(id string, dependencies ...string) {
	b.t.Helper()
	b.write(statekv.Op{Set: job.RecordKey(id), Value: newRecord(id, dependencies...)})
}

func (b *trackerTestbed) finishJob(id, status string, formats tombstone.Formats) {
	b.t.Helper()
	b.write(append(tombstone.WriteOps(id, tombstone.Tombstone{Status: status, Tasks: 1, CompletedAtMS: time.Now().UnixMilli()}, formats), statekv.Op{Delete: job.RecordKey(id)})...)
}

func (b *trackerTestbed) requireState(id string, state dag.State) dag.Result {
	b.t.Helper()
	result, ok := b.tracker.Evaluate(id)
	if !ok || result.State != state {
		b.t.Fatalf("%s: got %+v, %t; want state %d", id, result, ok, state)
	}
	return result
}

// A caller that has waited until the mirror has seen a revision gets the result of that revision.
// Otherwise a controller that acknowledged a cancellation and one that is queried afterwards could
// disagree. Guards against a tracker that receives changes after the mirror has reported them as
// seen.
func TestEvaluateReflectsMirrorRevision(t *testing.T) {
	runTrackerTest(t, func(b *trackerTestbed) {
		b.start()
		b.addJob("wk-1")
		b.addJob("wk-2", "wk-1")
		b.addJob("wk-3", "wk-2")
		b.requireState("wk-3", dag.Waiting)
		b.finishJob("wk-1", job.Cancelled, tombstone.CompactOnly)
		b.requireState("wk-2", dag.Cancelled)
		b.requireState("wk-3", dag.Cancelled)
		b.finishJob("wk-2", job.Cancelled, tombstone.LegacyAndCompact)
		if result := b.requireState("wk-3", dag.Cancelled); result.CancelledBy != "wk-2" {
			t.Errorf("got %+v, want cancelled by wk-2", result)
		}
		time.Sleep(time.Second) // every requested read has been made by then
		if b.reads > 0 {
			t.Errorf("got %d reads of tombstones that the mirror has delivered, want none", b.reads)
		}
	})
}

// A new session reads the tombstones of jobs that finished long ago once each, whichever build
// wrote them. Until then no job is reported as waiting, because one of its dependencies may have
// been cancelled.
func TestTombstonesOfEarlierSessionsAreRead(t *testing.T) {
	runTrackerTest(t, func(b *trackerTestbed) {
		b.finishJob("wk-1", job.Done, tombstone.LegacyOnly)
		b.finishJob("wk-2", job.Done, tombstone.CompactOnly)
		b.write(statekv.Op{Set: "robin/final/wk-3", Value: map[string]any{"status": "done", "tasks": 1}}) // as the build in production writes it
		b.finishJob("wk-4", job.Cancelled, tombstone.CompactOnly)
		b.finishJob("wk-9", job.Done, tombstone.LegacyAndCompact)
		b.addJob("wk-5", "wk-1", "wk-2")
		b.addJob("wk-6", "wk-2", "wk-3")
		b.addJob("wk-7", "wk-4")
		b.addJob("wk-8", "wk-7")
		b.cached["wk-9"] = tombstone.Tombstone{Status: job.Done, Tasks: 1, CompletedAtMS: 5}
		b.addJob("wk-10", "wk-9")
		time.Sleep(time.Hour)
		b.start()
		if result := b.requireState("wk-5", dag.Unresolved); len(result.MissingTombstones) != 2 {
			t.Errorf("got %+v, want 2 missing tombstones", result)
		}
		b.requireState("wk-6", dag.Unresolved)
		b.requireState("wk-7", dag.Unresolved)
		b.requireState("wk-10", dag.Ready)
		if result := b.requireState("wk-8", dag.Waiting); len(result.MissingTombstones) != 1 || result.MissingTombstones[0] != "wk-4" {
			t.Errorf("got %+v, want the missing tombstone of wk-4", result)
		}
		time.Sleep(time.Second)
		if result := b.requireState("wk-5", dag.Ready); result.ReadySince.IsZero() {
			t.Error("wk-5: got no time since which it is ready")
		}
		if result := b.requireState("wk-6", dag.Ready); !result.ReadySince.IsZero() {
			t.Errorf("wk-6, without the completion time of wk-3: got ready since %v, want zero", result.ReadySince)
		}
		b.requireState("wk-7", dag.Cancelled)
		b.requireState("wk-8", dag.Cancelled)
		if b.reads != 4 {
			t.Errorf("got %d reads of 4 tombstones, want 4", b.reads)
		}
	})
}

// During an outage of the state service no job becomes ready, and after it all jobs are resolved. A
// damaged tombstone is reported and keeps the jobs that depend on it waiting.
func TestOutageAndDamagedTombstone(t *testing.T) {
	runTrackerTest(t, func(b *trackerTestbed) {
		b.finishJob("wk-1", job.Done, tombstone.CompactOnly)
		b.write(statekv.Op{Set: tombstone.Key("wk-2"), Value: "mangled"})
		b.addJob("wk-5", "wk-1")
		b.addJob("wk-6", "wk-2")
		b.addJob("wk-7", "wk-6")
		b.write(statekv.Op{Set: job.RecordKey("wk-8"), Value: "mangled"})
		b.addJob("wk-9", "wk-8")
		b.start()
		b.state.SetOutage(true, false)
		for range 60 {
			b.requireState("wk-5", dag.Unresolved)
			b.requireState("wk-6", dag.Unresolved)
			time.Sleep(time.Second)
		}
		b.state.SetOutage(false, false)
		for range 5 {
			b.tracker.Evaluate("wk-5")
			b.tracker.Evaluate("wk-6")
			time.Sleep(time.Second)
		}
		b.requireState("wk-5", dag.Ready)
		b.requireState("wk-6", dag.Unresolved)
		b.requireState("wk-9", dag.Waiting)
		undecodable := b.mirror.Undecodable()
		if undecodable[tombstone.Key("wk-2")] == "" {
			t.Errorf("got undecodable keys %v, want the tombstone of wk-2 among them", undecodable)
		}
		// Users are told that these jobs wait, as otherwise the jobs would count as lost. A damaged
		// tombstone is read again every damagedRetryDelay at most, until an operator has restored
		// it.
		if result := b.requireState("wk-7", dag.Waiting); len(result.MissingTombstones) > 0 || len(result.DamagedTombstones) != 1 {
			t.Errorf("got %+v, want one damaged and no missing tombstone", result)
		}
		readsBefore := b.reads
		for range 60 {
			b.tracker.Evaluate("wk-6")
			time.Sleep(time.Second)
		}
		if reads := b.reads - readsBefore; reads < 2 || reads > 4 {
			t.Errorf("got %d reads of a damaged tombstone in a minute, want 2 to 4", reads)
		}
		b.write(statekv.Op{Set: tombstone.Key("wk-2"), Value: []any{1, "d", 1}})
		b.requireState("wk-6", dag.Ready)
	})
}

// A job with hundreds of dependencies, which are stored in spec fragments, waits like any other
// job, also after the mirror has been reloaded because of a gap in its watch.
func TestDependenciesInSpecFragments(t *testing.T) {
	runTrackerTest(t, func(b *trackerTestbed) {
		b.start()
		var dependencies []string
		for k := range 800 {
			dependencies = append(dependencies, fmt.Sprintf("wk-%06d", 7919*k%1000000))
		}
		record := newRecord("wk-1", dependencies...)
		if !record.ExceedsLimit(2048) {
			t.Fatal("record with 800 dependencies fits one value")
		}
		ops, err := record.SplitSpec(2048, 7)
		if err != nil {
			t.Fatal(err)
		}
		b.addJob(dependencies[799])
		b.write(append(ops, statekv.Op{Set: job.RecordKey("wk-1"), Value: record})...)
		for reloads := range 2 {
			result, _ := b.tracker.Evaluate("wk-1")
			if result.State != dag.Waiting || len(result.WaitingOn) != 1 || result.WaitingOn[0] != dependencies[799] || len(result.MissingTombstones) != 799 {
				t.Fatalf("%d reloads: got state %d, waiting on %v, %d missing tombstones; want Waiting on %s, 799 missing",
					reloads, result.State, result.WaitingOn, len(result.MissingTombstones), dependencies[799])
			}
			if err := b.mirror.Load(b.ctx); err != nil {
				t.Fatal(err)
			}
		}
		b.write(statekv.Op{Delete: job.RecordKey("wk-1")})
		if result, ok := b.tracker.Evaluate("wk-1"); ok {
			t.Errorf("got %+v for a job whose record was deleted, want none", result)
		}
	})
}
