package scheduler

import (
	"context"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/scheduler/candidate"
)

// placement is one pass of one job through sampling, decision and commit. It holds a
// snapshot of the job, taken when it began, and is used by its own goroutine alone.
type placement struct {
	job          *jobState
	tasks        []int          // indices of the tasks that need a machine
	othersByZone map[string]int // the job's other unfinished tasks, committing or placed
	request      agentapi.Request
}

// tasksNeeded is how many tasks need a machine.
func (p *placement) tasksNeeded() int { return len(p.tasks) }

// place takes one job through a placement, and says when its next may be.
func (s *Scheduler) place(ctx context.Context, j *jobState) {
	noCapacity := s.placeOnce(ctx, j)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placements--
	j.class.placements--
	j.placing = false
	if noCapacity {
		retry := now.Add(s.policy.ResampleDelay)
		j.tries++
		s.counters.Requeues++
		if retry.After(j.nextTry) {
			j.nextTry = retry
		}
		j.class.fullUntil = retry
	}
	s.dropIfGone(j.spec.ID, j)
	s.wake()
}

// placeOnce carries out the three phases. It reports whether capacity was missing, so that
// the job's class pauses.
func (s *Scheduler) placeOnce(ctx context.Context, j *jobState) (noCapacity bool) {
	p := s.beginPlacement(j)
	if p == nil {
		return false
	}
	sampled := s.sample(ctx, p)
	decided := s.decide(p, sampled)
	switch s.makeCapacity(ctx, p, decided, sampled) {
	case capacityMissing:
		return true
	case capacityAwaited:
		return false
	}
	return s.commitPlan(ctx, p, decided)
}

// beginPlacement takes the snapshot for a placement, or returns nil if the job is finished
// or its job shard is not held any more.
func (s *Scheduler) beginPlacement(j *jobState) *placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[j.shardID]
	if shard == nil || j.isFinished() {
		return nil
	}
	now := time.Now()
	p := &placement{job: j, othersByZone: map[string]int{}}
	batch := j.batchSize(now)
	for i := range j.tasks {
		switch task := &j.tasks[i]; {
		case j.done.Has(i):
		case task.status != taskPending:
			p.othersByZone[task.zone]++
		case len(p.tasks) < batch:
			p.tasks = append(p.tasks, i)
		}
	}
	p.request = agentapi.Request{
		Spec:  *j.effective,
		Slot:  j.shardID,
		Epoch: shard.epoch,
		Age:   now.Sub(j.readyAt),
		Avoid: slices.Clone(j.failures.avoided(now)),
		Tasks: len(p.tasks),
		Share: s.policy.SampleMachineShare,
		Least: s.policy.SampleMinMachines,
		Spare: s.policy.MultiBind,
		Parts: s.policy.ClassFairShare,
		Zones: candidate.OpenZones(j.effective, p.othersByZone, s.settings.Zones),
	}
	return p
}

// retryIn has the job wait before its next placement.
func (s *Scheduler) retryIn(j *jobState, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.nextTry = time.Now().Add(pause)
}

// capacityResult is what became of capacity that a plan is short of.
type capacityResult uint8

const (
	// capacityFound: the plan is good enough to be committed.
	capacityFound capacityResult = iota
	// capacityAwaited: the job tries again when capacity that is being made for it, or
	// that it waits for, may be there; its class does not pause.
	capacityAwaited
	// capacityMissing: there is none, so that the job's class pauses.
	capacityMissing
)

// makeCapacity has capacity made where the plan is short of it: the job waits for machines
// with its image, tasks of lower priority are preempted, or capacity is reserved.
func (s *Scheduler) makeCapacity(
	ctx context.Context, p *placement, decided *placementPlan, sampled sampleResult,
) capacityResult {
	missing := len(decided.lists) < p.tasksNeeded()
	gangMissing := missing && p.job.isGang()
	othersMissing := missing && !p.job.isGang()
	insufficient := len(decided.lists) == 0 || gangMissing
	if missing && decided.waitsForImage {
		s.awaitImage(ctx, p, decided)
		if insufficient {
			return capacityAwaited
		}
	}
	if gangMissing && s.preempt(ctx, p, decided, allMachines) {
		return capacityAwaited
	}
	if insufficient && s.reserveBackfill(ctx, p, decided) {
		return capacityAwaited
	}
	if othersMissing && sampled.crowded {
		// There is capacity, but not for its image: jobs with others may take it.
		s.retryIn(p.job, s.policy.ResampleDelay)
		decided.waitsForImage = true
		if insufficient {
			return capacityAwaited
		}
	}
	if insufficient {
		return capacityMissing
	}
	return capacityFound
}

// awaitImage has the job try again soon for machines with its image. Where a gang would
// start too late if it fetched it, they are preempted for it.
func (s *Scheduler) awaitImage(ctx context.Context, p *placement, decided *placementPlan) {
	s.retryIn(p.job, delayRetryInterval)
	if p.job.isGang() && p.job.fetchMissesObjective(s.fetchTime(p.job.spec), time.Now()) {
		s.preempt(ctx, p, decided, machinesWithImage)
	}
}
