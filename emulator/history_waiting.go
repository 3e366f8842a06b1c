package emulator

import (
	"time"

	"robinstack/internal/job"
)

// Once the faults are over, a job waits no longer than maxWait while there is capacity, and
// the largest of a class begin within largestStartLimit.
const (
	maxWait           = 90 * time.Second
	largestStartLimit = 4 * time.Minute
)

// waitingJob is a job that could start.
type waitingJob struct {
	spec      job.Spec
	tasks     int  // that have to find capacity together; 0: it waits for nothing
	overQuota bool // its team has no quota left for them
}

// CheckWaitingJobs is to be called every second or so: it holds jobs that wait against what
// machines have capacity for. hasCapacity tells whether a job's tasks that are on no
// machine, or one of an array's, find capacity now on machines that nothing keeps from
// serving.
func (h *History) CheckWaitingJobs(hasCapacity func(spec job.Spec, tasks int) bool) {
	// The cloud tells the history with its own mutex held, so not the other way.
	for id, w := range h.waitingJobs() {
		available := w.tasks > 0 && !w.overQuota && hasCapacity(w.spec, w.tasks)
		h.mu.Lock()
		h.checkWaiting(id, available)
		h.mu.Unlock()
	}
}

// waitingJobs lists the jobs that have not ended and could start.
func (h *History) waitingJobs() map[string]waitingJob {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]waitingJob{}
	for id, j := range h.jobs {
		if !j.accepted || j.finalTime > 0 || h.mayBeCancelled(j) || h.awaitsDependencies(j) {
			j.capacitySince = time.Time{}
			continue
		}
		if j.eligibleSince.IsZero() {
			j.eligibleSince = time.Now()
		}
		tasks := j.unplacedTasks()
		if j.spec.Shape == job.Array {
			tasks = min(tasks, 1)
		}
		team := h.settings.Teams[j.spec.Team]
		use := h.usage[j.spec.Team].AddScaled(j.spec.Need, float64(tasks))
		out[id] = waitingJob{j.spec, tasks, exceedsQuota(&team, use)}
	}
	return out
}

// unplacedTasks counts the tasks that are on no machine and have not completed.
func (j *jobHistory) unplacedTasks() int {
	n := j.spec.Tasks - len(j.completed)
	for index := range j.placements {
		if !j.completed[index] {
			n--
		}
	}
	return n
}

// checkWaiting takes note of whether a job waits although there is capacity. The mutex is
// held.
func (h *History) checkWaiting(id string, capacity bool) {
	j, now := h.jobs[id], time.Now()
	if !capacity {
		j.capacitySince = time.Time{}
	} else if j.capacitySince.IsZero() {
		j.capacitySince = now
	}
	if h.faultsEndedAt.IsZero() || j.overdue {
		return
	}
	if waited := now.Sub(latest(j.capacitySince, h.faultsEndedAt)); capacity && waited > maxWait {
		j.overdue = true
		h.violate("waits", "%s has waited for %v while a machine has room and its team is under its limit", id, waited)
	}
	waited := now.Sub(latest(j.eligibleSince, h.faultsEndedAt))
	if len(j.started) == 0 && h.isLargest(&j.spec) && waited > largestStartLimit {
		j.overdue = true
		h.violate("largest", "%s, of the largest of its class, has not begun after %v", id, waited)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isLargest reports whether no accepted job of its class has more tasks.
func (h *History) isLargest(s *job.Spec) bool {
	for _, j := range h.jobs {
		if j.accepted && j.spec.Class == s.Class && j.spec.Tasks > s.Tasks {
			return false
		}
	}
	return true
}
