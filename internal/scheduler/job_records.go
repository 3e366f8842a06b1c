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
	// deletionRetention is how long a deleted record is remembered at least: a slower
	// read may still show it.
	deletionRetention = time.Minute

	// maxDeletions is from how many remembered deletions on old ones are forgotten.
	maxDeletions = 2000
)

// recordDeletion is the deletion of a job's record.
type recordDeletion struct {
	revision uint64
	seenAt   time.Time
}

// load takes up a job from its record. An accepted job is one that this session has just
// written: nothing of it has finished yet.
func (s *Scheduler) load(ctx context.Context, record *job.Record, revision uint64, accepted bool) error {
	j := &jobState{
		spec:        &record.Spec,
		record:      record,
		revision:    revision,
		shardID:     record.JobShard,
		submittedAt: record.SubmittedAt(),
		accepted:    accepted,
		tasks:       make([]taskState, record.Spec.Tasks),
		done:        job.NewTaskBitmap(record.Spec.Tasks),
		completion:  completion{dirtyChunks: map[int]bool{}},
	}
	if err := j.done.LoadChunk(0, record.CompletedTasks); err != nil {
		slog.Error("job record unusable", "job", record.Spec.ID, "err", err)
	}
	if !accepted {
		if err := s.loadChunks(ctx, j); err != nil {
			return err
		}
	}
	j.doneCount = j.done.Len()
	j.begun = j.doneCount > 0
	j.restoreFailures(record.Failures, time.Now())
	j.readyAt, j.effective = j.submittedAt, j.spec
	if len(j.spec.WaitsOn) == 0 {
		j.advance(jobRunnable, "")
	}
	j.limits = s.settings.CompletionTargets(j.spec.Class, j.spec.DeadlineS)
	j.startWithin = s.settings.StartTargets(j.spec.Class)
	s.add(j)
	return nil
}

// loadChunks reads the chunks of finished tasks that are kept beside the job's record.
func (s *Scheduler) loadChunks(ctx context.Context, j *jobState) error {
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
			return fmt.Errorf("loading finished tasks of %s: %w", j.spec.ID, err)
		}
	}
	return nil
}

// add adds a job that was read, unless a later state of it is known.
func (s *Scheduler) add(j *jobState) {
	id := j.spec.ID
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deletions[id].revision > j.revision {
		return // cancelled since the record was read
	}
	j.class = s.classFor(j.spec)
	known := s.jobs[id]
	if known == nil || j.revision > known.revision && !known.completion.writing && known.shardID != j.shardID {
		s.jobs[id] = j
		s.dependenciesCheckedAt = time.Time{}
	}
	s.wake()
}

// OnJobAccepted takes up a job whose record this controller has just written.
func (s *Scheduler) OnJobAccepted(record *job.Record, revision uint64) {
	if err := s.load(context.Background(), record, revision, true); err != nil {
		slog.Error("job load failed", "job", record.Spec.ID, "err", err)
	}
}

// OnJobEvent follows the job records: cancellations come from any controller, and a
// submission of ours may turn out to have been applied after all.
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

// onRecordDeleted takes up that a job's record was deleted: its final status is durable.
func (s *Scheduler) onRecordDeleted(id string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.otherJobs, id)
	s.deletions[id] = recordDeletion{revision: revision, seenAt: time.Now()}
	s.forgetDeletions()
	if j := s.jobs[id]; j != nil && revision > j.revision {
		s.onFinalRecord(id, j)
	}
}

// forgetDeletions forgets old deletions where there are many. The mutex is held.
func (s *Scheduler) forgetDeletions() {
	for id, deletion := range s.deletions {
		if len(s.deletions) > maxDeletions && time.Since(deletion.seenAt) > deletionRetention {
			delete(s.deletions, id)
		}
	}
}

// onRecordWritten takes up a job that is not known yet.
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
	s.mu.Lock()
	shard := s.shards[record.JobShard]
	if shard == nil {
		// Its later changes record finished tasks, which need not be read here. A job
		// shard that is taken over is loaded from a list.
		s.otherJobs[id] = true
	}
	s.mu.Unlock()
	if shard != nil && event.Rev > shard.epoch && record.CompletedTasks == "" {
		record.KeepUnknownFields(event.Value)
		s.OnJobAccepted(record, event.Rev)
	}
}

// onFinalRecord stops everything of a job whose record says that it is finished. The mutex
// is held.
func (s *Scheduler) onFinalRecord(id string, j *jobState) {
	if j.phase == jobFinished && j.outcome == job.Done {
		// Our own final write is under way, or a cancellation came first: the record
		// decides, and the completion write will read it.
		return
	}
	outcome := j.outcome
	if !j.isFinished() {
		slog.Info(logline.JobCancelled, "job", id)
		outcome = job.Cancelled
	}
	s.onRecorded(id, j, outcome)
}

// onRecorded takes up that a job's final status is durable: what machines still have of it
// is stopped or forgotten. The mutex is held.
func (s *Scheduler) onRecorded(id string, j *jobState, outcome string) {
	j.advance(jobRecorded, outcome)
	s.stopAllTasks(j, 0)
	s.forgetEndedAttempts(j, len(j.completion.ended))
	s.dropIfGone(id, j)
}

// Resync looks for jobs whose end was missed in a gap of the watch.
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

// dropIfGone drops a job whose final status is durable and that no machine has a task of.
// The mutex is held.
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
}
