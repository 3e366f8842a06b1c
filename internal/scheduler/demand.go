package scheduler

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/autoscaler"
)

// demandTimeout bounds one demand report.
const demandTimeout = 2 * time.Second

// reportDemand reports to the leader which jobs of this scheduler need machines.
func (s *Scheduler) reportDemand(ctx context.Context) {
	host, ok := s.leaderHost()
	if !ok {
		return
	}
	request := s.demand()
	callCtx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	if err := s.peers.Call(callCtx, host, methodDemand, request, &struct{}{}); err != nil {
		slog.Debug("demand report to leader failed", "err", err)
	}
}

// demand lists the runnable jobs. Blocked and finished jobs are left out, so that no machines are
// added or kept for them.
func (s *Scheduler) demand() autoscaler.DemandRequest {
	request := autoscaler.DemandRequest{Host: s.session.Host}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if j.phase == jobRunnable {
			request.Jobs = append(request.Jobs, j.demand(time.Now()))
		}
	}
	return request
}

// demand returns the job's demand: the number of its tasks with and without a machine.
func (j *jobState) demand(now time.Time) autoscaler.Demand {
	demand := autoscaler.Demand{Spec: *j.effective, AgeS: now.Sub(j.readyAt).Seconds()}
	for i := range j.tasks {
		switch task := &j.tasks[i]; {
		case j.done.Has(i):
		case task.onMachine():
			demand.Running++
			if j.spec.OneZone {
				demand.Zone = task.zone
			}
		default:
			demand.Waiting++
		}
	}
	if j.failures.jobAtFault {
		demand.Waiting = 0 // no scale-out for a job that fails on every machine
	}
	return demand
}
