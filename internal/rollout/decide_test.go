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
var asUpgraded = []Feature{Gated, Failures, Ended, Pipelines}

// fleet is a view of three controllers of this build that have stood for long.
func fleet(features ...Feature) View {
	v := View{Self: "host-0", Level: Level{}.of(features), Steward: 3, Stood: time.Hour, Soak: 30 * time.Second, Absent: 10 * time.Minute}
	for k, host := range []string{"host-0", "host-1", "host-2"} {
		v.Nodes = append(v.Nodes, Node{Host: host, Rev: uint64(10 + k), Caps: OurCaps(), Lives: true, For: time.Hour})
	}
	return v
}

// What a rise waits for is said by name; once nothing stands in its way it goes one
// level up, under the conditions of all that was looked at.
func TestWhatARiseWaitsFor(t *testing.T) {
	for _, c := range []struct {
		why    string
		change func(*View)
	}{
		{"", func(*View) {}},
		{`host-1 (build form 0) lacks feature "gated"`, func(v *View) { v.Nodes[1].Caps, _ = ParseCaps([]byte("{}")) }},
		{"host-2 has stood for 5s of 30s", func(v *View) { v.Nodes[2].For = 5 * time.Second }},
		{"host-2 is away since 1m0s", func(v *View) { v.Nodes[2].Lives, v.Nodes[2].For = false, time.Minute }},
		{"", func(v *View) { v.Nodes[2].Lives = false }}, // for an hour: it is waited for no longer
		{"held: it is Friday", func(v *View) { v.Level.Hold = "it is Friday" }},
		{"held by the policy", func(v *View) { v.Held = true }},
		{"level 2 has stood for 2s", func(v *View) { v.Stood = 2 * time.Second }},
		{"the steward raises it", func(v *View) { v.Steward = 0 }},
		{"cannot be read: damaged", func(v *View) { v.LevelBad = "damaged" }},
		{"robin/fleet/node/host-1 cannot be read", func(v *View) { v.Nodes[1].Bad = "damaged" }},
		{"does not know", func(v *View) { v.Level = Level{Form: 1, N: 1, Features: []Feature{"from the future"}} }},
	} {
		v := fleet(Gated, Pipelines)
		c.change(&v)
		change, why := v.Rise()
		if (change != nil) != (c.why == "") || !strings.Contains(why, c.why) {
			t.Errorf("%q: %v, %q", c.why, change, why)
		}
		if change != nil && (change.To.N != 3 || !change.To.Has(Failures) || len(change.When) != 7) {
			t.Errorf("%+v", change)
		}
	}
}

// The level that closes the way back waits for the stored values and for a person.
func TestClosingWaitsForMoveAndPerson(t *testing.T) {
	v := fleet(asUpgraded...)
	if _, why := v.Rise(); !strings.Contains(why, "waits for a person") {
		t.Error(why)
	}
	raise, _ := v.Raise()
	v.Level = raise.To
	v.Move = Move{Name: MoveCopy, Level: 4}
	if _, why := v.Rise(); !strings.Contains(why, "being moved") {
		t.Error(why)
	}
	v.Move.Done = true
	change, why := v.Rise()
	if change == nil || change.To.N != 5 {
		t.Fatal(why)
	}
	// And back: what only the new form has is brought back before the level that
	// reads both is left.
	v = fleet(append(asUpgraded, EndedOnly)...)
	lower, why := v.Lower("", "it went wrong")
	if lower == nil || lower.To.N != 4 || lower.To.Hold == "" {
		t.Fatal(why)
	}
	raw, _ := json.Marshal(lower.Then[1].Value)
	v.Level = lower.To
	if err := json.Unmarshal(raw, &v.Move); err != nil || v.Move.Name != MoveBack {
		t.Fatal(string(raw), err)
	}
	if _, why := v.Lower(Ended, "further"); !strings.Contains(why, "being brought back") {
		t.Error(why)
	}
	v.Move.Done = true
	if lower, why = v.Lower(Ended, "further"); lower == nil || lower.To.N != 3 {
		t.Error(why)
	}
}

// What a person may ask of a fleet at level 0, or at one that this build does not know,
// is refused by name; a level is never skipped.
func TestWhatAPersonCannotDo(t *testing.T) {
	v := fleet()
	if _, why := v.Lower("", "x"); !strings.Contains(why, "at level 0") {
		t.Error(why)
	}
	v = fleet(Gated, Failures)
	v.Nodes[1].Caps.Least = 2
	if _, why := v.Lower("", "x"); !strings.Contains(why, "host-1") {
		t.Error(why)
	}
	v.Level = Level{Form: 1, N: 9, Features: make([]Feature, 9)}
	if _, why := v.Hold("x"); !strings.Contains(why, "does not know") {
		t.Error(why)
	}
}

// The level's key keeps what a later version wrote into it, and is never taken for
// another one when it is damaged.
func TestLevelKey(t *testing.T) {
	l, err := ParseLevel([]byte(`{"form":1,"level":1,"features":["gated"],"colour":"blue"}`))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(l.at(2).value())
	if err != nil || !strings.Contains(string(raw), `"colour":"blue"`) || !strings.Contains(string(raw), `"level":2`) {
		t.Error(string(raw), err)
	}
	for _, bad := range []string{`{}`, `"x"`, `{"form":1,"level":2,"features":["gated"]}`, `{"form":2,"level":0,"features":[]}`, `{"form":1,"level":-1}`} {
		if l, err := ParseLevel([]byte(bad)); err == nil {
			t.Errorf("%s: %+v", bad, l)
		}
	}
	keys := &store{rev: 5}
	r := NewReader(keys)
	if level, under := r.Now(); level.N != 0 || under.Rev != 0 {
		t.Error(level, under)
	}
	keys.set(statekv.ClusterVersionKey, []byte(`{"form":1,"level":1,"features":["gated"]}`))
	if level, under := r.Now(); level.N != 1 || under.Rev != 5 {
		t.Error(level, under)
	}
	// Damaged: the fleet goes on at the former level. From the future: nothing that is
	// conditional on the level is written any more.
	keys.rev = 6
	keys.set(statekv.ClusterVersionKey, []byte(`"x"`))
	if level, under := r.Now(); level.N != 1 || under.Rev != 6 || r.Bad() == "" {
		t.Error(level, under, r.Bad())
	}
	if _, err := Register(keys, OurCaps()); !IsRefused(err) {
		t.Error(err)
	}
	keys.rev = 7
	keys.set(statekv.ClusterVersionKey, []byte(`{"form":1,"level":5,"features":["gated","failures","ended","ended-only","future"]}`))
	if level, under := r.Now(); level.N != 1 || under.Rev != 6 {
		t.Error(level, under)
	}
	if _, err := Register(keys, OurCaps()); !IsRefused(err) || !strings.Contains(err.Error(), "future") {
		t.Error(err)
	}
}
