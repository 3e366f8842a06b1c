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

// Fleet is the state of the cluster's machines, as known to the leader of one epoch, from which it
// plans scaling. It is not safe for concurrent use.
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
	unanswered   []cloud.ScaleOutRequest // requests with unknown outcome, to be repeated under their IDs

	gangClasses map[string]gangClass // classes with a gang within the last warmDuration
	backlog     backlog
	idleness    map[Pool]*poolIdleness

	summarizedAt time.Time // when Plan last returned a summary
}

// NewFleet returns a fleet without any machine state.
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

// A machine that is missing from the latest list counts as gone once listLagFactor times the
// cloud's list lag has passed since a list first showed it.
const listLagFactor = 3

// OnList updates the fleet with a list of the cloud's machines.
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
	// A machine that was listed stays listed until it is gone. A list may be older than the list
	// before it, so a missing machine counts as gone only some time after it was first listed.
	for name := range f.provisioning {
		seen := f.list.firstSeen[name]
		if seen.IsZero() || now.Sub(seen) <= listLagFactor*f.settings.CloudListLag {
			continue
		}
		if _, listed := f.list.latest[name]; !listed {
			delete(f.provisioning, name)
		}
	}
}

// OnScaleOut records the machines that the cloud granted for a request sent at the given time. It
// granted none if it has no capacity.
func (f *Fleet) OnScaleOut(request cloud.ScaleOutRequest, granted []string, sent time.Time) {
	p := poolOf(request)
	if len(granted) < request.Count {
		f.limits.pause(p, sent)
	} else {
		f.limits.growProbe(p)
	}
	for _, name := range granted {
		f.provisioning[name] = provisioningMachine{Pool: p, since: sent, requestedThisEpoch: true}
	}
}

// OnScaleOutUnanswered queues a request with unknown outcome to be repeated under its ID.
func (f *Fleet) OnScaleOutUnanswered(request cloud.ScaleOutRequest) {
	f.unanswered = append(f.unanswered, request)
}

// OnDeleted records machines that the cloud has deleted.
func (f *Fleet) OnDeleted(machines []string, now time.Time) {
	for _, name := range machines {
		delete(f.provisioning, name)
		d := f.deletions[name]
		d.at = now
		f.deletions[name] = d
	}
}

// Snapshot is the input of a plan that is not part of the fleet's state.
type Snapshot struct {
	Now   time.Time
	Epoch uint64 // leader epoch, part of the request IDs

	Types          map[string]cloud.MachineType
	Entries        []agentapi.MachineEntry   // of all machines that have owners
	HasOwner       func(machine string) bool // whether the machine's key exists, which precedes the machine's entry
	LedgerMachines int                       // number of machines in the quota ledger

	Demand    *DemandReports
	TeamUsage map[string]job.Resources // resources held by tasks or granted, by team
}

// Plan holds the scaling actions to take now, and the events to log.
type Plan struct {
	ScaleOut        []cloud.ScaleOutRequest // requests, to be sent concurrently
	ScaleIn         []string                // to drain and delete: surplus and empty draining or quarantined machines
	Delete          []string                // machines that are lost or did not come up
	RenotifyDeleted []string                // deleted machines whose owners have to be notified again
	// Unreconciled is the number of unresponsive machines that their new owners have not
	// reconciled.
	Unreconciled int

	Lost    []LostMachine
	Overdue []OverdueMachine
	Stalled []StalledPool
	Summary *Summary // nil if no summary is due
}

// Plan decides which machines to request, which idle machines to return and which lost machines to
// delete.
func (f *Fleet) Plan(inventory *Inventory, snapshot *Snapshot) *Plan {
	plan := &Plan{
		Lost:            inventory.lost,
		RenotifyDeleted: inventory.renotifyDeleted,
		Unreconciled:    inventory.unreconciled,
	}
	for _, lost := range inventory.lost {
		plan.Delete = append(plan.Delete, lost.Machine)
	}
	bins := append(inventory.bins, f.planProvisioning(snapshot, plan)...)
	demands, freedCapacity := f.demand(snapshot)
	plan.ScaleOut = f.scaleOut(snapshot, demands, bins, freedCapacity)
	plan.Summary = f.summarize(bins, demands, snapshot)
	plan.ScaleIn = append(inventory.emptied, f.surplus(bins, inventory.idleFor, snapshot.Now)...)
	return plan
}

// scaleOut returns the scale-out requests to send now, beginning with repeated requests.
func (f *Fleet) scaleOut(
	snapshot *Snapshot, demands []Demand, bins []*bin, freedCapacity freedCapacityForecast,
) []cloud.ScaleOutRequest {
	now := snapshot.Now
	requests := f.unanswered
	f.unanswered = nil
	offers := listOffers(snapshot.Types, func(p Pool) int { return f.limits.available(p, now) })
	needed, backlog := pack(demands, bins, freedCapacity, offers, maxMachinesPerPlan)
	f.backlog.add(now, backlog, backlogSpan)
	for _, o := range offers {
		// Machines that a repeated request may still bring are not requested again.
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

// requestedOf returns the number of machines of a pool that the requests ask for.
func requestedOf(p Pool, requests []cloud.ScaleOutRequest) int {
	count := 0
	for _, request := range requests {
		if poolOf(request) == p {
			count += request.Count
		}
	}
	return count
}

// summaryInterval is the least time between two summaries.
const summaryInterval = 10 * time.Second

// Summary holds the totals of a plan, for the log.
type Summary struct {
	Machines     int // machines that have owners
	Provisioning int
	Idle         int // machines without tasks, provisioning machines included
	IdleReserved int // idle machines on which the packing placed waiting tasks
	FreeGPUs     float64
	TasksPending int // waiting tasks, warm capacity included
}

// summarize returns the totals if a summary is due, and nil otherwise.
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
