package emulator

import (
	"context"
	"time"

	"robinstack/internal/statekv"
)

var _ statekv.Store = (*FaultyStateClient)(nil)

// requestFaults are the faults injected into one request.
type requestFaults struct {
	rejected bool
	delayed  bool // if the request is a transaction with changes, it gets no response and is applied later
}

// admit waits for the request latency and returns the faults to inject into the request. It returns
// statekv.ErrOutcomeUnknown if the request times out.
func (c *FaultyStateClient) admit(ctx context.Context) (requestFaults, error) {
	c.mu.Lock()
	latency := c.latency
	faults := requestFaults{
		rejected: c.rejectAll,
		delayed:  c.delayProbability > 0 && c.rng.Float64() < c.delayProbability,
	}
	c.mu.Unlock()
	if latency == 0 {
		return faults, nil
	}
	if !Sleep(ctx, min(latency, clientTimeout)) || latency >= clientTimeout {
		return requestFaults{}, statekv.ErrOutcomeUnknown
	}
	return faults, nil
}

// admitOrReject is admit for requests that cannot be delayed: all but transactions. It returns
// statekv.ErrRejected if the request is rejected.
func (c *FaultyStateClient) admitOrReject(ctx context.Context) error {
	faults, err := c.admit(ctx)
	if err == nil && faults.rejected {
		err = statekv.ErrRejected
	}
	return err
}

// Get implements statekv.Store.
func (c *FaultyStateClient) Get(ctx context.Context, key string) (statekv.KV, error) {
	if err := c.admitOrReject(ctx); err != nil {
		return statekv.KV{}, err
	}
	return c.service.Get(ctx, key)
}

// List implements statekv.Store. It returns a page of the keys under prefix that sort after the key
// given by after.
func (c *FaultyStateClient) List(ctx context.Context, prefix, after string) (statekv.Page, error) {
	if err := c.admitOrReject(ctx); err != nil {
		return statekv.Page{}, err
	}
	return c.service.List(ctx, prefix, after)
}

// Grant creates a lease that expires unless it is renewed.
func (c *FaultyStateClient) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := c.admitOrReject(ctx); err != nil {
		return 0, err
	}
	c.repeat(LeaseMessage, func(ctx context.Context) { _, _ = c.service.grantWithExpiry(ctx, ttl) })
	return c.service.grantWithExpiry(ctx, ttl)
}

// repeat may have a copy of an answered request arrive later; nobody waits for its outcome.
func (c *FaultyStateClient) repeat(kind MessageKind, send func(ctx context.Context)) {
	c.copies.Repeat(c.ctx, kind, func() { send(c.ctx) })
}

// Renew extends a lease by its full TTL.
func (c *FaultyStateClient) Renew(ctx context.Context, lease uint64) error {
	if err := c.admitOrReject(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	rejected := c.rejectRenewals
	c.mu.Unlock()
	if rejected {
		return statekv.ErrRejected
	}
	c.repeat(LeaseMessage, func(ctx context.Context) { _ = c.service.renewWithExpiry(ctx, lease) })
	return c.service.renewWithExpiry(ctx, lease)
}

// Revoke ends a lease and deletes its keys. If revocations are dropped, it only returns success.
func (c *FaultyStateClient) Revoke(ctx context.Context, lease uint64) error {
	c.mu.Lock()
	dropped := c.dropRevokes
	c.mu.Unlock()
	if err := c.admitOrReject(ctx); err != nil || dropped {
		return err
	}
	c.repeat(LeaseMessage, func(ctx context.Context) { _ = c.service.Revoke(ctx, lease) })
	return c.service.Revoke(ctx, lease)
}

// Txn applies a transaction. A delayed one times out with statekv.ErrOutcomeUnknown and is applied
// later.
func (c *FaultyStateClient) Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	statekv.NotifySent(ctx)
	c.mu.Lock()
	c.requestedChanges += len(then)
	c.mu.Unlock()
	faults, err := c.admit(ctx)
	if err != nil {
		return 0, err
	}
	if faults.rejected || c.service.IsDown() || !c.consumeChangeTokens(len(then)) {
		return 0, statekv.ErrRejected
	}
	if len(then) == 0 || !c.takePendingDelay() && !faults.delayed {
		c.repeat(TransactionMessage, func(ctx context.Context) { c.applyOnce(ctx, when, then) })
		return c.service.Txn(ctx, when, then)
	}
	go c.applyLater(context.WithoutCancel(ctx), c.drawTxnDelay(), when, then)
	Sleep(ctx, clientTimeout)
	return 0, statekv.ErrOutcomeUnknown
}

// applyLater applies an unanswered transaction after delay. If a lease that the transaction
// attaches to a key has ended by then, it does nothing, because the state service rejects such a
// transaction.
func (c *FaultyStateClient) applyLater(
	ctx context.Context, delay time.Duration, when []statekv.Compare, then []statekv.Op,
) {
	time.Sleep(delay)
	if !c.applyOnce(ctx, when, then) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appliedUnansweredTxns++
}

// applyOnce applies a transaction of which nobody learns the outcome, and reports whether it took
// effect.
func (c *FaultyStateClient) applyOnce(ctx context.Context, when []statekv.Compare, then []statekv.Op) bool {
	for _, op := range then {
		if op.Lease != 0 && !c.service.leaseExists(op.Lease) {
			return false
		}
	}
	_, err := c.service.Txn(ctx, when, then)
	return err == nil
}

// outagePollInterval is the interval at which an open watch checks whether requests are still
// rejected.
const outagePollInterval = 50 * time.Millisecond

// Watch implements statekv.Store. A watch that is open when requests begin to be rejected stays
// open and returns no events until the outage ends; it times out with statekv.ErrOutcomeUnknown.
func (c *FaultyStateClient) Watch(
	ctx context.Context, prefix string, since uint64, block time.Duration,
) (statekv.WatchResponse, error) {
	if err := c.admitOrReject(ctx); err != nil {
		return statekv.WatchResponse{}, err
	}
	c.mu.Lock()
	lag := c.watchLag
	c.mu.Unlock()
	deadline := time.Now().Add(block + lag + clientTimeout)
	response, err := c.service.Watch(ctx, prefix, since, block)
	if lag > 0 && len(response.Events) > 0 && !Sleep(ctx, lag) {
		return statekv.WatchResponse{}, statekv.ErrOutcomeUnknown
	}
	for c.isRejecting() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return statekv.WatchResponse{}, statekv.ErrOutcomeUnknown
		}
		Sleep(ctx, outagePollInterval)
		response, err = c.service.Watch(ctx, prefix, since, 0)
	}
	return response, err
}

// isRejecting reports whether the service rejects requests of this controller alone or of all
// controllers.
func (c *FaultyStateClient) isRejecting() bool {
	c.mu.Lock()
	rejecting := c.rejectAll
	c.mu.Unlock()
	return rejecting || c.service.IsDown()
}

// maintenanceReserveFactor is the number of tokens that must be in the bucket per change that
// maintenance wants to make.
const maintenanceReserveFactor = 2

// Allow reports whether the token bucket holds at least twice the n tokens needed: maintenance may
// use half of the available tokens and leaves the rest to other requests. Unlike statekv.Client, it
// takes no tokens.
func (c *FaultyStateClient) Allow(_ statekv.RequestClass, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changesPerSecond == 0 {
		return true
	}
	available := c.changeTokens + c.changesPerSecond*time.Since(c.tokensUpdatedAt).Seconds()
	return available >= maintenanceReserveFactor*float64(n)
}

// MaxTxnOps returns the configured maximum ops; the emulated service never asks for less.
func (c *FaultyStateClient) MaxTxnOps(ops int) int { return c.service.MaxTxnOps(ops) }

// TxnBatchSize returns ops: batches are as large as transactions may be.
func (c *FaultyStateClient) TxnBatchSize(ops int) int { return c.service.TxnBatchSize(ops) }

// SetControllerCount does nothing: the client does not share a rate limit with other controllers.
func (c *FaultyStateClient) SetControllerCount(int) {}
