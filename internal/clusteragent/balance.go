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

// visit counts how often a worker came here although its owner lives, under one
// ownership. A worker that comes once may not have known its owner; it is sent
// there, and comes again only if it got no answer.
type visit struct {
	rev         uint64
	count       int
	first, last time.Time
	report      serial // the latest that was counted: copies of it are no visits
}

// sight is a shard's revision, and when it was seen first.
type sight struct {
	rev   uint64
	since time.Time
}

const (
	// visitsApart is the time after which a further visit is not counted with
	// the earlier ones: with five controllers that answer or hang, a worker
	// takes that long to try all of them.
	visitsApart = 30 * time.Second
	// calm is how long a shard must have had its owner before it is taken from it.
	calm = 10 * time.Second
	// fewestStray is how many workers of a shard must have come, at least.
	fewestStray = 3
	// laterDoubt is how long workers must have come here before their shard is
	// taken by a controller that is not next in line for it.
	laterDoubt = 4 * time.Second
)

// cannotReach notes that a worker came although its owner is alive, and says
// whether it has come so often that it plainly cannot reach that owner.
func (a *Agent) cannotReach(r *worker.Heartbeat, rev uint64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.member.HoldsLease() {
		// In an outage owners fall silent when their hold time is over, and their
		// workers go from one controller to the next.
		return false
	}
	name := r.Machine
	v := a.visits[name]
	if v.rev != rev || now.Sub(v.last) > visitsApart {
		v = visit{rev: rev, first: now, report: v.report}
	}
	if !v.report.before(serialOf(r)) {
		return false // a copy that came late: its worker is elsewhere by now
	}
	v.report = serialOf(r)
	v.count++
	v.last = now
	if len(a.visits) > 4096 {
		clear(a.visits)
	}
	a.visits[name] = v
	return v.count >= 4 || v.count >= 3 && now.Sub(v.first) > calm
}

// note keeps for how long each shard has had its owner, and returns since when
// none has changed.
func (a *Agent) note(shards []statekv.KV, now time.Time) time.Time {
	latest := time.Time{}
	for _, kv := range shards {
		s := a.shardsAt[kv.Key]
		if s.rev != kv.Rev {
			s = sight{kv.Rev, now}
			a.shardsAt[kv.Key] = s
		}
		if s.since.After(latest) {
			latest = s.since
		}
	}
	if len(a.shardsAt) > 2*len(shards)+100 {
		clear(a.shardsAt)
	}
	return latest
}

// strayShards lists the shards of living owners of which so many workers came
// here again that their owner has plainly lost them, with the reason.
func (a *Agent) strayShards(shards []statekv.KV, size map[string]int, hosts []string, now time.Time) map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.note(shards, now)
	came, first := map[string]int{}, map[string]time.Time{}
	most := 0
	for name, v := range a.visits {
		if now.Sub(v.last) > visitsApart {
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
	if most < fewestStray {
		return nil
	}
	var out map[string]string
	for _, kv := range shards {
		key := shard.ParseRecord(kv)
		if key == nil || key.Holder == a.member.Holder || !a.member.Alive(key.Holder) || now.Sub(a.shardsAt[kv.Key].since) < calm {
			continue
		}
		doubt := laterDoubt
		others := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == key.Host })
		if a.heir(key, others) == a.member.Host {
			doubt = 0
		}
		id := kv.Key[len(statekv.MachineShardPrefix):]
		if came[id] >= max(fewestStray, (size[id]+3)/4) && now.Sub(first[id]) >= doubt {
			if out == nil {
				out = map[string]string{}
			}
			out[kv.Key] = "its workers cannot reach the owner"
		}
	}
	return out
}

const (
	// settledFor is how long no shard may have changed hands before they are
	// evened out.
	settledFor = 15 * time.Second
	// fewest is the number of machines per controller below which owning more
	// or fewer than others makes no difference.
	fewest = 4
	probes = 3
)

// evenOut lists shards to take from the controller that owns most, if this one
// owns least and less than a quarter of its part, and can reach the machines.
func (a *Agent) evenOut(ctx context.Context, shards, machines []statekv.KV, size map[string]int, hosts []string, now time.Time) map[string]string {
	a.mu.Lock()
	quiet := len(a.home) > 0 && now.Sub(a.note(shards, now)) >= settledFor
	a.mu.Unlock()
	if !quiet || len(machines) < fewest*len(hosts) {
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
		return cmp.Compare(a.foreign(x), a.foreign(y))
	})
	for _, kv := range shards {
		n := len(inShard[kv.Key])
		if key := shard.ParseRecord(kv); key == nil || key.Host != richest || n == 0 || mine+n > theirs-n || a.anyDoubt(inShard[kv.Key]) {
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

// anyDoubt reports whether any of the machines is silent or has not answered its
// owner yet: another owner would have to wait for its lease from the start.
func (a *Agent) anyDoubt(machines []statekv.KV) bool {
	return a.LastEntry != nil && slices.ContainsFunc(machines, func(kv statekv.KV) bool {
		e := a.LastEntry(kv.Key[len(statekv.MachinePrefix):])
		return !e.Settled || e.Silent
	})
}

// foreign is 1 for a shard of another zone than this controller's.
func (a *Agent) foreign(kv statekv.KV) int {
	if key := shard.ParseRecord(kv); key != nil && a.shardZone(key.Index) == a.settings.Zone {
		return 0
	}
	return 1
}

// reaches reports whether some of the machines, drawn at random, answer here. A
// command under token 0 is never carried out and answered with a report.
func (a *Agent) reaches(ctx context.Context, machines []statekv.KV) bool {
	for range min(probes, len(machines)) {
		cctx, cancel := context.WithTimeout(ctx, time.Second)
		_, _, err := a.workers.Send(cctx, shard.ParseMachineRecord(machines[rand.IntN(len(machines))]).Address, 0, 1, nil)
		cancel()
		if err != nil {
			return false
		}
	}
	return true
}
