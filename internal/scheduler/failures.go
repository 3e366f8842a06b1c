package scheduler

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/worker"
)

// onTaskFailed takes up that a task of the job failed on a machine. The mutex is held.
func (s *Scheduler) onTaskFailed(j *jobState, machine string) {
	s.counters.Failed++
	now := time.Now()
	j.failures.avoidMachine(machine, now)
	if j.doneCount > 0 {
		s.reportAttribution(j, machine, true)
		j.nextTry = now.Add(s.policy.ResampleDelay)
		return
	}
	s.scheduleFailureRecord(j)
	attributed := j.failures.attribute(machine)
	j.nextTry = now.Add(j.failures.backoff())
	switch attributed {
	case jobKnownAtFault:
		s.reportAttribution(j, machine, false)
	case jobFoundAtFault:
		s.onJobAtFault(j)
	}
}

// onJobAtFault clears the machines on which the job failed, and stops those of its tasks
// that have not begun to run: they would fail as well. The mutex is held.
func (s *Scheduler) onJobAtFault(j *jobState) {
	s.counters.Suspects++
	slog.Info("job failing on all machines",
		"job", j.spec.ID, "class", j.spec.Class, "machines", len(j.failures.failedOn))
	for machine := range j.failures.failedOn {
		s.reportAttribution(j, machine, false)
	}
	for i := range j.tasks {
		if state := j.tasks[i].state; state == agentapi.Starting || state == worker.TaskFetching {
			s.stopTask(j, i, 0)
		}
	}
}

// scheduleFailureRecord has what is known of the job's failures written into its record
// soon: its next scheduler would have to fail it on as many machines again. The mutex is
// held.
func (s *Scheduler) scheduleFailureRecord(j *jobState) {
	if j.failures.consecutive > maxRecordedFailures || !s.versions.Enabled(rollout.FeatureFailureHistory) {
		return
	}
	j.failures.unrecorded = true
	j.completion.markDirty(time.Now())
}

// restoreFailures takes up what an earlier scheduler recorded of the job's failures.
func (j *jobState) restoreFailures(recorded *job.FailureHistory, now time.Time) {
	if recorded == nil || j.doneCount > 0 {
		return
	}
	j.failures.restore(recorded, now)
	j.nextTry = now.Add(j.failures.backoff())
}

// onTaskSucceeded takes up that a task of the job has completed: where others of it
// failed, the machine was at fault. The mutex is held.
func (s *Scheduler) onTaskSucceeded(j *jobState) {
	for machine := range j.failures.failedOn {
		s.reportAttribution(j, machine, true)
	}
	if j.failures.jobAtFault {
		slog.Info("job failure cleared", "job", j.spec.ID)
		j.nextTry = time.Time{}
	}
	j.failures.clear()
}

// reportAttribution has the machine's owner told whether the machine is at fault for a
// failure of the job. The mutex is held.
func (s *Scheduler) reportAttribution(j *jobState, machine string, machineAtFault bool) {
	s.outbox.attributions = append(s.outbox.attributions,
		agentapi.Attribution{Machine: machine, Job: j.spec.ID, AtFault: machineAtFault})
}

// sendAttributions tells owners what is known of their machines. One that is lost does no
// harm: suspicion of a machine passes by itself.
func (s *Scheduler) sendAttributions(ctx context.Context, attributions []agentapi.Attribution) {
	byHost := map[string][]agentapi.Attribution{}
	for _, attributed := range attributions {
		if host, ok := s.feed.OwnerHost(attributed.Machine); ok {
			byHost[host] = append(byHost[host], attributed)
		}
	}
	for host, list := range byHost {
		s.background.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, outboxTimeout)
			defer cancel()
			if err := s.peers.Call(callCtx, host, methodAttribute, list, &struct{}{}); err != nil {
				slog.Debug("machine health report to owner failed", "host", host, "err", err)
			}
		})
	}
}
