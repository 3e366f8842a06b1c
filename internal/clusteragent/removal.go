package clusteragent

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/statekv"
)

const (
	// keyRemovalEvery is how often the keys of deleted machines are looked for.
	keyRemovalEvery = 500 * time.Millisecond
	// keyRemovalTimeout is how long their removal may take.
	keyRemovalTimeout = 3 * time.Second
	// maxKeysRemoved bounds the keys that are removed with one transaction.
	maxKeysRemoved = 8
)

// Drain closes machines without tasks to new ones, or opens them again.
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
		a.changes.mark(m)
		reply.Names = append(reply.Names, name)
	}
	return nil
}

// Removed tells the agent that the cloud has deleted machines: their tasks are
// gone. Their keys follow when the state service's budget allows it.
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
		a.changes.mark(m)
		reply.Names = append(reply.Names, name)
	}
	return nil
}

// runKeyRemoval removes the keys of deleted machines, many at a time.
func (a *Agent) runKeyRemoval(ctx context.Context) {
	tick := time.NewTicker(keyRemovalEvery)
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

// deletedMachines lists machines whose keys are to be removed, as many as one transaction
// takes.
func (a *Agent) deletedMachines() []*ownedMachine {
	var batch []*ownedMachine
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.machines {
		if m.KeyLeft() && len(batch) < a.store.MaxTxnOps(min(maxKeysRemoved, a.settings.StateLimits.MaxTxnOps)) {
			batch = append(batch, m)
		}
	}
	return batch
}

// removeEachKey removes the keys each for itself: one of the machines has another owner by
// now. It returns the last error.
func (a *Agent) removeEachKey(ctx context.Context, batch []*ownedMachine) (err error) {
	for _, m := range batch {
		if err = a.removeMachineKeys(ctx, []*ownedMachine{m}); statekv.IsConflict(err) {
			a.markDeregistered([]*ownedMachine{m})
		}
	}
	return err
}

func (a *Agent) removeMachineKeys(ctx context.Context, batch []*ownedMachine) error {
	var when []statekv.Compare
	var then []statekv.Op
	for _, m := range batch {
		key := statekv.MachinePrefix + m.Name
		when = append(when, statekv.Compare{Key: key, Rev: m.Ownership.KeyRev})
		then = append(then, statekv.Op{Delete: key})
	}
	tctx, cancel := context.WithTimeout(ctx, keyRemovalTimeout)
	defer cancel()
	_, err := a.session.Write(tctx, when, then)
	if err == nil {
		a.markDeregistered(batch)
	}
	return err
}

// markDeregistered takes note that the keys of machines are gone.
func (a *Agent) markDeregistered(batch []*ownedMachine) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range batch {
		if a.owns(m) && !m.Deregistered() {
			m.Deregister(time.Now())
			close(m.stopped)
			a.changes.mark(m)
		}
	}
	slog.Info("machines deregistered", "machines", len(batch), "first", batch[0].Name)
}
