package scheduler

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/scheduler/candidate"
)

// Phase 2, decision: the sampled candidates are ranked, and each task gets its own list of
// them. What is decided over candidates alone is in package candidate.

// placementPlan is what a placement is going to commit.
type placementPlan struct {
	request       agentapi.Request // with the zones that were decided on
	candidates    []agentapi.Candidate
	lists         [][]agentapi.Candidate // for the first tasks of the placement, best first
	waitsForImage bool                   // it lets capacity go by that would need a fetch
}

// decide ranks the sampled candidates and plans with those that the job takes now.
func (s *Scheduler) decide(p *placement, sampled sampleResult) *placementPlan {
	usable := sampled.candidates
	candidate.Rank(usable)
	waitsForImage := false
	withImage := candidate.WithImage(usable, p.job.spec.Shape)
	if len(withImage) < len(usable) && s.waitsForImage(p, sampled.scarce) {
		usable, waitsForImage = withImage, true
	}
	decided := p.plan(usable, s.policy.MultiBind)
	decided.waitsForImage = waitsForImage
	return decided
}

// plan gives the placement's tasks their lists of at most so many candidates. It is pure.
func (p *placement) plan(usable []agentapi.Candidate, listLength int) *placementPlan {
	decided := &placementPlan{request: p.request, candidates: usable}
	zone, found := p.chooseZone(usable)
	if !found {
		return decided
	}
	if zone != "" {
		decided.candidates = candidate.InZone(usable, zone)
		decided.request.Zones = []string{zone}
	}
	decided.lists = candidate.Assign(decided.candidates, p.tasksNeeded(), listLength)
	if p.request.Spec.Spread {
		limit := candidate.SpreadLimit(&p.request.Spec)
		decided.lists = candidate.SpreadOut(decided.lists, p.othersByZone, limit)
	}
	return decided
}

// chooseZone returns the zone that the tasks have to be in, or "" for any that are open.
// It reports false for a gang for all of which no zone has capacity: it is made in one.
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

// waitsForImage reports whether the job lets machines without its image go by, for some
// time from the first that it was offered.
func (s *Scheduler) waitsForImage(p *placement, scarce bool) bool {
	j := p.job
	fetch := s.fetchTime(j.spec)
	slack := startSlack(j.startWithin, time.Since(j.readyAt), fetch)
	bounds, may := j.delayForImage(p.tasksNeeded(), scarce, fetch, slack)
	if !may {
		return false
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.delay.waits(bounds, &j.preemption, now)
}

// fetchTime is how long the job's image usually takes, by the slowest machine type that it
// may use.
func (s *Scheduler) fetchTime(spec *job.Spec) time.Duration {
	return spec.FetchTime(s.machineTypes())
}
