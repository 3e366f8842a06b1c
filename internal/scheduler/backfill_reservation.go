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
	// reservationRetryInterval is the time between two placements of a job for which capacity is
	// being reserved.
	reservationRetryInterval = 700 * time.Millisecond

	// reservationTimeout bounds one request to reserve a machine or to preempt tasks on it.
	reservationTimeout = time.Second
)

// reserveBackfill reserves capacity for a job whose start is overdue, on the machines that will
// have capacity soonest. The candidates of the plan have capacity now and are reserved as well. It
// reports whether any machine is reserved.
func (s *Scheduler) reserveBackfill(ctx context.Context, p *placement, plan *placementPlan) bool {
	j := p.job
	if !s.isOverdue(j) {
		return false
	}
	tasks := 1 // jobs other than gangs start with their first task
	if j.isGang() {
		tasks = p.tasksNeeded()
	}
	epoch := p.request.Epoch
	if !s.quotaAllows(ctx, j, epoch, tasks) && !s.reserveQuota(ctx, j, epoch, tasks) {
		return false
	}
	request := plan.request
	request.Tasks = tasks
	options := s.queryControllers(ctx, methodListReservable, request).candidates
	candidate.Rank(options)
	chosen := candidate.ChooseMachinesToFree(j.spec.OneZone, plan.candidates, options, tasks)
	if len(chosen) == 0 && len(plan.candidates) == 0 {
		return false
	}
	reserved := s.reserveMachines(ctx, methodReserve, p, request, chosen, plan.candidates, tasks)
	s.recordReservation(j, reserved)
	return reserved > 0
}

// isOverdue reports whether the start of the job is overdue.
func (s *Scheduler) isOverdue(j *jobState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.startOverdue(time.Now())
}

// recordReservation records that capacity is being reserved for the job.
func (s *Scheduler) recordReservation(j *jobState, machines int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Gathered++
	j.nextPlacementAt = time.Now().Add(reservationRetryInterval)
	if j.reserving {
		return
	}
	j.reserving = true
	slog.Info("backfill reservation complete",
		"job", j.spec.ID, "class", j.spec.Class, "tasks", len(j.tasks),
		"age", time.Since(j.readyAt).Round(time.Second), "machines", machines)
}

// reserveMachines asks owners, by the given RPC method, to reserve the chosen machines for a job.
// It also reserves machines that already have capacity: other jobs would take that capacity, and
// more machines would have to be reserved. It returns the number of machines reserved.
func (s *Scheduler) reserveMachines(
	ctx context.Context, method string, p *placement, request agentapi.Request,
	chosen, withCapacity []agentapi.Candidate, tasks int,
) (reserved int) {
	var (
		mu    sync.Mutex // mu guards reserved
		calls sync.WaitGroup
	)
	for _, machine := range candidate.AddMachinesWithCapacity(p.job.spec.OneZone, chosen, withCapacity, tasks) {
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

// reserveMachine asks the owner of a machine to reserve it, and reports whether the owner did.
func (s *Scheduler) reserveMachine(
	ctx context.Context, method string, request agentapi.Request, machine agentapi.Candidate,
) bool {
	callCtx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	commitRequest := agentapi.CommitRequest{Request: request, Machine: machine.Machine, Rev: machine.Rev}
	var reply agentapi.CommitReply
	if err := s.peers.Call(callCtx, machine.Host, method, commitRequest, &reply); err != nil {
		slog.Debug("machine reservation failed", "method", method, "machine", machine.Machine, "err", err)
		return false
	}
	return len(reply.Verdicts) > 0 && reply.Verdicts[0] == agentapi.Held
}
