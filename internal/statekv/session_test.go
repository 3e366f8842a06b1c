package statekv_test

import (
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/statekv"
)

// A session whose lease is not renewed no longer counts on it before it can have expired, and
// nothing that it writes is applied after a later session has opened.
func TestSessionIsFencedByALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl = 4 * time.Second
		state := emulator.NewStateService()
		mirror := newMirror(state, statekv.ClusterPrefix)
		former := openSession(t, state, mirror, "host-0", ttl)
		if !former.HoldsLease() {
			t.Error("it does not hold the lease that it has just obtained")
		}
		time.Sleep(ttl - ttl/8)
		if former.HoldsLease() {
			t.Error("it counts on a lease that may expire before a write is carried out")
		}
		load(t, mirror)
		later := openSession(t, state, mirror, "host-0", ttl)
		change := []statekv.Op{{Set: "x", Value: 1}}
		if _, err := former.Write(t.Context(), nil, change); !statekv.IsConflict(err) {
			t.Errorf("the former session writes: %v", err)
		}
		if _, err := later.Write(t.Context(), nil, change); err != nil {
			t.Errorf("the later session writes: %v", err)
		}
	})
}

// While all may be restarting, successors are all hosts there are; from then on, those that have
// a session, and no rejected one.
func TestSuccessorsAreTheLiveAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := emulator.NewStateService()
		mirror := newMirror(state, statekv.ClusterPrefix)
		session := openSession(t, state, mirror, "host-1", time.Hour)
		rejection := statekv.Rejection{Reason: "lacks a feature"}
		commit(t, state, statekv.Op{Set: statekv.SessionPrefix + "host-2", Value: rejection})
		load(t, mirror)
		configured := []string{"host-2", "host-0", "host-1"}
		if got := session.Successors(configured); !slices.Equal(got, []string{"host-0", "host-1", "host-2"}) {
			t.Errorf("just after its start: %v", got)
		}
		time.Sleep(2*time.Second + time.Millisecond)
		if got := session.Successors(configured); !slices.Equal(got, []string{"host-1"}) {
			t.Errorf("later: %v", got)
		}
	})
}

func TestRejectionReason(t *testing.T) {
	for value, reason := range map[string]string{
		`{"refused":"old"}`: "old",
		`{"build":"x"}`:     "",
		`{}`:                "",
		``:                  "",
		`[1,2]`:             "",
	} {
		if got := statekv.RejectionReason(statekv.KV{Value: json.RawMessage(value)}); got != reason {
			t.Errorf("%s is rejected because of %q", value, got)
		}
	}
}
