package clusteragent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

const (
	// rebalanceQuietPeriod is the time without a change of owner of any shard before shards are
	// rebalanced.
	rebalanceQuietPeriod = 15 * time.Second
	// minMachinesPerHost is the mean number of machines per controller below which shards are not
	// rebalanced, because the difference does not matter.
	minMachinesPerHost = 4
	// reachabilityProbes is the number of machines that are probed before their shards are taken.
	reachabilityProbes = 3
	// probeTimeout bounds the time that a machine has to answer a probe.
	probeTimeout = time.Second
)

// shardsToRebalance lists, with the reason, the shards to take from the controller that owns the
// most machines. The list is empty unless all of these hold: this controller owns the fewest
// machines, at most a quarter of the mean; it can reach the machines in the shards; and no shard
// has changed owner for rebalanceQuietPeriod.
func (a *Agent) shardsToRebalance(ctx context.Context, view *ownershipView) map[string]string {
	a.mu.Lock()
	unchangedSince := a.ownershipTimes.update(view.shards, view.now)
	quiet := len(a.shards.registration) > 0 && view.now.Sub(unchangedSince) >= rebalanceQuietPeriod
	a.mu.Unlock()
	if !quiet {
		return nil
	}
	gap, uneven := findImbalance(view)
	if !uneven {
		return nil
	}
	// Shards of this controller's zone come first.
	slices.SortStableFunc(view.shards, func(x, y statekv.KV) int { return a.otherZoneOrder(x) - a.otherZoneOrder(y) })
	wanted, machines := planRebalance(view, gap, a.anyUnreconciled)
	if len(wanted) == 0 || !a.canReach(ctx, machines) {
		return nil
	}
	return wanted
}

// imbalance compares the number of machines of this controller with the mean and with the
// controller that owns the most.
type imbalance struct {
	largestOwner                 string
	mean                         int
	ownMachines, largestMachines int
}

// findImbalance reports whether this controller owns the fewest machines, and at most a quarter of
// the mean.
func findImbalance(view *ownershipView) (gap imbalance, uneven bool) {
	if len(view.machines) < minMachinesPerHost*len(view.hosts) {
		return gap, false
	}
	owned := map[string]int{}
	for _, kv := range view.shards {
		if record := shard.ParseRecord(kv); record != nil && view.alive(record.Holder) {
			owned[record.Host] += view.machinesPerShard[shardID(kv)]
		}
	}
	smallestOwner := ""
	for _, h := range view.hosts {
		if gap.largestOwner == "" || owned[h] > owned[gap.largestOwner] {
			gap.largestOwner = h
		}
		if smallestOwner == "" || owned[h] < owned[smallestOwner] {
			smallestOwner = h
		}
	}
	gap.mean = len(view.machines) / len(view.hosts)
	gap.ownMachines, gap.largestMachines = owned[view.self.Host], owned[gap.largestOwner]
	return gap, smallestOwner == view.self.Host && gap.ownMachines <= gap.mean/4
}

// planRebalance selects shards of the controller that owns the most machines, in the order of the
// view, until this controller has three quarters of the mean, and lists the machines in them. It
// leaves out shards for whose machines unsafe returns true.
func planRebalance(
	view *ownershipView, gap imbalance, unsafe func(machines []statekv.KV) bool,
) (wanted map[string]string, machines []statekv.KV) {
	machinesByShard := map[string][]statekv.KV{}
	for _, kv := range view.machines {
		if record := shard.ParseMachineRecord(kv); record != nil {
			machinesByShard[record.Shard] = append(machinesByShard[record.Shard], kv)
		}
	}
	wanted = map[string]string{}
	ownMachines, largestMachines := gap.ownMachines, gap.largestMachines
	for _, kv := range view.shards {
		shardMachines := machinesByShard[shardID(kv)]
		count := len(shardMachines)
		record := shard.ParseRecord(kv)
		if record == nil || record.Host != gap.largestOwner || count == 0 ||
			ownMachines+count > largestMachines-count || unsafe(shardMachines) {
			continue
		}
		wanted[kv.Key] = "machines are rebalanced"
		machines = append(machines, shardMachines...)
		ownMachines, largestMachines = ownMachines+count, largestMachines-count
		if ownMachines >= gap.mean*3/4 {
			break
		}
	}
	return wanted, machines
}

// anyUnreconciled reports whether any of the machines is unresponsive or not reconciled with its
// owner: a new owner would have to wait for the full lease of such a machine again.
func (a *Agent) anyUnreconciled(machines []statekv.KV) bool {
	return a.LastEntry != nil && slices.ContainsFunc(machines, func(kv statekv.KV) bool {
		e := a.LastEntry(machineName(kv))
		return !e.Reconciled() || e.Unresponsive()
	})
}

// otherZoneOrder returns 0 for a shard of this controller's zone and 1 for any other, as a sort
// key.
func (a *Agent) otherZoneOrder(kv statekv.KV) int {
	if a.zones.inOwnZone(kv) {
		return 0
	}
	return 1
}

// canReach reports whether a few of the machines, chosen at random, answer a probe. The probe is a
// command with fencing token 0, which a worker never executes and answers with a heartbeat.
func (a *Agent) canReach(ctx context.Context, machines []statekv.KV) bool {
	for range min(reachabilityProbes, len(machines)) {
		address := shard.ParseMachineRecord(machines[rand.IntN(len(machines))]).Address
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, _, err := a.workers.Send(probeCtx, address, 0, 1, nil)
		cancel()
		if err != nil {
			return false
		}
	}
	return true
}
