package clusteragent

import (
	"time"

	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// A zone may be cut off from everything for a minute. The machines in it go on
// with their tasks as long as their owner can answer them, and those of an owner
// outside die when their leases run out. So machines belong to controllers of
// their own zone, as far as those can carry them.

// inZone keeps the hosts in the zone, if there are any; else all.
func (a *Agent) inZone(hosts []string, zone string) []string {
	var in []string
	for _, h := range hosts {
		if zone != "" && a.settings.ZoneOf(h) == zone {
			in = append(in, h)
		}
	}
	if in == nil {
		return hosts
	}
	return in
}

// redirectInterval is how long after a new machine was sent to a controller of its zone
// it is claimed by whoever it comes to: it plainly was not taken there.
const redirectInterval = 15 * time.Second

// redirectToZone names the controller that a new machine's worker should report to
// instead, or nothing if it is to be claimed here. A zone whose controllers would
// own more than twice the mean shares its machines out.
func (a *Agent) redirectToZone(r *worker.Heartbeat, now time.Time) string {
	hosts := a.member.AliveHosts()
	in := a.inZone(hosts, r.Zone)
	if a.settings.Zone == r.Zone || len(in) == len(hosts) {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	all := 0
	for _, n := range a.machinesPerZone {
		all += n
	}
	if a.machinesPerZone[r.Zone]*len(hosts) > 2*all*len(in) {
		return ""
	}
	if now.Sub(a.redirectedAt[r.Machine]) < redirectInterval {
		return ""
	}
	if len(a.redirectedAt) > 4096 {
		clear(a.redirectedAt)
	}
	a.redirectedAt[r.Machine] = now
	return in[hashOf(r.Machine)%len(in)]
}

// countMachines takes note of how many machines each zone has, and returns how many each
// shard has, by its id.
func (a *Agent) countMachines(machines []statekv.KV) (size map[string]int) {
	zones := map[string]int{}
	size = map[string]int{}
	for _, kv := range machines {
		if key := shard.ParseMachineRecord(kv); key != nil {
			zones[key.Zone]++
			size[key.Shard]++
		}
	}
	a.mu.Lock()
	a.machinesPerZone = zones
	a.mu.Unlock()
	return size
}

// shardZone is the zone whose machines a shard is for.
func (a *Agent) shardZone(index int) string {
	if len(a.settings.Zones) == 0 {
		return ""
	}
	return a.settings.Zones[index/shardsPerZone%len(a.settings.Zones)]
}
