package rollout

import (
	"fmt"
	"slices"
)

// PlanLower returns the change by which an operator disables a feature, or nil and the reason why
// it cannot be made. An empty feature stands for the one enabled last. The new version is held,
// with holdReason, so that it is not raised again automatically.
//
// A feature that stored values may need is disabled in two steps. First the version is marked so
// that nothing that needs the feature is accepted any more. Once the leader has seen everything
// that was accepted before the mark, planFinishDisabling disables the feature. With a single step,
// a job accepted at the same moment would be left to controllers that ignore what it needs.
func (s *Snapshot) PlanLower(feature Feature, holdReason string) (*VersionChange, string) {
	if reason := s.writeBlockedBy(); reason != "" {
		return nil, reason
	}
	if s.Version.Number == 0 {
		return nil, "the fleet is at level 0"
	}
	if feature == "" {
		feature = s.Version.Features[s.Version.Number-1]
	}
	if reason := s.disableBlockedBy(feature); reason != "" {
		return nil, reason
	}
	to := s.Version.without(feature)
	to.HoldReason, to.AllowedUpTo = holdReason, 0
	if reason := s.incompatibility(to); reason != "" {
		return nil, reason
	}
	// Controllers at the lower version must find every value in a format that is written at that
	// version. Values that the present version stores only in another format are therefore restored
	// first. Meanwhile the present version, at which both formats are read, stays in force.
	gate := gateOf(feature)
	if reverse := gate.ReverseMigration; reverse != "" && s.Migration.Name == reverse && !s.Migration.Done {
		return nil, "stored values are being brought back: " + s.Migration.String()
	}
	if feature == FeatureDependencies {
		return s.planBeginDisabling(feature, holdReason)
	}
	migration := ""
	if gate.Irreversible {
		migration = gateOf(gate.Requires).ReverseMigration
	}
	return s.featureChange(to, s.migrationAfter(gate, migration)), ""
}

// disableBlockedBy returns why a feature cannot be disabled by itself, or "": it is not enabled, or
// another enabled feature requires it.
func (s *Snapshot) disableBlockedBy(feature Feature) string {
	if !s.Version.Enabled(feature) {
		return fmt.Sprintf("feature %q is not on", feature)
	}
	for _, gate := range FeatureGates {
		if gate.Requires == feature && s.Version.Enabled(gate.Feature) {
			return fmt.Sprintf("feature %q needs %q", gate.Feature, feature)
		}
	}
	return ""
}

// planBeginDisabling returns the first of the two steps that disable a feature that stored values
// may need: the change that marks the feature as being disabled.
func (s *Snapshot) planBeginDisabling(feature Feature, holdReason string) (*VersionChange, string) {
	if reason := s.neededByJobs(feature); reason != "" {
		return nil, reason
	}
	if s.Version.Disabling == feature && s.Version.HoldReason != "" {
		// The request is not written twice. Each write of the version makes pending writes that
		// compare the version fail, also the leader's step that disables the feature; commands in
		// quick succession would keep that step from ever being applied.
		return nil, fmt.Sprintf("the steward is taking feature %q off", feature)
	}
	to := s.Version.withFeatures(s.Version.Features)
	to.HoldReason, to.AllowedUpTo, to.Disabling = holdReason, 0, feature
	return s.controlChange(to), ""
}

// PlanHold returns the change by which an operator holds the version as it is, or nil and the
// reason why it cannot be made.
func (s *Snapshot) PlanHold(holdReason string) (*VersionChange, string) {
	if reason := s.writeBlockedBy(); reason != "" {
		return nil, reason
	}
	to := s.Version.withFeatures(s.Version.Features)
	to.HoldReason, to.AllowedUpTo = holdReason, 0
	return s.controlChange(to), ""
}

// PlanAllowRaise returns the change by which an operator allows the version to be raised again,
// also to an irreversible one, or nil and the reason why it cannot be made.
func (s *Snapshot) PlanAllowRaise() (*VersionChange, string) {
	if reason := s.writeBlockedBy(); reason != "" {
		return nil, reason
	}
	to := s.Version.withFeatures(s.Version.Features)
	to.HoldReason, to.Disabling = "", ""
	irreversible := func(gate *FeatureGate) bool { return gate.Irreversible }
	if slices.ContainsFunc(s.nextGates(), irreversible) {
		to.AllowedUpTo = to.Number + 1
	}
	return s.controlChange(to), ""
}
