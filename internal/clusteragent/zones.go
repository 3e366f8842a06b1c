package clusteragent

import (
	"hash/fnv"
	"slices"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// A zone may be cut off from everything for a minute. The machines in it go on
// with their tasks as long as their owner can answer them, and those of an owner
// outside die when their leases run out. So machines belong to controllers of
// their own zone, as far as those can carry them.

// shardsPerZone is how many shards for each zone an owner starts with: machines that
// share a fate share a shard, so that it can change hands when a zone's workers
// cannot reach their owner.
const shardsPerZone = 2

func hashOf(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	return int(h.Sum32() >> 1)
}

// zoneRules says which controllers and shards are for which zone. It reads settings only.
type zoneRules struct{ settings *config.Settings }

// hostsIn keeps the hosts in the zone, if there are any; else all.
func (z zoneRules) hostsIn(hosts []string, zone string) []string {
	var in []string
	for _, h := range hosts {
		if zone != "" && z.settings.ZoneOf(h) == zone {
			in = append(in, h)
		}
	}
	if in == nil {
		return hosts
	}
	return in
}

// ofShard is the zone whose machines a shard is for.
func (z zoneRules) ofShard(index int) string {
	if len(z.settings.Zones) == 0 {
		return ""
	}
	return z.settings.Zones[index/shardsPerZone%len(z.settings.Zones)]
}

// intakeShards is how many shards of an owner take new machines.
func (z zoneRules) intakeShards() int { return shardsPerZone * max(1, len(z.settings.Zones)) }

// intakeIndex is the place among n intake shards for a machine.
func (z zoneRules) intakeIndex(name, zone string, n int) int {
	k := max(0, slices.Index(z.settings.Zones, zone))
	return (k*shardsPerZone + hashOf(name)%shardsPerZone) % n
}

// successor is who takes over a shard whose owner's session has ended: the same
// controller if it is back, or one of the others, each a few, of the shard's zone
// if there are any.
func (z zoneRules) successor(key *shard.Record, hosts []string) string {
	if slices.Contains(hosts, key.Host) {
		return key.Host
	}
	hosts = z.hostsIn(hosts, z.ofShard(key.Index))
	return hosts[(hashOf(key.Host)+key.Index)%len(hosts)]
}

// ownZone reports whether a shard is for the zone of this controller.
func (z zoneRules) ownZone(kv statekv.KV) bool {
	key := shard.ParseRecord(kv)
	return key != nil && z.ofShard(key.Index) == z.settings.Zone
}

const (
	// redirectInterval is how long after a new machine was sent to a controller of its zone
	// it is claimed by whoever it comes to: it plainly was not taken there.
	redirectInterval = 15 * time.Second
	// maxRedirects bounds the machines of which that is remembered.
	maxRedirects = 4096
)

// redirects is when new machines were sent to a controller of their zone last.
type redirects map[string]time.Time

// note remembers a machine that is sent elsewhere now.
func (r redirects) note(machine string, now time.Time) {
	if len(r) > maxRedirects {
		clear(r)
	}
	r[machine] = now
}

// redirectToZone names the controller that a new machine's worker should report to
// instead, or nothing if it is to be claimed here. A zone whose controllers would
// own more than twice the mean shares its machines out.
func (a *Agent) redirectToZone(r *worker.Heartbeat, now time.Time) string {
	hosts := a.session.AliveHosts()
	in := a.zones.hostsIn(hosts, r.Zone)
	if a.settings.Zone == r.Zone || len(in) == len(hosts) {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	all := 0
	for _, n := range a.zoneSizes {
		all += n
	}
	if a.zoneSizes[r.Zone]*len(hosts) > 2*all*len(in) {
		return ""
	}
	if now.Sub(a.redirects[r.Machine]) < redirectInterval {
		return ""
	}
	a.redirects.note(r.Machine, now)
	return in[hashOf(r.Machine)%len(in)]
}

// countMachines takes note of how many machines each zone has, and returns how many each
// shard has, by its id.
func (a *Agent) countMachines(machines []statekv.KV) (sizes map[string]int) {
	zones := map[string]int{}
	sizes = map[string]int{}
	for _, kv := range machines {
		if key := shard.ParseMachineRecord(kv); key != nil {
			zones[key.Zone]++
			sizes[key.Shard]++
		}
	}
	a.mu.Lock()
	a.zoneSizes = zones
	a.mu.Unlock()
	return sizes
}
