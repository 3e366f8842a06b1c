package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"robinstack/internal/job"
)

// traceEntry is something that happened, and to which job; "": to all.
type traceEntry struct {
	at    time.Duration
	job   string
	event string
}

// maxTraceEntries bounds the trace: a day of some hundred jobs has a tenth of it.
const maxTraceEntries = 200_000

// note adds to the trace. The mutex is held.
func (h *History) note(id, format string, args ...any) {
	if len(h.trace) < maxTraceEntries {
		h.trace = append(h.trace, traceEntry{time.Since(h.startTime), id, fmt.Sprintf(format, args...)})
	}
}

// RecordFault notes a fault, for the trace.
func (h *History) RecordFault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note("", format, args...)
}

// Trace lists, in their order, the faults and what happened to the jobs that a rule was
// broken for: enough to write a test from.
func (h *History) Trace() (out []string) {
	violations := strings.Join(h.Violations(), " ") + " "
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.trace {
		if t.job == "" || strings.Contains(violations, t.job+" ") || strings.Contains(violations, t.job+"/") {
			out = append(out, fmt.Sprintf("%9.3f s %s %s", t.at.Seconds(), t.job, t.event))
		}
	}
	return out
}

// Violations lists the rules that were broken, and the tasks that are on machines although
// their jobs were acknowledged as cancelled too long ago.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Clone(h.violations)
	for id, j := range h.jobs {
		if !j.isCancelled() || time.Since(j.cancelAcknowledgedAt) <= h.settings.Workers.CancellationDeadline {
			continue
		}
		for index, p := range j.placements {
			out = append(out, fmt.Sprintf("ran_cancelled: %s is on %s %v after its user was told",
				job.TaskID(id, index), p.machine, time.Since(j.cancelAcknowledgedAt)))
		}
	}
	return out
}

// CheckFinalState holds the end of a test against the rules: once all faults have been over
// for long, every accepted job has come to its end, and requests about it are answered.
func (h *History) CheckFinalState() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		j := h.jobs[id]
		if !j.accepted || j.isFinal() {
			continue
		}
		if since := time.Since(j.answeredAt); since > maxUnanswered {
			h.violate("forgotten", "no question about %s was answered for %v", id, since)
			continue
		}
		h.violate("forgotten", "%s has not come to its end: %d of %d tasks complete",
			id, len(j.completed), j.spec.Tasks)
	}
	if h.starts == 0 {
		h.violate("nothing_ran", "no task was started")
	}
}

// OnFirstStart has f called at the first start of each task, with the time since its user
// submitted its job first. It must not ask the history.
func (h *History) OnFirstStart(f func(spec job.Spec, index int, waited time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onFirstStart = f
}

// TaskStarts counts the starts of tasks.
func (h *History) TaskStarts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// TaskRestarts counts the starts of tasks that had been started before.
func (h *History) TaskRestarts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restarts
}

// StartsAfterCancel counts the starts of tasks after their jobs were acknowledged as
// cancelled. Within the cancellation deadline they break no rule; the fewer the better.
func (h *History) StartsAfterCancel() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startsAfterCancel
}

// TimesToStopAfterCancel lists how long tasks were on machines after their jobs were
// acknowledged as cancelled, the shortest first.
func (h *History) TimesToStopAfterCancel() []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(slices.Values(h.cancelToStop))
}

// MaxQuotaOvershoot is the most GPUs by which a team was beyond its quota.
func (h *History) MaxQuotaOvershoot() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.maxOvershoot
}

// RunningTasks counts the tasks of all jobs that are on machines.
func (h *History) RunningTasks() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, j := range h.jobs {
		n += len(j.placements)
	}
	return n
}

// TasksOnMachines counts the tasks of a job that are on machines.
func (h *History) TasksOnMachines(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j := h.jobs[id]; j != nil {
		return len(j.placements)
	}
	return 0
}

// MachineOfFirstTask is the machine of the first of a job's tasks that is on one, or "".
func (h *History) MachineOfFirstTask(id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	if j == nil || len(j.placements) == 0 {
		return ""
	}
	return j.placements[slices.Min(slices.Collect(maps.Keys(j.placements)))].machine
}

// MachineOfTask is the machine that a task is on, or "".
func (h *History) MachineOfTask(task string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, index, _ := job.SplitTaskID(task)
	if j := h.jobs[id]; j != nil {
		return j.placements[index].machine
	}
	return ""
}

// TaskCompleted reports whether a task has completed.
func (h *History) TaskCompleted(task string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, index, _ := job.SplitTaskID(task)
	j := h.jobs[id]
	return j != nil && j.completed[index]
}

// AcceptedJobs lists the jobs that were accepted, by their ids.
func (h *History) AcceptedJobs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for id, j := range h.jobs {
		if j.accepted {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Spec is a job as its user uploaded it; false: nobody did.
func (h *History) Spec(id string) (job.Spec, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	if j == nil {
		return job.Spec{}, false
	}
	return j.spec, true
}

// CancelAcknowledgedAt is when a job, which must have been submitted, was acknowledged as
// cancelled; zero: it was not.
func (h *History) CancelAcknowledgedAt(id string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs[id].cancelAcknowledgedAt
}

// UnansweredJob is an accepted job, not acknowledged as done or cancelled, about which no
// request was answered for at least d; "": there is none.
func (h *History) UnansweredJob(d time.Duration) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, j := range h.jobs {
		if j.accepted && !j.isFinal() && time.Since(j.answeredAt) >= d {
			return id
		}
	}
	return ""
}
