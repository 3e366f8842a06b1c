package rollout

import (
	"fmt"
	"slices"
)

// PlanLower returns the change that disables a feature, or the one that was enabled last
// if none is named, for an operator who asked for it, or why it cannot be made. The
// version is held there for the reason given.
//
// A feature that stored values may need is disabled in two steps: first nothing that needs
// it is accepted any more; then, when all that was accepted before has been seen,
// planDisable disables it. With one step, what is accepted at the same moment would be
// left to controllers that ignore what it needs.
func (s *Snapshot) PlanLower(feature Feature, holdReason string) (*VersionChange, string) {
	if reason := s.unwritable(); reason != "" {
		return nil, reason
	}
	if s.Version.Number == 0 {
		return nil, "the fleet is at level 0"
	}
	if feature == "" {
		feature = s.Version.Features[s.Version.Number-1]
	}
	if reason := s.requiredBy(feature); reason != "" {
		return nil, reason
	}
	to := s.Version.without(feature)
	to.HoldReason, to.AllowedUpTo = holdReason, 0
	if reason := s.incompatibility(to); reason != "" {
		return nil, reason
	}
	// What the version below writes must be all that it reads: values that only the version
	// above wrote are restored while this one stands, which still reads both.
	gate := gateOf(feature)
	if reverse := gate.ReverseMigration; reverse != "" && s.Migration.Name == reverse && !s.Migration.Done {
		return nil, "stored values are being brought back: " + s.Migration.String()
	}
	if feature == FeatureDependencies {
		return s.planDisabling(feature, holdReason)
	}
	migration := ""
	if gate.Irreversible {
		migration = gateOf(gate.Requires).ReverseMigration
	}
	return s.changeOfFeatures(to, s.migrationAfter(gate, migration)), ""
}

// requiredBy says why a feature cannot be disabled by itself, or "".
func (s *Snapshot) requiredBy(feature Feature) string {
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

// planDisabling returns the first of the two steps by which a feature is disabled that
// stored values may need.
func (s *Snapshot) planDisabling(feature Feature, holdReason string) (*VersionChange, string) {
	if reason := s.stillNeeded(feature); reason != "" {
		return nil, reason
	}
	if s.Version.Disabling == feature && s.Version.HoldReason != "" {
		// Written again and again, it would have all that is written under it rejected, the
		// leader's own step too, and never come to its end.
		return nil, fmt.Sprintf("the steward is taking feature %q off", feature)
	}
	to := s.Version.withFeatures(s.Version.Features)
	to.HoldReason, to.AllowedUpTo, to.Disabling = holdReason, 0, feature
	return s.changeOfSettings(to), ""
}

// PlanHold returns the change that holds the version as it is, for an operator who asked
// for it, or why it cannot be made.
func (s *Snapshot) PlanHold(holdReason string) (*VersionChange, string) {
	if reason := s.unwritable(); reason != "" {
		return nil, reason
	}
	to := s.Version.withFeatures(s.Version.Features)
	to.HoldReason, to.AllowedUpTo = holdReason, 0
	return s.changeOfSettings(to), ""
}

// PlanAllowRaise returns the change that lets the version be raised again, also to an
// irreversible one, for an operator who asked for it, or why it cannot be made.
func (s *Snapshot) PlanAllowRaise() (*VersionChange, string) {
	if reason := s.unwritable(); reason != "" {
		return nil, reason
	}
	to := s.Version.withFeatures(s.Version.Features)
	to.HoldReason, to.Disabling = "", ""
	irreversible := func(gate *FeatureGate) bool { return gate.Irreversible }
	if slices.ContainsFunc(s.nextGates(), irreversible) {
		to.AllowedUpTo = to.Number + 1
	}
	return s.changeOfSettings(to), ""
}
