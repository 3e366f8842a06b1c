package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"robinstack/internal/statekv"
)

// VersionChange is a write of the cluster version that may be made under its compares.
type VersionChange struct {
	To       ClusterVersion
	Compares []statekv.Compare
	Ops      []statekv.Op
}

// changeOfFeatures returns the write that leads to a version with other features. Each of
// its compares excludes a race: with another change of the version, an operator's hold
// among them; with a leader that is none any more; with a session that began, or ended,
// since the snapshot, whether or not its build knows of versions; with the end of a
// migration that was not seen.
func (s *Snapshot) changeOfFeatures(to ClusterVersion, migration Migration) *VersionChange {
	to.WrittenBy = s.Self
	compares := []statekv.Compare{
		{Key: statekv.ClusterVersionKey, Rev: s.VersionRev},
		{Key: statekv.MembershipKey, Rev: s.MembershipRev},
		{Key: statekv.MigrationKey, Rev: s.MigrationRev},
	}
	if s.LeaderEpoch != 0 {
		compares = append(compares, statekv.Compare{Key: statekv.LeaderKey, Rev: s.LeaderEpoch})
	}
	for _, c := range s.Controllers {
		compares = append(compares, statekv.Compare{Key: statekv.SessionPrefix + c.Host, Rev: c.Rev})
	}
	ops := []statekv.Op{{Set: statekv.ClusterVersionKey, Value: to.storedValue()}}
	switch {
	case migration.Name == undecodableMigration:
		// Left as it is: whoever wrote it can read it.
	case migration.Name != "":
		migration.Version = to.Number
		ops = append(ops, statekv.Op{Set: statekv.MigrationKey, Value: migration})
	case s.MigrationRev != 0:
		ops = append(ops, statekv.Op{Delete: statekv.MigrationKey})
	}
	return &VersionChange{To: to, Compares: compares, Ops: ops}
}

// changeOfSettings returns the write of a version with the same features. Whoever joins
// meanwhile does no harm: what is enabled stays as it is.
func (s *Snapshot) changeOfSettings(to ClusterVersion) *VersionChange {
	to.WrittenBy = s.Self
	return &VersionChange{
		To:       to,
		Compares: []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: s.VersionRev}},
		Ops:      []statekv.Op{{Set: statekv.ClusterVersionKey, Value: to.storedValue()}},
	}
}

// migrationAfter is the migration to go on with when a feature is enabled or disabled:
// the feature's own one, else that which is under way, if the feature stands beside those
// to which it belongs.
func (s *Snapshot) migrationAfter(gate *FeatureGate, own string) Migration {
	inOrder := isRequired(gate.Feature) || gate.Irreversible
	if own == "" && !inOrder {
		return s.Migration
	}
	return Migration{Name: own}
}

// nextGates lists the gates of the features that may be enabled from here, those first
// that users wait for.
func (s *Snapshot) nextGates() []*FeatureGate {
	var immediate, others []*FeatureGate
	for i := range FeatureGates {
		gate := &FeatureGates[i]
		if s.Version.Enabled(gate.Feature) || gate.Requires != "" && !s.Version.Enabled(gate.Requires) {
			continue
		}
		if gate.Immediate {
			immediate = append(immediate, gate)
		} else {
			others = append(others, gate)
		}
	}
	return append(immediate, others...)
}

// PlanRaise returns the change to the next version if the leader may make it now, or why
// not; both are empty at the highest version.
func (s *Snapshot) PlanRaise() (*VersionChange, string) {
	if reason := s.unwritable(); reason != "" {
		return nil, reason
	}
	if s.Version.Disabling != "" {
		return s.planDisable()
	}
	var reasons []string
	for _, gate := range s.nextGates() {
		reason := s.raiseBlockedBy(gate)
		if reason == "" {
			return s.changeOfFeatures(s.raised(gate), s.migrationAfter(gate, gate.Migration)), ""
		}
		if !slices.Contains(reasons, reason) {
			reasons = append(reasons, reason)
		}
	}
	return nil, strings.Join(reasons, "; ")
}

// raised returns the version with one feature more.
func (s *Snapshot) raised(gate *FeatureGate) ClusterVersion {
	to := s.Version.with(gate.Feature)
	if to.AllowedUpTo > s.Version.Number && !gate.Irreversible {
		to.AllowedUpTo++ // it was for the irreversible feature, whose number grows by this one
	}
	return to
}

// raiseBlockedBy says what prevents a feature from being enabled, or "".
func (s *Snapshot) raiseBlockedBy(gate *FeatureGate) string {
	if reason := s.heldBy(gate); reason != "" {
		return reason
	}
	if reason := s.incompatibility(s.Version.with(gate.Feature)); reason != "" {
		return reason
	}
	if reason := s.soakingFor(gate); reason != "" {
		return reason
	}
	if s.LeaderEpoch == 0 {
		return "the steward raises it"
	}
	return ""
}

// heldBy says which hold, missing approval or unfinished migration a feature waits for, or
// "".
func (s *Snapshot) heldBy(gate *FeatureGate) string {
	next := s.Version.Number + 1
	switch required := gateOf(gate.Requires); {
	case s.Version.HoldReason != "":
		return "held: " + s.Version.HoldReason
	case s.HeldByPolicy:
		return "held by the policy (rollout_hold)"
	case gate.Irreversible && s.Version.AllowedUpTo < next:
		return fmt.Sprintf("level %d closes the way back: it waits for a person (robinstack rollout raise)", next)
	case required != nil && required.Migration != "" && !s.migrationComplete():
		return "stored values are being moved: " + s.Migration.String()
	}
	return ""
}

func (s *Snapshot) migrationComplete() bool { return s.Migration.Name != "" && s.Migration.Done }

// immediateSoak is how long all controllers have to have been up before an immediate
// feature is enabled: long enough for one that fails as it starts.
const immediateSoak = 3 * time.Second

// soakingFor says which controller has not been up, or down, for long enough, or that the
// version has not, or "".
func (s *Snapshot) soakingFor(gate *FeatureGate) string {
	soak := s.SoakTime
	if gate.Immediate {
		soak = min(soak, immediateSoak)
	}
	for _, c := range s.Controllers {
		age := c.StateAge.Round(time.Second)
		switch {
		case c.Alive && c.StateAge < soak:
			return fmt.Sprintf("%s has stood for %v of %v", c.Host, age, soak)
		case !c.Alive && c.StateAge < s.AbsenceTimeout:
			return fmt.Sprintf("%s is away since %v and waited for until %v", c.Host, age, s.AbsenceTimeout)
		}
	}
	// An immediate feature need not wait because others were enabled a moment ago.
	if !gate.Immediate && s.VersionAge < soak {
		age := s.VersionAge.Round(time.Second)
		return fmt.Sprintf("level %d has stood for %v of %v", s.Version.Number, age, soak)
	}
	return ""
}

// planDisable carries out an operator's request: it disables the feature that is to be
// disabled, or gives that up if something needs it. All that was accepted before is in
// this snapshot, for it was written under the version before the request, and this
// snapshot has the one after it.
func (s *Snapshot) planDisable() (*VersionChange, string) {
	feature := s.Version.Disabling
	if s.LeaderEpoch == 0 {
		return nil, fmt.Sprintf("the steward takes feature %q off", feature)
	}
	if s.stillNeeded(feature) != "" {
		to := s.Version.withFeatures(s.Version.Features)
		to.Disabling = ""
		return s.changeOfSettings(to), ""
	}
	to := s.Version.without(feature)
	to.Disabling = ""
	if reason := s.incompatibility(to); reason != "" {
		return nil, reason
	}
	return s.changeOfFeatures(to, s.migrationAfter(gateOf(feature), "")), ""
}

// IncompatibleControllers lists the live controllers that must not go on at this version:
// those of builds from before there were versions join without looking.
func (s *Snapshot) IncompatibleControllers() []Controller {
	if s.unwritable() != "" {
		return nil
	}
	var incompatible []Controller
	for _, c := range s.Controllers {
		if c.Alive && c.DecodeError == "" && c.Capabilities.Missing(s.Version) != "" {
			incompatible = append(incompatible, c)
		}
	}
	return incompatible
}

// PlanReject returns the write that ends the session of an incompatible controller: its
// writes have the compare that its key is as it wrote it, and it ends by itself once it
// sees that it is not. The rejection is written under the lease.
func (s *Snapshot) PlanReject(c Controller, lease uint64) ([]statekv.Compare, []statekv.Op) {
	sessionKey := statekv.SessionPrefix + c.Host
	reason := fmt.Sprintf("the fleet is at level %d and build %s lacks %s",
		s.Version.Number, c.Capabilities.Build, c.Capabilities.Missing(s.Version))
	compares := []statekv.Compare{
		{Key: statekv.ClusterVersionKey, Rev: s.VersionRev},
		{Key: sessionKey, Rev: c.Rev},
	}
	ops := []statekv.Op{{Set: sessionKey, Value: statekv.Rejection{Reason: reason}, Lease: lease}}
	return compares, ops
}
