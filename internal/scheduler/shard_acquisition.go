package scheduler

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// shardLoadRetryInterval is the pause before the jobs of acquired shards are read again.
const shardLoadRetryInterval = 300 * time.Millisecond

// createOwnShard creates the job shard that takes this controller's new jobs.
func (s *Scheduler) createOwnShard(ctx context.Context) {
	writeCtx, cancel := context.WithTimeout(ctx, shardWriteTimeout)
	defer cancel()
	id := fmt.Sprintf("%s.%d", s.session.Host, s.session.Incarnation)
	role := statekv.Role{Key: statekv.JobShardPrefix + id, Value: s.session.Holder}
	epoch, err := s.session.Acquire(writeCtx, role)
	if err == nil {
		err = s.mirror.Wait(writeCtx, epoch)
	}
	if err != nil {
		slog.Debug("job shard creation failed", "job_shard", id, "err", err)
		return
	}
	s.mu.Lock()
	s.shards[id] = &jobShard{epoch: epoch, acquiredAt: time.Now(), reconciled: true}
	s.ownShard = id
	s.mu.Unlock()
	slog.Info("job shard acquired", "job_shard", id, "epoch", epoch)
}

// acquireShards acquires, all together, the job shards that fall to this controller.
func (s *Scheduler) acquireShards(ctx context.Context) {
	roles, ours := s.acquirableShards()
	writeCtx, cancel := context.WithTimeout(ctx, shardWriteTimeout)
	defer cancel()
	acquired, err := s.session.AcquireAll(writeCtx, roles, s.settings.StateLimits.MaxTxnOps)
	if err != nil {
		slog.Debug("job shard acquisition failed", "err", err)
	}
	maps.Copy(acquired, ours)
	if len(acquired) > 0 {
		s.adoptShards(ctx, acquired)
	}
}

// acquirableShards returns the job shards to acquire, and those, by key with their epoch,
// that were acquired before in a write whose answer was lost.
func (s *Scheduler) acquirableShards() (roles []statekv.Role, ours map[string]uint64) {
	successors := s.session.Successors(s.settings.Hosts())
	ours = map[string]uint64{}
	for _, kv := range s.mirror.Dir(statekv.JobShardPrefix) {
		id := strings.TrimPrefix(kv.Key, statekv.JobShardPrefix)
		holder, err := statekv.HolderOf(kv)
		switch {
		case err != nil:
			s.mirror.ReportUndecodable(kv.Key, err)
		case s.holdsShard(id):
		case holder == s.session.Holder:
			ours[kv.Key] = kv.Rev
		case !s.session.Alive(holder) && successorOf(id, holder.Host, successors) == s.session.Host:
			roles = append(roles, statekv.Role{
				Key:            kv.Key,
				ExpectedRev:    kv.Rev,
				PreviousHolder: holder,
				Value:          s.session.Holder,
			})
		}
	}
	return roles, ours
}

// holdsShard reports whether this controller holds the job shard.
func (s *Scheduler) holdsShard(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shards[id] != nil
}

// successorOf is who takes a job shard over: its own controller if it is back, else one of
// the others, chosen by the shard's name so that they share the shards.
func successorOf(shardID, host string, hosts []string) string {
	if slices.Contains(hosts, host) || len(hosts) == 0 {
		return host
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(shardID)) // a hash takes everything
	return hosts[int(hash.Sum32()>>1)%len(hosts)]
}

// adoptShards takes up the unfinished jobs of job shards that were others', given by key
// with their epochs.
func (s *Scheduler) adoptShards(ctx context.Context, acquired map[string]uint64) {
	shards, latest := map[string]*jobShard{}, uint64(0)
	for key, epoch := range acquired {
		id := strings.TrimPrefix(key, statekv.JobShardPrefix)
		shards[id] = &jobShard{epoch: epoch, acquiredAt: time.Now()}
		latest = max(latest, epoch)
	}
	// From then on the mirror has every record that the earlier schedulers wrote, and
	// every machine to which their starts can have been sent.
	if s.mirror.Wait(ctx, latest) != nil {
		return
	}
	s.listUnconfirmed(shards)
	if !s.loadShardJobs(ctx, shards) {
		return
	}
	jobs := s.addShards(shards)
	for id, held := range shards {
		slog.Info("job shard acquired",
			"job_shard", id, "epoch", held.epoch, "jobs", jobs[id], "machines", len(held.unconfirmed))
	}
	// Tasks that the feed has shown already are located now.
	if s.feed != nil {
		s.feed.PollNow()
		s.OnEntries(s.feed.Entries())
	}
}

// listUnconfirmed notes every machine as to be confirmed for each job shard.
func (s *Scheduler) listUnconfirmed(shards map[string]*jobShard) {
	for _, kv := range s.mirror.Dir(statekv.MachinePrefix) {
		name := strings.TrimPrefix(kv.Key, statekv.MachinePrefix)
		var kind machineKind
		if key := shard.ParseMachineRecord(kv); key != nil {
			kind = machineKind{key.Type, key.Zone, key.Spot}
		}
		for _, held := range shards {
			held.addUnconfirmed(name, kind)
		}
	}
}

// addShards adds job shards whose jobs are loaded, and counts the jobs by shard.
func (s *Scheduler) addShards(shards map[string]*jobShard) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(s.shards, shards)
	jobs := map[string]int{}
	for _, j := range s.jobs {
		jobs[j.shardID]++
	}
	return jobs
}

// loadShardJobs takes up the unfinished jobs of job shards that were others', trying until
// all are read. It reports false if ctx ended before.
func (s *Scheduler) loadShardJobs(ctx context.Context, shards map[string]*jobShard) bool {
	for {
		err := s.tryLoadShardJobs(ctx, shards)
		if err == nil {
			return true
		}
		slog.Warn("job shard load failed", "err", err)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(shardLoadRetryInterval):
		}
	}
}

func (s *Scheduler) tryLoadShardJobs(ctx context.Context, shards map[string]*jobShard) error {
	for _, kv := range s.mirror.Dir(job.RecordPrefix) {
		record, err := job.ParseRecord(kv.Value)
		if err == nil && shards[record.JobShard] == nil {
			continue
		}
		if err == nil {
			err = record.JoinSpec(s.mirror.Get)
		}
		if err != nil {
			s.mirror.ReportUndecodable(kv.Key, err)
			continue
		}
		record.KeepUnknownFields(kv.Value)
		if err := s.load(ctx, record, kv.Rev, false); err != nil {
			return err
		}
	}
	return nil
}
