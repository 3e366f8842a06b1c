package scheduler

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/scheduler/candidate"
)

// Phase 2 of a placement, the decision: the sampled candidates are ranked, and each task gets its
// own list of candidates. Decisions that need only the candidates are in package candidate.

// placementPlan says which tasks a placement commits, and to which candidates.
type placementPlan struct {
	request         agentapi.Request // restricted to the chosen zone, if there is one
	candidates      []agentapi.Candidate
	taskCandidates  [][]agentapi.Candidate // one list per task, best first; fewer lists than tasks if not all fit
	delayedForImage bool                   // candidates that would have to fetch the image are left out
}

// decide ranks the sampled candidates and plans the placement with those that the job accepts now.
func (s *Scheduler) decide(p *placement, sampled sampleResult) *placementPlan {
	usable := sampled.candidates
	candidate.Rank(usable)
	delayedForImage := false
	withImage := candidate.FilterByImage(usable, p.job.spec.Shape)
	if len(withImage) < len(usable) && s.shouldDelayForImage(p, sampled.exhausted) {
		usable, delayedForImage = withImage, true
	}
	plan := p.plan(usable, s.policy.MultiBind)
	plan.delayedForImage = delayedForImage
	return plan
}

// plan assigns each task of the placement a list of at most listLength candidates. It has no side
// effects.
func (p *placement) plan(usable []agentapi.Candidate, listLength int) *placementPlan {
	plan := &placementPlan{request: p.request, candidates: usable}
	zone, found := p.chooseZone(usable)
	if !found {
		return plan
	}
	if zone != "" {
		plan.candidates = candidate.FilterByZone(usable, zone)
		plan.request.Zones = []string{zone}
	}
	plan.taskCandidates = candidate.Assign(plan.candidates, p.tasksNeeded(), listLength)
	if p.request.Spec.Spread {
		limit := candidate.SpreadLimit(&p.request.Spec)
		plan.taskCandidates = candidate.EnforceSpreadLimit(plan.taskCandidates, p.activeByZone, limit)
	}
	return plan
}

// chooseZone returns the zone in which the tasks must be placed, or "" if any zone of the request
// will do. found is false for a one-zone gang that fits into no single zone.
func (p *placement) chooseZone(usable []agentapi.Candidate) (zone string, found bool) {
	if !p.request.Spec.OneZone || p.request.Zones != nil || len(usable) == 0 {
		return "", true
	}
	if !p.job.isGang() {
		return usable[0].Zone, true
	}
	zone = candidate.GangZone(usable, p.tasksNeeded())
	return zone, zone != ""
}

// shouldDelayForImage reports whether delay scheduling applies now: the job passes over machines
// without its image for a limited time, which starts when such a machine is first offered.
// exhausted reports whether the sample exhausted all machines.
func (s *Scheduler) shouldDelayForImage(p *placement, exhausted bool) bool {
	j := p.job
	fetch := s.fetchTime(j.spec)
	slack := startSlack(j.startTargets, time.Since(j.readyAt), fetch)
	bounds, allowed := j.delayBounds(p.tasksNeeded(), exhausted, fetch, slack)
	if !allowed {
		return false
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.delay.shouldWait(bounds, &j.preemption, now)
}

// fetchTime estimates how long the fetch of the job's image takes on the slowest machine type that
// the job may use.
func (s *Scheduler) fetchTime(spec *job.Spec) time.Duration {
	return spec.FetchTime(s.machineTypes())
}
