package scheduler

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

const (
	// completionDelay is how long finished tasks of an unfinished job wait at least, so
	// that one write records many of them.
	completionDelay = time.Second

	// maxConcurrentWrites bounds the writes that one look starts.
	maxConcurrentWrites = 8

	// finalRecordChanges is how many changes a job's final record takes at least.
	finalRecordChanges = 3

	// completionTimeout is how long one write may take, with the read after a conflict.
	completionTimeout = 3 * time.Second

	// completionRetryPause is the pause after a write that failed.
	completionRetryPause = 200 * time.Millisecond
)

// errRecordTooLarge says that a record needs its spec kept in fragments and not all
// controllers of the fleet can read those yet. What has finished stays in the workers' reports.
var errRecordTooLarge = errors.New(
	"its record is too large for one value, and not all controllers know spec fragments yet")

// statusOpen is what readBack returns for a job whose record has no final status.
const statusOpen = "open"

// completion is what of a job is not durable yet.
type completion struct {
	dirtyChunks map[int]bool // chunks of finished tasks that have changed
	dirtySince  time.Time
	ended       []agentapi.StopItem // completed attempts, forgotten once that is durable
	writing     bool                // a write is under way: a job has at most one
}

// markDirty notes that something is to be written, unless that is noted already.
func (c *completion) markDirty(now time.Time) {
	if c.dirtySince.IsZero() {
		c.dirtySince = now
	}
}

// completionWrite is one transaction that records what of a job has finished, and what is
// undone if it fails.
type completionWrite struct {
	final         bool // the job's final record
	compares      []statekv.Compare
	ops           []statekv.Op
	specFragments int          // of the job's record from then on
	chunks        map[int]bool // that it writes
	chunkCount    int          // that were to be written, for the log
	hasFailures   bool         // that were to be written
	ended         int          // completed attempts that it makes durable
}

// completionResult is what became of a completionWrite.
type completionResult struct {
	status   string // "" if it was applied, or what the record says after a conflict
	revision uint64 // of the job's record
	err      error  // it is not known, or was not tried
}

// recordCompletions records what has finished: whole jobs at once, tasks in batches, the
// oldest first and only as many as leave write budget for what cannot wait. Until then
// they stay in their workers' reports, so nothing is lost.
func (s *Scheduler) recordCompletions(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var batches []*jobState
	started := 0
	start := func(j *jobState) {
		started++
		j.completion.writing = true
		s.background.Go(func() { s.recordCompletion(ctx, j.spec.ID, j) })
	}
	for _, j := range s.jobs {
		switch {
		case j.phase == jobRecorded || j.completion.writing:
		case j.phase == jobFinished:
			if started < maxConcurrentWrites && s.mayWriteFinal(j) {
				start(j)
			}
		case j.hasDueBatch(now):
			batches = append(batches, j)
		}
	}
	slices.SortFunc(batches, func(a, b *jobState) int {
		return a.completion.dirtySince.Compare(b.completion.dirtySince)
	})
	for _, j := range batches {
		changes := max(1, len(j.completion.dirtyChunks))
		if started >= maxConcurrentWrites || !s.store.Allow(statekv.ClassMaintenance, changes) {
			break
		}
		start(j)
	}
}

// mayWriteFinal reports whether the final record of a finished job may be written now.
// That it was cancelled with a dependency can wait for write budget: users are told so
// already (package dag).
func (s *Scheduler) mayWriteFinal(j *jobState) bool {
	return j.outcome == job.Done || s.store.Allow(statekv.ClassMaintenance, finalRecordChanges)
}

// hasDueBatch reports whether something of an unfinished job has waited long enough to be
// written.
func (j *jobState) hasDueBatch(now time.Time) bool {
	dirty := len(j.completion.dirtyChunks) > 0 || j.failures.unrecorded
	return dirty && now.Sub(j.completion.dirtySince) > completionDelay
}

// recordCompletion writes what of a job has finished.
func (s *Scheduler) recordCompletion(ctx context.Context, id string, j *jobState) {
	write := s.prepareWrite(id, j)
	if write == nil {
		return
	}
	result := s.write(ctx, id, write)
	if result.err != nil {
		slog.Debug("completed tasks write failed", "job", id, "chunks", write.chunkCount, "err", result.err)
		pause(ctx, completionRetryPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j.completion.writing = false
	if result.err == nil && result.status == "" {
		s.onCompletionWritten(id, j, write, result.revision)
		return
	}
	j.restoreUnwritten(write, time.Now())
	switch {
	case result.err != nil:
	case result.status == job.Cancelled || result.status == job.Done:
		s.onRecorded(id, j, result.status)
	default:
		// The record has moved by a write of ours whose answer was lost.
		j.revision = result.revision
	}
}

// prepareWrite takes what is to be written off the job, or returns nil if its job shard is
// not held any more.
func (s *Scheduler) prepareWrite(id string, j *jobState) *completionWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[j.shardID]
	if shard == nil {
		j.completion.writing = false
		return nil
	}
	// Under the level that its schema goes by: after a change nothing is written any more
	// in the schema of before.
	level, unchanged := s.versions.Current()
	write := &completionWrite{
		final: j.isFinished(),
		compares: []statekv.Compare{
			{Key: job.RecordKey(id), Rev: j.revision},
			{Key: statekv.JobShardPrefix + j.shardID, Rev: shard.epoch},
			unchanged,
		},
		chunks:        j.completion.dirtyChunks,
		chunkCount:    len(j.completion.dirtyChunks),
		hasFailures:   j.failures.unrecorded,
		ended:         len(j.completion.ended),
		specFragments: j.record.SpecFragments,
	}
	j.completion.dirtyChunks, j.completion.dirtySince = map[int]bool{}, time.Time{}
	if write.final {
		write.ops = s.finalOps(id, j, level)
		return write
	}
	record := s.openRecord(j, level.Enabled(rollout.FeatureFailureHistory))
	write.ops = s.recordOps(j, &record, write.chunks, level)
	write.specFragments = record.SpecFragments
	j.failures.unrecorded = false
	return write
}

// finalOps are the changes that replace a finished job's record by its tombstone. The mutex
// is held.
func (s *Scheduler) finalOps(id string, j *jobState, level rollout.ClusterVersion) []statekv.Op {
	final := tombstone.Tombstone{Status: j.outcome, Tasks: len(j.tasks)}
	if j.outcome == job.Done {
		final.CompletedAtMS = j.finishedAt.UnixMilli()
	}
	ops := []statekv.Op{{Delete: job.RecordKey(id)}}
	ops = append(ops, tombstone.WriteOps(id, final, level.TombstoneFormats())...)
	most := s.store.MaxTxnOps(s.settings.StateLimits.MaxTxnOps) - len(ops)
	return append(ops, job.DeleteAuxiliaryOps(id, len(j.tasks), j.record.SpecFragments, most)...)
}

// write carries out a completionWrite, and reads the record if that met a conflict.
func (s *Scheduler) write(ctx context.Context, id string, write *completionWrite) completionResult {
	if len(write.ops) == 0 {
		return completionResult{err: errRecordTooLarge}
	}
	writeCtx, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	revision, err := s.session.Write(writeCtx, write.compares, write.ops)
	if statekv.IsConflict(err) {
		return s.readBack(writeCtx, id)
	}
	return completionResult{revision: revision, err: err}
}

// readBack finds out what a job's record says after a write of ours met a conflict or was
// lost.
func (s *Scheduler) readBack(ctx context.Context, id string) completionResult {
	kv, err := s.store.Get(ctx, job.RecordKey(id))
	if err == nil {
		return completionResult{status: statusOpen, revision: kv.Rev}
	}
	if !errors.Is(err, statekv.ErrNotFound) {
		return completionResult{err: err}
	}
	final, err := tombstone.Read(ctx, s.store, []statekv.Compare{s.session.Fence()}, id)
	if err != nil {
		return completionResult{err: err}
	}
	return completionResult{status: final.Status}
}

// onCompletionWritten takes up that a write was applied. The mutex is held.
func (s *Scheduler) onCompletionWritten(id string, j *jobState, write *completionWrite, revision uint64) {
	j.revision, j.record.SpecFragments = revision, write.specFragments
	ended := write.ended
	if write.final {
		j.advance(jobRecorded, j.outcome)
		// Tasks that another attempt or member made superfluous stop now.
		s.stopAllTasks(j, 0)
		// Members of a gang that were reported during the write are recorded with it too:
		// no later write would have them forgotten, and their machines would never count
		// as idle again.
		ended = len(j.completion.ended)
	}
	s.forgetEndedAttempts(j, ended)
	s.dropIfGone(id, j)
}

// restoreUnwritten puts back what a write did not record.
func (j *jobState) restoreUnwritten(write *completionWrite, now time.Time) {
	for k := range write.chunks {
		j.completion.dirtyChunks[k] = true
	}
	j.failures.unrecorded = j.failures.unrecorded || write.hasFailures
	j.completion.markDirty(now)
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
