package autoscaler

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
)

// cloudList holds what the cloud's lists have shown. The lists lag: a list may be older than the
// list before it.
type cloudList struct {
	firstSeen  map[string]time.Time // when a list first showed each machine
	latest     map[string]cloud.Machine
	receivedAt time.Time // when the latest list was received
	newestName string    // highest machine name in the latest list; names ascend in order of creation
}

func newCloudList() cloudList {
	return cloudList{firstSeen: map[string]time.Time{}, latest: map[string]cloud.Machine{}}
}

func (c *cloudList) update(machines []cloud.Machine, now time.Time) {
	c.latest, c.receivedAt, c.newestName = map[string]cloud.Machine{}, now, ""
	for _, m := range machines {
		c.latest[m.Name] = m
		c.newestName = max(c.newestName, m.Name)
		if c.firstSeen[m.Name].IsZero() {
			c.firstSeen[m.Name] = now
		}
	}
}

func (c *cloudList) remove(machine string) { delete(c.firstSeen, machine) }

// statusFailed is the status of a machine in the cloud's list that has failed for good.
const statusFailed = "failed"

const (
	// Unreconciled machines count as an isolated failure if they are at most maxIsolatedFailures,
	// or at most one in machinesPerIsolatedFailure of the machines.
	maxIsolatedFailures        = 2
	machinesPerIsolatedFailure = 50
	// Up to one machine in machinesPerIsolatedFailureAfterGrace counts as an isolated failure once
	// the machine has been unresponsive for longer than unreconciledGrace. Before that, the new
	// owner may not have begun to reconcile.
	machinesPerIsolatedFailureAfterGrace = 20
	unreconciledGrace                    = 3 * time.Second

	// maxListAge is the age up to which the latest list is used to detect deleted machines.
	maxListAge = 10 * time.Second
	// listLagMargin is added to twice the cloud's maximum list lag. A machine that no list has
	// shown counts as deleted once it has been unresponsive for longer than the sum.
	listLagMargin = 2 * time.Second
)

// countUnreconciled counts the unresponsive machines that their new owners have not reconciled.
func countUnreconciled(entries []agentapi.MachineEntry) int {
	count := 0
	for i := range entries {
		if entries[i].Unresponsive() && !entries[i].Reconciled() {
			count++
		}
	}
	return count
}

// lossReason returns why a machine is lost, or "" if it is not lost.
func (f *Fleet) lossReason(entry *agentapi.MachineEntry, unreconciled int, snapshot *Snapshot) string {
	if !entry.Unresponsive() {
		delete(f.unresponsiveSince, entry.Machine)
		return ""
	}
	if f.unresponsiveSince[entry.Machine].IsZero() {
		f.unresponsiveSince[entry.Machine] = snapshot.Now
	}
	unresponsive := snapshot.Now.Sub(f.unresponsiveSince[entry.Machine])
	switch {
	case f.list.latest[entry.Machine].Status == statusFailed:
		return "failed"
	case entry.ReclaimNoticed():
		return "reclaimed by the cloud"
	case !entry.Reconciled() && isIsolatedFailure(unreconciled, snapshot.LedgerMachines, unresponsive):
		return "not reconciled by its new owner"
	case f.isDelisted(entry.Machine, unresponsive, snapshot.Now):
		return "missing from the cloud's list"
	case unresponsive > f.settings.WorkerLeaseExpiry()+replacementTime(snapshot.Types[entry.Type]):
		return "unresponsive for longer than a replacement takes"
	}
	return ""
}

// isIsolatedFailure reports whether so few machines are unreconciled that the machines themselves
// have failed. Jobs of a crashed scheduler wait until it is known which tasks run on each machine,
// and deleting an unresponsive machine is the fastest proof that none runs there. If many machines
// do not answer, their owner or a zone is more likely partitioned, and their tasks keep running.
func isIsolatedFailure(unreconciled, machines int, unresponsive time.Duration) bool {
	if unreconciled <= max(maxIsolatedFailures, machines/machinesPerIsolatedFailure) {
		return true
	}
	return unreconciled <= machines/machinesPerIsolatedFailureAfterGrace && unresponsive > unreconciledGrace
}

// isDelisted reports whether the cloud's list proves that an unresponsive machine no longer exists.
// The machine has an owner, so it was up before it became unresponsive. A list would show the
// machine, if it still existed, in each of three cases: the list shows a machine that was created
// later; an earlier list has shown the machine; the machine has been unresponsive for longer than
// lists may lag.
func (f *Fleet) isDelisted(machine string, unresponsive time.Duration, now time.Time) bool {
	if _, listed := f.list.latest[machine]; listed || now.Sub(f.list.receivedAt) >= maxListAge {
		return false
	}
	return machine < f.list.newestName ||
		!f.list.firstSeen[machine].IsZero() ||
		unresponsive > 2*f.settings.CloudListLag+listLagMargin
}

// replacementTime is an upper estimate of the time from a scale-out request until the new machine
// runs tasks: provisioning takes up to 1.5 times the nominal time of the machine type, and then
// images are fetched. A machine that is partitioned or hangs loses its tasks when its lease
// expires, and they run elsewhere, but it comes back with its images. Waiting for it for as long as
// its replacement would take costs at most twice the optimum. A crashed machine is detected by the
// cloud's list long before.
func replacementTime(t cloud.MachineType) time.Duration { return 2 * t.ProvisioningTime() }
