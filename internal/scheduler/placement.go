package scheduler

import (
	"context"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/scheduler/candidate"
)

// placement is one pass of a job through sampling, decision and commit. It holds a snapshot of the
// job from the start of the pass and is used by a single goroutine.
type placement struct {
	job          *jobState
	tasks        []int          // indices of the tasks to place
	othersByZone map[string]int // the job's other unfinished tasks, committing or on machines
	request      agentapi.Request
}

// tasksNeeded returns the number of tasks to place.
func (p *placement) tasksNeeded() int { return len(p.tasks) }

// place runs a placement of the job and sets the time before which the next one must not start.
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

// placeOnce runs the three phases. It reports whether capacity was missing, in which case the job's
// scheduling class pauses.
func (s *Scheduler) placeOnce(ctx context.Context, j *jobState) (noCapacity bool) {
	p := s.beginPlacement(j)
	if p == nil {
		return false
	}
	sampled := s.sample(ctx, p)
	plan := s.decide(p, sampled)
	switch s.makeCapacity(ctx, p, plan, sampled) {
	case capacityMissing:
		return true
	case capacityAwaited:
		return false
	}
	return s.commitPlan(ctx, p, plan)
}

// beginPlacement takes the snapshot for a placement. It returns nil if the job is finished or its
// job shard is no longer held.
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

// retryIn postpones the job's next placement by the pause.
func (s *Scheduler) retryIn(j *jobState, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.nextTry = time.Now().Add(pause)
}

// capacityResult says whether a plan has the capacity that it needs.
type capacityResult uint8

const (
	// capacityFound: the plan can be committed.
	capacityFound capacityResult = iota
	// capacityAwaited: capacity is being freed for the job, or the job waits for other machines. It
	// tries again when that capacity may be available; its scheduling class does not pause.
	capacityAwaited
	// capacityMissing: there is no capacity, and the job's scheduling class pauses.
	capacityMissing
)

// makeCapacity obtains the capacity that a plan lacks: the job waits for machines with its image,
// tasks of lower priority are preempted, or capacity is reserved.
func (s *Scheduler) makeCapacity(
	ctx context.Context, p *placement, plan *placementPlan, sampled sampleResult,
) capacityResult {
	lacksCapacity := len(plan.lists) < p.tasksNeeded()
	gangLacksCapacity := lacksCapacity && p.job.isGang()
	nonGangLacksCapacity := lacksCapacity && !p.job.isGang()
	insufficient := len(plan.lists) == 0 || gangLacksCapacity
	if lacksCapacity && plan.waitsForImage {
		s.awaitImage(ctx, p, plan)
		if insufficient {
			return capacityAwaited
		}
	}
	if gangLacksCapacity && s.preempt(ctx, p, plan, allMachines) {
		return capacityAwaited
	}
	if insufficient && s.reserveBackfill(ctx, p, plan) {
		return capacityAwaited
	}
	if nonGangLacksCapacity && sampled.crowded {
		// Capacity exists, but fetches on those machines would compete with the fetch of this job's
		// image. Jobs with other images may use it, so the class does not pause.
		s.retryIn(p.job, s.policy.ResampleDelay)
		plan.waitsForImage = true
		if insufficient {
			return capacityAwaited
		}
	}
	if insufficient {
		return capacityMissing
	}
	return capacityFound
}

// awaitImage schedules a retry for a job that waits for machines with its image. For a gang that
// would miss its start target by fetching the image, it also preempts tasks on such machines.
func (s *Scheduler) awaitImage(ctx context.Context, p *placement, plan *placementPlan) {
	s.retryIn(p.job, delayRetryInterval)
	if p.job.isGang() && p.job.fetchMissesObjective(s.fetchTime(p.job.spec), time.Now()) {
		s.preempt(ctx, p, plan, machinesWithImage)
	}
}
