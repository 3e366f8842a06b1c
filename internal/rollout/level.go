// Package rollout decides what the controllers of a fleet do together while they are
// replaced, one after the other, by those of another version.
//
// Each life registers what its build knows: features, and the forms of stored values
// that it reads and writes. The fleet has one level; a level is a set of features that
// are on, and its number is how many those are. It is a key of the state service that
// changes only under conditions: it rises when every controller that lives has what the
// next level needs and has stood for a while, and no life began meanwhile; a life
// begins only under the level that it has seen and knows. So at every moment each
// controller that lives knows all that is on, and one whose life is over writes nothing.
//
// level.go says what there is, decide.go when it changes, all of it pure; gate.go does
// it, for the life of one controller; move.go moves stored values to other forms. The
// package owns the level's key, the joins' key and the move's key, and nothing else.
package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// BuildVersion names this version, for operators.
const BuildVersion = "0.3.0"

// Feature is something that all controllers of a fleet have to know before any may
// do it.
type Feature string

// Features of this build.
const (
	// FeatureVersionGate: joins and levels are conditional. Whoever lacks it is refused.
	FeatureVersionGate Feature = "gated"
	// FeatureFailureHistory: what is known of a job's failures is in its record.
	FeatureFailureHistory Feature = "failures"
	// FeatureTombstones: jobs that are over are recorded under robin/ended/ too.
	FeatureTombstones Feature = "ended"
	// FeatureCompactTombstonesOnly: and no longer under robin/final/.
	FeatureCompactTombstonesOnly Feature = "ended-only"
	// FeatureDependencies: jobs may wait for others, and records may be in pieces.
	FeatureDependencies Feature = "pipelines"
)

// Kinds of stored values that have forms.
const (
	JobRecordKind      = "record"
	TombstoneKind      = "ended"
	ClusterVersionKind = "level"
)

// FeatureGate brings one feature.
type FeatureGate struct {
	Feature  Feature
	Requires Feature        // has to be on before; "": none
	Schemas  map[string]int // forms that are written from then on, by kind
	// Irreversible: what is written from then on cannot be read by the former version. The
	// fleet goes there only when a person says so.
	Irreversible bool
	// Migration is what has to be done to stored values before what needs this feature comes
	// on, and Back before this feature may go off if what needs it was on.
	Migration, ReverseMigration string
	// Immediate: it comes on as soon as all controllers have it. Users wait for it, and it
	// writes nothing by itself.
	Immediate   bool
	Description string // for operators: what it brings
}

// FeatureGates is what this build knows. The steps up to the one that closes the way back are
// each other's needs, as the former version climbed them one by one; Pipelines stands
// beside them: by the ladder it would have come much too late, or never.
var FeatureGates = []FeatureGate{
	{Feature: FeatureVersionGate, Immediate: true, Description: "controllers join and rise only under conditions"},
	{Feature: FeatureFailureHistory, Requires: FeatureVersionGate, Description: "a job's failures are known to its next placer"},
	{Feature: FeatureTombstones, Requires: FeatureFailureHistory, Schemas: map[string]int{TombstoneKind: tombstone.Schema}, Migration: MigrationCopy, ReverseMigration: MigrationRestoreLegacy, Description: "ended jobs have small records, beside the former ones"},
	{Feature: FeatureCompactTombstonesOnly, Requires: FeatureTombstones, Irreversible: true, Migration: MigrationDropLegacy, Description: "the former records of ended jobs go"},
	{Feature: FeatureDependencies, Requires: FeatureVersionGate, Immediate: true, Description: "jobs may wait for others"},
}

// MaxClusterVersion is the highest level of this build.
func MaxClusterVersion() int { return len(FeatureGates) }

// stepOf returns the step that brings a feature, or nil.
func stepOf(f Feature) *FeatureGate {
	for k := range FeatureGates {
		if FeatureGates[k].Feature == f {
			return &FeatureGates[k]
		}
	}
	return nil
}

// FeaturesAt lists the first n features of this build.
func FeaturesAt(n int) []Feature {
	out := []Feature{}
	for _, s := range FeatureGates[:n] {
		out = append(out, s.Feature)
	}
	return out
}

func formsOf(features []Feature) map[string]int {
	out := map[string]int{}
	for _, s := range FeatureGates {
		if slices.Contains(features, s.Feature) {
			maps.Copy(out, s.Schemas)
		}
	}
	return out
}

// levelForm is the form of the level's key.
const levelForm = 1

// ClusterVersion is what the level's key holds. Its absence means level 0.
type ClusterVersion struct {
	Schema      int            `json:"form"`
	Number      int            `json:"level"`
	Features    []Feature      `json:"features"` // in the order in which they came on
	Schemas     map[string]int `json:"forms,omitempty"`
	HoldReason  string         `json:"hold,omitempty"`  // why it does not rise by itself
	AllowedUpTo int            `json:"allow,omitempty"` // level up to which a person let it rise although that closes the way back
	WrittenBy   string         `json:"by,omitempty"`    // controller that wrote it
	// Disabling is a feature that is to go off: nothing that needs it is taken any more. The
	// steward sees to it, unless there is something that needs it still.
	Disabling Feature `json:"ends,omitempty"`

	UnknownFields statekv.UnknownFields `json:"-"`
}

// of returns the level of these features with what else l says.
func (l ClusterVersion) of(features []Feature) ClusterVersion {
	l.Schema, l.Number, l.Features, l.Schemas = levelForm, len(features), features, formsOf(features)
	return l
}

// at returns the level of the first n features.
func (l ClusterVersion) at(n int) ClusterVersion { return l.of(FeaturesAt(n)) }

// with and without return the level with a feature more, or less.
func (l ClusterVersion) with(f Feature) ClusterVersion {
	return l.of(append(slices.Clone(l.Features), f))
}

func (l ClusterVersion) without(f Feature) ClusterVersion {
	return l.of(slices.DeleteFunc(slices.Clone(l.Features), func(g Feature) bool { return g == f }))
}

// Accepts reports whether a feature is on and what needs it is still taken.
func (l ClusterVersion) Accepts(f Feature) bool { return l.Enabled(f) && l.Disabling != f }

// Enabled reports whether a feature is on.
func (l ClusterVersion) Enabled(f Feature) bool { return slices.Contains(l.Features, f) }

func (l ClusterVersion) value() any {
	if l.UnknownFields == nil {
		return l
	}
	return statekv.WithUnknown{Value: l, Unknown: l.UnknownFields}
}

// ParseClusterVersion reads the level's key.
func ParseClusterVersion(raw json.RawMessage) (ClusterVersion, error) {
	if err := statekv.CheckSchema("the level's key", raw, levelForm); err != nil {
		return ClusterVersion{}, err
	}
	var l ClusterVersion
	if err := json.Unmarshal(raw, &l); err != nil {
		return ClusterVersion{}, fmt.Errorf("the level's key: %w", err)
	}
	if l.Schema < 1 || l.Number < 0 || l.Number != len(l.Features) {
		return ClusterVersion{}, fmt.Errorf("the level's key: form %d, level %d with %d features is damaged", l.Schema, l.Number, len(l.Features))
	}
	l.UnknownFields = statekv.UnknownFieldsOf(raw, &l)
	return l, nil
}

// Capabilities is what the key of a life says about its build. Lives of the time before there
// were levels say nothing: they know level 0.
type Capabilities struct {
	Build      string            `json:"build"`
	Features   []Feature         `json:"features,omitempty"`
	Schemas    map[string][2]int `json:"forms,omitempty"` // lowest and highest form that it reads and writes, by kind
	MinVersion int               `json:"least,omitempty"` // lowest level at which it can live
}

// LocalCapabilities is what this build knows.
func LocalCapabilities() Capabilities {
	return Capabilities{Build: BuildVersion, Features: FeaturesAt(MaxClusterVersion()), Schemas: map[string][2]int{
		JobRecordKind: {0, job.RecordSchema}, TombstoneKind: {0, tombstone.Schema}, ClusterVersionKind: {levelForm, levelForm},
	}}
}

// ParseCapabilities reads the key of a life.
func ParseCapabilities(raw json.RawMessage) (Capabilities, error) {
	var c Capabilities
	if err := json.Unmarshal(raw, &c); err != nil {
		return Capabilities{}, fmt.Errorf("the key of a life: %w", err)
	}
	if c.Build == "" {
		c.Build = "form 0"
	}
	return c, nil
}

// Missing says what a build lacks to live at a level, or "".
func (c Capabilities) Missing(l ClusterVersion) string {
	if l.Number < c.MinVersion {
		return fmt.Sprintf("level %d or higher", c.MinVersion)
	}
	for _, f := range l.Features {
		if !slices.Contains(c.Features, f) {
			return fmt.Sprintf("feature %q", f)
		}
	}
	for kind, form := range l.Schemas {
		if known := c.Schemas[kind]; form < known[0] || form > known[1] {
			return fmt.Sprintf("form %d of kind %q", form, kind)
		}
	}
	return ""
}

// JoinRejectedError says that this build may not join the fleet.
type JoinRejectedError struct{ Reason string }

func (e *JoinRejectedError) Error() string { return "this build may not join: " + e.Reason }

// NewRegistration returns how a life of this build registers, or a *JoinRejectedError: then the
// controller has to wait, unready, until the level is another one or it is replaced.
func NewRegistration(keys Keys, caps Capabilities) (statekv.Registration, error) {
	level := ClusterVersion{}
	kv, ok := keys.Get(statekv.ClusterVersionKey)
	if ok {
		var err error
		if level, err = ParseClusterVersion(kv.Value); err != nil {
			return statekv.Registration{}, &JoinRejectedError{fmt.Sprintf("%s: %v", statekv.ClusterVersionKey, err)}
		}
	}
	if lacks := caps.Missing(level); lacks != "" {
		return statekv.Registration{}, &JoinRejectedError{fmt.Sprintf("the fleet is at level %d and this build (%s) lacks %s", level.Number, caps.Build, lacks)}
	}
	return statekv.Registration{
		Value: caps,
		// A rise between the look and the write needs what this life may not have;
		// and a rise that did not see this life join must not be written after it.
		Compares: []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: kv.Rev}},
		Ops:      []statekv.Op{{Set: statekv.MembershipKey, Value: struct{}{}}},
	}, nil
}

// IsJoinRejected reports whether err says that this build may not join.
func IsJoinRejected(err error) bool {
	var refused *JoinRejectedError
	return errors.As(err, &refused)
}
