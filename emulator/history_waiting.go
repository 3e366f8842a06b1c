package emulator

import (
	"time"

	"robinstack/internal/job"
)

// Time limits that apply once faults have ended.
const (
	maxWaitWithCapacity = 90 * time.Second // for a job with capacity and quota available throughout
	maxLargestJobWait   = 4 * time.Minute  // for the first start of the largest jobs of each class
)

// eligibleJob is a job whose dependencies have completed and that has not finished.
type eligibleJob struct {
	spec      job.Spec
	tasks     int  // number of tasks that must be placed together; 0: no task is waiting
	overQuota bool // these tasks would exceed the team's quota
}

// CheckWaitingJobs checks that no job waits too long although there is capacity for it. It must be
// called about once per second. hasCapacity reports whether the given number of tasks of a job fits
// on machines without injected faults; for an array it is asked about one task, for other jobs
// about all tasks that are not on machines.
func (h *History) CheckWaitingJobs(hasCapacity func(spec job.Spec, tasks int) bool) {
	// hasCapacity must be called without h.mu: the cloud calls the history with its own mutex held.
	for id, w := range h.eligibleJobs() {
		canPlace := w.tasks > 0 && !w.overQuota && hasCapacity(w.spec, w.tasks)
		h.mu.Lock()
		h.checkJobWait(id, canPlace)
		h.mu.Unlock()
	}
}

// eligibleJobs returns, by id, the accepted jobs that have not finished, are not to be cancelled
// and do not wait for dependencies.
func (h *History) eligibleJobs() map[string]eligibleJob {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]eligibleJob{}
	for id, j := range h.jobs {
		if !j.accepted || j.finalLogicalTime > 0 || h.cancellationExpected(j) || h.awaitsDependencies(j) {
			j.capacityAvailableSince = time.Time{}
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
		use := h.teamUsage[j.spec.Team].AddScaled(j.spec.Need, float64(tasks))
		out[id] = eligibleJob{j.spec, tasks, exceedsQuota(&team, use)}
	}
	return out
}

// unplacedTasks returns the number of tasks that are not on a machine and have not completed.
func (j *jobHistory) unplacedTasks() int {
	n := j.spec.Tasks - len(j.completed)
	for index := range j.placements {
		if !j.completed[index] {
			n--
		}
	}
	return n
}

// checkJobWait updates how long the job has been waiting although it can be placed, and records a
// violation if it waits too long. canPlace reports whether there is capacity and quota for it now.
// The caller must hold h.mu.
func (h *History) checkJobWait(id string, canPlace bool) {
	j, now := h.jobs[id], time.Now()
	if !canPlace {
		j.capacityAvailableSince = time.Time{}
	} else if j.capacityAvailableSince.IsZero() {
		j.capacityAvailableSince = now
	}
	if h.faultsEndedAt.IsZero() || j.waitViolationRecorded {
		return
	}
	if waited := now.Sub(laterOf(j.capacityAvailableSince, h.faultsEndedAt)); canPlace &&
		waited > maxWaitWithCapacity {
		j.waitViolationRecorded = true
		h.recordViolation(
			"waits", "%s has waited for %v although machines have capacity and its team has quota", id, waited)
	}
	waited := now.Sub(laterOf(j.eligibleSince, h.faultsEndedAt))
	if len(j.started) == 0 && h.isLargestOfClass(&j.spec) && waited > maxLargestJobWait {
		j.waitViolationRecorded = true
		h.recordViolation("largest", "%s, one of the largest jobs of its class, has not started after %v", id, waited)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isLargestOfClass reports whether no accepted job of the same class has more tasks.
func (h *History) isLargestOfClass(s *job.Spec) bool {
	for _, j := range h.jobs {
		if j.accepted && j.spec.Class == s.Class && j.spec.Tasks > s.Tasks {
			return false
		}
	}
	return true
}
