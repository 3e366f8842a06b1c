package scheduler_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// at puts the fleet on a level.
func (w *world) at(features ...rollout.Feature) {
	w.t.Helper()
	l := rollout.ClusterVersion{Schema: 1, Number: len(features), Features: features}
	if _, err := w.state.Txn(w.ctx, nil, []statekv.Op{{Set: statekv.ClusterVersionKey, Value: l}}); err != nil {
		w.t.Fatal(err)
	}
}

// A job that fails everywhere was failed anew on several machines by each placer that
// took it over: what the last one knew is in its record, where the fleet has the
// feature, and only there.
func TestFailuresAreKnownToTheNextPlacer(t *testing.T) {
	tries := map[bool]int{}
	for _, noted := range []bool{false, true} {
		story(t, func(w *world) {
			if noted {
				w.at(rollout.FeatureVersionGate, rollout.FeatureFailureHistory)
			}
			a := w.start("host-0")
			w.run(3 * time.Second)
			w.start("host-1")
			w.boxes = append(w.boxes, w.workers.Add("m3", "box", "a"), w.workers.Add("m4", "box", "b"))
			w.run(3 * time.Second)
			w.submit(a, spec("wk-1", job.Array, 8, 1))
			for range 8 {
				w.run(2 * time.Second)
				w.endAll(worker.CauseFailed)
			}
			w.run(3 * time.Second)
			kv, err := w.state.Get(w.ctx, job.RecordKey("wk-1"))
			if err != nil || strings.Contains(string(kv.Value), `"failed"`) != noted {
				t.Fatalf("noted %v: %s, %v", noted, kv.Value, err)
			}
			count := func() (n int) {
				for _, k := range w.starts() {
					n += k
				}
				return n
			}
			before := count()
			w.crash(a, 1)
			w.run(8 * time.Second)
			for range 10 {
				w.run(2 * time.Second)
				w.endAll(worker.CauseFailed)
			}
			tries[noted] += count() - before
		})
	}
	if tries[true] > 2 || tries[false] <= 2*tries[true] {
		t.Errorf("tries by the next placer: %d, without the note %d", tries[true], tries[false])
	}
}

// Under a level that has moved, nothing is recorded in the form of before: the placer
// meets a conflict, sees the new level, and records the end in both forms.
func TestEndIsRecordedByTheLevel(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 2, 1))
		w.run(4 * time.Second)
		w.at(rollout.FeatureVersionGate, rollout.FeatureFailureHistory, rollout.FeatureTombstones)
		w.endAll(worker.CauseDone)
		w.run(5 * time.Second)
		if w.final("wk-1") != job.Done {
			t.Fatal("not recorded")
		}
		for _, key := range []string{tombstone.LegacyKey("wk-1"), tombstone.Key("wk-1")} {
			if _, err := w.state.Get(w.ctx, key); err != nil {
				t.Errorf("%s: %v", key, err)
			}
		}
		w.at(rollout.FeatureVersionGate, rollout.FeatureFailureHistory, rollout.FeatureTombstones, rollout.FeatureCompactTombstonesOnly)
		w.submit(n, spec("wk-2", job.Array, 2, 1))
		w.run(4 * time.Second)
		w.endAll(worker.CauseDone)
		w.run(5 * time.Second)
		if _, err := w.state.Get(w.ctx, tombstone.LegacyKey("wk-2")); w.final("wk-2") != job.Done || err == nil {
			t.Error("the former form is written still")
		}
	})
}

// A record that is nearly as large as a value may be is folded without the note, rather
// than refused for ever.
func TestNoteDoesNotMakeARecordTooLarge(t *testing.T) {
	story(t, func(w *world) {
		w.at(rollout.FeatureVersionGate, rollout.FeatureFailureHistory)
		n := w.start("host-0")
		w.run(3 * time.Second)
		s := spec("wk-1", job.Array, 4, 1)
		s.Image = strings.Repeat("i", 200)
		for k := 0; len(s.Types) < 50; k++ {
			s.Types = append(s.Types, fmt.Sprintf("%s%d", strings.Repeat("t", 98), k%10))
		}
		s.Types[0] = "box"
		raw, _ := json.Marshal(job.Record{Spec: s})
		s.Class = strings.Repeat("c", max(1, 8192-len(raw)-60))
		w.submit(n, s)
		for range 6 {
			w.run(2 * time.Second)
			w.endAll(worker.CauseFailed)
		}
		w.run(3 * time.Second)
		kv, err := w.state.Get(w.ctx, job.RecordKey("wk-1"))
		if err != nil || len(kv.Value) > 8192 {
			t.Fatal(len(kv.Value), err)
		}
		t.Logf("the record has %d bytes", len(kv.Value))
	})
}
