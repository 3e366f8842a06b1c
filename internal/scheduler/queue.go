package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// maxPlacements bounds the placements at work at the same time.
	maxPlacements = 8

	// What wakes the queue gathers for a moment: under load something does all the time,
	// and every look goes through all jobs, so that with many the looks are further apart.
	minWakeUpPause    = 10 * time.Millisecond
	wakeUpPausePerJob = 100 * time.Microsecond
	maxWakeUpPause    = 50 * time.Millisecond
)

// runQueue dispatches until ctx ends, whenever something wakes the queue.
func (s *Scheduler) runQueue(ctx context.Context) {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		s.dispatch(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-s.wakeUp:
			time.Sleep(s.wakeUpPause())
		}
	}
}

func (s *Scheduler) wakeUpPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(maxWakeUpPause, minWakeUpPause+time.Duration(len(s.jobs))*wakeUpPausePerJob)
}

// wake has the queue looked at soon.
func (s *Scheduler) wake() {
	select {
	case s.wakeUp <- struct{}{}:
	default:
	}
}

// queued is a job that may be placed now.
type queued struct {
	job   *jobState
	order float64
}

// dispatch starts placements for the jobs that wait, those first that the queue's order
// puts first.
func (s *Scheduler) dispatch(ctx context.Context) {
	if !s.session.HoldsLease() {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkDependencies(now)
	if s.placements >= maxPlacements {
		return // the end of one of them wakes the queue
	}
	for _, next := range s.queue(now) {
		if s.placements >= maxPlacements {
			break
		}
		j := next.job
		if j.waitsForClass(now) && !j.startOverdue(now) {
			continue
		}
		j.placing = true
		j.class.placements++
		s.placements++
		s.background.Go(func() { s.place(ctx, j) })
	}
}

// queue lists the jobs that may be placed now in the queue's order. The mutex is held.
func (s *Scheduler) queue(now time.Time) []queued {
	var queue []queued
	for _, j := range s.jobs {
		if s.mayDispatch(j, now) {
			queue = append(queue, queued{job: j, order: j.queueOrder(s.policy, now)})
		}
	}
	slices.SortFunc(queue, func(a, b queued) int {
		return cmp.Or(cmp.Compare(b.order, a.order), cmp.Compare(a.job.spec.ID, b.job.spec.ID))
	})
	return queue
}

// mayDispatch reports whether a placement of the job may be started. The mutex is held.
func (s *Scheduler) mayDispatch(j *jobState, now time.Time) bool {
	if j.phase != jobRunnable || j.placing || now.Before(j.nextTry) {
		return false
	}
	if now.Before(j.class.fullUntil) && !j.startOverdue(now) {
		return false
	}
	return s.mayPlace(j) && j.hasPlaceableTasks()
}
