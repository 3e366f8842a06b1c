package leader

import (
	"log/slog"
	"maps"
	"strings"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/changefeed"
	"robinstack/internal/job"
	"robinstack/internal/quota"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// reconcileLedger marks the ledger reconciled once all machines have shown everything that was
// started under earlier leaders. Until then, each unconfirmed machine counts with its full
// capacity.
func (l *Leader) reconcileLedger() {
	l.mu.Lock()
	epoch, reconciled := l.epoch, l.reconciled
	l.mu.Unlock()
	if epoch == 0 || reconciled || l.countUnconfirmedMachines(epoch) > 0 {
		return
	}
	l.mu.Lock()
	l.reconciled = true
	l.mu.Unlock()
	slog.Info("quota ledger reconciled")
}

// countUnconfirmedMachines updates confirmed and returns the number of machines that may run tasks
// granted by an earlier leader and not yet shown by any entry.
func (l *Leader) countUnconfirmedMachines(epoch uint64) int {
	unconfirmed := 0
	for _, kv := range l.mirror.Dir(statekv.MachinePrefix) {
		name := strings.TrimPrefix(kv.Key, statekv.MachinePrefix)
		if !l.confirmMachine(name, l.feed.Confirm(kv), epoch) {
			unconfirmed++
		}
	}
	return unconfirmed
}

// confirmMachine marks a machine as confirmed if the confirmation covers the epoch, and reports
// whether it is confirmed. The ledger gets the entry that confirms the machine first: otherwise the
// machine would count neither with its capacity nor with its tasks.
func (l *Leader) confirmMachine(name string, confirmation changefeed.Confirmation, epoch uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if confirmation.Epoch >= epoch && !l.confirmed[name] {
		l.applyEntry(&confirmation.Entry)
		l.confirmed[name] = true
	}
	return l.confirmed[name]
}

// OnEntries updates the ledger from new machine entries.
func (l *Leader) OnEntries(entries []agentapi.MachineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range entries {
		l.applyEntry(&entries[i])
	}
}

// applyEntry updates the ledger from an entry, unless a later entry of the machine has been applied.
// The caller must hold l.mu.
func (l *Leader) applyEntry(entry *agentapi.MachineEntry) {
	if !l.appliedEntries.Admit(entry) {
		return
	}
	l.ledger.Apply(entry)
	if entry.Gone {
		delete(l.appliedEntries, entry.Machine)
	}
}

// retainMachines drops the machines that are not in present from the ledger. The caller must hold
// l.mu, and must have held it since present was read from the feed.
func (l *Leader) retainMachines(present map[string]bool) {
	l.ledger.RetainMachines(present)
	maps.DeleteFunc(l.appliedEntries, func(machine string, _ agentapi.EntryVersion) bool { return !present[machine] })
}

// quotaSnapshot returns the state that grant decisions are based on. It shares maps with l: the
// caller must hold l.mu while it uses the snapshot.
func (l *Leader) quotaSnapshot(now time.Time) *quota.Snapshot {
	return &quota.Snapshot{
		Teams:        l.settings.Teams,
		Usage:        l.ledger.Usage(),
		Unattributed: l.unattributedCapacity(),
		Reservations: l.reservations,
		Now:          now,
	}
}

// unattributedCapacity returns the resources that tasks of unknown teams may use. A machine counts
// with its full capacity if it has not shown everything that earlier leaders granted, or if it has
// a task of an unknown team. The result must be counted against each team. The caller must hold
// l.mu.
func (l *Leader) unattributedCapacity() job.Resources {
	var capacity job.Resources
	if l.reconciled && l.ledger.FullyAttributed() {
		return capacity
	}
	types := l.catalogue.Types()
	for _, kv := range l.mirror.Dir(statekv.MachinePrefix) {
		name := strings.TrimPrefix(kv.Key, statekv.MachinePrefix)
		if l.ledger.Attributed(name) && (l.reconciled || l.confirmed[name]) {
			continue
		}
		if record := shard.ParseMachineRecord(kv); record != nil {
			capacity = capacity.AddScaled(job.Capacity(types[record.Type]), 1)
		}
	}
	return capacity
}
