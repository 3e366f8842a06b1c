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

// A session whose lease is not renewed stops relying on it before it can have expired, and none of
// its writes is applied after a later session has opened.
func TestSessionIsFencedByLaterSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl = 4 * time.Second
		state := emulator.NewStateService()
		mirror := newMirror(state, statekv.ClusterPrefix)
		former := openSession(t, state, mirror, "host-0", ttl)
		if !former.HoldsLease() {
			t.Error("a new session does not hold its lease")
		}
		time.Sleep(ttl - ttl/8)
		if former.HoldsLease() {
			t.Error("the session relies on a lease that may expire before a write is applied")
		}
		load(t, mirror)
		later := openSession(t, state, mirror, "host-0", ttl)
		change := []statekv.Op{{Set: "x", Value: 1}}
		if _, err := former.Write(t.Context(), nil, change); !statekv.IsConflict(err) {
			t.Errorf("write of the former session: got error %v, want a conflict", err)
		}
		if _, err := later.Write(t.Context(), nil, change); err != nil {
			t.Errorf("write of the later session: %v", err)
		}
	})
}

// Within the restart window, successors are all configured hosts. After it, they are the hosts with
// a session that is not rejected.
func TestSuccessorsDuringAndAfterRestartWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := emulator.NewStateService()
		mirror := newMirror(state, statekv.ClusterPrefix)
		session := openSession(t, state, mirror, "host-1", time.Hour)
		rejection := statekv.Rejection{Reason: "lacks a feature"}
		commit(t, state, statekv.Op{Set: statekv.SessionPrefix + "host-2", Value: rejection})
		load(t, mirror)
		configured := []string{"host-2", "host-0", "host-1"}
		if got := session.Successors(configured); !slices.Equal(got, []string{"host-0", "host-1", "host-2"}) {
			t.Errorf("successors within the restart window: got %v, want all configured hosts", got)
		}
		time.Sleep(2*time.Second + time.Millisecond)
		if got := session.Successors(configured); !slices.Equal(got, []string{"host-1"}) {
			t.Errorf("successors after the restart window: got %v, want host-1", got)
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
			t.Errorf("rejection reason of %s: got %q, want %q", value, got, reason)
		}
	}
}
