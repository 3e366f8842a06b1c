package budget

import (
	"cmp"
	"slices"
	"time"
)

// SessionView is the allocator's view of the controllers' sessions.
type SessionView struct {
	Alive map[string]bool
	Age   time.Duration // time since the view was known to be complete
}

// Allocator lends the parts of the shares that controllers do not use to other controllers. It
// lives for one epoch of the leader, and its clock is the time since that epoch began. It is not
// safe for concurrent use.
type Allocator struct {
	epoch     uint64
	share     float64 // guaranteed share of each controller, changes per second
	hosts     []string
	borrowers map[string]*borrower
}

// borrower is the allocator's record of one controller.
type borrower struct {
	lastReport    time.Duration
	need          float64
	promisedUntil time.Duration
	lentUntil     time.Duration // end of the loans of its share that are made because its session has ended
	loans         []loan        // all loans that it may still use; the answer to its latest report may be lost
}

type loan struct {
	rate  float64
	until time.Duration
}

// neverReported is the lastReport of a controller that has not sent a report.
const neverReported = -time.Hour

// NewAllocator returns an allocator that divides a limit among the given controllers. Each
// allocator needs an epoch of its own, and the holder of an earlier epoch must have stopped
// answering.
func NewAllocator(epoch uint64, limit float64, hosts []string) *Allocator {
	return &Allocator{
		epoch:     epoch,
		share:     equalShare(limit, len(hosts)),
		hosts:     hosts,
		borrowers: map[string]*borrower{},
	}
}

// Allocate records a controller's report and returns the answer.
func (a *Allocator) Allocate(report DemandReport, sessions SessionView, now time.Duration) Grant {
	grant := Grant{Epoch: a.epoch, Now: now}
	if !slices.Contains(a.hosts, report.Host) {
		return grant
	}
	b := a.borrowers[report.Host]
	if b == nil {
		b = &borrower{}
		a.borrowers[report.Host] = b
	}
	b.lastReport, b.need = now, report.Need
	formerLoansEnded := now >= LoanDuration+driftMargin
	grant.Whole = formerLoansEnded && now >= b.promisedUntil && now >= b.lentUntil
	if report.Promises && report.Epoch == a.epoch {
		b.promisedUntil = max(b.promisedUntil, report.Echo+PromiseDuration)
	}
	// Loans from the allocator of an earlier epoch may still be in use.
	if !formerLoansEnded {
		return grant
	}
	grant.Loan = a.lend(report.Host, sessions, now)
	if grant.Loan > 0 {
		b.loans = append(b.loans, loan{grant.Loan, now + LoanDuration})
	}
	return grant
}

// lend returns the rate that a controller may borrow now: its fair share of the lendable rate, but
// never more than is left of that rate.
func (a *Allocator) lend(host string, sessions SessionView, now time.Duration) float64 {
	until := now + LoanDuration + driftMargin
	pool, lent := 0.0, 0.0
	wants := map[string]float64{}
	ended := a.endedSessions(sessions, now)
	for _, h := range a.hosts {
		if ended[h] {
			pool += (1 - joiningFraction) * a.share
			a.markLent(h, until)
		}
		b := a.borrowers[h]
		if b == nil {
			continue
		}
		if !ended[h] && b.promisedUntil >= until {
			pool += (1 - promisedFraction) * a.share
		}
		if h != host {
			lent += b.borrowed(now)
		}
		if a.reportedRecently(h, now) {
			wants[h] = max(0, b.need-a.withoutLoan(b, now))
		}
	}
	return max(0, min(fairShare(pool, wants, host), pool-lent))
}

// markLent records that a part of the share of a controller without a session is lent.
func (a *Allocator) markLent(host string, until time.Duration) {
	b := a.borrowers[host]
	if b == nil {
		b = &borrower{lastReport: neverReported}
		a.borrowers[host] = b
	}
	b.lentUntil = until
}

// endedSessions returns the controllers whose shares may be lent because their sessions have ended.
// It returns none if the view is older than MaxViewAge, or if any controller with a live session
// does not report: such a controller may run a version without loans, which would use the shares of
// ended sessions itself.
func (a *Allocator) endedSessions(sessions SessionView, now time.Duration) map[string]bool {
	ended := map[string]bool{}
	if sessions.Age > MaxViewAge {
		return ended
	}
	for _, h := range a.hosts {
		switch {
		case a.reportedRecently(h, now):
		case sessions.Alive[h]:
			return map[string]bool{}
		default:
			ended[h] = true
		}
	}
	return ended
}

// withoutLoan returns the rate that a controller may use without a loan.
func (a *Allocator) withoutLoan(b *borrower, now time.Duration) float64 {
	if b.promisedUntil > now {
		return promisedFraction * a.share
	}
	return a.share
}

func (a *Allocator) reportedRecently(host string, now time.Duration) bool {
	b := a.borrowers[host]
	return b != nil && now-b.lastReport <= PromiseDuration
}

// borrowed returns the highest rate that a controller may be using beyond its own share.
func (b *borrower) borrowed(now time.Duration) float64 {
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool { return l.until+driftMargin <= now })
	most := 0.0
	for _, l := range b.loans {
		most = max(most, l.rate)
	}
	return most
}

// fairShare returns a host's share of a pool that is divided with max-min fairness: the smallest
// wants are met first, and the remaining hosts get equal shares.
func fairShare(pool float64, wants map[string]float64, host string) float64 {
	hosts := make([]string, 0, len(wants))
	for h := range wants {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(x, y string) int {
		return cmp.Or(cmp.Compare(wants[x], wants[y]), cmp.Compare(x, y))
	})
	for k, h := range hosts {
		share := min(wants[h], pool/float64(len(hosts)-k))
		if h == host {
			return share
		}
		pool -= share
	}
	return 0
}
