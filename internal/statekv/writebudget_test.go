package statekv

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/budget"
)

func leaseHeld() bool { return true }

// makeChangesFor makes as many changes as possible for d, one at a time, and returns their number.
func makeChangesFor(w *WriteBudget, d time.Duration) (changes int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, ok := w.reserve(1, 0, time.Now()); ok {
			changes++
		}
	}
	return changes
}

// The rate of changes is a part of the share before and soon after the start of the session and
// while the lease is not certainly held, the whole share otherwise, and more than that during a
// loan.
func TestWriteRateFollowsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWriteBudget(64, 4)
		checkCount := func(what string, got, want int) {
			t.Helper()
			if got < want-1 || got > want+1 {
				t.Errorf("%s: got %d changes, want %d ± 1", what, got, want)
			}
		}
		makeChangesFor(w, 5*time.Second) // use up the accumulated tokens
		checkCount("before a session", makeChangesFor(w, time.Second), 8)
		w.SetSession(time.Now(), leaseHeld)
		checkCount("soon after the session's start", makeChangesFor(w, time.Second), 8)
		time.Sleep(budget.JoinDelay)
		makeChangesFor(w, 2*time.Second)
		checkCount("in a session", makeChangesFor(w, time.Second), 16)
		sent := time.Now()
		if r := w.Report("host-0", sent); r.Promises || r.Need < 16 {
			t.Errorf("report: got %+v, want no promise and a need of at least 16", r)
		}
		w.ApplyGrant(budget.Grant{Epoch: 1, Loan: 20}, sent)
		checkCount("during and after a loan", makeChangesFor(w, time.Second), 16+12)
		w.SetSession(time.Now().Add(-time.Minute), func() bool { return false })
		makeChangesFor(w, time.Second)
		checkCount("with a lease that is not certainly held", makeChangesFor(w, time.Second), 8)
	})
}

// The reported need includes the changes that wait for capacity and those requested within the last
// second. Once there are none of either, the report promises low use.
func TestReportedNeedIncludesWaitingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWriteBudget(40, 4)
		w.SetSession(time.Now(), leaseHeld)
		time.Sleep(5 * time.Second)
		w.recordDeferredDemand(ClassClaim, 24, time.Now())
		if _, ok := w.reserve(30, time.Second, time.Now()); ok {
			t.Error("30 changes at 10 per second were reserved with a delay of at most 1 s")
		}
		if r := w.Report("host-0", time.Now()); r.Need != 54 || r.Promises {
			t.Errorf("report: got %+v, want a need of 54 and no promise", r)
		}
		time.Sleep(2 * time.Second)
		if r := w.Report("host-0", time.Now()); r.Need != 0 || !r.Promises {
			t.Errorf("report 2 s later: got %+v, want no need and a promise", r)
		}
		if got := w.maxWait(24); got != maxQueueTimeLarge {
			t.Errorf("longest wait of 24 changes, more than the bucket holds: got %v, want %v", got, maxQueueTimeLarge)
		}
	})
}

// After the service rejects changes because of its rate limit, the rate is halved for a while.
func TestRejectedChangesHalveRate(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer server.Close()
	client := NewClient(strings.TrimPrefix(server.URL, "http://"), 1000, 100, 1)
	before := client.WriteBudget().rate(time.Now())
	if _, err := client.Txn(t.Context(), nil, []Op{{Set: "k", Value: 1}}); err == nil {
		t.Fatal("the transaction was not rejected")
	}
	if now := client.WriteBudget().rate(time.Now()); now != before/2 {
		t.Errorf("rate after the rejection: got %v changes per second, want half of %v", now, before)
	}
	if later := client.WriteBudget().rate(time.Now().Add(reducedRateDuration + time.Second)); later != before {
		t.Errorf("rate after the reduction has ended: got %v changes per second, want %v", later, before)
	}
}
