package scheduler

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
)

const (
	// outboxTimeout is how long one message to an owner may take.
	outboxTimeout = 2 * time.Second

	// stopResendInterval is the time after which a stop is sent again while its task is
	// not gone: its machine may have another owner by then.
	stopResendInterval = 2 * time.Second

	// maxOutbox is from how many messages of a kind on those that could not be delivered
	// are dropped.
	maxOutbox = 10_000
)

// outbox holds what other controllers are to be told. The scheduler's mutex guards it.
type outbox struct {
	forgets      []agentapi.StopItem    // ended attempts that their machines may forget
	attributions []agentapi.Attribution // failures, for the owners of the machines
	releases     []agentapi.TaskRef     // quota grants that are not used, for the leader
}

// stopTask has a task stopped, again and again until it is gone. The mutex is held.
func (s *Scheduler) stopTask(j *jobState, index int, grace time.Duration) {
	task := &j.tasks[index]
	if !task.onMachine() || task.status == taskStopping && task.grace <= grace {
		return
	}
	task.transition(taskStopping)
	task.grace, task.stopSentAt = grace, time.Time{}
	s.stopping[j.ref(index)] = true
}

// stopTaskOrGang stops a task in good order: of a gang, all together. The mutex is held.
func (s *Scheduler) stopTaskOrGang(j *jobState, index int, grace time.Duration) {
	if !j.isGang() {
		s.stopTask(j, index, grace)
		return
	}
	s.stopAllTasks(j, grace)
}

// stopAllTasks stops all tasks of a job that are on machines. The mutex is held.
func (s *Scheduler) stopAllTasks(j *jobState, grace time.Duration) {
	for i := range j.tasks {
		s.stopTask(j, i, grace)
	}
}

// sendOutbox passes what is to be told to the machines' owners and to the leader. Agents
// repeat stops to the workers; repeating them here covers a change of owner.
func (s *Scheduler) sendOutbox(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	items := append(s.outbox.forgets, s.dueStops(now)...)
	releases := s.outbox.releases
	attributions := s.outbox.attributions
	s.outbox = outbox{}
	s.mu.Unlock()

	s.sendAttributions(ctx, attributions)
	s.sendStops(ctx, items)
	if len(releases) > 0 {
		s.releaseGrants(ctx, releases)
	}
}

// dueStops lists the stops that are to be sent now, and drops those whose task is gone.
// The mutex is held.
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

// stoppingTask returns the task of an attempt that is being stopped, or nil if that is
// gone. The mutex is held.
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

// sendStops sends stops and permissions to forget to the owners of the machines.
func (s *Scheduler) sendStops(ctx context.Context, items []agentapi.StopItem) {
	byHost := map[string][]agentapi.StopItem{}
	for _, item := range items {
		if host, ok := s.feed.OwnerHost(item.Machine); ok {
			byHost[host] = append(byHost[host], item)
		}
	}
	for host, items := range byHost {
		s.background.Go(func() { s.sendStopsTo(ctx, host, items) })
	}
}

// sendStopsTo sends them to one owner. Permissions to forget are sent again if that
// fails; stops are sent again anyway.
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
		if item.Forget && len(s.outbox.forgets) < maxOutbox {
			s.outbox.forgets = append(s.outbox.forgets, item)
		}
	}
}
