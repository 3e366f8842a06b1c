package scheduler

import (
	"context"
	"log/slog"

	"robinstack/internal/statekv"
)

// releaseShards removes the keys of reconciled job shards without jobs. Without this, every
// controller failure would leave a job shard behind forever. The removal is safe: a controller adds
// new jobs only to its own job shard, and delayed writes of earlier schedulers carry the compare
// that the job shard's key has their epoch.
func (s *Scheduler) releaseShards(ctx context.Context) {
	if !s.session.HoldsLease() {
		return
	}
	s.dropRemovedShards()
	ids, compares, removals := s.emptyShards()
	if len(ids) == 0 || !s.store.Allow(statekv.ClassMaintenance, len(ids)) {
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, shardReleaseTimeout)
	defer cancel()
	revision, err := s.session.Write(writeCtx, compares, removals)
	if err == nil {
		err = s.mirror.Wait(writeCtx, revision)
	}
	if err != nil {
		// If the response was lost and the keys are removed, the mirror will show it.
		slog.Debug("empty job shard removal failed", "job_shards", ids, "err", err)
		return
	}
	s.dropRemovedShards()
}

// emptyShards lists reconciled job shards without jobs, as many as one transaction can remove, with
// the compares and operations of that transaction.
func (s *Scheduler) emptyShards() (ids []string, compares []statekv.Compare, removals []statekv.Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inUse := map[string]bool{s.ownShard: true}
	for _, j := range s.jobs {
		inUse[j.shardID] = true
	}
	maxRemovals := s.store.MaxTxnOps(min(maxWritesPerRun, s.settings.StateLimits.MaxTxnOps))
	for id, shard := range s.shards {
		if !shard.reconciled || inUse[id] || len(removals) >= maxRemovals {
			continue
		}
		key := statekv.JobShardPrefix + id
		ids = append(ids, id)
		compares = append(compares, statekv.Compare{Key: key, Rev: shard.epoch})
		removals = append(removals, statekv.Op{Delete: key})
	}
	return ids, compares, removals
}

// dropRemovedShards drops the job shards whose keys have been removed from the state service.
func (s *Scheduler) dropRemovedShards() {
	revision := s.mirror.Rev()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, shard := range s.shards {
		if _, ok := s.mirror.Get(statekv.JobShardPrefix + id); !ok && revision >= shard.epoch {
			delete(s.shards, id)
		}
	}
}
