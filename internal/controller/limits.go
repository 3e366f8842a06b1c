package controller

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/budget"
	"robinstack/internal/peer"
	"robinstack/internal/statekv"
)

// requestDivisionInterval is the interval at which the request rate of the state service is divided
// again among the live controllers.
const requestDivisionInterval = time.Second

// Intervals at which a controller reports its write demand to the leader.
const (
	// busyReportInterval applies while the controller cannot promise to use only a part of its
	// share. It is short so that a controller that needs more than its share soon gets a loan.
	busyReportInterval = 200 * time.Millisecond
	// idleReportInterval applies while the controller promises to use only a part of its share.
	// Each report renews the promise.
	idleReportInterval = 500 * time.Millisecond
)

// budgetedStore is a store whose writes are limited by a write budget that all controllers share.
type budgetedStore interface{ WriteBudget() *statekv.WriteBudget }

// shareWriteBudget reports the write demand of this session to the leader and applies the grants in
// the leader's answers, until ctx ends.
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

// reportWriteDemand sends one report to the leader and returns the delay until the next one.
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

// divideRequestLimit divides the request rate of the state service among the live controllers until
// ctx ends. The controllers that take over the machines of a dead controller need its share to do
// so.
func (c *Controller) divideRequestLimit(ctx context.Context, session *statekv.Session) {
	ticker := time.NewTicker(requestDivisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// At least half of the configured controllers are counted, because failed controllers tend
		// to return at the same time and then need their shares again.
		c.store.SetControllerCount(max(len(session.AliveHosts()), (c.settings.Controllers+1)/2))
	}
}
