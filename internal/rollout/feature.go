package rollout

import (
	"maps"
	"slices"

	"robinstack/internal/tombstone"
)

// Feature names a behaviour that all controllers of a cluster have to support before any of them
// may use it.
type Feature string

// Features of this build.
const (
	// FeatureVersionGate makes the start of a session and each change of the version conditional on
	// the version's key. Controllers that lack it are rejected.
	FeatureVersionGate Feature = "gated"
	// FeatureFailureHistory stores the failure history of a job in its record.
	FeatureFailureHistory Feature = "failures"
	// FeatureTombstones writes compact tombstones in addition to legacy ones.
	FeatureTombstones Feature = "ended"
	// FeatureCompactTombstonesOnly stops writing legacy tombstones.
	FeatureCompactTombstonesOnly Feature = "ended-only"
	// FeatureDependencies allows jobs that depend on other jobs, and specs stored in fragments.
	FeatureDependencies Feature = "pipelines"
)

// Kinds of stored values that have schemas, as named in Capabilities and ClusterVersion.
const (
	JobRecordKind      = "record"
	TombstoneKind      = "ended"
	ClusterVersionKind = "level"
)

// FeatureGate describes when a feature may be enabled and what enabling it entails.
type FeatureGate struct {
	Feature  Feature
	Requires Feature        // feature that has to be enabled before this one, or ""
	Schemas  map[string]int // schemas written once the feature is enabled, by kind
	// Irreversible means that controllers at the previous version cannot read what is written once
	// the feature is enabled. Such a feature is enabled only after an operator has allowed it.
	Irreversible bool
	// Migration is the migration of stored values that begins when this feature is enabled. It has
	// to be complete before a feature that requires this one is enabled. ReverseMigration begins
	// when an irreversible feature that requires this one is disabled. It has to be complete before
	// this feature is disabled.
	Migration, ReverseMigration string
	// Immediate means that the feature is enabled as soon as all controllers support it and have
	// been up for immediateSoak, or for the soak time if that is shorter: users wait for the
	// feature, and enabling it writes no stored values by itself.
	Immediate   bool
	Description string // shown to operators
}

// FeatureGates are the feature gates of this build. The features up to the irreversible one require
// each other in order, since earlier builds enabled them one by one. FeatureDependencies is outside
// that order: if it came after the irreversible feature, it would be enabled much too late, or
// never.
var FeatureGates = []FeatureGate{
	{
		Feature: FeatureVersionGate, Immediate: true,
		Description: "controllers join and rise only under conditions",
	},
	{
		Feature: FeatureFailureHistory, Requires: FeatureVersionGate,
		Description: "a job's failures are known to its next placer",
	},
	{
		Feature: FeatureTombstones, Requires: FeatureFailureHistory,
		Schemas:   map[string]int{TombstoneKind: tombstone.Schema},
		Migration: MigrationWriteCompact, ReverseMigration: MigrationRestoreLegacy,
		Description: "ended jobs have small records, beside the former ones",
	},
	{
		Feature: FeatureCompactTombstonesOnly, Requires: FeatureTombstones, Irreversible: true,
		Migration:   MigrationDropLegacy,
		Description: "the former records of ended jobs go",
	},
	{
		Feature: FeatureDependencies, Requires: FeatureVersionGate, Immediate: true,
		Description: "jobs may wait for others",
	},
}

// MaxClusterVersion returns the number of the highest version that this build supports.
func MaxClusterVersion() int { return len(FeatureGates) }

// gateOf returns the gate of a feature, or nil if this build does not know the feature.
func gateOf(feature Feature) *FeatureGate {
	for i := range FeatureGates {
		if FeatureGates[i].Feature == feature {
			return &FeatureGates[i]
		}
	}
	return nil
}

// isRequired reports whether another feature of this build requires this one.
func isRequired(feature Feature) bool {
	return slices.ContainsFunc(FeatureGates, func(gate FeatureGate) bool { return gate.Requires == feature })
}

// FirstFeatures lists the first n features of this build, in the order of FeatureGates.
func FirstFeatures(n int) []Feature {
	features := []Feature{}
	for _, gate := range FeatureGates[:n] {
		features = append(features, gate.Feature)
	}
	return features
}

// schemasOf returns the schemas, by kind, that controllers write while these features are enabled.
func schemasOf(features []Feature) map[string]int {
	schemas := map[string]int{}
	for _, gate := range FeatureGates {
		if slices.Contains(features, gate.Feature) {
			maps.Copy(schemas, gate.Schemas)
		}
	}
	return schemas
}
