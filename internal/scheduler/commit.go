package scheduler

import (
	"context"
	"slices"

	"robinstack/internal/agentapi"
)

// Phase 3 of a placement, the commit: the tasks of a plan get attempt numbers and quota grants, and
// MultiBind (multi_bind.go) binds them to machines through the owners of the machines. Gangs are in
// gang_commit.go.

// epochAttemptBits is the number of low-order bits of an attempt number that count the attempts
// within an epoch of the job shard; the epoch is in the bits above. The attempt numbers of a later
// scheduler are therefore above those of all earlier ones.
const epochAttemptBits = 20

// binding is the commit of one task attempt to a machine.
type binding struct {
	ref        agentapi.TaskRef
	candidates []agentapi.Candidate
	result     string // result of the latest commit, a constant of agentapi
}

// commitMode selects the effect of a commit on the machine.
type commitMode uint8

const (
	// startTasks starts the tasks.
	startTasks commitMode = iota
	// reserveOnly reserves capacity for the tasks without starting them.
	reserveOnly
)

// commitPlan binds the plan's tasks to machines. It reports whether capacity or a quota grant was
// missing.
func (s *Scheduler) commitPlan(ctx context.Context, p *placement, plan *placementPlan) (noCapacity bool) {
	j := p.job
	bindings := s.beginAttempts(j, p.tasks[:len(plan.taskCandidates)], plan.taskCandidates)
	if bindings == nil {
		return false
	}
	granted, leaderEpoch := s.requestGrants(ctx, j, bindings, p.request.Epoch)
	if j.isGang() && len(granted) < len(bindings) {
		s.requeueAndReleaseGrants(j, bindings)
		return true
	}
	ungranted := slices.DeleteFunc(slices.Clone(bindings), func(b *binding) bool { return slices.Contains(granted, b) })
	s.requeue(j, ungranted)
	noCapacity = len(ungranted) > 0 || len(plan.taskCandidates) < p.tasksNeeded() && !plan.delayedForImage

	commit := agentapi.CommitRequest{Request: plan.request, StewardEpoch: leaderEpoch, JobRev: s.revisionOf(j)}
	if j.isGang() && len(granted) > 1 {
		return !s.commitGang(ctx, j, commit, granted)
	}
	s.multiBind(ctx, j, commit, granted)
	return noCapacity || slices.ContainsFunc(granted, (*binding).wasRefused)
}

// wasRefused reports whether the owner refused the task, so that it has certainly not started.
func (b *binding) wasRefused() bool { return b.result == agentapi.Refused }

// revisionOf returns the revision of the job's record.
func (s *Scheduler) revisionOf(j *jobState) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.revision
}

// beginAttempts starts a new attempt at each task, with attempt numbers that the job has never
// used. It returns nil if no attempt can start: the job is finished, its job shard is no longer
// held, or a member of a gang is not pending.
func (s *Scheduler) beginAttempts(j *jobState, tasks []int, lists [][]agentapi.Candidate) []*binding {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[j.shardID]
	if shard == nil || j.isFinished() || !s.canPlace(j) {
		return nil
	}
	s.counters.Placements++
	j.attempts = max(j.attempts, shard.epoch<<epochAttemptBits)
	if j.isGang() {
		j.attempts++ // the members of a gang share an attempt number
	}
	var bindings []*binding
	for position, index := range tasks {
		task := &j.tasks[index]
		if task.status != taskPending || j.done.Has(index) {
			if j.isGang() {
				s.undoAttempts(j, bindings)
				return nil
			}
			continue
		}
		if !j.isGang() {
			j.attempts++
		}
		task.beginAttempt(j.attempts, lists[position][0].Zone)
		bindings = append(bindings, &binding{ref: j.ref(index), candidates: lists[position]})
	}
	return bindings
}

// undoAttempts sets tasks whose attempts have just begun back to pending. The caller must hold
// s.mu.
func (s *Scheduler) undoAttempts(j *jobState, bindings []*binding) {
	for _, b := range bindings {
		s.resetTask(j, b.ref.Index)
	}
}

// requeue requeues tasks that have certainly not started and have no quota grant.
func (s *Scheduler) requeue(j *jobState, bindings []*binding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range bindings {
		j.requeueTask(b)
	}
}

// requeueAndReleaseGrants requeues tasks that have certainly not started, and releases their quota
// grants.
func (s *Scheduler) requeueAndReleaseGrants(j *jobState, bindings []*binding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range bindings {
		if j.requeueTask(b) {
			s.queueRelease(j, b.ref)
		}
	}
}

// requeueTask sets the task of a binding back to pending. It returns false if the attempt is no
// longer committing, because a machine entry has shown it in the meantime.
func (j *jobState) requeueTask(b *binding) bool {
	task := &j.tasks[b.ref.Index]
	if !task.isCommitting(b.ref.Attempt) {
		return false
	}
	task.transition(taskPending)
	return true
}
