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
	// misdirectedWindow is the longest time between two misdirected heartbeats of a worker that are
	// counted together. With five controllers that answer or time out, a worker needs that long to
	// try all of them.
	misdirectedWindow = 30 * time.Second
	// maxMisdirectedWorkers bounds the number of workers whose misdirected heartbeats are counted.
	maxMisdirectedWorkers = 4096
	// minOwnershipAge is how long a shard must have had its owner before it is taken from that
	// owner.
	minOwnershipAge = 10 * time.Second
	// minUnreachableWorkers is how many workers of a shard, at least, must have sent repeated misdirected
	// heartbeats before the shard is taken from its owner.
	minUnreachableWorkers = 3
	// unreachableShardDivisor sets the fraction of a shard's workers that must have done so: one in
	// unreachableShardDivisor.
	unreachableShardDivisor = 4
	// nonSuccessorDelay is how long a shard's workers must have sent heartbeats here before a
	// controller that is not the successor for the shard takes it.
	nonSuccessorDelay = 4 * time.Second
	// Numbers of misdirected heartbeats of one worker: from misdirectedRepeated on, the worker counts
	// towards the takeover of its shard. It is considered unable to reach its owner after
	// unreachableAfterBurst, or after unreachableAfterSustained if the first is older than minOwnershipAge.
	misdirectedRepeated       = 2
	unreachableAfterSustained = 3
	unreachableAfterBurst     = 4
)

// misdirectedHeartbeats counts, by machine, the misdirected heartbeats: those that a worker sends here
// although the owner of its machine is another, living controller. A single one may only mean that
// the worker did not know its owner. The worker is redirected to the owner, and sends further
// heartbeats here only if the owner does not answer. Agent.mu guards it.
type misdirectedHeartbeats map[string]misdirectedCount

// misdirectedCount counts the misdirected heartbeats of one worker under one ownership.
type misdirectedCount struct {
	ownershipRev uint64
	count        int
	first, last  time.Time
	latestSerial machine.Serial // the last heartbeat counted; duplicates of it are ignored
}

// record records a misdirected heartbeat of a machine whose ownership has revision rev, and reports
// whether the worker is considered unable to reach its owner.
func (s misdirectedHeartbeats) record(heartbeat *worker.Heartbeat, rev uint64, now time.Time) bool {
	v := s[heartbeat.Machine]
	if v.ownershipRev != rev || now.Sub(v.last) > misdirectedWindow {
		v = misdirectedCount{ownershipRev: rev, first: now, latestSerial: v.latestSerial}
	}
	if !v.latestSerial.Before(machine.SerialOf(heartbeat)) {
		return false // a delayed duplicate: the worker now reports to another controller
	}
	v.latestSerial = machine.SerialOf(heartbeat)
	v.count++
	v.last = now
	if len(s) > maxMisdirectedWorkers {
		clear(s)
	}
	s[heartbeat.Machine] = v
	return v.count >= unreachableAfterBurst ||
		v.count >= unreachableAfterSustained && now.Sub(v.first) > minOwnershipAge
}

// recordMisdirectedHeartbeat is misdirectedHeartbeats.count, except that it counts nothing while this controller may
// have lost its session.
func (a *Agent) recordMisdirectedHeartbeat(heartbeat *worker.Heartbeat, rev uint64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.session.HoldsLease() {
		// In an outage of the state service, owners stop answering at the end of their lease grace
		// period, and their workers try one controller after the other.
		return false
	}
	return a.misdirected.record(heartbeat, rev, now)
}

// misdirectedShard is the number of a shard's workers with repeated misdirected heartbeats, and the time
// of the first of these heartbeats.
type misdirectedShard struct {
	workers        int
	firstHeartbeat time.Time
}

// byShard counts the workers with repeated misdirected heartbeats by shard, and drops expired
// counts.
func (s misdirectedHeartbeats) byShard(mirror *statekv.Mirror, now time.Time) map[string]misdirectedShard {
	shards := map[string]misdirectedShard{}
	for name, v := range s {
		if now.Sub(v.last) > misdirectedWindow {
			delete(s, name)
			continue
		}
		if v.count < misdirectedRepeated {
			continue
		}
		kv, _ := mirror.Get(statekv.MachinePrefix + name)
		record := shard.ParseMachineRecord(kv)
		if record == nil {
			continue
		}
		if _, rev := shard.OwnerOf(mirror, kv); v.ownershipRev != rev {
			continue
		}
		count := shards[record.Shard]
		if count.workers == 0 || v.first.Before(count.firstHeartbeat) {
			count.firstHeartbeat = v.first
		}
		count.workers++
		shards[record.Shard] = count
	}
	return shards
}

// unreachableShards lists, with the reason, the shards of living owners whose workers cannot reach
// their owner, according to the misdirected heartbeats received here.
func (a *Agent) unreachableShards(view *ownershipView) map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownershipTimes.update(view.shards, view.now)
	misdirected := a.misdirected.byShard(a.mirror, view.now)
	return planUnreachableTakeover(view, misdirected, a.ownershipTimes)
}

// planUnreachableTakeover selects the shards to take from living owners that the workers cannot reach.
func planUnreachableTakeover(
	view *ownershipView, misdirected map[string]misdirectedShard, ownershipTimes shardOwnershipTimes,
) (wanted map[string]string) {
	for _, kv := range view.shards {
		record, id := shard.ParseRecord(kv), shardID(kv)
		count := misdirected[id]
		if count.workers < max(minUnreachableWorkers,
			(view.machinesPerShard[id]+unreachableShardDivisor-1)/unreachableShardDivisor) {
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
		if view.now.Sub(count.firstHeartbeat) < delay {
			continue
		}
		if wanted == nil {
			wanted = map[string]string{}
		}
		wanted[kv.Key] = "workers cannot reach the owner"
	}
	return wanted
}

// shardOwnershipTimes holds, by shard key, the last revision seen and when it was first seen. Agent.mu
// guards it.
type shardOwnershipTimes map[string]shardOwnershipTime

type shardOwnershipTime struct {
	rev   uint64
	since time.Time
}

// ownershipTimesSlack is how many entries shardOwnershipTimes may have beyond twice the number of existing
// shards. Above that, all entries are dropped.
const ownershipTimesSlack = 100

// update records since when each shard has had its present owner, and returns the time of the latest
// change among all shards.
func (s shardOwnershipTimes) update(shards []statekv.KV, now time.Time) time.Time {
	latest := time.Time{}
	for _, kv := range shards {
		ownershipTime := s[kv.Key]
		if ownershipTime.rev != kv.Rev {
			ownershipTime = shardOwnershipTime{kv.Rev, now}
			s[kv.Key] = ownershipTime
		}
		if ownershipTime.since.After(latest) {
			latest = ownershipTime.since
		}
	}
	if len(s) > 2*len(shards)+ownershipTimesSlack {
		clear(s)
	}
	return latest
}
