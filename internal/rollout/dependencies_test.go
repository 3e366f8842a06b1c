package rollout_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
)

// formerFeatures are what the build in production enables, one by one: its versions 0 to 4.
var formerFeatures = []rollout.Feature{
	rollout.FeatureVersionGate, rollout.FeatureFailureHistory, rollout.FeatureTombstones,
	rollout.FeatureCompactTombstonesOnly,
}

// formerBuild is what the key of a session of the build in production says.
var formerBuild = rollout.Capabilities{
	Build: "0.2.0", Features: formerFeatures,
	Schemas: map[string][2]int{"record": {0, 0}, "ended": {0, 1}, "level": {1, 1}},
}

// setFormerVersion stores a version, and a migration, as the build in production writes
// them.
func (f *testCluster) setFormerVersion(number int, migration *rollout.Migration, hold string) {
	f.t.Helper()
	version := map[string]any{"form": 1, "level": number, "features": formerFeatures[:number], "by": "host-0"}
	if number >= 3 {
		version["forms"] = map[string]int{"ended": 1}
	}
	if hold != "" {
		version["hold"] = hold
	}
	if number > 0 || hold != "" {
		f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: version})
	}
	if migration != nil {
		f.write(statekv.Op{Set: statekv.MigrationKey, Value: migration})
	}
}

func (f *testCluster) features() []rollout.Feature {
	f.t.Helper()
	return f.version().Features
}

func (f *testCluster) dependenciesEnabled() bool {
	f.t.Helper()
	return slices.Contains(f.features(), rollout.FeatureDependencies)
}

// formerBuildMayJoin reports whether the build in production could begin a session now, by
// its own rules: the version's key can be decoded, and it knows every feature.
func (f *testCluster) formerBuildMayJoin() bool {
	f.t.Helper()
	for _, feature := range f.features() {
		if !slices.Contains(formerFeatures, feature) {
			return false
		}
	}
	return true
}

// Wherever the build in production has left the cluster, dependencies are enabled within
// seconds of the last replacement: at each of its versions, with a migration under way,
// done or none. The migration goes on and ends. Only a hold, which an operator set, is
// waited for.
func TestDependenciesAreEnabledWithinSeconds(t *testing.T) {
	for number := range 5 {
		for _, c := range []struct {
			name, hold string
			migration  *rollout.Migration
		}{
			{"as it is", "", nil},
			{"held", "it is Friday", nil},
			{"copying", "", &rollout.Migration{Name: rollout.MigrationCopy, Version: number}},
			{"copied", "", &rollout.Migration{Name: rollout.MigrationCopy, Version: number, Done: true}},
			{"dropping", "", &rollout.Migration{Name: rollout.MigrationDropLegacy, Version: number}},
		} {
			dropping := c.migration != nil && c.migration.Name == rollout.MigrationDropLegacy
			if c.migration != nil && (number < 3 || dropping != (number == 4)) {
				continue // production makes no such migration there
			}
			t.Run(fmt.Sprintf("version %d %s", number, c.name), func(t *testing.T) {
				runScenario(t, func(f *testCluster) { f.replaceFormerBuild(number, c.migration, c.hold) })
			})
		}
	}
}

// replaceFormerBuild replaces the last controller of the former build and asserts that
// dependencies are enabled, and that the migration goes on.
func (f *testCluster) replaceFormerBuild(number int, migration *rollout.Migration, hold string) {
	f.t.Helper()
	for k := range 100 {
		legacy := map[string]any{"status": "done", "tasks": 1}
		f.write(statekv.Op{Set: fmt.Sprintf("robin/final/wk-%03d", k), Value: legacy})
	}
	f.setFormerVersion(number, migration, hold)
	f.write(statekv.Op{Set: statekv.SessionPrefix + "host-2", Value: formerBuild})
	if f.start("host-0", true) != nil || f.start("host-1", false) != nil {
		f.t.Fatal("a controller was rejected")
	}
	time.Sleep(8 * time.Second)
	if f.dependenciesEnabled() {
		f.t.Fatal("enabled while a controller of the former build is alive")
	}
	if err := f.start("host-2", false); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	if enabled := f.dependenciesEnabled(); enabled != (hold == "") {
		f.t.Fatalf("enabled: %v; %v", enabled, f.features())
	}
	if hold != "" {
		if err := f.controllers["host-1"].gate.Execute(f.ctx, rollout.CommandRaise, "", ""); err != nil {
			f.t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	}
	if !f.dependenciesEnabled() || f.formerBuildMayJoin() {
		f.t.Fatalf("%v; the former build could join: %v", f.features(), f.formerBuildMayJoin())
	}
	time.Sleep(time.Minute)
	if migration == nil {
		return
	}
	var progress rollout.Migration
	kv, err := f.state.Get(f.ctx, statekv.MigrationKey)
	if err != nil || json.Unmarshal(kv.Value, &progress) != nil || !progress.Done {
		f.t.Errorf("the migration did not go on: %+v %v", progress, err)
	}
}

// A controller that is down is waited for, and one that comes back with the former build
// in the middle too.
func TestDependenciesWaitForControllerThatIsDown(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.setFormerVersion(2, nil, "")
		f.startAll()
		f.stop("host-2")
		time.Sleep(2 * time.Minute)
		if f.dependenciesEnabled() {
			t.Fatal("enabled while a controller is down")
		}
		f.write(statekv.Op{Set: statekv.SessionPrefix + "host-2", Value: formerBuild})
		time.Sleep(2 * time.Minute)
		if f.dependenciesEnabled() {
			t.Fatal("enabled while a controller has the former build")
		}
		if err := f.start("host-2", false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if !f.dependenciesEnabled() {
			t.Fatal(f.features())
		}
	})
}

// startWithDependencies starts all controllers at a version of the former build and waits
// until dependencies are enabled.
func (f *testCluster) startWithDependencies() {
	f.t.Helper()
	f.setFormerVersion(3, &rollout.Migration{Name: rollout.MigrationCopy, Version: 3, Done: true}, "")
	f.startAll()
	time.Sleep(5 * time.Second)
	if !f.dependenciesEnabled() {
		f.t.Fatal(f.features())
	}
}

// Disabling dependencies is refused by name while an unfinished job depends on others,
// given up when one is accepted at the same moment, and done otherwise; then the former
// build may join.
func TestDependenciesAreDisabled(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startWithDependencies()
		lower := func() error {
			return f.controllers["host-1"].gate.Execute(f.ctx, rollout.CommandLower, rollout.FeatureDependencies, "back")
		}
		dependent := job.Record{Spec: job.Spec{ID: "wk-7", Tasks: 1, WaitsOn: []string{"wk-6"}}}
		f.write(statekv.Op{Set: job.RecordKey("wk-7"), Value: dependent})
		if err := lower(); err == nil || !strings.Contains(err.Error(), "wk-7") {
			t.Fatal(err)
		}
		// The record is written under the version as it was before.
		f.write(statekv.Op{Delete: job.RecordKey("wk-7")})
		kv, _ := f.state.Get(f.ctx, statekv.ClusterVersionKey)
		f.state.SetTxnLatency(300 * time.Millisecond)
		done := make(chan error)
		go func() { done <- lower() }()
		time.Sleep(100 * time.Millisecond)
		f.write(statekv.Op{Set: job.RecordKey("wk-7"), Value: dependent})
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		underFormer := []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: kv.Rev}}
		accept := []statekv.Op{{Set: job.RecordKey("wk-8"), Value: dependent}}
		if _, err := f.state.Txn(f.ctx, underFormer, accept); !statekv.IsConflict(err) {
			t.Fatalf("accepted although dependencies are to be disabled: %v", err)
		}
		f.state.SetTxnLatency(0)
		time.Sleep(3 * time.Second)
		if !f.dependenciesEnabled() {
			t.Fatal("disabled with a job that needs them")
		}
		f.write(statekv.Op{Delete: job.RecordKey("wk-7")})
		time.Sleep(time.Second)
		if err := lower(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if f.dependenciesEnabled() || !f.formerBuildMayJoin() {
			t.Fatal(f.features())
		}
		time.Sleep(2 * time.Minute)
		if f.dependenciesEnabled() {
			t.Fatal("enabled again without an operator")
		}
	})
}

// An operator, or a script, asks again and again for dependencies to be disabled while
// transactions take a moment: the request is written once. Written each time, it had the
// leader's own step rejected for ever, and with it the end of every job, which carries the
// version's compare too: on an idle machine real processes stood still so for minutes.
func TestRepeatedLowerCommandIsWrittenOnce(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startWithDependencies()
		f.state.SetTxnLatency(150 * time.Millisecond)
		before, _ := f.state.Get(f.ctx, statekv.ClusterVersionKey)
		gate := f.controllers["host-1"].gate
		writes := 0
		for end := time.Now().Add(20 * time.Second); f.dependenciesEnabled() && time.Now().Before(end); {
			if gate.Execute(f.ctx, rollout.CommandLower, rollout.FeatureDependencies, "") == nil {
				writes++
			}
			time.Sleep(20 * time.Millisecond)
		}
		if f.dependenciesEnabled() || writes != 1 {
			kv, _ := f.state.Get(f.ctx, statekv.ClusterVersionKey)
			t.Fatalf("after %d writes, revision %d to %d: %v", writes, before.Rev, kv.Rev, f.features())
		}
	})
}
