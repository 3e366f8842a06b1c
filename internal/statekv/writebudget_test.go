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

func always() bool { return true }

// takeFor makes changes one after the other for some time, as soon as each may be made, and
// counts them.
func takeFor(w *WriteBudget, d time.Duration) (changes int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, ok := w.reserve(1, 0, time.Now()); ok {
			changes++
		}
	}
	return changes
}

// A controller's changes follow its share: a part of it until its session has gone on for a
// while and when its lease is not certainly held, all of it then, and what is lent beyond that.
func TestWriteRateFollowsTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWriteBudget(64, 4)
		about := func(what string, got, want int) {
			t.Helper()
			if got < want-1 || got > want+1 {
				t.Errorf("%s: %d changes, about %d expected", what, got, want)
			}
		}
		takeFor(w, 5*time.Second) // what had accumulated
		about("before a session", takeFor(w, time.Second), 8)
		w.SetSession(time.Now(), always)
		about("in a session that has just begun", takeFor(w, time.Second), 8)
		time.Sleep(budget.JoinDelay)
		takeFor(w, 2*time.Second)
		about("in a session", takeFor(w, time.Second), 16)
		sent := time.Now()
		if r := w.Report("host-0", sent); r.Promises || r.Need < 16 {
			t.Errorf("it reports %+v", r)
		}
		w.ApplyGrant(budget.Grant{Epoch: 1, Loan: 20}, sent)
		about("with a loan that ends", takeFor(w, time.Second), 16+12)
		w.SetSession(time.Now().Add(-time.Minute), func() bool { return false })
		takeFor(w, time.Second)
		about("with a lease that is not certainly held", takeFor(w, time.Second), 8)
	})
}

// What waits for capacity and what is asked for is what a controller reports as its need, and
// after that is over it promises to use little.
func TestReportedNeedIsWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWriteBudget(40, 4)
		w.SetSession(time.Now(), always)
		time.Sleep(5 * time.Second)
		w.noteDemand(ClassClaim, 24, time.Now())
		if _, ok := w.reserve(30, time.Second, time.Now()); ok {
			t.Error("30 changes at 10 a second do not wait for a second")
		}
		if r := w.Report("host-0", time.Now()); r.Need != 54 || r.Promises {
			t.Errorf("it reports %+v", r)
		}
		time.Sleep(2 * time.Second)
		if r := w.Report("host-0", time.Now()); r.Need != 0 || !r.Promises {
			t.Errorf("later it reports %+v", r)
		}
		if got := w.maxWait(24); got != maxQueueTimeLarge {
			t.Errorf("24 changes, more than accumulate, may wait for %v", got)
		}
	})
}

// A service that rejects changes as too many is sent half as many for a while.
func TestRejectedChangesHalveTheRate(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer server.Close()
	client := NewClient(strings.TrimPrefix(server.URL, "http://"), 1000, 100, 1)
	before := client.WriteBudget().rate(time.Now())
	if _, err := client.Txn(t.Context(), nil, []Op{{Set: "k", Value: 1}}); err == nil {
		t.Fatal("it is not rejected")
	}
	if now := client.WriteBudget().rate(time.Now()); now != before/2 {
		t.Errorf("%v changes a second before, %v after", before, now)
	}
	if later := client.WriteBudget().rate(time.Now().Add(rejectedDuration + time.Second)); later != before {
		t.Errorf("%v changes a second before, %v later", before, later)
	}
}
