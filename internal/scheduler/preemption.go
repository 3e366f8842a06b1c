package scheduler

import (
	"context"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/scheduler/candidate"
)

const (
	// preemptionWait bounds how long a gang waits for the tasks that are being preempted for it;
	// after that it may preempt tasks on other machines. It has to exceed the time that preempted
	// tasks may need to write a checkpoint.
	preemptionWait = 12 * time.Second

	// preemptionRetryInterval is the time between two placements of a gang that waits for tasks to
	// be preempted.
	preemptionRetryInterval = 300 * time.Millisecond
)

// preemptionScope selects the machines on which tasks may be preempted.
type preemptionScope uint8

const (
	// allMachines: any machine.
	allMachines preemptionScope = iota
	// machinesWithImage: only machines that have the gang's image.
	machinesWithImage
)

// preemption is the latest preemption in favour of a job. Only the job's placement uses it.
type preemption struct {
	until time.Time // until then the job waits for the preempted tasks to end
	scope preemptionScope
}

// preempt asks owners to stop tasks of lower priority where the gang would then fit. It reports
// whether capacity is being freed, in which case the gang tries again soon.
func (s *Scheduler) preempt(ctx context.Context, p *placement, plan *placementPlan, scope preemptionScope) bool {
	j := p.job
	if !s.mayPreempt(p) {
		return false
	}
	if time.Now().Before(j.preemption.until) {
		s.postponePlacement(j, preemptionRetryInterval)
		return true
	}
	if !s.quotaAllows(ctx, j, p.request.Epoch, p.tasksNeeded()) {
		return false
	}
	request := plan.request
	request.Near = scope == machinesWithImage
	if scope == allMachines {
		request.Left = j.timeToStartTarget(time.Now())
	}
	options := s.queryControllers(ctx, methodListPreemptible, request).candidates
	if scope == machinesWithImage {
		options = s.cheaperThanFetch(j, options)
	}
	candidate.Rank(options)
	chosen := candidate.ChooseMachinesToFree(j.spec.OneZone, plan.candidates, options, p.tasksNeeded())
	if len(chosen) == 0 {
		return false
	}
	s.reserveMachines(ctx, methodPreempt, p, request, chosen, plan.candidates, p.tasksNeeded())
	j.preemption = preemption{until: time.Now().Add(preemptionWait), scope: scope}
	s.postponePlacement(j, preemptionRetryInterval)
	return true
}

// mayPreempt reports whether the job may preempt tasks of other jobs at all.
func (s *Scheduler) mayPreempt(p *placement) bool {
	s.mu.Lock()
	atFault := p.job.failures.jobAtFault
	s.mu.Unlock()
	return s.policy.Preemption && !atFault && p.request.Spec.Priority() > job.LowestPriority
}

// cheaperThanFetch keeps the machines on which preemption loses at most as many GPU-seconds as a
// fetch of the job's image takes. Preempting tasks that write no checkpoints may lose more.
func (s *Scheduler) cheaperThanFetch(j *jobState, options []agentapi.Candidate) []agentapi.Candidate {
	fetch := s.fetchTime(j.spec).Seconds() * max(1, j.spec.GPUs)
	return slices.DeleteFunc(options, func(c agentapi.Candidate) bool { return -c.Score > fetch })
}
