package scheduler

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"robinstack/internal/agentapi"
	"robinstack/internal/scheduler/candidate"
)

// reservedTask is a gang member with the machine that has reserved capacity for it.
type reservedTask struct {
	binding *binding
	machine agentapi.Candidate
}

// commitGang places a gang in two steps: it first reserves capacity for all members, one after
// another in the order of machine names, which is the same for all gangs, and then starts them. It
// reports whether all members were started or may have been.
func (s *Scheduler) commitGang(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest, bindings []*binding,
) bool {
	reserved, complete := s.reserveGang(ctx, j, commit, bindings)
	if !complete {
		s.releaseReserved(reserved)
		s.requeueAndReleaseGrants(j, bindings)
		return false
	}
	s.startReserved(ctx, j, commit, reserved)
	refused := slices.DeleteFunc(slices.Clone(bindings), func(b *binding) bool { return !b.wasRefused() })
	if len(refused) == 0 {
		return true
	}
	s.requeueAndReleaseGrants(j, refused)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAllTasks(j, 0)
	return false
}

// reserveGang reserves capacity for each member and reports whether that succeeded for all. Each
// member tries its own candidates and then those of the first member. If the gang is spread over
// zones, a member stays in the zone that the decision counted it in.
func (s *Scheduler) reserveGang(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest, bindings []*binding,
) (reserved []reservedTask, complete bool) {
	fallbacks := bindings[0].candidates
	assigned := map[string]int{}
	ordered := slices.Clone(bindings)
	slices.SortFunc(ordered, func(a, b *binding) int {
		return cmp.Or(
			cmp.Compare(a.candidates[0].Machine, b.candidates[0].Machine),
			cmp.Compare(a.ref.Index, b.ref.Index))
	})
	for _, b := range ordered {
		candidates := slices.Concat(b.candidates, fallbacks)
		if commit.Spec.Spread {
			candidates = candidate.FilterByZone(candidates, b.candidates[0].Zone)
		}
		machine, ok := s.reserveMember(ctx, j, commit, b, candidates, assigned)
		if !ok {
			return reserved, false
		}
		assigned[machine.Machine]++
		reserved = append(reserved, reservedTask{binding: b, machine: machine})
	}
	return reserved, true
}

// reserveMember reserves capacity for one member on the first candidate that accepts it and is not
// filled by earlier members. It gives up if a commit remains unresolved, because the candidate may
// hold the reservation.
func (s *Scheduler) reserveMember(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest,
	b *binding, candidates []agentapi.Candidate, assigned map[string]int,
) (machine agentapi.Candidate, ok bool) {
	for _, c := range candidates {
		if assigned[c.Machine] >= c.Fits {
			continue
		}
		s.commit(ctx, j, commit, []*binding{b}, c, reserveOnly)
		switch b.result {
		case agentapi.Held:
			return c, true
		case agentapi.Unresolved:
			return agentapi.Candidate{}, false
		}
	}
	return agentapi.Candidate{}, false
}

// releaseReserved queues messages to release the capacity reserved for the members.
func (s *Scheduler) releaseReserved(reserved []reservedTask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, member := range reserved {
		s.queueForget(agentapi.StopItem{Machine: member.machine.Machine, TaskRef: member.binding.ref})
	}
}

// startReserved starts all members of a gang with one commit per machine.
func (s *Scheduler) startReserved(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest, reserved []reservedTask,
) {
	groups := map[string][]*binding{}
	machines := map[string]agentapi.Candidate{}
	for _, member := range reserved {
		name := member.machine.Machine
		groups[name] = append(groups[name], member.binding)
		machines[name] = member.machine
	}
	var calls sync.WaitGroup
	for name, group := range groups {
		calls.Go(func() { s.commit(ctx, j, commit, group, machines[name], startTasks) })
	}
	calls.Wait()
}
