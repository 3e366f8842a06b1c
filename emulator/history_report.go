package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"robinstack/internal/job"
)

// traceEntry is one event in the trace. An entry without a job concerns all jobs.
type traceEntry struct {
	elapsed time.Duration
	job     string
	event   string
}

// maxTraceEntries bounds the memory of the trace. A simulated day with a few hundred jobs produces
// about a tenth of it.
const maxTraceEntries = 200_000

// traceEvent appends an event to the trace. The caller must hold h.mu.
func (h *History) traceEvent(id, format string, args ...any) {
	if len(h.trace) < maxTraceEntries {
		h.trace = append(h.trace, traceEntry{time.Since(h.startTime), id, fmt.Sprintf(format, args...)})
	}
}

// RecordFault adds an injected fault to the trace.
func (h *History) RecordFault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.traceEvent("", format, args...)
}

// TraceEvent is one event of the trace.
type TraceEvent struct {
	At   time.Time
	Text string
}

// TraceEvents lists all recorded events in order.
func (h *History) TraceEvents() (out []TraceEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, entry := range h.trace {
		out = append(out, TraceEvent{h.startTime.Add(entry.elapsed), strings.TrimSpace(entry.job + " " + entry.event)})
	}
	return out
}

// FirstViolationAt returns the time of the first recorded violation, or the zero time.
func (h *History) FirstViolationAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.firstViolationAt
}

// AllFinal reports whether every accepted job has been reported as done or cancelled.
func (h *History) AllFinal() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, j := range h.jobs {
		if j.accepted && !j.isFinal() {
			return false
		}
	}
	return true
}

// CancelledJobs returns the number of jobs that were acknowledged as cancelled.
func (h *History) CancelledJobs() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, j := range h.jobs {
		if j.isCancelled() {
			n++
		}
	}
	return n
}

// Trace lists in order the injected faults and the events of each job named in a violation: enough
// to reproduce a failure in a test.
func (h *History) Trace() (out []string) {
	violations := strings.Join(h.Violations(), " ") + " "
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, entry := range h.trace {
		if entry.job == "" || strings.Contains(violations, entry.job+" ") ||
			strings.Contains(violations, entry.job+"/") {
			out = append(out, fmt.Sprintf("%9.3f s %s %s", entry.elapsed.Seconds(), entry.job, entry.event))
		}
	}
	return out
}

// Violations lists the violations recorded so far, and the tasks that are still on machines after
// the cancellation deadline of their jobs.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Clone(h.violations)
	for id, j := range h.jobs {
		if !j.isCancelled() || time.Since(j.cancelAcknowledgedAt) <= h.settings.Workers.CancellationDeadline {
			continue
		}
		for index, p := range j.placements {
			out = append(out, fmt.Sprintf("ran_cancelled: %s is still on %s %v after its cancellation was acknowledged",
				job.TaskID(id, index), p.machine, time.Since(j.cancelAcknowledgedAt)))
		}
	}
	return out
}

// CheckFinalState checks the state at the end of a test. It must be called long enough after the
// end of all faults: every accepted job must have been reported as done or cancelled.
func (h *History) CheckFinalState() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		j := h.jobs[id]
		if !j.accepted || j.isFinal() {
			continue
		}
		if since := time.Since(j.lastAnsweredAt); since > maxUnansweredTime {
			h.recordViolation("forgotten", "no request about %s has been answered for %v", id, since)
			continue
		}
		h.recordViolation("forgotten", "%s has not finished: %d of %d tasks have completed",
			id, len(j.completed), j.spec.Tasks)
	}
	if h.starts == 0 {
		h.recordViolation("nothing_ran", "no task has started")
	}
}

// OnFirstStart sets the function that is called at the first start of each task with the time since
// the job was first submitted. f must not call the history, whose mutex is held.
func (h *History) OnFirstStart(f func(spec job.Spec, index int, waited time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onFirstStart = f
}

// TaskStarts returns the number of task starts.
func (h *History) TaskStarts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// TaskRestarts returns the number of starts of tasks that had started before.
func (h *History) TaskRestarts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restarts
}

// StartsAfterCancel returns the number of starts of tasks whose jobs had been acknowledged as
// cancelled. Such starts violate no rule before the cancellation deadline, but should be rare.
func (h *History) StartsAfterCancel() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startsAfterCancel
}

// TimesToStopAfterCancel lists, in ascending order, how long tasks stayed on machines after their
// jobs were acknowledged as cancelled.
func (h *History) TimesToStopAfterCancel() []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(slices.Values(h.timesToStopAfterCancel))
}

// MaxQuotaOvershoot returns the maximum number of GPUs by which a team exceeded its quota.
func (h *History) MaxQuotaOvershoot() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.maxQuotaOvershoot
}

// RunningTasks returns the number of tasks on machines, of all jobs.
func (h *History) RunningTasks() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, j := range h.jobs {
		n += len(j.placements)
	}
	return n
}

// TasksOnMachines returns the number of a job's tasks that are on machines.
func (h *History) TasksOnMachines(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j := h.jobs[id]; j != nil {
		return len(j.placements)
	}
	return 0
}

// MachineOfFirstTask returns the machine of the job's task with the lowest index among those that
// are on machines, or "" if there is none.
func (h *History) MachineOfFirstTask(id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	if j == nil || len(j.placements) == 0 {
		return ""
	}
	return j.placements[slices.Min(slices.Collect(maps.Keys(j.placements)))].machine
}

// MachineOfTask returns the machine that a task is on, or "".
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

// AcceptedJobIDs returns the ids of all accepted jobs, sorted.
func (h *History) AcceptedJobIDs() []string {
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

// SubmittedSpec returns a job's spec as it was submitted, and false if nobody has submitted the
// job.
func (h *History) SubmittedSpec(id string) (job.Spec, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	if j == nil {
		return job.Spec{}, false
	}
	return j.spec, true
}

// CancelAcknowledgedAt returns the time at which a job was acknowledged as cancelled, or the zero
// time. The job must have been submitted.
func (h *History) CancelAcknowledgedAt(id string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs[id].cancelAcknowledgedAt
}

// UnansweredJob returns an accepted, not yet finished job about which no request has been answered
// for at least d, or "" if there is none.
func (h *History) UnansweredJob(d time.Duration) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, j := range h.jobs {
		if j.accepted && !j.isFinal() && time.Since(j.lastAnsweredAt) >= d {
			return id
		}
	}
	return ""
}
