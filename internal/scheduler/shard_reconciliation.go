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
	// pendingLogInterval is how often the log says what a job shard waits for, and
	// pendingLogAfter for how long it must have waited before.
	pendingLogInterval = 5 * time.Second
	pendingLogAfter    = time.Second

	// reconciledReportTimeout is how long the report of a reconciled job shard may take.
	reconciledReportTimeout = 2 * time.Second
)

// confirmation is up to which epoch a machine's entry is known to show what earlier
// schedulers left on it, and if not further, why.
type confirmation struct {
	epoch uint64
	why   string
}

// reconcileShards checks which machines have shown all that earlier schedulers may have
// left on them; a job shard is reconciled when every machine has.
func (s *Scheduler) reconcileShards(ctx context.Context) {
	machines := s.unconfirmedMachines()
	if s.feed == nil {
		return
	}
	now := time.Now()
	reconciled := s.applyConfirmations(s.confirmations(machines), now)
	if len(reconciled) == 0 {
		if len(machines) > 0 {
			s.wake() // some jobs may not have to wait any longer
		}
		return
	}
	s.OnEntries(s.feed.Entries())
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

// unconfirmedMachines lists the machines that any job shard waits for.
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

// confirmations asks the feed how far the machines are confirmed.
func (s *Scheduler) confirmations(machines map[string]bool) map[string]confirmation {
	found := make(map[string]confirmation, len(machines))
	for machine := range machines {
		kv, ok := s.mirror.Get(statekv.MachinePrefix + machine)
		if !ok {
			// Its key is removed only when its tasks are proven gone.
			found[machine] = confirmation{epoch: changefeed.AllEpochs}
			continue
		}
		epoch, why := s.feed.ConfirmedEpoch(kv)
		found[machine] = confirmation{epoch: epoch, why: why}
	}
	return found
}

// applyConfirmations confirms machines and returns the job shards that wait for none any
// more.
func (s *Scheduler) applyConfirmations(found map[string]confirmation, now time.Time) map[string]*jobShard {
	s.mu.Lock()
	defer s.mu.Unlock()
	reconciled := map[string]*jobShard{}
	for id, shard := range s.shards {
		if shard.reconciled {
			continue
		}
		pending := shard.applyConfirmations(found)
		if pending == "" {
			reconciled[id] = shard
			continue
		}
		if now.Sub(shard.pendingLoggedAt) > pendingLogInterval && now.Sub(shard.acquiredAt) > pendingLogAfter {
			shard.pendingLoggedAt = now
			slog.Info("job shard reconciliation pending", "job_shard", id,
				"machines", len(shard.unconfirmed), "machine", pending, "reason", found[pending].why)
		}
	}
	return reconciled
}

// applyConfirmations confirms machines and returns one that is still to be confirmed, or
// "".
func (shard *jobShard) applyConfirmations(found map[string]confirmation) (pending string) {
	for machine := range shard.unconfirmed {
		if confirmed, checked := found[machine]; checked && confirmed.epoch >= shard.epoch {
			shard.confirm(machine)
			continue
		}
		pending = machine
	}
	return pending
}

// reportReconciled tells the leader that what earlier schedulers of the job shard were
// granted and did not start is not going to be started.
func (s *Scheduler) reportReconciled(ctx context.Context, id string, epoch uint64) {
	callCtx, cancel := context.WithTimeout(ctx, reconciledReportTimeout)
	defer cancel()
	request := quota.Request{Slot: id, Epoch: epoch, Settled: true}
	if _, err := s.callQuota(callCtx, request); err != nil {
		slog.Debug("job shard reconciliation report to leader failed", "err", err)
	}
}
