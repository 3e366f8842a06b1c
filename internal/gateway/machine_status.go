package gateway

import (
	"cmp"
	"slices"
	"strings"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// allMachines is the value of ?machines= that lists every machine.
const allMachines = "all"

// Pricing models of machines, in the order in which pools are listed.
const (
	onDemand = "on-demand"
	spot     = "spot"
)

func pricingModel(isSpot bool) string {
	if isSpot {
		return spot
	}
	return onDemand
}

// poolStatuses returns one summary for each pool, ordered by type, zone and pricing model.
func poolStatuses(entries []agentapi.MachineEntry, types map[string]cloud.MachineType) []PoolStatus {
	type poolKey struct {
		machineType, zone string
		spot              bool
	}
	pools := map[poolKey]*PoolStatus{}
	for i := range entries {
		entry := &entries[i]
		key := poolKey{entry.Type, entry.Zone, entry.Spot}
		pool := pools[key]
		if pool == nil {
			pool = &PoolStatus{
				Type:   entry.Type,
				Zone:   entry.Zone,
				Spot:   entry.Spot,
				States: map[string]int{},
				Owners: map[string]int{},
			}
			pools[key] = pool
		}
		pool.add(entry, types[entry.Type].GPUs)
	}
	statuses := []PoolStatus{}
	for _, pool := range pools {
		statuses = append(statuses, *pool)
	}
	slices.SortFunc(statuses, func(a, b PoolStatus) int {
		return cmp.Or(
			strings.Compare(a.Type, b.Type),
			strings.Compare(a.Zone, b.Zone),
			strings.Compare(pricingModel(a.Spot), pricingModel(b.Spot)),
		)
	})
	return statuses
}

// add adds one machine, which has the given number of GPUs, to the totals.
func (p *PoolStatus) add(entry *agentapi.MachineEntry, gpus float64) {
	freeGPUs, tasks := gpus, 0
	for _, task := range entry.Tasks {
		if task.State != worker.TaskExited {
			tasks++
			freeGPUs -= task.Need.GPUs
		}
	}
	p.Machines++
	p.Tasks += tasks
	p.FreeGPUs += freeGPUs
	p.States[machineState(entry)]++
	p.Owners[entry.Host]++
	if tasks == 0 {
		p.Empty++
	}
}

// machineStatuses lists the named machine, every machine if name is allMachines, or none if name is
// empty.
func machineStatuses(entries []agentapi.MachineEntry, name string) []MachineStatus {
	if name == "" {
		return nil
	}
	var statuses []MachineStatus
	for i := range entries {
		entry := &entries[i]
		if name != allMachines && name != entry.Machine {
			continue
		}
		status := MachineStatus{
			Machine: entry.Machine,
			Owner:   entry.Host,
			Type:    entry.Type,
			Zone:    entry.Zone,
			Spot:    entry.Spot,
			State:   machineState(entry),
			Tasks:   []string{},
		}
		for _, task := range entry.Tasks {
			status.Tasks = append(status.Tasks, job.TaskID(task.Job, task.Index)+" "+task.State)
		}
		slices.Sort(status.Tasks)
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b MachineStatus) int { return strings.Compare(a.Machine, b.Machine) })
	return statuses
}

// machineState returns the state of a machine as shown on the status page.
func machineState(entry *agentapi.MachineEntry) string {
	switch {
	case !entry.Reconciled():
		return "changing owner"
	case entry.Unresponsive():
		return "silent"
	case entry.ReclaimNoticed():
		return "being taken by the cloud"
	case entry.Quarantined():
		return "faulty"
	case entry.Draining:
		return "being returned"
	}
	return "up"
}
