package scheduler_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// All controllers of the version before there were levels end at once, and this one is
// started on what they left: unfinished jobs are taken up, each task is started once
// its machine's lease is over, what was done or cancelled stays so, and the records of
// later ends have the form that the former version reads.
func TestStateOfFormZeroIsTakenUp(t *testing.T) {
	story(t, func(w *world) {
		raw, err := os.ReadFile("../rollout/testdata/form0.json")
		if err != nil {
			t.Fatal(err)
		}
		var dump statekv.Page
		if err := json.Unmarshal(raw, &dump); err != nil {
			t.Fatal(err)
		}
		before, open := map[string]string{}, []string{}
		for _, kv := range dump.Items {
			if _, node := strings.CutPrefix(kv.Key, statekv.SessionPrefix); node {
				continue // their leases have ended
			}
			if _, err := w.state.Txn(w.ctx, nil, []statekv.Op{{Set: kv.Key, Value: kv.Value}}); err != nil {
				t.Fatal(err)
			}
			if id, ok := strings.CutPrefix(kv.Key, job.RecordPrefix); ok {
				open = append(open, id)
			}
			if id, r, ok, _ := tombstone.Parse(kv.Key, kv.Value); ok {
				before[id] = r.Status
			}
		}
		w.start("host-0")
		for range 30 {
			w.run(5 * time.Second)
			w.endAll(worker.CauseDone)
		}
		for id, status := range before {
			if got := w.final(id); got != status {
				t.Errorf("%s was %s and is %s", id, status, got)
			}
		}
		for _, id := range open {
			kv, err := w.state.Get(w.ctx, tombstone.LegacyKey(id))
			if err != nil || w.final(id) != job.Done {
				t.Errorf("%s: %s %v", id, kv.Value, err)
			}
		}
		for task, n := range w.starts() {
			if n != 1 {
				t.Errorf("%s was started %d times", task, n)
			}
		}
		if r, err := rollout.CheckStore(w.ctx, w.state); err != nil || !r.Compatible() {
			t.Errorf("%+v %v", r, err)
		}
	})
}

// What a later version wrote is left alone, and the rest is served: a slot and a record
// of forms that this build does not know are neither taken nor changed, and are listed.
func TestUnknownFormsAreLeftAlone(t *testing.T) {
	story(t, func(w *world) {
		later := map[string]any{
			statekv.JobShardPrefix + "host-9.1": map[string]any{"form": 1, "host": "host-9", "instance": 1},
			job.RecordPrefix + "wk-7":           map[string]any{"form": 3, "what": "ever"},
		}
		for key, v := range later {
			if _, err := w.state.Txn(w.ctx, nil, []statekv.Op{{Set: key, Value: v}}); err != nil {
				t.Fatal(err)
			}
		}
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 2, 1))
		w.run(10 * time.Second)
		w.endAll(worker.CauseDone)
		w.run(5 * time.Second)
		if w.final("wk-1") != job.Done {
			t.Error("the rest is not served")
		}
		for key, v := range later {
			want, _ := json.Marshal(v)
			kv, err := w.state.Get(w.ctx, key)
			if err != nil || string(kv.Value) != string(want) {
				t.Errorf("%s: %s, %v", key, kv.Value, err)
			}
		}
		if bad := n.mirror.Undecodable(); bad[statekv.JobShardPrefix+"host-9.1"] == "" {
			t.Errorf("listed: %v", bad)
		}
	})
}
