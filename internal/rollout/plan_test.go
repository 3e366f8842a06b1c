package rollout

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"robinstack/internal/statekv"
)

// featuresBeforeIrreversible are the features of a cluster that had all features before the
// irreversible one when dependencies were enabled.
var featuresBeforeIrreversible = []Feature{
	FeatureVersionGate, FeatureFailureHistory, FeatureTombstones, FeatureDependencies,
}

// stableSnapshot returns a snapshot of three controllers of this build that have been up for an
// hour.
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

// PlanRaise returns the reason that blocks a raise. If nothing blocks it, the version is raised by
// one feature, under compares on all keys that the plan depends on.
func TestRaiseBlockedBy(t *testing.T) {
	for _, c := range []struct {
		reason string
		change func(*Snapshot)
	}{
		{"", func(*Snapshot) {}},
		{`host-1 (build form 0) lacks feature "gated"`, func(s *Snapshot) {
			s.Controllers[1].Capabilities, _ = ParseCapabilities([]byte("{}"))
		}},
		{"host-2 has stood for 5s of 30s", func(s *Snapshot) { s.Controllers[2].StateAge = 5 * time.Second }},
		{"host-2 is away since 1m0s", func(s *Snapshot) {
			s.Controllers[2].Alive, s.Controllers[2].StateAge = false, time.Minute
		}},
		{"", func(s *Snapshot) { s.Controllers[2].Alive = false }}, // for an hour, which is longer than the absence timeout
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
			t.Errorf("got change %v and reason %q, want reason %q", change, reason, c.reason)
		}
		if change != nil && (change.To.Number != 3 || !change.To.Enabled(FeatureFailureHistory) ||
			len(change.Compares) != 7) {
			t.Errorf("got %+v, want version 3 with the failure history under 7 compares", change)
		}
	}
}

// The irreversible feature waits until stored values are migrated and an operator allows it.
func TestIrreversibleFeatureWaitsForMigrationAndOperator(t *testing.T) {
	s := stableSnapshot(featuresBeforeIrreversible...)
	if _, reason := s.PlanRaise(); !strings.Contains(reason, "waits for a person") {
		t.Errorf("raise without an approval: got reason %q", reason)
	}
	raise, _ := s.PlanAllowRaise()
	s.Version = raise.To
	s.Migration = Migration{Name: MigrationWriteCompact, Version: 4}
	if _, reason := s.PlanRaise(); !strings.Contains(reason, "being moved") {
		t.Errorf("raise during the migration: got reason %q", reason)
	}
	s.Migration.Done = true
	change, reason := s.PlanRaise()
	if change == nil || change.To.Number != 5 {
		t.Fatalf("raise to version 5: got %+v, %q", change, reason)
	}
	// Lowering: tombstones that have only the compact format are restored before the version that
	// reads both formats is lowered.
	s = stableSnapshot(append(featuresBeforeIrreversible, FeatureCompactTombstonesOnly)...)
	lower, reason := s.PlanLower("", "it went wrong")
	if lower == nil || lower.To.Number != 4 || lower.To.HoldReason == "" {
		t.Fatalf("lowering to version 4: got %+v, %q", lower, reason)
	}
	raw, _ := json.Marshal(lower.Ops[1].Value)
	s.Version = lower.To
	if err := json.Unmarshal(raw, &s.Migration); err != nil || s.Migration.Name != MigrationRestoreLegacy {
		t.Fatalf("migration after the lowering: got %s (error %v), want %s", raw, err, MigrationRestoreLegacy)
	}
	if _, reason := s.PlanLower(FeatureTombstones, "further"); !strings.Contains(reason, "being brought back") {
		t.Errorf("lowering during the restoration: got reason %q", reason)
	}
	s.Migration.Done = true
	if lower, reason = s.PlanLower(FeatureTombstones, "further"); lower == nil || lower.To.Number != 3 {
		t.Errorf("lowering to version 3: got %+v, %q", lower, reason)
	}
}

// A command that cannot be carried out is refused with the reason: lowering version 0, lowering to
// a version at which a controller cannot run, and any command at a version that this build does not
// support.
func TestCommandsBlocked(t *testing.T) {
	s := stableSnapshot()
	if _, reason := s.PlanLower("", "x"); !strings.Contains(reason, "at level 0") {
		t.Errorf("lowering version 0: got reason %q", reason)
	}
	s = stableSnapshot(FeatureVersionGate, FeatureFailureHistory)
	s.Controllers[1].Capabilities.MinVersion = 2
	if _, reason := s.PlanLower("", "x"); !strings.Contains(reason, "host-1") {
		t.Errorf("lowering below the lowest version of host-1: got reason %q", reason)
	}
	s.Version = ClusterVersion{Schema: 1, Number: 9, Features: make([]Feature, 9)}
	if _, reason := s.PlanHold("x"); !strings.Contains(reason, "does not know") {
		t.Errorf("holding an unsupported version: got reason %q", reason)
	}
}

// The version's key keeps the fields that a later build wrote, and a damaged value is never taken
// for another version.
func TestVersionKey(t *testing.T) {
	version, err := ParseClusterVersion([]byte(`{"form":1,"level":1,"features":["gated"],"colour":"blue"}`))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(version.withFeatures(FirstFeatures(2)).storedValue())
	if err != nil || !strings.Contains(string(raw), `"colour":"blue"`) || !strings.Contains(string(raw), `"level":2`) {
		t.Errorf("got %s (error %v), want version 2 with the unknown field", raw, err)
	}
	for _, damaged := range []string{
		`{}`, `"x"`, `{"form":1,"level":2,"features":["gated"]}`, `{"form":2,"level":0,"features":[]}`,
		`{"form":1,"level":-1}`,
	} {
		if version, err := ParseClusterVersion([]byte(damaged)); err == nil {
			t.Errorf("%s: got %+v, want an error", damaged, version)
		}
	}
	keys := &modelStore{rev: 5}
	reader := NewVersionReader(keys)
	if version, fence := reader.Current(); version.Number != 0 || fence.Rev != 0 {
		t.Errorf("no key: got version %+v under %+v", version, fence)
	}
	keys.set(statekv.ClusterVersionKey, []byte(`{"form":1,"level":1,"features":["gated"]}`))
	if version, fence := reader.Current(); version.Number != 1 || fence.Rev != 5 {
		t.Errorf("version 1: got version %+v under %+v", version, fence)
	}
	// If the value is damaged, the cluster stays at the previous version. If a later build wrote
	// it, writes that are conditional on the version fail.
	keys.rev = 6
	keys.set(statekv.ClusterVersionKey, []byte(`"x"`))
	if version, fence := reader.Current(); version.Number != 1 || fence.Rev != 6 || reader.UnusableReason() == "" {
		t.Errorf("damaged key: got version %+v under %+v, problem %q", version, fence, reader.UnusableReason())
	}
	if _, err := NewRegistration(keys, LocalCapabilities()); !IsJoinRejected(err) {
		t.Errorf("registration with a damaged key: got error %v, want a rejection", err)
	}
	keys.rev = 7
	keys.set(statekv.ClusterVersionKey,
		[]byte(`{"form":1,"level":5,"features":["gated","failures","ended","ended-only","future"]}`))
	if version, fence := reader.Current(); version.Number != 1 || fence.Rev != 6 {
		t.Errorf("unsupported version: got version %+v under %+v, want version 1 under revision 6", version, fence)
	}
	_, err = NewRegistration(keys, LocalCapabilities())
	if !IsJoinRejected(err) || !strings.Contains(err.Error(), "future") {
		t.Errorf("registration at an unsupported version: got error %v, want a rejection", err)
	}
}
