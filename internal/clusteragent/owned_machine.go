package clusteragent

import (
	"log/slog"
	"strconv"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/invariant"
	"robinstack/internal/logline"
	"robinstack/internal/machine"
	"robinstack/internal/shard"
)

// ownedMachine is a machine together with the data that this controller needs to manage it.
// Agent.mu guards it.
type ownedMachine struct {
	*machine.Machine
	change          changePosition
	inspectionBatch int           // inspection batch of the machine, below inspectionBatches
	wakeup          chan struct{} // wakes the command sender
	stopped         chan struct{} // closed when the machine is released or deregistered; ends the command sender
	retryAt         time.Time     // earliest time of the next command
}

func newOwnedMachine(m *machine.Machine, index *capacityIndex) *ownedMachine {
	owned := &ownedMachine{
		Machine:         m,
		inspectionBatch: hashName(m.Name) % inspectionBatches,
		wakeup:          make(chan struct{}, 1),
		stopped:         make(chan struct{}),
	}
	m.OnUsageChange = func() { index.markChanged(owned) }
	index.markChanged(owned)
	return owned
}

// wakeSender has the command sender send the commands that are due.
func (m *ownedMachine) wakeSender() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

func (m *ownedMachine) entry(host string, now time.Time) agentapi.MachineEntry {
	return m.Entry(host, m.change.version, now)
}

// owns reports whether m is still the machine that this controller manages under that name. While
// a.mu was not held, the machine may have been released and acquired again as a new ownedMachine.
func (a *Agent) owns(m *ownedMachine) bool { return a.machines[m.Name] == m }

// acquisition is how this controller became the owner of a machine.
type acquisition int

const (
	// registered: the machine had no owner before.
	registered acquisition = iota
	// takenOver: the machine had an earlier owner, which may still answer its worker for a time.
	takenOver
)

// beginOwnership starts to manage a machine. keyRev is the revision of the machine's key, rev the
// ownership revision. a.mu must not be held.
func (a *Agent) beginOwnership(name string, key *shard.MachineRecord, keyRev, rev uint64, acquiredBy acquisition) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machines[name] != nil {
		return
	}
	id := machine.Identity{Name: name, Address: key.Address, Type: key.Type, Zone: key.Zone, Spot: key.Spot}
	m := newOwnedMachine(machine.New(id, keyRev, rev, now), a.capacity)
	m.OnAdopt = func(t *machine.Task) { a.checkAdopted(m, t) }
	if a.LastEntry != nil {
		last := a.LastEntry(name)
		m.Restore(&last, now)
	}
	if acquiredBy == takenOver {
		// The earlier owner may answer the worker until its lease grace period ends.
		m.Ownership.RecordTakeover(now.Add(a.settings.LeaseGracePeriod()))
		a.cancellations.recordAcknowledgedRev(rev)
	}
	a.machines[name] = m
	delete(a.shards.releasedMachines, name)
	a.tombstones.remove(name)
	a.changes.markChanged(m)
	if a.startSender != nil {
		a.startSender(m)
	}
	m.wakeSender()
	if acquiredBy == registered {
		slog.Info(logline.MachineRegistered, "machine", name, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	}
	slog.Debug("machine ownership acquired", "machine", name, "type", m.Type, "zone", m.Zone, "spot", m.Spot,
		"revision", strconv.FormatUint(rev, 10), "taken_over", acquiredBy == takenOver)
}

// release stops managing a machine that a successor owns. The caller must hold a.mu.
func (a *Agent) release(m *ownedMachine) {
	if !a.owns(m) {
		return
	}
	slog.Info("machine ownership lost", "machine", m.Name)
	m.EndOwnership(time.Now())
	a.shards.releasedMachines[m.Name] = m.Ownership.Rev
	if !m.Deregistered() {
		// The command sender of a deregistered machine has stopped already. Its release means that
		// a late heartbeat of it has reached another controller.
		close(m.stopped)
	}
	a.removeMachine(m)
}

// removeMachine removes a machine from the agent's state. The caller must hold a.mu.
func (a *Agent) removeMachine(m *ownedMachine) {
	delete(a.machines, m.Name)
	a.capacity.remove(m)
}

// checkAdopted reports a task that this controller has started under the present ownership, and that was
// proven gone since: a command has taken effect a second time. The caller must hold a.mu.
func (a *Agent) checkAdopted(m *ownedMachine, t *machine.Task) {
	if d := a.decided.get(m.Name, t.Ref); d.kind != attemptStarted || d.ownershipRev != m.Ownership.Rev {
		return
	}
	invariant.Violated("an attempt that is gone does not come back", invariant.Context{
		Task: t.ID, Attempt: t.Ref.Attempt, Machine: m.Name, Revision: m.Ownership.Rev,
		Token: m.Ownership.Token(), Epoch: m.Liveness.Epoch(), Reason: "the worker lists the attempt again",
	})
}
