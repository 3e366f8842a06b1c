package leader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/quota"
)

// At a team's quota of 10 GPUs small jobs take each GPU that comes free. What comes free
// below the quota is kept for a job of 8 that starves, until it has all it needs; of two
// such for the one that could start earlier; and it is released 4 s after its scheduler
// asked last.
func TestCapacityBelowAQuotaIsReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newLeader(t, t.Context())
		l.reconciled, l.confirmed["m1"] = true, true
		grant := func(id string, index, gpus int, release ...agentapi.TaskRef) bool {
			t.Helper()
			var reply quota.Reply
			request := quota.GrantRequest{Ref: agentapi.TaskRef{Job: id, Index: index, Attempt: 1}, Team: "t", Need: job.Resources{GPUs: float64(gpus)}}
			if err := NewService(l).Permit(quota.Request{Slot: "s", Epoch: 1, Wants: []quota.GrantRequest{request}, Release: release}, &reply); err != nil {
				t.Fatal(err)
			}
			return reply.Granted[0]
		}
		reservation := func(id string, since int64) quota.Reservation {
			return quota.Reservation{Job: id, Team: "t", Need: job.Resources{GPUs: 8}, Since: since}
		}
		reserve := func(id string, since int64) bool {
			t.Helper()
			var reply quota.Reply
			requested := reservation(id, since)
			if err := NewService(l).Permit(quota.Request{Slot: "s", Epoch: 1, Reserve: &requested}, &reply); err != nil {
				t.Fatal(err)
			}
			return reply.Reserved
		}
		small := func(k int) agentapi.TaskRef {
			return agentapi.TaskRef{Job: fmt.Sprintf("wk-%d", k), Attempt: 1}
		}
		for k := range 10 {
			if !grant(small(k).Job, 0, 1) {
				t.Fatal(k)
			}
		}
		if reserve("wk-90", 2000) {
			t.Fatal("all of the quota is in use")
		}
		for k := range 8 { // they end one by one, and others like them wait
			if grant(fmt.Sprintf("wk-5%d", k), 0, 1, small(k)) {
				t.Fatalf("a small job took what is kept, with %d free", k+1)
			}
		}
		if !reserve("wk-90", 2000) || !grant("wk-90", 0, 8) {
			t.Fatal("it has all it needs, and does not get it")
		}
		l.reservations = quota.NewReservations()
		l.ledger.Release(agentapi.TaskRef{Job: "wk-90", Attempt: 1})
		// Two at once: the one that could start earlier, whichever asks first.
		reserve("wk-91", 3000)
		if !reserve("wk-92", 1000) || reserve("wk-91", 3000) {
			t.Fatal("the later one has it")
		}
		if grant("wk-91", 0, 8) || !grant("wk-92", 0, 8, small(8)) {
			t.Fatal("the later one got it")
		}
		l.ledger.Release(agentapi.TaskRef{Job: "wk-92", Attempt: 1})
		time.Sleep(quota.ReservationDuration / 2)
		if grant("wk-60", 0, 5) {
			t.Fatal("released too early")
		}
		l.reservations.Reserve(reservation("wk-92", 1000), time.Now().Add(-quota.ReservationDuration)) // asked for last
		if !grant("wk-60", 0, 5) {
			t.Fatal("kept for nobody")
		}
	})
}
