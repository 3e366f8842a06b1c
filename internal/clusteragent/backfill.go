package clusteragent

import (
	"cmp"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/machine"
)

// Every job has to begin within a time that users were promised, the largest too. In a
// full fleet the capacity that comes free is taken at once, by whatever fits: a gang of
// sixteen machines never finds sixteen, however early its turn. So for one that has
// waited half of that time capacity is reserved as it comes free, on the machines that will
// have it soonest, and nothing is stopped that preemption would not stop.
//
// Of two jobs with such reservations, the one that could start earlier has the machine,
// wherever they meet: so the one that waits longest gets all it asks for, and no two wait for
// each other. What is reserved is given back backfillHold after its job has asked for it last.

// backfillHold is how long a machine is reserved for a job as its capacity comes free, from
// when its scheduler asked for it last; schedulers ask again every second or two.
const backfillHold = 6 * time.Second

// secondsUntilFree is about how many seconds it takes until tasks that run to their ends leave
// enough capacity for one of the request's; ok is false where they never do.
func (a *Agent) secondsUntilFree(m *ownedMachine, r *agentapi.Request, now time.Time) (wait float64, ok bool) {
	t, known := a.types()[m.Type]
	if !known || !r.Spec.FitsIn(job.Capacity(t)) {
		return 0, false
	}
	free, known := m.FreeCapacity(job.Capacity(t))
	if !known {
		return 0, false
	}
	for _, e := range taskEnds(m.Machine, now) {
		if r.Spec.FitsIn(free) {
			break
		}
		free, wait = free.AddScaled(e.need, 1), e.left
	}
	return wait, r.Spec.FitsIn(free)
}

// taskEnd is when a task will have ended, and what it takes until then.
type taskEnd struct {
	left float64 // seconds
	need job.Resources
}

// taskEnds lists the ends of the tasks that run to an end, the earliest first.
func taskEnds(m *machine.Machine, now time.Time) []taskEnd {
	var ends []taskEnd
	for _, t := range m.Tasks() {
		switch {
		case !t.Occupies() || t.Spec.Shape == job.Service:
		case t.State() == machine.Running:
			left := max(0, t.Spec.EstimateS-now.Sub(t.RunningSince()).Seconds())
			ends = append(ends, taskEnd{left, t.Spec.Need})
		default:
			ends = append(ends, taskEnd{t.Spec.EstimateS, t.Spec.Need})
		}
	}
	slices.SortFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.left, b.left) })
	return ends
}

// backfillIneligible says why a machine cannot be reserved for a job as its capacity comes
// free, or nothing.
func (a *Agent) backfillIneligible(m *ownedMachine, r *agentapi.Request, now time.Time) string {
	why := a.ineligible(m, r, now)
	if why == reservedForOther && m.Reservation.OutrankedBy(r, now) || why == heldForGangs {
		return ""
	}
	return why
}

// Gatherable lists machines that will have capacity for a task of the request, those first
// that are reserved for its job already and then those that will have it soonest.
func (s *Service) Gatherable(r agentapi.Request, reply *agentapi.SampleReply) error {
	a := s.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []agentapi.Candidate
	for _, m := range a.machines {
		if m.Deregistered() || a.backfillIneligible(m, &r, now) != "" {
			continue
		}
		wait, ok := a.secondsUntilFree(m, &r, now)
		if !ok {
			continue
		}
		c := a.candidate(m, 1)
		c.Score = reservedBonus(m.Machine, &r, now) - wait
		found = append(found, c)
	}
	reply.Candidates = bestCandidates(found, &r)
	return nil
}

// Gather reserves a machine for a job as its capacity comes free.
func (s *Service) Gather(r agentapi.CommitRequest, reply *agentapi.CommitReply) error {
	a := s.agent
	a.reserveMachine(&r, reply, func(m *ownedMachine, now time.Time) (hold time.Duration, ok bool) {
		return backfillHold, a.backfillIneligible(m, &r.Request, now) == ""
	})
	return nil
}
