package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// maxPlacements bounds the concurrent placements.
	maxPlacements = 8

	// Delay between a wake-up and the dispatch, to coalesce the wake-ups, which arrive all the time
	// under load. A dispatch examines all jobs, so the delay grows with their number.
	minCoalesceDelay    = 10 * time.Millisecond
	coalesceDelayPerJob = 100 * time.Microsecond
	maxCoalesceDelay    = 50 * time.Millisecond
)

// runQueue dispatches on every wake-up and at least once per dispatchInterval, until ctx ends.
func (s *Scheduler) runQueue(ctx context.Context) {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		s.dispatch(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-s.wakeUp:
			time.Sleep(s.coalesceDelay())
		}
	}
}

// coalesceDelay returns the delay between a wake-up and the dispatch.
func (s *Scheduler) coalesceDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(maxCoalesceDelay, minCoalesceDelay+time.Duration(len(s.jobs))*coalesceDelayPerJob)
}

// wake makes runQueue dispatch soon.
func (s *Scheduler) wake() {
	select {
	case s.wakeUp <- struct{}{}:
	default:
	}
}

// queueEntry is a job that may be placed now, with its queue order.
type queueEntry struct {
	job   *jobState
	order float64
}

// dispatch starts placements of the queued jobs in queue order, up to maxPlacements at a time.
func (s *Scheduler) dispatch(ctx context.Context) {
	if !s.session.HoldsLease() {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkDependencies(now)
	if s.activePlacements >= maxPlacements {
		return // the end of a placement wakes the queue
	}
	for _, entry := range s.queuedJobs(now) {
		if s.activePlacements >= maxPlacements {
			break
		}
		j := entry.job
		if j.waitsForClass(now) && !j.startOverdue(now) {
			continue
		}
		j.placing = true
		j.class.activePlacements++
		s.activePlacements++
		s.background.Go(func() { s.place(ctx, j) })
	}
}

// queuedJobs returns entries for the jobs that may be placed now, in queue order. The caller must
// hold s.mu.
func (s *Scheduler) queuedJobs(now time.Time) []queueEntry {
	var entries []queueEntry
	for _, j := range s.jobs {
		if s.mayDispatch(j, now) {
			entries = append(entries, queueEntry{job: j, order: j.queueOrder(s.policy, now)})
		}
	}
	slices.SortFunc(entries, func(a, b queueEntry) int {
		return cmp.Or(cmp.Compare(b.order, a.order), cmp.Compare(a.job.spec.ID, b.job.spec.ID))
	})
	return entries
}

// mayDispatch reports whether a placement of the job may start now. The caller must hold s.mu.
func (s *Scheduler) mayDispatch(j *jobState, now time.Time) bool {
	if j.phase != jobRunnable || j.placing || now.Before(j.nextPlacementAt) {
		return false
	}
	if now.Before(j.class.pausedUntil) && !j.startOverdue(now) {
		return false
	}
	return s.canPlace(j) && j.hasPlaceableTasks()
}
