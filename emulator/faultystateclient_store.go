package emulator

import (
	"context"
	"time"

	"robinstack/internal/statekv"
)

var _ statekv.Store = (*FaultyStateClient)(nil)

// request is what became of a request before it reached the service.
type request struct {
	refused bool
	delayed bool // it is a transaction: it gets no answer and is carried out later
}

// admit waits as long as a request takes, and says whether it is refused or delayed. The
// error is statekv.ErrOutcomeUnknown if no answer comes in time.
func (c *FaultyStateClient) admit(ctx context.Context) (request, error) {
	c.mu.Lock()
	latency := c.latency
	r := request{refused: c.refuseAll, delayed: c.delayedShare > 0 && c.rng.Float64() < c.delayedShare}
	c.mu.Unlock()
	if latency == 0 {
		return r, nil
	}
	if !sleep(ctx, min(latency, clientTimeout)) || latency >= clientTimeout {
		return request{}, statekv.ErrOutcomeUnknown
	}
	return r, nil
}

// serve is admit for requests that are not delayed.
func (c *FaultyStateClient) serve(ctx context.Context) error {
	r, err := c.admit(ctx)
	if err == nil && r.refused {
		err = statekv.ErrRejected
	}
	return err
}

// Get reads a key.
func (c *FaultyStateClient) Get(ctx context.Context, key string) (statekv.KV, error) {
	if err := c.serve(ctx); err != nil {
		return statekv.KV{}, err
	}
	return c.service.Get(ctx, key)
}

// List reads a page of the keys under a prefix that come after one.
func (c *FaultyStateClient) List(ctx context.Context, prefix, after string) (statekv.Page, error) {
	if err := c.serve(ctx); err != nil {
		return statekv.Page{}, err
	}
	return c.service.List(ctx, prefix, after)
}

// Grant makes a lease that ends by itself.
func (c *FaultyStateClient) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := c.serve(ctx); err != nil {
		return 0, err
	}
	return c.service.grantExpiring(ctx, ttl)
}

// Renew gives a lease its full time again.
func (c *FaultyStateClient) Renew(ctx context.Context, lease uint64) error {
	if err := c.serve(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	refused := c.refuseRenewals
	c.mu.Unlock()
	if refused {
		return statekv.ErrRejected
	}
	return c.service.renewExpiring(ctx, lease)
}

// Revoke ends a lease and removes its keys.
func (c *FaultyStateClient) Revoke(ctx context.Context, lease uint64) error {
	c.mu.Lock()
	dropped := c.dropRevokes
	c.mu.Unlock()
	if err := c.serve(ctx); err != nil || dropped {
		return err
	}
	return c.service.Revoke(ctx, lease)
}

// Txn applies a transaction, or gives no answer and applies it later.
func (c *FaultyStateClient) Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	statekv.NotifySent(ctx)
	c.mu.Lock()
	c.requestedChanges += len(then)
	c.mu.Unlock()
	r, err := c.admit(ctx)
	if err != nil {
		return 0, err
	}
	if r.refused || c.service.IsDown() || !c.takeChanges(len(then)) {
		return 0, statekv.ErrRejected
	}
	if len(then) == 0 || !c.takeDelayNext() && !r.delayed {
		return c.service.Txn(ctx, when, then)
	}
	go c.applyLater(context.WithoutCancel(ctx), c.drawTxnDelay(), when, then)
	sleep(ctx, clientTimeout)
	return 0, statekv.ErrOutcomeUnknown
}

// applyLater carries out a transaction that got no answer, unless a lease of it has ended:
// then the service refuses it.
func (c *FaultyStateClient) applyLater(
	ctx context.Context, delay time.Duration, when []statekv.Compare, then []statekv.Op,
) {
	time.Sleep(delay)
	for _, op := range then {
		if op.Lease != 0 && !c.service.leaseExists(op.Lease) {
			return
		}
	}
	if _, err := c.service.Txn(ctx, when, then); err != nil {
		return // whoever sent it does not learn of it
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appliedUnanswered++
}

// outagePoll is how often a watch looks whether the service serves again.
const outagePoll = 50 * time.Millisecond

// Watch waits for changes. A watch that is open when the service begins to refuse waits as
// in an outage: nothing comes until it is over.
func (c *FaultyStateClient) Watch(
	ctx context.Context, prefix string, since uint64, block time.Duration,
) (statekv.WatchResponse, error) {
	if err := c.serve(ctx); err != nil {
		return statekv.WatchResponse{}, err
	}
	c.mu.Lock()
	lag := c.watchLag
	c.mu.Unlock()
	deadline := time.Now().Add(block + lag + clientTimeout)
	response, err := c.service.Watch(ctx, prefix, since, block)
	if lag > 0 && len(response.Events) > 0 && !sleep(ctx, lag) {
		return statekv.WatchResponse{}, statekv.ErrOutcomeUnknown
	}
	for c.isRefused() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return statekv.WatchResponse{}, statekv.ErrOutcomeUnknown
		}
		sleep(ctx, outagePoll)
		response, err = c.service.Watch(ctx, prefix, since, 0)
	}
	return response, err
}

// isRefused reports whether the service refuses this controller, alone or with all others.
func (c *FaultyStateClient) isRefused() bool {
	c.mu.Lock()
	refused := c.refuseAll
	c.mu.Unlock()
	return refused || c.service.IsDown()
}

// maintenanceReserve is how much more has to be left than maintenance asks for.
const maintenanceReserve = 2

// Allow reports whether half of what is left lets n changes through: maintenance leaves the
// rest to others. It takes nothing.
func (c *FaultyStateClient) Allow(_ statekv.RequestClass, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changesPerSecond == 0 {
		return true
	}
	left := c.changeTokens + c.changesPerSecond*time.Since(c.tokensAt).Seconds()
	return left >= maintenanceReserve*float64(n)
}

// MaxTxnOps says that a transaction may have as many changes as the settings say.
func (c *FaultyStateClient) MaxTxnOps(ops int) int { return c.service.MaxTxnOps(ops) }

// TxnBatchSize says that a transaction need not have fewer changes than it may.
func (c *FaultyStateClient) TxnBatchSize(ops int) int { return c.service.TxnBatchSize(ops) }

// SetControllerCount divides nothing: the client has no share of a limit.
func (c *FaultyStateClient) SetControllerCount(int) {}
