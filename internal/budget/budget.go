// Package budget divides a rate limit among all controllers: the number of changes per second that
// the state service accepts. Each controller is guaranteed an equal share of the limit; the number
// of shares is the number of controllers in the settings, whether or not they are alive. A
// controller that needs little promises to use at most half of its share for a while. The
// allocator, which runs on the leader, lends the other halves, and half of the share of each
// controller whose session has ended, to controllers that need more. Promises and loans are leases:
// without an answer from the allocator, each controller returns to its own share. The sum of all
// rates therefore never exceeds the limit, whichever controllers are partitioned, stall or restart,
// and however many allocators there seem to be.
//
// Both sides, Allocator and Share, do no I/O and read no clock: their owners guard them, and
// callers pass the time. The package imports only the standard library.
package budget

import "time"

// Durations of the leases. A promise outlasts every loan that is based on it.
const (
	// PromiseDuration is how long a controller uses at most half of its share after it has sent a
	// report with a promise.
	PromiseDuration = 2 * time.Second
	// LoanDuration is how long a loan may be used, from when the report that it answers was sent.
	LoanDuration = 600 * time.Millisecond
	// JoinDelay is how long a new session uses only a part of its own share, unless the allocator
	// says earlier that the whole share is free. After JoinDelay, the loans made while the host had
	// no session and the promises of its former session have ended. JoinDelay is longer than the
	// sum of MaxViewAge, LoanDuration and driftMargin, and longer than PromiseDuration.
	JoinDelay = 2200 * time.Millisecond
	// MaxViewAge is the largest age of the allocator's view of the sessions at which it lends the
	// shares of ended sessions.
	MaxViewAge = time.Second

	// driftMargin bounds the drift between two clocks within these durations, with ample reserve.
	driftMargin = 20 * time.Millisecond
)

// Fractions of a controller's share.
const (
	promisedFraction = 0.5 // used at most by a controller that has made a promise
	joiningFraction  = 0.5 // used by a new session; the rest is lent while the host has no session
	idleFraction     = 0.4 // largest need with which a controller makes a promise
)

// DemandReport is a controller's report to the allocator. Its fields are part of the wire format.
type DemandReport struct {
	Host     string
	Need     float64       // changes per second that the controller would make
	Promises bool          // whether it uses at most half of its share for PromiseDuration after sending this report
	Epoch    uint64        // epoch of the allocator whose clock Echo refers to
	Echo     time.Duration // Grant.Now of the latest answer; the report was sent later
}

// Grant is the allocator's answer to a report. Its fields are part of the wire format.
type Grant struct {
	Epoch uint64
	Now   time.Duration // time on the allocator's clock
	Loan  float64       // changes per second beyond its share or promise, for LoanDuration after sending the report

	// Whole reports whether nothing of the controller's own share is lent except what it has
	// promised itself. Its session then need not wait for JoinDelay.
	Whole bool
}
