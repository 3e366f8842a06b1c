package budget

import "time"

// Share is one controller's side of the budget: the rate that it may use now. It is not safe for
// concurrent use.
type Share struct {
	guaranteed   float64
	single       bool      // whether this is the only controller
	whole        bool      // whether the allocator has reported that the share is not lent
	sessionStart time.Time // zero if there is no session

	promisedUntil time.Time
	epoch         uint64
	echo          time.Duration
	loan          float64
	loanUntil     time.Time
}

// NewShare returns the share of one controller, when a limit is divided among the given number of
// controllers.
func NewShare(limit float64, controllers int) *Share {
	return &Share{guaranteed: equalShare(limit, controllers), single: controllers <= 1}
}

// equalShare divides a limit equally among controllers.
func equalShare(limit float64, controllers int) float64 { return limit / float64(max(1, controllers)) }

// Guaranteed returns the controller's own share, which loans to other controllers reduce only for a
// limited time.
func (s *Share) Guaranteed() float64 { return s.guaranteed }

// SetSessionStart sets when the session began. The zero time means that the session has ended or
// may have lost its lease.
func (s *Share) SetSessionStart(at time.Time) {
	if at != s.sessionStart {
		s.sessionStart, s.whole = at, false
	}
}

// Rate returns the changes per second that are allowed until the returned time, and the base rate
// that is allowed after it, when the loan has ended.
func (s *Share) Rate(now time.Time) (rate float64, until time.Time, base float64) {
	base = s.withoutLoan(now)
	if now.Before(s.loanUntil) {
		return base + s.loan, s.loanUntil, base
	}
	return base, now, base
}

func (s *Share) withoutLoan(now time.Time) float64 {
	switch {
	case s.single:
		return s.guaranteed
	case s.sessionStart.IsZero() || !s.whole && now.Sub(s.sessionStart) < JoinDelay:
		return joiningFraction * s.guaranteed
	case now.Before(s.promisedUntil):
		return promisedFraction * s.guaranteed
	}
	return s.guaranteed
}

// Report returns a report to be sent now. If it contains a promise, the share is limited from now
// on.
func (s *Share) Report(host string, need float64, now time.Time) DemandReport {
	report := DemandReport{
		Host:     host,
		Need:     need,
		Promises: need <= idleFraction*s.guaranteed,
		Epoch:    s.epoch,
		Echo:     s.echo,
	}
	if report.Promises && s.epoch != 0 {
		s.promisedUntil = now.Add(PromiseDuration)
	}
	return report
}

// ApplyGrant applies the answer to the report that was sent at the given time.
func (s *Share) ApplyGrant(grant Grant, sent time.Time) {
	s.epoch, s.echo = grant.Epoch, grant.Now
	s.loan, s.loanUntil = grant.Loan, sent.Add(LoanDuration)
	s.whole = s.whole || grant.Whole
}
