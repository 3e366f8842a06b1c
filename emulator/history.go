package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

// History is what happened on machines and what users were told, held against the rules of
// the protocol as it happens. It knows nothing of what controllers believe.
type History struct {
	settings *config.Settings
	began    time.Time
	calm     time.Time // since when there are no troubles

	mu     sync.Mutex
	jobs   map[string]*past
	used   map[string]job.Need
	over   float64 // most GPUs by which a team was beyond its limit
	broken []string
	starts int
	again  int // starts of tasks that had been started before
	first  func(spec job.Spec, index int, waited time.Duration)
	after  int // starts of tasks after their jobs were told as cancelled
	stayed []time.Duration
	order  LogicalTime
	trace  []traced
}

// traced is something that happened, and to which job; "": to all.
type traced struct {
	at   time.Duration
	job  string
	what string
}

// mostTraced bounds the trace: a day of some hundred jobs has a tenth of it.
const mostTraced = 200_000

func (h *History) note(id, format string, args ...any) {
	if len(h.trace) < mostTraced {
		h.trace = append(h.trace, traced{time.Since(h.began), id, fmt.Sprintf(format, args...)})
	}
}

// RecordFault notes a trouble, for the trace.
func (h *History) RecordFault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note("", format, args...)
}

// Trace lists, in their order, the troubles and what happened to the jobs that a rule was
// broken for: enough to write a test from.
func (h *History) Trace() (out []string) {
	broken := strings.Join(h.Violations(), " ") + " "
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.trace {
		if t.job == "" || strings.Contains(broken, t.job+" ") || strings.Contains(broken, t.job+"/") {
			out = append(out, fmt.Sprintf("%9.3f s %s %s", t.at.Seconds(), t.job, t.what))
		}
	}
	return out
}

// LogicalTime orders questions and answers, also within one instant of fake time: an answer
// received at one is older than a question asked at a later one.
type LogicalTime uint64

// StampRequest is the moment of a question that a user is about to ask.
func (h *History) StampRequest() LogicalTime {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.order++
	return h.order
}

// past is what is known of a job.
type past struct {
	spec     job.Spec
	offered  time.Time // when its user submitted it first
	on       map[int]stay
	started  map[int]bool // tasks that were on a machine
	accepted bool
	since    time.Time   // since when it is
	known    LogicalTime // when its user was told so
	asked    bool        // its user asked for its cancellation
	told     time.Time   // when it was told as cancelled
	done     bool        // told as done
	final    LogicalTime // when it was told as either
	complete map[int]bool
	answered time.Time // when a question about it was last answered
	unfit    bool      // it can't run, or lacks a field
	begun    bool      // a task of it was on a machine
	ready    time.Time // since when it could start, as seen by Look
	room     time.Time // since when, without a break, it waits while there is room
	late     bool      // that was noted
}

// stay is a task on a machine.
type stay struct {
	machine, zone string
	since         time.Time
}

// NewHistory returns a history in which nothing has happened.
func NewHistory(settings *config.Settings) *History {
	return &History{settings: settings, began: time.Now(), jobs: map[string]*past{}, used: map[string]job.Need{}}
}

// StartTime is when the history began.
func (h *History) StartTime() time.Time { return h.began }

func (h *History) breaks(rule, format string, args ...any) {
	h.broken = append(h.broken, fmt.Sprintf("%s at %.1f s: %s", rule, time.Since(h.began).Seconds(), fmt.Sprintf(format, args...)))
}

// Violations lists the rules that were broken, and the tasks that are on machines although
// their jobs were told as cancelled too long ago.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Clone(h.broken)
	for id, p := range h.jobs {
		if p.told.IsZero() || time.Since(p.told) <= h.settings.Workers.CancellationDeadline {
			continue
		}
		for index, s := range p.on {
			out = append(out, fmt.Sprintf("ran_cancelled: %s is on %s %v after its user was told", job.TaskID(id, index), s.machine, time.Since(p.told)))
		}
	}
	return out
}

// TimesToStopAfterCancel lists how long tasks were on machines after their jobs were told as cancelled.
func (h *History) TimesToStopAfterCancel() []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(slices.Values(h.stayed))
}

// StartsAfterCancel counts the starts of tasks after their jobs were told as cancelled. In
// cancel_s they break no rule; the fewer the better.
func (h *History) StartsAfterCancel() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.after
}

// TaskStarts counts the starts of tasks, and On the tasks of a job that are on machines.
func (h *History) TaskStarts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

func (h *History) TasksOnMachines(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.jobs[id]; p != nil {
		return len(p.on)
	}
	return 0
}

// RunningTasks counts the tasks of all jobs that are on machines, and TaskRestarts the starts of
// tasks that had been started before.
func (h *History) RunningTasks() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.jobs {
		n += len(p.on)
	}
	return n
}

func (h *History) TaskRestarts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.again
}

// MaxQuotaOvershoot is the most GPUs by which a team was beyond its limit.
func (h *History) MaxQuotaOvershoot() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.over
}

// OnFirstStart has f called at the first start of each task, with the time since its user
// submitted its job first. It must not ask the history.
func (h *History) OnFirstStart(f func(spec job.Spec, index int, waited time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.first = f
}

// MachineOfFirstTask is the machine that a job's first task found is on, or "".
func (h *History) MachineOfFirstTask(id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.jobs[id]
	if p == nil || len(p.on) == 0 {
		return ""
	}
	return p.on[slices.Min(slices.Collect(maps.Keys(p.on)))].machine
}

// MachineOfTask is the machine that a task is on, or "".
func (h *History) MachineOfTask(task string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, index, _ := job.SplitTaskID(task)
	if p := h.jobs[id]; p != nil {
		return p.on[index].machine
	}
	return ""
}

// AcceptedJobs lists the jobs that were accepted.
func (h *History) AcceptedJobs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for id, p := range h.jobs {
		if p.accepted {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Spec is a job as its user uploaded it.
func (h *History) Spec(id string) (job.Spec, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.jobs[id]
	if p == nil {
		return job.Spec{}, false
	}
	return p.spec, true
}

// RecordSubmission notes that a user is about to submit a job.
func (h *History) RecordSubmission(spec job.Spec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.jobs[spec.ID] == nil {
		h.jobs[spec.ID] = &past{spec: spec, offered: time.Now(), complete: map[int]bool{}, on: map[int]stay{}, started: map[int]bool{}}
	}
}

// RecordCancelRequest notes that a user is about to ask for a cancellation.
func (h *History) RecordCancelRequest(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.jobs[id]; p != nil {
		p.asked = true
	}
}

// RecordInvalidSubmission notes that a user is about to submit what can never run, or lacks a field.
func (h *History) RecordInvalidSubmission(spec job.Spec) {
	h.RecordSubmission(spec)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[spec.ID].unfit = true
}

// RecordResponse takes an answer about a job as it is received: verb is "submit", "query" or
// "cancel", and asked the moment of the question. What was asked before the user had an
// answer may be answered as of then; of two that overlap, neither is the older one.
func (h *History) RecordResponse(verb, id string, asked LogicalTime, code int, status string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.order++
	h.note(id, "%s, asked at %d and answered at %d: %d %s", verb, asked, h.order, code, status)
	p := h.jobs[id]
	if p == nil {
		if code == 200 {
			h.breaks("invented", "%s is told as %s", id, status)
		}
		return
	}
	switch {
	case code == 404 && p.accepted && asked > p.known:
		h.breaks("forgotten", "%s is unknown", id)
	case verb == "submit" && (code == 400 || code == 422) && p.accepted:
		h.breaks("forgotten", "%s is refused with %d when submitted again", id, code)
	}
	if code != 200 && code != 201 {
		return
	}
	if !h.calm.IsZero() && p.accepted && time.Since(p.answered) > forgottenAfter {
		h.breaks("forgotten", "no question about %s was answered for %v", id, time.Since(p.answered))
	}
	if p.unfit && verb != "cancel" {
		h.breaks("unfit", "%s is accepted and can't run, or lacks a field", id)
	}
	if p.answered = time.Now(); !p.accepted {
		p.accepted, p.since, p.known = true, p.answered, h.order
	}
	switch status {
	case job.Done:
		if len(p.complete) < p.spec.Tasks {
			h.breaks("not_done", "%s is told as done with %d of %d tasks complete", id, len(p.complete), p.spec.Tasks)
		}
		if !p.told.IsZero() {
			h.breaks("went_back", "%s is told as done after withdrawn", id)
		}
		if !p.done {
			p.done, p.final = true, h.order
		}
	case job.Cancelled:
		switch {
		case p.done:
			h.breaks("went_back", "%s is told as withdrawn after done", id)
		case p.told.IsZero() && !h.withdrawn(p):
			h.breaks("went_back", "%s is told as withdrawn and nobody asked for it", id)
		case p.told.IsZero():
			p.told, p.final = time.Now(), h.order
		}
	default:
		if p.final > 0 && asked > p.final {
			h.breaks("went_back", "%s is told as %s after its end", id, status)
		}
		for _, before := range p.spec.WaitsOn {
			// One that is submitted later is accepted all the same.
			if b := h.jobs[before]; b != nil && !b.told.IsZero() && min(time.Since(b.told), time.Since(p.since)) > h.settings.Workers.CancellationDeadline {
				h.breaks("orphaned", "%s is told as %s %v after %s was cancelled", id, status, time.Since(b.told), before)
			}
		}
	}
}

// withdrawn reports whether a job's user asked for its cancellation, or for that of one
// before it.
func (h *History) withdrawn(p *past) bool {
	return p.asked || slices.ContainsFunc(p.spec.WaitsOn, func(id string) bool { return h.jobs[id] != nil && h.withdrawn(h.jobs[id]) })
}

// RecordTaskStart notes that a task has its image and is on a machine from now on.
func (h *History) RecordTaskStart(task, machine, typeName, zone string, spot bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	id, index, _ := job.SplitTaskID(task)
	h.note(id, "%d starts on %s", index, machine)
	p := h.jobs[id]
	if p == nil {
		h.breaks("invented", "%s starts and nobody submitted it", task)
		return
	}
	if s, twice := p.on[index]; twice {
		h.breaks("ran_twice", "%s starts on %s while it is on %s", task, machine, s.machine)
	}
	if !p.told.IsZero() {
		h.after++
	}
	if !p.told.IsZero() && time.Since(p.told) > h.settings.Workers.CancellationDeadline {
		h.breaks("ran_cancelled", "%s starts on %s %v after its user was told", task, machine, time.Since(p.told))
	}
	if !p.spec.AllowsMachine(typeName, zone, spot) {
		h.breaks("wrong_place", "%s starts on %s", task, machine)
	}
	inZone := map[string]int{zone: 1}
	for other, s := range p.on {
		if other != index {
			inZone[s.zone]++
		}
	}
	if p.spec.OneZone && len(inZone) > 1 || p.spec.Spread && inZone[zone] > (p.spec.Tasks+1)/2 {
		h.breaks("wrong_place", "%s starts in %s, its job's tasks are in %v", task, zone, inZone)
	}
	for _, before := range p.spec.WaitsOn {
		if b := h.jobs[before]; b == nil || len(b.complete) < b.spec.Tasks {
			h.breaks("too_early", "%s starts before %s is done", task, before)
		}
	}
	if p.complete[index] {
		h.breaks("ran_twice", "%s starts anew although it has completed", task)
	}
	if p.started[index] {
		h.again++
	} else if h.first != nil {
		h.first(p.spec, index, time.Since(p.offered))
	}
	p.begun, p.started[index] = true, true
	p.on[index] = stay{machine, zone, time.Now()}
	h.used[p.spec.Team] = h.used[p.spec.Team].AddScaled(p.spec.Need, 1)
	team, use := h.settings.Teams[p.spec.Team], h.used[p.spec.Team]
	if team.GPUQuota > 0 && use.GPUs > team.GPUQuota+1e-6 || team.CPUQuota > 0 && use.CPUs > team.CPUQuota+1e-6 {
		h.breaks("quota", "team %s uses %v", p.spec.Team, use)
		h.over = max(h.over, use.GPUs-team.GPUQuota)
	}
}

// RecordTaskRemoval notes that a task is not on its machine any more.
func (h *History) RecordTaskRemoval(task, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, index, _ := job.SplitTaskID(task)
	p := h.jobs[id]
	if p == nil {
		return
	}
	if s, is := p.on[index]; !is || s.machine != machine {
		return
	}
	delete(p.on, index)
	h.note(id, "%d is gone from %s", index, machine)
	h.used[p.spec.Team] = h.used[p.spec.Team].AddScaled(p.spec.Need, -1)
	if p.told.IsZero() {
		return
	}
	after := time.Since(p.told)
	h.stayed = append(h.stayed, after)
	if after > h.settings.Workers.CancellationDeadline {
		h.breaks("ran_cancelled", "%s was on %s until %v after its user was told", task, machine, after)
	}
}

// RecordTaskCompletion notes that a task has completed.
func (h *History) RecordTaskCompletion(task string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, index, _ := job.SplitTaskID(task)
	if p := h.jobs[id]; p != nil {
		p.complete[index] = true
		h.note(id, "%d has completed", index)
	}
}

// TaskCompleted reports whether a task has completed.
func (h *History) TaskCompleted(task string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, index, _ := job.SplitTaskID(task)
	p := h.jobs[id]
	return p != nil && p.complete[index]
}

// RecordFaultsEnded notes that all troubles are over.
func (h *History) RecordFaultsEnded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calm = time.Now()
	for _, p := range h.jobs {
		p.answered = time.Now()
	}
}

// CancelAcknowledgedAt is when a job was told as cancelled.
func (h *History) CancelAcknowledgedAt(id string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs[id].told
}

// UnansweredJob is a job, not told as over, about which no question was answered for so long.
func (h *History) UnansweredJob(d time.Duration) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, p := range h.jobs {
		if p.accepted && !p.done && p.told.IsZero() && time.Since(p.answered) >= d {
			return id
		}
	}
	return ""
}

// CheckWaitingJobs is to be called every second or so: it holds jobs that wait against what machines
// have room for. fits tells whether a job's tasks that are on no machine, or one of an
// array's, find room now on machines that nothing keeps from serving.
func (h *History) CheckWaitingJobs(fits func(spec job.Spec, tasks int) bool) {
	// The fleet asks the history with its own books held still, so not the other way.
	for id, w := range h.waiting() {
		room := w.least > 0 && !w.limited && fits(w.spec, w.least)
		h.mu.Lock()
		h.look(id, room)
		h.mu.Unlock()
	}
}

// wait is what a job that is not over waits for.
type wait struct {
	spec    job.Spec
	least   int // tasks that have to find room together; 0: it waits for nothing
	limited bool
}

// waiting lists the jobs that are not over and could start.
func (h *History) waiting() map[string]wait {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]wait{}
	for id, p := range h.jobs {
		if !p.accepted || p.final > 0 || h.withdrawn(p) || h.waits(p) {
			p.room = time.Time{}
			continue
		}
		if p.ready.IsZero() {
			p.ready = time.Now()
		}
		n := p.spec.Tasks - len(p.complete)
		for index := range p.on {
			if !p.complete[index] {
				n--
			}
		}
		if p.spec.Shape == job.Array {
			n = min(n, 1)
		}
		team, use := h.settings.Teams[p.spec.Team], h.used[p.spec.Team].AddScaled(p.spec.Need, float64(n))
		limited := team.GPUQuota > 0 && use.GPUs > team.GPUQuota+1e-6 || team.CPUQuota > 0 && use.CPUs > team.CPUQuota+1e-6
		out[id] = wait{p.spec, n, limited}
	}
	return out
}

// look takes note of whether a job waits although there is room. The mutex is held.
func (h *History) look(id string, room bool) {
	p, now := h.jobs[id], time.Now()
	if !room {
		p.room = time.Time{}
	} else if p.room.IsZero() {
		p.room = now
	}
	if h.calm.IsZero() || p.late {
		return
	}
	if since := latest(p.room, h.calm); room && now.Sub(since) > waitsAtMost {
		p.late = true
		h.breaks("waits", "%s has waited for %v while a machine has room and its team is under its limit", id, now.Sub(since))
	}
	if since := latest(p.ready, h.calm); !p.begun && h.isLargest(p.spec) && now.Sub(since) > beginsWithin {
		p.late = true
		h.breaks("largest", "%s, of the largest of its class, has not begun after %v", id, now.Sub(since))
	}
}

// Once the troubles are over, a job waits no longer than waitsAtMost while there is room,
// and the largest of a class begin within beginsWithin.
const (
	waitsAtMost  = 90 * time.Second
	beginsWithin = 4 * time.Minute
)

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waits reports whether a job waits for others.
func (h *History) waits(p *past) bool {
	return slices.ContainsFunc(p.spec.WaitsOn, func(id string) bool {
		b := h.jobs[id]
		return b == nil || len(b.complete) < b.spec.Tasks
	})
}

// isLargest reports whether no accepted job of its class has more tasks.
func (h *History) isLargest(s job.Spec) bool {
	for _, p := range h.jobs {
		if p.accepted && p.spec.Class == s.Class && p.spec.Tasks > s.Tasks {
			return false
		}
	}
	return true
}

// CheckFinalState holds the end of a day against the rules: once all troubles have been over for
// long, every accepted job has come to its end, and questions about it are answered.
func (h *History) CheckFinalState() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		p := h.jobs[id]
		switch {
		case !p.accepted:
		case time.Since(p.answered) > forgottenAfter && !p.done && p.told.IsZero():
			h.breaks("forgotten", "no question about %s was answered for %v", id, time.Since(p.answered))
		case !p.done && p.told.IsZero():
			h.breaks("forgotten", "%s has not come to its end: %d of %d tasks complete", id, len(p.complete), p.spec.Tasks)
		}
	}
	if h.starts == 0 {
		h.breaks("nothing_ran", "no task was started")
	}
}

// forgottenAfter is how long a job's questions may go without an answer.
const forgottenAfter = 75 * time.Second
