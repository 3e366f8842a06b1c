package leader

import (
	"log/slog"
	"strings"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/quota"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// reconcile checks which machines have shown all that was started under earlier leaders;
// the ledger alone counts from the moment all have.
func (l *Leader) reconcile() {
	l.mu.Lock()
	epoch, reconciled := l.epoch, l.reconciled
	l.mu.Unlock()
	if epoch == 0 || reconciled || l.unconfirmedMachines(epoch) > 0 {
		return
	}
	l.OnEntries(l.feed.Entries())
	l.mu.Lock()
	l.reconciled = true
	l.mu.Unlock()
	slog.Info("quota ledger reconciled")
}

// unconfirmedMachines counts the machines that may run what an earlier leader granted and
// nobody has shown yet.
func (l *Leader) unconfirmedMachines(epoch uint64) int {
	unconfirmed := 0
	for _, kv := range l.mirror.Dir(statekv.MachinePrefix) {
		name := strings.TrimPrefix(kv.Key, statekv.MachinePrefix)
		confirmedEpoch, _ := l.feed.ConfirmedEpoch(kv)
		l.mu.Lock()
		if confirmedEpoch >= epoch {
			l.confirmed[name] = true
		}
		if !l.confirmed[name] {
			unconfirmed++
		}
		l.mu.Unlock()
	}
	return unconfirmed
}

// OnEntries keeps the ledger of what is on the machines.
func (l *Leader) OnEntries(entries []agentapi.MachineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range entries {
		l.ledger.Apply(&entries[i])
	}
}

// quotaSnapshot is what grants are decided by. The caller holds the mutex for as long as it
// uses it.
func (l *Leader) quotaSnapshot(now time.Time) *quota.Snapshot {
	return &quota.Snapshot{
		Teams:        l.settings.Teams,
		Usage:        l.ledger.Usage(),
		Unattributed: l.unattributed(),
		Reservations: l.reservations,
		Now:          now,
	}
}

// unattributed is what may be on machines without anyone knowing: of a machine that has
// not shown all that earlier leaders granted, or has a task of an unknown team, that is as
// much as it can hold, and it may be any team's. The caller holds the mutex.
func (l *Leader) unattributed() job.Resources {
	var sum job.Resources
	if l.reconciled && l.ledger.FullyAttributed() {
		return sum
	}
	types := l.catalogue.Types()
	for _, kv := range l.mirror.Dir(statekv.MachinePrefix) {
		name := strings.TrimPrefix(kv.Key, statekv.MachinePrefix)
		if l.ledger.Attributed(name) && (l.reconciled || l.confirmed[name]) {
			continue
		}
		if record := shard.ParseMachineRecord(kv); record != nil {
			sum = sum.AddScaled(job.Capacity(types[record.Type]), 1)
		}
	}
	return sum
}
