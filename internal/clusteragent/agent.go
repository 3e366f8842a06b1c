// Package clusteragent implements the Cluster Agent of the Vela paper, which manages the machines
// that a controller owns. It answers sampling requests, commits tasks with reserve-lock-check,
// sends commands to the workers and tracks the state that their heartbeats report. It takes over
// machine shards whose owner's session has ended and rebalances machine shards between controllers.
//
// The package owns the state of those machines (package machine), the machine shards held, pending
// claims, and the records of cancelled jobs and removed machines. A single mutex, Agent.mu, guards
// all of it and is never held during I/O. The state of each concern has a type and a file of its
// own: shardOwnership, claimQueue, changeLog, jobLookups, cancellations and others. The caller of
// their methods must hold Agent.mu.
//
// The package may import the state service's client and mirror, the ownership keys, the messages of
// agents and workers, jobs and settings; it must not import the schedulers, leaders and gateways
// that use it.
package clusteragent

import (
	"context"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/machine"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// Agent manages the machines that this controller owns. mu guards its state and is never held
// during I/O.
type Agent struct {
	settings *config.Settings
	store    statekv.Store
	mirror   *statekv.Mirror
	session  *statekv.Session
	workers  worker.Commander
	types    func() map[string]cloud.MachineType
	zones    zoneRules

	// LastEntry returns the last entry that an earlier owner published of a machine; nil if no such
	// entries are available. It must be set before Run.
	LastEntry func(machine string) agentapi.MachineEntry

	// AcknowledgedUntil is Feed.AcknowledgedUntil of package changefeed; nil if the
	// acknowledgements of other controllers are not available. It must be set before Run.
	AcknowledgedUntil func(rev uint64) time.Time

	senders sync.WaitGroup // goroutines that send commands to workers

	mu          sync.Mutex
	ctx         context.Context     // context of Run; nil before Run is called
	startSender func(*ownedMachine) // starts the command sender of a machine; nil unless Run is active
	machines    map[string]*ownedMachine
	changes     changeLog

	shards         shardOwnership
	ownershipTimes shardOwnershipTimes
	misdirected    misdirectedHeartbeats
	zoneSizes      map[string]int // number of machines in the cluster by zone
	redirects      redirects
	claims         claimQueue
	tombstones     recentNames // machines whose keys were removed recently

	cancellations cancellations
	lookups       jobLookups
	decided       decidedAttempts

	capacity   *capacityIndex
	contention machine.FetchContention
	fairShare  fairShare

	malformed           map[string]bool // machines with a rejected heartbeat, to log each one once
	heartbeatsSolicited bool            // heartbeats have been solicited in the current outage of the state service
	inspectionBatch     int             // batch of machines that the current inspection covers, below inspectionBatches
	counters            Counters
}

// Counters counts samples, drawn machines, exhausted samples, commits and conflicts, and what became of
// commands to workers.
type Counters struct {
	Samples, Drawn, Exhausted, Commits, Conflicts uint64

	Forgets          uint64 // commands to forget an attempt, repeated ones included
	TokenRaises      uint64 // answers to heartbeats that raised the fencing token
	RejectedCommands uint64 // messages with commands that a worker rejected for their token or epoch
	RepeatedCommits  uint64 // attempts in commits that had been decided before
}

// New returns an agent that owns no machines.
func New(
	settings *config.Settings, store statekv.Store, mirror *statekv.Mirror, session *statekv.Session,
	workers worker.Commander, types func() map[string]cloud.MachineType,
) *Agent {
	return &Agent{
		settings: settings, store: store, mirror: mirror, session: session, workers: workers, types: types,
		zones:          zoneRules{settings},
		machines:       map[string]*ownedMachine{},
		changes:        newChangeLog(),
		shards:         newShardOwnership(),
		ownershipTimes: shardOwnershipTimes{},
		misdirected:    misdirectedHeartbeats{},
		redirects:      redirects{},
		claims:         newClaimQueue(),
		tombstones:     newRecentNames(tombstoneRetention, maxTombstones),
		cancellations:  newCancellations(),
		lookups:        newJobLookups(),
		decided:        newDecidedAttempts(time.Now()),
		capacity:       newCapacityIndex(),
		malformed:      map[string]bool{},
	}
}

// inspectionInterval is the time between two inspections of the machines.
const inspectionInterval = 250 * time.Millisecond

// Run manages the machines until ctx ends. Commands that are in flight at that point end by their
// own timeouts; Wait waits for them.
func (a *Agent) Run(ctx context.Context) {
	var loops sync.WaitGroup
	a.mu.Lock()
	a.ctx = ctx
	a.startSender = func(m *ownedMachine) { a.senders.Go(func() { a.sendCommands(ctx, m) }) }
	a.mu.Unlock()
	loops.Go(func() { a.runClaims(ctx) })
	loops.Go(func() { a.runLookups(ctx) })
	loops.Go(func() { a.runKeyRemoval(ctx) })
	loops.Go(func() { a.runShardOwnership(ctx) })
	tick := time.NewTicker(inspectionInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		a.inspect(time.Now())
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	loops.Wait()
	a.mu.Lock()
	a.startSender = nil
	a.mu.Unlock()
}

// Wait waits until the last command has ended; call it after Run has returned. Ending the session
// need not wait for this: the fencing token and the ended lease fence commands that are still in
// flight.
func (a *Agent) Wait() { a.senders.Wait() }

func (a *Agent) runContext() context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil {
		return context.Background()
	}
	return a.ctx
}

// Snapshot returns the agent's counters and the entries of its machines.
func (a *Agent) Snapshot() (Counters, []agentapi.MachineEntry) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var entries []agentapi.MachineEntry
	for _, m := range a.machines {
		if !m.Deregistered() {
			entries = append(entries, m.entry(a.session.Host, now))
		}
	}
	return a.counters, entries
}

// Counters returns the agent's counters.
func (a *Agent) Counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counters
}
