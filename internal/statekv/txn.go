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

// txnBody is the request body of a transaction.
type txnBody struct {
	When []Compare `json:"when"`
	Then []Op      `json:"then,omitempty"`
}

// Txn applies the changes listed in then if every compare in when holds, and returns the new
// revision. It returns a *ConflictError if a compare does not hold.
func (c *Client) Txn(ctx context.Context, when []Compare, then []Op) (uint64, error) {
	if err := c.paceRequest(ctx); err != nil {
		return 0, err
	}
	// A transaction with compares only makes no changes and is not limited by the write budget.
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

// MaxTxnOps returns the largest number of changes in a transaction, given the limit in the
// settings.
func (c *Client) MaxTxnOps(ops int) int { return c.txnLimit.limit(ops) }

// TxnBatchSize returns how many of up to ops changes to put into one transaction: no more than the
// write budget allows soon. A larger transaction would wait, or be rejected, until its changes fit
// into the budget.
func (c *Client) TxnBatchSize(ops int) int {
	return min(c.MaxTxnOps(ops), c.writes.opsSoon(time.Now()))
}

// txnSizeLimit tracks how many changes the service accepts in one transaction, because the service
// may lower its limits without notice. The zero value has no limit.
type txnSizeLimit struct {
	ops atomic.Int64 // number of changes that the service accepts, 0 if no limit is known
}

// limit returns ops, or fewer if the service accepts fewer changes.
func (l *txnSizeLimit) limit(ops int) int {
	if limit := l.ops.Load(); limit > 0 {
		return min(ops, int(limit))
	}
	return ops
}

// lower sets the limit to half of n after a transaction with n changes was too large. Callers with
// many changes split them into smaller transactions.
func (l *txnSizeLimit) lower(n int) {
	slog.Warn("state transaction size limit lowered", "operations", n)
	l.ops.Store(int64(max(1, n/2)))
}

// raise raises the limit to n+1 after a transaction with n changes, at least the current limit, was
// accepted. The limit grows again because the rejected transaction may have been too large because
// of a single value.
func (l *txnSizeLimit) raise(n int) {
	if limit := l.ops.Load(); limit > 0 && int64(n) >= limit {
		l.ops.CompareAndSwap(limit, int64(n)+1)
	}
}

// onSendKey is the context key of the function set by WithOnSend.
type onSendKey struct{}

// WithOnSend returns a context with which Txn calls f when the transaction is sent. That is later
// than the call of Txn if this client's own limits delay it.
func WithOnSend(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, onSendKey{}, f)
}

// NotifySent calls the function set by WithOnSend, if any. Every Store calls NotifySent in Txn.
func NotifySent(ctx context.Context) {
	if f, ok := ctx.Value(onSendKey{}).(func()); ok {
		f()
	}
}
