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

// previousBuildFeatures are the features of the build in production, in the order in which it
// enables them: its version N has the first N of them, from 0 to 4.
var previousBuildFeatures = []rollout.Feature{
	rollout.FeatureVersionGate, rollout.FeatureFailureHistory, rollout.FeatureTombstones,
	rollout.FeatureCompactTombstonesOnly,
}

// previousBuild is what the build in production registers with its sessions.
var previousBuild = rollout.Capabilities{
	Build: "0.2.0", Features: previousBuildFeatures,
	Schemas: map[string][2]int{"record": {0, 0}, "ended": {0, 1}, "level": {1, 1}},
}

// setPreviousBuildVersion stores a version and a migration as the previous build writes them.
func (f *testCluster) setPreviousBuildVersion(number int, migration *rollout.Migration, hold string) {
	f.t.Helper()
	version := map[string]any{"form": 1, "level": number, "features": previousBuildFeatures[:number], "by": "host-0"}
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

// previousBuildMayJoin reports whether a session of the previous build could begin now by that
// build's own rule: it knows every enabled feature.
func (f *testCluster) previousBuildMayJoin() bool {
	f.t.Helper()
	for _, feature := range f.features() {
		if !slices.Contains(previousBuildFeatures, feature) {
			return false
		}
	}
	return true
}

// Dependencies are enabled within seconds of the replacement of the last controller of the previous
// build, whatever that build left behind: any of its versions, with no migration, one in progress
// or a complete one. The migration continues to its end. Only an operator's hold delays the
// feature.
func TestDependenciesAreEnabledWithinSeconds(t *testing.T) {
	for number := range 5 {
		for _, c := range []struct {
			name, hold string
			migration  *rollout.Migration
		}{
			{"as it is", "", nil},
			{"held", "it is Friday", nil},
			{"copying", "", &rollout.Migration{Name: rollout.MigrationWriteCompact, Version: number}},
			{"copied", "", &rollout.Migration{Name: rollout.MigrationWriteCompact, Version: number, Done: true}},
			{"dropping", "", &rollout.Migration{Name: rollout.MigrationDropLegacy, Version: number}},
		} {
			dropping := c.migration != nil && c.migration.Name == rollout.MigrationDropLegacy
			if c.migration != nil && (number < 3 || dropping != (number == 4)) {
				continue // the previous build has no such migration at this version
			}
			t.Run(fmt.Sprintf("version %d %s", number, c.name), func(t *testing.T) {
				runScenario(t, func(f *testCluster) { f.replacePreviousBuild(number, c.migration, c.hold) })
			})
		}
	}
}

// replacePreviousBuild replaces the last controller of the previous build and asserts that
// dependencies are enabled and that the migration completes.
func (f *testCluster) replacePreviousBuild(number int, migration *rollout.Migration, hold string) {
	f.t.Helper()
	for k := range 100 {
		legacy := map[string]any{"status": "done", "tasks": 1}
		f.write(statekv.Op{Set: fmt.Sprintf("robin/final/wk-%03d", k), Value: legacy})
	}
	f.setPreviousBuildVersion(number, migration, hold)
	f.write(statekv.Op{Set: statekv.SessionPrefix + "host-2", Value: previousBuild})
	if f.start("host-0", true) != nil || f.start("host-1", false) != nil {
		f.t.Fatal("a controller was rejected")
	}
	time.Sleep(8 * time.Second)
	if f.dependenciesEnabled() {
		f.t.Fatal("dependencies are enabled while a controller of the previous build is alive")
	}
	if err := f.start("host-2", false); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	if enabled := f.dependenciesEnabled(); enabled != (hold == "") {
		f.t.Fatalf("dependencies enabled: got %v, want %v; features %v", enabled, hold == "", f.features())
	}
	if hold != "" {
		if err := f.controllers["host-1"].gate.Execute(f.ctx, rollout.CommandRaise, "", ""); err != nil {
			f.t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	}
	if !f.dependenciesEnabled() || f.previousBuildMayJoin() {
		f.t.Fatalf("features %v; the previous build may join: %v", f.features(), f.previousBuildMayJoin())
	}
	time.Sleep(time.Minute)
	if migration == nil {
		return
	}
	var progress rollout.Migration
	kv, err := f.state.Get(f.ctx, statekv.MigrationKey)
	if err != nil || json.Unmarshal(kv.Value, &progress) != nil || !progress.Done {
		f.t.Errorf("the migration did not complete: %+v %v", progress, err)
	}
}

// Dependencies are not enabled while a controller is down, nor while it is back with the previous
// build.
func TestDependenciesWaitForControllerThatIsDown(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.setPreviousBuildVersion(2, nil, "")
		f.startAll()
		f.stop("host-2")
		time.Sleep(2 * time.Minute)
		if f.dependenciesEnabled() {
			t.Fatal("dependencies are enabled while a controller is down")
		}
		f.write(statekv.Op{Set: statekv.SessionPrefix + "host-2", Value: previousBuild})
		time.Sleep(2 * time.Minute)
		if f.dependenciesEnabled() {
			t.Fatal("dependencies are enabled while a controller has the previous build")
		}
		if err := f.start("host-2", false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if !f.dependenciesEnabled() {
			t.Fatalf("dependencies are not enabled: features %v", f.features())
		}
	})
}

// startWithDependencies starts all controllers at version 3 of the previous build and waits until
// dependencies are enabled.
func (f *testCluster) startWithDependencies() {
	f.t.Helper()
	f.setPreviousBuildVersion(3, &rollout.Migration{Name: rollout.MigrationWriteCompact, Version: 3, Done: true}, "")
	f.startAll()
	time.Sleep(5 * time.Second)
	if !f.dependenciesEnabled() {
		f.t.Fatalf("dependencies are not enabled: features %v", f.features())
	}
}

// While an unfinished job depends on others, a command to disable dependencies is refused with the
// name of the job. If such a job is accepted at the same moment, the request is cancelled.
// Otherwise dependencies are disabled, and the previous build may join.
func TestDependenciesAreDisabled(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startWithDependencies()
		lower := func() error {
			return f.controllers["host-1"].gate.Execute(f.ctx, rollout.CommandLower, rollout.FeatureDependencies, "back")
		}
		dependent := job.Record{Spec: job.Spec{ID: "wk-7", Tasks: 1, WaitsOn: []string{"wk-6"}}}
		f.write(statekv.Op{Set: job.RecordKey("wk-7"), Value: dependent})
		if err := lower(); err == nil || !strings.Contains(err.Error(), "wk-7") {
			t.Fatalf("lowering with a dependent job: got error %v, want one that names wk-7", err)
		}
		// A dependent job is accepted while the command, delayed by 300 ms, is being written.
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
		underFormerVersion := []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: kv.Rev}}
		accept := []statekv.Op{{Set: job.RecordKey("wk-8"), Value: dependent}}
		if _, err := f.state.Txn(f.ctx, underFormerVersion, accept); !statekv.IsConflict(err) {
			t.Fatalf("a job was accepted although dependencies are to be disabled: %v", err)
		}
		f.state.SetTxnLatency(0)
		time.Sleep(3 * time.Second)
		if !f.dependenciesEnabled() {
			t.Fatal("dependencies are disabled although a job needs them")
		}
		f.write(statekv.Op{Delete: job.RecordKey("wk-7")})
		time.Sleep(time.Second)
		if err := lower(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if f.dependenciesEnabled() || !f.previousBuildMayJoin() {
			t.Fatalf("dependencies are not disabled, or the previous build may not join: features %v", f.features())
		}
		time.Sleep(2 * time.Minute)
		if f.dependenciesEnabled() {
			t.Fatal("dependencies are enabled again without an operator")
		}
	})
}

// A command to disable dependencies that is repeated while transactions are slow is written once.
// Each write of the version makes pending writes that compare it fail: the leader's step that
// disables the feature, and the completion of every job. When each repetition was written, real
// processes on an idle machine made no progress for minutes.
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
			t.Fatalf("got %d writes, want 1; revision %d to %d, features %v", writes, before.Rev, kv.Rev, f.features())
		}
	})
}
