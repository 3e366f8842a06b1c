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

type taskKey struct {
	id      string
	attempt uint64
}

// task is a task that is on a machine, or may be, or has room reserved there.
type task struct {
	ref       agentapi.TaskRef
	id        string
	slot      string
	spec      *job.Spec       // nil until the job's record has been read
	submitted time.Time       // with spec
	limits    []time.Duration // of spec, once asked for
	verify    bool            // read the record (again): the job may be over
	state     string
	cause     string
	saved     bool
	seen      bool // a report has shown it
	sent      bool
	sentToken uint64
	fence     uint64    // token that a report must show before a copy of the start is certainly dead
	endedAt   time.Time // when a report first showed it ended, or when that was last looked into
	stop      bool
	grace     time.Duration
	stopFirst time.Time // when the stop was sent first
	stopSent  time.Time // and last
	forget    bool
	holdUntil time.Time
	runningAt time.Time
	spent     [4]time.Duration // fetching, gathering, running, saving, as seen here
	passed    time.Time        // until when that is booked
	counted   bool             // its end has been held for or against its machine
	result    chan string      // verdict for the waiting commit, buffered
}

const stateHeld = "held"

func (t *task) uses() bool { return t.state != worker.TaskExited }

// settle gives the waiting commit its verdict.
func (t *task) settle(verdict string) {
	if t.result != nil {
		t.result <- verdict
		t.result = nil
	}
}

// machine is a machine that this controller owns. The agent's mutex guards it.
type machine struct {
	name      string
	address   string
	typeName  string
	zone      string
	spot      bool
	keyRev    uint64 // of the machine's key
	rev       uint64 // of our ownership
	counter   uint64
	seenToken uint64
	session   uint64
	seq       uint64
	reported  serial // the latest report that came here, answers to commands left aside
	lost      int    // commands in a row that had no answer
	lostAt    time.Time
	tasks     map[taskKey]*task
	images    map[string]time.Time
	fetches   map[string]*fetch // by image
	fetchesAt time.Time         // up to when they were followed
	settled   bool
	draining  bool
	removing  bool
	gone      bool
	silent    bool
	mute      bool                 // commands reach it, and its reports do not come
	faulty    bool                 // jobs that run well elsewhere failed here
	failures  map[string]time.Time // jobs whose tasks failed here, until it is known whose fault it was
	blamed    map[string]bool      // those that run well elsewhere
	doneAt    time.Time            // when a task completed here last
	noticeAt  time.Time            // when the cloud takes it; zero: no notice
	leased    bool                 // a report was answered, by this owner or one before
	heard     time.Time
	toldAt    time.Time // when its latest report came here, or its ownership began
	answerEnd time.Time // last moment at which anyone may have answered its worker
	idleSince time.Time
	ver       uint64
	turn      int           // when it is inspected
	place     *list.Element // among those by their last change
	kick      chan struct{}
	quit      chan struct{}
	retryAt   time.Time

	used   job.Need // what tasks take, while summed is true
	known  bool     // whether all their needs are
	busy   bool     // whether there are any
	summed bool
	rooms  *rooms // told when that changes

	keptUntil time.Time // a gang has just left it: kept for the next for a moment
	keptRank  int       // priority of that gang

	claimedBy    string // job for which tasks of lower priority were stopped, or room is gathered
	claimedUntil time.Time
	claimedSince time.Time // since when that job could start
}

func (m *machine) token() uint64 { return m.rev<<tokenBits + m.counter }

// answered notes that a report was answered. An answer that was begun earlier and
// given later must not set the end back: the worker's lease would be taken for over
// while it runs.
func (m *machine) answered(now time.Time) {
	if now.After(m.answerEnd) {
		m.answerEnd = now
	}
}

// unfenced reports whether an unanswered command may still be under way.
func (m *machine) unfenced() bool { return m.seenToken < m.token() }

func (m *machine) newer(r *worker.Heartbeat) bool {
	return serial{m.session, m.seq}.before(serialOf(r))
}

// serial is what tells which of two messages of a worker is the newer one.
type serial struct{ session, seq uint64 }

func serialOf(r *worker.Heartbeat) serial { return serial{r.WorkerEpoch, r.Sequence} }

func (s serial) before(o serial) bool {
	return o.session > s.session || o.session == s.session && o.seq > s.seq
}

// Each report has a number of its own, and a worker has one under way at a time. So one
// that is not beyond the latest that came is a copy: its worker has had its answer, or
// has given it up, and drops any that is given now.

// most are how far a worker's numbers may go on from the last ones known: ten years of
// two reports a second, and sessions of some seconds each. What is beyond them, or goes
// where a number cannot, is a mistake and must not make all later reports old.
const (
	mostSeq     = 1 << 30
	mostSession = 1 << 24
)

// odd says why a report cannot be this machine's, or "".
func (m *machine) odd(r *worker.Heartbeat) string {
	switch {
	case r.Address != m.address:
		return "its address is another machine's"
	case r.WorkerEpoch > m.session+mostSession || r.Sequence > max(m.seq, m.reported.seq)+mostSeq:
		return "its numbers are out of range"
	}
	return ""
}

// A machine that reports while commands do not reach it gets nothing new after the first
// one without an answer (unfenced). After deafAfter in a row, over deafFor at least, it
// counts as silent for all who ask whether it serves: nothing can be placed there.
const (
	deafAfter = 3
	deafFor   = 5 * time.Second
)

// deaf reports whether commands do not reach the machine although it reports.
func (m *machine) deaf(now time.Time) bool {
	return m.lost >= deafAfter && now.Sub(m.lostAt) >= deafFor
}

// A machine whose reports reach nobody while commands reach it answers each of them, and
// loses all its tasks whenever its lease runs out: no answer to a command renews that.
// After two thirds of a lease without a report it counts as silent too, for all who ask
// whether it serves: what began there now would soon be killed. Workers that look for their
// owner after a change find it long before.

// serves reports whether the machine may get work.
func (m *machine) serves() bool { return !m.silent && !m.mute }

// unheard notes that a command had no answer.
func (m *machine) unheard(now time.Time) {
	if m.lost == 0 {
		m.lostAt = now
	}
	m.lost++
}

// put and drop keep the tasks and what is known of the machine's room together.
func (m *machine) put(key taskKey, t *task) {
	m.tasks[key] = t
	m.roomChanged()
}

func (m *machine) drop(key taskKey) {
	if t := m.tasks[key]; t != nil && t.seen && t.state != worker.TaskExited {
		m.over(t, time.Now(), "lost")
	}
	delete(m.tasks, key)
	m.roomChanged()
}

// roomChanged has what is known of the machine's room worked out anew.
func (m *machine) roomChanged() {
	m.summed = false
	if m.rooms != nil {
		m.rooms.dirty[m] = true
	}
}

// pass books the time up to now on what the task has been doing.
func (t *task) pass(now time.Time) {
	if k, on := phases[t.state]; on && !t.passed.IsZero() {
		t.spent[k] += now.Sub(t.passed)
	}
	t.passed = now
}

var phases = map[string]int{agentapi.Starting: 0, worker.TaskFetching: 0, worker.TaskAwaitingGang: 1, worker.TaskRunning: 2, worker.TaskCheckpointing: 3}

// over logs what a task did on the machine, once it is not there any more or is
// another owner's to follow. The audit adds it up.
func (m *machine) over(t *task, now time.Time, cause string) {
	t.pass(now)
	if t.spec == nil || t.spec.ID == "" {
		return
	}
	s := t.spec
	slog.Info(logline.TaskFinished, "task", t.id, "attempt", t.ref.Attempt, "machine", m.name, "cause", cause, "checkpointed", t.saved, "cpus", s.CPUs, "gpus", s.GPUs, "mem_gb", s.MemoryGB,
		"fetch_s", seconds(t.spent[0]), "gang_wait_s", seconds(t.spent[1]), "run_s", seconds(t.spent[2]), "checkpoint_s", seconds(t.spent[3]), "checkpoint_interval_s", s.CheckpointS)
}

// seconds rounds to milliseconds, for the log.
func seconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }

// sum adds up what the tasks take, once after each change: drawing looks at
// many machines, of which few have changed.
func (m *machine) sum() {
	if m.summed {
		return
	}
	m.used, m.known, m.busy, m.summed = job.Need{}, true, false, true
	for _, t := range m.tasks {
		if !t.uses() {
			continue
		}
		m.busy = true
		if t.spec == nil {
			m.known = false
			continue
		}
		m.used = m.used.AddScaled(t.spec.Need, 1)
	}
}

// room is what is free; known is false while a task's needs are unknown.
func (m *machine) room(capacity job.Need) (free job.Need, known bool) {
	m.sum()
	return capacity.AddScaled(m.used, -1), m.known
}

// apply brings the tasks up to date from a report and returns whether anything
// changed. executed is the token of the command that the report answers, or 0.
func (m *machine) apply(r *worker.Heartbeat, now time.Time, executed uint64) bool {
	if !m.newer(r) {
		return false
	}
	changed := r.WorkerEpoch != m.session || m.silent
	if r.WorkerEpoch > m.session {
		// A session has its lease from its beginning, answered or not.
		m.answered(now)
	}
	if r.WorkerEpoch > m.session && m.session != 0 {
		// The worker's lease ran out: it killed and forgot everything, and
		// commands for the earlier session are refused from now on.
		for k, t := range m.tasks {
			if t.seen || t.sent {
				t.settle(agentapi.Refused)
				m.drop(k)
			}
		}
	}
	left := m.gangRank()
	m.session, m.seq, m.heard, m.silent = r.WorkerEpoch, r.Sequence, now, false
	m.seenToken = max(m.seenToken, r.FencingToken)
	if m.lost > 0 && !m.unfenced() {
		m.lost = 0 // it has seen our latest token: answers reach it
		changed = true
	}
	if r.SpotNoticeS != nil && m.noticeAt.IsZero() {
		m.noticeAt, changed = now.Add(time.Duration(*r.SpotNoticeS*float64(time.Second))), true
	}
	if !m.settled && r.FencingToken >= m.rev<<tokenBits {
		m.settled, m.answerEnd, changed = true, now, true
	}
	listed := make(map[taskKey]bool, len(r.Tasks))
	for i := range r.Tasks {
		w := &r.Tasks[i]
		key := taskKey{w.ID, w.Attempt}
		listed[key] = true
		t := m.tasks[key]
		if t == nil {
			jobID, index, ok := job.SplitTaskID(w.ID)
			if !ok {
				continue
			}
			t = &task{ref: agentapi.TaskRef{Job: jobID, Index: index, Attempt: w.Attempt}, id: w.ID, verify: true}
			m.put(key, t)
		}
		if t.state != w.State || t.cause != w.Cause || t.saved != w.Checkpointed || !t.seen {
			changed = true
			m.roomChanged()
			t.pass(now)
		}
		t.state, t.cause, t.saved, t.seen, t.sent = w.State, w.Cause, w.Checkpointed, true, true
		m.learn(t, now)
	}
	for k, t := range m.tasks {
		if listed[k] {
			continue
		}
		// A report without the task proves it gone if it was there before. If
		// its start was sent, the worker must have answered that very command
		// or have seen a token under which the command is dead.
		neverStarted := t.sent && !t.seen && (r.FencingToken > t.sentToken || executed != 0 && executed == t.sentToken)
		if t.seen || neverStarted {
			t.settle(agentapi.Refused)
			m.drop(k)
			changed = true
		}
	}
	m.sum()
	if !m.busy && left >= 0 {
		m.keptUntil, m.keptRank = now.Add(gangKeep), left
	}
	if m.busy {
		m.idleSince = time.Time{}
	} else if m.idleSince.IsZero() {
		m.idleSince, changed = now, true
	}
	return changed
}

// gangKeep is how long a machine that a gang has left is kept for other gangs.
// Where gangs come every few seconds the next takes it; otherwise arrays would
// fill it at once and be stopped again for that gang.
const gangKeep = 8 * time.Second

// gangRank is the highest priority of the gangs on the machine, or -1.
func (m *machine) gangRank() int {
	rank := -1
	for _, t := range m.tasks {
		if t.uses() && t.spec != nil && t.spec.Shape == job.Gang {
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

// learn takes note of what a task's state says about its machine.
func (m *machine) learn(t *task, now time.Time) {
	switch t.state {
	case worker.TaskExited:
		if t.endedAt.IsZero() {
			t.endedAt = now
			m.over(t, now, t.cause)
		}
		switch t.cause {
		case worker.CauseNoCapacity, worker.CauseOtherAttempt, worker.CauseUnknownTask:
			// Refused by the worker: it never ran, so there is nothing to record.
			t.settle(agentapi.Refused)
			t.forget = true
			return
		case worker.CauseFailed:
			if !t.counted {
				m.failures[t.ref.Job] = now
			}
		case worker.CauseDone:
			if !t.counted {
				m.doneAt = now
				clear(m.failures)
				clear(m.blamed)
				m.faulty = false
			}
		}
		t.counted = true
	case worker.TaskFetching:
	default:
		if t.runningAt.IsZero() && t.state == worker.TaskRunning {
			t.runningAt = now
		}
		if t.spec != nil {
			m.images[t.spec.Image] = now
		}
	}
	t.settle(agentapi.Started)
}

// doubtFor is how long a machine on which two jobs failed gets no others while it
// is not known whose fault it was: a faulty machine is always free and would
// fail one job after the other.
const doubtFor = 20 * time.Second

// avoidFor is how long a job is kept from a machine on which it failed. Where
// there are few machines it has to be tried there again.
const avoidFor = 40 * time.Second

// inDoubt reports whether the machine may be faulty.
func (m *machine) inDoubt(now time.Time) bool {
	n := 0
	for _, at := range m.failures {
		if now.Sub(at) < doubtFor {
			n++
		}
	}
	return n >= 2
}

// judge takes in whose fault a failure was. Where tasks completed lately, one
// failure of a job that is well is not enough to call the machine faulty.
func (m *machine) judge(v *agentapi.Attribution, now time.Time) {
	if !v.AtFault {
		delete(m.failures, v.Job)
		return
	}
	m.blamed[v.Job] = true
	m.faulty = len(m.blamed) >= 2 || m.doneAt.IsZero() || now.Sub(m.doneAt) > time.Minute
	if m.faulty {
		slog.Info("machine quarantined", "machine", m.name, "jobs_succeeding_elsewhere", len(m.blamed))
	}
}

// repeatStop is how long after a stop it is sent again: a task that saves takes
// its time, and must not be told again with every answer until it is done.
const repeatStop = 2 * time.Second

// pressing reports whether a command is due that must not wait for the next
// report. Forgetting can wait: the task has ended.
func (m *machine) pressing(now time.Time) bool {
	if m.unfenced() {
		return true
	}
	for _, t := range m.tasks {
		if t.state == agentapi.Starting && !t.sent || t.stop && t.uses() && (t.seen || t.sent) && now.Sub(t.stopSent) > repeatStop {
			return true
		}
	}
	return false
}

// orders lists the commands that are due. Starts go only into direct commands:
// they are answered by a report, so it is known whether they were carried out.
func (m *machine) orders(now time.Time, direct bool) []worker.Command {
	var stops, forgets, starts []worker.Command
	for _, t := range m.tasks {
		switch {
		case t.state == worker.TaskExited:
			// A copy of the start that is still under way would start the
			// task anew after its forget.
			if t.forget && m.seenToken >= t.fence {
				forgets = append(forgets, worker.ForgetCommand(t.id, t.ref.Attempt))
			}
		case t.stop && (t.seen || t.sent) && (!direct || now.Sub(t.stopSent) > repeatStop):
			if t.stopFirst.IsZero() {
				t.stopFirst = now
			}
			grace := t.grace
			if now.Sub(t.stopFirst) > grace+5*time.Second {
				grace = 0
			}
			t.stopSent = now
			stops = append(stops, worker.StopCommand(t.id, t.ref.Attempt, grace))
		case direct && t.state == agentapi.Starting && !t.sent && m.settled && !m.unfenced():
			t.sent, t.sentToken = true, m.token()
			starts = append(starts, worker.StartCommand(t.id, t.ref.Attempt))
		}
	}
	return append(append(stops, forgets...), starts...)
}
