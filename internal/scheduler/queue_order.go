package scheduler

import (
	"math"
	"time"

	"robinstack/internal/policy"
)

// The part of the queue order that the policy does not define. The functions in this file have no
// side effects and do not read the clock.

const (
	// startDeadline is the time within which every job must start once it is runnable, including
	// the largest jobs. Operators count a day on which a job misses it as failed.
	startDeadline = 4 * time.Minute

	// overdueBatchTasks bounds the number of tasks in one placement of an overdue job, except for
	// gangs. The job only has to start; after that it has no precedence over other jobs.
	overdueBatchTasks = 8

	// maxBatchTasks bounds the number of tasks in one placement, except for gangs.
	maxBatchTasks = 64
)

// Queue orders of jobs whose start is overdue. At first such a job precedes all others of its rank.
// Once half of the time between becoming overdue and startDeadline has passed, it precedes all
// other jobs. This precedence preempts no tasks. Within a rank the policy's order stays below
// overdueRankOffset, ranks are rankStep apart, and overdueGlobalOrder is above all ranks.
const (
	overdueRankOffset  = 5e8
	rankStep           = 1e9
	overdueGlobalOrder = 1e11
)

// overdueAfter returns the age at which the start of a job becomes overdue. If no task of the job
// has been placed by then, the job goes first in its rank and capacity is reserved for it.
//
// A gang is overdue after half of startDeadline, because all of its machines have to come free.
// Other jobs are overdue after three quarters, because they start with the first machine. Most
// overdue jobs have already missed all their completion targets, and an earlier precedence makes
// other jobs miss theirs: each minute earlier cost 0.03 of the deadlines of class label-read in the
// loss scenario of workload kuopio-fleet.
func (j *jobState) overdueAfter() time.Duration {
	if j.isGang() {
		return startDeadline / 2
	}
	return startDeadline * 3 / 4
}

// startOverdue reports whether the job should have started by now. A job that fails on every
// machine is never overdue.
func (j *jobState) startOverdue(now time.Time) bool {
	if j.started || j.phase == jobBlocked || j.failures.jobAtFault {
		return false
	}
	return now.Sub(j.readyAt) > j.overdueAfter()
}

// eligibleOrder returns the queue order of a job that does not fail on every machine; higher goes
// first.
func (j *jobState) eligibleOrder(pol *policy.Policy, now time.Time) float64 {
	age := now.Sub(j.readyAt)
	switch {
	case !j.startOverdue(now):
		return pol.QueueOrder(j.effective, age, j.completionTargets, j.longestStartTarget())
	case age > (startDeadline+j.overdueAfter())/2:
		return overdueGlobalOrder + age.Seconds()
	}
	return float64(j.effective.Priority())*rankStep + overdueRankOffset + age.Seconds()
}

// queueOrder returns the queue order of the job. Jobs that fail on every machine go last.
func (j *jobState) queueOrder(pol *policy.Policy, now time.Time) float64 {
	if j.failures.jobAtFault {
		return math.Inf(-1)
	}
	return j.eligibleOrder(pol, now)
}

// batchSize returns the maximum number of the job's tasks in one placement.
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

// hasPlaceableTasks reports whether the job has pending tasks that a placement can place. A gang is
// placed only as a whole.
func (j *jobState) hasPlaceableTasks() bool {
	pending := j.countPending()
	return pending > 0 && (!j.isGang() || pending == len(j.tasks))
}
