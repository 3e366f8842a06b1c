package emulator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// FaultyStateClient is the state service as one controller reaches it: it may be refused
// alone, answered slowly, or have transactions carried out late. Its leases end by
// themselves (StateService.ExpireLeases). It is a statekv.Store; its mutex guards the
// faults and the counters, and is never held while the service is asked.
type FaultyStateClient struct {
	service *StateService

	mu  sync.Mutex
	rng *rand.Rand

	refuseAll      bool
	refuseRenewals bool
	dropRevokes    bool          // revocations are answered and not carried out
	latency        time.Duration // of every request
	watchLag       time.Duration // by which watches show changes later

	// A delayed transaction gets no answer and is carried out later.
	delayedShare    float64       // of the transactions with changes
	delayNext       int           // transactions that are delayed, from the next on
	txnDelay        time.Duration // 0: drawn
	loseAnswersOnly bool          // delayed ones are carried out at once: only the answer is lost

	changesPerSecond float64 // that are let through, 0: any number
	changeTokens     float64 // how many were left at tokensAt
	tokensAt         time.Time

	requestedChanges  int // changes that were asked for
	unanswered        int // transactions that got no answer, carried out or not
	appliedUnanswered int // transactions that were carried out and got no answer
}

// NewFaultyStateClient returns a client without faults; seed decides which transactions are
// delayed.
func NewFaultyStateClient(s *StateService, seed uint64) *FaultyStateClient {
	return &FaultyStateClient{service: s, rng: rand.New(rand.NewPCG(seed, 1))}
}

// clientTimeout is how long a controller's client waits for an answer: that of the state
// service, and that of a worker.
const clientTimeout = 2 * time.Second

// A delayed transaction is carried out this much later, unless SetTxnDelay says how much.
const (
	minTxnDelay    = 2 * time.Second
	txnDelaySpread = 10 * time.Second
)

// SetRefuseAll has every request of this controller refused, or served again.
func (c *FaultyStateClient) SetRefuseAll(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseAll = on
}

// SetFaults sets how long each request takes, and the share of transactions with changes
// that get no answer and are carried out 2 to 12 s later, after newer ones.
func (c *FaultyStateClient) SetFaults(latency time.Duration, delayedShare float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency, c.delayedShare = latency, delayedShare
}

// SetTxnDelay sets how late those transactions are from now on.
func (c *FaultyStateClient) SetTxnDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.txnDelay = d
}

// SetDropRevokes has the requests to end a lease answered and not carried out.
func (c *FaultyStateClient) SetDropRevokes(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropRevokes = on
}

// SetLoseAnswersOnly has transactions that would be delayed carried out at once, so that
// only their answers are lost, or delayed again.
func (c *FaultyStateClient) SetLoseAnswersOnly(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseAnswersOnly = on
}

// SetRefuseRenewals has the renewals of leases refused, and nothing else.
func (c *FaultyStateClient) SetRefuseRenewals(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseRenewals = on
}

// SetWatchLag has watches show changes so much later.
func (c *FaultyStateClient) SetWatchLag(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchLag = d
}

// DelayNextTxns has the next n transactions with changes delayed.
func (c *FaultyStateClient) DelayNextTxns(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayNext = n
}

// SetChangeRate lets so many changes through in a second, with bursts of one second's
// worth, and refuses the others; 0: any number.
func (c *FaultyStateClient) SetChangeRate(perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changesPerSecond, c.changeTokens, c.tokensAt = perSecond, perSecond, time.Now()
}

// UnansweredTxns counts the transactions that got no answer, whatever became of them.
func (c *FaultyStateClient) UnansweredTxns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered
}

// AppliedUnansweredTxns counts the transactions that were carried out and got no answer.
func (c *FaultyStateClient) AppliedUnansweredTxns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.appliedUnanswered
}

// RequestedChanges counts the changes that this controller asked for, whatever became of
// them.
func (c *FaultyStateClient) RequestedChanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestedChanges
}

// takeChanges takes n changes of what the rate lets through, if there are so many.
func (c *FaultyStateClient) takeChanges(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changesPerSecond == 0 {
		return true
	}
	now := time.Now()
	c.changeTokens = min(c.changesPerSecond, c.changeTokens+c.changesPerSecond*now.Sub(c.tokensAt).Seconds())
	c.tokensAt = now
	if c.changeTokens < float64(n) {
		return false
	}
	c.changeTokens -= float64(n)
	return true
}

// takeDelayNext reports whether a transaction is one of those that DelayNextTxns names, and
// counts it if so.
func (c *FaultyStateClient) takeDelayNext() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delayNext == 0 {
		return false
	}
	c.delayNext--
	return true
}

// drawTxnDelay draws how late a transaction without an answer is carried out, and counts it.
func (c *FaultyStateClient) drawTxnDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered++
	// Always drawn: which transactions are delayed must not depend on the other settings.
	drawn := minTxnDelay + time.Duration(c.rng.Int64N(int64(txnDelaySpread)))
	switch {
	case c.loseAnswersOnly:
		return 0
	case c.txnDelay > 0:
		return c.txnDelay
	}
	return drawn
}
