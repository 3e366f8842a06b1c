package gateway

import (
	"context"
	"errors"
	"time"

	"robinstack/internal/statekv"
)

// A transaction that goes unanswered is sent again, as a copy. Answers take milliseconds, now and
// then a few hundred; where none comes the transaction may be carried out many seconds later, and
// its user has been waiting for a second by then. What waits for this controller's own share of
// the service's limits is not sent again: copies of that would take the share of others that
// wait, and in a burst nothing would be accepted in time.
const (
	// resendAfter counts from when the last copy has gone out.
	resendAfter = 400 * time.Millisecond
	// maxCopies counts the first one.
	maxCopies = 3
)

// txnWriter is the part of a session that writes.
type txnWriter interface {
	Write(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error)
}

// writeOutcome is the answer to one copy of a transaction.
type writeOutcome struct {
	rev uint64
	err error
}

// writeIdempotent makes a write whose compares its own changes undo, so that of any number of
// copies at most one is carried out. If no answer comes soon another copy is sent, and whichever
// answer comes first counts: a *statekv.ConflictError may then mean that an earlier copy was
// carried out, and the caller looks what there is. Copies without an answer end with the context;
// nobody waits for them.
func writeIdempotent(ctx context.Context, w txnWriter, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan writeOutcome, maxCopies)
	goneOut := make(chan struct{}, maxCopies)
	ctx = statekv.WithOnSend(ctx, func() { goneOut <- struct{}{} })
	send := func() {
		rev, err := w.Write(ctx, when, then)
		answers <- writeOutcome{rev, err}
	}
	go send()
	resend := time.NewTimer(resendAfter)
	resend.Stop() // until the first copy has gone out
	defer resend.Stop()
	sent, pending := 1, 1
	for {
		select {
		case <-goneOut:
			resend.Reset(resendAfter)
			continue
		case answer := <-answers:
			pending--
			exhausted := pending == 0 && (sent == maxCopies || ctx.Err() != nil)
			if exhausted || !errors.Is(answer.err, statekv.ErrOutcomeUnknown) {
				return answer.rev, answer.err
			}
		case <-resend.C:
		}
		if sent < maxCopies && ctx.Err() == nil {
			sent++
			pending++
			go send()
		}
	}
}
