package clusteragent

import (
	"log/slog"
	"strconv"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/logline"
	"robinstack/internal/machine"
	"robinstack/internal/shard"
)

// ownedMachine is a machine with what this controller needs to look after it. The agent's
// mutex guards it.
type ownedMachine struct {
	*machine.Machine
	change         changeMark
	inspectionTurn int           // in which of the turns it is inspected
	wakeup         chan struct{} // has its commands sent
	stopped        chan struct{} // closed when they are no longer
	retryAt        time.Time     // no command is sent before
}

func newOwnedMachine(m *machine.Machine, index *capacityIndex) *ownedMachine {
	owned := &ownedMachine{
		Machine:        m,
		inspectionTurn: hashOf(m.Name) % inspectionTurns,
		wakeup:         make(chan struct{}, 1),
		stopped:        make(chan struct{}),
	}
	m.OnUsageChange = func() { index.markChanged(owned) }
	index.markChanged(owned)
	return owned
}

// wake has the commands sent that are due.
func (m *ownedMachine) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

func (m *ownedMachine) entry(host string, now time.Time) agentapi.MachineEntry {
	return m.Entry(host, m.change.version, now)
}

// owns reports whether m is what this controller looks after under that name: it may have been
// given up, and taken up anew, while the mutex was not held.
func (a *Agent) owns(m *ownedMachine) bool { return a.machines[m.Name] == m }

// acquisition is how a machine came to this controller.
type acquisition int

const (
	// registered machines had no owner before.
	registered acquisition = iota
	// takenOver machines had one, which may go on answering their workers for a time.
	takenOver
)

// beginOwnership begins to look after a machine. keyRev is its key's revision, rev that of
// our ownership.
func (a *Agent) beginOwnership(name string, key *shard.MachineRecord, keyRev, rev uint64, how acquisition) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machines[name] != nil {
		return
	}
	id := machine.Identity{Name: name, Address: key.Address, Type: key.Type, Zone: key.Zone, Spot: key.Spot}
	m := newOwnedMachine(machine.New(id, keyRev, rev, now), a.capacity)
	if a.LastEntry != nil {
		last := a.LastEntry(name)
		m.Restore(&last, now)
	}
	if how == takenOver {
		// The earlier owner may go on answering for its lease grace period.
		m.Ownership.TakeOver(now.Add(a.settings.LeaseGracePeriod()))
		a.cancellations.noteAcknowledged(rev)
	}
	a.machines[name] = m
	delete(a.shards.released, name)
	a.tombstones.remove(name)
	a.changes.mark(m)
	if a.startSender != nil {
		a.startSender(m)
	}
	m.wake()
	if how == registered {
		slog.Info(logline.MachineRegistered, "machine", name, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	}
	slog.Debug("machine ownership acquired", "machine", name, "type", m.Type, "zone", m.Zone, "spot", m.Spot,
		"revision", strconv.FormatUint(rev, 10), "taken_over", how == takenOver)
}

// release gives up a machine that a successor owns.
func (a *Agent) release(m *ownedMachine) {
	if !a.owns(m) {
		return
	}
	slog.Info("machine ownership lost", "machine", m.Name)
	m.Release(time.Now())
	a.shards.released[m.Name] = m.Ownership.Rev
	if !m.Deregistered() {
		// Of one that is, the sender has stopped already; a late heartbeat of it has reached
		// another controller.
		close(m.stopped)
	}
	a.forgetMachine(m)
}

// forgetMachine drops a machine from what this controller looks after.
func (a *Agent) forgetMachine(m *ownedMachine) {
	delete(a.machines, m.Name)
	a.capacity.remove(m)
}
