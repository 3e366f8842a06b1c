package machine

import (
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/worker"
)

// AttemptKey identifies one attempt at a task on its machine.
type AttemptKey struct {
	TaskID  string
	Attempt uint64
}

// KeyOf returns the key of the attempt that ref identifies.
func KeyOf(ref agentapi.TaskRef) AttemptKey {
	return AttemptKey{job.TaskID(ref.Job, ref.Index), ref.Attempt}
}

// TaskState is the state of a task on its machine.
type TaskState string

// States of a task. A commit makes it Reserved and then Starting; the later states are those that
// the worker's heartbeats show.
const (
	// Reserved: capacity is kept for a task of a gang that is being assembled.
	Reserved TaskState = "held"
	// Starting: the task is to be started, and no heartbeat has listed it yet.
	Starting      TaskState = agentapi.Starting
	Fetching      TaskState = worker.TaskFetching
	AwaitingGang  TaskState = worker.TaskAwaitingGang
	Running       TaskState = worker.TaskRunning
	Checkpointing TaskState = worker.TaskCheckpointing
	Exited        TaskState = worker.TaskExited
)

// Task is one attempt at a task that is or may be on a machine, or has reserved capacity there.
type Task struct {
	Ref      agentapi.TaskRef
	ID       string
	JobShard string
	Spec     *job.Spec // nil until the job's record has been read
	// Unverified reports whether the job record must be read (again), because the job may have
	// finished.
	Unverified bool

	submitted time.Time // set with Spec
	deadlines []time.Duration
	start     startCommand
	stop      stopCommand

	state        TaskState
	cause        string
	checkpointed bool
	exitCounted  bool // whether the exit has been counted as a success or failure of the machine

	forgetAllowed bool      // whether the worker may forget the task, because its exit is recorded or needs no record
	exitedAt      time.Time // when a heartbeat first showed the exit, or when it was last rechecked
	reservedUntil time.Time
	runningSince  time.Time
	phases        phaseTimes
}

// startCommand tracks the delivery of a task's start command.
type startCommand struct {
	delivery startDelivery
	token    uint64      // fencing token with which the command was sent, or the highest one it may have had
	fence    uint64      // once a heartbeat shows this token, the worker cannot execute the command any more
	result   chan string // buffered, for the result of the commit; nil: no commit waits
}

// startDelivery is the stage of delivery of a start command. It only advances.
type startDelivery int

const (
	// startUnsent: no command for the task has been sent to the worker.
	startUnsent startDelivery = iota
	// startSent: the worker may have received the start or may still receive it.
	startSent
	// startListed: a heartbeat has listed the task.
	startListed
)

// markSent records that the command is sent with the given token.
func (s *startCommand) markSent(token uint64) { s.delivery, s.token = startSent, token }

// stopCommand tracks the request to stop a task and the times at which it was sent.
type stopCommand struct {
	requested bool
	grace     time.Duration // time that the task has to save a checkpoint
	firstSent time.Time
	lastSent  time.Time
}

// NewReserved returns a task with reserved capacity. key is KeyOf(ref), which the caller has
// already computed to look up the attempt.
func NewReserved(
	key AttemptKey, ref agentapi.TaskRef, jobShard string, spec *job.Spec, submitted time.Time,
) *Task {
	return &Task{
		Ref: ref, ID: key.TaskID, JobShard: jobShard,
		Spec: spec, submitted: submitted, state: Reserved,
	}
}

// listed reports whether a heartbeat has listed the task.
func (t *Task) listed() bool { return t.start.delivery == startListed }

// State returns the task's state.
func (t *Task) State() TaskState { return t.state }

// Occupies reports whether the task occupies capacity.
func (t *Task) Occupies() bool { return t.state != Exited }

// Active reports whether heartbeats show the task on the worker and it has not exited.
func (t *Task) Active() bool { return t.Occupies() && t.state != Reserved && t.state != Starting }

// StartNotSent reports whether the task is to be started and its start has not been sent, so that
// it can still be withdrawn.
func (t *Task) StartNotSent() bool { return t.state == Starting && t.start.delivery == startUnsent }

// ReadyOrSubmittedAt returns when the task's job was submitted or, if the task came with a commit,
// when the job became ready to start. It is known once Spec is.
func (t *Task) ReadyOrSubmittedAt() time.Time { return t.submitted }

// RunningSince returns when the task was first seen running, or the zero time.
func (t *Task) RunningSince() time.Time { return t.runningSince }

// Deadlines returns the times by which the job should finish. compute derives them from the job's
// spec; the result is cached.
func (t *Task) Deadlines(compute func(*job.Spec) []time.Duration) []time.Duration {
	if t.deadlines == nil {
		t.deadlines = compute(t.Spec)
	}
	return t.deadlines
}

// transition changes the task's state, and adds the time since the last transition to the phase of
// the state that ends. All state changes go through it: a reserved task becomes starting, and from
// there the worker's heartbeats determine the state.
func (t *Task) transition(next TaskState, now time.Time) {
	t.phases.add(t.state, now)
	t.state = next
}

// SetReservationExpiry sets the time at which the task's reservation expires.
func (t *Task) SetReservationExpiry(until time.Time) { t.reservedUntil = until }

// ReservationExpired reports whether the task's reservation has expired before the task was
// started.
func (t *Task) ReservationExpired(now time.Time) bool {
	return t.state == Reserved && now.After(t.reservedUntil)
}

// Resolve sends the result to the commit that waits for the task, if one does. Later calls have no
// effect.
func (t *Task) Resolve(result string) {
	if t.start.result != nil {
		t.start.result <- result
		t.start.result = nil
	}
}

// startUnanswered records that the command with the task's start had no response. The worker may
// still execute it until a heartbeat shows the token fence.
func (t *Task) startUnanswered(fence uint64) {
	t.start.fence = fence
	if !t.listed() {
		t.Resolve(agentapi.Unresolved)
	}
}

// StopRequested reports whether the task is to be stopped.
func (t *Task) StopRequested() bool { return t.stop.requested }

// StopRequestedWithoutGrace reports whether the task is to be stopped without a grace period.
func (t *Task) StopRequestedWithoutGrace() bool { return t.stop.requested && t.stop.grace == 0 }

// RequestStop requests that the task be stopped with the given grace period. It has no effect if a
// stop with the same or a shorter grace period has been requested already.
func (t *Task) RequestStop(grace time.Duration) {
	if !t.stop.requested || grace < t.stop.grace {
		t.stop = stopCommand{requested: true, grace: grace}
	}
}

// Preempt requests that the task be stopped with the grace period that it needs to save a
// checkpoint, and returns that period. The times of earlier sends are kept, so the stop is not
// resent sooner.
func (t *Task) Preempt() time.Duration {
	t.stop.requested, t.stop.grace = true, 0
	if t.Spec.CanCheckpoint() {
		t.stop.grace = t.Spec.CheckpointDuration() + time.Second
	}
	return t.stop.grace
}

// RequestForget allows the worker to forget the task once it has exited.
func (t *Task) RequestForget() { t.forgetAllowed = true }

// Discard requests that the task be stopped without a grace period and then forgotten, even while
// it saves a checkpoint. Its job has finished, so its results are not needed.
func (t *Task) Discard() {
	t.forgetAllowed = true
	t.RequestStop(0)
}

// SetRecord sets the task's spec, job shard and submission time from the job record.
func (t *Task) SetRecord(rec *job.Record) {
	t.Unverified = false
	t.Spec, t.JobShard, t.submitted, t.deadlines = &rec.Spec, rec.JobShard, rec.SubmittedAt(), nil
}

// SetJobFinished records that the job record no longer exists, and discards the task.
func (t *Task) SetJobFinished() {
	t.Unverified = false
	t.Discard()
	t.Spec = &job.Spec{}
}

// NeedsVerification reports whether the worker has the task although its job may have finished, and
// no stop without a grace period has been requested.
func (t *Task) NeedsVerification() bool {
	return t.Unverified && t.listed() && t.Occupies() && !t.StopRequestedWithoutGrace()
}

// RecheckExit reports whether the job record must be read again: the task has been in state Exited
// for longer than after, and its exit is still not known to be recorded. If so, that period starts
// again.
func (t *Task) RecheckExit(now time.Time, after time.Duration) bool {
	if t.state != Exited || t.forgetAllowed || now.Sub(t.exitedAt) <= after {
		return false
	}
	t.exitedAt, t.Unverified = now, true
	return true
}

// PreemptionLoss returns the work that is lost when the task is stopped, in GPU-seconds. A task
// without GPUs counts as one GPU.
func (t *Task) PreemptionLoss(now time.Time) float64 {
	lost := 0.0
	switch {
	case t.Spec.CanCheckpoint():
		lost = t.Spec.SaveS
	case t.state == Running:
		lost = now.Sub(t.runningSince).Seconds()
	}
	return lost * max(t.Spec.GPUs, 1)
}

// phase is a category of a task's time.
type phase int

const (
	fetchPhase phase = iota
	gangWaitPhase
	runPhase
	checkpointPhase
	phaseCount
)

// phaseByState maps the states whose time is counted to their phases.
var phaseByState = map[TaskState]phase{
	Starting: fetchPhase, Fetching: fetchPhase, AwaitingGang: gangWaitPhase,
	Running: runPhase, Checkpointing: checkpointPhase,
}

// phaseTimes holds how long a task has been in each phase, as this owner has seen it.
type phaseTimes struct {
	spent        [phaseCount]time.Duration
	countedUntil time.Time
}

// add adds the time since the last call to the phase of state.
func (p *phaseTimes) add(state TaskState, now time.Time) {
	if phase, counted := phaseByState[state]; counted && !p.countedUntil.IsZero() {
		p.spent[phase] += now.Sub(p.countedUntil)
	}
	p.countedUntil = now
}

// logFinished logs the task's times once it has exited, is gone, or is handed over to another
// owner. The audit tool sums up these lines.
func (m *Machine) logFinished(t *Task, now time.Time, cause string) {
	t.phases.add(t.state, now)
	if t.Spec == nil || t.Spec.ID == "" {
		return
	}
	s, spent := t.Spec, &t.phases.spent
	slog.Info(logline.TaskFinished, "task", t.ID, "attempt", t.Ref.Attempt, "machine", m.Name,
		"cause", cause, "checkpointed", t.checkpointed, "cpus", s.CPUs, "gpus", s.GPUs, "mem_gb", s.MemoryGB,
		"fetch_s", seconds(spent[fetchPhase]), "gang_wait_s", seconds(spent[gangWaitPhase]),
		"run_s", seconds(spent[runPhase]), "checkpoint_s", seconds(spent[checkpointPhase]),
		"checkpoint_interval_s", s.CheckpointS)
}

// seconds returns d in seconds, rounded down to milliseconds, for log attributes.
func seconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }
