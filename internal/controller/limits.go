package controller

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/budget"
	"robinstack/internal/peer"
	"robinstack/internal/statekv"
)

// requestDivisionInterval is how often the request limit is divided anew among live controllers.
const requestDivisionInterval = time.Second

// How often a controller reports its write demand to the leader: often while it needs more than
// its share, so that it is lent more soon, and else so that its promise to use less goes on.
const (
	busyReportInterval = 200 * time.Millisecond
	idleReportInterval = 500 * time.Millisecond
)

// budgetedStore is a store whose changes follow a budget that all controllers share.
type budgetedStore interface{ WriteBudget() *statekv.WriteBudget }

// shareWriteBudget reports to the leader how many changes this session needs of those that the
// state service takes, and applies what is granted, until ctx ends.
func (c *Controller) shareWriteBudget(
	ctx context.Context, session *statekv.Session, peers peer.Caller, leaderHost func() string,
) {
	store, ok := c.store.(budgetedStore)
	if !ok {
		return
	}
	writes := store.WriteBudget()
	writes.SetSession(time.Now(), session.HoldsLease)
	defer writes.SetSession(time.Time{}, nil)
	for ctx.Err() == nil {
		interval := idleReportInterval
		if leader := leaderHost(); leader != "" {
			interval = reportWriteDemand(ctx, writes, session.Host, peers, leader)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// reportWriteDemand sends one report to the leader and returns when the next one is due.
func reportWriteDemand(
	ctx context.Context, writes *statekv.WriteBudget, host string, peers peer.Caller, leader string,
) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, budget.LoanDuration)
	defer cancel()
	sent := time.Now()
	report := writes.Report(host, sent)
	var grant budget.Grant
	if err := peers.Call(ctx, leader, "Steward.Budget", report, &grant); err == nil {
		writes.ApplyGrant(grant, sent)
	} else {
		slog.Debug("write budget request failed", "err", err)
	}
	if report.Promises {
		return idleReportInterval
	}
	return busyReportInterval
}

// divideRequestLimit divides the requests that the state service allows among the live
// controllers, until ctx ends: those that take over a dead one's machines need its share for it.
func (c *Controller) divideRequestLimit(ctx context.Context, session *statekv.Session) {
	ticker := time.NewTicker(requestDivisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Half of the controllers are counted in any case: those that come back do so together.
		c.store.SetControllerCount(max(len(session.AliveHosts()), (c.settings.Controllers+1)/2))
	}
}
