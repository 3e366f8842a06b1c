package machine

import (
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/worker"
)

// AttemptKey names one attempt at a task on its machine.
type AttemptKey struct {
	TaskID  string
	Attempt uint64
}

// KeyOf is the key of the attempt that ref names.
func KeyOf(ref agentapi.TaskRef) AttemptKey {
	return AttemptKey{job.TaskID(ref.Job, ref.Index), ref.Attempt}
}

// TaskState is what a task does on its machine.
type TaskState string

// States of a task: reserved by a commit, then starting, then whatever the worker's heartbeats
// show.
const (
	// Reserved tasks have capacity kept for them, for a gang that is being assembled.
	Reserved TaskState = "held"
	// Starting tasks are being started, and no heartbeat has shown it yet.
	Starting      TaskState = agentapi.Starting
	Fetching      TaskState = worker.TaskFetching
	AwaitingGang  TaskState = worker.TaskAwaitingGang
	Running       TaskState = worker.TaskRunning
	Checkpointing TaskState = worker.TaskCheckpointing
	Exited        TaskState = worker.TaskExited
)

// Task is one attempt at a task that is on a machine, or may be, or has capacity reserved
// there.
type Task struct {
	Ref      agentapi.TaskRef
	ID       string
	JobShard string
	Spec     *job.Spec // nil until the job's record has been read
	// Unverified: the job's record has to be read (again), for the job may have finished.
	Unverified bool

	submitted time.Time // with Spec
	deadlines []time.Duration
	start     startCommand
	stop      stopCommand

	state        TaskState
	cause        string
	checkpointed bool
	counted      bool // its end has been held for or against its machine

	forget        bool      // its end is recorded: the worker may drop it
	exitedAt      time.Time // when a heartbeat first showed it ended, or when that was last looked into
	reservedUntil time.Time
	runningSince  time.Time
	phases        phaseTimes
}

// startCommand is the start of a task: whether it was sent, and what proves a copy of it dead.
type startCommand struct {
	delivery startDelivery
	token    uint64      // under which it was sent
	fence    uint64      // token that a heartbeat must show before a copy of it is certainly dead
	result   chan string // result for the waiting commit, buffered; nil: none waits
}

// startDelivery is how far the start of a task has come. It only advances.
type startDelivery int

const (
	// startUnsent: nothing of the task has been sent to the worker.
	startUnsent startDelivery = iota
	// startSent: the worker may have the task, or may get its start later.
	startSent
	// startListed: a heartbeat has shown the task.
	startListed
)

// send notes that the start is sent under a token.
func (s *startCommand) send(token uint64) { s.delivery, s.token = startSent, token }

// stopCommand is the request to stop a task, and when it was sent.
type stopCommand struct {
	requested bool
	grace     time.Duration // time to save
	firstSent time.Time
	lastSent  time.Time
}

// NewReserved returns a task that has capacity reserved for it. key is that of ref, which the
// caller has made to look for the attempt.
func NewReserved(
	key AttemptKey, ref agentapi.TaskRef, jobShard string, spec *job.Spec, submitted time.Time,
) *Task {
	return &Task{
		Ref: ref, ID: key.TaskID, JobShard: jobShard,
		Spec: spec, submitted: submitted, state: Reserved,
	}
}

// listed reports whether a heartbeat has shown the task.
func (t *Task) listed() bool { return t.start.delivery == startListed }

// State is what the task does.
func (t *Task) State() TaskState { return t.state }

// Occupies reports whether the task takes capacity.
func (t *Task) Occupies() bool { return t.state != Exited }

// Active reports whether the worker is at work on the task, as its heartbeats show.
func (t *Task) Active() bool { return t.Occupies() && t.state != Reserved && t.state != Starting }

// StartNotSent reports whether the task can be withdrawn: no start of it is under way.
func (t *Task) StartNotSent() bool { return t.state == Starting && t.start.delivery == startUnsent }

// Submitted is when the task's job was submitted; it is known with Spec.
func (t *Task) Submitted() time.Time { return t.submitted }

// RunningSince is when the task was first seen running, or zero.
func (t *Task) RunningSince() time.Time { return t.runningSince }

// Deadlines returns the times by which the job should be done, as worked out from its spec,
// which is done once.
func (t *Task) Deadlines(compute func(*job.Spec) []time.Duration) []time.Duration {
	if t.deadlines == nil {
		t.deadlines = compute(t.Spec)
	}
	return t.deadlines
}

// transition is the one place where a task changes its state: it books the time up to now on
// what the task has been doing. A reserved task becomes starting, and from there the worker's
// heartbeats decide.
func (t *Task) transition(next TaskState, now time.Time) {
	t.phases.book(t.state, now)
	t.state = next
}

// KeepReserved keeps the task's reservation until then.
func (t *Task) KeepReserved(until time.Time) { t.reservedUntil = until }

// ReservationExpired reports whether the task's reservation has ended without a start.
func (t *Task) ReservationExpired(now time.Time) bool {
	return t.state == Reserved && now.After(t.reservedUntil)
}

// Resolve gives the waiting commit its result, once.
func (t *Task) Resolve(result string) {
	if t.start.result != nil {
		t.start.result <- result
		t.start.result = nil
	}
}

// startUnanswered notes that the command with the start had no answer: it may still arrive,
// until a heartbeat shows the token fence.
func (t *Task) startUnanswered(fence uint64) {
	t.start.fence = fence
	if !t.listed() {
		t.Resolve(agentapi.Unresolved)
	}
}

// provenNeverStarted reports whether a heartbeat without the task proves that its start never
// will be carried out: the worker has answered that very command (executed is its token) or
// has seen a token under which the command is dead.
func (t *Task) provenNeverStarted(token, executed uint64) bool {
	if t.start.delivery != startSent {
		return false
	}
	return token > t.start.token || executed != 0 && executed == t.start.token
}

// StopRequested reports whether the task is to be stopped.
func (t *Task) StopRequested() bool { return t.stop.requested }

// StoppedAtOnce reports whether the task is to be stopped without time to save.
func (t *Task) StoppedAtOnce() bool { return t.stop.requested && t.stop.grace == 0 }

// RequestStop has the task stopped with time to save, unless it has been asked for with no
// more already.
func (t *Task) RequestStop(grace time.Duration) {
	if !t.stop.requested || grace < t.stop.grace {
		t.stop = stopCommand{requested: true, grace: grace}
	}
}

// Preempt has the task stopped with the time that it needs to save, and returns that time.
// When a stop was sent before stays known: it is not sent sooner again for this.
func (t *Task) Preempt() time.Duration {
	t.stop.requested, t.stop.grace = true, 0
	if t.Spec.CanCheckpoint() {
		t.stop.grace = t.Spec.CheckpointDuration() + time.Second
	}
	return t.stop.grace
}

// RequestForget lets the worker drop the task once it has ended.
func (t *Task) RequestForget() { t.forget = true }

// Discard has a task stopped at once and dropped, also one that saves: its job has finished,
// and whatever it does is of no use to anybody.
func (t *Task) Discard() {
	t.forget = true
	t.RequestStop(0)
}

// SetRecord takes in the job's record.
func (t *Task) SetRecord(rec *job.Record) {
	t.Unverified = false
	t.Spec, t.JobShard, t.submitted, t.deadlines = &rec.Spec, rec.JobShard, rec.SubmittedAt(), nil
}

// SetJobFinished takes note that there is no record of the job any more.
func (t *Task) SetJobFinished() {
	t.Unverified = false
	t.Discard()
	t.Spec = &job.Spec{}
}

// NeedsVerification reports whether the worker runs the task although it is not known whether
// its job goes on, and no stop without grace is under way.
func (t *Task) NeedsVerification() bool {
	return t.Unverified && t.listed() && t.Occupies() && !t.StoppedAtOnce()
}

// RecheckExit has the job's record read again if the task has been ended for that long without
// word that its end is recorded, and returns whether it has to be. The time counts anew then.
func (t *Task) RecheckExit(now time.Time, after time.Duration) bool {
	if t.state != Exited || t.forget || now.Sub(t.exitedAt) <= after {
		return false
	}
	t.exitedAt, t.Unverified = now, true
	return true
}

// PreemptionLoss is what stopping the task costs, in GPU-seconds.
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

// phase is what the time of a task is booked on.
type phase int

const (
	fetchPhase phase = iota
	gangWaitPhase
	runPhase
	checkpointPhase
	phaseCount
)

// phaseOf tells the phase of the states in which time is booked.
var phaseOf = map[TaskState]phase{
	Starting: fetchPhase, Fetching: fetchPhase, AwaitingGang: gangWaitPhase,
	Running: runPhase, Checkpointing: checkpointPhase,
}

// phaseTimes is how long a task has been in each phase, as seen here.
type phaseTimes struct {
	spent       [phaseCount]time.Duration
	bookedUntil time.Time
}

// book adds the time up to now to the phase of a state.
func (p *phaseTimes) book(state TaskState, now time.Time) {
	if k, on := phaseOf[state]; on && !p.bookedUntil.IsZero() {
		p.spent[k] += now.Sub(p.bookedUntil)
	}
	p.bookedUntil = now
}

// logFinished logs what a task did on the machine, once it is not there any more or is
// another owner's to follow. The audit adds it up.
func (m *Machine) logFinished(t *Task, now time.Time, cause string) {
	t.phases.book(t.state, now)
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

// seconds rounds to milliseconds, for the log.
func seconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }
