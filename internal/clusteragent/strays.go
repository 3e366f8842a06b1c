package clusteragent

import (
	"slices"
	"time"

	"robinstack/internal/machine"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// Machines change hands also while their owner lives: when their workers
// plainly cannot reach it, so that they do not die of an owner that has lost
// only them, and (balance.go) when another controller has come back with nothing to own, so
// that the next failure of one controller is not one of the whole fleet.

const (
	// visitWindow is the time after which a further visit is not counted with
	// the earlier ones: with five controllers that answer or hang, a worker
	// takes that long to try all of them.
	visitWindow = 30 * time.Second
	// maxStrayWorkers bounds the workers whose visits are counted.
	maxStrayWorkers = 4096
	// minOwnershipAge is how long a shard must have had its owner before it is taken from it.
	minOwnershipAge = 10 * time.Second
	// minStrayWorkers is how many workers of a shard must have come, at least.
	minStrayWorkers = 3
	// strayShardPart is the part of a shard's workers that must have come: one in so many.
	strayShardPart = 4
	// nonSuccessorDelay is how long workers must have come here before their shard is
	// taken by a controller that is not next in line for it.
	nonSuccessorDelay = 4 * time.Second
	// A worker has come again from repeatedVisits on. It cannot reach its owner after
	// strayVisitsAtOnce, or after strayVisitsOverTime within more than minOwnershipAge.
	repeatedVisits      = 2
	strayVisitsOverTime = 3
	strayVisitsAtOnce   = 4
)

// strayVisits counts, by machine, how often a worker came here although its owner lives. A
// worker that comes once may not have known its owner; it is sent there, and comes again only
// if it got no answer. The agent's mutex guards it.
type strayVisits map[string]strayVisit

// strayVisit is how often one worker came, under one ownership.
type strayVisit struct {
	rev         uint64
	count       int
	first, last time.Time
	latest      machine.Serial // the latest that was counted: copies of it are no visits
}

// count notes that a worker came although its owner, of revision rev, is alive, and reports
// whether it has come so often that it plainly cannot reach that owner.
func (s strayVisits) count(r *worker.Heartbeat, rev uint64, now time.Time) bool {
	v := s[r.Machine]
	if v.rev != rev || now.Sub(v.last) > visitWindow {
		v = strayVisit{rev: rev, first: now, latest: v.latest}
	}
	if !v.latest.Before(machine.SerialOf(r)) {
		return false // a copy that came late: its worker is elsewhere by now
	}
	v.latest = machine.SerialOf(r)
	v.count++
	v.last = now
	if len(s) > maxStrayWorkers {
		clear(s)
	}
	s[r.Machine] = v
	return v.count >= strayVisitsAtOnce || v.count >= strayVisitsOverTime && now.Sub(v.first) > minOwnershipAge
}

// countStrayVisit notes that a worker came although its owner is alive, and says
// whether it has come so often that it plainly cannot reach that owner.
func (a *Agent) countStrayVisit(r *worker.Heartbeat, rev uint64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.session.HoldsLease() {
		// In an outage owners stop when their lease grace period is over, and their
		// workers go from one controller to the next.
		return false
	}
	return a.strays.count(r, rev, now)
}

// strayShard is how many workers of a shard came again, and since when.
type strayShard struct {
	workers int
	first   time.Time
}

// byShard counts the workers that came again, by their shards, and drops visits that are old.
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
		key := shard.ParseMachineRecord(kv)
		if key == nil {
			continue
		}
		if _, rev := shard.OwnerOf(mirror, kv); v.rev != rev {
			continue
		}
		stray := shards[key.Shard]
		if stray.workers == 0 || v.first.Before(stray.first) {
			stray.first = v.first
		}
		stray.workers++
		shards[key.Shard] = stray
	}
	return shards
}

// unreachableShards lists the shards of living owners of which so many workers came
// here again that their owner has plainly lost them, with the reason.
func (a *Agent) unreachableShards(view *fleetView) map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sightings.note(view.shards, view.now)
	strays := a.strays.byShard(a.mirror, view.now)
	return planStrayTakeover(view, strays, a.sightings)
}

// planStrayTakeover picks the shards to take from living owners that have lost their workers.
func planStrayTakeover(
	view *fleetView, strays map[string]strayShard, sightings shardSightings,
) (wanted map[string]string) {
	for _, kv := range view.shards {
		key, id := shard.ParseRecord(kv), shardID(kv)
		stray := strays[id]
		if stray.workers < max(minStrayWorkers, (view.sizes[id]+strayShardPart-1)/strayShardPart) {
			continue
		}
		if key == nil || key.Holder == view.self || !view.alive(key.Holder) {
			continue
		}
		if view.now.Sub(sightings[kv.Key].since) < minOwnershipAge {
			continue
		}
		delay := nonSuccessorDelay
		others := slices.DeleteFunc(slices.Clone(view.hosts), func(h string) bool { return h == key.Host })
		if view.zones.successor(key, others) == view.self.Host {
			delay = 0
		}
		if view.now.Sub(stray.first) < delay {
			continue
		}
		if wanted == nil {
			wanted = map[string]string{}
		}
		wanted[kv.Key] = "its workers cannot reach the owner"
	}
	return wanted
}

// shardSightings is under which revision each shard was seen last, and since when. The agent's
// mutex guards it.
type shardSightings map[string]shardSighting

type shardSighting struct {
	rev   uint64
	since time.Time
}

// sightingsSlack is how many shards that are no more may be remembered beside those there are.
const sightingsSlack = 100

// note keeps for how long each shard has had its owner, and returns since when
// none has changed.
func (s shardSightings) note(shards []statekv.KV, now time.Time) time.Time {
	latest := time.Time{}
	for _, kv := range shards {
		seen := s[kv.Key]
		if seen.rev != kv.Rev {
			seen = shardSighting{kv.Rev, now}
			s[kv.Key] = seen
		}
		if seen.since.After(latest) {
			latest = seen.since
		}
	}
	if len(s) > 2*len(shards)+sightingsSlack {
		clear(s)
	}
	return latest
}
