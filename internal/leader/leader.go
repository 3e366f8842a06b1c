// Package leader is the elected role of a cluster: one controller at a time holds it. The
// leader grants quota to schedulers, divides the write budget of the state service and
// scales the cluster out and in; it never picks a machine for a task. The package runs the
// election, the net/rpc service "Steward" and the loops that carry out what packages quota,
// budget and autoscaler decide.
//
// Its state is that of one leader epoch: the quota ledger, the reservations, the write
// budget's allocator and the autoscaler's view of the machines, all guarded by the mutex of
// Leader, which is never held over a call. A controller that does not hold the role refuses
// all that would spend something.
//
// Packages controller and gateway import it; it imports what decides (quota, budget,
// autoscaler) and what it calls (cloud, peer, statekv, changefeed).
package leader

import (
	"context"
	"maps"
	"sync"
	"time"

	"robinstack/internal/autoscaler"
	"robinstack/internal/budget"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/peer"
	"robinstack/internal/policy"
	"robinstack/internal/quota"
	"robinstack/internal/statekv"
)

// Leader is the role on this controller, whether it holds it or not.
type Leader struct {
	settings  *config.Settings
	policy    *policy.Policy
	mirror    *statekv.Mirror
	session   *statekv.Session
	peers     peer.Caller
	cloud     cloud.API
	catalogue *cloud.Catalogue
	feed      *changefeed.Feed

	mu           sync.Mutex
	epoch        uint64          // 0: not leader
	confirmed    map[string]bool // machines that have shown all that earlier leaders granted
	reconciled   bool            // all machines have
	ledger       *quota.Ledger
	reservations *quota.Reservations
	demand       *autoscaler.DemandReports // of all epochs: schedulers report to whoever leads

	// Of this epoch alone.
	fleet         *autoscaler.Fleet
	recomputedAt  time.Time        // when the ledger was added up anew last
	loggedPrices  map[string]price // by type
	budget        *budget.Allocator
	budgetStarted time.Time

	// unacknowledged has deleted machines whose owners may not know of their end.
	unacknowledged chan []string
}

// New returns a leader that does not hold the role yet.
func New(
	settings *config.Settings, pol *policy.Policy, mirror *statekv.Mirror, session *statekv.Session,
	peers peer.Caller, api cloud.API, catalogue *cloud.Catalogue,
) *Leader {
	return &Leader{
		settings: settings, policy: pol, mirror: mirror, session: session,
		peers: peers, cloud: api, catalogue: catalogue,
		ledger: quota.NewLedger(), reservations: quota.NewReservations(),
		demand: autoscaler.NewDemandReports(),
		fleet:  autoscaler.NewFleet(settings, pol), loggedPrices: map[string]price{},
		unacknowledged: make(chan []string),
	}
}

// Epoch is the leader epoch if this controller is leader, or 0.
func (l *Leader) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// TeamUsage is what each team holds or is granted, for the status page, and whether this
// controller is leader, without which that is out of date.
func (l *Leader) TeamUsage() (usage map[string]job.Resources, isLeader bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.ledger.Usage()), l.epoch != 0
}

// Run campaigns for the role and does its duties until ctx ends.
func (l *Leader) Run(ctx context.Context, feed *changefeed.Feed) {
	l.mu.Lock()
	l.feed = feed
	l.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { l.runCloudReads(ctx) })
	loops.Go(func() { l.runScaling(ctx) })
	loops.Go(func() { l.runDeletionReports(ctx) })
	l.runElection(ctx)
	loops.Wait()
}
