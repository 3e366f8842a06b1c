package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/statekv"
)

const (
	// deletionRetention is the minimum time for which the deletion of a record is kept: a slow read
	// that began before the deletion may still return the record.
	deletionRetention = time.Minute

	// maxDeletions is the number of kept deletions above which old ones are dropped.
	maxDeletions = 2000
)

// recordDeletion is the deletion of a job's record, as the watch showed it or a write of this
// scheduler caused it.
type recordDeletion struct {
	revision uint64
	seenAt   time.Time
}

// loadJob adds a job from its record. accepted says that this session has just written the record,
// so no task of the job can have completed and no completed chunks are read.
func (s *Scheduler) loadJob(ctx context.Context, record *job.Record, revision uint64, accepted bool) error {
	j := &jobState{
		spec:        &record.Spec,
		record:      record,
		revision:    revision,
		shardID:     record.JobShard,
		submittedAt: record.SubmittedAt(),
		accepted:    accepted,
		tasks:       make([]taskState, record.Spec.Tasks),
		done:        job.NewTaskBitmap(record.Spec.Tasks),
		completion:  pendingCompletion{dirtyChunks: map[int]bool{}},
	}
	if err := j.done.LoadChunk(0, record.CompletedTasks); err != nil {
		slog.Error("job record unusable", "job", record.Spec.ID, "err", err)
	}
	if !accepted {
		if err := s.loadCompletedChunks(ctx, j); err != nil {
			return err
		}
	}
	j.doneCount = j.done.Len()
	j.started = j.doneCount > 0
	j.restoreFailures(record.Failures, time.Now())
	j.readyAt, j.effective = j.submittedAt, j.spec
	if len(j.spec.WaitsOn) == 0 {
		j.advance(jobRunnable, "")
	}
	j.completionTargets = s.settings.CompletionTargets(j.spec.Class, j.spec.DeadlineS)
	j.startTargets = s.settings.StartTargets(j.spec.Class)
	s.addJob(j)
	return nil
}

// loadCompletedChunks reads the chunks of completed tasks that have keys of their own. Chunk 0 is
// part of the job's record.
func (s *Scheduler) loadCompletedChunks(ctx context.Context, j *jobState) error {
	for k := 1; k < job.ChunkCount(j.spec.Tasks); k++ {
		kv, err := s.store.Get(ctx, job.CompletedChunkKey(j.spec.ID, k))
		if errors.Is(err, statekv.ErrNotFound) {
			continue
		}
		var chunk string
		if err == nil {
			err = json.Unmarshal(kv.Value, &chunk)
		}
		if err == nil {
			err = j.done.LoadChunk(k, chunk)
		}
		if err != nil {
			return fmt.Errorf("loading completed chunk %d of job %s: %w", k, j.spec.ID, err)
		}
	}
	return nil
}

// addJob adds a loaded job, unless a later state of the job is known.
func (s *Scheduler) addJob(j *jobState) {
	id := j.spec.ID
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deletions[id].revision > j.revision {
		return // the job has been cancelled since its record was read
	}
	j.class = s.classFor(j.spec)
	known := s.jobs[id]
	if known == nil || j.revision > known.revision && !known.completion.writeInFlight && known.shardID != j.shardID {
		s.jobs[id] = j
		s.dependenciesCheckedAt = time.Time{}
	}
	s.wake()
}

// OnJobAccepted adds a job whose record this controller has just written.
func (s *Scheduler) OnJobAccepted(record *job.Record, revision uint64) {
	if err := s.loadJob(context.Background(), record, revision, true); err != nil {
		slog.Error("job load failed", "job", record.Spec.ID, "err", err)
	}
}

// OnJobEvent applies a change of a job record from the watch. It may be one that this scheduler
// does not know yet: a cancellation, which any controller may record, or a submission of this
// controller that was applied although its response was lost.
func (s *Scheduler) OnJobEvent(event statekv.Event) {
	id, ok := strings.CutPrefix(event.Key(), job.RecordPrefix)
	if !ok {
		return
	}
	if event.Delete != "" {
		s.onRecordDeleted(id, event.Rev)
		return
	}
	s.onRecordWritten(id, event)
}

// onRecordDeleted handles the deletion of a job's record, which means that the job's final status
// is durable.
func (s *Scheduler) onRecordDeleted(id string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.otherJobs, id)
	s.keepDeletion(id, revision)
	if j := s.jobs[id]; j != nil && revision > j.revision {
		s.onFinalRecord(id, j)
	}
}

// keepDeletion keeps the deletion of a job's record at a revision, or a revision that the deletion is
// not earlier than. The caller must hold s.mu.
func (s *Scheduler) keepDeletion(id string, revision uint64) {
	s.deletions[id] = recordDeletion{revision: max(revision, s.deletions[id].revision), seenAt: time.Now()}
	s.dropOldDeletions()
}

// dropOldDeletions drops old deletions if more than maxDeletions are kept. The caller must hold
// s.mu.
func (s *Scheduler) dropOldDeletions() {
	for id, deletion := range s.deletions {
		if len(s.deletions) > maxDeletions && time.Since(deletion.seenAt) > deletionRetention {
			delete(s.deletions, id)
		}
	}
}

// onRecordWritten handles a written job record: an unknown job of a held job shard is added.
func (s *Scheduler) onRecordWritten(id string, event statekv.Event) {
	s.mu.Lock()
	known := s.jobs[id] != nil || s.otherJobs[id]
	s.mu.Unlock()
	if known {
		return
	}
	record, err := job.ParseRecord(event.Value)
	if err == nil {
		err = record.JoinSpec(s.mirror.Get)
	}
	if err != nil {
		s.mirror.ReportUndecodable(event.Key(), err)
		return
	}
	if s.registerUnknownJob(id, record, event.Rev) {
		record.KeepUnknownFields(event.Value)
		s.OnJobAccepted(record, event.Rev)
	}
}

// registerUnknownJob registers the written record of an unknown job with its job shard, and reports
// whether the job was accepted into this controller's own shard, so that no task of it can have been
// started. An unknown job of an acquired shard could not be read when the shard was acquired, and an
// earlier scheduler may have started its tasks: the jobs of that shard are loaded again.
func (s *Scheduler) registerUnknownJob(id string, record *job.Record, revision uint64) (accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[record.JobShard]
	switch {
	case shard == nil:
		// Later records of this job only add completed tasks, so they need not be decoded here. If
		// its job shard is taken over, its jobs are loaded from the mirror.
		s.otherJobs[id] = true
		return false
	case revision <= shard.epoch || revision < s.deletions[id].revision:
		return false // loaded with the shard, or finished since
	case record.JobShard != s.ownShard:
		shard.jobsMissing = true
		return false
	}
	return record.CompletedTasks == ""
}

// onFinalRecord handles a job whose record has been deleted, which means that the job is finished.
// The caller must hold s.mu.
func (s *Scheduler) onFinalRecord(id string, j *jobState) {
	if j.phase == jobFinished && j.outcome == job.Done {
		// Either this scheduler's own final write is in flight, or a cancellation was applied
		// first. The stored tombstone decides, and the completion write reads it after a conflict.
		return
	}
	outcome := j.outcome
	if !j.isFinished() {
		slog.Info(logline.JobCancelled, "job", id)
		outcome = job.Cancelled
	}
	s.onFinalStatusRecorded(id, j, outcome)
}

// onFinalStatusRecorded handles a job whose final status is durable: its running tasks are stopped,
// and machines may forget its ended attempts. The caller must hold s.mu.
func (s *Scheduler) onFinalStatusRecorded(id string, j *jobState, outcome string) {
	j.advance(jobRecorded, outcome)
	s.stopAllTasks(j, 0)
	s.queueForgetEnded(j, len(j.completion.endedAttempts))
	s.dropIfGone(id, j)
}

// Resync finishes the jobs whose record was deleted in a gap of the watch.
func (s *Scheduler) Resync() {
	revision := s.mirror.Rev()
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.otherJobs)
	for id, j := range s.jobs {
		if _, open := s.mirror.Get(job.RecordKey(id)); !open && revision >= j.revision {
			s.onFinalRecord(id, j)
		}
	}
}

// dropIfGone drops a job if its final status is durable and no machine has a task of it. The caller
// must hold s.mu.
func (s *Scheduler) dropIfGone(id string, j *jobState) {
	if j.phase != jobRecorded || j.placing {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].status != taskPending {
			return
		}
	}
	delete(s.jobs, id)
	s.keepDeletion(id, j.revision+1) // the watch may still show the record as it was before
}
