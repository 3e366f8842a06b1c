package rollout

import (
	"encoding/json"
	"fmt"
	"slices"

	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// versionSchema is the schema of the cluster version's key.
const versionSchema = 1

// ClusterVersion is the value of the cluster version's key. If the key does not exist, the version
// is 0.
type ClusterVersion struct {
	Schema     int            `json:"form"`
	Number     int            `json:"level"`
	Features   []Feature      `json:"features"` // in the order in which they were enabled
	Schemas    map[string]int `json:"forms,omitempty"`
	HoldReason string         `json:"hold,omitempty"` // why the version is not raised automatically, or ""
	// AllowedUpTo is the highest version number to which an operator allows raises that are
	// irreversible.
	AllowedUpTo int    `json:"allow,omitempty"`
	WrittenBy   string `json:"by,omitempty"` // host of the controller that wrote it
	// Disabling is a feature that is to be disabled: nothing that needs it is accepted any more.
	// The leader disables it unless an unfinished job still needs it.
	Disabling Feature `json:"ends,omitempty"`

	UnknownFields statekv.UnknownFields `json:"-"` // fields of the stored value that a later build wrote
}

// withFeatures returns the version with these features and the other fields of v.
func (v ClusterVersion) withFeatures(features []Feature) ClusterVersion {
	v.Schema = versionSchema
	v.Number = len(features)
	v.Features = features
	v.Schemas = schemasOf(features)
	return v
}

// with returns the version with a feature added.
func (v ClusterVersion) with(feature Feature) ClusterVersion {
	return v.withFeatures(append(slices.Clone(v.Features), feature))
}

// without returns the version with a feature removed.
func (v ClusterVersion) without(feature Feature) ClusterVersion {
	isFeature := func(other Feature) bool { return other == feature }
	return v.withFeatures(slices.DeleteFunc(slices.Clone(v.Features), isFeature))
}

// Enabled reports whether a feature is enabled.
func (v ClusterVersion) Enabled(feature Feature) bool { return slices.Contains(v.Features, feature) }

// Accepts reports whether a feature is enabled and new work that needs it is accepted.
func (v ClusterVersion) Accepts(feature Feature) bool {
	return v.Enabled(feature) && v.Disabling != feature
}

// TombstoneFormats returns the formats in which tombstones are written at this version.
func (v ClusterVersion) TombstoneFormats() tombstone.Formats {
	switch {
	case v.Enabled(FeatureCompactTombstonesOnly):
		return tombstone.CompactOnly
	case v.Enabled(FeatureTombstones):
		return tombstone.LegacyAndCompact
	}
	return tombstone.LegacyOnly
}

// storedValue returns the value to store under the key: the version and its unknown fields.
func (v ClusterVersion) storedValue() any {
	if v.UnknownFields == nil {
		return v
	}
	return statekv.ValueWithUnknownFields{Value: v, Unknown: v.UnknownFields}
}

// ParseClusterVersion decodes the value of the cluster version's key. A *statekv.SchemaError means
// that this build cannot read the value's schema.
func ParseClusterVersion(raw json.RawMessage) (ClusterVersion, error) {
	const subject = "the level's key"
	if err := statekv.CheckSchema(subject, raw, versionSchema); err != nil {
		return ClusterVersion{}, err
	}
	var version ClusterVersion
	if err := json.Unmarshal(raw, &version); err != nil {
		return ClusterVersion{}, fmt.Errorf("%s: %w", subject, err)
	}
	if version.Schema < 1 || version.Number < 0 || version.Number != len(version.Features) {
		return ClusterVersion{}, fmt.Errorf("%s: form %d, level %d with %d features is damaged",
			subject, version.Schema, version.Number, len(version.Features))
	}
	version.UnknownFields = statekv.UnknownFieldsOf(raw, &version)
	return version, nil
}
