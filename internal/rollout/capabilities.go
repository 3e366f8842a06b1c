package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// BuildVersion names this build, for operators.
const BuildVersion = "0.3.0"

// legacyBuild names builds from before there were cluster versions, which do not name
// themselves.
const legacyBuild = "form 0"

// Capabilities is what the key of a session says about its build. Sessions of builds from
// before there were cluster versions say nothing: they support version 0.
type Capabilities struct {
	Build    string            `json:"build"`
	Features []Feature         `json:"features,omitempty"`
	Schemas  map[string][2]int `json:"forms,omitempty"` // lowest and highest schema that it reads and writes, by kind
	// MinVersion is the lowest cluster version at which it can run.
	MinVersion int `json:"least,omitempty"`
}

// LocalCapabilities returns the capabilities of this build.
func LocalCapabilities() Capabilities {
	return Capabilities{
		Build:    BuildVersion,
		Features: FeaturesAt(MaxClusterVersion()),
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

// Missing says what the build lacks to run at a cluster version, or "".
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

// JoinRejectedError says that this build may not join the cluster.
type JoinRejectedError struct{ Reason string }

func (e *JoinRejectedError) Error() string { return "this build may not join: " + e.Reason }

// IsJoinRejected reports whether err says that this build may not join.
func IsJoinRejected(err error) bool {
	var rejected *JoinRejectedError
	return errors.As(err, &rejected)
}

// NewRegistration returns how a session of a build with these capabilities registers. A
// *JoinRejectedError says that the controller has to wait, unready, until the cluster
// version is another one or the controller is replaced.
func NewRegistration(keys Keys, capabilities Capabilities) (statekv.Registration, error) {
	version := ClusterVersion{}
	kv, ok := keys.Get(statekv.ClusterVersionKey)
	if ok {
		var err error
		if version, err = ParseClusterVersion(kv.Value); err != nil {
			reason := fmt.Sprintf("%s: %v", statekv.ClusterVersionKey, err)
			return statekv.Registration{}, &JoinRejectedError{reason}
		}
	}
	if missing := capabilities.Missing(version); missing != "" {
		reason := fmt.Sprintf("the fleet is at level %d and this build (%s) lacks %s",
			version.Number, capabilities.Build, missing)
		return statekv.Registration{}, &JoinRejectedError{reason}
	}
	return statekv.Registration{
		Value: capabilities,
		// A raise between the read and the write needs what this session may not have;
		// and a raise that did not see this session join must not be written after it.
		Compares: []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: kv.Rev}},
		Ops:      []statekv.Op{{Set: statekv.MembershipKey, Value: struct{}{}}},
	}, nil
}
