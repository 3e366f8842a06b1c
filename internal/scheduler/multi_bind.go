package scheduler

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/peer"
	"robinstack/internal/recovery"
)

// commitTimeout bounds one commit request. The owner answers after the worker has reported the
// start of the tasks.
const commitTimeout = 4500 * time.Millisecond

// multiBind commits each task to the first of its candidates that accepts it. Each round sends one
// request per machine; refused tasks go to their next candidates in the next round.
func (s *Scheduler) multiBind(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest, bindings []*binding,
) {
	remaining := bindings
	for round := 0; len(remaining) > 0; round++ {
		groups := s.groupByMachine(j, remaining, round)
		var calls sync.WaitGroup
		for _, group := range groups {
			machine := group[0].candidates[round]
			calls.Go(func() { s.commit(ctx, j, commit, group, machine, startTasks) })
		}
		calls.Wait()
		var refused []*binding
		for _, group := range groups {
			for _, b := range group {
				if b.wasRefused() {
					refused = append(refused, b)
				}
			}
		}
		s.countRound(round, len(remaining), len(refused))
		remaining = refused
	}
}

// groupByMachine groups bindings by their candidate of the round. It requeues tasks without a
// further candidate.
func (s *Scheduler) groupByMachine(j *jobState, bindings []*binding, round int) map[string][]*binding {
	groups := map[string][]*binding{}
	for _, b := range bindings {
		if round >= len(b.candidates) {
			b.result = agentapi.Refused
			s.requeueAndReleaseGrants(j, []*binding{b})
			continue
		}
		machine := b.candidates[round].Machine
		groups[machine] = append(groups[machine], b)
	}
	return groups
}

// countRound updates the counters for one round of MultiBind.
func (s *Scheduler) countRound(round, tried, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Conflicts += uint64(refused)
	if round > 0 {
		s.counters.Fallbacks += uint64(tried)
	}
}

// commit sends one commit request for a group of bindings to the owner of a machine and applies the
// results.
func (s *Scheduler) commit(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest,
	group []*binding, machine agentapi.Candidate, mode commitMode,
) {
	if group = s.selectCommitting(j, group, machine.Machine); len(group) == 0 {
		return
	}
	commit.Machine, commit.Rev = machine.Machine, machine.Rev
	commit.Hold = mode == reserveOnly
	commit.Refs = nil
	for _, b := range group {
		commit.Refs = append(commit.Refs, b.ref)
	}
	reply, err := s.sendCommit(ctx, machine.Host, commit)
	if slices.Contains(reply.Verdicts, agentapi.Started) {
		s.RecoveryTimeline.Record(recovery.StepTaskStarted)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, peer.ErrNoAnswer) {
		s.onUnansweredCommit(ctx, j, group, machine)
		return
	}
	for i, b := range group {
		b.result = agentapi.Refused
		if i < len(reply.Verdicts) {
			b.result = reply.Verdicts[i]
		}
		s.onCommitResult(j, b, machine, reply)
	}
}

// selectCommitting returns the bindings of a group whose attempts are still committing, and records
// that the machine is asked next to start them. A machine entry has shown the other attempts in the
// meantime, so none of their further candidates may be tried.
func (s *Scheduler) selectCommitting(j *jobState, group []*binding, machine string) (committing []*binding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range group {
		task := &j.tasks[b.ref.Index]
		if !task.isCommitting(b.ref.Attempt) {
			b.result = agentapi.Unresolved
			continue
		}
		task.machine = machine
		committing = append(committing, b)
	}
	return committing
}

// sendCommit sends a commit request. On an error the reply is empty, not nil.
func (s *Scheduler) sendCommit(
	ctx context.Context, host string, commit agentapi.CommitRequest,
) (*agentapi.CommitReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var reply agentapi.CommitReply
	if err := s.peers.Call(callCtx, host, methodCommit, commit, &reply); err != nil {
		return &agentapi.CommitReply{}, err
	}
	return &reply, nil
}

// onCommitResult applies the owner's result for one binding. The caller must hold s.mu.
func (s *Scheduler) onCommitResult(
	j *jobState, b *binding, machine agentapi.Candidate, reply *agentapi.CommitReply,
) {
	task := &j.tasks[b.ref.Index]
	switch b.result {
	case agentapi.Started, agentapi.Unresolved:
		if !task.isCommitting(b.ref.Attempt) {
			return // a machine entry has already shown the attempt
		}
		task.markPlaced(machine.Machine, machine.Zone, reply.Rev, reply.Ver)
		task.reportedState = agentapi.Starting
		s.addPlacedAttempt(machine.Machine, b.ref)
		if j.isFinished() {
			s.stopTask(j, b.ref.Index, 0)
		}
		slog.Info(logline.TaskCommitted,
			"task", job.TaskID(b.ref.Job, b.ref.Index), "attempt", b.ref.Attempt,
			"machine", machine.Machine, "result", b.result, "image_cached", machine.Image,
			"age", time.Since(j.submittedAt).Round(time.Millisecond))
		s.applyEntrySince(machine.Machine, agentapi.EntryVersion{Rev: reply.Rev, Ver: reply.Ver})
	case agentapi.Refused:
		if task.isPlacedAttempt(b.ref.Attempt) {
			// A machine entry has already shown the attempt; a later entry will show its end.
			b.result = agentapi.Unresolved
		}
	}
}

// applyEntrySince applies the latest entry of a machine if it is not older than the version of a
// commit: an entry that arrived before the answer to the commit may already show that the attempt is
// gone, and the next one may be a long time off. The caller must hold s.mu.
func (s *Scheduler) applyEntrySince(machine string, version agentapi.EntryVersion) {
	if entry := s.feed.LastEntry(machine); !entry.Version().Before(version) {
		s.onEntry(&entry)
	}
}
