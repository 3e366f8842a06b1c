// Package budget divides a rate limit that all controllers share: how many changes a second
// the state service takes. Each controller has an equal part by right, of as many parts as
// there are controllers in the settings, whoever lives. One that needs little promises to
// use at most half of its part for a while, and the allocator, which is the steward's, lends
// what was promised, and half of the parts of controllers whose sessions are over, to those
// that need more. Promises and loans are leases: without an answer each controller falls
// back to its own part, so that the sum is never above the limit, whoever is cut off, stands
// still or begins anew, and however many allocators there seem to be.
//
// Both sides are pure: the caller gives the time.
package budget

import (
	"cmp"
	"slices"
	"time"
)

// Times of the leases. A promise outlasts every loan that is made of it.
const (
	// PromiseDuration is for how long, from the sending of its report, a controller keeps to
	// half of its part.
	PromiseDuration = 2 * time.Second
	// LoanDuration is for how long, from the sending of the report that it answers, a loan may
	// be used.
	LoanDuration = 600 * time.Millisecond
	// JoinDelay is how long a new session uses a part of its own part only, unless the
	// allocator tells it earlier that this is over: until the
	// loans that were made while it was over have ended, and the promises of the session
	// before. It is longer than MaxViewAge, LoanDuration and a margin together, and than
	// PromiseDuration.
	JoinDelay = 2200 * time.Millisecond
	// MaxViewAge is how old the allocator's view of the sessions may be for it to lend the
	// parts of those that are over.
	MaxViewAge = time.Second

	driftMargin = 20 * time.Millisecond // drift of clocks within these times, many times over
)

// Shares of a controller's part.
const (
	promisedPart = 0.5 // what one that needs little keeps to
	joiningPart  = 0.5 // what a new session uses; the allocator lends the rest while it is over
	idlePart     = 0.4 // of its part: who needs no more promises to use little
)

// DemandReport is what a controller says to the allocator.
type DemandReport struct {
	Host     string
	Need     float64       // changes a second that it would make
	Promises bool          // it keeps to half of its part for PromiseDuration from the sending
	Epoch    uint64        // of the allocator whose clock Echo is of
	Echo     time.Duration // the allocator's time in the latest answer: this was sent later
}

// Grant is the allocator's answer.
type Grant struct {
	Epoch uint64
	Now   time.Duration // by the allocator's clock
	Loan  float64       // changes a second beyond its own part or promise, for LoanDuration from the report's sending
	Whole bool          // nothing of its own part is lent but what it has promised itself: its session need not wait for JoinDelay
}

// SessionView is what the allocator knows of the controllers' sessions.
type SessionView struct {
	Alive map[string]bool
	Age   time.Duration // of this view
}

// Allocator lends what controllers do not use. It lives as long as an epoch of its holder's
// role; the clock is the time since it began.
type Allocator struct {
	epoch uint64
	part  float64 // of each controller
	hosts []string
	known map[string]*borrower
}

// borrower is a controller as the allocator knows it.
type borrower struct {
	heard         time.Duration
	need          float64
	promisedUntil time.Duration
	lentUntil     time.Duration // up to when a part of its own is lent because its session was over
	loans         []loan        // that it may be using: it may not have the answer to its latest report
}

type loan struct {
	rate  float64
	until time.Duration
}

// borrowed is the most that it may be using beyond its own part.
func (b *borrower) borrowed(now time.Duration) (most float64) {
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool { return l.until+driftMargin <= now })
	for _, l := range b.loans {
		most = max(most, l.rate)
	}
	return most
}

// NewAllocator returns an allocator of a limit for these controllers. Its epoch must not be
// used twice, and an earlier one's holder must have ceased to answer.
func NewAllocator(epoch uint64, limit float64, hosts []string) *Allocator {
	return &Allocator{epoch: epoch, part: limit / float64(max(1, len(hosts))), hosts: hosts, known: map[string]*borrower{}}
}

// Allocate takes a controller's report and answers it.
func (a *Allocator) Allocate(r DemandReport, sessions SessionView, now time.Duration) Grant {
	g := Grant{Epoch: a.epoch, Now: now}
	if !slices.Contains(a.hosts, r.Host) {
		return g
	}
	b := a.known[r.Host]
	if b == nil {
		b = &borrower{}
		a.known[r.Host] = b
	}
	b.heard, b.need = now, r.Need
	g.Whole = now >= LoanDuration+driftMargin && now >= b.promisedUntil && now >= b.lentUntil
	if r.Promises && r.Epoch == a.epoch {
		b.promisedUntil = max(b.promisedUntil, r.Echo+PromiseDuration)
	}
	// Loans of an earlier allocator may still be in use.
	if now < LoanDuration+driftMargin {
		return g
	}
	g.Loan = a.lend(r.Host, sessions, now)
	if g.Loan > 0 {
		b.loans = append(b.loans, loan{g.Loan, now + LoanDuration})
	}
	return g
}

// lend is how much a controller may borrow now: its fair share of what can be lent, and
// never more than is left of that.
func (a *Allocator) lend(host string, sessions SessionView, now time.Duration) float64 {
	until := now + LoanDuration + driftMargin
	pool, lent := 0.0, 0.0
	wants := map[string]float64{}
	over := a.sessionsOver(sessions, now)
	for _, h := range a.hosts {
		b := a.known[h]
		if over[h] {
			pool += (1 - joiningPart) * a.part
			if b == nil {
				b = &borrower{heard: never}
				a.known[h] = b
			}
			b.lentUntil = until
		}
		if b == nil {
			continue
		}
		if !over[h] && b.promisedUntil >= until {
			pool += (1 - promisedPart) * a.part
		}
		if h != host {
			lent += b.borrowed(now)
		}
		if a.heardLately(h, now) {
			wants[h] = max(0, b.need-a.own(b, now))
		}
	}
	return max(0, min(fairShare(pool, wants, host), pool-lent))
}

// never is when a controller was heard that never was.
const never = -time.Hour

// sessionsOver lists the controllers whose parts may be lent because their sessions are over:
// by a view that is young, and none while one that lives is not heard. A version that does
// not know of loans would use them by itself.
func (a *Allocator) sessionsOver(sessions SessionView, now time.Duration) map[string]bool {
	over := map[string]bool{}
	if sessions.Age > MaxViewAge {
		return over
	}
	for _, h := range a.hosts {
		switch {
		case a.heardLately(h, now):
		case sessions.Alive[h]:
			return map[string]bool{}
		default:
			over[h] = true
		}
	}
	return over
}

// own is what a controller may use without a loan.
func (a *Allocator) own(b *borrower, now time.Duration) float64 {
	if b.promisedUntil > now {
		return promisedPart * a.part
	}
	return a.part
}

func (a *Allocator) heardLately(host string, now time.Duration) bool {
	b := a.known[host]
	return b != nil && now-b.heard <= PromiseDuration
}

// fairShare is what a host gets of a pool that is divided so that the smallest wants are met
// first and the others get equally much.
func fairShare(pool float64, wants map[string]float64, host string) float64 {
	hosts := make([]string, 0, len(wants))
	for h := range wants {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(x, y string) int { return cmp.Or(cmp.Compare(wants[x], wants[y]), cmp.Compare(x, y)) })
	for k, h := range hosts {
		got := min(wants[h], pool/float64(len(hosts)-k))
		if h == host {
			return got
		}
		pool -= got
	}
	return 0
}

// Share is one controller's side: what it may use now. Its owner guards it.
type Share struct {
	part  float64
	alone bool      // there is nobody to share with
	whole bool      // the allocator has said that its own part is not lent
	began time.Time // of the session; zero: it has none

	promisedUntil time.Time
	epoch         uint64
	echo          time.Duration
	loan          float64
	loanUntil     time.Time
}

// NewShare returns the part of one of so many controllers of a limit.
func NewShare(limit float64, controllers int) *Share {
	return &Share{part: limit / float64(max(1, controllers)), alone: controllers <= 1}
}

// Guaranteed is the part by right.
func (p *Share) Guaranteed() float64 { return p.part }

// SetSessionStart notes that a session has begun. The zero time: it is over, or not certainly held.
func (p *Share) SetSessionStart(at time.Time) {
	if at != p.began {
		p.began, p.whole = at, false
	}
}

// Rate is how many changes a second may be made now, until a time, and without the loan that
// ends then.
func (p *Share) Rate(now time.Time) (rate float64, until time.Time, base float64) {
	base = p.part
	switch {
	case p.alone:
	case p.began.IsZero() || !p.whole && now.Sub(p.began) < JoinDelay:
		base = joiningPart * p.part
	case now.Before(p.promisedUntil):
		base = promisedPart * p.part
	}
	if now.Before(p.loanUntil) {
		return base + p.loan, p.loanUntil, base
	}
	return base, now, base
}

// Report makes a report that is sent now, and keeps to what it promises.
func (p *Share) Report(host string, need float64, now time.Time) DemandReport {
	r := DemandReport{Host: host, Need: need, Epoch: p.epoch, Echo: p.echo, Promises: need <= idlePart*p.part}
	if r.Promises && p.epoch != 0 {
		p.promisedUntil = now.Add(PromiseDuration)
	}
	return r
}

// ApplyGrant takes the answer to a report that was sent at some time.
func (p *Share) ApplyGrant(g Grant, sent time.Time) {
	p.epoch, p.echo = g.Epoch, g.Now
	p.loan, p.loanUntil = g.Loan, sent.Add(LoanDuration)
	p.whole = p.whole || g.Whole
}
