package clusteragent

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// Machines change hands also while their owner lives: when their workers
// plainly cannot reach it, so that they do not die of an owner that has lost
// only them, and when another controller has come back with nothing to own, so
// that the next failure of one controller is not one of the whole fleet.

// strayVisits counts how often a worker came here although its owner lives, under one
// ownership. A worker that comes once may not have known its owner; it is sent
// there, and comes again only if it got no answer.
type strayVisits struct {
	rev         uint64
	count       int
	first, last time.Time
	latest      heartbeatSerial // the latest that was counted: copies of it are no visits
}

// shardSighting is a shard's revision, and when it was seen first.
type shardSighting struct {
	rev   uint64
	since time.Time
}

const (
	// visitWindow is the time after which a further visit is not counted with
	// the earlier ones: with five controllers that answer or hang, a worker
	// takes that long to try all of them.
	visitWindow = 30 * time.Second
	// minOwnershipAge is how long a shard must have had its owner before it is taken from it.
	minOwnershipAge = 10 * time.Second
	// minStrayWorkers is how many workers of a shard must have come, at least.
	minStrayWorkers = 3
	// nonSuccessorDelay is how long workers must have come here before their shard is
	// taken by a controller that is not next in line for it.
	nonSuccessorDelay = 4 * time.Second
)

// countStrayVisit notes that a worker came although its owner is alive, and says
// whether it has come so often that it plainly cannot reach that owner.
func (a *Agent) countStrayVisit(r *worker.Heartbeat, rev uint64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.member.HoldsLease() {
		// In an outage owners fall silent when their hold time is over, and their
		// workers go from one controller to the next.
		return false
	}
	name := r.Machine
	v := a.visits[name]
	if v.rev != rev || now.Sub(v.last) > visitWindow {
		v = strayVisits{rev: rev, first: now, latest: v.latest}
	}
	if !v.latest.before(serialOf(r)) {
		return false // a copy that came late: its worker is elsewhere by now
	}
	v.latest = serialOf(r)
	v.count++
	v.last = now
	if len(a.visits) > 4096 {
		clear(a.visits)
	}
	a.visits[name] = v
	return v.count >= 4 || v.count >= 3 && now.Sub(v.first) > minOwnershipAge
}

// noteSightings keeps for how long each shard has had its owner, and returns since when
// none has changed.
func (a *Agent) noteSightings(shards []statekv.KV, now time.Time) time.Time {
	latest := time.Time{}
	for _, kv := range shards {
		s := a.shardSightings[kv.Key]
		if s.rev != kv.Rev {
			s = shardSighting{kv.Rev, now}
			a.shardSightings[kv.Key] = s
		}
		if s.since.After(latest) {
			latest = s.since
		}
	}
	if len(a.shardSightings) > 2*len(shards)+100 {
		clear(a.shardSightings)
	}
	return latest
}

// unreachableShards lists the shards of living owners of which so many workers came
// here again that their owner has plainly lost them, with the reason.
func (a *Agent) unreachableShards(shards []statekv.KV, size map[string]int, hosts []string, now time.Time) map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteSightings(shards, now)
	came, first := map[string]int{}, map[string]time.Time{}
	most := 0
	for name, v := range a.visits {
		if now.Sub(v.last) > visitWindow {
			delete(a.visits, name)
			continue
		}
		if v.count < 2 {
			continue
		}
		kv, _ := a.mirror.Get(statekv.MachinePrefix + name)
		key := shard.ParseMachineRecord(kv)
		if key == nil {
			continue
		}
		if _, rev := shard.OwnerOf(a.mirror, kv); v.rev != rev {
			continue
		}
		came[key.Shard]++
		most = max(most, came[key.Shard])
		if at := first[key.Shard]; at.IsZero() || v.first.Before(at) {
			first[key.Shard] = v.first
		}
	}
	if most < minStrayWorkers {
		return nil
	}
	var out map[string]string
	for _, kv := range shards {
		key := shard.ParseRecord(kv)
		if key == nil || key.Holder == a.member.Holder || !a.member.Alive(key.Holder) || now.Sub(a.shardSightings[kv.Key].since) < minOwnershipAge {
			continue
		}
		doubt := nonSuccessorDelay
		others := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == key.Host })
		if a.successorOf(key, others) == a.member.Host {
			doubt = 0
		}
		id := kv.Key[len(statekv.MachineShardPrefix):]
		if came[id] >= max(minStrayWorkers, (size[id]+3)/4) && now.Sub(first[id]) >= doubt {
			if out == nil {
				out = map[string]string{}
			}
			out[kv.Key] = "its workers cannot reach the owner"
		}
	}
	return out
}

const (
	// quietBeforeBalance is how long no shard may have changed hands before they are
	// evened out.
	quietBeforeBalance = 15 * time.Second
	// minMachinesPerHost is the number of machines per controller below which owning more
	// or fewer than others makes no difference.
	minMachinesPerHost = 4
	reachabilityProbes = 3
)

// planBalance lists shards to take from the controller that owns most, if this one
// owns least and less than a quarter of its part, and can reach the machines.
func (a *Agent) planBalance(ctx context.Context, shards, machines []statekv.KV, size map[string]int, hosts []string, now time.Time) map[string]string {
	a.mu.Lock()
	quiet := len(a.intakeShards) > 0 && now.Sub(a.noteSightings(shards, now)) >= quietBeforeBalance
	a.mu.Unlock()
	if !quiet || len(machines) < minMachinesPerHost*len(hosts) {
		return nil
	}
	owned := map[string]int{}
	for _, kv := range shards {
		if key := shard.ParseRecord(kv); key != nil && a.member.Alive(key.Holder) {
			owned[key.Host] += size[kv.Key[len(statekv.MachineShardPrefix):]]
		}
	}
	richest, poorest := "", ""
	for _, h := range hosts {
		if richest == "" || owned[h] > owned[richest] {
			richest = h
		}
		if poorest == "" || owned[h] < owned[poorest] {
			poorest = h
		}
	}
	mean := len(machines) / len(hosts)
	mine, theirs := owned[a.member.Host], owned[richest]
	if poorest != a.member.Host || mine > mean/4 {
		return nil
	}
	inShard := map[string][]statekv.KV{}
	for _, kv := range machines {
		if key := shard.ParseMachineRecord(kv); key != nil {
			inShard[statekv.MachineShardPrefix+key.Shard] = append(inShard[statekv.MachineShardPrefix+key.Shard], kv)
		}
	}
	out := map[string]string{}
	var sample []statekv.KV
	// Those of this controller's own zone first.
	slices.SortStableFunc(shards, func(x, y statekv.KV) int {
		return cmp.Compare(a.otherZone(x), a.otherZone(y))
	})
	for _, kv := range shards {
		n := len(inShard[kv.Key])
		if key := shard.ParseRecord(kv); key == nil || key.Host != richest || n == 0 || mine+n > theirs-n || a.anyUnreconciled(inShard[kv.Key]) {
			continue
		}
		out[kv.Key] = "machines are evened out"
		sample = append(sample, inShard[kv.Key]...)
		mine, theirs = mine+n, theirs-n
		if mine >= mean*3/4 {
			break
		}
	}
	if len(out) == 0 || !a.reaches(ctx, sample) {
		return nil
	}
	return out
}

// anyUnreconciled reports whether any of the machines is silent or has not answered its
// owner yet: another owner would have to wait for its lease from the start.
func (a *Agent) anyUnreconciled(machines []statekv.KV) bool {
	return a.LastEntry != nil && slices.ContainsFunc(machines, func(kv statekv.KV) bool {
		e := a.LastEntry(kv.Key[len(statekv.MachinePrefix):])
		return !e.Settled || e.Silent
	})
}

// otherZone is 1 for a shard of another zone than this controller's.
func (a *Agent) otherZone(kv statekv.KV) int {
	if key := shard.ParseRecord(kv); key != nil && a.shardZone(key.Index) == a.settings.Zone {
		return 0
	}
	return 1
}

// reaches reports whether some of the machines, drawn at random, answer here. A
// command under token 0 is never carried out and answered with a report.
func (a *Agent) reaches(ctx context.Context, machines []statekv.KV) bool {
	for range min(reachabilityProbes, len(machines)) {
		cctx, cancel := context.WithTimeout(ctx, time.Second)
		_, _, err := a.workers.Send(cctx, shard.ParseMachineRecord(machines[rand.IntN(len(machines))]).Address, 0, 1, nil)
		cancel()
		if err != nil {
			return false
		}
	}
	return true
}
