package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"robinstack/internal/statekv"
)

// FaultyStateClient is the state service as one controller reaches it: it may be refused alone, answered
// slowly, or have transactions carried out late. Its leases end by themselves
// (State.Watch).
type FaultyStateClient struct {
	*StateService

	mu           sync.Mutex
	rng          *rand.Rand
	refused      bool
	slow         time.Duration
	late         float64
	lateBy       time.Duration // 0: drawn
	atOnce       bool          // what is late is carried out at once: only its answer is lost
	lost         int           // transactions that were carried out and got no answer
	held         int           // transactions that got no answer, carried out or not
	sent         int           // changes that were asked for
	noRenewals   bool
	lag          time.Duration // by which watches show changes later
	lateNext     int           // transactions with changes that are late, from the next on
	perSecond    float64       // changes that are let through, 0: any number
	left         float64       // of them, at leftAt
	leftAt       time.Time
	dropsRevokes bool
}

// NewFaultyStateClient returns a port that serves; seed decides which transactions are late.
func NewFaultyStateClient(s *StateService, seed uint64) *FaultyStateClient {
	return &FaultyStateClient{StateService: s, rng: rand.New(rand.NewPCG(seed, 1))}
}

// patience is how long a controller's client waits for an answer.
const patience = 2 * time.Second

// SetRefuseAll has every request of this controller refused, or served again.
func (p *FaultyStateClient) SetRefuseAll(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = on
}

// SetFaults sets how long each request takes, and the share of transactions that get no
// answer and are carried out 2 to 12 s later, after newer ones.
func (p *FaultyStateClient) SetFaults(slow time.Duration, late float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow, p.late = slow, late
}

// SetTxnDelay sets how late those transactions are from now on, and whether the words to end a
// lease are lost with them.
func (p *FaultyStateClient) SetTxnDelay(d time.Duration, dropsRevokes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateBy, p.dropsRevokes = d, dropsRevokes
}

// SetLoseAnswersOnly has transactions that would be late carried out at once, or late again: only
// their answers are lost.
func (p *FaultyStateClient) SetLoseAnswersOnly(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.atOnce = on
}

// UnansweredTxns counts the transactions that got no answer, whatever became of them.
func (p *FaultyStateClient) UnansweredTxns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// RequestedChanges counts the changes that this controller asked for, whatever became of them.
func (p *FaultyStateClient) RequestedChanges() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent
}

// AppliedUnansweredTxns counts the transactions that were carried out and got no answer.
func (p *FaultyStateClient) AppliedUnansweredTxns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// SetRefuseRenewals has the renewals of leases refused, and nothing else.
func (p *FaultyStateClient) SetRefuseRenewals(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noRenewals = on
}

// SetWatchLag has watches show changes so much later.
func (p *FaultyStateClient) SetWatchLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = d
}

// DelayNextTxns has the next n transactions be late.
func (p *FaultyStateClient) DelayNextTxns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateNext = n
}

// SetChangeRate lets so many changes through in a second, with bursts of one second's worth, and
// refuses the others.
func (p *FaultyStateClient) SetChangeRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perSecond, p.left, p.leftAt = perSecond, perSecond, time.Now()
}

// take takes n changes of what the limit lets through, if there are so many.
func (p *FaultyStateClient) take(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.perSecond == 0 {
		return true
	}
	now := time.Now()
	p.left = min(p.perSecond, p.left+p.perSecond*now.Sub(p.leftAt).Seconds())
	p.leftAt = now
	if p.left < float64(n) {
		return false
	}
	p.left -= float64(n)
	return true
}

// Allow reports whether half of what is left lets n changes through: chores leave the rest.
func (p *FaultyStateClient) Allow(_ statekv.RequestClass, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.perSecond == 0 || p.left+p.perSecond*time.Since(p.leftAt).Seconds() >= 2*float64(n)
}

// SetControllerCount divides nothing: a port has no limits.
func (p *FaultyStateClient) SetControllerCount(int) {}

// turn waits as long as a request takes, and says whether it is refused or late.
func (p *FaultyStateClient) turn(ctx context.Context) (refused, late bool, err error) {
	p.mu.Lock()
	slow, refused, late := p.slow, p.refused, p.late > 0 && p.rng.Float64() < p.late
	p.mu.Unlock()
	if slow > 0 {
		wait := time.NewTimer(min(slow, patience))
		defer wait.Stop()
		select {
		case <-ctx.Done():
			return false, false, statekv.ErrOutcomeUnknown
		case <-wait.C:
		}
		if slow >= patience {
			return false, false, statekv.ErrOutcomeUnknown
		}
	}
	return refused, late, nil
}

func (p *FaultyStateClient) let(ctx context.Context) error {
	refused, _, err := p.turn(ctx)
	if err == nil && refused {
		err = statekv.ErrRejected
	}
	return err
}

// Get, List, Grant, Renew and Revoke are the service's.
func (p *FaultyStateClient) Get(ctx context.Context, key string) (statekv.KV, error) {
	if err := p.let(ctx); err != nil {
		return statekv.KV{}, err
	}
	return p.StateService.Get(ctx, key)
}

func (p *FaultyStateClient) List(ctx context.Context, prefix, after string) (statekv.Page, error) {
	if err := p.let(ctx); err != nil {
		return statekv.Page{}, err
	}
	return p.StateService.List(ctx, prefix, after)
}

func (p *FaultyStateClient) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := p.let(ctx); err != nil {
		return 0, err
	}
	id, err := p.StateService.Grant(ctx, ttl)
	if err == nil {
		p.StateService.mu.Lock()
		p.StateService.ttls[id] = ttl
		p.StateService.mu.Unlock()
	}
	return id, err
}

func (p *FaultyStateClient) Renew(ctx context.Context, lease uint64) error {
	if err := p.let(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	not := p.noRenewals
	p.mu.Unlock()
	if not {
		return statekv.ErrRejected
	}
	err := p.StateService.Renew(ctx, lease)
	if err == nil {
		p.StateService.mu.Lock()
		p.StateService.leases[lease] = time.Now().Add(p.StateService.ttls[lease])
		p.StateService.mu.Unlock()
	}
	return err
}

func (p *FaultyStateClient) Revoke(ctx context.Context, lease uint64) error {
	p.mu.Lock()
	lost := p.dropsRevokes
	p.mu.Unlock()
	if err := p.let(ctx); err != nil || lost {
		return err
	}
	return p.StateService.Revoke(ctx, lease)
}

// Txn applies a transaction, or gives no answer and applies it later.
func (p *FaultyStateClient) Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	statekv.NotifySent(ctx)
	p.mu.Lock()
	p.sent += len(then)
	p.mu.Unlock()
	refused, late, err := p.turn(ctx)
	switch {
	case err != nil:
		return 0, err
	case refused || p.StateService.IsDown() || !p.take(len(then)):
		return 0, statekv.ErrRejected
	case len(then) == 0 || !p.isNextLate() && !late:
		return p.StateService.Txn(ctx, when, then)
	}
	p.mu.Lock()
	after := 2*time.Second + time.Duration(p.rng.Int64N(int64(10*time.Second)))
	if p.lateBy > 0 {
		after = p.lateBy
	}
	if p.atOnce {
		after = 0
	}
	p.held++
	p.mu.Unlock()
	go func() {
		time.Sleep(after)
		for _, op := range then {
			if op.Lease != 0 && !p.StateService.lives(op.Lease) {
				return // the service refuses it
			}
		}
		if _, err := p.StateService.Txn(context.Background(), when, then); err == nil {
			p.mu.Lock()
			p.lost++
			p.mu.Unlock()
		}
	}()
	wait := time.NewTimer(patience)
	defer wait.Stop()
	select {
	case <-ctx.Done():
	case <-wait.C:
	}
	return 0, statekv.ErrOutcomeUnknown
}

func (p *FaultyStateClient) isNextLate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lateNext == 0 {
		return false
	}
	p.lateNext--
	return true
}

// Watch waits for changes. A watch that is open when the service begins to refuse waits
// as in an outage: nothing comes until it is over.
func (p *FaultyStateClient) Watch(ctx context.Context, prefix string, since uint64, block time.Duration) (statekv.WatchResponse, error) {
	if err := p.let(ctx); err != nil {
		return statekv.WatchResponse{}, err
	}
	p.mu.Lock()
	lag := p.lag
	p.mu.Unlock()
	until := time.Now().Add(block + lag + patience)
	n, err := p.StateService.Watch(ctx, prefix, since, block)
	if lag > 0 && len(n.Events) > 0 && !sleep(ctx, lag) {
		return statekv.WatchResponse{}, statekv.ErrOutcomeUnknown
	}
	for {
		p.mu.Lock()
		refused := p.refused
		p.mu.Unlock()
		if !refused && !p.StateService.IsDown() {
			return n, err
		}
		if time.Now().After(until) || ctx.Err() != nil {
			return statekv.WatchResponse{}, statekv.ErrOutcomeUnknown
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
		n, err = p.StateService.Watch(ctx, prefix, since, 0)
	}
}

var _ statekv.Store = (*FaultyStateClient)(nil)
