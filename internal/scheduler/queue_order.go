package scheduler

import (
	"math"
	"time"

	"robinstack/internal/policy"
)

// The queue's order: what of it is not the policy's own. This file decides only; it calls
// nobody and reads no clock.

const (
	// startDeadline is the time within which every job has to start, the largest too, once
	// it can: operators count it a failed day if they do not.
	startDeadline = 4 * time.Minute

	// overdueBatchTasks is how many tasks of an overdue array are placed at once: it has
	// to begin, and then its order is that of any other.
	overdueBatchTasks = 8

	// maxBatchTasks bounds how many tasks of a job one placement looks for.
	maxBatchTasks = 64
)

// Orders of jobs whose start is overdue: before all others of their rank, and, half of the
// remaining time before startDeadline, before all others at all. Going first stops
// nobody's work. The policy's order is below firstInRank within a rank, ranks are rankStep
// apart, and firstOfAll is above all ranks.
const (
	firstInRank = 5e8
	rankStep    = 1e9
	firstOfAll  = 1e11
)

// overdueAfter is when the start of a job is overdue: it goes first in its rank, and
// capacity is reserved for it, if no task of it has been placed by then. A gang's is after
// half of the time, for its machines have to come free; others' after three quarters, for
// they begin with the first place. Those are mostly jobs that are too late for all their
// limits, and every minute earlier costs others theirs: on kuopio-fleet's loss 0.03 of
// label-read's deadlines.
func (j *jobState) overdueAfter() time.Duration {
	if j.isGang() {
		return startDeadline / 2
	}
	return startDeadline * 3 / 4
}

// startOverdue reports whether a job should have started by now. What fails on every
// machine is never overdue.
func (j *jobState) startOverdue(now time.Time) bool {
	if j.begun || j.phase == jobBlocked || j.failures.jobAtFault {
		return false
	}
	return now.Sub(j.readyAt) > j.overdueAfter()
}

// order is the job's place in the queue, higher first.
func (j *jobState) order(pol *policy.Policy, now time.Time) float64 {
	age := now.Sub(j.readyAt)
	switch {
	case !j.startOverdue(now):
		return pol.QueueOrder(j.effective, age, j.limits, j.lastStartObjective())
	case age > (startDeadline+j.overdueAfter())/2:
		return firstOfAll + age.Seconds()
	}
	return float64(j.effective.Priority())*rankStep + firstInRank + age.Seconds()
}

// queueOrder is the order, but for jobs that fail on every machine: those come last.
func (j *jobState) queueOrder(pol *policy.Policy, now time.Time) float64 {
	if j.failures.jobAtFault {
		return math.Inf(-1)
	}
	return j.order(pol, now)
}

// batchSize is how many of the job's tasks one placement looks for.
func (j *jobState) batchSize(now time.Time) int {
	switch {
	case j.isGang():
		return len(j.tasks)
	case j.failures.jobAtFault:
		return 1
	case j.startOverdue(now):
		return overdueBatchTasks
	}
	return maxBatchTasks
}

// hasPlaceableTasks reports whether tasks wait that one placement can place: of a gang, all.
func (j *jobState) hasPlaceableTasks() bool {
	waiting := j.countWaiting()
	return waiting > 0 && (!j.isGang() || waiting == len(j.tasks))
}
