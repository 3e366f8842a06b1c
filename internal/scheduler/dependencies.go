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
	// dependencyRecheckInterval is how often blocked jobs are checked although nothing
	// has changed: a final record that could not be read is asked for again.
	dependencyRecheckInterval = time.Second

	// maxDependenciesShown bounds the jobs that the status names for one that waits for
	// them.
	maxDependenciesShown = 5
)

// checkDependencies takes up what has become of the jobs that blocked ones wait for, and
// how urgent those are that others wait for. The mutex is held.
func (s *Scheduler) checkDependencies(now time.Time) {
	changes := s.dependencies.Generation()
	if changes == s.dependencyGeneration && now.Sub(s.dependenciesCheckedAt) < dependencyRecheckInterval {
		return
	}
	s.dependencyGeneration, s.dependenciesCheckedAt = changes, now
	for id, j := range s.jobs {
		if j.isFinished() {
			continue
		}
		if j.phase == jobBlocked {
			s.checkBlocked(id, j, now)
		}
		// Also when nobody needs it any more: the one that did was cancelled.
		if urgency, _ := s.dependencies.Urgency(id); urgency != j.urgency {
			s.setUrgency(j, urgency)
		}
	}
}

// checkBlocked takes up what has become of a blocked job's dependencies. The mutex is
// held.
func (s *Scheduler) checkBlocked(id string, j *jobState, now time.Time) {
	result, known := s.dependencies.Evaluate(id)
	if !known {
		return // its record has not been seen yet
	}
	j.dependencies = result
	switch result.State {
	case dag.Ready:
		j.advance(jobRunnable, "")
		j.readyAt = readyTime(j.submittedAt, result.ReadySince, now)
		s.setUrgency(j, j.urgency)
		slog.Info(logline.JobReady,
			"job", id, "elapsed", j.readyAt.Sub(j.submittedAt).Round(time.Millisecond))
	case dag.Cancelled:
		// Nothing of it has ever run: what it waits for cannot become done any more.
		j.advance(jobFinished, job.Cancelled)
		slog.Info(logline.JobWithdrawn, "job", id, "dependency", result.CancelledBy)
	}
}

// readyTime is when a job could start whose last dependency ended at the given time; zero
// where that is not known.
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

// setUrgency sets the rank and the deadline that the job is treated as having: its own or,
// where that is more urgent, what those that need it hand to it. Its deadline counts from
// when it could start, as its age does. The mutex is held.
func (s *Scheduler) setUrgency(j *jobState, urgency dag.Urgency) {
	j.urgency = urgency
	effective := *j.spec
	if job.PriorityOfRank(urgency.Rank) > effective.Priority() {
		effective.Rank = urgency.Rank
	}
	due := urgency.Deadline
	own := j.submittedAt.Add(effective.RelativeDeadline())
	if effective.DeadlineS != nil && (due.IsZero() || own.Before(due)) {
		due = own
	}
	if !due.IsZero() {
		left := due.Sub(j.readyAt).Seconds()
		effective.DeadlineS = &left
	}
	j.effective = &effective
	j.limits = s.settings.CompletionTargets(effective.Class, effective.DeadlineS)
}

// describeDependencies says what a blocked job waits for.
func (j *jobState) describeDependencies() string {
	names := slices.Concat(j.dependencies.WaitingOn, j.dependencies.MissingTombstones, j.dependencies.DamagedTombstones)
	if len(names) == 0 {
		return "waits for others; its record is being read"
	}
	more := ""
	if len(names) > maxDependenciesShown {
		more = fmt.Sprintf(" and %d more", len(names)-maxDependenciesShown)
		names = names[:maxDependenciesShown]
	}
	return "waits for " + strings.Join(names, ", ") + more
}
