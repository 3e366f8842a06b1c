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

// Guards against starvation of a large job at its team's quota. Without a reservation, small jobs
// take each of the team's 10 GPUs as it becomes free, and a job of 8 GPUs never starts. Freed quota
// is kept for that job until all it needs is free. Of two such jobs, the one that became ready
// first holds the reservation. The reservation ends 4 s after the last request for it.
func TestQuotaReservationProtectsLargeJob(t *testing.T) {
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
		smallTask := func(k int) agentapi.TaskRef {
			return agentapi.TaskRef{Job: fmt.Sprintf("wk-%d", k), Attempt: 1}
		}
		for k := range 10 {
			if !grant(smallTask(k).Job, 0, 1) {
				t.Fatalf("small job %d: got no grant within the quota", k)
			}
		}
		if reserve("wk-90", 2000) {
			t.Fatal("large job can start according to the reply while the whole quota is in use")
		}
		for k := range 8 { // the small jobs finish one by one while similar ones wait
			if grant(fmt.Sprintf("wk-5%d", k), 0, 1, smallTask(k)) {
				t.Fatalf("small job got reserved quota with %d GPUs free", k+1)
			}
		}
		if !reserve("wk-90", 2000) || !grant("wk-90", 0, 8) {
			t.Fatal("large job cannot start or got no grant although 8 GPUs are free")
		}
		l.reservations = quota.NewReservations()
		l.ledger.Release(agentapi.TaskRef{Job: "wk-90", Attempt: 1})
		// If two jobs request a reservation, the one that became ready first gets it, whichever
		// asks first.
		reserve("wk-91", 3000)
		if !reserve("wk-92", 1000) || reserve("wk-91", 3000) {
			t.Fatal("the reservation is not held by the job that became ready first")
		}
		if grant("wk-91", 0, 8) || !grant("wk-92", 0, 8, smallTask(8)) {
			t.Fatal("the grant did not go to the job that became ready first")
		}
		l.ledger.Release(agentapi.TaskRef{Job: "wk-92", Attempt: 1})
		time.Sleep(quota.ReservationDuration / 2)
		if grant("wk-60", 0, 5) {
			t.Fatal("got a grant before the reservation expired")
		}
		l.reservations.Reserve(reservation("wk-92", 1000), time.Now().Add(-quota.ReservationDuration)) // an expired reservation
		if !grant("wk-60", 0, 5) {
			t.Fatal("got no grant after the reservation expired")
		}
	})
}
