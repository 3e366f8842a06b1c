package emulator

import (
	"slices"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

// TaskStart is a task that has its image and is on a machine from now on.
type TaskStart struct {
	Task        string
	Machine     string
	MachineType string
	Zone        string
	Spot        bool
}

// RecordTaskStart notes the start of a task, and checks that it may be there: once, while
// its job goes on, where its job may run, after its dependencies, within its team's quota.
func (h *History) RecordTaskStart(s TaskStart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	id, index, _ := job.SplitTaskID(s.Task)
	h.note(id, "%d starts on %s", index, s.Machine)
	j := h.jobs[id]
	if j == nil {
		h.violate("invented", "%s starts and nobody submitted it", s.Task)
		return
	}
	if there, twice := j.placements[index]; twice {
		h.violate("ran_twice", "%s starts on %s while it is on %s", s.Task, s.Machine, there.machine)
	}
	h.checkStartAfterCancel(j, &s)
	h.checkPlace(j, index, &s)
	h.checkDependencies(j, s.Task)
	if j.completed[index] {
		h.violate("ran_twice", "%s starts anew although it has completed", s.Task)
	}
	if j.started[index] {
		h.restarts++
	} else if h.onFirstStart != nil {
		h.onFirstStart(j.spec, index, time.Since(j.submittedAt))
	}
	j.started[index] = true
	j.placements[index] = placement{s.Machine, s.Zone, time.Now()}
	h.checkQuota(&j.spec)
}

func (h *History) checkStartAfterCancel(j *jobHistory, s *TaskStart) {
	if !j.isCancelled() {
		return
	}
	h.startsAfterCancel++
	if after := time.Since(j.cancelAcknowledgedAt); after > h.settings.Workers.CancellationDeadline {
		h.violate("ran_cancelled", "%s starts on %s %v after its user was told", s.Task, s.Machine, after)
	}
}

// maxTasksInZone is how many tasks of a job that is to be spread may be in one zone.
func maxTasksInZone(spec job.Spec) int { return (spec.Tasks + 1) / 2 }

// checkPlace holds a start against the machine types and zones of its job.
func (h *History) checkPlace(j *jobHistory, index int, s *TaskStart) {
	if !j.spec.AllowsMachine(s.MachineType, s.Zone, s.Spot) {
		h.violate("wrong_place", "%s starts on %s", s.Task, s.Machine)
	}
	byZone := map[string]int{s.Zone: 1}
	for other, p := range j.placements {
		if other != index {
			byZone[p.zone]++
		}
	}
	if j.spec.OneZone && len(byZone) > 1 || j.spec.Spread && byZone[s.Zone] > maxTasksInZone(j.spec) {
		h.violate("wrong_place", "%s starts in %s, its job's tasks are in %v", s.Task, s.Zone, byZone)
	}
}

func (h *History) checkDependencies(j *jobHistory, task string) {
	for _, dependency := range j.spec.WaitsOn {
		if d := h.jobs[dependency]; d == nil || !d.isComplete() {
			h.violate("too_early", "%s starts before %s is done", task, dependency)
		}
	}
}

// awaitsDependencies reports whether a job waits for others.
func (h *History) awaitsDependencies(j *jobHistory) bool {
	return slices.ContainsFunc(j.spec.WaitsOn, func(id string) bool {
		d := h.jobs[id]
		return d == nil || !d.isComplete()
	})
}

// quotaSlack is how much of a resource is a matter of rounding.
const quotaSlack = 1e-6

// exceedsQuota reports whether a team's use is beyond its quota; a quota of 0 is none.
func exceedsQuota(team *config.Team, use job.Resources) bool {
	return team.GPUQuota > 0 && use.GPUs > team.GPUQuota+quotaSlack ||
		team.CPUQuota > 0 && use.CPUs > team.CPUQuota+quotaSlack
}

// checkQuota adds a task to its team's use.
func (h *History) checkQuota(spec *job.Spec) {
	use := h.usage[spec.Team].AddScaled(spec.Need, 1)
	h.usage[spec.Team] = use
	team := h.settings.Teams[spec.Team]
	if exceedsQuota(&team, use) {
		h.violate("quota", "team %s uses %v", spec.Team, use)
		h.maxOvershoot = max(h.maxOvershoot, use.GPUs-team.GPUQuota)
	}
}

// RecordTaskRemoval notes that a task is not on its machine any more.
func (h *History) RecordTaskRemoval(task, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, index, _ := job.SplitTaskID(task)
	j := h.jobs[id]
	if j == nil {
		return
	}
	if p, there := j.placements[index]; !there || p.machine != machine {
		return
	}
	delete(j.placements, index)
	h.note(id, "%d is gone from %s", index, machine)
	h.usage[j.spec.Team] = h.usage[j.spec.Team].AddScaled(j.spec.Need, -1)
	if !j.isCancelled() {
		return
	}
	after := time.Since(j.cancelAcknowledgedAt)
	h.cancelToStop = append(h.cancelToStop, after)
	if after > h.settings.Workers.CancellationDeadline {
		h.violate("ran_cancelled", "%s was on %s until %v after its user was told", task, machine, after)
	}
}
