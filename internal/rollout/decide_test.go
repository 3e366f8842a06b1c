package rollout

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"robinstack/internal/statekv"
)

// asUpgraded are the features of a fleet that stood at the former version's highest
// level before the way back closes when pipelines came.
var asUpgraded = []Feature{FeatureVersionGate, FeatureFailureHistory, FeatureTombstones, FeatureDependencies}

// fleet is a view of three controllers of this build that have stood for long.
func fleet(features ...Feature) Snapshot {
	v := Snapshot{Self: "host-0", Version: ClusterVersion{}.withFeatures(features), LeaderEpoch: 3, VersionAge: time.Hour, SoakTime: 30 * time.Second, AbsenceTimeout: 10 * time.Minute}
	for k, host := range []string{"host-0", "host-1", "host-2"} {
		v.Controllers = append(v.Controllers, Controller{Host: host, Rev: uint64(10 + k), Capabilities: LocalCapabilities(), Alive: true, StateAge: time.Hour})
	}
	return v
}

// What a rise waits for is said by name; once nothing stands in its way it goes one
// level up, under the conditions of all that was looked at.
func TestWhatARiseWaitsFor(t *testing.T) {
	for _, c := range []struct {
		why    string
		change func(*Snapshot)
	}{
		{"", func(*Snapshot) {}},
		{`host-1 (build form 0) lacks feature "gated"`, func(v *Snapshot) { v.Controllers[1].Capabilities, _ = ParseCapabilities([]byte("{}")) }},
		{"host-2 has stood for 5s of 30s", func(v *Snapshot) { v.Controllers[2].StateAge = 5 * time.Second }},
		{"host-2 is away since 1m0s", func(v *Snapshot) { v.Controllers[2].Alive, v.Controllers[2].StateAge = false, time.Minute }},
		{"", func(v *Snapshot) { v.Controllers[2].Alive = false }}, // for an hour: it is waited for no longer
		{"held: it is Friday", func(v *Snapshot) { v.Version.HoldReason = "it is Friday" }},
		{"held by the policy", func(v *Snapshot) { v.HeldByPolicy = true }},
		{"level 2 has stood for 2s", func(v *Snapshot) { v.VersionAge = 2 * time.Second }},
		{"the steward raises it", func(v *Snapshot) { v.LeaderEpoch = 0 }},
		{"cannot be read: damaged", func(v *Snapshot) { v.VersionDecodeError = "damaged" }},
		{"robin/fleet/node/host-1 cannot be read", func(v *Snapshot) { v.Controllers[1].DecodeError = "damaged" }},
		{"does not know", func(v *Snapshot) {
			v.Version = ClusterVersion{Schema: 1, Number: 1, Features: []Feature{"from the future"}}
		}},
	} {
		v := fleet(FeatureVersionGate, FeatureDependencies)
		c.change(&v)
		change, why := v.PlanRaise()
		if (change != nil) != (c.why == "") || !strings.Contains(why, c.why) {
			t.Errorf("%q: %v, %q", c.why, change, why)
		}
		if change != nil && (change.To.Number != 3 || !change.To.Enabled(FeatureFailureHistory) || len(change.Compares) != 7) {
			t.Errorf("%+v", change)
		}
	}
}

// The level that closes the way back waits for the stored values and for a person.
func TestClosingWaitsForMoveAndPerson(t *testing.T) {
	v := fleet(asUpgraded...)
	if _, why := v.PlanRaise(); !strings.Contains(why, "waits for a person") {
		t.Error(why)
	}
	raise, _ := v.PlanAllowRaise()
	v.Version = raise.To
	v.Migration = Migration{Name: MigrationCopy, Version: 4}
	if _, why := v.PlanRaise(); !strings.Contains(why, "being moved") {
		t.Error(why)
	}
	v.Migration.Done = true
	change, why := v.PlanRaise()
	if change == nil || change.To.Number != 5 {
		t.Fatal(why)
	}
	// And back: what only the new form has is brought back before the level that
	// reads both is left.
	v = fleet(append(asUpgraded, FeatureCompactTombstonesOnly)...)
	lower, why := v.PlanLower("", "it went wrong")
	if lower == nil || lower.To.Number != 4 || lower.To.HoldReason == "" {
		t.Fatal(why)
	}
	raw, _ := json.Marshal(lower.Ops[1].Value)
	v.Version = lower.To
	if err := json.Unmarshal(raw, &v.Migration); err != nil || v.Migration.Name != MigrationRestoreLegacy {
		t.Fatal(string(raw), err)
	}
	if _, why := v.PlanLower(FeatureTombstones, "further"); !strings.Contains(why, "being brought back") {
		t.Error(why)
	}
	v.Migration.Done = true
	if lower, why = v.PlanLower(FeatureTombstones, "further"); lower == nil || lower.To.Number != 3 {
		t.Error(why)
	}
}

// What a person may ask of a fleet at level 0, or at one that this build does not know,
// is refused by name; a level is never skipped.
func TestWhatAPersonCannotDo(t *testing.T) {
	v := fleet()
	if _, why := v.PlanLower("", "x"); !strings.Contains(why, "at level 0") {
		t.Error(why)
	}
	v = fleet(FeatureVersionGate, FeatureFailureHistory)
	v.Controllers[1].Capabilities.MinVersion = 2
	if _, why := v.PlanLower("", "x"); !strings.Contains(why, "host-1") {
		t.Error(why)
	}
	v.Version = ClusterVersion{Schema: 1, Number: 9, Features: make([]Feature, 9)}
	if _, why := v.PlanHold("x"); !strings.Contains(why, "does not know") {
		t.Error(why)
	}
}

// The level's key keeps what a later version wrote into it, and is never taken for
// another one when it is damaged.
func TestLevelKey(t *testing.T) {
	l, err := ParseClusterVersion([]byte(`{"form":1,"level":1,"features":["gated"],"colour":"blue"}`))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(l.withFeatures(FeaturesAt(2)).storedValue())
	if err != nil || !strings.Contains(string(raw), `"colour":"blue"`) || !strings.Contains(string(raw), `"level":2`) {
		t.Error(string(raw), err)
	}
	for _, bad := range []string{`{}`, `"x"`, `{"form":1,"level":2,"features":["gated"]}`, `{"form":2,"level":0,"features":[]}`, `{"form":1,"level":-1}`} {
		if l, err := ParseClusterVersion([]byte(bad)); err == nil {
			t.Errorf("%s: %+v", bad, l)
		}
	}
	keys := &store{rev: 5}
	r := NewVersionReader(keys)
	if level, under := r.Current(); level.Number != 0 || under.Rev != 0 {
		t.Error(level, under)
	}
	keys.set(statekv.ClusterVersionKey, []byte(`{"form":1,"level":1,"features":["gated"]}`))
	if level, under := r.Current(); level.Number != 1 || under.Rev != 5 {
		t.Error(level, under)
	}
	// Damaged: the fleet goes on at the former level. From the future: nothing that is
	// conditional on the level is written any more.
	keys.rev = 6
	keys.set(statekv.ClusterVersionKey, []byte(`"x"`))
	if level, under := r.Current(); level.Number != 1 || under.Rev != 6 || r.Problem() == "" {
		t.Error(level, under, r.Problem())
	}
	if _, err := NewRegistration(keys, LocalCapabilities()); !IsJoinRejected(err) {
		t.Error(err)
	}
	keys.rev = 7
	keys.set(statekv.ClusterVersionKey, []byte(`{"form":1,"level":5,"features":["gated","failures","ended","ended-only","future"]}`))
	if level, under := r.Current(); level.Number != 1 || under.Rev != 6 {
		t.Error(level, under)
	}
	if _, err := NewRegistration(keys, LocalCapabilities()); !IsJoinRejected(err) || !strings.Contains(err.Error(), "future") {
		t.Error(err)
	}
}
