package scheduler

import (
	"context"
	"time"

	"robinstack/internal/agentapi"
)

const (
	// resolveTimeout is how long one try to resolve a commit may take, and
	// resolveRetryInterval the pause before the next.
	resolveTimeout       = 2 * time.Second
	resolveRetryInterval = time.Second
)

// onUnanswered takes up that a commit was not answered: the tasks may be on the machine,
// until it is resolved. The mutex is held.
func (s *Scheduler) onUnanswered(
	ctx context.Context, j *jobState, group []*binding, machine agentapi.Candidate,
) {
	refs := make([]agentapi.TaskRef, 0, len(group))
	for _, b := range group {
		b.result = agentapi.Unresolved
		refs = append(refs, b.ref)
		s.counters.Unanswered++
		if task := &j.tasks[b.ref.Index]; task.isCommitting(b.ref.Attempt) {
			task.place(machine.Machine, machine.Zone, machine.Rev, unresolved)
			s.notePlaced(machine.Machine, b.ref)
		}
	}
	s.background.Go(func() { s.resolve(ctx, j, refs, machine) })
}

// resolve finds out what became of a commit without an answer: its owner has the tasks, or
// promises that they never start. If the owner's session ends, the next owner's confirmed
// entry tells.
func (s *Scheduler) resolve(
	ctx context.Context, j *jobState, refs []agentapi.TaskRef, machine agentapi.Candidate,
) {
	request := agentapi.ResolveRequest{Machine: machine.Machine, Rev: machine.Rev, Refs: refs}
	for ctx.Err() == nil {
		var reply agentapi.ResolveReply
		callCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
		err := s.peers.Call(callCtx, machine.Host, methodResolve, request, &reply)
		cancel()
		if err == nil {
			s.onResolved(j, request, &reply)
			return
		}
		if !s.anyUnresolved(j, request) {
			return
		}
		pause(ctx, resolveRetryInterval)
	}
}

// isUnresolved reports whether an attempt of a commit is neither resolved nor overtaken by
// an entry.
func (j *jobState) isUnresolved(ref agentapi.TaskRef, ownerRev uint64) bool {
	task := &j.tasks[ref.Index]
	return task.isPlacedAttempt(ref.Attempt) && task.entryVersion == unresolved && task.ownerRev == ownerRev
}

// anyUnresolved reports whether attempts of a commit are still to be resolved.
func (s *Scheduler) anyUnresolved(j *jobState, request agentapi.ResolveRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ref := range request.Refs {
		if j.isUnresolved(ref, request.Rev) {
			return true
		}
	}
	return false
}

// onResolved takes up the owner's answer: the tasks that it does not have never start.
func (s *Scheduler) onResolved(j *jobState, request agentapi.ResolveRequest, reply *agentapi.ResolveReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, ref := range request.Refs {
		if !j.isUnresolved(ref, request.Rev) {
			continue
		}
		if reply.Present[i] {
			j.tasks[ref.Index].entryVersion = reply.Ver
			continue
		}
		s.queueRelease(j, ref)
		s.onTaskLost(j, ref.Index)
	}
}
