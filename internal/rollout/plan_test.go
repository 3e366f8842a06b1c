package rollout

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"robinstack/internal/statekv"
)

// featuresBeforeIrreversible are the features of a cluster that was at the former build's
// highest version before the irreversible one when dependencies were enabled.
var featuresBeforeIrreversible = []Feature{
	FeatureVersionGate, FeatureFailureHistory, FeatureTombstones, FeatureDependencies,
}

// stableSnapshot is a snapshot of three controllers of this build that have been up for
// long.
func stableSnapshot(features ...Feature) Snapshot {
	s := Snapshot{
		Self: "host-0", Version: ClusterVersion{}.withFeatures(features), LeaderEpoch: 3, VersionAge: time.Hour,
		SoakTime: 30 * time.Second, AbsenceTimeout: 10 * time.Minute,
	}
	for k, host := range []string{"host-0", "host-1", "host-2"} {
		s.Controllers = append(s.Controllers, Controller{
			Host: host, Rev: uint64(10 + k), Capabilities: LocalCapabilities(), Alive: true, StateAge: time.Hour,
		})
	}
	return s
}

// What blocks a raise is reported by name; once nothing does, the version is raised by one,
// under the compares of all that was read.
func TestRaiseBlockedBy(t *testing.T) {
	for _, c := range []struct {
		reason string
		change func(*Snapshot)
	}{
		{"", func(*Snapshot) {}},
		{`host-1 (build form 0) lacks feature "gated"`, func(s *Snapshot) { s.Controllers[1].Capabilities, _ = ParseCapabilities([]byte("{}")) }},
		{"host-2 has stood for 5s of 30s", func(s *Snapshot) { s.Controllers[2].StateAge = 5 * time.Second }},
		{"host-2 is away since 1m0s", func(s *Snapshot) { s.Controllers[2].Alive, s.Controllers[2].StateAge = false, time.Minute }},
		{"", func(s *Snapshot) { s.Controllers[2].Alive = false }}, // for an hour: it is waited for no longer
		{"held: it is Friday", func(s *Snapshot) { s.Version.HoldReason = "it is Friday" }},
		{"held by the policy", func(s *Snapshot) { s.HeldByPolicy = true }},
		{"level 2 has stood for 2s", func(s *Snapshot) { s.VersionAge = 2 * time.Second }},
		{"the steward raises it", func(s *Snapshot) { s.LeaderEpoch = 0 }},
		{"cannot be read: damaged", func(s *Snapshot) { s.VersionDecodeError = "damaged" }},
		{"robin/fleet/node/host-1 cannot be read", func(s *Snapshot) { s.Controllers[1].DecodeError = "damaged" }},
		{"does not know", func(s *Snapshot) {
			s.Version = ClusterVersion{Schema: 1, Number: 1, Features: []Feature{"from the future"}}
		}},
	} {
		s := stableSnapshot(FeatureVersionGate, FeatureDependencies)
		c.change(&s)
		change, reason := s.PlanRaise()
		if (change != nil) != (c.reason == "") || !strings.Contains(reason, c.reason) {
			t.Errorf("%q: %v, %q", c.reason, change, reason)
		}
		if change != nil && (change.To.Number != 3 || !change.To.Enabled(FeatureFailureHistory) || len(change.Compares) != 7) {
			t.Errorf("%+v", change)
		}
	}
}

// The irreversible version waits for the migration of stored values and for an operator.
func TestIrreversibleFeatureWaitsForMigrationAndOperator(t *testing.T) {
	s := stableSnapshot(featuresBeforeIrreversible...)
	if _, reason := s.PlanRaise(); !strings.Contains(reason, "waits for a person") {
		t.Error(reason)
	}
	raise, _ := s.PlanAllowRaise()
	s.Version = raise.To
	s.Migration = Migration{Name: MigrationCopy, Version: 4}
	if _, reason := s.PlanRaise(); !strings.Contains(reason, "being moved") {
		t.Error(reason)
	}
	s.Migration.Done = true
	change, reason := s.PlanRaise()
	if change == nil || change.To.Number != 5 {
		t.Fatal(reason)
	}
	// And back: what has only the new form is restored before the version that reads both
	// is lowered.
	s = stableSnapshot(append(featuresBeforeIrreversible, FeatureCompactTombstonesOnly)...)
	lower, reason := s.PlanLower("", "it went wrong")
	if lower == nil || lower.To.Number != 4 || lower.To.HoldReason == "" {
		t.Fatal(reason)
	}
	raw, _ := json.Marshal(lower.Ops[1].Value)
	s.Version = lower.To
	if err := json.Unmarshal(raw, &s.Migration); err != nil || s.Migration.Name != MigrationRestoreLegacy {
		t.Fatal(string(raw), err)
	}
	if _, reason := s.PlanLower(FeatureTombstones, "further"); !strings.Contains(reason, "being brought back") {
		t.Error(reason)
	}
	s.Migration.Done = true
	if lower, reason = s.PlanLower(FeatureTombstones, "further"); lower == nil || lower.To.Number != 3 {
		t.Error(reason)
	}
}

// What an operator cannot ask for at version 0, or at one that this build does not
// support, is refused by name; a version is never skipped.
func TestCommandsBlocked(t *testing.T) {
	s := stableSnapshot()
	if _, reason := s.PlanLower("", "x"); !strings.Contains(reason, "at level 0") {
		t.Error(reason)
	}
	s = stableSnapshot(FeatureVersionGate, FeatureFailureHistory)
	s.Controllers[1].Capabilities.MinVersion = 2
	if _, reason := s.PlanLower("", "x"); !strings.Contains(reason, "host-1") {
		t.Error(reason)
	}
	s.Version = ClusterVersion{Schema: 1, Number: 9, Features: make([]Feature, 9)}
	if _, reason := s.PlanHold("x"); !strings.Contains(reason, "does not know") {
		t.Error(reason)
	}
}

// The version's key keeps what a later build wrote into it, and is never taken for
// another version when it is damaged.
func TestVersionKey(t *testing.T) {
	version, err := ParseClusterVersion([]byte(`{"form":1,"level":1,"features":["gated"],"colour":"blue"}`))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(version.withFeatures(FeaturesAt(2)).storedValue())
	if err != nil || !strings.Contains(string(raw), `"colour":"blue"`) || !strings.Contains(string(raw), `"level":2`) {
		t.Error(string(raw), err)
	}
	for _, bad := range []string{`{}`, `"x"`, `{"form":1,"level":2,"features":["gated"]}`, `{"form":2,"level":0,"features":[]}`, `{"form":1,"level":-1}`} {
		if version, err := ParseClusterVersion([]byte(bad)); err == nil {
			t.Errorf("%s: %+v", bad, version)
		}
	}
	keys := &modelStore{rev: 5}
	reader := NewVersionReader(keys)
	if version, fence := reader.Current(); version.Number != 0 || fence.Rev != 0 {
		t.Error(version, fence)
	}
	keys.set(statekv.ClusterVersionKey, []byte(`{"form":1,"level":1,"features":["gated"]}`))
	if version, fence := reader.Current(); version.Number != 1 || fence.Rev != 5 {
		t.Error(version, fence)
	}
	// Damaged: the cluster keeps the former version. Of a later build: nothing that is
	// conditional on the version is written any more.
	keys.rev = 6
	keys.set(statekv.ClusterVersionKey, []byte(`"x"`))
	if version, fence := reader.Current(); version.Number != 1 || fence.Rev != 6 || reader.Problem() == "" {
		t.Error(version, fence, reader.Problem())
	}
	if _, err := NewRegistration(keys, LocalCapabilities()); !IsJoinRejected(err) {
		t.Error(err)
	}
	keys.rev = 7
	keys.set(statekv.ClusterVersionKey, []byte(`{"form":1,"level":5,"features":["gated","failures","ended","ended-only","future"]}`))
	if version, fence := reader.Current(); version.Number != 1 || fence.Rev != 6 {
		t.Error(version, fence)
	}
	if _, err := NewRegistration(keys, LocalCapabilities()); !IsJoinRejected(err) || !strings.Contains(err.Error(), "future") {
		t.Error(err)
	}
}
