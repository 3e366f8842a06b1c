package autoscaler

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
)

// cloudList is what the cloud's lists show of its machines. A list may lag: it may be older
// than the one before.
type cloudList struct {
	firstSeen map[string]time.Time // when a list showed a machine first
	latest    map[string]cloud.Machine
	at        time.Time // of the latest
	newest    string    // the machine created last that the latest shows
}

func newCloudList() cloudList {
	return cloudList{firstSeen: map[string]time.Time{}, latest: map[string]cloud.Machine{}}
}

func (c *cloudList) update(machines []cloud.Machine, now time.Time) {
	c.latest, c.at, c.newest = map[string]cloud.Machine{}, now, ""
	for _, m := range machines {
		c.latest[m.Name] = m
		c.newest = max(c.newest, m.Name)
		if c.firstSeen[m.Name].IsZero() {
			c.firstSeen[m.Name] = now
		}
	}
}

func (c *cloudList) forget(machine string) { delete(c.firstSeen, machine) }

// statusFailed is the status of a machine in the cloud's list that will not come back.
const statusFailed = "failed"

const (
	// fewUnreconciled is how many machines may leave their new owners without an answer,
	// however few machines there are, and manyMachinesPerUnreconciled of how many machines
	// it may be one.
	fewUnreconciled             = 2
	manyMachinesPerUnreconciled = 50
	// someMachinesPerUnreconciled is the same for machines that have been given
	// unreconciledGrace to answer: their owner may be slow to begin.
	someMachinesPerUnreconciled = 20
	unreconciledGrace           = 3 * time.Second

	// maxListAge is how old the cloud's list may be for what it does not show to be gone.
	maxListAge = 10 * time.Second
	// listMargin is what a machine is unresponsive longer than lists may lag, twice over,
	// before it is missed in a list.
	listMargin = 2 * time.Second
)

// countUnreconciled counts the machines that have not answered their new owners.
func countUnreconciled(entries []agentapi.MachineEntry) int {
	count := 0
	for i := range entries {
		if entries[i].Unresponsive() && !entries[i].Reconciled() {
			count++
		}
	}
	return count
}

// lossReason says why a machine will not come back, or nothing.
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
		return "taken on notice"
	case !entry.Reconciled() && isIsolatedFailure(unreconciled, snapshot.LedgerMachines, unresponsive):
		return "does not answer its new owner"
	case f.isDelisted(entry.Machine, unresponsive, snapshot.Now):
		return "no longer listed"
	case unresponsive > f.settings.WorkerLeaseExpiry()+replacementTime(snapshot.Types[entry.Type]):
		return "silent for longer than replacing it takes"
	}
	return ""
}

// isIsolatedFailure reports whether so few machines leave their new owners without an answer
// that it is they that failed. Jobs of a scheduler that died wait until it is known what
// runs there; deleting a machine is the fastest proof. If many do not answer, it is rather
// their owner or a zone that is cut off, and their work goes on.
func isIsolatedFailure(unreconciled, machines int, unresponsive time.Duration) bool {
	if unreconciled <= max(fewUnreconciled, machines/manyMachinesPerUnreconciled) {
		return true
	}
	return unreconciled <= machines/someMachinesPerUnreconciled && unresponsive > unreconciledGrace
}

// isDelisted reports whether the cloud's list shows that a machine is no more. The machine
// has an owner, so it was up before it became unresponsive. A list that shows a machine
// created later, or has shown this one, or is younger than lists may lag, would show it if
// it were still there.
func (f *Fleet) isDelisted(machine string, unresponsive time.Duration, now time.Time) bool {
	if _, listed := f.list.latest[machine]; listed || now.Sub(f.list.at) >= maxListAge {
		return false
	}
	return machine < f.list.newest ||
		!f.list.firstSeen[machine].IsZero() ||
		unresponsive > 2*f.settings.CloudListLag+listMargin
}

// replacementTime is how long it takes, at the upper end of what is usual, until a machine
// requested in place of an unresponsive one serves: provisioning takes up to half as long
// again as is nominal for its type, and then images are fetched. A machine that is cut off or
// hangs has lost its tasks when its lease is over, and they run elsewhere; but it comes back
// with its images. Waiting for it as long as replacing it would take costs at most twice
// what would have been best. One that died is found out by the cloud's list long before.
func replacementTime(t cloud.MachineType) time.Duration { return 2 * t.ProvisioningTime() }
