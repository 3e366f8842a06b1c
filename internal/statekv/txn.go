package statekv

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"
)

// txnBody is the body of a transaction.
type txnBody struct {
	When []Compare `json:"when"`
	Then []Op      `json:"then,omitempty"`
}

// Txn applies then if every compare holds, and returns the new revision. A *ConflictError says
// that one did not hold.
func (c *Client) Txn(ctx context.Context, when []Compare, then []Op) (uint64, error) {
	if err := c.paceRequest(ctx); err != nil {
		return 0, err
	}
	// What only compares changes nothing, and need not wait for changes.
	if len(then) > 0 {
		if err := c.paceChanges(ctx, len(then)); err != nil {
			return 0, err
		}
	}
	NotifySent(ctx)
	body := txnBody{When: when, Then: then}
	response, err := c.send(ctx, request{method: http.MethodPost, path: txnPath, body: body})
	if errors.Is(err, ErrTooLarge) && len(then) > 1 {
		c.txnLimit.lower(len(then))
	}
	if err != nil {
		return 0, err
	}
	c.txnLimit.raise(len(then))
	var out struct {
		Rev    uint64   `json:"ledger_rev"`
		Failed []string `json:"failed"`
	}
	if err := response.Decode(&out); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if response.Status == http.StatusConflict {
		return 0, &ConflictError{Failed: out.Failed}
	}
	return out.Rev, nil
}

// MaxTxnOps is how many changes a transaction may have, of as many as the settings allow.
func (c *Client) MaxTxnOps(ops int) int { return c.txnLimit.limit(ops) }

// TxnBatchSize is how many of many changes are best made with one transaction: what can be made
// soon, for a larger one would wait, or be rejected, while what it needs comes in.
func (c *Client) TxnBatchSize(ops int) int {
	return min(c.MaxTxnOps(ops), c.writes.opsSoon(time.Now()))
}

// txnSizeLimit learns how many changes the service takes in a transaction: its limits can be
// lowered without notice. The zero value has seen no limit.
type txnSizeLimit struct {
	ops atomic.Int64 // that the service was seen to take; 0: any
}

// limit returns ops, or fewer if the service takes fewer.
func (l *txnSizeLimit) limit(ops int) int {
	if limit := l.ops.Load(); limit > 0 {
		return min(ops, int(limit))
	}
	return ops
}

// lower halves the limit, for a transaction of n changes was too large. Who writes many at once
// splits them and goes on.
func (l *txnSizeLimit) lower(n int) {
	slog.Warn("state transaction size limit lowered", "operations", n)
	l.ops.Store(int64(max(1, n/2)))
}

// raise lets transactions grow again after one of n changes was taken, by one at a time: what
// was too large may have been a value.
func (l *txnSizeLimit) raise(n int) {
	if limit := l.ops.Load(); limit > 0 && int64(n) >= limit {
		l.ops.CompareAndSwap(limit, int64(n)+1)
	}
}

// onSendKey is the key of a context's value that WithOnSend sets.
type onSendKey struct{}

// WithOnSend has f called when a transaction made with the context goes out, which is later than
// its call where this client's own limits make it wait.
func WithOnSend(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, onSendKey{}, f)
}

// NotifySent calls what WithOnSend gave, if anything. Every Store does so in Txn.
func NotifySent(ctx context.Context) {
	if f, ok := ctx.Value(onSendKey{}).(func()); ok {
		f()
	}
}
