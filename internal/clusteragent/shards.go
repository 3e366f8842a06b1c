package clusteragent

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// Ownership goes by shards: a machine's key names its shard, and the shard's key
// names the owner. When an owner dies, its hundreds of machines change hands
// with one write for each of a few shards, while all their work goes on.

const (
	// ownershipEvery is how often the shards are looked through.
	ownershipEvery = 500 * time.Millisecond
	// takeoverTimeout is how long taking shards, and waiting for the mirror to show what
	// their former owners claimed last, may take.
	takeoverTimeout = 3 * time.Second
	// shardWriteTimeout is how long making or removing shards may take.
	shardWriteTimeout = 2 * time.Second
	// maxShardsRemoved bounds the empty shards that are removed with one transaction.
	maxShardsRemoved = 8
)

// shardHoldings is which shards this session holds. The agent's mutex guards it.
type shardHoldings struct {
	revs        map[string]uint64 // shards held, with their keys' revisions
	intake      []string          // those that take new machines, by place; "": none yet
	missing     map[int]bool      // places for which there was none when a machine came
	generations map[int]int       // how often this session had to make a shard for each place
	released    map[string]uint64 // machines given up, with the revision of our ownership
}

func newShardHoldings() shardHoldings {
	return shardHoldings{missing: map[int]bool{}, generations: map[int]int{}, released: map[string]uint64{}}
}

// heldShard is a shard that this session holds.
type heldShard struct {
	rev   uint64 // of the shard's key
	index int
}

// fleetView is what one look at the mirror shows of ownership, for the planners.
type fleetView struct {
	self     statekv.Holder
	alive    func(statekv.Holder) bool // whether a session goes on
	zones    zoneRules
	now      time.Time
	hosts    []string // that are alive
	shards   []statekv.KV
	machines []statekv.KV
	sizes    map[string]int // machines by shard
}

func shardID(kv statekv.KV) string { return kv.Key[len(statekv.MachineShardPrefix):] }

func machineName(kv statekv.KV) string { return kv.Key[len(statekv.MachinePrefix):] }

func (a *Agent) runShardOwnership(ctx context.Context) {
	tick := time.NewTicker(ownershipEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		a.updateOwnership(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// updateOwnership takes shards whose owner's session is over or whose workers cannot
// reach it, and new ones if this controller has none, and takes up the machines
// in them.
func (a *Agent) updateOwnership(ctx context.Context) {
	hosts := a.session.AliveHosts()
	if !a.session.HoldsLease() || !slices.Contains(hosts, a.session.Host) {
		return
	}
	view := fleetView{
		self: a.session.Holder, alive: a.session.Alive, zones: a.zones, now: time.Now(), hosts: hosts,
	}
	view.shards, view.machines = a.mirror.Dir(statekv.MachineShardPrefix), a.mirror.Dir(statekv.MachinePrefix)
	view.sizes = a.countMachines(view.machines)
	wanted := a.unreachableShards(&view)
	if len(wanted) == 0 {
		wanted = a.shardsToBalance(ctx, &view)
	}
	plan := planTakeover(&view, a.session.Successors(a.settings.Hosts()), wanted)
	a.takeShards(ctx, &plan, wanted)
	intake, latest := a.chooseIntakeShards(ctx, plan.held)
	// What an earlier owner claimed last is in the mirror by then.
	wctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	if a.mirror.Wait(wctx, latest) != nil {
		return
	}
	a.mu.Lock()
	a.shards.intake, a.shards.revs = intake, map[string]uint64{}
	for id, h := range plan.held {
		a.shards.revs[id] = h.rev
	}
	a.mu.Unlock()
	a.removeEmptyShards(ctx, &plan, intake, view.sizes)
	// Machines first: whoever is in a shard that came since belongs to its owner.
	machines := a.mirror.Dir(statekv.MachinePrefix)
	a.reconcileOwnership(hosts, machines, shard.NewOwnerIndex(a.mirror.Dir(statekv.MachineShardPrefix)))
}

// takeoverPlan is which shards this session holds, and which it should take or remove.
type takeoverPlan struct {
	held  map[string]heldShard
	take  []statekv.Role
	empty []statekv.Role           // of sessions that are over, without machines
	keys  map[string]*shard.Record // of the shards to take, as they were
}

// planTakeover finds the shards that fall to this controller: those whose owner's session is
// over and that it succeeds, and those wanted from living owners. Those without machines it
// leaves, to be removed later: after a crash of all controllers the state service's limit is
// what the others wait for.
func planTakeover(view *fleetView, successors []string, wanted map[string]string) takeoverPlan {
	plan := takeoverPlan{held: map[string]heldShard{}, keys: map[string]*shard.Record{}}
	for _, kv := range view.shards {
		key := shard.ParseRecord(kv)
		if key == nil {
			continue
		}
		if key.Holder == view.self {
			plan.held[shardID(kv)] = heldShard{kv.Rev, key.Index}
			continue
		}
		_, taken := wanted[kv.Key]
		from := key.Holder
		if taken {
			from = statekv.Holder{}
		} else if view.alive(key.Holder) || view.zones.successor(key, successors) != view.self.Host {
			continue
		}
		value := shard.Record{Holder: view.self, Index: key.Index}
		role := statekv.Role{Key: kv.Key, ExpectedRev: kv.Rev, PreviousHolder: from, Value: value}
		if view.sizes[shardID(kv)] == 0 && !taken {
			plan.empty = append(plan.empty, role)
			continue
		}
		plan.keys[kv.Key] = key
		plan.take = append(plan.take, role)
	}
	return plan
}

// takeShards takes the shards that a plan says, and adds those it got to the ones held. Wanted
// is why shards are taken from living owners.
func (a *Agent) takeShards(ctx context.Context, plan *takeoverPlan, wanted map[string]string) {
	if len(plan.take) == 0 {
		return
	}
	tctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	taken, err := a.session.AcquireAll(tctx, plan.take, a.settings.StateLimits.MaxTxnOps)
	if err != nil {
		slog.Debug("machine shard acquisition failed", "err", err)
	}
	for key, rev := range taken {
		id, was := key[len(statekv.MachineShardPrefix):], plan.keys[key]
		plan.held[id] = heldShard{rev, was.Index}
		slog.Info("machine shard acquired", "machine_shard", id, "previous_owner", was.Host,
			"revision", rev, "reason", wanted[key])
	}
}

// removeEmptyShards removes the keys of shards in which there are no machines and which
// take no new ones: of this controller, and of those whose session the state service
// too has over; what these write late carries the condition that it goes on. Should a
// machine have been claimed into one unseen, it is claimed anew like any whose shard
// is lost.
func (a *Agent) removeEmptyShards(
	ctx context.Context, plan *takeoverPlan, intake []string, sizes map[string]int,
) {
	empty := plan.empty
	for id, h := range plan.held {
		if sizes[id] == 0 && !slices.Contains(intake, id) {
			empty = append(empty, statekv.Role{Key: statekv.MachineShardPrefix + id, ExpectedRev: h.rev})
		}
	}
	most := a.store.MaxTxnOps(min(maxShardsRemoved, a.settings.StateLimits.MaxTxnOps))
	var when []statekv.Compare
	var then []statekv.Op
	for _, r := range empty[:min(most, len(empty))] {
		when = append(when, a.session.RoleCompares(r)...)
		then = append(then, statekv.Op{Delete: r.Key})
	}
	if len(then) == 0 || !a.store.Allow(statekv.ClassMaintenance, len(then)) {
		return
	}
	tctx, cancel := context.WithTimeout(ctx, shardWriteTimeout)
	defer cancel()
	_, err := a.session.Write(tctx, when, then)
	slog.Debug("empty machine shards removed", "machine_shards", len(then), "err", err)
}

// reconcileOwnership takes up the machines that are ours by their keys, gives up those that
// are not any more, and claims those whose shard has been lost.
func (a *Agent) reconcileOwnership(hosts []string, keys []statekv.KV, owners shard.OwnerIndex) {
	ours, ownerless := a.sortByOwner(keys, owners)
	for _, kv := range ownerless {
		name := machineName(kv)
		if key := shard.ParseMachineRecord(kv); key != nil && hosts[hashOf(name)%len(hosts)] == a.session.Host {
			a.enqueueClaim(name, *key, kv.Rev)
		}
	}
	for _, kv := range ours {
		if !a.adopt(kv) {
			a.enqueueClaim(machineName(kv), *shard.ParseMachineRecord(kv), kv.Rev)
		}
	}
}

// sortByOwner returns the machines to take up, and those without owner, and gives up those
// that have another owner.
func (a *Agent) sortByOwner(keys []statekv.KV, owners shard.OwnerIndex) (ours, ownerless []statekv.KV) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.shards.released {
		if _, ok := a.mirror.Get(statekv.MachinePrefix + name); !ok {
			delete(a.shards.released, name)
		}
	}
	for _, kv := range keys {
		key := shard.ParseMachineRecord(kv)
		if key == nil {
			ownerless = append(ownerless, kv)
			continue
		}
		holder, rev := owners.OwnerOf(key, kv.Rev)
		m := a.machines[machineName(kv)]
		switch {
		case holder == (statekv.Holder{}):
			ownerless = append(ownerless, kv)
		case holder == a.session.Holder && (m == nil || rev > m.Ownership.Rev):
			if m != nil {
				// It was another's in between: what we know of it is old.
				a.release(m)
			}
			ours = append(ours, kv)
		case m != nil && rev > m.Ownership.Rev:
			a.release(m)
		}
	}
	return ours, ownerless
}

// adopt looks after a machine that is ours by its key. It returns false for one
// that was given up under this very ownership: then its worker has seen a
// successor that the mirror does not show yet, or nobody knows what runs there,
// and only a claim, a write under a condition, can make it ours again.
func (a *Agent) adopt(kv statekv.KV) bool {
	key := shard.ParseMachineRecord(kv)
	holder, rev := shard.OwnerOf(a.mirror, kv)
	if key == nil || holder != a.session.Holder {
		return true
	}
	name := machineName(kv)
	a.mu.Lock()
	released := a.shards.released[name]
	a.mu.Unlock()
	if released >= rev {
		return false
	}
	a.beginOwnership(name, key, kv.Rev, rev, takenOver)
	return true
}
