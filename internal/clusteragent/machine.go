package clusteragent

import (
	"container/list"
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/worker"
)

// tokenBits is the part of a token that an owner may raise by itself; the
// revision of its ownership is above it.
const tokenBits = 20

type attemptKey struct {
	taskID  string
	attempt uint64
}

// task is a task that is on a machine, or may be, or has room reserved there.
type task struct {
	ref             agentapi.TaskRef
	id              string
	jobShard        string
	spec            *job.Spec       // nil until the job's record has been read
	submittedAt     time.Time       // with spec
	sloLimits       []time.Duration // of spec, once asked for
	verifyJob       bool            // read the record (again): the job may be over
	state           string
	cause           string
	checkpointed    bool
	listed          bool // a report has shown it
	startSent       bool
	startToken      uint64
	fenceToken      uint64    // token that a report must show before a copy of the start is certainly dead
	endedAt         time.Time // when a report first showed it ended, or when that was last looked into
	stopRequested   bool
	stopGrace       time.Duration
	stopFirstSent   time.Time // when the stop was sent first
	stopLastSent    time.Time // and last
	forgetRequested bool
	reservedUntil   time.Time
	runningSince    time.Time
	phaseTimes      [4]time.Duration // fetching, gathering, running, saving, as seen here
	bookedUntil     time.Time        // until when that is booked
	outcomeCounted  bool             // its end has been held for or against its machine
	startResult     chan string      // verdict for the waiting commit, buffered
}

const stateReserved = "held"

func (t *task) occupies() bool { return t.state != worker.TaskExited }

// resolve gives the waiting commit its verdict.
func (t *task) resolve(verdict string) {
	if t.startResult != nil {
		t.startResult <- verdict
		t.startResult = nil
	}
}

// machine is a machine that this controller owns. The agent's mutex guards it.
type machine struct {
	name                 string
	address              string
	typeName             string
	zone                 string
	spot                 bool
	keyRev               uint64 // of the machine's key
	ownershipRev         uint64 // of our ownership
	tokenCounter         uint64
	seenToken            uint64
	workerEpoch          uint64
	sequence             uint64
	latestArrival        heartbeatSerial // the latest report that came here, answers to commands left aside
	unansweredCommands   int             // commands in a row that had no answer
	unansweredSince      time.Time
	tasks                map[attemptKey]*task
	images               map[string]time.Time
	fetches              map[string]*imageFetch // by image
	fetchesBookedUntil   time.Time              // up to when they were followed
	reconciled           bool
	draining             bool
	removing             bool
	gone                 bool
	unresponsive         bool
	heartbeatsLost       bool                 // commands reach it, and its reports do not come
	quarantined          bool                 // jobs that run well elsewhere failed here
	unattributedFailures map[string]time.Time // jobs whose tasks failed here, until it is known whose fault it was
	attributedFailures   map[string]bool      // those that run well elsewhere
	lastSuccessAt        time.Time            // when a task completed here last
	reclaimAt            time.Time            // when the cloud takes it; zero: no notice
	heartbeatAnswered    bool                 // a report was answered, by this owner or one before
	lastHeartbeat        time.Time
	lastArrival          time.Time // when its latest report came here, or its ownership began
	lastAnswerBound      time.Time // last moment at which anyone may have answered its worker
	idleSince            time.Time
	version              uint64
	inspectionTurn       int           // when it is inspected
	changeElement        *list.Element // among those by their last change
	wakeup               chan struct{}
	stopped              chan struct{}
	retryAt              time.Time

	usedNeed      job.Need // what tasks take, while summed is true
	needsKnown    bool     // whether all their needs are
	occupied      bool     // whether there are any
	usageValid    bool
	capacityIndex *capacityIndex // told when that changes

	gangHoldUntil    time.Time // a gang has just left it: kept for the next for a moment
	gangHoldPriority int       // priority of that gang

	reservedFor      string // job for which tasks of lower priority were stopped, or room is gathered
	reservedUntil    time.Time
	reservationSince time.Time // since when that job could start
}

func (m *machine) token() uint64 { return m.ownershipRev<<tokenBits + m.tokenCounter }

// noteAnswer notes that a report was answered. An answer that was begun earlier and
// given later must not set the end back: the worker's lease would be taken for over
// while it runs.
func (m *machine) noteAnswer(now time.Time) {
	if now.After(m.lastAnswerBound) {
		m.lastAnswerBound = now
	}
}

// unfenced reports whether an unanswered command may still be under way.
func (m *machine) unfenced() bool { return m.seenToken < m.token() }

func (m *machine) isNewer(r *worker.Heartbeat) bool {
	return heartbeatSerial{m.workerEpoch, m.sequence}.before(serialOf(r))
}

// heartbeatSerial is what tells which of two messages of a worker is the newer one.
type heartbeatSerial struct{ workerEpoch, sequence uint64 }

func serialOf(r *worker.Heartbeat) heartbeatSerial { return heartbeatSerial{r.WorkerEpoch, r.Sequence} }

func (s heartbeatSerial) before(o heartbeatSerial) bool {
	return o.workerEpoch > s.workerEpoch || o.workerEpoch == s.workerEpoch && o.sequence > s.sequence
}

// Each report has a number of its own, and a worker has one under way at a time. So one
// that is not beyond the latest that came is a copy: its worker has had its answer, or
// has given it up, and drops any that is given now.

// most are how far a worker's numbers may go on from the last ones known: ten years of
// two reports a second, and sessions of some seconds each. What is beyond them, or goes
// where a number cannot, is a mistake and must not make all later reports old.
const (
	maxSequenceStep = 1 << 30
	maxEpochStep    = 1 << 24
)

// malformed says why a report cannot be this machine's, or "".
func (m *machine) malformed(r *worker.Heartbeat) string {
	switch {
	case r.Address != m.address:
		return "its address is another machine's"
	case r.WorkerEpoch > m.workerEpoch+maxEpochStep || r.Sequence > max(m.sequence, m.latestArrival.sequence)+maxSequenceStep:
		return "its numbers are out of range"
	}
	return ""
}

// A machine that reports while commands do not reach it gets nothing new after the first
// one without an answer (unfenced). After commandsLostAfter in a row, over commandsLostFor at least, it
// counts as silent for all who ask whether it serves: nothing can be placed there.
const (
	commandsLostAfter = 3
	commandsLostFor   = 5 * time.Second
)

// commandsLost reports whether commands do not reach the machine although it reports.
func (m *machine) commandsLost(now time.Time) bool {
	return m.unansweredCommands >= commandsLostAfter && now.Sub(m.unansweredSince) >= commandsLostFor
}

// A machine whose reports reach nobody while commands reach it answers each of them, and
// loses all its tasks whenever its lease runs out: no answer to a command renews that.
// After two thirds of a lease without a report it counts as silent too, for all who ask
// whether it serves: what began there now would soon be killed. Workers that look for their
// owner after a change find it long before.

// responsive reports whether the machine may get work.
func (m *machine) responsive() bool { return !m.unresponsive && !m.heartbeatsLost }

// noteUnanswered notes that a command had no answer.
func (m *machine) noteUnanswered(now time.Time) {
	if m.unansweredCommands == 0 {
		m.unansweredSince = now
	}
	m.unansweredCommands++
}

// addTask and drop keep the tasks and what is known of the machine's room together.
func (m *machine) addTask(key attemptKey, t *task) {
	m.tasks[key] = t
	m.usageChanged()
}

func (m *machine) removeTask(key attemptKey) {
	if t := m.tasks[key]; t != nil && t.listed && t.state != worker.TaskExited {
		m.logFinished(t, time.Now(), "lost")
	}
	delete(m.tasks, key)
	m.usageChanged()
}

// usageChanged has what is known of the machine's room worked out anew.
func (m *machine) usageChanged() {
	m.usageValid = false
	if m.capacityIndex != nil {
		m.capacityIndex.dirty[m] = true
	}
}

// bookPhaseTime books the time up to now on what the task has been doing.
func (t *task) bookPhaseTime(now time.Time) {
	if k, on := phaseIndex[t.state]; on && !t.bookedUntil.IsZero() {
		t.phaseTimes[k] += now.Sub(t.bookedUntil)
	}
	t.bookedUntil = now
}

var phaseIndex = map[string]int{agentapi.Starting: 0, worker.TaskFetching: 0, worker.TaskAwaitingGang: 1, worker.TaskRunning: 2, worker.TaskCheckpointing: 3}

// logFinished logs what a task did on the machine, once it is not there any more or is
// another owner's to follow. The audit adds it up.
func (m *machine) logFinished(t *task, now time.Time, cause string) {
	t.bookPhaseTime(now)
	if t.spec == nil || t.spec.ID == "" {
		return
	}
	s := t.spec
	slog.Info(logline.TaskFinished, "task", t.id, "attempt", t.ref.Attempt, "machine", m.name, "cause", cause, "checkpointed", t.checkpointed, "cpus", s.CPUs, "gpus", s.GPUs, "mem_gb", s.MemoryGB,
		"fetch_s", seconds(t.phaseTimes[0]), "gang_wait_s", seconds(t.phaseTimes[1]), "run_s", seconds(t.phaseTimes[2]), "checkpoint_s", seconds(t.phaseTimes[3]), "checkpoint_interval_s", s.CheckpointS)
}

// seconds rounds to milliseconds, for the log.
func seconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }

// sumUsage adds up what the tasks take, once after each change: drawing looks at
// many machines, of which few have changed.
func (m *machine) sumUsage() {
	if m.usageValid {
		return
	}
	m.usedNeed, m.needsKnown, m.occupied, m.usageValid = job.Need{}, true, false, true
	for _, t := range m.tasks {
		if !t.occupies() {
			continue
		}
		m.occupied = true
		if t.spec == nil {
			m.needsKnown = false
			continue
		}
		m.usedNeed = m.usedNeed.AddScaled(t.spec.Need, 1)
	}
}

// freeCapacity is what is free; known is false while a task's needs are unknown.
func (m *machine) freeCapacity(capacity job.Need) (free job.Need, known bool) {
	m.sumUsage()
	return capacity.AddScaled(m.usedNeed, -1), m.needsKnown
}

// apply brings the tasks up to date from a report and returns whether anything
// changed. executed is the token of the command that the report answers, or 0.
func (m *machine) apply(r *worker.Heartbeat, now time.Time, executed uint64) bool {
	if !m.isNewer(r) {
		return false
	}
	changed := r.WorkerEpoch != m.workerEpoch || m.unresponsive
	if r.WorkerEpoch > m.workerEpoch {
		// A session has its lease from its beginning, answered or not.
		m.noteAnswer(now)
	}
	if r.WorkerEpoch > m.workerEpoch && m.workerEpoch != 0 {
		// The worker's lease ran out: it killed and forgot everything, and
		// commands for the earlier session are refused from now on.
		for k, t := range m.tasks {
			if t.listed || t.startSent {
				t.resolve(agentapi.Refused)
				m.removeTask(k)
			}
		}
	}
	left := m.gangPriority()
	m.workerEpoch, m.sequence, m.lastHeartbeat, m.unresponsive = r.WorkerEpoch, r.Sequence, now, false
	m.seenToken = max(m.seenToken, r.FencingToken)
	if m.unansweredCommands > 0 && !m.unfenced() {
		m.unansweredCommands = 0 // it has seen our latest token: answers reach it
		changed = true
	}
	if r.SpotNoticeS != nil && m.reclaimAt.IsZero() {
		m.reclaimAt, changed = now.Add(time.Duration(*r.SpotNoticeS*float64(time.Second))), true
	}
	if !m.reconciled && r.FencingToken >= m.ownershipRev<<tokenBits {
		m.reconciled, m.lastAnswerBound, changed = true, now, true
	}
	listed := make(map[attemptKey]bool, len(r.Tasks))
	for i := range r.Tasks {
		w := &r.Tasks[i]
		key := attemptKey{w.ID, w.Attempt}
		listed[key] = true
		t := m.tasks[key]
		if t == nil {
			jobID, index, ok := job.SplitTaskID(w.ID)
			if !ok {
				continue
			}
			t = &task{ref: agentapi.TaskRef{Job: jobID, Index: index, Attempt: w.Attempt}, id: w.ID, verifyJob: true}
			m.addTask(key, t)
		}
		if t.state != w.State || t.cause != w.Cause || t.checkpointed != w.Checkpointed || !t.listed {
			changed = true
			m.usageChanged()
			t.bookPhaseTime(now)
		}
		t.state, t.cause, t.checkpointed, t.listed, t.startSent = w.State, w.Cause, w.Checkpointed, true, true
		m.takeOutcome(t, now)
	}
	for k, t := range m.tasks {
		if listed[k] {
			continue
		}
		// A report without the task proves it gone if it was there before. If
		// its start was sent, the worker must have answered that very command
		// or have seen a token under which the command is dead.
		neverStarted := t.startSent && !t.listed && (r.FencingToken > t.startToken || executed != 0 && executed == t.startToken)
		if t.listed || neverStarted {
			t.resolve(agentapi.Refused)
			m.removeTask(k)
			changed = true
		}
	}
	m.sumUsage()
	if !m.occupied && left >= 0 {
		m.gangHoldUntil, m.gangHoldPriority = now.Add(gangHoldTime), left
	}
	if m.occupied {
		m.idleSince = time.Time{}
	} else if m.idleSince.IsZero() {
		m.idleSince, changed = now, true
	}
	return changed
}

// gangHoldTime is how long a machine that a gang has left is kept for other gangs.
// Where gangs come every few seconds the next takes it; otherwise arrays would
// fill it at once and be stopped again for that gang.
const gangHoldTime = 8 * time.Second

// gangPriority is the highest priority of the gangs on the machine, or -1.
func (m *machine) gangPriority() int {
	rank := -1
	for _, t := range m.tasks {
		if t.occupies() && t.spec != nil && t.spec.Shape == job.Gang {
			rank = max(rank, t.spec.Priority())
		}
	}
	return rank
}

// imageState is 1 if the image is known to be on the machine, and half of that
// if another task is having it fetched.
func (m *machine) imageState(image string) float64 {
	if _, has := m.images[image]; has {
		return 1
	}
	for _, t := range m.tasks {
		if t.spec != nil && t.spec.Image == image && (t.state == worker.TaskFetching || t.state == agentapi.Starting) {
			return 0.5
		}
	}
	return 0
}

// takeOutcome takes note of what a task's state says about its machine.
func (m *machine) takeOutcome(t *task, now time.Time) {
	switch t.state {
	case worker.TaskExited:
		if t.endedAt.IsZero() {
			t.endedAt = now
			m.logFinished(t, now, t.cause)
		}
		switch t.cause {
		case worker.CauseNoCapacity, worker.CauseOtherAttempt, worker.CauseUnknownTask:
			// Refused by the worker: it never ran, so there is nothing to record.
			t.resolve(agentapi.Refused)
			t.forgetRequested = true
			return
		case worker.CauseFailed:
			if !t.outcomeCounted {
				m.unattributedFailures[t.ref.Job] = now
			}
		case worker.CauseDone:
			if !t.outcomeCounted {
				m.lastSuccessAt = now
				clear(m.unattributedFailures)
				clear(m.attributedFailures)
				m.quarantined = false
			}
		}
		t.outcomeCounted = true
	case worker.TaskFetching:
	default:
		if t.runningSince.IsZero() && t.state == worker.TaskRunning {
			t.runningSince = now
		}
		if t.spec != nil {
			m.images[t.spec.Image] = now
		}
	}
	t.resolve(agentapi.Started)
}

// suspectedFor is how long a machine on which two jobs failed gets no others while it
// is not known whose fault it was: a faulty machine is always free and would
// fail one job after the other.
const suspectedFor = 20 * time.Second

// avoidFor is how long a job is kept from a machine on which it failed. Where
// there are few machines it has to be tried there again.
const avoidFor = 40 * time.Second

// suspected reports whether the machine may be faulty.
func (m *machine) suspected(now time.Time) bool {
	n := 0
	for _, at := range m.unattributedFailures {
		if now.Sub(at) < suspectedFor {
			n++
		}
	}
	return n >= 2
}

// attributeFailure takes in whose fault a failure was. Where tasks completed lately, one
// failure of a job that is well is not enough to call the machine faulty.
func (m *machine) attributeFailure(v *agentapi.Attribution, now time.Time) {
	if !v.AtFault {
		delete(m.unattributedFailures, v.Job)
		return
	}
	m.attributedFailures[v.Job] = true
	m.quarantined = len(m.attributedFailures) >= 2 || m.lastSuccessAt.IsZero() || now.Sub(m.lastSuccessAt) > time.Minute
	if m.quarantined {
		slog.Info("machine quarantined", "machine", m.name, "jobs_succeeding_elsewhere", len(m.attributedFailures))
	}
}

// stopRepeatAfter is how long after a stop it is sent again: a task that saves takes
// its time, and must not be told again with every answer until it is done.
const stopRepeatAfter = 2 * time.Second

// commandDue reports whether a command is due that must not wait for the next
// report. Forgetting can wait: the task has ended.
func (m *machine) commandDue(now time.Time) bool {
	if m.unfenced() {
		return true
	}
	for _, t := range m.tasks {
		if t.state == agentapi.Starting && !t.startSent || t.stopRequested && t.occupies() && (t.listed || t.startSent) && now.Sub(t.stopLastSent) > stopRepeatAfter {
			return true
		}
	}
	return false
}

// dueCommands lists the commands that are due. Starts go only into direct commands:
// they are answered by a report, so it is known whether they were carried out.
func (m *machine) dueCommands(now time.Time, direct bool) []worker.Command {
	var stops, forgets, starts []worker.Command
	for _, t := range m.tasks {
		switch {
		case t.state == worker.TaskExited:
			// A copy of the start that is still under way would start the
			// task anew after its forget.
			if t.forgetRequested && m.seenToken >= t.fenceToken {
				forgets = append(forgets, worker.ForgetCommand(t.id, t.ref.Attempt))
			}
		case t.stopRequested && (t.listed || t.startSent) && (!direct || now.Sub(t.stopLastSent) > stopRepeatAfter):
			if t.stopFirstSent.IsZero() {
				t.stopFirstSent = now
			}
			grace := t.stopGrace
			if now.Sub(t.stopFirstSent) > grace+5*time.Second {
				grace = 0
			}
			t.stopLastSent = now
			stops = append(stops, worker.StopCommand(t.id, t.ref.Attempt, grace))
		case direct && t.state == agentapi.Starting && !t.startSent && m.reconciled && !m.unfenced():
			t.startSent, t.startToken = true, m.token()
			starts = append(starts, worker.StartCommand(t.id, t.ref.Attempt))
		}
	}
	return append(append(stops, forgets...), starts...)
}
