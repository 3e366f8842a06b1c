package rollout

import (
	"errors"
	"fmt"

	"robinstack/internal/statekv"
)

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
