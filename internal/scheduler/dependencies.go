package scheduler

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"robinstack/internal/dag"
	"robinstack/internal/job"
	"robinstack/internal/logline"
)

const (
	// dependencyRecheckInterval is the interval at which blocked jobs are checked even if the
	// dependency tracker has not changed, so that a tombstone whose read failed is requested again.
	dependencyRecheckInterval = time.Second

	// maxDependenciesShown bounds the dependencies that the status names for one blocked job.
	maxDependenciesShown = 5
)

// checkDependencies evaluates the dependencies of blocked jobs, and updates the urgency that jobs
// inherit from their dependents. The caller must hold s.mu.
func (s *Scheduler) checkDependencies(now time.Time) {
	generation := s.dependencies.Generation()
	if generation == s.dependencyGeneration && now.Sub(s.dependenciesCheckedAt) < dependencyRecheckInterval {
		return
	}
	s.dependencyGeneration, s.dependenciesCheckedAt = generation, now
	for id, j := range s.jobs {
		if j.isFinished() {
			continue
		}
		if j.phase == jobBlocked {
			s.checkBlockedJob(id, j, now)
		}
		// The urgency is also reset when the dependent that caused it has been cancelled.
		if urgency, _ := s.dependencies.Urgency(id); urgency != j.urgency {
			s.setUrgency(j, urgency)
		}
	}
}

// checkBlockedJob evaluates the dependencies of a blocked job. The caller must hold s.mu.
func (s *Scheduler) checkBlockedJob(id string, j *jobState, now time.Time) {
	result, known := s.dependencies.Evaluate(id)
	if !known {
		return // the dependency tracker has not seen the job's record yet
	}
	j.dependencies = result
	switch result.State {
	case dag.Ready:
		j.advance(jobRunnable, "")
		j.readyAt = readyTime(j.submittedAt, result.ReadySince, now)
		s.setUrgency(j, j.urgency)
		slog.Info(logline.JobDependenciesSatisfied,
			"job", id, "elapsed", j.readyAt.Sub(j.submittedAt).Round(time.Millisecond))
	case dag.Cancelled:
		// No task of the job has ever run, and its dependencies can never all be done.
		j.advance(jobFinished, job.Cancelled)
		slog.Info(logline.JobCancelledByDependency, "job", id, "dependency", result.CancelledBy)
	}
}

// readyTime returns when a job became ready: lastEnded, the time when its last dependency ended, or
// now if lastEnded is unknown (zero) or in the future. It is never before the submission.
func readyTime(submittedAt, lastEnded, now time.Time) time.Time {
	ready := lastEnded
	if ready.IsZero() || ready.After(now) {
		ready = now
	}
	if ready.Before(submittedAt) {
		ready = submittedAt
	}
	return ready
}

// setUrgency sets the effective rank and deadline of a job: the job's own, or those inherited from
// its dependents where these are more urgent. The effective deadline counts from the time when the
// job became ready, as its age does. The caller must hold s.mu.
func (s *Scheduler) setUrgency(j *jobState, urgency dag.Urgency) {
	j.urgency = urgency
	effective := *j.spec
	if job.PriorityOfRank(urgency.Rank) > effective.Priority() {
		effective.Rank = urgency.Rank
	}
	deadline := urgency.Deadline
	ownDeadline := j.submittedAt.Add(effective.RelativeDeadline())
	if effective.DeadlineS != nil && (deadline.IsZero() || ownDeadline.Before(deadline)) {
		deadline = ownDeadline
	}
	if !deadline.IsZero() {
		remaining := deadline.Sub(j.readyAt).Seconds()
		effective.DeadlineS = &remaining
	}
	j.effective = &effective
	j.completionTargets = s.settings.CompletionTargets(effective.Class, effective.DeadlineS)
}

// describeDependencies describes for the status which dependencies a blocked job waits for.
func (j *jobState) describeDependencies() string {
	names := slices.Concat(j.dependencies.WaitingOn, j.dependencies.MissingTombstones, j.dependencies.DamagedTombstones)
	if len(names) == 0 {
		return "waits for others; its record is being read"
	}
	suffix := ""
	if len(names) > maxDependenciesShown {
		suffix = fmt.Sprintf(" and %d more", len(names)-maxDependenciesShown)
		names = names[:maxDependenciesShown]
	}
	return "waits for " + strings.Join(names, ", ") + suffix
}
