package gateway

import (
	"context"
	"errors"
	"time"

	"robinstack/internal/statekv"
)

// A transaction without an answer is sent again, as a copy. Answers usually take a few milliseconds
// and occasionally a few hundred. A transaction whose answer takes longer may be carried out only
// many seconds later, and its user would wait for far more than a second.
//
// A transaction that still waits for this controller's own share of the state service's limits is
// not sent again. Copies would take the share of other transactions that wait, and in a burst none
// of them would be accepted in time.
const (
	// resendAfter is counted from the moment at which the latest copy was sent.
	resendAfter = 400 * time.Millisecond
	// maxCopies includes the first copy.
	maxCopies = 3
)

// txnWriter is the part of statekv.Session that writes.
type txnWriter interface {
	Write(ctx context.Context, compares []statekv.Compare, ops []statekv.Op) (uint64, error)
}

// writeOutcome is the answer to one copy of a transaction.
type writeOutcome struct {
	rev uint64
	err error
}

// writeIdempotent executes a transaction whose ops invalidate its own compares, so that at most one
// of any number of copies takes effect. If no answer arrives in time, or one leaves the outcome
// unknown, it sends another copy, and it returns the first answer with a known outcome. A
// *statekv.ConflictError may mean that an earlier copy took effect, so the caller has to read the
// current state. Copies that are still unanswered are cancelled on return, and nothing waits for
// them.
func writeIdempotent(
	ctx context.Context, writer txnWriter, compares []statekv.Compare, ops []statekv.Op,
) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan writeOutcome, maxCopies)
	copySent := make(chan struct{}, maxCopies)
	ctx = statekv.WithOnSend(ctx, func() { copySent <- struct{}{} })
	send := func() {
		rev, err := writer.Write(ctx, compares, ops)
		answers <- writeOutcome{rev, err}
	}
	go send()
	resendTimer := time.NewTimer(resendAfter)
	resendTimer.Stop() // it starts when the first copy is sent
	defer resendTimer.Stop()
	copies, pending := 1, 1
	for {
		select {
		case <-copySent:
			resendTimer.Reset(resendAfter)
			continue
		case answer := <-answers:
			pending--
			exhausted := pending == 0 && (copies == maxCopies || ctx.Err() != nil)
			if exhausted || !errors.Is(answer.err, statekv.ErrOutcomeUnknown) {
				return answer.rev, answer.err
			}
		case <-resendTimer.C:
		}
		if copies < maxCopies && ctx.Err() == nil {
			copies++
			pending++
			go send()
		}
	}
}
