package rollout_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
)

// ladder is what the version in production climbs, one by one: its levels 0 to 4.
var ladder = []rollout.Feature{rollout.FeatureVersionGate, rollout.FeatureFailureHistory, rollout.FeatureTombstones, rollout.FeatureCompactTombstonesOnly}

// production is what the key of a life of the version in production says.
var production = rollout.Capabilities{Build: "0.2.0", Features: ladder, Schemas: map[string][2]int{"record": {0, 0}, "ended": {0, 1}, "level": {1, 1}}}

// stands has the fleet stand at a level as the version in production wrote it.
func (f *fleet) stands(level int, move *rollout.Migration, hold string) {
	f.t.Helper()
	l := map[string]any{"form": 1, "level": level, "features": ladder[:level], "by": "host-0"}
	if level >= 3 {
		l["forms"] = map[string]int{"ended": 1}
	}
	if hold != "" {
		l["hold"] = hold
	}
	if level > 0 || hold != "" {
		f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: l})
	}
	if move != nil {
		f.write(statekv.Op{Set: statekv.MigrationKey, Value: move})
	}
}

func (f *fleet) features() []rollout.Feature {
	f.t.Helper()
	kv, err := f.state.Get(f.ctx, statekv.ClusterVersionKey)
	if err != nil {
		return nil
	}
	l, err := rollout.ParseClusterVersion(kv.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return l.Features
}

func (f *fleet) has(feature rollout.Feature) bool {
	for _, g := range f.features() {
		if g == feature {
			return true
		}
	}
	return false
}

// reads reports whether the version in production could begin a life now, by its own
// rules: the level's key is readable, and it knows every feature.
func (f *fleet) reads() bool {
	for _, g := range f.features() {
		known := false
		for _, k := range ladder {
			known = known || k == g
		}
		if !known {
			return false
		}
	}
	return true
}

// Wherever the version in production has left the fleet, pipelines come on within
// seconds of the last replacement: at each of its levels, with a move under way, done or
// none. The move goes on and ends. Only a hold, which a person set, is waited for.
func TestPipelinesComeOnWithinSeconds(t *testing.T) {
	for level := range 5 {
		for _, c := range []struct {
			name, hold string
			move       *rollout.Migration
		}{
			{"as it is", "", nil},
			{"held", "it is Friday", nil},
			{"copying", "", &rollout.Migration{Name: rollout.MigrationCopy, Version: level}},
			{"copied", "", &rollout.Migration{Name: rollout.MigrationCopy, Version: level, Done: true}},
			{"dropping", "", &rollout.Migration{Name: rollout.MigrationDropLegacy, Version: level}},
		} {
			if c.move != nil && (level < 3 || (c.move.Name == rollout.MigrationDropLegacy) != (level == 4)) {
				continue // production makes no such move there
			}
			t.Run(fmt.Sprintf("level %d %s", level, c.name), func(t *testing.T) {
				story(t, func(f *fleet) {
					for k := range 100 {
						f.write(statekv.Op{Set: fmt.Sprintf("robin/final/wk-%03d", k), Value: map[string]any{"status": "done", "tasks": 1}})
					}
					f.stands(level, c.move, c.hold)
					f.write(statekv.Op{Set: statekv.SessionPrefix + "host-2", Value: production})
					if f.start("host-0", true) != nil || f.start("host-1", false) != nil {
						t.Fatal("joins")
					}
					time.Sleep(8 * time.Second)
					if f.has(rollout.FeatureDependencies) {
						t.Fatal("on while a controller of the former version lives")
					}
					if err := f.start("host-2", false); err != nil {
						t.Fatal(err)
					}
					time.Sleep(5 * time.Second)
					if on := f.has(rollout.FeatureDependencies); on != (c.hold == "") {
						t.Fatalf("on: %v; %v", on, f.features())
					}
					if c.hold != "" {
						if err := f.lives["host-1"].gate.Execute(f.ctx, rollout.CommandRaise, "", ""); err != nil {
							t.Fatal(err)
						}
						time.Sleep(2 * time.Second)
					}
					if !f.has(rollout.FeatureDependencies) || f.reads() {
						t.Fatalf("%v; the former version could join: %v", f.features(), f.reads())
					}
					time.Sleep(time.Minute)
					var m rollout.Migration
					if kv, err := f.state.Get(f.ctx, statekv.MigrationKey); c.move != nil && (err != nil || json.Unmarshal(kv.Value, &m) != nil || !m.Done) {
						t.Errorf("the move did not go on: %+v %v", m, err)
					}
				})
			})
		}
	}
}

// One that is down is waited for, and one that comes back with the former version in
// the middle too.
func TestPipelinesWaitForOneThatIsDown(t *testing.T) {
	story(t, func(f *fleet) {
		f.stands(2, nil, "")
		f.startAll()
		f.end("host-2")
		time.Sleep(2 * time.Minute)
		if f.has(rollout.FeatureDependencies) {
			t.Fatal("on while one is down")
		}
		f.write(statekv.Op{Set: statekv.SessionPrefix + "host-2", Value: production})
		time.Sleep(2 * time.Minute)
		if f.has(rollout.FeatureDependencies) {
			t.Fatal("on while one has the former version")
		}
		if err := f.start("host-2", false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if !f.has(rollout.FeatureDependencies) {
			t.Fatal(f.features())
		}
	})
}

// Going back: refused by name while an unfinished job waits for others; given up when
// one is taken in the same moment; free otherwise, and then the former version may join.
func TestPipelinesGoOff(t *testing.T) {
	story(t, func(f *fleet) {
		f.stands(3, &rollout.Migration{Name: rollout.MigrationCopy, Version: 3, Done: true}, "")
		f.startAll()
		time.Sleep(5 * time.Second)
		if !f.has(rollout.FeatureDependencies) {
			t.Fatal(f.features())
		}
		lower := func() error {
			return f.lives["host-1"].gate.Execute(f.ctx, rollout.CommandLower, rollout.FeatureDependencies, "back")
		}
		waiting := job.Record{Spec: job.Spec{ID: "wk-7", Tasks: 1, WaitsOn: []string{"wk-6"}}}
		f.write(statekv.Op{Set: job.RecordKey("wk-7"), Value: waiting})
		if err := lower(); err == nil || !strings.Contains(err.Error(), "wk-7") {
			t.Fatal(err)
		}
		// The record is written under the level as it was before.
		f.write(statekv.Op{Delete: job.RecordKey("wk-7")})
		kv, _ := f.state.Get(f.ctx, statekv.ClusterVersionKey)
		f.state.SetTxnLatency(300 * time.Millisecond)
		done := make(chan error)
		go func() { done <- lower() }()
		time.Sleep(100 * time.Millisecond)
		f.write(statekv.Op{Set: job.RecordKey("wk-7"), Value: waiting})
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if _, err := f.state.Txn(f.ctx, []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: kv.Rev}}, []statekv.Op{{Set: job.RecordKey("wk-8"), Value: waiting}}); !statekv.IsConflict(err) {
			t.Fatalf("taken although pipelines are to go: %v", err)
		}
		f.state.SetTxnLatency(0)
		time.Sleep(3 * time.Second)
		if !f.has(rollout.FeatureDependencies) {
			t.Fatal("gone with a job that needs them")
		}
		f.write(statekv.Op{Delete: job.RecordKey("wk-7")})
		time.Sleep(time.Second)
		if err := lower(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if f.has(rollout.FeatureDependencies) || !f.reads() {
			t.Fatal(f.features())
		}
		time.Sleep(2 * time.Minute)
		if f.has(rollout.FeatureDependencies) {
			t.Fatal("on again without a person")
		}
	})
}

// A person, or a script, asks again and again for pipelines to go off while transactions
// take a moment: the wish is written once. Written each time, it had the steward's own step
// refused for ever, and with it the end of every job, which carries the level's condition
// too: on an idle machine real processes stood still so for minutes.
func TestLoweringThatIsAskedForAgainAndAgainComesToItsEnd(t *testing.T) {
	story(t, func(f *fleet) {
		f.stands(3, &rollout.Migration{Name: rollout.MigrationCopy, Version: 3, Done: true}, "")
		f.startAll()
		time.Sleep(5 * time.Second)
		if !f.has(rollout.FeatureDependencies) {
			t.Fatal(f.features())
		}
		f.state.SetTxnLatency(150 * time.Millisecond)
		before, _ := f.state.Get(f.ctx, statekv.ClusterVersionKey)
		writes := 0
		for end := time.Now().Add(20 * time.Second); f.has(rollout.FeatureDependencies) && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if f.lives["host-1"].gate.Execute(f.ctx, rollout.CommandLower, rollout.FeatureDependencies, "") == nil {
				writes++
			}
		}
		if f.has(rollout.FeatureDependencies) || writes != 1 {
			kv, _ := f.state.Get(f.ctx, statekv.ClusterVersionKey)
			t.Fatalf("after %d writes, revision %d to %d: %v", writes, before.Rev, kv.Rev, f.features())
		}
	})
}
