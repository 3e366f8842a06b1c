// Package budget divides a rate limit that all controllers share: how many changes a second the
// state service takes. Each controller is guaranteed an equal share, of as many shares as there
// are controllers in the settings, whoever is alive. One that needs little promises to use at most
// half of its share for a while, and the allocator, which is the leader's, lends what was
// promised, and half of the shares of controllers whose sessions have ended, to those that need
// more. Promises and loans are leases: without an answer each controller falls back to its own
// share, so that the sum is never above the limit, whoever is partitioned, stalls or restarts,
// and however many allocators there seem to be.
//
// Both sides, Allocator and Share, are pure: they hold state that their owner guards, and the
// caller gives the time. The package imports the standard library only.
package budget

import "time"

// Times of the leases. A promise outlasts every loan that is made of it.
const (
	// PromiseDuration is for how long, from the sending of its report, a controller keeps to
	// half of its share.
	PromiseDuration = 2 * time.Second
	// LoanDuration is for how long, from the sending of the report that it answers, a loan may
	// be used.
	LoanDuration = 600 * time.Millisecond
	// JoinDelay is how long a new session uses a part of its own share only, unless the
	// allocator says earlier that it need not: until the loans that were made while the host had
	// no session have ended, and the promises of the session before. It is longer than
	// MaxViewAge, LoanDuration and driftMargin together, and than PromiseDuration.
	JoinDelay = 2200 * time.Millisecond
	// MaxViewAge is how old the allocator's view of the sessions may be for it to lend the
	// shares of those that have ended.
	MaxViewAge = time.Second

	// driftMargin is for the drift of clocks within these times, many times over.
	driftMargin = 20 * time.Millisecond
)

// Parts of a controller's share.
const (
	promisedPart = 0.5 // what one that needs little keeps to
	joiningPart  = 0.5 // what a new session uses; the allocator lends the rest while there is none
	idlePart     = 0.4 // who needs no more promises to use little
)

// DemandReport is what a controller says to the allocator. Its fields are on the wire.
type DemandReport struct {
	Host     string
	Need     float64       // changes a second that it would make
	Promises bool          // it keeps to half of its share for PromiseDuration from the sending
	Epoch    uint64        // of the allocator whose clock Echo is of
	Echo     time.Duration // the allocator's time in the latest answer: this was sent later
}

// Grant is the allocator's answer. Its fields are on the wire.
type Grant struct {
	Epoch uint64
	Now   time.Duration // by the allocator's clock
	Loan  float64       // changes a second beyond its own share or promise, for LoanDuration from the report's sending

	// Whole says that nothing of its own share is lent but what it has promised itself: its
	// session need not wait for JoinDelay.
	Whole bool
}
