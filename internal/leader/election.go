package leader

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"robinstack/internal/autoscaler"
	"robinstack/internal/budget"
	"robinstack/internal/statekv"
)

const (
	// campaignInterval is how often the leader's key is looked at: by the mirror, so this
	// costs no request.
	campaignInterval = 300 * time.Millisecond
	// acquireTimeout is how long an attempt to take the role may last, until the mirror
	// shows it.
	acquireTimeout = 3 * time.Second
)

// runElection takes the role when it is free, until ctx ends.
func (l *Leader) runElection(ctx context.Context) {
	tick := time.NewTicker(campaignInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		l.campaign(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// campaign goes by the leader's key: it takes the role if that is free, follows its epoch if
// this session holds it, and gives way to another that lives.
func (l *Leader) campaign(ctx context.Context) {
	kv, ok := l.mirror.Get(statekv.LeaderKey)
	holder, err := statekv.HolderOf(kv)
	var laterSchema *statekv.SchemaError
	if ok && errors.As(err, &laterSchema) {
		l.mirror.ReportUndecodable(kv.Key, err)
		return
	}
	switch {
	case ok && holder == l.session.Holder:
		// Where our acquisition had no answer and was carried out all the same, the key
		// says that this session leads, and nobody else will while it goes on.
		if l.Epoch() != kv.Rev {
			l.startEpoch(kv.Rev)
		}
	case ok && l.session.Alive(holder):
		l.resign()
		return
	case !l.session.HoldsLease():
		return
	default:
		epoch, err := l.acquire(ctx, kv.Rev, holder)
		if err != nil {
			return // the next campaign sees what became of it
		}
		l.startEpoch(epoch)
	}
	l.reconcile()
}

func (l *Leader) resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = 0
}

// acquire writes the leader's key in place of a holder whose session is over, and returns
// the new epoch once the mirror shows it.
func (l *Leader) acquire(ctx context.Context, expectedRev uint64, previous statekv.Holder) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	epoch, err := l.session.Acquire(ctx, statekv.Role{
		Key: statekv.LeaderKey, ExpectedRev: expectedRev, PreviousHolder: previous, Value: l.session.Holder,
	})
	if err != nil {
		return 0, err
	}
	return epoch, l.mirror.Wait(ctx, epoch)
}

// startEpoch takes up the role under its key's revision, with nothing of an earlier epoch
// but what is on the machines.
func (l *Leader) startEpoch(epoch uint64) {
	l.mu.Lock()
	l.epoch, l.reconciled, l.confirmed = epoch, false, map[string]bool{}
	l.ledger.ClearGrants()
	l.fleet = autoscaler.NewFleet(l.settings, l.policy)
	l.recomputedAt, l.loggedPrices = time.Time{}, map[string]price{}
	l.budget = budget.NewAllocator(epoch, l.settings.StateLimits.SharedWriteBudget(), l.settings.Hosts())
	l.budgetStarted = time.Now()
	l.mu.Unlock()
	l.feed.PollNow()
	slog.Info("leader elected", "epoch", epoch)
}
