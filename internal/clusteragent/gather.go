package clusteragent

import (
	"cmp"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// Every job has to begin within a time that users were promised, the largest too. In a
// full fleet the room that comes free is taken at once, by whatever fits: a gang of
// sixteen machines never finds sixteen, however early its turn. So for one that has
// waited half of that time room is kept as it comes free, on the machines that will have
// it soonest, and nothing is stopped that preemption would not stop.
//
// Of two jobs that gather, the one that could start earlier has the machine, wherever
// they meet: so the one that waits longest gets all it asks for, and no two wait for each
// other. What is kept is given back backfillHold after its job has asked for it last.

// backfillHold is how long a machine is kept for a job that gathers, from when its placer
// asked for it last; placers ask again every second or two.
const backfillHold = 6 * time.Second

// reserveFor keeps the machine for a job.
func (m *machine) reserveFor(r *agentapi.Request, now time.Time, d time.Duration) {
	m.reservedFor, m.reservedUntil, m.reservationSince = r.Spec.ID, now.Add(d), now.Add(-r.Age)
}

// outranks reports whether a job that gathers may have a machine that is kept for
// another: that one could start later.
func (m *machine) outranks(r *agentapi.Request, now time.Time) bool {
	return now.Add(-r.Age).Before(m.reservationSince)
}

// secondsUntilFree is about how many seconds it takes until tasks that run to their ends leave room
// for one of the request's; ok is false where they never do.
func (a *Agent) secondsUntilFree(m *machine, r *agentapi.Request, now time.Time) (wait float64, ok bool) {
	t, known := a.types()[m.typeName]
	if !known || !r.Spec.FitsIn(job.Capacity(t)) {
		return 0, false
	}
	free, known := m.freeCapacity(job.Capacity(t))
	if !known {
		return 0, false
	}
	type end struct {
		left float64
		need job.Need
	}
	var ends []end
	for _, t := range m.tasks {
		switch {
		case !t.occupies() || t.spec.Shape == job.Service:
		case t.state == worker.TaskRunning:
			ends = append(ends, end{max(0, t.spec.EstimateS-now.Sub(t.runningSince).Seconds()), t.spec.Need})
		default:
			ends = append(ends, end{t.spec.EstimateS, t.spec.Need})
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.left, b.left) })
	for _, e := range ends {
		if r.Spec.FitsIn(free) {
			break
		}
		free, wait = free.AddScaled(e.need, 1), e.left
	}
	return wait, r.Spec.FitsIn(free)
}

// backfillIneligible says why a machine cannot be kept for a job that gathers, or nothing.
func (a *Agent) backfillIneligible(m *machine, r *agentapi.Request, now time.Time) string {
	why := a.ineligible(m, r, now)
	if why == reservedForOther && m.outranks(r, now) || why == heldForGangs {
		return ""
	}
	return why
}

// Gatherable lists machines that will have room for a task of the request, those first
// that are kept for it already and then those that will have it soonest.
func (s *Service) Gatherable(r agentapi.Request, reply *agentapi.SampleReply) error {
	a := s.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []agentapi.Candidate
	for _, m := range a.machines {
		if m.gone || a.backfillIneligible(m, &r, now) != "" {
			continue
		}
		wait, ok := a.secondsUntilFree(m, &r, now)
		if !ok {
			continue
		}
		score := -wait
		if m.reservedFor == r.Spec.ID && now.Before(m.reservedUntil) {
			score += reservedScore
		}
		found = append(found, agentapi.Candidate{Machine: m.name, Host: a.member.Host, Rev: m.ownershipRev, Zone: m.zone, Fits: 1, Score: score})
	}
	reply.Candidates = bestCandidates(found, &r)
	return nil
}

// Gather keeps a machine for a job as its room comes free.
func (s *Service) Gather(r agentapi.CommitRequest, reply *agentapi.CommitReply) error {
	a := s.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Verdicts = []string{agentapi.Refused}
	m := a.reservable(&r)
	if m == nil || a.backfillIneligible(m, &r.Request, now) != "" {
		return nil
	}
	m.reserveFor(&r.Request, now, backfillHold)
	reply.Verdicts[0] = agentapi.Held
	return nil
}
