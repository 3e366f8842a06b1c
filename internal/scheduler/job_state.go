package scheduler

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/dag"
	"robinstack/internal/job"
)

// jobPhase is the progress of a job. A job never returns to an earlier phase.
type jobPhase uint8

const (
	// jobBlocked: the job waits for its dependencies; nothing is scheduled for it.
	jobBlocked jobPhase = iota
	// jobRunnable: the job's tasks may be placed.
	jobRunnable
	// jobFinished: this scheduler has determined the final status, which is not durable yet.
	jobFinished
	// jobRecorded: the final status is durable. The job is kept until no machine has a task of it.
	jobRecorded
)

// jobState is an unfinished job of a job shard that this controller holds, or a finished job of
// which machines may still have tasks.
type jobState struct {
	spec        *job.Spec
	record      *job.Record // as read; keeps fields that a later version wrote
	revision    uint64      // revision of the record
	shardID     string
	class       *schedulingClass
	submittedAt time.Time
	readyAt     time.Time // when it became ready: its submission, or the end of its last dependency

	phase      jobPhase  // changed by advance only
	outcome    string    // final status; "" until finished
	finishedAt time.Time // when the scheduler found its last task completed

	// accepted reports whether this session accepted the job, so that no attempt unknown to this
	// scheduler can exist.
	accepted bool

	dependencies      dag.Result
	urgency           dag.Urgency     // rank and deadline derived from the jobs that depend on this one
	effective         *job.Spec       // spec with the effective rank and deadline
	completionTargets []time.Duration // completion targets by which the queue order ranks the job
	startTargets      []time.Duration // start targets of the service-level objectives, in rising order

	tasks     []taskState
	done      job.TaskBitmap
	doneCount int
	attempts  uint64 // highest attempt number used
	started   bool   // a task of it has been placed or completed

	placing          bool // a placement of it is in progress
	nextPlacementAt  time.Time
	failedPlacements int  // placements that found no capacity
	reserving        bool // capacity is reserved for it

	completion pendingCompletion
	failures   failureHistory
	delay      imageDelay
	preemption preemption // used only by the job's placement
}

// advance is the only place where phase and outcome change. It ignores earlier phases. outcome is
// the final status from jobFinished on; a repeated advance to the same or a later phase may correct
// it, because the job's record decides the final status.
func (j *jobState) advance(to jobPhase, outcome string) {
	if to < j.phase {
		return
	}
	j.phase, j.outcome = to, outcome
}

// isFinished reports whether the final status of the job is determined, durable or not.
func (j *jobState) isFinished() bool { return j.phase >= jobFinished }

// isGang reports whether the job's tasks run all together or not at all.
func (j *jobState) isGang() bool { return j.spec.Shape == job.Gang }

// longestStartTarget returns the longest start target of the job, or 0 if there is none.
func (j *jobState) longestStartTarget() time.Duration {
	if len(j.startTargets) == 0 {
		return 0
	}
	return j.startTargets[len(j.startTargets)-1]
}

// countPending counts the unfinished tasks that are pending.
func (j *jobState) countPending() int {
	pending := 0
	for i := range j.tasks {
		if j.tasks[i].status == taskPending && !j.done.Has(i) {
			pending++
		}
	}
	return pending
}

// countRunning counts the tasks that run according to the latest reports of their workers.
func (j *jobState) countRunning() int {
	running := 0
	for i := range j.tasks {
		if j.tasks[i].onMachine() && j.tasks[i].reportedState == "running" {
			running++
		}
	}
	return running
}

// ref returns the reference to the current attempt at a task.
func (j *jobState) ref(index int) agentapi.TaskRef {
	return agentapi.TaskRef{Job: j.spec.ID, Index: index, Attempt: j.tasks[index].attempt}
}
