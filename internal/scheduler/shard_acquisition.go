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

// shardLoadRetryInterval is the delay before another attempt to load the jobs of acquired job
// shards.
const shardLoadRetryInterval = 300 * time.Millisecond

// createOwnShard creates the job shard to which this controller adds new jobs.
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

// acquireShards acquires, in batches, all job shards for which this controller is the successor.
func (s *Scheduler) acquireShards(ctx context.Context) {
	roles, alreadyAcquired := s.acquirableShards()
	writeCtx, cancel := context.WithTimeout(ctx, shardWriteTimeout)
	defer cancel()
	acquired, err := s.session.AcquireAll(writeCtx, roles, s.settings.StateLimits.MaxTxnOps)
	if err != nil {
		slog.Debug("job shard acquisition failed", "err", err)
	}
	maps.Copy(acquired, alreadyAcquired)
	if len(acquired) > 0 {
		s.loadAcquiredShards(ctx, acquired)
	}
}

// acquirableShards returns the job shards to acquire. It also returns, as epochs by key, the job
// shards that this session has already acquired but whose jobs are not all loaded: the response of
// the write was lost, or a job could not be read.
func (s *Scheduler) acquirableShards() (roles []statekv.Role, alreadyAcquired map[string]uint64) {
	successors := s.session.Successors(s.settings.Hosts())
	alreadyAcquired = map[string]uint64{}
	for _, kv := range s.mirror.Dir(statekv.JobShardPrefix) {
		id := strings.TrimPrefix(kv.Key, statekv.JobShardPrefix)
		holder, err := statekv.HolderOf(kv)
		switch {
		case err != nil:
			s.mirror.ReportUndecodable(kv.Key, err)
		case s.hasLoadedShard(id):
		case holder == s.session.Holder:
			alreadyAcquired[kv.Key] = kv.Rev
		case !s.session.Alive(holder) && successorOf(id, holder.Host, successors) == s.session.Host:
			roles = append(roles, statekv.Role{
				Key:            kv.Key,
				ExpectedRev:    kv.Rev,
				PreviousHolder: holder,
				Value:          s.session.Holder,
			})
		}
	}
	return roles, alreadyAcquired
}

// hasLoadedShard reports whether this controller holds the job shard and has loaded its jobs.
func (s *Scheduler) hasLoadedShard(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[id]
	return shard != nil && !shard.jobsMissing
}

// successorOf returns the host that takes a job shard over: its previous host if that is one of the
// given hosts, else one of these, chosen by a hash of the job shard's ID, so that the job shards
// are spread among them.
func successorOf(shardID, host string, hosts []string) string {
	if slices.Contains(hosts, host) || len(hosts) == 0 {
		return host
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(shardID)) // Write of a hash never returns an error
	return hosts[int(hash.Sum32()>>1)%len(hosts)]
}

// loadAcquiredShards loads the unfinished jobs of newly acquired job shards, which are given as
// epochs by key.
func (s *Scheduler) loadAcquiredShards(ctx context.Context, acquired map[string]uint64) {
	shards, latestEpoch := map[string]*jobShard{}, uint64(0)
	for key, epoch := range acquired {
		id := strings.TrimPrefix(key, statekv.JobShardPrefix)
		shards[id] = &jobShard{epoch: epoch, acquiredAt: time.Now()}
		latestEpoch = max(latestEpoch, epoch)
	}
	// Once the mirror has reached the latest of the epochs, it has every record that earlier
	// schedulers wrote and every machine to which they can have sent start commands.
	if s.mirror.Wait(ctx, latestEpoch) != nil {
		return
	}
	s.addUnconfirmedMachines(shards)
	if !s.loadShardJobs(ctx, shards) {
		return
	}
	jobs := s.addShards(shards)
	for id, held := range shards {
		slog.Info("job shard acquired",
			"job_shard", id, "epoch", held.epoch, "jobs", jobs[id], "machines", len(held.unconfirmed))
	}
	// Apply the entries that the change feed delivered before the jobs were loaded.
	if s.feed != nil {
		s.feed.PollNow()
		s.OnEntries(s.feed.Entries())
	}
}

// addUnconfirmedMachines adds every machine to the unconfirmed machines of each job shard.
func (s *Scheduler) addUnconfirmedMachines(shards map[string]*jobShard) {
	for _, kv := range s.mirror.Dir(statekv.MachinePrefix) {
		name := strings.TrimPrefix(kv.Key, statekv.MachinePrefix)
		var properties machineProperties
		if key := shard.ParseMachineRecord(kv); key != nil {
			properties = machineProperties{key.Type, key.Zone, key.Spot}
		}
		for _, held := range shards {
			held.addUnconfirmed(name, properties)
		}
	}
}

// addShards adds job shards whose jobs are loaded and returns the number of jobs by job shard.
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

// loadShardJobs loads the unfinished jobs of acquired job shards and retries until all are loaded.
// It returns false if ctx ends first.
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

// tryLoadShardJobs loads the unfinished jobs of acquired job shards until one cannot be loaded.
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
		if err := s.loadJob(ctx, record, kv.Rev, false); err != nil {
			return err
		}
	}
	return nil
}
