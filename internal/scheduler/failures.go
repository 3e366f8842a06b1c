package scheduler

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/changefeed"
	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/worker"
)

// onTaskFailed handles the failure of one of the job's tasks on a machine. The caller must hold
// s.mu.
func (s *Scheduler) onTaskFailed(j *jobState, machine string) {
	s.counters.Failed++
	now := time.Now()
	j.failures.avoidMachine(machine, avoidDuration, now)
	if j.doneCount > 0 {
		s.queueAttribution(j, machine, true)
		j.nextPlacementAt = now.Add(s.policy.ResampleDelay)
		return
	}
	s.scheduleFailureRecord(j)
	result := j.failures.attribute(machine)
	j.nextPlacementAt = now.Add(j.failures.backoff())
	switch result {
	case jobKnownAtFault:
		s.queueAttribution(j, machine, false)
	case jobFoundAtFault:
		s.onJobAtFault(j)
	}
}

// onJobAtFault attributes the job's failures to the job, so that the machines concerned are no
// longer suspected, and stops the job's tasks that have not begun to run, because they would fail
// as well. The caller must hold s.mu.
func (s *Scheduler) onJobAtFault(j *jobState) {
	s.counters.Suspects++
	slog.Info("job failing on all machines",
		"job", j.spec.ID, "class", j.spec.Class, "machines", len(j.failures.failedOn))
	for machine := range j.failures.failedOn {
		s.queueAttribution(j, machine, false)
	}
	for i := range j.tasks {
		if state := j.tasks[i].reportedState; state == agentapi.Starting || state == worker.TaskFetching {
			s.stopTask(j, i, 0)
		}
	}
}

// scheduleFailureRecord schedules a write of the job's failure history into its record. Without
// this history, the next scheduler of the job would need failures on several machines again before
// it attributes them to the job. The caller must hold s.mu.
func (s *Scheduler) scheduleFailureRecord(j *jobState) {
	if j.failures.consecutive > maxRecordedFailures || !s.versions.Enabled(rollout.FeatureFailureHistory) {
		return
	}
	j.failures.unrecorded = true
	j.completion.markDirty(time.Now())
}

// restoreFailures restores the failure history that an earlier scheduler recorded.
func (j *jobState) restoreFailures(recorded *job.FailureHistory, now time.Time) {
	if recorded == nil || j.doneCount > 0 {
		return
	}
	j.failures.restore(recorded, now)
	j.nextPlacementAt = now.Add(j.failures.backoff())
}

// onTaskSucceeded handles a completed task of the job: the job's earlier failures are attributed to
// the machines on which they occurred. The caller must hold s.mu.
func (s *Scheduler) onTaskSucceeded(j *jobState) {
	for machine := range j.failures.failedOn {
		s.queueAttribution(j, machine, true)
	}
	if j.failures.jobAtFault {
		slog.Info("job failure cleared", "job", j.spec.ID)
		j.nextPlacementAt = time.Time{}
	}
	j.failures.clear()
}

// queueAttribution queues a message to the machine's owner that says whether a failure of the job
// is attributed to the machine. The caller must hold s.mu.
func (s *Scheduler) queueAttribution(j *jobState, machine string, machineAtFault bool) {
	s.outbox.attributions = append(s.outbox.attributions,
		agentapi.Attribution{Machine: machine, Job: j.spec.ID, AtFault: machineAtFault})
}

// sendAttributions sends failure attributions to the owners of the machines. A lost message does no
// harm: suspicion of a machine expires.
func (s *Scheduler) sendAttributions(ctx context.Context, attributions []agentapi.Attribution) {
	byHost := changefeed.GroupByOwner(s.feed, attributions, func(a *agentapi.Attribution) string { return a.Machine })
	for host, hostAttributions := range byHost {
		s.background.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, outboxTimeout)
			defer cancel()
			if err := s.peers.Call(callCtx, host, methodAttribute, hostAttributions, &struct{}{}); err != nil {
				slog.Debug("machine health report to owner failed", "host", host, "err", err)
			}
		})
	}
}
