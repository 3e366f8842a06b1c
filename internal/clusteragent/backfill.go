package clusteragent

import (
	"cmp"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/machine"
)

// Backfill reservations let large jobs meet their start deadlines. In a full cluster, freed
// capacity is taken at once by any task that fits, so a gang of sixteen machines never finds
// sixteen free machines, whatever its place in the queue. For a job that has waited half of its
// start deadline, capacity is therefore reserved as it becomes free, on the machines that will have
// it soonest. A reservation itself stops no task; only preemption does.
//
// If two jobs want to reserve the same machine, every owner gives it to the job that became ready
// to start first. The job that has waited longest thus gets all the machines that it asks for, and
// no two jobs wait for each other. A reservation lapses backfillHold after the job's last request
// for it.

// backfillHold is how long a backfill reservation lasts after the scheduler's last request for it;
// schedulers repeat the request every second or two.
const backfillHold = 6 * time.Second

// secondsUntilFree estimates the time until enough of the tasks on m have finished for one task of
// the request to fit. ok is false if that never happens. The caller must hold a.mu.
func (a *Agent) secondsUntilFree(m *ownedMachine, r *agentapi.Request, now time.Time) (wait float64, ok bool) {
	t, known := a.types()[m.Type]
	if !known || !r.Spec.FitsIn(job.Capacity(t)) {
		return 0, false
	}
	free, known := m.FreeCapacity(job.Capacity(t))
	if !known {
		return 0, false
	}
	for _, end := range taskEnds(m.Machine, now) {
		if r.Spec.FitsIn(free) {
			break
		}
		free, wait = free.AddScaled(end.need, 1), end.secondsLeft
	}
	return wait, r.Spec.FitsIn(free)
}

// taskEnd is the estimated end of a task and the resources that it then frees.
type taskEnd struct {
	secondsLeft float64
	need        job.Resources
}

// taskEnds returns the estimated ends of all tasks on m except those of services, the earliest
// first.
func taskEnds(m *machine.Machine, now time.Time) []taskEnd {
	var ends []taskEnd
	for _, t := range m.Tasks() {
		switch {
		case !t.Occupies() || t.Spec.Shape == job.Service:
		case t.State() == machine.Running:
			secondsLeft := max(0, t.Spec.EstimateS-now.Sub(t.RunningSince()).Seconds())
			ends = append(ends, taskEnd{secondsLeft, t.Spec.Need})
		default:
			ends = append(ends, taskEnd{t.Spec.EstimateS, t.Spec.Need})
		}
	}
	slices.SortFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.secondsLeft, b.secondsLeft) })
	return ends
}

// backfillIneligibleReason returns why the machine cannot get a backfill reservation for the
// request's job, or "". The caller must hold a.mu.
func (a *Agent) backfillIneligibleReason(m *ownedMachine, r *agentapi.Request, now time.Time) string {
	why := a.ineligibleReason(m, r, now)
	if why == reasonReservedForOther && m.Reservation.OutrankedBy(r, now) || why == reasonHeldForGangs {
		return ""
	}
	return why
}

// Gatherable lists machines that will have capacity for a task of the request: machines that are
// already reserved for its job first, then those that will have the capacity soonest.
func (s *Service) Gatherable(r agentapi.Request, reply *agentapi.SampleReply) error {
	a := s.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []agentapi.Candidate
	for _, m := range a.machines {
		if m.Deregistered() || a.backfillIneligibleReason(m, &r, now) != "" {
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

// Gather gives a job a backfill reservation of a machine.
func (s *Service) Gather(r agentapi.CommitRequest, reply *agentapi.CommitReply) error {
	a := s.agent
	a.reserveMachine(&r, reply, func(m *ownedMachine, now time.Time) (hold time.Duration, ok bool) {
		return backfillHold, a.backfillIneligibleReason(m, &r.Request, now) == ""
	})
	return nil
}
