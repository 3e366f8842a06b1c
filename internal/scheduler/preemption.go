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
	// preemptionWait is how long a gang waits for machines that are being preempted before
	// it has others preempted, beyond the time that tasks may need to save.
	preemptionWait = 12 * time.Second

	// preemptionRetryInterval is the time between two tries of a gang meanwhile.
	preemptionRetryInterval = 300 * time.Millisecond
)

// preemptionScope says on which machines tasks are preempted.
type preemptionScope uint8

const (
	// allMachines: on any.
	allMachines preemptionScope = iota
	// machinesWithImage: only where the gang need not fetch its image.
	machinesWithImage
)

// preemption is what is being preempted for a job. The job's placement alone changes it.
type preemption struct {
	until time.Time // until then it waits for it
	scope preemptionScope
}

// preempt has owners stop tasks of lower priority where a gang would then fit. It returns
// whether capacity is being made, so that the gang tries again soon.
func (s *Scheduler) preempt(ctx context.Context, p *placement, decided *placementPlan, scope preemptionScope) bool {
	j := p.job
	if !s.mayPreempt(p) {
		return false
	}
	if time.Now().Before(j.preemption.until) {
		s.retryIn(j, preemptionRetryInterval)
		return true
	}
	if !s.quotaAllows(ctx, j, p.request.Epoch, p.tasksNeeded()) {
		return false
	}
	request := decided.request
	request.Near = scope == machinesWithImage
	if scope == allMachines {
		request.Left = j.timeToStart(time.Now())
	}
	options := s.askOwners(ctx, methodListPreemptible, request).candidates
	if scope == machinesWithImage {
		options = s.cheaperThanFetch(j, options)
	}
	candidate.Rank(options)
	chosen := candidate.ChooseFreed(j.spec.OneZone, decided.candidates, options, p.tasksNeeded())
	if len(chosen) == 0 {
		return false
	}
	s.reserveMachines(ctx, methodPreempt, p, request, chosen, decided.candidates, p.tasksNeeded())
	j.preemption = preemption{until: time.Now().Add(preemptionWait), scope: scope}
	s.retryIn(j, preemptionRetryInterval)
	return true
}

// mayPreempt reports whether tasks of others may be stopped for the job at all.
func (s *Scheduler) mayPreempt(p *placement) bool {
	s.mu.Lock()
	atFault := p.job.failures.jobAtFault
	s.mu.Unlock()
	return s.policy.Preemption && !atFault && p.request.Spec.Priority() > job.LowestPriority
}

// cheaperThanFetch keeps the machines where stopping tasks loses less than a fetch takes:
// where tasks do not save, it may lose more.
func (s *Scheduler) cheaperThanFetch(j *jobState, options []agentapi.Candidate) []agentapi.Candidate {
	fetch := s.fetchTime(j.spec).Seconds() * max(1, j.spec.GPUs)
	return slices.DeleteFunc(options, func(c agentapi.Candidate) bool { return -c.Score > fetch })
}
