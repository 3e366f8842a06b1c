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
	activeByZone map[string]int // the job's other unfinished tasks, committing or on machines
	request      agentapi.Request
}

// tasksNeeded returns the number of tasks to place.
func (p *placement) tasksNeeded() int { return len(p.tasks) }

// place runs a placement of the job and sets the time before which the next one must not start.
func (s *Scheduler) place(ctx context.Context, j *jobState) {
	noCapacity := s.runPhases(ctx, j)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activePlacements--
	j.class.activePlacements--
	j.placing = false
	if noCapacity {
		retry := now.Add(s.policy.ResampleDelay)
		j.failedPlacements++
		s.counters.Requeues++
		if retry.After(j.nextPlacementAt) {
			j.nextPlacementAt = retry
		}
		j.class.pausedUntil = retry
	}
	s.dropIfGone(j.spec.ID, j)
	s.wake()
}

// runPhases runs the phases of a placement: sampling, decision and commit. It reports whether
// capacity was missing, in which case the job's scheduling class pauses.
func (s *Scheduler) runPhases(ctx context.Context, j *jobState) (noCapacity bool) {
	p := s.beginPlacement(j)
	if p == nil {
		return false
	}
	sampled := s.sample(ctx, p)
	plan := s.decide(p, sampled)
	switch s.obtainCapacity(ctx, p, plan, sampled) {
	case capacityMissing:
		return true
	case capacityPending:
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
	p := &placement{job: j, activeByZone: map[string]int{}}
	batch := j.batchSize(now)
	for i := range j.tasks {
		switch task := &j.tasks[i]; {
		case j.done.Has(i):
		case task.status != taskPending:
			p.activeByZone[task.zone]++
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
		Zones: candidate.OpenZones(j.effective, p.activeByZone, s.settings.Zones),
	}
	return p
}

// postponePlacement postpones the job's next placement until the delay has passed.
func (s *Scheduler) postponePlacement(j *jobState, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.nextPlacementAt = time.Now().Add(delay)
}

// capacityResult says whether a plan has the capacity that it needs.
type capacityResult uint8

const (
	// capacityFound: the plan can be committed.
	capacityFound capacityResult = iota
	// capacityPending: capacity is being freed for the job, or the job waits for other machines. It
	// tries again when that capacity may be available; its scheduling class does not pause.
	capacityPending
	// capacityMissing: there is no capacity, and the job's scheduling class pauses.
	capacityMissing
)

// obtainCapacity obtains the capacity that a plan lacks: the job waits for machines with its image,
// tasks of lower priority are preempted, or capacity is reserved.
func (s *Scheduler) obtainCapacity(
	ctx context.Context, p *placement, plan *placementPlan, sampled sampleResult,
) capacityResult {
	lacksCapacity := len(plan.taskCandidates) < p.tasksNeeded()
	gangLacksCapacity := lacksCapacity && p.job.isGang()
	nonGangLacksCapacity := lacksCapacity && !p.job.isGang()
	insufficient := len(plan.taskCandidates) == 0 || gangLacksCapacity
	if lacksCapacity && plan.delayedForImage {
		s.retryForImage(ctx, p, plan)
		if insufficient {
			return capacityPending
		}
	}
	if gangLacksCapacity && s.preempt(ctx, p, plan, allMachines) {
		return capacityPending
	}
	if insufficient && s.reserveBackfill(ctx, p, plan) {
		return capacityPending
	}
	if nonGangLacksCapacity && sampled.fetchContended {
		// Capacity exists, but fetches on those machines would compete with the fetch of this job's
		// image. Jobs with other images may use it, so the class does not pause.
		s.postponePlacement(p.job, s.policy.ResampleDelay)
		plan.delayedForImage = true
		if insufficient {
			return capacityPending
		}
	}
	if insufficient {
		return capacityMissing
	}
	return capacityFound
}

// retryForImage schedules a retry for a job that waits for machines with its image. For a gang that
// would miss its start target by fetching the image, it also preempts tasks on such machines.
func (s *Scheduler) retryForImage(ctx context.Context, p *placement, plan *placementPlan) {
	s.postponePlacement(p.job, delayRetryInterval)
	if p.job.isGang() && p.job.fetchMissesStartTarget(s.fetchTime(p.job.spec), time.Now()) {
		s.preempt(ctx, p, plan, machinesWithImage)
	}
}
