package clusteragent

import (
	"slices"
	"time"

	"robinstack/internal/machine"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// A machine can change owner while its owner is alive: if its worker cannot reach the owner,
// because the worker's lease would expire although only that connection is lost, and (balance.go)
// if a restarted controller owns no machines, because the next failure of one controller would
// affect the whole cluster.

const (
	// visitWindow is the longest time between two misdirected heartbeats of a worker that are
	// counted together. With five controllers that answer or time out, a worker needs that long to
	// try all of them.
	visitWindow = 30 * time.Second
	// maxStrayWorkers bounds the number of workers whose misdirected heartbeats are counted.
	maxStrayWorkers = 4096
	// minOwnershipAge is how long a shard must have had its owner before it is taken from that
	// owner.
	minOwnershipAge = 10 * time.Second
	// minStrayWorkers is how many workers of a shard, at least, must have sent repeated misdirected
	// heartbeats before the shard is taken from its owner.
	minStrayWorkers = 3
	// strayShardPart sets the fraction of a shard's workers that must have done so: one in
	// strayShardPart.
	strayShardPart = 4
	// nonSuccessorDelay is how long a shard's workers must have sent heartbeats here before a
	// controller that is not the successor for the shard takes it.
	nonSuccessorDelay = 4 * time.Second
	// Numbers of misdirected heartbeats of one worker: from repeatedVisits on, the worker counts
	// towards the takeover of its shard. It is considered unable to reach its owner after
	// strayVisitsAtOnce, or after strayVisitsOverTime if the first is older than minOwnershipAge.
	repeatedVisits      = 2
	strayVisitsOverTime = 3
	strayVisitsAtOnce   = 4
)

// strayVisits counts, by machine, the misdirected heartbeats: those that a worker sends here
// although the owner of its machine is another, living controller. A single one may only mean that
// the worker did not know its owner. The worker is redirected to the owner, and sends further
// heartbeats here only if the owner does not answer. Agent.mu guards it.
type strayVisits map[string]strayVisit

// strayVisit counts the misdirected heartbeats of one worker under one ownership.
type strayVisit struct {
	rev         uint64
	count       int
	first, last time.Time
	latest      machine.Serial // the last heartbeat counted; duplicates of it are ignored
}

// count records a misdirected heartbeat of a machine whose ownership has revision rev, and reports
// whether the worker is considered unable to reach its owner.
func (s strayVisits) count(heartbeat *worker.Heartbeat, rev uint64, now time.Time) bool {
	v := s[heartbeat.Machine]
	if v.rev != rev || now.Sub(v.last) > visitWindow {
		v = strayVisit{rev: rev, first: now, latest: v.latest}
	}
	if !v.latest.Before(machine.SerialOf(heartbeat)) {
		return false // a delayed duplicate: the worker now reports to another controller
	}
	v.latest = machine.SerialOf(heartbeat)
	v.count++
	v.last = now
	if len(s) > maxStrayWorkers {
		clear(s)
	}
	s[heartbeat.Machine] = v
	return v.count >= strayVisitsAtOnce || v.count >= strayVisitsOverTime && now.Sub(v.first) > minOwnershipAge
}

// countStrayVisit is strayVisits.count, except that it counts nothing while this controller may
// have lost its session.
func (a *Agent) countStrayVisit(heartbeat *worker.Heartbeat, rev uint64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.session.HoldsLease() {
		// In an outage of the state service, owners stop answering at the end of their lease grace
		// period, and their workers try one controller after the other.
		return false
	}
	return a.strays.count(heartbeat, rev, now)
}

// strayShard is the number of a shard's workers with repeated misdirected heartbeats, and the time
// of the first of these heartbeats.
type strayShard struct {
	workers int
	first   time.Time
}

// byShard counts the workers with repeated misdirected heartbeats by shard, and drops expired
// counts.
func (s strayVisits) byShard(mirror *statekv.Mirror, now time.Time) map[string]strayShard {
	shards := map[string]strayShard{}
	for name, v := range s {
		if now.Sub(v.last) > visitWindow {
			delete(s, name)
			continue
		}
		if v.count < repeatedVisits {
			continue
		}
		kv, _ := mirror.Get(statekv.MachinePrefix + name)
		record := shard.ParseMachineRecord(kv)
		if record == nil {
			continue
		}
		if _, rev := shard.OwnerOf(mirror, kv); v.rev != rev {
			continue
		}
		count := shards[record.Shard]
		if count.workers == 0 || v.first.Before(count.first) {
			count.first = v.first
		}
		count.workers++
		shards[record.Shard] = count
	}
	return shards
}

// unreachableShards lists, with the reason, the shards of living owners whose workers cannot reach
// their owner, according to the misdirected heartbeats received here.
func (a *Agent) unreachableShards(view *fleetView) map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sightings.note(view.shards, view.now)
	misdirected := a.strays.byShard(a.mirror, view.now)
	return planStrayTakeover(view, misdirected, a.sightings)
}

// planStrayTakeover selects the shards to take from living owners that the workers cannot reach.
func planStrayTakeover(
	view *fleetView, misdirected map[string]strayShard, ownershipTimes shardSightings,
) (wanted map[string]string) {
	for _, kv := range view.shards {
		record, id := shard.ParseRecord(kv), shardID(kv)
		count := misdirected[id]
		if count.workers < max(minStrayWorkers,
			(view.sizes[id]+strayShardPart-1)/strayShardPart) {
			continue
		}
		if record == nil || record.Holder == view.self || !view.alive(record.Holder) {
			continue
		}
		if view.now.Sub(ownershipTimes[kv.Key].since) < minOwnershipAge {
			continue
		}
		delay := nonSuccessorDelay
		otherHosts := slices.DeleteFunc(slices.Clone(view.hosts), func(h string) bool { return h == record.Host })
		if view.zones.successor(record, otherHosts) == view.self.Host {
			delay = 0
		}
		if view.now.Sub(count.first) < delay {
			continue
		}
		if wanted == nil {
			wanted = map[string]string{}
		}
		wanted[kv.Key] = "workers cannot reach the owner"
	}
	return wanted
}

// shardSightings holds, by shard key, the last revision seen and when it was first seen. Agent.mu
// guards it.
type shardSightings map[string]shardSighting

type shardSighting struct {
	rev   uint64
	since time.Time
}

// sightingsSlack is how many entries shardSightings may have beyond twice the number of existing
// shards. Above that, all entries are dropped.
const sightingsSlack = 100

// note records since when each shard has had its present owner, and returns the time of the latest
// change among all shards.
func (s shardSightings) note(shards []statekv.KV, now time.Time) time.Time {
	latest := time.Time{}
	for _, kv := range shards {
		ownershipTime := s[kv.Key]
		if ownershipTime.rev != kv.Rev {
			ownershipTime = shardSighting{kv.Rev, now}
			s[kv.Key] = ownershipTime
		}
		if ownershipTime.since.After(latest) {
			latest = ownershipTime.since
		}
	}
	if len(s) > 2*len(shards)+sightingsSlack {
		clear(s)
	}
	return latest
}
