package scheduler

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/changefeed"
	"robinstack/internal/quota"
	"robinstack/internal/recovery"
	"robinstack/internal/statekv"
)

const (
	// pendingLogInterval is the minimum time between two log messages about the pending
	// reconciliation of a job shard; pendingLogDelay is the time after its acquisition before the
	// first one.
	pendingLogInterval = 5 * time.Second
	pendingLogDelay    = time.Second

	// reconciledReportTimeout bounds the report of one reconciled job shard to the leader.
	reconciledReportTimeout = 2 * time.Second
)

// reconcileShards checks which machines are confirmed. A job shard is reconciled when every machine
// is confirmed for its epoch.
func (s *Scheduler) reconcileShards(ctx context.Context) {
	machines := s.unconfirmedMachines()
	if s.feed == nil {
		return
	}
	now := time.Now()
	reconciled := s.applyConfirmations(s.lookUpConfirmations(machines), now)
	if len(reconciled) == 0 {
		if len(machines) > 0 {
			s.wake() // machines that are confirmed now may unblock jobs
		}
		return
	}
	for id, shard := range reconciled {
		s.mu.Lock()
		shard.markReconciled()
		s.mu.Unlock()
		slog.Info("job shard reconciled",
			"job_shard", id, "elapsed", now.Sub(shard.acquiredAt).Round(time.Millisecond))
		s.reportReconciled(ctx, id, shard.epoch)
	}
	s.RecoveryTimeline.Record(recovery.StepReconciled)
	s.wake()
}

// unconfirmedMachines returns the machines for whose confirmation any job shard waits.
func (s *Scheduler) unconfirmedMachines() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	machines := map[string]bool{}
	for _, shard := range s.shards {
		for machine := range shard.unconfirmed {
			machines[machine] = true
		}
	}
	return machines
}

// lookUpConfirmations looks up in the change feed up to which epochs the machines are confirmed.
func (s *Scheduler) lookUpConfirmations(machines map[string]bool) map[string]changefeed.Confirmation {
	confirmations := make(map[string]changefeed.Confirmation, len(machines))
	for machine := range machines {
		kv, ok := s.mirror.Get(statekv.MachinePrefix + machine)
		if !ok {
			// A machine's key is removed only when all its tasks are proven gone.
			confirmations[machine] = changefeed.Confirmation{Epoch: changefeed.AllEpochs}
			continue
		}
		confirmations[machine] = s.feed.Confirm(kv)
	}
	return confirmations
}

// applyConfirmations removes confirmed machines from the unreconciled job shards and returns the
// job shards that have no unconfirmed machine left. The entry that confirms a machine is applied in
// the same critical section: otherwise a placement could begin while this scheduler does not know yet
// which of its tasks run on the machine.
func (s *Scheduler) applyConfirmations(
	confirmations map[string]changefeed.Confirmation, now time.Time,
) map[string]*jobShard {
	s.mu.Lock()
	defer s.mu.Unlock()
	reconciled := map[string]*jobShard{}
	for id, shard := range s.shards {
		if shard.reconciled {
			continue
		}
		pending := s.confirmMachines(shard, confirmations)
		if pending == "" {
			reconciled[id] = shard
			continue
		}
		if now.Sub(shard.pendingLoggedAt) > pendingLogInterval && now.Sub(shard.acquiredAt) > pendingLogDelay {
			shard.pendingLoggedAt = now
			slog.Info("job shard reconciliation pending", "job_shard", id,
				"machines", len(shard.unconfirmed), "machine", pending, "reason", confirmations[pending].Reason)
		}
	}
	return reconciled
}

// confirmMachines applies the entries of confirmed machines, removes these machines from the job
// shard, and returns the name of one that is still unconfirmed, or "". The caller must hold s.mu.
func (s *Scheduler) confirmMachines(
	shard *jobShard, confirmations map[string]changefeed.Confirmation,
) (pending string) {
	for machine := range shard.unconfirmed {
		confirmed, checked := confirmations[machine]
		if !checked || confirmed.Epoch < shard.epoch {
			pending = machine
			continue
		}
		if confirmed.Epoch != changefeed.AllEpochs {
			s.onEntry(&confirmed.Entry)
		}
		shard.confirm(machine)
	}
	return pending
}

// reportReconciled tells the leader that the job shard is reconciled. The leader then drops the
// unused quota grants of earlier epochs, because their tasks can no longer be started.
func (s *Scheduler) reportReconciled(ctx context.Context, id string, epoch uint64) {
	callCtx, cancel := context.WithTimeout(ctx, reconciledReportTimeout)
	defer cancel()
	request := quota.Request{Slot: id, Epoch: epoch, Settled: true}
	if _, err := s.callQuota(callCtx, request); err != nil {
		slog.Debug("job shard reconciliation report to leader failed", "err", err)
	}
}
