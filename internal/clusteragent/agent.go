// Package clusteragent is the Cluster Agent of the Vela paper: it looks after the machines
// that a controller owns. It answers sampling requests, commits tasks with
// reserve-lock-check, passes commands to the workers and keeps track of what their heartbeats
// show; it takes over machine shards whose owner's session has ended, and evens them out.
//
// It owns the state of those machines (package machine), the shards held, claims under way,
// and what it remembers of cancelled jobs and deleted machines. One mutex, Agent.mu, guards
// all of it and is never held over I/O. State of one concern is a type of its own in the file
// of that concern: shardHoldings, claimQueue, changeLog, jobLookups, cancellations and others;
// their methods expect the mutex to be held.
//
// It may import the state service's client and mirror, the keys of ownership, the messages of
// agents and workers, jobs and settings; not the schedulers, leaders and gateways that use it.
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

// Agent owns machines. Its mutex guards all its state and is never held over I/O.
type Agent struct {
	settings *config.Settings
	store    statekv.Store
	mirror   *statekv.Mirror
	session  *statekv.Session
	workers  worker.Commander
	types    func() map[string]cloud.MachineType
	zones    zoneRules

	// LastEntry is what an earlier owner showed of a machine; nil: nothing is known. Set it
	// before Run.
	LastEntry func(machine string) agentapi.MachineEntry

	// AcknowledgedUntil is Feed.AcknowledgedUntil of package changefeed; nil: nobody can
	// tell. Set it before Run.
	AcknowledgedUntil func(rev uint64) time.Time

	senders sync.WaitGroup // goroutines that send commands to machines

	mu          sync.Mutex
	ctx         context.Context     // of Run
	startSender func(*ownedMachine) // has a machine's commands sent while Run goes on; nil: it does not
	machines    map[string]*ownedMachine
	changes     changeLog

	shards     shardHoldings
	sightings  shardSightings
	strays     strayVisits
	zoneSizes  map[string]int // machines of the fleet, by zone
	redirects  redirects
	claims     claimQueue
	tombstones recentNames // machines whose keys were removed lately

	cancellations cancellations
	lookups       jobLookups
	resolved      resolvedAttempts

	capacity   *capacityIndex
	contention machine.FetchContention
	fairShare  fairShare

	malformed           map[string]bool // machines whose heartbeats were rejected, to log it once
	heartbeatsSolicited bool            // in the present outage of the state service
	inspectionTurn      int             // which of inspectionTurns parts of the machines is inspected
	counters            Counters
}

// Counters count what the paper's mechanisms did.
type Counters struct {
	Samples, Drawn, Exhausted, Commits, Conflicts uint64
}

// New returns an agent without machines.
func New(
	settings *config.Settings, store statekv.Store, mirror *statekv.Mirror, member *statekv.Session,
	workers worker.Commander, types func() map[string]cloud.MachineType,
) *Agent {
	return &Agent{
		settings: settings, store: store, mirror: mirror, session: member, workers: workers, types: types,
		zones:         zoneRules{settings},
		machines:      map[string]*ownedMachine{},
		changes:       newChangeLog(),
		shards:        newShardHoldings(),
		sightings:     shardSightings{},
		strays:        strayVisits{},
		redirects:     redirects{},
		claims:        newClaimQueue(),
		tombstones:    newRecentNames(tombstoneTime, maxTombstones),
		cancellations: newCancellations(),
		lookups:       newJobLookups(),
		resolved:      resolvedAttempts{},
		capacity:      newCapacityIndex(),
		malformed:     map[string]bool{},
	}
}

// inspectEvery is how often the agent looks for what time brings.
const inspectEvery = 250 * time.Millisecond

// Run looks after the machines until ctx ends. Commands that are on their way then end by
// their own time limits; Wait waits for them.
func (a *Agent) Run(ctx context.Context) {
	var duties sync.WaitGroup
	a.mu.Lock()
	a.ctx = ctx
	a.startSender = func(m *ownedMachine) { a.senders.Go(func() { a.sendCommands(ctx, m) }) }
	a.mu.Unlock()
	duties.Go(func() { a.runClaims(ctx) })
	duties.Go(func() { a.runLookups(ctx) })
	duties.Go(func() { a.runKeyRemoval(ctx) })
	duties.Go(func() { a.runShardOwnership(ctx) })
	tick := time.NewTicker(inspectEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		a.inspect(time.Now())
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	duties.Wait()
	a.mu.Lock()
	a.startSender = nil
	a.mu.Unlock()
}

// Wait waits, once Run has returned, until the last of its commands has ended. A session need
// not: the token and its ended lease fence them.
func (a *Agent) Wait() { a.senders.Wait() }

func (a *Agent) runContext() context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil {
		return context.Background()
	}
	return a.ctx
}

// Snapshot returns the agent's counters and machines.
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
