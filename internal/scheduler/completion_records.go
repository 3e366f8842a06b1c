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
	// completionBatchDelay is the minimum time that completed tasks of an unfinished job wait to be
	// recorded, so that one write records many of them.
	completionBatchDelay = time.Second

	// maxWritesPerRun bounds the writes that one run of recordCompletions starts, and the job
	// shards that one run of releaseShards removes.
	maxWritesPerRun = 8

	// finalRecordOps is the number of operations that a job's final record takes from the write
	// budget: the deletion of the job's record, and a tombstone in each of the two formats.
	finalRecordOps = 3

	// completionWriteTimeout bounds one write, including the read after a conflict.
	completionWriteTimeout = 3 * time.Second

	// completionRetryDelay is the delay after a failed write.
	completionRetryDelay = 200 * time.Millisecond
)

// errRecordTooLarge is returned if a record is too large for one value and its spec cannot be split
// into fragments, usually because not all controllers of the cluster can read fragments yet. The
// completed tasks are not lost: the workers keep reporting them until they are recorded.
var errRecordTooLarge = errors.New("job record exceeds the size limit of one value and its spec " +
	"cannot be split into fragments (too large, or not enabled by the cluster version)")

// statusOpen is the status that readBack returns for a job whose record still exists.
const statusOpen = "open"

// pendingCompletion holds the results of a job that are not durable yet.
type pendingCompletion struct {
	dirtyChunks   map[int]bool // chunks with newly completed tasks
	dirtySince    time.Time
	endedAttempts []agentapi.StopItem // completed attempts, forgotten once their results are durable
	writeInFlight bool                // a write is in flight; a job has at most one
}

// markDirty records now as the time since which results wait to be recorded, unless results already
// wait.
func (c *pendingCompletion) markDirty(now time.Time) {
	if c.dirtySince.IsZero() {
		c.dirtySince = now
	}
}

// completionWrite is one transaction that records results of a job, with the information that is
// needed to mark these results as unrecorded again if the transaction fails.
type completionWrite struct {
	final                 bool // replaces the job's record by its tombstone
	compares              []statekv.Compare
	ops                   []statekv.Op
	specFragments         int          // number of spec fragments of the record after this write
	chunks                map[int]bool // chunks that it writes
	chunkCount            int          // number of dirty chunks when it was prepared, for the log
	hadUnrecordedFailures bool         // the failure history was unrecorded when it was prepared
	endedCount            int          // number of completed attempts whose results it makes durable
}

// completionResult is the outcome of a completionWrite.
type completionResult struct {
	status   string // "" if it was applied, else the job's stored status after a conflict
	revision uint64 // revision of the job's record
	err      error  // the write failed, has an unknown outcome, or was not sent
}

// recordCompletions starts writes of results that are not durable yet. Finished jobs are recorded
// at once. Completed tasks of unfinished jobs are recorded in batches, oldest first, and only as
// far as the write budget leaves enough for urgent writes. Nothing is lost by waiting, because
// workers keep reporting completed tasks until they are recorded.
func (s *Scheduler) recordCompletions(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var batches []*jobState
	writes := 0
	startWrite := func(j *jobState) {
		writes++
		j.completion.writeInFlight = true
		s.background.Go(func() { s.recordCompletion(ctx, j.spec.ID, j) })
	}
	for _, j := range s.jobs {
		switch {
		case j.phase == jobRecorded || j.completion.writeInFlight:
		case j.phase == jobFinished:
			if writes < maxWritesPerRun && s.mayWriteFinal(j) {
				startWrite(j)
			}
		case j.hasDueBatch(now):
			batches = append(batches, j)
		}
	}
	slices.SortFunc(batches, func(a, b *jobState) int {
		return a.completion.dirtySince.Compare(b.completion.dirtySince)
	})
	for _, j := range batches {
		ops := max(1, len(j.completion.dirtyChunks))
		if writes >= maxWritesPerRun || !s.store.Allow(statekv.ClassMaintenance, ops) {
			break
		}
		startWrite(j)
	}
}

// mayWriteFinal reports whether the final record of a finished job may be written now. The record
// of a job that was cancelled by dependency can wait for write budget, because users are already
// told that it is cancelled (package dag).
func (s *Scheduler) mayWriteFinal(j *jobState) bool {
	return j.outcome == job.Done || s.store.Allow(statekv.ClassMaintenance, finalRecordOps)
}

// hasDueBatch reports whether results of an unfinished job have waited for longer than
// completionBatchDelay.
func (j *jobState) hasDueBatch(now time.Time) bool {
	dirty := len(j.completion.dirtyChunks) > 0 || j.failures.unrecorded
	return dirty && now.Sub(j.completion.dirtySince) > completionBatchDelay
}

// recordCompletion writes the results of a job that are not durable yet.
func (s *Scheduler) recordCompletion(ctx context.Context, id string, j *jobState) {
	write := s.prepareWrite(id, j)
	if write == nil {
		return
	}
	result := s.sendWrite(ctx, id, write)
	if result.err != nil {
		slog.Debug("completed tasks write failed", "job", id, "chunks", write.chunkCount, "err", result.err)
		sleep(ctx, completionRetryDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j.completion.writeInFlight = false
	if result.err == nil && result.status == "" {
		s.onCompletionWritten(id, j, write, result.revision)
		return
	}
	j.restoreUnwritten(write, time.Now())
	switch {
	case result.err != nil:
	case result.status == job.Cancelled || result.status == job.Done:
		s.onFinalStatusRecorded(id, j, result.status)
	default:
		// An earlier write of this scheduler, whose response was lost, has changed the record.
		j.revision = result.revision
	}
}

// prepareWrite moves the unrecorded results of a job into a write. It returns nil if the job shard
// is not held any more.
func (s *Scheduler) prepareWrite(id string, j *jobState) *completionWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[j.shardID]
	if shard == nil {
		j.completion.writeInFlight = false
		return nil
	}
	// The write is conditional on the cluster version that determines its schema, so nothing is
	// written in an earlier schema after the version has changed.
	version, versionUnchanged := s.versions.Current()
	write := &completionWrite{
		final: j.isFinished(),
		compares: []statekv.Compare{
			{Key: job.RecordKey(id), Rev: j.revision},
			{Key: statekv.JobShardPrefix + j.shardID, Rev: shard.epoch},
			versionUnchanged,
		},
		chunks:                j.completion.dirtyChunks,
		chunkCount:            len(j.completion.dirtyChunks),
		hadUnrecordedFailures: j.failures.unrecorded,
		endedCount:            len(j.completion.endedAttempts),
		specFragments:         j.record.SpecFragments,
	}
	j.completion.dirtyChunks, j.completion.dirtySince = map[int]bool{}, time.Time{}
	if write.final {
		write.ops = s.finalOps(id, j, version)
		return write
	}
	record := s.buildOpenRecord(j, version.Enabled(rollout.FeatureFailureHistory))
	write.ops = s.recordOps(j, &record, write.chunks, version)
	write.specFragments = record.SpecFragments
	j.failures.unrecorded = false
	return write
}

// finalOps returns the operations that replace a finished job's record by its tombstone. The caller
// must hold s.mu.
func (s *Scheduler) finalOps(id string, j *jobState, version rollout.ClusterVersion) []statekv.Op {
	final := tombstone.Tombstone{Status: j.outcome, Tasks: len(j.tasks)}
	if j.outcome == job.Done {
		final.CompletedAtMS = j.finishedAt.UnixMilli()
	}
	ops := []statekv.Op{{Delete: job.RecordKey(id)}}
	ops = append(ops, tombstone.WriteOps(id, final, version.TombstoneFormats())...)
	maxDeletes := s.store.MaxTxnOps(s.settings.StateLimits.MaxTxnOps) - len(ops)
	return append(ops, job.DeleteAuxiliaryOps(id, len(j.tasks), j.record.SpecFragments, maxDeletes)...)
}

// sendWrite sends a completionWrite, and reads the job's stored status if the write has a conflict.
func (s *Scheduler) sendWrite(ctx context.Context, id string, write *completionWrite) completionResult {
	if len(write.ops) == 0 {
		return completionResult{err: errRecordTooLarge}
	}
	writeCtx, cancel := context.WithTimeout(ctx, completionWriteTimeout)
	defer cancel()
	revision, err := s.session.Write(writeCtx, write.compares, write.ops)
	if statekv.IsConflict(err) {
		return s.readBack(writeCtx, id)
	}
	return completionResult{revision: revision, err: err}
}

// readBack reads a job's stored status and the revision of its record after a conflict.
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

// onCompletionWritten handles a write that was applied. The caller must hold s.mu.
func (s *Scheduler) onCompletionWritten(id string, j *jobState, write *completionWrite, revision uint64) {
	j.revision, j.record.SpecFragments = revision, write.specFragments
	if !write.final && j.phase == jobRecorded {
		// The watch has shown a later final record, which released all ended attempts.
		s.dropIfGone(id, j)
		return
	}
	ended := write.endedCount
	if write.final {
		j.advance(jobRecorded, j.outcome)
		// Stop the tasks that another attempt or another member of the gang has made redundant.
		s.stopAllTasks(j, 0)
		// This write also covers gang members that were reported as completed while it was in
		// flight. No later write would release their attempts, and their machines would never count
		// as idle again.
		ended = len(j.completion.endedAttempts)
	}
	s.queueForgetEnded(j, ended)
	s.dropIfGone(id, j)
}

// restoreUnwritten marks the chunks and the failure history of a failed write as unrecorded again.
func (j *jobState) restoreUnwritten(write *completionWrite, now time.Time) {
	for chunk := range write.chunks {
		j.completion.dirtyChunks[chunk] = true
	}
	j.failures.unrecorded = j.failures.unrecorded || write.hadUnrecordedFailures
	j.completion.markDirty(now)
}

// sleep waits for the given time, or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
