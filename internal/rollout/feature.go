package rollout

import (
	"maps"
	"slices"

	"robinstack/internal/tombstone"
)

// Feature is something that all controllers of a cluster have to know before any of them
// may use it.
type Feature string

// Features of this build.
const (
	// FeatureVersionGate makes joins and changes of the version conditional. Whoever lacks
	// it is rejected.
	FeatureVersionGate Feature = "gated"
	// FeatureFailureHistory keeps what is known of a job's failures in its record.
	FeatureFailureHistory Feature = "failures"
	// FeatureTombstones writes compact tombstones beside the legacy ones.
	FeatureTombstones Feature = "ended"
	// FeatureCompactTombstonesOnly stops writing legacy tombstones.
	FeatureCompactTombstonesOnly Feature = "ended-only"
	// FeatureDependencies lets jobs depend on others, and specs be stored in fragments.
	FeatureDependencies Feature = "pipelines"
)

// Kinds of stored values that have schemas, as Capabilities and ClusterVersion name them.
const (
	JobRecordKind      = "record"
	TombstoneKind      = "ended"
	ClusterVersionKind = "level"
)

// FeatureGate says when one feature may be enabled, and what that entails.
type FeatureGate struct {
	Feature  Feature
	Requires Feature        // has to be enabled before; "": none
	Schemas  map[string]int // schemas that are written from then on, by kind
	// Irreversible says that the former version cannot read what is written from then on.
	// It is enabled only when an operator asks for it.
	Irreversible bool
	// Migration is the migration of stored values that has to be complete before a feature
	// that requires this one is enabled; ReverseMigration the one that has to be complete
	// before this feature is disabled if what requires it was enabled.
	Migration, ReverseMigration string
	// Immediate says that it is enabled as soon as all controllers have it: users wait for
	// it, and it writes nothing by itself.
	Immediate   bool
	Description string // for operators
}

// FeatureGates are the gates of this build. Those up to the irreversible one require each
// other in order, as the former version enabled them one by one; FeatureDependencies
// stands beside them: in that order it would have been enabled much too late, or never.
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
		Migration: MigrationCopy, ReverseMigration: MigrationRestoreLegacy,
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

// MaxClusterVersion returns the highest version of this build.
func MaxClusterVersion() int { return len(FeatureGates) }

// gateOf returns the gate of a feature, or nil.
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

// FeaturesAt lists the first n features of this build.
func FeaturesAt(n int) []Feature {
	features := []Feature{}
	for _, gate := range FeatureGates[:n] {
		features = append(features, gate.Feature)
	}
	return features
}

// schemasOf returns the schemas, by kind, that are written while these features are
// enabled.
func schemasOf(features []Feature) map[string]int {
	schemas := map[string]int{}
	for _, gate := range FeatureGates {
		if slices.Contains(features, gate.Feature) {
			maps.Copy(schemas, gate.Schemas)
		}
	}
	return schemas
}
