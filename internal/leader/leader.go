// Package leader implements the elected leader of a cluster: one controller at a time holds this
// role. The leader grants quota to schedulers, divides the write budget of the state service, and
// scales the cluster out and in. It never places tasks. The package runs the election, the net/rpc
// service "Steward", and the loops that execute the decisions of packages quota, budget and
// autoscaler.
//
// The state of the leader is the quota ledger, the reservations, the demand reports, the allocator
// of the write budget and the autoscaler's view of the machines. The mutex of Leader guards it and
// is never held during a call. A controller that is not the leader refuses requests for quota
// grants and write budget.
//
// Packages controller and gateway import this package. It imports packages that decide (quota,
// budget, autoscaler) and packages that it calls (cloud, peer, statekv, changefeed).
package leader

import (
	"context"
	"maps"
	"sync"
	"time"

	"robinstack/internal/agentapi"
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

// Leader is a controller's part in the leader role, whether the controller holds the role or not.
type Leader struct {
	settings  *config.Settings
	policy    *policy.Policy
	mirror    *statekv.Mirror
	session   *statekv.Session
	peers     peer.Caller
	cloud     cloud.API
	catalogue *cloud.Catalogue
	feed      *changefeed.Feed

	mu             sync.Mutex
	epoch          uint64          // 0: not the leader
	confirmed      map[string]bool // machines whose entries show everything that earlier leaders granted
	reconciled     bool            // whether all machines are confirmed
	ledger         *quota.Ledger
	appliedEntries agentapi.AppliedVersions // entries that the ledger includes
	reservations   *quota.Reservations
	demand         *autoscaler.DemandReports // kept across epochs: reports can arrive before an epoch starts

	// The fields below belong to one epoch.
	fleet         *autoscaler.Fleet
	recomputedAt  time.Time        // when the ledger was last recomputed
	loggedPrices  map[string]price // by machine type
	budget        *budget.Allocator
	budgetStarted time.Time

	// deletionReports passes on the names of deleted machines whose owners may not know of the
	// deletion.
	deletionReports chan []string
}

// New returns a Leader that does not hold the role.
func New(
	settings *config.Settings, pol *policy.Policy, mirror *statekv.Mirror, session *statekv.Session,
	peers peer.Caller, api cloud.API, catalogue *cloud.Catalogue,
) *Leader {
	return &Leader{
		settings: settings, policy: pol, mirror: mirror, session: session,
		peers: peers, cloud: api, catalogue: catalogue,
		ledger: quota.NewLedger(), appliedEntries: agentapi.AppliedVersions{}, reservations: quota.NewReservations(),
		demand: autoscaler.NewDemandReports(),
		fleet:  autoscaler.NewFleet(settings, pol), loggedPrices: map[string]price{},
		deletionReports: make(chan []string),
	}
}

// Epoch returns the leader epoch, or 0 if this controller is not the leader.
func (l *Leader) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// TeamUsage returns the resources that each team holds or is granted, for the status page. isLeader
// reports whether this controller is the leader; otherwise the usage is out of date.
func (l *Leader) TeamUsage() (usage map[string]job.Resources, isLeader bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.ledger.Usage()), l.epoch != 0
}

// Run campaigns for the leader role and, while this controller holds it, performs the leader's
// duties, until ctx ends.
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
