// Package scheduler places the tasks of the unfinished jobs in the job shards that this
// controller holds, follows the attempts at them on the machines and records what has
// completed.
//
// A placement goes through Vela's three phases, one file each: sampling (sampling.go) asks
// controllers for machines with capacity, the decision (decision.go, package candidate)
// ranks them and gives each task its list of candidates, and the commit (commit.go, with
// MultiBind, and gang_commit.go) binds the tasks to machines at their owners. The queue
// (queue.go, queue_order.go) says whose placement is next.
//
// The Scheduler owns all state: the jobs, their tasks, the job shards and what is to be
// sent to other controllers. Its one mutex guards all of it and is never held over I/O.
// Fields that only a job's own placement uses are marked so: a job has at most one.
//
// It speaks to other controllers through peer.Caller with the messages of agentapi, quota
// and autoscaler, and to the state service through statekv. It must not import the
// implementations of other roles: clusteragent, gateway, controller.
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

// Intervals of the duties. Each runs at once at the start and then once per interval; a run
// that takes longer than that delays the next.
const (
	dispatchInterval       = 150 * time.Millisecond // where nothing wakes the queue
	shardInterval          = 300 * time.Millisecond // job shards of failed controllers
	completionInterval     = 100 * time.Millisecond // records of what has completed
	outboxInterval         = 200 * time.Millisecond // messages to owners of machines
	demandInterval         = time.Second            // demand, to the leader
	removedMachineInterval = 2 * time.Second        // tasks on machines that were removed
	shardReleaseInterval   = 5 * time.Second        // job shards without jobs
	classCleanupInterval   = 10 * time.Second       // scheduling classes without jobs
)

// Scheduler holds the jobs of its job shards. Its mutex guards all its state and is
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

	// RecoveryTimeline notes the first start of a task and the reconciliation of job
	// shards. Set it before Run.
	RecoveryTimeline *recovery.Timeline

	// background counts the goroutines that duties start: placements, writes and calls.
	background sync.WaitGroup

	mu         sync.Mutex
	jobs       map[string]*jobState
	shards     map[string]*jobShard
	ownShard   string          // the job shard that takes new jobs; "" before it is created
	otherJobs  map[string]bool // open jobs in job shards of other controllers
	deletions  map[string]recordDeletion
	placedOn   map[string]map[agentapi.TaskRef]bool // attempts by machine
	stopping   map[agentapi.TaskRef]bool            // attempts that are being stopped
	outbox     outbox
	classes    map[classKey]*schedulingClass
	placements int // at work
	counters   Counters

	dependencyGeneration  uint64 // changes of the dependency tracker that were taken up
	dependenciesCheckedAt time.Time

	wakeUp chan struct{} // wakes the queue
}

// Counters count what the paper's mechanisms did. The names of the fields are JSON keys of
// the status.
type Counters struct {
	Placements uint64 // that got as far as the commit
	Samples    uint64 // sampling requests
	Conflicts  uint64 // tasks that a candidate refused
	Fallbacks  uint64 // tasks that were tried on a further candidate
	Requeues   uint64 // placements that missed capacity
	Unanswered uint64 // tasks of commits without an answer
	Lost       uint64 // attempts that ended without completing their task
	Failed     uint64 // those of them that failed by themselves
	Suspects   uint64 // jobs that failed on every machine
	Gathered   uint64 // placements that reserved capacity
}

// New returns a scheduler without job shards. The function machineTypes returns those
// that the cloud offers, by name.
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
		settings:     settings,
		policy:       pol,
		store:        store,
		mirror:       mirror,
		session:      session,
		peers:        peers,
		machineTypes: machineTypes,
		versions:     rollout.NewVersionReader(mirror),
		dependencies: dependencies,
		jobs:         map[string]*jobState{},
		shards:       map[string]*jobShard{},
		otherJobs:    map[string]bool{},
		deletions:    map[string]recordDeletion{},
		placedOn:     map[string]map[agentapi.TaskRef]bool{},
		stopping:     map[agentapi.TaskRef]bool{},
		classes:      map[classKey]*schedulingClass{},
		wakeUp:       make(chan struct{}, 1),
	}
}

// Run places jobs until ctx ends. Placements, writes and calls that are under way then end by
// their own time limits; Wait waits for them.
func (s *Scheduler) Run(ctx context.Context, feed *changefeed.Feed) {
	s.mu.Lock()
	s.feed = feed
	s.mu.Unlock()

	var duties sync.WaitGroup
	every := func(interval time.Duration, duty func(context.Context)) {
		duties.Go(func() { runEvery(ctx, interval, duty) })
	}
	every(shardInterval, s.maintainShards)
	every(completionInterval, s.recordCompletions)
	every(outboxInterval, s.sendOutbox)
	every(demandInterval, s.reportDemand)
	every(removedMachineInterval, func(context.Context) { s.loseTasksOfRemovedMachines() })
	every(classCleanupInterval, func(context.Context) { s.dropUnusedClasses() })
	every(shardReleaseInterval, s.releaseShards)
	s.runQueue(ctx)
	duties.Wait()
}

// Wait waits, once Run has returned, until all that it started has ended. A session need not:
// epochs and the session's compare fence it.
func (s *Scheduler) Wait() { s.background.Wait() }

// runEvery runs a duty until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, duty func(context.Context)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		duty(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// HighestEpoch is the highest epoch of the job shards held: agents must know of it.
func (s *Scheduler) HighestEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var highest uint64
	for _, shard := range s.shards {
		highest = max(highest, shard.epoch)
	}
	return highest
}

// OwnJobShard returns the job shard for new jobs and its epoch.
func (s *Scheduler) OwnJobShard() (id string, epoch uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[s.ownShard]
	if shard == nil {
		return "", 0, false
	}
	return s.ownShard, shard.epoch, true
}

// Counters returns the counters.
func (s *Scheduler) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// LeaderHost returns the leader's host, or "".
func (s *Scheduler) LeaderHost() string {
	host, _ := s.leaderHost()
	return host
}

// leaderHost returns the leader's host if its session is alive.
func (s *Scheduler) leaderHost() (string, bool) {
	kv, ok := s.mirror.Get(statekv.LeaderKey)
	holder, err := statekv.HolderOf(kv)
	if !ok || err != nil || !s.session.Alive(holder) {
		return "", false
	}
	return holder.Host, true
}
