package scheduler

import (
	"log/slog"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/worker"
)

// resetTask returns a task to pending because its attempt is not on any machine any more. The
// caller must hold s.mu.
func (s *Scheduler) resetTask(j *jobState, index int) {
	task := &j.tasks[index]
	delete(s.placedOn[task.machine], j.ref(index))
	task.transition(taskPending)
}

// onTaskCompleted handles the completion of a task; one completed task completes its whole gang.
// The caller must hold s.mu.
func (s *Scheduler) onTaskCompleted(j *jobState, index int) {
	s.resetTask(j, index)
	s.onTaskSucceeded(j)
	first, last := index, index
	if j.isGang() {
		first, last = 0, len(j.tasks)-1
	}
	for i := first; i <= last; i++ {
		j.markTaskDone(i, time.Now())
	}
	if j.doneCount == len(j.tasks) && !j.isFinished() {
		j.advance(jobFinished, job.Done)
		j.finishedAt = time.Now()
		slog.Info(logline.JobCompleted,
			"job", j.spec.ID, "age", time.Since(j.submittedAt).Round(time.Millisecond))
	}
	s.wake()
}

// markTaskDone marks a task as completed, and its chunk as dirty so that the completion is
// recorded.
func (j *jobState) markTaskDone(index int, now time.Time) {
	if j.done.Has(index) {
		return
	}
	j.done.Add(index)
	j.doneCount++
	j.completion.dirtyChunks[index/job.TasksPerChunk] = true
	j.completion.markDirty(now)
}

// onAttemptEnded handles an attempt that ended without completing its task. The caller must hold
// s.mu.
func (s *Scheduler) onAttemptEnded(j *jobState, index int, cause, machine string) {
	slog.Info("task attempt ended", "task", job.TaskID(j.spec.ID, index), "cause", cause, "machine", machine)
	switch cause {
	case worker.CauseFailed:
		s.onTaskFailed(j, machine)
	case worker.CauseNoCapacity:
		j.failures.avoidMachine(machine, refusalAvoidDuration, time.Now())
	}
	s.onTaskLost(j, index, attemptExited)
}

// queueForgetEnded queues messages to the machines' owners that the first count ended attempts
// may be forgotten, because their results are durable. The caller must hold s.mu.
func (s *Scheduler) queueForgetEnded(j *jobState, count int) {
	s.outbox.forgetItems = append(s.outbox.forgetItems, j.completion.endedAttempts[:count]...)
	j.completion.endedAttempts = j.completion.endedAttempts[count:]
}
