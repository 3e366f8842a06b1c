package clusteragent

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/statekv"
)

const (
	// keyRemovalInterval is the interval between two passes that remove the keys of deleted
	// machines.
	keyRemovalInterval = 500 * time.Millisecond
	// keyRemovalTimeout bounds one transaction that removes keys.
	keyRemovalTimeout = 3 * time.Second
	// maxKeysRemovedPerTxn bounds the number of keys that one transaction removes.
	maxKeysRemovedPerTxn = 8
)

// Drain closes machines to new tasks or, if r.On is false, opens them again. It does not close a
// machine that has tasks, unless the machine is unresponsive or quarantined.
func (s *Service) Drain(r agentapi.MachinesRequest, reply *agentapi.MachinesReply) error {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range r.Names {
		m := a.machines[name]
		if m == nil || m.Deregistered() {
			continue
		}
		if r.On && m.Occupied() && m.Liveness.Responsive() && !m.Quarantine.Active {
			continue
		}
		if r.On {
			m.Drain()
		} else {
			m.EndDrain()
		}
		a.changes.markChanged(m)
		reply.Names = append(reply.Names, name)
	}
	return nil
}

// Removed records that the cloud has deleted machines, so that their tasks have ended. The keys of
// the machines are removed later, within the write budget of the state service.
func (s *Service) Removed(r agentapi.MachinesRequest, reply *agentapi.MachinesReply) error {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range r.Names {
		m := a.machines[name]
		if m == nil || !m.Operational() {
			continue
		}
		m.Delete(time.Now())
		a.changes.markChanged(m)
		reply.Names = append(reply.Names, name)
	}
	return nil
}

// runKeyRemoval removes the keys of deleted machines in batches.
func (a *Agent) runKeyRemoval(ctx context.Context) {
	tick := time.NewTicker(keyRemovalInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		batch := a.deletedMachines()
		if len(batch) == 0 || !a.store.Allow(statekv.ClassMaintenance, len(batch)) {
			continue
		}
		err := a.removeMachineKeys(ctx, batch)
		if statekv.IsConflict(err) {
			err = a.removeEachKey(ctx, batch)
		}
		if err != nil && !statekv.IsConflict(err) {
			slog.Debug("machine key removal failed", "machines", len(batch), "err", err)
		}
	}
}

// deletedMachines returns deleted machines whose keys are still to be removed, at most as many as
// one transaction may remove.
func (a *Agent) deletedMachines() []*ownedMachine {
	var batch []*ownedMachine
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.machines {
		if m.AwaitsKeyRemoval() &&
			len(batch) < a.store.MaxTxnOps(min(maxKeysRemovedPerTxn, a.settings.StateLimits.MaxTxnOps)) {
			batch = append(batch, m)
		}
	}
	return batch
}

// removeEachKey removes the keys one by one, after a batch failed because one of the machines has
// another owner by now. It returns the error of the last removal.
func (a *Agent) removeEachKey(ctx context.Context, batch []*ownedMachine) (err error) {
	for _, m := range batch {
		if err = a.removeMachineKeys(ctx, []*ownedMachine{m}); statekv.IsConflict(err) {
			a.markDeregistered([]*ownedMachine{m})
		}
	}
	return err
}

func (a *Agent) removeMachineKeys(ctx context.Context, batch []*ownedMachine) error {
	var compares []statekv.Compare
	var ops []statekv.Op
	for _, m := range batch {
		key := statekv.MachinePrefix + m.Name
		compares = append(compares, statekv.Compare{Key: key, Rev: m.Ownership.KeyRev})
		ops = append(ops, statekv.Op{Delete: key})
	}
	txnCtx, cancel := context.WithTimeout(ctx, keyRemovalTimeout)
	defer cancel()
	_, err := a.session.Write(txnCtx, compares, ops)
	if err == nil {
		a.markDeregistered(batch)
	}
	return err
}

// markDeregistered records that the keys of the machines have been removed, or belong to another
// owner.
func (a *Agent) markDeregistered(batch []*ownedMachine) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range batch {
		if a.owns(m) && !m.Deregistered() {
			m.Deregister(time.Now())
			close(m.stopped)
			a.changes.markChanged(m)
		}
	}
	slog.Info("machines deregistered", "machines", len(batch), "first", batch[0].Name)
}
