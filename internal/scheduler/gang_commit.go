package scheduler

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"robinstack/internal/agentapi"
)

// heldTask is a member of a gang with the machine that holds capacity for it.
type heldTask struct {
	binding *binding
	machine agentapi.Candidate
}

// commitGang places a gang: capacity is held for all of it, machine by machine in one
// fixed order, before anything is started. It reports whether all of it was started.
func (s *Scheduler) commitGang(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest, bindings []*binding,
) bool {
	held, complete := s.holdGang(ctx, j, commit, bindings)
	if !complete {
		s.releaseHeld(held)
		s.abandonGranted(j, bindings)
		return false
	}
	s.startHeld(ctx, j, commit, held)
	refused := slices.DeleteFunc(slices.Clone(bindings), func(b *binding) bool { return !b.wasRefused() })
	if len(refused) == 0 {
		return true
	}
	s.abandonGranted(j, refused)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAllTasks(j, 0)
	return false
}

// holdGang has capacity held for each member, and reports whether it was for all. Members
// also try the candidates of the first.
func (s *Scheduler) holdGang(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest, bindings []*binding,
) (held []heldTask, complete bool) {
	fallbacks := bindings[0].candidates
	used := map[string]int{}
	ordered := slices.Clone(bindings)
	slices.SortFunc(ordered, func(a, b *binding) int {
		return cmp.Or(
			cmp.Compare(a.candidates[0].Machine, b.candidates[0].Machine),
			cmp.Compare(a.ref.Index, b.ref.Index))
	})
	for _, b := range ordered {
		machine, ok := s.holdMember(ctx, j, commit, b, slices.Concat(b.candidates, fallbacks), used)
		if !ok {
			return held, false
		}
		used[machine.Machine]++
		held = append(held, heldTask{binding: b, machine: machine})
	}
	return held, true
}

// holdMember has capacity held for one member on the first of the candidates that takes it
// and that is not used up by the members before it. It gives up where that is not known.
func (s *Scheduler) holdMember(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest,
	b *binding, candidates []agentapi.Candidate, used map[string]int,
) (machine agentapi.Candidate, held bool) {
	for _, c := range candidates {
		if used[c.Machine] >= c.Fits {
			continue
		}
		s.commit(ctx, j, commit, []*binding{b}, c, holdCapacity)
		switch b.result {
		case agentapi.Held:
			return c, true
		case agentapi.Unresolved:
			return agentapi.Candidate{}, false
		}
	}
	return agentapi.Candidate{}, false
}

// releaseHeld has machines release the capacity that they hold.
func (s *Scheduler) releaseHeld(held []heldTask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range held {
		s.forget(agentapi.StopItem{Machine: h.machine.Machine, TaskRef: h.binding.ref})
	}
}

// startHeld starts all members of a gang, with one commit per machine.
func (s *Scheduler) startHeld(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest, held []heldTask,
) {
	groups := map[string][]*binding{}
	machines := map[string]agentapi.Candidate{}
	for _, h := range held {
		name := h.machine.Machine
		groups[name] = append(groups[name], h.binding)
		machines[name] = h.machine
	}
	var calls sync.WaitGroup
	for name, group := range groups {
		calls.Go(func() { s.commit(ctx, j, commit, group, machines[name], startTasks) })
	}
	calls.Wait()
}
