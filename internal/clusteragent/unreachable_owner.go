package clusteragent

import (
	"slices"
	"time"

	"robinstack/internal/machine"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// A machine shard can also be taken from a live owner, for one of two reasons. Either its workers
// cannot reach the owner: their leases would expire although only the connection to that one
// controller is lost. Or (balance.go) a restarted controller owns no machines: the others then own
// so many that the next failure of one controller could affect the whole cluster.

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
	// minUnreachableWorkers is the minimum number of workers of a shard that must have sent
	// repeated misdirected heartbeats before the shard is taken from its owner.
	minUnreachableWorkers = 3
	// unreachableShardDivisor sets the fraction of the workers of a shard that must have sent
	// repeated misdirected heartbeats: one in unreachableShardDivisor.
	unreachableShardDivisor = 4
	// nonSuccessorDelay is how long a controller that is not the successor for a shard must have
	// received heartbeats of the shard's workers before it takes the shard.
	nonSuccessorDelay = 4 * time.Second
	// Limits on the number of misdirected heartbeats of one worker. A worker with at least
	// misdirectedRepeated of them counts towards the takeover of its shard. It is considered unable
	// to reach its owner after unreachableAfterBurst of them, or after unreachableAfterSustained of
	// them if the first was received more than minOwnershipAge ago.
	misdirectedRepeated       = 2
	unreachableAfterSustained = 3
	unreachableAfterBurst     = 4
)

// misdirectedHeartbeats counts, by machine, the heartbeats that a worker sends to this controller
// although another, live controller owns its machine. A single one may only mean that the worker
// did not know its owner. The worker is redirected to the owner, and sends further heartbeats here
// only if the owner does not answer. Agent.mu guards it.
type misdirectedHeartbeats map[string]misdirectedCount

// misdirectedCount counts the misdirected heartbeats of one worker under one ownership.
type misdirectedCount struct {
	ownershipRev   uint64
	count          int
	first, last    time.Time
	latestSequence machine.MessageSequence // the last heartbeat counted; duplicates of it are ignored
}

// record counts a misdirected heartbeat of a machine whose ownership has revision ownershipRev, and
// reports whether the worker is considered unable to reach its owner.
func (s misdirectedHeartbeats) record(heartbeat *worker.Heartbeat, ownershipRev uint64, now time.Time) bool {
	c := s[heartbeat.Machine]
	if c.ownershipRev != ownershipRev || now.Sub(c.last) > misdirectedWindow {
		c = misdirectedCount{ownershipRev: ownershipRev, first: now, latestSequence: c.latestSequence}
	}
	if !c.latestSequence.Before(machine.MessageSequenceOf(heartbeat)) {
		return false // a delayed duplicate: the worker now reports to another controller
	}
	c.latestSequence = machine.MessageSequenceOf(heartbeat)
	c.count++
	c.last = now
	if len(s) > maxMisdirectedWorkers {
		clear(s)
	}
	s[heartbeat.Machine] = c
	return c.count >= unreachableAfterBurst ||
		c.count >= unreachableAfterSustained && now.Sub(c.first) > minOwnershipAge
}

// recordMisdirectedHeartbeat is like misdirectedHeartbeats.record, but counts nothing while this
// controller may have lost its session.
func (a *Agent) recordMisdirectedHeartbeat(heartbeat *worker.Heartbeat, ownershipRev uint64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.session.HoldsLease() {
		// In an outage of the state service, owners stop answering at the end of their lease grace
		// period, and their workers try one controller after the other.
		return false
	}
	return a.misdirected.record(heartbeat, ownershipRev, now)
}

// misdirectedShard is the number of workers of a shard with repeated misdirected heartbeats, and
// the time of the first of these heartbeats.
type misdirectedShard struct {
	workers        int
	firstHeartbeat time.Time
}

// byShard counts the workers with repeated misdirected heartbeats by shard, and drops expired
// counts.
func (s misdirectedHeartbeats) byShard(mirror *statekv.Mirror, now time.Time) map[string]misdirectedShard {
	shards := map[string]misdirectedShard{}
	for name, c := range s {
		if now.Sub(c.last) > misdirectedWindow {
			delete(s, name)
			continue
		}
		if c.count < misdirectedRepeated {
			continue
		}
		kv, _ := mirror.Get(statekv.MachinePrefix + name)
		machineRecord := shard.ParseMachineRecord(kv)
		if machineRecord == nil {
			continue
		}
		if _, rev := shard.OwnerOf(mirror, kv); c.ownershipRev != rev {
			continue
		}
		evidence := shards[machineRecord.Shard]
		if evidence.workers == 0 || c.first.Before(evidence.firstHeartbeat) {
			evidence.firstHeartbeat = c.first
		}
		evidence.workers++
		shards[machineRecord.Shard] = evidence
	}
	return shards
}

// unreachableShards lists, with the reason, the shards of live owners whose workers cannot reach
// their owner, according to the misdirected heartbeats received here.
func (a *Agent) unreachableShards(view *ownershipView) map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownershipTimes.update(view.shards, view.now)
	misdirectedByShard := a.misdirected.byShard(a.mirror, view.now)
	return planUnreachableTakeover(view, misdirectedByShard, a.ownershipTimes)
}

// planUnreachableTakeover selects the shards to take from live owners that the workers cannot
// reach.
func planUnreachableTakeover(
	view *ownershipView, misdirectedByShard map[string]misdirectedShard, ownershipTimes shardOwnershipTimes,
) (wanted map[string]string) {
	for _, kv := range view.shards {
		record, id := shard.ParseRecord(kv), shardID(kv)
		evidence := misdirectedByShard[id]
		if evidence.workers < max(minUnreachableWorkers,
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
		if view.now.Sub(evidence.firstHeartbeat) < delay {
			continue
		}
		if wanted == nil {
			wanted = map[string]string{}
		}
		wanted[kv.Key] = "its workers cannot reach the owner"
	}
	return wanted
}

// shardOwnershipTimes holds, by shard key, the last revision seen of the key and when that revision
// was first seen. Agent.mu guards it.
type shardOwnershipTimes map[string]shardOwnershipTime

type shardOwnershipTime struct {
	rev   uint64
	since time.Time
}

// ownershipTimesSlack is how many entries shardOwnershipTimes may have beyond twice the number of
// existing shards. Above that, all entries are dropped.
const ownershipTimesSlack = 100

// update records since when each shard has had its present owner, and returns the time of the
// latest change among all shards.
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
