package scheduler

import (
	"context"
	"time"

	"robinstack/internal/agentapi"
)

const (
	// resolveTimeout bounds one request to resolve a commit; resolveRetryInterval is the pause
	// before the next request.
	resolveTimeout       = 2 * time.Second
	resolveRetryInterval = time.Second
)

// onUnansweredCommit handles a commit that was not answered: until it is resolved, the tasks may be
// on the machine. The caller must hold s.mu.
func (s *Scheduler) onUnansweredCommit(
	ctx context.Context, j *jobState, group []*binding, machine agentapi.Candidate,
) {
	refs := make([]agentapi.TaskRef, 0, len(group))
	for _, b := range group {
		b.result = agentapi.Unresolved
		refs = append(refs, b.ref)
		s.counters.Unanswered++
		if task := &j.tasks[b.ref.Index]; task.isCommitting(b.ref.Attempt) {
			task.markPlaced(machine.Machine, machine.Zone, machine.Rev, unresolved)
			s.addPlacedAttempt(machine.Machine, b.ref)
		}
	}
	s.background.Go(func() { s.resolveCommit(ctx, j, refs, machine) })
}

// resolveCommit determines the outcome of an unanswered commit by asking the owner it went to. The
// owner either has the tasks or guarantees that they will never start. If the owner's session ends,
// the first reconciled entry of the next owner decides, and resolveCommit stops asking.
func (s *Scheduler) resolveCommit(
	ctx context.Context, j *jobState, refs []agentapi.TaskRef, machine agentapi.Candidate,
) {
	request := agentapi.ResolveRequest{Machine: machine.Machine, Rev: machine.Rev, Refs: refs}
	for ctx.Err() == nil {
		var reply agentapi.ResolveReply
		callCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
		err := s.peers.Call(callCtx, machine.Host, methodResolve, request, &reply)
		cancel()
		if err == nil {
			s.onCommitResolved(j, request, &reply)
			return
		}
		if !s.anyUnresolved(j, request) {
			return
		}
		sleep(ctx, resolveRetryInterval)
	}
}

// isUnresolved reports whether an attempt of an unanswered commit is neither resolved nor
// superseded by a machine entry.
func (j *jobState) isUnresolved(ref agentapi.TaskRef, ownerRev uint64) bool {
	task := &j.tasks[ref.Index]
	return task.isPlacedAttempt(ref.Attempt) && task.entryVersion == unresolved && task.ownerRev == ownerRev
}

// anyUnresolved reports whether any attempt of the commit is still unresolved.
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

// onCommitResolved applies the owner's answer. Tasks that the owner does not have will never start.
func (s *Scheduler) onCommitResolved(j *jobState, request agentapi.ResolveRequest, reply *agentapi.ResolveReply) {
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
		s.onTaskLost(j, ref.Index, startAbandoned)
	}
}
