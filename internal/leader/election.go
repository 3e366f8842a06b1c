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
	// campaignInterval is the interval between two checks of the leader key. Checks read the local
	// mirror and make no request.
	campaignInterval = 300 * time.Millisecond
	// acquireTimeout bounds an attempt to become leader, including the wait until the mirror shows
	// the acquisition.
	acquireTimeout = 3 * time.Second
)

// runElection campaigns for the leader role until ctx ends.
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

// campaign checks the leader key. It acquires the key if there is no live leader, starts the key's
// epoch if this session holds it, and resigns if another live session does. It leaves a key with an
// unsupported schema alone.
func (l *Leader) campaign(ctx context.Context) {
	kv, ok := l.mirror.Get(statekv.LeaderKey)
	holder, err := statekv.HolderOf(kv)
	var schemaError *statekv.SchemaError
	if ok && errors.As(err, &schemaError) {
		l.mirror.ReportUndecodable(kv.Key, err)
		return
	}
	switch {
	case ok && holder == l.session.Holder:
		// If an acquisition by this session had no answer but was executed, the key names this
		// session as the leader. No other controller becomes leader while this session is alive.
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
			return // the next campaign sees the outcome
		}
		l.startEpoch(epoch)
	}
	l.reconcileLedger()
}

func (l *Leader) resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = 0
}

// acquire replaces a leader key whose holder's session has ended, and returns the new epoch once
// the mirror shows it.
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

// startEpoch takes the leader role with the given epoch, which is the revision of the leader key.
// Of the state of earlier epochs it keeps the tasks on machines in the ledger, the reservations and
// the demand reports.
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
