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
	// quietBeforeBalance is how long no shard may have changed hands before they are
	// evened out.
	quietBeforeBalance = 15 * time.Second
	// minMachinesPerHost is the number of machines per controller below which owning more
	// or fewer than others makes no difference.
	minMachinesPerHost = 4
	// reachabilityProbes is how many of the machines are asked before their shards are taken.
	reachabilityProbes = 3
	// probeTimeout is how long a machine may take to answer.
	probeTimeout = time.Second
)

// shardsToBalance lists shards to take from the controller that owns most, with the reason, if
// this one owns least and less than a quarter of its part, and can reach the machines.
func (a *Agent) shardsToBalance(ctx context.Context, view *fleetView) map[string]string {
	a.mu.Lock()
	unchangedSince := a.sightings.note(view.shards, view.now)
	quiet := len(a.shards.intake) > 0 && view.now.Sub(unchangedSince) >= quietBeforeBalance
	a.mu.Unlock()
	if !quiet {
		return nil
	}
	gap, uneven := findImbalance(view)
	if !uneven {
		return nil
	}
	// Those of this controller's own zone first.
	slices.SortStableFunc(view.shards, func(x, y statekv.KV) int { return a.otherZone(x) - a.otherZone(y) })
	wanted, machines := planBalance(view, gap, a.anyUnreconciled)
	if len(wanted) == 0 || !a.reaches(ctx, machines) {
		return nil
	}
	return wanted
}

// imbalance is how many machines this controller and the one that owns most have.
type imbalance struct {
	richest      string
	mean         int
	mine, theirs int
}

// findImbalance reports whether this controller owns least, and less than a quarter of its part.
func findImbalance(view *fleetView) (gap imbalance, uneven bool) {
	if len(view.machines) < minMachinesPerHost*len(view.hosts) {
		return gap, false
	}
	owned := map[string]int{}
	for _, kv := range view.shards {
		if key := shard.ParseRecord(kv); key != nil && view.alive(key.Holder) {
			owned[key.Host] += view.sizes[shardID(kv)]
		}
	}
	poorest := ""
	for _, h := range view.hosts {
		if gap.richest == "" || owned[h] > owned[gap.richest] {
			gap.richest = h
		}
		if poorest == "" || owned[h] < owned[poorest] {
			poorest = h
		}
	}
	gap.mean = len(view.machines) / len(view.hosts)
	gap.mine, gap.theirs = owned[view.self.Host], owned[gap.richest]
	return gap, poorest == view.self.Host && gap.mine <= gap.mean/4
}

// planBalance picks shards of the controller that owns most until this one has three quarters
// of its part, in the order of the view, and lists the machines in them. Shards of which
// unsafe says so stay where they are.
func planBalance(
	view *fleetView, gap imbalance, unsafe func(machines []statekv.KV) bool,
) (wanted map[string]string, machines []statekv.KV) {
	inShard := map[string][]statekv.KV{}
	for _, kv := range view.machines {
		if key := shard.ParseMachineRecord(kv); key != nil {
			inShard[key.Shard] = append(inShard[key.Shard], kv)
		}
	}
	wanted = map[string]string{}
	mine, theirs := gap.mine, gap.theirs
	for _, kv := range view.shards {
		in := inShard[shardID(kv)]
		n := len(in)
		key := shard.ParseRecord(kv)
		if key == nil || key.Host != gap.richest || n == 0 || mine+n > theirs-n || unsafe(in) {
			continue
		}
		wanted[kv.Key] = "machines are evened out"
		machines = append(machines, in...)
		mine, theirs = mine+n, theirs-n
		if mine >= gap.mean*3/4 {
			break
		}
	}
	return wanted, machines
}

// anyUnreconciled reports whether any of the machines is unresponsive or has not answered its
// owner yet: another owner would have to wait for its lease from the start.
func (a *Agent) anyUnreconciled(machines []statekv.KV) bool {
	return a.LastEntry != nil && slices.ContainsFunc(machines, func(kv statekv.KV) bool {
		e := a.LastEntry(machineName(kv))
		return !e.Reconciled() || e.Unresponsive()
	})
}

// otherZone is 1 for a shard of another zone than this controller's, else 0.
func (a *Agent) otherZone(kv statekv.KV) int {
	if a.zones.ownZone(kv) {
		return 0
	}
	return 1
}

// reaches reports whether some of the machines, drawn at random, answer here. A
// command under token 0 is never carried out and answered with a heartbeat.
func (a *Agent) reaches(ctx context.Context, machines []statekv.KV) bool {
	for range min(reachabilityProbes, len(machines)) {
		address := shard.ParseMachineRecord(machines[rand.IntN(len(machines))]).Address
		cctx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, _, err := a.workers.Send(cctx, address, 0, 1, nil)
		cancel()
		if err != nil {
			return false
		}
	}
	return true
}
