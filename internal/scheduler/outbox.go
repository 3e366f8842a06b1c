package scheduler

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/changefeed"
)

const (
	// outboxTimeout bounds one message to an owner.
	outboxTimeout = 2 * time.Second

	// stopResendInterval is the time after which a stop is sent again if the attempt is still
	// present: the machine may have a new owner by then.
	stopResendInterval = 2 * time.Second

	// maxUndeliveredMessages bounds the queue of each kind of message: while a queue has this many
	// messages, messages of its kind that could not be delivered are dropped instead of being
	// queued again.
	maxUndeliveredMessages = 10_000
)

// outbox holds the undelivered messages to other controllers. Scheduler.mu guards it.
type outbox struct {
	forgetItems   []agentapi.StopItem    // ended attempts to forget; superseded attempts and gang reservations to stop
	attributions  []agentapi.Attribution // failure attributions, for the owners of the machines
	grantReleases []agentapi.TaskRef     // unused quota grants, for the leader
}

// stopTask requests that a task is stopped; the request is repeated until the task is gone. grace
// is the time that the task has to write a checkpoint. A later request takes effect only if it
// shortens grace. The caller must hold s.mu.
func (s *Scheduler) stopTask(j *jobState, index int, grace time.Duration) {
	task := &j.tasks[index]
	if !task.onMachine() || task.status == taskStopping && task.grace <= grace {
		return
	}
	task.transition(taskStopping)
	task.grace, task.stopSentAt = grace, time.Time{}
	s.stopping[j.ref(index)] = true
}

// stopTaskOrGang stops a task or, if the job is a gang, all of its tasks. The caller must hold
// s.mu.
func (s *Scheduler) stopTaskOrGang(j *jobState, index int, grace time.Duration) {
	if !j.isGang() {
		s.stopTask(j, index, grace)
		return
	}
	s.stopAllTasks(j, grace)
}

// stopAllTasks stops all tasks of a job that are on machines. The caller must hold s.mu.
func (s *Scheduler) stopAllTasks(j *jobState, grace time.Duration) {
	for i := range j.tasks {
		s.stopTask(j, i, grace)
	}
}

// sendOutbox sends the queued messages to the owners of machines and to the leader. Agents repeat
// stops to the workers; the scheduler repeats them to agents because the owner of a machine may
// change.
func (s *Scheduler) sendOutbox(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	items := append(s.outbox.forgetItems, s.dueStops(now)...)
	releases := s.outbox.grantReleases
	attributions := s.outbox.attributions
	s.outbox = outbox{}
	s.mu.Unlock()

	s.sendAttributions(ctx, attributions)
	s.sendStops(ctx, items)
	if len(releases) > 0 {
		s.releaseGrants(ctx, releases)
	}
}

// dueStops lists the stops to send now and drops those whose attempt is gone. The caller must hold
// s.mu.
func (s *Scheduler) dueStops(now time.Time) []agentapi.StopItem {
	var due []agentapi.StopItem
	for ref := range s.stopping {
		task := s.stoppingTask(ref)
		if task == nil {
			delete(s.stopping, ref)
			continue
		}
		if now.Sub(task.stopSentAt) > stopResendInterval {
			task.stopSentAt = now
			due = append(due, agentapi.StopItem{Machine: task.machine, TaskRef: ref, Grace: task.grace})
		}
	}
	return due
}

// stoppingTask returns the task of an attempt that is being stopped, or nil if the attempt is gone.
// The caller must hold s.mu.
func (s *Scheduler) stoppingTask(ref agentapi.TaskRef) *taskState {
	j := s.jobs[ref.Job]
	if j == nil {
		return nil
	}
	task := &j.tasks[ref.Index]
	if task.status != taskStopping || task.attempt != ref.Attempt {
		return nil
	}
	return task
}

// sendStops sends stops and permissions to forget attempts to the owners of the machines. Items for
// machines without a known owner are dropped.
func (s *Scheduler) sendStops(ctx context.Context, items []agentapi.StopItem) {
	byHost := changefeed.GroupByOwner(s.feed, items, func(item *agentapi.StopItem) string { return item.Machine })
	for host, items := range byHost {
		s.background.Go(func() { s.sendStopsTo(ctx, host, items) })
	}
}

// sendStopsTo sends the items to one owner. If that fails, permissions to forget are queued again.
// Stops are not: dueStops repeats the stops of placed tasks, and a superseded attempt is stopped
// again when an entry lists it again.
func (s *Scheduler) sendStopsTo(ctx context.Context, host string, items []agentapi.StopItem) {
	callCtx, cancel := context.WithTimeout(ctx, outboxTimeout)
	defer cancel()
	err := s.peers.Call(callCtx, host, methodStop, agentapi.StopRequest{Items: items}, &struct{}{})
	if err == nil {
		return
	}
	slog.Debug("task stop request failed", "host", host, "err", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range items {
		if item.Forget && len(s.outbox.forgetItems) < maxUndeliveredMessages {
			s.outbox.forgetItems = append(s.outbox.forgetItems, item)
		}
	}
}
