package scheduler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/scheduler/candidate"
)

const (
	// reservationRetryInterval is the time between two tries of a job for which capacity is
	// being reserved.
	reservationRetryInterval = 700 * time.Millisecond

	// reservationTimeout is how long one request to reserve or preempt may take.
	reservationTimeout = time.Second
)

// reserveBackfill has capacity reserved for a job whose start is overdue, on the machines
// that will have it soonest; the plan's candidates are those that have it now. It returns
// whether some is reserved.
func (s *Scheduler) reserveBackfill(ctx context.Context, p *placement, decided *placementPlan) bool {
	j := p.job
	if !s.isOverdue(j) {
		return false
	}
	tasks := 1 // others than gangs begin with their first task
	if j.isGang() {
		tasks = p.tasksNeeded()
	}
	epoch := p.request.Epoch
	if !s.quotaAllows(ctx, j, epoch, tasks) && !s.reserveQuota(ctx, j, epoch, tasks) {
		return false
	}
	request := decided.request
	request.Tasks = tasks
	options := s.askOwners(ctx, methodListReservable, request).candidates
	candidate.Rank(options)
	chosen := candidate.ChooseFreed(j.spec.OneZone, decided.candidates, options, tasks)
	if len(chosen) == 0 && len(decided.candidates) == 0 {
		return false
	}
	reserved := s.reserveMachines(ctx, methodReserve, p, request, chosen, decided.candidates, tasks)
	s.noteReservation(j, reserved)
	return reserved > 0
}

// isOverdue reports whether the job should have started by now.
func (s *Scheduler) isOverdue(j *jobState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.startOverdue(time.Now())
}

// noteReservation notes that capacity is being reserved for the job.
func (s *Scheduler) noteReservation(j *jobState, machines int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Gathered++
	j.nextTry = time.Now().Add(reservationRetryInterval)
	if j.reserving {
		return
	}
	j.reserving = true
	slog.Info("backfill reservation complete",
		"job", j.spec.ID, "class", j.spec.Class, "tasks", len(j.tasks),
		"age", time.Since(j.readyAt).Round(time.Second), "machines", machines)
}

// reserveMachines has owners reserve the chosen machines for a job, by the given method,
// and what capacity was found for it already: others would take that, and more would have
// to be reserved. It returns how many are reserved.
func (s *Scheduler) reserveMachines(
	ctx context.Context, method string, p *placement, request agentapi.Request,
	chosen, found []agentapi.Candidate, tasks int,
) (reserved int) {
	var (
		mu    sync.Mutex // guards reserved
		calls sync.WaitGroup
	)
	for _, machine := range candidate.AddFound(p.job.spec.OneZone, chosen, found, tasks) {
		calls.Go(func() {
			if s.reserveMachine(ctx, method, request, machine) {
				mu.Lock()
				defer mu.Unlock()
				reserved++
			}
		})
	}
	calls.Wait()
	return reserved
}

// reserveMachine has one owner reserve a machine.
func (s *Scheduler) reserveMachine(
	ctx context.Context, method string, request agentapi.Request, machine agentapi.Candidate,
) bool {
	callCtx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	commit := agentapi.CommitRequest{Request: request, Machine: machine.Machine, Rev: machine.Rev}
	var reply agentapi.CommitReply
	if err := s.peers.Call(callCtx, machine.Host, method, commit, &reply); err != nil {
		slog.Debug("machine reservation failed", "method", method, "machine", machine.Machine, "err", err)
		return false
	}
	return len(reply.Verdicts) > 0 && reply.Verdicts[0] == agentapi.Held
}
