package emulator

import (
	"slices"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

// TaskStart describes a task that has fetched its image and now starts on a machine.
type TaskStart struct {
	Task        string
	Machine     string
	MachineType string
	Zone        string
	Spot        bool
}

// RecordTaskStart records the start of a task and checks it against the rules. The task must not be
// on another machine and must not have completed. If its job was acknowledged as cancelled, the
// cancellation deadline must not have passed. The placement constraints, the dependencies and the
// team's quota must be respected.
func (h *History) RecordTaskStart(s TaskStart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	id, index, _ := job.SplitTaskID(s.Task)
	h.traceEvent(id, "task %d starts on %s", index, s.Machine)
	j := h.jobs[id]
	if j == nil {
		h.recordViolation("invented", "%s starts, but nobody submitted its job", s.Task)
		return
	}
	if current, placed := j.placements[index]; placed {
		h.recordViolation("ran_twice", "%s starts on %s while it is on %s", s.Task, s.Machine, current.machine)
	}
	h.checkStartAfterCancel(j, &s)
	h.checkPlacement(j, index, &s)
	h.checkDependencies(j, s.Task)
	if j.completed[index] {
		h.recordViolation("ran_twice", "%s starts again after it has completed", s.Task)
	}
	if j.started[index] {
		h.restarts++
	} else if h.onFirstStart != nil {
		h.onFirstStart(j.spec, index, time.Since(j.submittedAt))
	}
	j.started[index] = true
	j.placements[index] = placement{s.Machine, s.Zone, time.Now()}
	h.addUsageAndCheckQuota(&j.spec)
}

func (h *History) checkStartAfterCancel(j *jobHistory, s *TaskStart) {
	if !j.isCancelled() {
		return
	}
	h.startsAfterCancel++
	if after := time.Since(j.cancelAcknowledgedAt); after > h.settings.Workers.CancellationDeadline {
		h.recordViolation(
			"ran_cancelled", "%s starts on %s %v after its cancellation was acknowledged", s.Task, s.Machine, after)
	}
}

// maxTasksInZone returns the maximum number of tasks in one zone for a job with the spread
// constraint: half of the tasks, rounded up.
func maxTasksInZone(spec job.Spec) int { return (spec.Tasks + 1) / 2 }

// checkPlacement checks the machine of a task against the placement constraints of its job.
func (h *History) checkPlacement(j *jobHistory, index int, s *TaskStart) {
	if !j.spec.AllowsMachine(s.MachineType, s.Zone, s.Spot) {
		h.recordViolation(
			"wrong_place", "%s starts on %s, whose type, zone or spot kind its job does not allow", s.Task, s.Machine)
	}
	byZone := map[string]int{s.Zone: 1}
	for otherIndex, p := range j.placements {
		if otherIndex != index {
			byZone[p.zone]++
		}
	}
	if j.spec.OneZone && len(byZone) > 1 || j.spec.Spread && byZone[s.Zone] > maxTasksInZone(j.spec) {
		h.recordViolation("wrong_place", "%s starts in zone %s against its job's zone constraint; tasks by zone: %v",
			s.Task, s.Zone, byZone)
	}
}

func (h *History) checkDependencies(j *jobHistory, task string) {
	for _, dependency := range j.spec.WaitsOn {
		if d := h.jobs[dependency]; d == nil || !d.isComplete() {
			h.recordViolation("too_early", "%s starts before its dependency %s has completed", task, dependency)
		}
	}
}

// awaitsDependencies reports whether a dependency of the job has not completed.
func (h *History) awaitsDependencies(j *jobHistory) bool {
	return slices.ContainsFunc(j.spec.WaitsOn, func(id string) bool {
		d := h.jobs[id]
		return d == nil || !d.isComplete()
	})
}

// quotaRoundingTolerance is the amount of a resource by which usage may exceed a quota because of
// floating-point rounding.
const quotaRoundingTolerance = 1e-6

// exceedsQuota reports whether usage exceeds the team's quota. A quota of 0 means no quota.
func exceedsQuota(team *config.Team, use job.Resources) bool {
	return team.GPUQuota > 0 && use.GPUs > team.GPUQuota+quotaRoundingTolerance ||
		team.CPUQuota > 0 && use.CPUs > team.CPUQuota+quotaRoundingTolerance
}

// addUsageAndCheckQuota adds the resources of one task to the usage of its team and records a
// violation if the team exceeds its quota.
func (h *History) addUsageAndCheckQuota(spec *job.Spec) {
	use := h.teamUsage[spec.Team].AddScaled(spec.Need, 1)
	h.teamUsage[spec.Team] = use
	team := h.settings.Teams[spec.Team]
	if exceedsQuota(&team, use) {
		h.recordViolation("quota", "team %s uses %v, which exceeds its quota", spec.Team, use)
		h.maxQuotaOvershoot = max(h.maxQuotaOvershoot, use.GPUs-team.GPUQuota)
	}
}

// RecordTaskRemoval records that a task is no longer on a machine.
func (h *History) RecordTaskRemoval(task, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, index, _ := job.SplitTaskID(task)
	j := h.jobs[id]
	if j == nil {
		return
	}
	if p, placed := j.placements[index]; !placed || p.machine != machine {
		return
	}
	delete(j.placements, index)
	h.traceEvent(id, "task %d removed from %s", index, machine)
	h.teamUsage[j.spec.Team] = h.teamUsage[j.spec.Team].AddScaled(j.spec.Need, -1)
	if !j.isCancelled() {
		return
	}
	after := time.Since(j.cancelAcknowledgedAt)
	h.timesToStopAfterCancel = append(h.timesToStopAfterCancel, after)
	if after > h.settings.Workers.CancellationDeadline {
		h.recordViolation(
			"ran_cancelled", "%s stayed on %s until %v after its cancellation was acknowledged", task, machine, after)
	}
}
