package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"robinstack/internal/statekv"
)

// Controller is a controller as the deciding one sees it.
type Controller struct {
	Host           string
	Rev            uint64        // of its life's key; 0: it has none
	Capabilities   Capabilities  // of a life
	DecodeError    string        // why its key cannot be read
	Alive          bool          // it has a life that is not refused
	RejectedReason string        // why its life was ended by others
	StateAge       time.Duration // how long it has been so, for the deciding one
}

// Snapshot is all that a decision goes by: one look at the mirror.
type Snapshot struct {
	Self               string // the deciding controller
	Version            ClusterVersion
	VersionRev         uint64
	VersionDecodeError string // why the level's key cannot be read
	VersionAge         time.Duration
	Controllers        []Controller // those in the settings and those that have a key, by host
	JoinsRev           uint64
	LeaderEpoch        uint64 // revision of the steward's role if this controller has it
	Migration          Migration
	MigrationRev       uint64

	SoakTime       time.Duration // how long all have to have stood
	AbsenceTimeout time.Duration // how long one in the settings that is away is waited for
	HeldByPolicy   bool          // by this controller's policy

	// JobsNeeding lists what is stored and needs a feature; nil: nobody has looked.
	JobsNeeding func(Feature) []string
}

// Keys are the keys of the state service as last seen; *statekv.Mirror has them.
type Keys interface {
	Get(key string) (statekv.KV, bool)
	Dir(prefix string) []statekv.KV
}

// NewSnapshot gathers what the keys say; hosts are those in the settings, known is the level
// to go by where its key cannot be read. Times are for the caller to add.
func NewSnapshot(keys Keys, hosts []string, known ClusterVersion) Snapshot {
	v := Snapshot{Version: ClusterVersion{}}
	if kv, ok := keys.Get(statekv.ClusterVersionKey); ok {
		v.VersionRev = kv.Rev
		var err error
		if v.Version, err = ParseClusterVersion(kv.Value); err != nil {
			v.Version, v.VersionDecodeError = known, err.Error()
		}
	}
	joins, _ := keys.Get(statekv.MembershipKey)
	v.JoinsRev = joins.Rev
	if kv, ok := keys.Get(statekv.MigrationKey); ok {
		v.MigrationRev = kv.Rev
		if err := json.Unmarshal(kv.Value, &v.Migration); err != nil {
			v.Migration = Migration{Name: unreadable}
		}
	}
	nodes := map[string]Controller{}
	for _, host := range hosts {
		nodes[host] = Controller{Host: host}
	}
	for _, kv := range keys.Dir(statekv.SessionPrefix) {
		n := Controller{Host: kv.Key[len(statekv.SessionPrefix):], Rev: kv.Rev, RejectedReason: statekv.RejectionReason(kv)}
		if n.Alive = n.RejectedReason == ""; n.Alive {
			var err error
			if n.Capabilities, err = ParseCapabilities(kv.Value); err != nil {
				n.DecodeError = err.Error()
			}
		}
		nodes[n.Host] = n
	}
	for _, host := range slices.Sorted(maps.Keys(nodes)) {
		v.Controllers = append(v.Controllers, nodes[host])
	}
	return v
}

// VersionChange is a write of the level that may be made under its conditions.
type VersionChange struct {
	To       ClusterVersion
	Compares []statekv.Compare
	Ops      []statekv.Op
}

// change returns the write that leads to a level. Every one of its conditions keeps
// something out: another change of the level, a person's hold among them; a steward
// that is none any more; a life that began, or ended, since the look, whether or not
// its build knows of levels; the end of a move that was not seen.
func (v *Snapshot) change(to ClusterVersion, move Migration) VersionChange {
	to.WrittenBy = v.Self
	c := VersionChange{To: to, Compares: []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: v.VersionRev}, {Key: statekv.MembershipKey, Rev: v.JoinsRev}, {Key: statekv.MigrationKey, Rev: v.MigrationRev}}}
	if v.LeaderEpoch != 0 {
		c.Compares = append(c.Compares, statekv.Compare{Key: statekv.LeaderKey, Rev: v.LeaderEpoch})
	}
	for _, n := range v.Controllers {
		c.Compares = append(c.Compares, statekv.Compare{Key: statekv.SessionPrefix + n.Host, Rev: n.Rev})
	}
	c.Ops = []statekv.Op{{Set: statekv.ClusterVersionKey, Value: to.value()}}
	switch {
	case move.Name == unreadable: // whoever wrote it can read it
	case move.Name != "":
		move.Version = to.Number
		c.Ops = append(c.Ops, statekv.Op{Set: statekv.MigrationKey, Value: move})
	case v.MigrationRev != 0:
		c.Ops = append(c.Ops, statekv.Op{Delete: statekv.MigrationKey})
	}
	return c
}

// moveBeside is the move to go on with when a step is made or taken back: its own, else
// that which is under way, if the step stands beside what it belongs to.
func (v *Snapshot) moveBeside(step *FeatureGate, own string) Migration {
	if own == "" && !v.chained(step) {
		return v.Migration
	}
	return Migration{Name: own}
}

// chained reports whether a step is among those of which each needs the one before.
func (v *Snapshot) chained(step *FeatureGate) bool {
	return slices.IndexFunc(FeatureGates, func(s FeatureGate) bool { return s.Requires == step.Feature }) >= 0 || step.Irreversible
}

// next lists the steps that may be made from here, those first that users wait for.
func (v *Snapshot) next() []*FeatureGate {
	var out []*FeatureGate
	for k := range FeatureGates {
		if s := &FeatureGates[k]; !v.Version.Enabled(s.Feature) && (s.Requires == "" || v.Version.Enabled(s.Requires)) {
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, func(a, b *FeatureGate) int {
		switch {
		case a.Immediate == b.Immediate:
			return 0
		case a.Immediate:
			return -1
		}
		return 1
	})
	return out
}

// PlanRaise returns the change to the next level if it may be made now, or why not; both
// are empty at the top.
func (v *Snapshot) PlanRaise() (*VersionChange, string) {
	if why := v.stuck(); why != "" {
		return nil, why
	}
	if v.Version.Disabling != "" {
		return v.end()
	}
	var whys []string
	for _, step := range v.next() {
		why := v.waits(step)
		if why == "" {
			to := v.Version.with(step.Feature)
			if to.AllowedUpTo > v.Version.Number && !step.Irreversible {
				to.AllowedUpTo++ // it was for the step that closes, whose number grows by this one
			}
			c := v.change(to, v.moveBeside(step, step.Migration))
			return &c, ""
		}
		if !slices.Contains(whys, why) {
			whys = append(whys, why)
		}
	}
	return nil, strings.Join(whys, "; ")
}

// promptSoak is how long all controllers have to have stood before a feature comes on
// that users wait for: long enough for one that ends itself as it starts.
const promptSoak = 3 * time.Second

// waits says what a step waits for, or "".
func (v *Snapshot) waits(step *FeatureGate) string {
	n := v.Version.Number
	switch need := stepOf(step.Requires); {
	case v.Version.HoldReason != "":
		return "held: " + v.Version.HoldReason
	case v.HeldByPolicy:
		return "held by the policy (rollout_hold)"
	case step.Irreversible && v.Version.AllowedUpTo <= n:
		return fmt.Sprintf("level %d closes the way back: it waits for a person (robinstack rollout raise)", n+1)
	case need != nil && need.Migration != "" && !(v.Migration.Name != "" && v.Migration.Done):
		return "stored values are being moved: " + v.Migration.String()
	}
	if why := v.lacking(v.Version.with(step.Feature)); why != "" {
		return why
	}
	soak, stood := v.SoakTime, v.VersionAge
	if step.Immediate {
		soak = min(soak, promptSoak)
		stood = soak // that others came on a moment ago is no reason to wait
	}
	for _, node := range v.Controllers {
		switch {
		case node.Alive && node.StateAge < soak:
			return fmt.Sprintf("%s has stood for %v of %v", node.Host, node.StateAge.Round(time.Second), soak)
		case !node.Alive && node.StateAge < v.AbsenceTimeout:
			return fmt.Sprintf("%s is away since %v and waited for until %v", node.Host, node.StateAge.Round(time.Second), v.AbsenceTimeout)
		}
	}
	switch {
	case stood < soak:
		return fmt.Sprintf("level %d has stood for %v of %v", n, v.VersionAge.Round(time.Second), soak)
	case v.LeaderEpoch == 0:
		return "the steward raises it"
	}
	return ""
}

// PlanLower returns the change that takes a feature off, or the one that came on last if
// none is named, for a person who asked for it, or why it cannot be made. It holds the
// fleet there.
//
// A feature that stored values may need goes off in two steps: first nothing that needs
// it is taken any more; then, when all that was taken before has been seen, end takes it
// off. With one step, what is taken at the same moment would be left to controllers that
// ignore what it needs.
func (v *Snapshot) PlanLower(f Feature, why string) (*VersionChange, string) {
	if stuck := v.stuck(); stuck != "" {
		return nil, stuck
	}
	n := v.Version.Number
	if n == 0 {
		return nil, "the fleet is at level 0"
	}
	if f == "" {
		f = v.Version.Features[n-1]
	}
	step := stepOf(f)
	if !v.Version.Enabled(f) {
		return nil, fmt.Sprintf("feature %q is not on", f)
	}
	for _, s := range FeatureGates {
		if s.Requires == f && v.Version.Enabled(s.Feature) {
			return nil, fmt.Sprintf("feature %q needs %q", s.Feature, f)
		}
	}
	next := v.Version.without(f)
	next.HoldReason, next.AllowedUpTo = why, 0
	if stuck := v.lacking(next); stuck != "" {
		return nil, stuck
	}
	// What the level below writes must be all that it reads: values that only the level
	// above wrote are brought back while this one stands, which still reads both.
	if back := step.ReverseMigration; back != "" && v.Migration.Name == back && !v.Migration.Done {
		return nil, "stored values are being brought back: " + v.Migration.String()
	}
	if f == FeatureDependencies {
		if uses := v.uses(f); uses != "" {
			return nil, uses
		}
		if v.Version.Disabling == f && v.Version.HoldReason != "" {
			// Written again and again, it would have all that is written under it
			// refused, the steward's own step too, and never come to its end.
			return nil, fmt.Sprintf("the steward is taking feature %q off", f)
		}
		to := v.Version.of(v.Version.Features)
		to.HoldReason, to.AllowedUpTo, to.Disabling = why, 0, f
		return v.stay(to), ""
	}
	move := ""
	if step.Irreversible {
		move = stepOf(step.Requires).ReverseMigration
	}
	c := v.change(next, v.moveBeside(step, move))
	return &c, ""
}

// mostNamed bounds the jobs that are named as standing in the way.
const mostNamed = 5

// uses says what is stored and needs a feature, or "".
func (v *Snapshot) uses(f Feature) string {
	if v.JobsNeeding == nil {
		return ""
	}
	names := v.JobsNeeding(f)
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return fmt.Sprintf("%d unfinished jobs need feature %q, among them %s", len(names), f, strings.Join(names[:min(mostNamed, len(names))], ", "))
}

// end carries out what a person asked for: it takes the feature off that is to go, or
// gives that up if something needs it. All that was taken before is in this look, for
// it was written under the level of before, and this one sees the one after.
func (v *Snapshot) end() (*VersionChange, string) {
	f := v.Version.Disabling
	if v.LeaderEpoch == 0 {
		return nil, fmt.Sprintf("the steward takes feature %q off", f)
	}
	if v.uses(f) != "" {
		to := v.Version.of(v.Version.Features)
		to.Disabling = ""
		return v.stay(to), ""
	}
	next := v.Version.without(f)
	next.Disabling = ""
	if stuck := v.lacking(next); stuck != "" {
		return nil, stuck
	}
	c := v.change(next, v.moveBeside(stepOf(f), ""))
	return &c, ""
}

// PlanHold and Raise return the change for a person who asked for it; the level stays.
func (v *Snapshot) PlanHold(why string) (*VersionChange, string) {
	if stuck := v.stuck(); stuck != "" {
		return nil, stuck
	}
	to := v.Version.of(v.Version.Features)
	to.HoldReason, to.AllowedUpTo = why, 0
	return v.stay(to), ""
}

// PlanAllowRaise lets the fleet rise again, also to a level that closes the way back.
func (v *Snapshot) PlanAllowRaise() (*VersionChange, string) {
	if stuck := v.stuck(); stuck != "" {
		return nil, stuck
	}
	to := v.Version.of(v.Version.Features)
	to.HoldReason, to.Disabling = "", ""
	if slices.ContainsFunc(v.next(), func(s *FeatureGate) bool { return s.Irreversible }) {
		to.AllowedUpTo = to.Number + 1
	}
	return v.stay(to), ""
}

func (v *Snapshot) stay(to ClusterVersion) *VersionChange {
	to.WrittenBy = v.Self
	// Whoever joins meanwhile does no harm: what is on stays as it is.
	return &VersionChange{To: to, Compares: []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: v.VersionRev}}, Ops: []statekv.Op{{Set: statekv.ClusterVersionKey, Value: to.value()}}}
}

// stuck says why nobody here may write the level's key at all.
func (v *Snapshot) stuck() string {
	switch {
	case v.VersionDecodeError != "":
		return statekv.ClusterVersionKey + " cannot be read: " + v.VersionDecodeError
	case slices.ContainsFunc(v.Version.Features, func(f Feature) bool { return stepOf(f) == nil }):
		return fmt.Sprintf("level %d has features that this build (%s) does not know", v.Version.Number, BuildVersion)
	}
	return ""
}

// lacking names what living controllers lack for a level.
func (v *Snapshot) lacking(l ClusterVersion) string {
	for _, n := range v.Controllers {
		if !n.Alive {
			continue
		}
		if n.DecodeError != "" {
			return fmt.Sprintf("%s%s cannot be read: %s", statekv.SessionPrefix, n.Host, n.DecodeError)
		}
		if lacks := n.Capabilities.Missing(l); lacks != "" {
			return fmt.Sprintf("%s (build %s) lacks %s", n.Host, n.Capabilities.Build, lacks)
		}
	}
	return ""
}

// IncompatibleControllers lists the lives that must not go on at this level: controllers of the time
// before there were levels join without looking.
func (v *Snapshot) IncompatibleControllers() []Controller {
	if v.stuck() != "" {
		return nil
	}
	var out []Controller
	for _, n := range v.Controllers {
		if n.Alive && n.DecodeError == "" && n.Capabilities.Missing(v.Version) != "" {
			out = append(out, n)
		}
	}
	return out
}

// PlanReject returns the write that ends an intruder's life: its writes have the condition
// that its key is as it wrote it, and it ends by itself once it sees that it is not.
func (v *Snapshot) PlanReject(n Controller, lease uint64) ([]statekv.Compare, []statekv.Op) {
	why := fmt.Sprintf("the fleet is at level %d and build %s lacks %s", v.Version.Number, n.Capabilities.Build, n.Capabilities.Missing(v.Version))
	return []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: v.VersionRev}, {Key: statekv.SessionPrefix + n.Host, Rev: n.Rev}},
		[]statekv.Op{{Set: statekv.SessionPrefix + n.Host, Value: statekv.Rejection{Reason: why}, Lease: lease}}
}
