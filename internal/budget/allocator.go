package budget

import (
	"cmp"
	"slices"
	"time"
)

// SessionView is what the allocator knows of the controllers' sessions.
type SessionView struct {
	Alive map[string]bool
	Age   time.Duration // of this view
}

// Allocator lends what controllers do not use. It lasts as long as an epoch of its holder's
// role; the clock is the time since it began. Its owner guards it.
type Allocator struct {
	epoch     uint64
	share     float64 // of each controller
	hosts     []string
	borrowers map[string]*borrower
}

// borrower is a controller as the allocator knows it.
type borrower struct {
	lastReport    time.Duration
	need          float64
	promisedUntil time.Duration
	lentUntil     time.Duration // up to when a part of its share is lent because its session had ended
	loans         []loan        // that it may be using: it may not have the answer to its latest report
}

type loan struct {
	rate  float64
	until time.Duration
}

// neverReported is the time of the latest report of a controller that has sent none.
const neverReported = -time.Hour

// NewAllocator returns an allocator of a limit for these controllers. Its epoch must not be used
// twice, and an earlier one's holder must have ceased to answer.
func NewAllocator(epoch uint64, limit float64, hosts []string) *Allocator {
	return &Allocator{
		epoch:     epoch,
		share:     equalShare(limit, len(hosts)),
		hosts:     hosts,
		borrowers: map[string]*borrower{},
	}
}

// Allocate takes a controller's report and answers it.
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
	// Loans of an earlier allocator may still be in use.
	if !formerLoansEnded {
		return grant
	}
	grant.Loan = a.lend(report.Host, sessions, now)
	if grant.Loan > 0 {
		b.loans = append(b.loans, loan{grant.Loan, now + LoanDuration})
	}
	return grant
}

// lend is how much a controller may borrow now: its fair share of what can be lent, and never
// more than is left of that.
func (a *Allocator) lend(host string, sessions SessionView, now time.Duration) float64 {
	until := now + LoanDuration + driftMargin
	pool, lent := 0.0, 0.0
	wants := map[string]float64{}
	ended := a.endedSessions(sessions, now)
	for _, h := range a.hosts {
		if ended[h] {
			pool += (1 - joiningPart) * a.share
			a.markLent(h, until)
		}
		b := a.borrowers[h]
		if b == nil {
			continue
		}
		if !ended[h] && b.promisedUntil >= until {
			pool += (1 - promisedPart) * a.share
		}
		if h != host {
			lent += b.borrowed(now)
		}
		if a.reportedLately(h, now) {
			wants[h] = max(0, b.need-a.withoutLoan(b, now))
		}
	}
	return max(0, min(fairShare(pool, wants, host), pool-lent))
}

// markLent notes that a part of the share of a controller without a session is lent.
func (a *Allocator) markLent(host string, until time.Duration) {
	b := a.borrowers[host]
	if b == nil {
		b = &borrower{lastReport: neverReported}
		a.borrowers[host] = b
	}
	b.lentUntil = until
}

// endedSessions lists the controllers whose shares may be lent because their sessions have
// ended: by a recent view, and none while one that is alive does not report. A version that
// does not know of loans would use them by itself.
func (a *Allocator) endedSessions(sessions SessionView, now time.Duration) map[string]bool {
	ended := map[string]bool{}
	if sessions.Age > MaxViewAge {
		return ended
	}
	for _, h := range a.hosts {
		switch {
		case a.reportedLately(h, now):
		case sessions.Alive[h]:
			return map[string]bool{}
		default:
			ended[h] = true
		}
	}
	return ended
}

// withoutLoan is what a controller may use without a loan.
func (a *Allocator) withoutLoan(b *borrower, now time.Duration) float64 {
	if b.promisedUntil > now {
		return promisedPart * a.share
	}
	return a.share
}

func (a *Allocator) reportedLately(host string, now time.Duration) bool {
	b := a.borrowers[host]
	return b != nil && now-b.lastReport <= PromiseDuration
}

// borrowed is the most that a controller may be using beyond its own share.
func (b *borrower) borrowed(now time.Duration) float64 {
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool { return l.until+driftMargin <= now })
	most := 0.0
	for _, l := range b.loans {
		most = max(most, l.rate)
	}
	return most
}

// fairShare is what a host gets of a pool that is divided so that the smallest wants are met
// first and the others get equally much (max-min fairness).
func fairShare(pool float64, wants map[string]float64, host string) float64 {
	hosts := make([]string, 0, len(wants))
	for h := range wants {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(x, y string) int {
		return cmp.Or(cmp.Compare(wants[x], wants[y]), cmp.Compare(x, y))
	})
	for k, h := range hosts {
		got := min(wants[h], pool/float64(len(hosts)-k))
		if h == host {
			return got
		}
		pool -= got
	}
	return 0
}
