package scheduler

import (
	"context"
	"fmt"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

const (
	// shardWriteTimeout is how long a change of job shards' keys may take.
	shardWriteTimeout = 3 * time.Second

	// shardReleaseTimeout is how long the removal of job shards' keys may take.
	shardReleaseTimeout = 2 * time.Second
)

// jobShard is a job shard that this controller holds. One that was another's has jobs of
// which tasks may run that nobody here knows of: on machines that have not been confirmed
// by their owner since the job shard was acquired.
type jobShard struct {
	epoch      uint64
	acquiredAt time.Time
	reconciled bool // every machine has been confirmed

	// unconfirmed are the machines that have not, by what decides which jobs they may
	// have; unconfirmedKinds counts them by that. No machine is added later: one whose
	// first key is younger than the epoch has an owner that knows the epoch.
	unconfirmed      map[string]machineKind
	unconfirmedKinds map[machineKind]int

	pendingLoggedAt time.Time // when the log last said what it waits for
}

// machineKind is what never changes about a machine and rules jobs out.
type machineKind struct {
	typeName, zone string
	spot           bool
}

// addUnconfirmed notes a machine that is to be confirmed.
func (shard *jobShard) addUnconfirmed(machine string, kind machineKind) {
	if shard.unconfirmed == nil {
		shard.unconfirmed, shard.unconfirmedKinds = map[string]machineKind{}, map[machineKind]int{}
	}
	shard.unconfirmed[machine] = kind
	shard.unconfirmedKinds[kind]++
}

// confirm notes that a machine has shown all that earlier schedulers left on it.
func (shard *jobShard) confirm(machine string) {
	kind, ok := shard.unconfirmed[machine]
	if !ok {
		return
	}
	delete(shard.unconfirmed, machine)
	shard.unconfirmedKinds[kind]--
	if shard.unconfirmedKinds[kind] == 0 {
		delete(shard.unconfirmedKinds, kind)
	}
}

// markReconciled notes that every machine has been confirmed.
func (shard *jobShard) markReconciled() {
	shard.reconciled, shard.unconfirmed, shard.unconfirmedKinds = true, nil, nil
}

// mayPlace reports whether tasks of the job that are not located can be placed: not
// before every machine that may have one of them from an earlier scheduler has been
// confirmed. A machine whose type, zone or kind the job does not allow, or on which its
// tasks have no capacity, cannot: every owner checks that before it sends a start
// (clusteragent). The mutex is held.
func (s *Scheduler) mayPlace(j *jobState) bool {
	shard := s.shards[j.shardID]
	switch {
	case shard == nil:
		return false
	case j.accepted || shard.reconciled:
		return true
	}
	types := s.machineTypes()
	for kind := range shard.unconfirmedKinds {
		machineType, known := types[kind.typeName]
		if !j.spec.AllowsMachine(kind.typeName, kind.zone, kind.spot) {
			continue
		}
		if !known || j.spec.FitsIn(job.Capacity(machineType)) {
			return false
		}
	}
	return true
}

// maintainShards acquires the job shards of schedulers whose session is over, and creates
// one if this controller has none; then it checks whether those acquired are reconciled.
func (s *Scheduler) maintainShards(ctx context.Context) {
	if !s.session.HoldsLease() {
		return
	}
	if !s.checkShardHolders() { // first, for users wait for it
		s.createOwnShard(ctx)
	}
	s.acquireShards(ctx)
	s.reconcileShards(ctx)
}

// checkShardHolders ends this session if another controller has acquired one of its job
// shards, and reports whether it has one for new jobs.
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
