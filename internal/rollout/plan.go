package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"robinstack/internal/statekv"
)

// VersionChange is a write of the cluster version, to be made under its compares.
type VersionChange struct {
	To       ClusterVersion
	Compares []statekv.Compare
	Ops      []statekv.Op
}

// featureChange returns the write of a version with other features. Each compare makes the write
// fail if one of the following has changed since the snapshot: the version, for example by an
// operator's hold; the leader; the sessions, if one has begun or ended, including one of a build
// that does not know cluster versions; the migration, which may have been completed.
func (s *Snapshot) featureChange(to ClusterVersion, migration Migration) *VersionChange {
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
		// Left unchanged: the build that wrote it can decode it.
	case migration.Name != "":
		migration.Version = to.Number
		ops = append(ops, statekv.Op{Set: statekv.MigrationKey, Value: migration})
	case s.MigrationRev != 0:
		ops = append(ops, statekv.Op{Delete: statekv.MigrationKey})
	}
	return &VersionChange{To: to, Compares: compares, Ops: ops}
}

// controlChange returns the write of a version with the same features but another hold, approval or
// feature to be disabled. It does not compare the sessions: a controller that joins meanwhile
// supports the same features.
func (s *Snapshot) controlChange(to ClusterVersion) *VersionChange {
	to.WrittenBy = s.Self
	return &VersionChange{
		To:       to,
		Compares: []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: s.VersionRev}},
		Ops:      []statekv.Op{{Set: statekv.ClusterVersionKey, Value: to.storedValue()}},
	}
}

// migrationAfter returns the migration to store when the gate's feature is enabled or disabled. own
// is the migration that this change itself starts, or "". If it is "", the change of a feature
// outside the order in which features require each other leaves the present migration in progress,
// and the change of any other feature removes it.
func (s *Snapshot) migrationAfter(gate *FeatureGate, own string) Migration {
	isOrdered := isRequired(gate.Feature) || gate.Irreversible
	if own == "" && !isOrdered {
		return s.Migration
	}
	return Migration{Name: own}
}

// nextGates lists the gates of the features that may be enabled next, immediate ones first.
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

// PlanRaise returns the change that the leader may make now, or nil and the reason why there is
// none. The change enables the next feature, or completes the disabling of one that an operator
// requested. At the highest version both results are empty.
func (s *Snapshot) PlanRaise() (*VersionChange, string) {
	if reason := s.writeBlockedBy(); reason != "" {
		return nil, reason
	}
	if s.Version.Disabling != "" {
		return s.planFinishDisabling()
	}
	var reasons []string
	for _, gate := range s.nextGates() {
		reason := s.raiseBlockedBy(gate)
		if reason == "" {
			return s.featureChange(s.raised(gate), s.migrationAfter(gate, gate.Migration)), ""
		}
		if !slices.Contains(reasons, reason) {
			reasons = append(reasons, reason)
		}
	}
	return nil, strings.Join(reasons, "; ")
}

// raised returns the version with the gate's feature enabled.
func (s *Snapshot) raised(gate *FeatureGate) ClusterVersion {
	to := s.Version.with(gate.Feature)
	if to.AllowedUpTo > s.Version.Number && !gate.Irreversible {
		to.AllowedUpTo++ // the approval is for the irreversible feature, whose version number grows by one
	}
	return to
}

// raiseBlockedBy returns what prevents a feature from being enabled, or "".
func (s *Snapshot) raiseBlockedBy(gate *FeatureGate) string {
	if reason := s.heldBy(gate); reason != "" {
		return reason
	}
	if reason := s.incompatibility(s.Version.with(gate.Feature)); reason != "" {
		return reason
	}
	if reason := s.soakBlockedBy(gate); reason != "" {
		return reason
	}
	if s.LeaderEpoch == 0 {
		return "the steward raises it"
	}
	return ""
}

// heldBy returns which hold, missing approval or unfinished migration a feature waits for, or "".
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

// immediateSoak is how long all controllers have to be up before an immediate feature is enabled:
// long enough to notice a controller that fails during its start.
const immediateSoak = 3 * time.Second

// soakBlockedBy returns which controller has been up or down for too short a time, or that the
// version has been in force for too short a time, or "".
func (s *Snapshot) soakBlockedBy(gate *FeatureGate) string {
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
	// An immediate feature does not wait because another feature was enabled a moment ago.
	if !gate.Immediate && s.VersionAge < soak {
		age := s.VersionAge.Round(time.Second)
		return fmt.Sprintf("level %d has stood for %v of %v", s.Version.Number, age, soak)
	}
	return ""
}

// planFinishDisabling completes an operator's request to disable a feature, or cancels the request
// if an unfinished job needs the feature. This snapshot contains all jobs that were accepted before
// the request: they were written under a compare on the version before the request, and the
// snapshot shows the version with the request.
func (s *Snapshot) planFinishDisabling() (*VersionChange, string) {
	feature := s.Version.Disabling
	if s.LeaderEpoch == 0 {
		return nil, fmt.Sprintf("the steward takes feature %q off", feature)
	}
	if s.neededByJobs(feature) != "" {
		to := s.Version.withFeatures(s.Version.Features)
		to.Disabling = ""
		return s.controlChange(to), ""
	}
	to := s.Version.without(feature)
	to.Disabling = ""
	if reason := s.incompatibility(to); reason != "" {
		return nil, reason
	}
	return s.featureChange(to, s.migrationAfter(gateOf(feature), "")), ""
}

// IncompatibleControllers lists the live controllers that must not continue at this version. There
// may be some because builds that predate cluster versions join without reading the version.
func (s *Snapshot) IncompatibleControllers() []Controller {
	if s.writeBlockedBy() != "" {
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

// PlanReject returns the write that ends the session of an incompatible controller by replacing the
// value of its session key. Every write of that session compares the key's revision, so none is
// applied any more, and the controller ends the session when it sees the change. The new value is
// attached to lease.
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
