package autoscaler

import (
	"fmt"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/policy"
)

// Fleet is what the leader of one epoch knows of the cluster's machines, and goes by to scale
// out and in. It is not safe for concurrent use.
type Fleet struct {
	settings *config.Settings
	policy   *policy.Policy

	list              cloudList
	provisioning      map[string]provisioningMachine
	history           provisioningHistory
	unresponsiveSince map[string]time.Time
	deletions         map[string]deletion

	limits       poolLimits
	requestCount int
	unanswered   []cloud.ScaleOutRequest // to be repeated under their IDs

	gangClasses map[string]gangClass // seen lately
	backlog     backlog
	idleness    map[Pool]*poolIdleness

	summarizedAt time.Time // when a plan had a summary last
}

// NewFleet returns a fleet of which nothing is known yet.
func NewFleet(settings *config.Settings, pol *policy.Policy) *Fleet {
	return &Fleet{
		settings: settings, policy: pol,
		list:              newCloudList(),
		provisioning:      map[string]provisioningMachine{},
		history:           newProvisioningHistory(),
		unresponsiveSince: map[string]time.Time{},
		deletions:         map[string]deletion{},
		limits:            newPoolLimits(),
		gangClasses:       map[string]gangClass{},
		idleness:          map[Pool]*poolIdleness{},
	}
}

// listLagsToMiss is how many times the longest lag of lists must have passed since a list
// showed a machine first for it to be gone when the latest does not show it.
const listLagsToMiss = 3

// OnList takes in the cloud's list of machines.
func (f *Fleet) OnList(machines []cloud.Machine, now time.Time) {
	f.list.update(machines, now)
	for _, m := range machines {
		_, known := f.provisioning[m.Name]
		if known || f.isDeleted(m.Name) || m.Status == statusFailed {
			continue
		}
		f.provisioning[m.Name] = provisioningMachine{
			Pool:  Pool{Type: m.Type, Zone: m.Zone, Spot: m.Spot},
			since: now.Add(-config.Seconds(m.AgeS)),
		}
	}
	// A machine that was listed stays so until it is gone; a list may be older than the one
	// before, so this counts only some time after the first.
	for name := range f.provisioning {
		seen := f.list.firstSeen[name]
		if seen.IsZero() || now.Sub(seen) <= listLagsToMiss*f.settings.CloudListLag {
			continue
		}
		if _, listed := f.list.latest[name]; !listed {
			delete(f.provisioning, name)
		}
	}
}

// OnScaleOut takes in the machines that the cloud has granted a request, which was sent at
// the given time: none where it has no capacity.
func (f *Fleet) OnScaleOut(request cloud.ScaleOutRequest, granted []string, sent time.Time) {
	p := poolOf(request)
	if len(granted) < request.Count {
		f.limits.refused(p, sent)
	} else {
		f.limits.filled(p)
	}
	for _, name := range granted {
		f.provisioning[name] = provisioningMachine{Pool: p, since: sent, requestedByUs: true}
	}
}

// OnScaleOutUnanswered has a request of which nobody knows what became repeated under its ID.
func (f *Fleet) OnScaleOutUnanswered(request cloud.ScaleOutRequest) {
	f.unanswered = append(f.unanswered, request)
}

// OnDeleted takes in that the cloud has deleted machines.
func (f *Fleet) OnDeleted(machines []string, now time.Time) {
	for _, name := range machines {
		delete(f.provisioning, name)
		d := f.deletions[name]
		d.at = now
		f.deletions[name] = d
	}
}

// Snapshot is what a plan goes by beside what the fleet remembers.
type Snapshot struct {
	Now   time.Time
	Epoch uint64 // of the leader; it is part of the requests' IDs

	Types          map[string]cloud.MachineType
	Entries        []agentapi.MachineEntry   // of all machines that have owners
	HasOwner       func(machine string) bool // by its key, which is there before an entry
	LedgerMachines int                       // in the quota ledger

	Demand    *DemandReports
	TeamUsage map[string]job.Resources // held and granted
}

// Plan is what to do now, and what there is to say about it.
type Plan struct {
	ScaleOut []cloud.ScaleOutRequest // to be made at the same time
	ScaleIn  []string                // idle machines, to be drained and deleted
	Delete   []string                // machines that are lost or never came up
	Notify   []string                // deleted machines whose owners may not know
	// Unreconciled is how many machines have not answered their new owners.
	Unreconciled int

	Lost    []LostMachine
	Overdue []OverdueMachine
	Stalled []StalledPool
	Summary *Summary // nil: not now
}

// Plan decides what to request, which idle machines to return, and which machines are lost
// and have to be deleted.
func (f *Fleet) Plan(stock *Stock, snapshot *Snapshot) *Plan {
	plan := &Plan{Lost: stock.lost, Notify: stock.notify, Unreconciled: stock.unreconciled}
	for _, lost := range stock.lost {
		plan.Delete = append(plan.Delete, lost.Machine)
	}
	bins := append(stock.bins, f.planProvisioning(snapshot, plan)...)
	demands, turnover := f.demand(snapshot)
	plan.ScaleOut = f.scaleOut(snapshot, demands, bins, turnover)
	plan.Summary = f.summarize(bins, demands, snapshot)
	plan.ScaleIn = append(stock.emptied, f.surplus(bins, stock.idleFor, snapshot.Now)...)
	return plan
}

// scaleOut lists the requests for machines to make now, those without an answer first.
func (f *Fleet) scaleOut(
	snapshot *Snapshot, demands []Demand, bins []*bin, turnover turnover,
) []cloud.ScaleOutRequest {
	now := snapshot.Now
	requests := f.unanswered
	f.unanswered = nil
	offers := listOffers(snapshot.Types, func(p Pool) int { return f.limits.available(p, now) })
	needed, backlog := pack(demands, bins, turnover, offers, maxMachinesPerPlan)
	f.backlog.add(now, backlog, backlogSpan)
	for _, o := range offers {
		// What a repeated request may bring yet is not requested once more.
		n := needed[o.Pool] - requestedOf(o.Pool, requests)
		for ; n > 0 && len(requests) < maxConcurrentRequests; n -= maxMachinesPerRequest {
			f.requestCount++
			requests = append(requests, cloud.ScaleOutRequest{
				RequestID: fmt.Sprintf("r-%d-%d", snapshot.Epoch, f.requestCount),
				Type:      o.Type,
				Zone:      o.Zone,
				Spot:      o.Spot,
				Count:     min(n, maxMachinesPerRequest),
			})
		}
	}
	return requests
}

// requestedOf is how many machines of a pool are requested.
func requestedOf(p Pool, requests []cloud.ScaleOutRequest) int {
	count := 0
	for _, request := range requests {
		if poolOf(request) == p {
			count += request.Count
		}
	}
	return count
}

// summaryInterval is how often a plan has a summary.
const summaryInterval = 10 * time.Second

// Summary has the totals that scaling goes by.
type Summary struct {
	Machines     int // that have owners
	Provisioning int
	Idle         int
	IdleReserved int // of these, on which the packing put waiting tasks
	FreeGPUs     float64
	TasksPending int
}

// summarize returns the totals if it is time for them.
func (f *Fleet) summarize(bins []*bin, demands []Demand, snapshot *Snapshot) *Summary {
	if snapshot.Now.Sub(f.summarizedAt) <= summaryInterval {
		return nil
	}
	f.summarizedAt = snapshot.Now
	s := &Summary{Machines: len(snapshot.Entries), Provisioning: len(f.provisioning)}
	for _, b := range bins {
		s.FreeGPUs += b.free.GPUs
		if b.empty {
			s.Idle++
		}
		if b.empty && b.used {
			s.IdleReserved++
		}
	}
	for _, d := range demands {
		s.TasksPending += d.Waiting
	}
	return s
}
