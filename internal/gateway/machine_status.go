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

// allMachines is the query by which an operator has every machine listed.
const allMachines = "all"

// Pricing models of machines.
const (
	onDemand = "ordinary"
	spot     = "spot"
)

func pricingModel(isSpot bool) string {
	if isSpot {
		return spot
	}
	return onDemand
}

// poolStatuses sums up the machines by pool.
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

// add counts one machine with so many GPUs.
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

// machineStatuses lists all machines, or the named one, or none where name is empty.
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

// machineState says in one word how a machine is, as the status page has it.
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
