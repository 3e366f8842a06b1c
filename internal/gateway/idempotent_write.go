package gateway

import (
	"context"
	"errors"
	"time"

	"robinstack/internal/statekv"
)

// resendAfter is how long a submission or cancellation waits for the state service, once it has
// gone out, before it is sent once more, up to copies in all. Answers take milliseconds, now
// and then a few hundred; where none comes the transaction may be carried out many seconds
// later, and its user has been waiting for a second by then. What waits for this
// controller's own share of the service's limits is not sent again: copies of that would
// take the share of others that wait, and in a burst nothing would be accepted in time.
const (
	resendAfter = 400 * time.Millisecond
	maxCopies   = 3
)

// txnWriter is the part of a life that writes.
type txnWriter interface {
	Write(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error)
}

// writeIdempotent makes a write whose conditions its own changes undo, so that of any number of
// copies at most one is carried out. If no answer comes soon another copy is sent, and
// whichever answer comes first counts: a *Conflict may then mean that an earlier copy was
// carried out, and the caller looks what there is.
func writeIdempotent(ctx context.Context, w txnWriter, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	type outcome struct {
		rev uint64
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan outcome, maxCopies)
	out := make(chan struct{}, maxCopies)
	ctx = statekv.WithOnSend(ctx, func() { out <- struct{}{} })
	send := func() {
		rev, err := w.Write(ctx, when, then)
		done <- outcome{rev, err}
	}
	go send()
	due := time.NewTimer(resendAfter)
	due.Stop()
	defer due.Stop()
	for sent, pending := 1, 1; ; {
		select {
		case <-out:
			due.Reset(resendAfter)
			continue
		case o := <-done:
			if pending--; !errors.Is(o.err, statekv.ErrOutcomeUnknown) || pending == 0 && (sent == maxCopies || ctx.Err() != nil) {
				return o.rev, o.err
			}
		case <-due.C:
		}
		if sent < maxCopies && ctx.Err() == nil {
			sent, pending = sent+1, pending+1
			go send()
		}
	}
}
