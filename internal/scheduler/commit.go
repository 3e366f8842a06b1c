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

// Phase 3, commit: the tasks of a plan get their attempt numbers and quota grants, and are
// bound to machines at their owners with MultiBind. Gangs are in gang_commit.go.

// commitTimeout is how long one commit may take: the owner waits for the worker to report
// the start.
const commitTimeout = 4500 * time.Millisecond

// epochAttemptBits is how many attempts at a job an epoch of its job shard has numbers for,
// as a power of two: a later scheduler's numbers are above all of an earlier one's.
const epochAttemptBits = 20

// binding is one task on its way to a machine.
type binding struct {
	ref        agentapi.TaskRef
	candidates []agentapi.Candidate
	result     string // of its last commit, one of those in agentapi
}

// commitMode says what a commit does on the machine.
type commitMode uint8

const (
	// startTasks starts the tasks.
	startTasks commitMode = iota
	// holdCapacity only holds capacity for them.
	holdCapacity
)

// commitPlan binds the plan's tasks to machines. It reports whether capacity was missing.
func (s *Scheduler) commitPlan(ctx context.Context, p *placement, decided *placementPlan) (noCapacity bool) {
	j := p.job
	bindings := s.beginAttempts(j, p.tasks[:len(decided.lists)], decided.lists)
	if bindings == nil {
		return false
	}
	granted, leaderEpoch := s.requestGrants(ctx, j, bindings, p.request.Epoch)
	if j.isGang() && len(granted) < len(bindings) {
		s.abandonGranted(j, bindings)
		return true
	}
	refused := slices.DeleteFunc(slices.Clone(bindings), func(b *binding) bool { return slices.Contains(granted, b) })
	s.abandon(j, refused)
	noCapacity = len(refused) > 0 || len(decided.lists) < p.tasksNeeded() && !decided.waitsForImage

	commit := agentapi.CommitRequest{Request: decided.request, StewardEpoch: leaderEpoch, JobRev: s.revisionOf(j)}
	if j.isGang() && len(granted) > 1 {
		return !s.commitGang(ctx, j, commit, granted)
	}
	s.multiBind(ctx, j, commit, granted)
	return noCapacity || slices.ContainsFunc(granted, (*binding).wasRefused)
}

// wasRefused reports whether the task is certainly not started.
func (b *binding) wasRefused() bool { return b.result == agentapi.Refused }

// revisionOf returns the revision of the job's record.
func (s *Scheduler) revisionOf(j *jobState) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.revision
}

// beginAttempts numbers new attempts at tasks, never used before for the job. It returns
// nil if there are none: the job is finished, its job shard is not held any more, or a
// member of a gang is not pending.
func (s *Scheduler) beginAttempts(j *jobState, tasks []int, lists [][]agentapi.Candidate) []*binding {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[j.shardID]
	if shard == nil || j.isFinished() {
		return nil
	}
	s.counters.Placements++
	j.attempts = max(j.attempts, shard.epoch<<epochAttemptBits)
	if j.isGang() {
		j.attempts++ // one for all
	}
	var bindings []*binding
	for k, i := range tasks {
		task := &j.tasks[i]
		if task.status != taskPending || j.done.Has(i) {
			if j.isGang() {
				s.undoAttempts(j, bindings)
				return nil
			}
			continue
		}
		if !j.isGang() {
			j.attempts++
		}
		task.beginAttempt(j.attempts, lists[k][0].Zone)
		bindings = append(bindings, &binding{ref: j.ref(i), candidates: lists[k]})
	}
	return bindings
}

// undoAttempts returns tasks whose attempts have just begun to pending. The mutex is held.
func (s *Scheduler) undoAttempts(j *jobState, bindings []*binding) {
	for _, b := range bindings {
		s.resetTask(j, b.ref.Index)
	}
}

// abandon returns tasks that were certainly not started, and have no quota grant, to the
// queue.
func (s *Scheduler) abandon(j *jobState, bindings []*binding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range bindings {
		j.returnToQueue(b)
	}
}

// abandonGranted does so with tasks that have quota grants, which are released.
func (s *Scheduler) abandonGranted(j *jobState, bindings []*binding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range bindings {
		if j.returnToQueue(b) {
			s.queueRelease(j, b.ref)
		}
	}
}

// returnToQueue returns a task whose commit is under way to pending, unless an entry has
// shown it meanwhile.
func (j *jobState) returnToQueue(b *binding) bool {
	task := &j.tasks[b.ref.Index]
	if !task.isCommitting(b.ref.Attempt) {
		return false
	}
	task.transition(taskPending)
	return true
}

// multiBind commits each task to the first of its candidates that takes it: in each round
// one request per machine, and on refusal the next candidate.
func (s *Scheduler) multiBind(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest, bindings []*binding,
) {
	left := bindings
	for round := 0; len(left) > 0; round++ {
		groups := s.groupByMachine(j, left, round)
		var calls sync.WaitGroup
		for _, group := range groups {
			machine := group[0].candidates[round]
			calls.Go(func() { s.commit(ctx, j, commit, group, machine, startTasks) })
		}
		calls.Wait()
		var next []*binding
		for _, group := range groups {
			for _, b := range group {
				if b.wasRefused() {
					next = append(next, b)
				}
			}
		}
		s.countRound(round, len(left), len(next))
		left = next
	}
}

// groupByMachine groups bindings by their candidate of a round. Those that have none left
// return to the queue.
func (s *Scheduler) groupByMachine(j *jobState, bindings []*binding, round int) map[string][]*binding {
	groups := map[string][]*binding{}
	for _, b := range bindings {
		if round >= len(b.candidates) {
			b.result = agentapi.Refused
			s.abandonGranted(j, []*binding{b})
			continue
		}
		machine := b.candidates[round].Machine
		groups[machine] = append(groups[machine], b)
	}
	return groups
}

// countRound counts a round of MultiBind.
func (s *Scheduler) countRound(round, tried, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Conflicts += uint64(refused)
	if round > 0 {
		s.counters.Fallbacks += uint64(tried)
	}
}

// commit sends one commit of bindings to a machine's owner, and takes up the results.
func (s *Scheduler) commit(
	ctx context.Context, j *jobState, commit agentapi.CommitRequest,
	group []*binding, machine agentapi.Candidate, mode commitMode,
) {
	commit.Machine, commit.Rev = machine.Machine, machine.Rev
	commit.Hold = mode == holdCapacity
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
		s.onUnanswered(ctx, j, group, machine)
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

// sendCommit sends a commit. The reply is empty if that fails.
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

// onCommitResult takes up the owner's answer about one binding. The mutex is held.
func (s *Scheduler) onCommitResult(
	j *jobState, b *binding, machine agentapi.Candidate, reply *agentapi.CommitReply,
) {
	task := &j.tasks[b.ref.Index]
	switch b.result {
	case agentapi.Started, agentapi.Unresolved:
		if !task.isCommitting(b.ref.Attempt) {
			return // the feed was faster
		}
		task.place(machine.Machine, machine.Zone, reply.Rev, reply.Ver)
		task.state = agentapi.Starting
		s.notePlaced(machine.Machine, b.ref)
		if j.isFinished() {
			s.stopTask(j, b.ref.Index, 0)
		}
		slog.Info(logline.TaskCommitted,
			"task", job.TaskID(b.ref.Job, b.ref.Index), "attempt", b.ref.Attempt,
			"machine", machine.Machine, "result", b.result, "image_cached", machine.Image,
			"age", time.Since(j.submittedAt).Round(time.Millisecond))
	case agentapi.Refused:
		if task.isPlacedAttempt(b.ref.Attempt) {
			// The feed was faster: it has shown the task; it will show its end.
			b.result = agentapi.Unresolved
		}
	}
}
