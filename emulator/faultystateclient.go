package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// FaultyStateClient is one controller's access to a StateService, with injected faults: requests of
// this controller alone can be rejected or slowed down, and transactions can be delayed. Unlike the
// leases of a StateService that is called directly, its leases expire unless they are renewed (see
// StateService.ExpireLeases). It implements statekv.Store. mu guards the fields below it and is not
// held during calls to the service.
type FaultyStateClient struct {
	service *StateService
	ctx     context.Context // of copies of requests
	copies  *LateCopies     // nil: no request arrives twice

	mu  sync.Mutex
	rng *rand.Rand

	rejectAll      bool
	rejectRenewals bool
	dropRevokes    bool          // revocations are acknowledged but not carried out
	latency        time.Duration // of each request
	watchLag       time.Duration // additional delay of the events that watches return

	// A delayed transaction gets no response and is applied later.
	delayProbability  float64       // for each transaction with changes, from 0 to 1
	txnsToDelay       int           // number of upcoming transactions with changes to delay
	fixedTxnDelay     time.Duration // 0: a random delay for each transaction
	loseResponsesOnly bool          // apply them at once, so that only the response is lost

	changesPerSecond float64 // token bucket rate for changes; 0: unlimited
	changeTokens     float64 // tokens in the bucket at tokensUpdatedAt
	tokensUpdatedAt  time.Time

	requestedChanges      int // changes in all transactions sent, whatever their outcome
	unansweredTxns        int // transactions selected for a delay
	appliedUnansweredTxns int // unanswered transactions that have been applied
}

// NewFaultyStateClient returns a client without faults. seed determines which transactions are
// delayed and for how long.
func NewFaultyStateClient(s *StateService, seed uint64) *FaultyStateClient {
	return &FaultyStateClient{service: s, rng: rand.New(rand.NewPCG(seed, 1))}
}

// SetLateCopies sets which requests arrive once more, until ctx ends. It must be called before the
// first request.
func (c *FaultyStateClient) SetLateCopies(ctx context.Context, copies *LateCopies) {
	c.ctx, c.copies = ctx, copies
}

// clientTimeout is the time after which a controller's request to the state service or to a worker
// times out.
const clientTimeout = 2 * time.Second

// A delayed transaction is applied after a random time between minTxnDelay and minTxnDelay +
// txnDelaySpread, unless SetTxnDelay sets a fixed one.
const (
	minTxnDelay    = 2 * time.Second
	txnDelaySpread = 10 * time.Second
)

// SetRejectAll sets whether every request of this controller is rejected.
func (c *FaultyStateClient) SetRejectAll(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejectAll = on
}

// SetLatencyAndTxnDelays sets the latency of each request and the probability with which a
// transaction with changes is delayed: it gets no response and is applied 2 to 12 s later, possibly
// after newer transactions.
func (c *FaultyStateClient) SetLatencyAndTxnDelays(latency time.Duration, delayProbability float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency, c.delayProbability = latency, delayProbability
}

// SetTxnDelay sets the delay of delayed transactions; 0: 2 to 12 s, at random.
func (c *FaultyStateClient) SetTxnDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fixedTxnDelay = d
}

// SetDropRevokes sets whether revocations of leases are acknowledged without being carried out.
func (c *FaultyStateClient) SetDropRevokes(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropRevokes = on
}

// SetLoseResponsesOnly sets whether a transaction selected for a delay is applied at once, so that
// only its response is lost.
func (c *FaultyStateClient) SetLoseResponsesOnly(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseResponsesOnly = on
}

// SetRejectRenewals sets whether lease renewals are rejected. Other requests are not affected.
func (c *FaultyStateClient) SetRejectRenewals(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejectRenewals = on
}

// SetWatchLag sets the additional delay of the events that watches return.
func (c *FaultyStateClient) SetWatchLag(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchLag = d
}

// DelayNextTxns delays the next n transactions with changes, whatever the probability of a delay.
func (c *FaultyStateClient) DelayNextTxns(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.txnsToDelay = n
}

// SetChangeRate limits this controller to perSecond changes per second (0: unlimited), with bursts
// of one second's worth. Transactions over the limit are rejected.
func (c *FaultyStateClient) SetChangeRate(perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changesPerSecond, c.changeTokens, c.tokensUpdatedAt = perSecond, perSecond, time.Now()
}

// UnansweredTxns returns the number of transactions that were selected for a delay and therefore got
// no response, applied or not.
func (c *FaultyStateClient) UnansweredTxns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unansweredTxns
}

// AppliedUnansweredTxns returns how many of the transactions that UnansweredTxns counts have been
// applied.
func (c *FaultyStateClient) AppliedUnansweredTxns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.appliedUnansweredTxns
}

// RequestedChanges returns the number of changes in all transactions that this controller sent,
// whatever their outcome.
func (c *FaultyStateClient) RequestedChanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestedChanges
}

// consumeChangeTokens removes n tokens from the token bucket for changes. It reports whether there
// were enough; if not, it removes none.
func (c *FaultyStateClient) consumeChangeTokens(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changesPerSecond == 0 {
		return true
	}
	now := time.Now()
	c.changeTokens = min(c.changesPerSecond, c.changeTokens+c.changesPerSecond*now.Sub(c.tokensUpdatedAt).Seconds())
	c.tokensUpdatedAt = now
	if c.changeTokens < float64(n) {
		return false
	}
	c.changeTokens -= float64(n)
	return true
}

// takePendingDelay reports whether DelayNextTxns selected the current transaction for a delay. If
// so, it decrements the number of transactions to delay.
func (c *FaultyStateClient) takePendingDelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.txnsToDelay == 0 {
		return false
	}
	c.txnsToDelay--
	return true
}

// drawTxnDelay returns the delay after which an unanswered transaction is applied, and counts the
// transaction as unanswered.
func (c *FaultyStateClient) drawTxnDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredTxns++
	// The random delay is drawn even if it is not used, so that the other settings do not change
	// which transactions a seed delays.
	drawn := minTxnDelay + time.Duration(c.rng.Int64N(int64(txnDelaySpread)))
	switch {
	case c.loseResponsesOnly:
		return 0
	case c.fixedTxnDelay > 0:
		return c.fixedTxnDelay
	}
	return drawn
}
