package scheduler

import (
	"context"
	"fmt"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

const (
	// shardWriteTimeout bounds the creation or acquisition of job shards, over all its writes.
	shardWriteTimeout = 3 * time.Second

	// shardReleaseTimeout bounds the removal of empty job shards' keys, including the wait until
	// the mirror shows the removal.
	shardReleaseTimeout = 2 * time.Second
)

// jobShard is a job shard that this controller holds. In a job shard acquired from another
// controller, tasks may run that this scheduler does not know of: those on machines whose owners
// have not confirmed them since the acquisition.
type jobShard struct {
	epoch      uint64
	acquiredAt time.Time
	reconciled bool // every machine has been confirmed

	// jobsMissing: a job could not be read when the jobs were loaded; they have to be loaded again.
	jobsMissing bool

	// unconfirmed holds the machines that have not been confirmed, with the properties that decide
	// which jobs they are eligible for; unconfirmedCounts counts them by those properties. No
	// machine is added after the acquisition: the owner of a machine whose key was created later
	// already knows the epoch and rejects commits of earlier schedulers.
	unconfirmed       map[string]machineProperties
	unconfirmedCounts map[machineProperties]int

	pendingLoggedAt time.Time // when the pending reconciliation was last logged
}

// machineProperties holds the immutable properties of a machine that can make it ineligible for a
// job.
type machineProperties struct {
	typeName, zone string
	spot           bool
}

// addUnconfirmed adds a machine that has to be confirmed before the job shard is reconciled.
func (shard *jobShard) addUnconfirmed(machine string, properties machineProperties) {
	if shard.unconfirmed == nil {
		shard.unconfirmed, shard.unconfirmedCounts = map[string]machineProperties{}, map[machineProperties]int{}
	}
	shard.unconfirmed[machine] = properties
	shard.unconfirmedCounts[properties]++
}

// confirm removes a machine from the unconfirmed ones. It is called once the machine's entry lists
// every task that earlier schedulers of the job shard may have started on the machine.
func (shard *jobShard) confirm(machine string) {
	properties, ok := shard.unconfirmed[machine]
	if !ok {
		return
	}
	delete(shard.unconfirmed, machine)
	shard.unconfirmedCounts[properties]--
	if shard.unconfirmedCounts[properties] == 0 {
		delete(shard.unconfirmedCounts, properties)
	}
}

// markReconciled marks the job shard as reconciled. It is called once every machine is confirmed.
func (shard *jobShard) markReconciled() {
	shard.reconciled, shard.unconfirmed, shard.unconfirmedCounts = true, nil, nil
}

// canPlace reports whether the job's pending tasks can be placed. After a takeover they can be
// placed only once every machine on which an earlier scheduler may have started one of them has
// been confirmed. No task can have been started on a machine whose type, zone or spot property the
// job does not allow, or whose capacity is too small for the job's tasks: every owner checks this
// before it sends a start command (package clusteragent). The caller must hold s.mu.
func (s *Scheduler) canPlace(j *jobState) bool {
	shard := s.shards[j.shardID]
	switch {
	case shard == nil:
		return false
	case j.accepted || shard.reconciled:
		return true
	}
	types := s.machineTypes()
	for properties := range shard.unconfirmedCounts {
		machineType, known := types[properties.typeName]
		if !j.spec.AllowsMachine(properties.typeName, properties.zone, properties.spot) {
			continue
		}
		if !known || j.spec.FitsIn(job.Capacity(machineType)) {
			return false
		}
	}
	return true
}

// maintainShards creates this controller's own job shard if it has none, acquires the job shards of
// controllers whose session has ended, and checks whether the acquired ones are reconciled.
func (s *Scheduler) maintainShards(ctx context.Context) {
	if !s.session.HoldsLease() {
		return
	}
	if !s.checkShardHolders() { // before takeovers, because submissions need it
		s.createOwnShard(ctx)
	}
	s.acquireShards(ctx)
	s.reconcileShards(ctx)
}

// checkShardHolders aborts this session if another controller has acquired one of its job shards.
// It reports whether this controller has an own job shard for new jobs.
func (s *Scheduler) checkShardHolders() (hasOwnShard bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, shard := range s.shards {
		kv, ok := s.mirror.Get(statekv.JobShardPrefix + id)
		if !ok || kv.Rev <= shard.epoch {
			continue
		}
		if holder, err := statekv.HolderOf(kv); err == nil && holder != s.session.Holder {
			s.session.Abort(fmt.Errorf("job shard %s was acquired by %s", id, holder.Host))
		}
	}
	return s.ownShard != ""
}
