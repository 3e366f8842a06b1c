package scheduler

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/dag"
	"robinstack/internal/job"
)

// jobPhase is how far a job is. A job never returns to an earlier phase.
type jobPhase uint8

const (
	// jobBlocked: it waits for other jobs, and nothing is done for it.
	jobBlocked jobPhase = iota
	// jobRunnable: its tasks may be placed.
	jobRunnable
	// jobFinished: its final status is decided here, and not durable yet.
	jobFinished
	// jobRecorded: its final status is durable. It stays until no machine has a task of it.
	jobRecorded
)

// jobState is an unfinished job of a job shard that this controller holds, or a finished
// one that is not yet off all machines.
type jobState struct {
	spec        *job.Spec
	record      *job.Record // as it was read: what a later version wrote in it is kept
	revision    uint64      // of its record
	shardID     string
	class       *schedulingClass
	submittedAt time.Time
	readyAt     time.Time // when it could start: its submission, or the end of its last dependency

	phase      jobPhase  // changed by advance alone
	outcome    string    // final status, once finished
	finishedAt time.Time // when it was found to be done

	// accepted says that this session accepted it: nothing of it can run unknown to us.
	accepted bool

	dependencies dag.Result
	urgency      dag.Urgency     // handed to it by the jobs that need it
	effective    *job.Spec       // spec with the rank and deadline that it is treated as having
	limits       []time.Duration // what the queue's order goes by
	startWithin  []time.Duration // service-level objectives for when its tasks should have started

	tasks     []taskState
	done      job.TaskBitmap
	doneCount int
	attempts  uint64 // the highest attempt number used
	begun     bool   // a task of it has been placed

	placing   bool // its one placement is at work
	nextTry   time.Time
	tries     int  // placements that found no capacity
	reserving bool // capacity is being reserved for it

	completion completion
	failures   failureHistory
	delay      imageDelay
	preemption preemption // its placement's own
}

// advance is the one place where the phase changes; the outcome is that of the phases
// from jobFinished on. A later record may correct the outcome: it alone decides.
func (j *jobState) advance(to jobPhase, outcome string) {
	if to < j.phase {
		return
	}
	j.phase, j.outcome = to, outcome
}

// isFinished reports whether the job's final status is decided, durable or not.
func (j *jobState) isFinished() bool { return j.phase >= jobFinished }

// isGang reports whether its tasks run all together or not at all.
func (j *jobState) isGang() bool { return j.spec.Shape == job.Gang }

// lastStartObjective is the longest of the objectives for its start, or 0.
func (j *jobState) lastStartObjective() time.Duration {
	if len(j.startWithin) == 0 {
		return 0
	}
	return j.startWithin[len(j.startWithin)-1]
}

// countWaiting counts the tasks without a machine.
func (j *jobState) countWaiting() int {
	waiting := 0
	for i := range j.tasks {
		if j.tasks[i].status == taskPending && !j.done.Has(i) {
			waiting++
		}
	}
	return waiting
}

// countRunning counts the tasks that run, by their workers' last reports.
func (j *jobState) countRunning() int {
	running := 0
	for i := range j.tasks {
		if j.tasks[i].onMachine() && j.tasks[i].state == "running" {
			running++
		}
	}
	return running
}

// ref names the present attempt at a task.
func (j *jobState) ref(index int) agentapi.TaskRef {
	return agentapi.TaskRef{Job: j.spec.ID, Index: index, Attempt: j.tasks[index].attempt}
}
