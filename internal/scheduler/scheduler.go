// Package scheduler places the tasks of the unfinished jobs in the job shards that this controller
// holds, tracks their attempts on the machines and records completed tasks.
//
// A placement has the three phases of Vela. Sampling (sampling.go) asks controllers for machines
// with capacity. The decision (decision.go, package candidate) ranks them and gives each task a
// list of candidates. The commit (commit.go with MultiBind, and gang_commit.go) binds the tasks to
// machines through the owners of the machines. The queue (queue.go, queue_order.go) selects the
// jobs that are placed next.
//
// The Scheduler owns all state: jobs, tasks, job shards and undelivered messages to other
// controllers. A single mutex guards this state and is never held over I/O. Fields that only the
// placement of a job uses say so; a job has at most one placement at a time.
//
// The package calls other controllers through peer.Caller with the messages of agentapi, quota and
// autoscaler, and the state service through statekv. It must not import the implementations of
// other roles: clusteragent, gateway, controller.
package scheduler

import (
	"context"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/dag"
	"robinstack/internal/peer"
	"robinstack/internal/policy"
	"robinstack/internal/recovery"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
)

// Intervals of the background loops. Each loop runs once at the start and then once per interval; a
// run that takes longer than its interval delays the next.
const (
	dispatchInterval       = 150 * time.Millisecond // dispatch when no wake-up arrives
	shardInterval          = 300 * time.Millisecond // acquire job shards of failed controllers
	completionInterval     = 100 * time.Millisecond // record completed tasks
	outboxInterval         = 200 * time.Millisecond // send messages to machine owners and the leader
	demandInterval         = time.Second            // report demand to the leader
	removedMachineInterval = 2 * time.Second        // mark tasks on removed machines as lost
	shardReleaseInterval   = 5 * time.Second        // release job shards without jobs
	classCleanupInterval   = 10 * time.Second       // delete scheduling classes without jobs
)

// Scheduler holds the jobs of the job shards of this controller. mu guards all of its state and is
// never held over I/O.
type Scheduler struct {
	settings     *config.Settings
	policy       *policy.Policy
	store        statekv.Store
	mirror       *statekv.Mirror
	session      *statekv.Session
	peers        peer.Caller
	machineTypes func() map[string]cloud.MachineType
	versions     *rollout.VersionReader
	dependencies *dag.Tracker
	feed         *changefeed.Feed // set by Run

	// RecoveryTimeline records the first start of a task and the reconciliation of job shards. It
	// must be set before Run.
	RecoveryTimeline *recovery.Timeline

	// background tracks the goroutines that the loops start: placements, writes and calls.
	background sync.WaitGroup

	mu               sync.Mutex
	jobs             map[string]*jobState
	shards           map[string]*jobShard
	ownShard         string          // ID of the job shard that takes new jobs; "" before it is created
	otherJobs        map[string]bool // IDs of open jobs in job shards of other controllers
	deletions        map[string]recordDeletion
	placedOn         map[string]map[agentapi.TaskRef]bool // by machine: attempts that are or may be there
	appliedEntries   agentapi.AppliedVersions
	stopping         map[agentapi.TaskRef]bool // attempts being stopped
	outbox           outbox
	classes          map[classKey]*schedulingClass
	activePlacements int // placements in progress
	counters         Counters

	dependencyGeneration  uint64 // generation of the dependency tracker at the latest check
	dependenciesCheckedAt time.Time

	wakeUp chan struct{} // signals runQueue; holds at most one pending wake-up
}

// Counters count the events of the scheduler. The field names are JSON keys of the status.
type Counters struct {
	Placements uint64 // placements that reached the commit
	Samples    uint64 // sampling, preemption and reservation queries, one per controller asked
	Conflicts  uint64 // tasks refused by a candidate
	Fallbacks  uint64 // tasks committed to a second or later candidate
	Requeues   uint64 // placements that lacked capacity
	Unanswered uint64 // tasks whose commit was not answered
	Lost       uint64 // attempts that ended without completing their task
	Failed     uint64 // attempts counted in Lost that ended because the task itself failed
	Suspects   uint64 // jobs found at fault because they failed on every machine
	Gathered   uint64 // placements that requested a backfill reservation
}

// New returns a scheduler without job shards. machineTypes returns the machine types of the cloud
// by name.
func New(
	settings *config.Settings,
	pol *policy.Policy,
	store statekv.Store,
	mirror *statekv.Mirror,
	session *statekv.Session,
	peers peer.Caller,
	machineTypes func() map[string]cloud.MachineType,
	dependencies *dag.Tracker,
) *Scheduler {
	return &Scheduler{
		settings:       settings,
		policy:         pol,
		store:          store,
		mirror:         mirror,
		session:        session,
		peers:          peers,
		machineTypes:   machineTypes,
		versions:       rollout.NewVersionReader(mirror),
		dependencies:   dependencies,
		jobs:           map[string]*jobState{},
		shards:         map[string]*jobShard{},
		otherJobs:      map[string]bool{},
		deletions:      map[string]recordDeletion{},
		placedOn:       map[string]map[agentapi.TaskRef]bool{},
		appliedEntries: agentapi.AppliedVersions{},
		stopping:       map[agentapi.TaskRef]bool{},
		classes:        map[classKey]*schedulingClass{},
		wakeUp:         make(chan struct{}, 1),
	}
}

// Run places jobs until ctx ends. Placements, writes and calls in progress may outlast Run by their
// own timeouts; Wait waits for them.
func (s *Scheduler) Run(ctx context.Context, feed *changefeed.Feed) {
	s.mu.Lock()
	s.feed = feed
	s.mu.Unlock()

	var loops sync.WaitGroup
	startLoop := func(interval time.Duration, fn func(context.Context)) {
		loops.Go(func() { runPeriodically(ctx, interval, fn) })
	}
	startLoop(shardInterval, s.maintainShards)
	startLoop(completionInterval, s.recordCompletions)
	startLoop(outboxInterval, s.sendOutbox)
	startLoop(demandInterval, s.reportDemand)
	startLoop(removedMachineInterval, func(context.Context) { s.handleRemovedMachines() })
	startLoop(classCleanupInterval, func(context.Context) { s.dropUnusedClasses() })
	startLoop(shardReleaseInterval, s.releaseShards)
	s.runQueue(ctx)
	loops.Wait()
}

// Wait waits until all goroutines that Run started have ended, after Run has returned. Ending a
// session does not require Wait: epochs and the compare on the session's key fence later writes.
func (s *Scheduler) Wait() { s.background.Wait() }

// runPeriodically calls fn once per interval, the first time at once, until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		fn(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// HighestEpoch returns the highest epoch of the job shards held. Agents must know of this epoch.
func (s *Scheduler) HighestEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var highest uint64
	for _, shard := range s.shards {
		highest = max(highest, shard.epoch)
	}
	return highest
}

// OwnJobShard returns the ID and epoch of the job shard that takes new jobs.
func (s *Scheduler) OwnJobShard() (id string, epoch uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[s.ownShard]
	if shard == nil {
		return "", 0, false
	}
	return s.ownShard, shard.epoch, true
}

// Counters returns a copy of the counters.
func (s *Scheduler) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// LeaderHost returns the leader's host, or "" if no leader has a live session.
func (s *Scheduler) LeaderHost() string {
	host, _ := s.leaderHost()
	return host
}

// leaderHost returns the leader's host, if the leader's session is alive.
func (s *Scheduler) leaderHost() (string, bool) {
	kv, ok := s.mirror.Get(statekv.LeaderKey)
	holder, err := statekv.HolderOf(kv)
	if !ok || err != nil || !s.session.Alive(holder) {
		return "", false
	}
	return holder.Host, true
}
