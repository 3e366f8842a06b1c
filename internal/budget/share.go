package budget

import "time"

// Share is one controller's side: what it may use now. Its owner guards it.
type Share struct {
	guaranteed   float64
	only         bool      // there is nobody to share with
	whole        bool      // the allocator has said that its own share is not lent
	sessionStart time.Time // zero: it has no session

	promisedUntil time.Time
	epoch         uint64
	echo          time.Duration
	loan          float64
	loanUntil     time.Time
}

// NewShare returns the share that one of so many controllers has of a limit.
func NewShare(limit float64, controllers int) *Share {
	return &Share{guaranteed: equalShare(limit, controllers), only: controllers <= 1}
}

// equalShare is one of so many equal shares of a limit.
func equalShare(limit float64, controllers int) float64 { return limit / float64(max(1, controllers)) }

// Guaranteed is the share that no other controller may use for long.
func (s *Share) Guaranteed() float64 { return s.guaranteed }

// SetSessionStart notes when the session began. The zero time: it has ended, or its lease is not
// certainly held.
func (s *Share) SetSessionStart(at time.Time) {
	if at != s.sessionStart {
		s.sessionStart, s.whole = at, false
	}
}

// Rate is how many changes a second may be made now, until a time, and without the loan that
// ends then.
func (s *Share) Rate(now time.Time) (rate float64, until time.Time, base float64) {
	base = s.withoutLoan(now)
	if now.Before(s.loanUntil) {
		return base + s.loan, s.loanUntil, base
	}
	return base, now, base
}

func (s *Share) withoutLoan(now time.Time) float64 {
	switch {
	case s.only:
		return s.guaranteed
	case s.sessionStart.IsZero() || !s.whole && now.Sub(s.sessionStart) < JoinDelay:
		return joiningPart * s.guaranteed
	case now.Before(s.promisedUntil):
		return promisedPart * s.guaranteed
	}
	return s.guaranteed
}

// Report makes a report that is sent now, and keeps to what it promises.
func (s *Share) Report(host string, need float64, now time.Time) DemandReport {
	report := DemandReport{
		Host:     host,
		Need:     need,
		Promises: need <= idlePart*s.guaranteed,
		Epoch:    s.epoch,
		Echo:     s.echo,
	}
	if report.Promises && s.epoch != 0 {
		s.promisedUntil = now.Add(PromiseDuration)
	}
	return report
}

// ApplyGrant takes the answer to a report that was sent at some time.
func (s *Share) ApplyGrant(grant Grant, sent time.Time) {
	s.epoch, s.echo = grant.Epoch, grant.Now
	s.loan, s.loanUntil = grant.Loan, sent.Add(LoanDuration)
	s.whole = s.whole || grant.Whole
}
