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

// A zone may be disconnected from all others for a minute. Its machines keep running their tasks as
// long as their owner can answer them; machines whose owner is in another zone lose their leases.
// Machines are therefore owned by controllers of their own zone, as far as these have the capacity.

// shardsPerZone is the number of registration shards of an owner for each zone. A shard has
// machines of one zone only, so that it can change owner when the workers of a zone cannot reach
// the owner.
const shardsPerZone = 2

func hashName(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // hash.Hash.Write never returns an error
	return int(h.Sum32() >> 1)
}

// zoneRules assigns controllers and shards to zones. It reads only the settings.
type zoneRules struct{ settings *config.Settings }

// hostsInZone returns the hosts in the zone, or all hosts if there are none.
func (z zoneRules) hostsInZone(hosts []string, zone string) []string {
	var inZone []string
	for _, h := range hosts {
		if zone != "" && z.settings.ZoneOf(h) == zone {
			inZone = append(inZone, h)
		}
	}
	if inZone == nil {
		return hosts
	}
	return inZone
}

// zoneOfShard returns the zone of the machines that belong in a shard with the given index.
func (z zoneRules) zoneOfShard(index int) string {
	if len(z.settings.Zones) == 0 {
		return ""
	}
	return z.settings.Zones[index/shardsPerZone%len(z.settings.Zones)]
}

// registrationShardCount returns the number of registration shards of an owner.
func (z zoneRules) registrationShardCount() int { return shardsPerZone * max(1, len(z.settings.Zones)) }

// registrationIndex returns the index of the registration shard into which a new machine is placed:
// one of the machine's zone, chosen by a hash of the machine's name. shardCount is the number of
// registration shards.
func (z zoneRules) registrationIndex(name, zone string, shardCount int) int {
	zoneIndex := max(0, slices.Index(z.settings.Zones, zone))
	return (zoneIndex*shardsPerZone + hashName(name)%shardsPerZone) % shardCount
}

// successor returns the host that takes over a shard whose owner's session has ended: the same host
// if it is alive again, else one of the hosts of the shard's zone, or of all hosts if that zone has
// none. The shards of one owner are spread over these hosts.
func (z zoneRules) successor(record *shard.Record, hosts []string) string {
	if slices.Contains(hosts, record.Host) {
		return record.Host
	}
	hosts = z.hostsInZone(hosts, z.zoneOfShard(record.Index))
	return hosts[(hashName(record.Host)+record.Index)%len(hosts)]
}

// inOwnZone reports whether a shard belongs to the zone of this controller.
func (z zoneRules) inOwnZone(kv statekv.KV) bool {
	record := shard.ParseRecord(kv)
	return record != nil && z.zoneOfShard(record.Index) == z.settings.Zone
}

const (
	// redirectInterval is the minimum time between two redirects of a new machine to its zone. If
	// the machine reports to a controller of another zone within this time after a redirect, the
	// controller of its zone has not claimed it, and the other controller claims it.
	redirectInterval = 15 * time.Second
	// maxRedirects bounds the number of machines whose redirects are remembered.
	maxRedirects = 4096
)

// redirects holds when each new machine was last redirected to a controller of its zone.
type redirects map[string]time.Time

// record records that a machine is redirected now.
func (r redirects) record(machine string, now time.Time) {
	if len(r) > maxRedirects {
		clear(r)
	}
	r[machine] = now
}

// redirectToZone returns the controller to which a new machine's worker should report instead, or
// "" if the machine is to be claimed here. If the controllers of a zone would own more than twice
// the mean number of machines, controllers of all zones claim its machines.
func (a *Agent) redirectToZone(heartbeat *worker.Heartbeat, now time.Time) string {
	hosts := a.session.AliveHosts()
	zoneHosts := a.zones.hostsInZone(hosts, heartbeat.Zone)
	if a.settings.Zone == heartbeat.Zone || len(zoneHosts) == len(hosts) {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0
	for _, n := range a.zoneSizes {
		total += n
	}
	if a.zoneSizes[heartbeat.Zone]*len(hosts) > 2*total*len(zoneHosts) {
		return ""
	}
	if now.Sub(a.redirects[heartbeat.Machine]) < redirectInterval {
		return ""
	}
	a.redirects.record(heartbeat.Machine, now)
	return zoneHosts[hashName(heartbeat.Machine)%len(zoneHosts)]
}

// countMachines updates the number of machines of each zone, and returns the number of machines of
// each shard, by shard id.
func (a *Agent) countMachines(machines []statekv.KV) (machinesPerShard map[string]int) {
	zoneSizes := map[string]int{}
	machinesPerShard = map[string]int{}
	for _, kv := range machines {
		if record := shard.ParseMachineRecord(kv); record != nil {
			zoneSizes[record.Zone]++
			machinesPerShard[record.Shard]++
		}
	}
	a.mu.Lock()
	a.zoneSizes = zoneSizes
	a.mu.Unlock()
	return machinesPerShard
}
