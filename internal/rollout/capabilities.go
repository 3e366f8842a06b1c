package rollout

import (
	"encoding/json"
	"fmt"
	"slices"

	"robinstack/internal/job"
	"robinstack/internal/tombstone"
)

// BuildVersion is the version of this build, shown to operators.
const BuildVersion = "0.3.0"

// legacyBuild is the name shown for builds that predate cluster versions, which do not report a
// name.
const legacyBuild = "form 0"

// Capabilities describes the build of a controller in the key of its session. The session keys of
// builds that predate cluster versions hold no capabilities: such builds support only version 0.
type Capabilities struct {
	Build    string            `json:"build"`
	Features []Feature         `json:"features,omitempty"`
	Schemas  map[string][2]int `json:"forms,omitempty"` // lowest and highest supported schema, by kind of stored value
	// MinVersion is the lowest cluster version at which the build can run.
	MinVersion int `json:"least,omitempty"`
}

// LocalCapabilities returns the capabilities of this build.
func LocalCapabilities() Capabilities {
	return Capabilities{
		Build:    BuildVersion,
		Features: FirstFeatures(MaxClusterVersion()),
		Schemas: map[string][2]int{
			JobRecordKind:      {0, job.RecordSchema},
			TombstoneKind:      {0, tombstone.Schema},
			ClusterVersionKind: {versionSchema, versionSchema},
		},
	}
}

// ParseCapabilities decodes the value of a session's key.
func ParseCapabilities(raw json.RawMessage) (Capabilities, error) {
	var capabilities Capabilities
	if err := json.Unmarshal(raw, &capabilities); err != nil {
		return Capabilities{}, fmt.Errorf("the key of a life: %w", err)
	}
	if capabilities.Build == "" {
		capabilities.Build = legacyBuild
	}
	return capabilities, nil
}

// Missing returns what the build lacks to run at a cluster version, or "" if it lacks nothing.
func (c Capabilities) Missing(version ClusterVersion) string {
	if version.Number < c.MinVersion {
		return fmt.Sprintf("level %d or higher", c.MinVersion)
	}
	for _, feature := range version.Features {
		if !slices.Contains(c.Features, feature) {
			return fmt.Sprintf("feature %q", feature)
		}
	}
	for kind, schema := range version.Schemas {
		if supported := c.Schemas[kind]; schema < supported[0] || schema > supported[1] {
			return fmt.Sprintf("form %d of kind %q", schema, kind)
		}
	}
	return ""
}
