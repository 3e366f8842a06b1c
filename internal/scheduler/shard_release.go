package scheduler

import (
	"context"
	"log/slog"

	"robinstack/internal/statekv"
)

// releaseShards removes the keys of job shards without jobs. Nothing can be added to them:
// whoever acquired a job shard puts no new jobs into it, and what its earlier schedulers
// wrote late carries the condition that the key has their revision. Otherwise every
// failure of a controller would leave a job shard behind for good.
func (s *Scheduler) releaseShards(ctx context.Context) {
	if !s.session.HoldsLease() {
		return
	}
	s.forgetRemovedShards()
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
		// If they were removed after all, the mirror will show it.
		slog.Debug("empty job shard removal failed", "job_shards", ids, "err", err)
		return
	}
	s.forgetRemovedShards()
}

// emptyShards lists reconciled job shards without jobs, as many as one transaction
// removes, with the transaction.
func (s *Scheduler) emptyShards() (ids []string, compares []statekv.Compare, removals []statekv.Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := map[string]bool{s.ownShard: true}
	for _, j := range s.jobs {
		used[j.shardID] = true
	}
	most := s.store.MaxTxnOps(min(maxConcurrentWrites, s.settings.StateLimits.MaxTxnOps))
	for id, shard := range s.shards {
		if !shard.reconciled || used[id] || len(removals) >= most {
			continue
		}
		key := statekv.JobShardPrefix + id
		ids = append(ids, id)
		compares = append(compares, statekv.Compare{Key: key, Rev: shard.epoch})
		removals = append(removals, statekv.Op{Delete: key})
	}
	return ids, compares, removals
}

// forgetRemovedShards drops the job shards whose keys have been removed.
func (s *Scheduler) forgetRemovedShards() {
	revision := s.mirror.Rev()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, shard := range s.shards {
		if _, ok := s.mirror.Get(statekv.JobShardPrefix + id); !ok && revision >= shard.epoch {
			delete(s.shards, id)
		}
	}
}
