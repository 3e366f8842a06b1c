package rollout

import (
	"errors"
	"fmt"

	"robinstack/internal/statekv"
)

// JoinRejectedError reports that this build may not join the cluster, and why.
type JoinRejectedError struct{ Reason string }

func (e *JoinRejectedError) Error() string { return "this build may not join: " + e.Reason }

// IsJoinRejected reports whether err is or wraps a *JoinRejectedError.
func IsJoinRejected(err error) bool {
	var rejected *JoinRejectedError
	return errors.As(err, &rejected)
}

// NewRegistration returns the registration with which a build with these capabilities begins a
// session. A *JoinRejectedError means that the controller has to wait, unready, until the cluster
// version changes or the controller is replaced.
func NewRegistration(keys KeyReader, capabilities Capabilities) (statekv.Registration, error) {
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
		// The compare makes the registration fail if the version was raised after it was read,
		// because the raised version may require a feature that this build lacks. The write of the
		// membership key makes a raise fail that was planned before this session was registered.
		Compares: []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: kv.Rev}},
		Ops:      []statekv.Op{{Set: statekv.MembershipKey, Value: struct{}{}}},
	}, nil
}
