package clusteragent

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// Machine ownership is indirect: a machine's key names its machine shard, and the shard's key names
// the controller that owns all machines of the shard. When an owner's session ends, its hundreds of
// machines change owner with one write for each of a few shards, and their tasks keep running.

const (
	// ownershipInterval is the interval between two passes over the machine shards.
	ownershipInterval = 500 * time.Millisecond
	// takeoverTimeout bounds the acquisition of shards, and the wait until the mirror shows the
	// last claims of their former owners.
	takeoverTimeout = 3 * time.Second
	// shardWriteTimeout bounds the transaction that creates or removes shards.
	shardWriteTimeout = 2 * time.Second
	// maxShardsRemovedPerTxn bounds the number of empty shards that one transaction removes.
	maxShardsRemovedPerTxn = 8
)

// shardOwnership is the set of machine shards that this session owns. Agent.mu guards it.
type shardOwnership struct {
	revs                map[string]uint64 // owned shards, with the revisions of their keys
	registration        []string          // registration shards by registration index; "": none yet
	missingRegistration map[int]bool      // registration indexes that had no shard when a machine was to be claimed
	idGenerations       map[int]int       // generation number in the ids of new shards, by registration index
	releasedMachines    map[string]uint64 // released machines, with the revision of the ownership that ended
}

func newShardOwnership() shardOwnership {
	return shardOwnership{
		missingRegistration: map[int]bool{}, idGenerations: map[int]int{}, releasedMachines: map[string]uint64{},
	}
}

// heldShard is a machine shard that this session owns.
type heldShard struct {
	rev   uint64 // revision of the shard's key
	index int
}

// ownershipView is the ownership state that the mirror shows at one moment. It is the input of the
// planning functions.
type ownershipView struct {
	self             statekv.Holder
	alive            func(statekv.Holder) bool // reports whether a session is alive
	zones            zoneRules
	now              time.Time
	hosts            []string // hosts with a live session
	shards           []statekv.KV
	machines         []statekv.KV
	machinesPerShard map[string]int // number of machines by shard id
}

func shardID(kv statekv.KV) string { return kv.Key[len(statekv.MachineShardPrefix):] }

func machineName(kv statekv.KV) string { return kv.Key[len(statekv.MachinePrefix):] }

func (a *Agent) runShardOwnership(ctx context.Context) {
	tick := time.NewTicker(ownershipInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		a.updateOwnership(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// updateOwnership acquires shards whose owner's session has ended or whose workers cannot reach
// their owner, creates registration shards where this controller has none, and begins ownership of
// the machines in its shards.
func (a *Agent) updateOwnership(ctx context.Context) {
	hosts := a.session.AliveHosts()
	if !a.session.HoldsLease() || !slices.Contains(hosts, a.session.Host) {
		return
	}
	view := ownershipView{
		self: a.session.Holder, alive: a.session.Alive, zones: a.zones, now: time.Now(), hosts: hosts,
	}
	view.shards, view.machines = a.mirror.Dir(statekv.MachineShardPrefix), a.mirror.Dir(statekv.MachinePrefix)
	view.machinesPerShard = a.countMachines(view.machines)
	wanted := a.unreachableShards(&view)
	if len(wanted) == 0 {
		wanted = a.shardsToRebalance(ctx, &view)
	}
	plan := planTakeover(&view, a.session.Successors(a.settings.Hosts()), wanted)
	a.acquireShards(ctx, &plan, wanted)
	registrationShards, latestRev := a.chooseRegistrationShards(ctx, plan.held)
	// Once the mirror has reached this revision, it shows the last claims of the former owners.
	waitCtx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	if a.mirror.Wait(waitCtx, latestRev) != nil {
		return
	}
	a.mu.Lock()
	a.shards.registration, a.shards.revs = registrationShards, map[string]uint64{}
	for id, h := range plan.held {
		a.shards.revs[id] = h.rev
	}
	a.mu.Unlock()
	a.removeEmptyShards(ctx, &plan, registrationShards, view.machinesPerShard)
	// The machine keys are read before the shard keys. In the opposite order, a machine that is
	// claimed into a shard created between the two reads would appear to have no owner.
	machines := a.mirror.Dir(statekv.MachinePrefix)
	a.reconcileOwnership(hosts, machines, shard.NewOwnerIndex(a.mirror.Dir(statekv.MachineShardPrefix)))
}

// takeoverPlan lists the shards that this session owns and those that it should acquire or remove.
type takeoverPlan struct {
	held            map[string]heldShard
	acquire         []statekv.Role
	empty           []statekv.Role           // shards without machines whose owner's session has ended
	previousRecords map[string]*shard.Record // previous records of the shards to take, by key
}

// planTakeover selects the shards that this controller acquires: those whose owner's session has
// ended and of which it is the successor, and those in wanted, which have live owners. Shards
// without machines are not acquired but listed for later removal: after a crash of all controllers
// the write limit of the state service bounds the takeover, and writes for empty shards would delay
// the takeover of the other shards.
func planTakeover(view *ownershipView, successors []string, wanted map[string]string) takeoverPlan {
	plan := takeoverPlan{held: map[string]heldShard{}, previousRecords: map[string]*shard.Record{}}
	for _, kv := range view.shards {
		record := shard.ParseRecord(kv)
		if record == nil {
			continue
		}
		if record.Holder == view.self {
			plan.held[shardID(kv)] = heldShard{kv.Rev, record.Index}
			continue
		}
		_, isWanted := wanted[kv.Key]
		previousHolder := record.Holder
		if isWanted {
			previousHolder = statekv.Holder{} // the owner's session need not have ended
		} else if view.alive(record.Holder) || view.zones.successor(record, successors) != view.self.Host {
			continue
		}
		value := shard.Record{Holder: view.self, Index: record.Index}
		role := statekv.Role{Key: kv.Key, ExpectedRev: kv.Rev, PreviousHolder: previousHolder, Value: value}
		if view.machinesPerShard[shardID(kv)] == 0 && !isWanted {
			plan.empty = append(plan.empty, role)
			continue
		}
		plan.previousRecords[kv.Key] = record
		plan.acquire = append(plan.acquire, role)
	}
	return plan
}

// acquireShards acquires the shards in plan.acquire and adds those that it acquired to plan.held.
// wanted holds the reasons for taking shards from live owners.
func (a *Agent) acquireShards(ctx context.Context, plan *takeoverPlan, wanted map[string]string) {
	if len(plan.acquire) == 0 {
		return
	}
	txnCtx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	acquired, err := a.session.AcquireAll(txnCtx, plan.acquire, a.settings.StateLimits.MaxTxnOps)
	if err != nil {
		slog.Debug("machine shard acquisition failed", "err", err)
	}
	for key, rev := range acquired {
		id, previous := key[len(statekv.MachineShardPrefix):], plan.previousRecords[key]
		plan.held[id] = heldShard{rev, previous.Index}
		slog.Info("machine shard acquired", "machine_shard", id, "previous_owner", previous.Host,
			"revision", rev, "reason", wanted[key])
	}
}

// removeEmptyShards removes the keys of shards that have no machines and take no new ones: shards
// of this controller, and shards whose owner's session has ended. The transaction requires that the
// former owner's session has ended in the state service too, and every write of a session requires
// that the session still exists, so late writes of the former owner fail. If a machine was claimed
// into a removed shard and the mirror did not show it yet, the machine is claimed again, like any
// machine whose shard does not exist.
func (a *Agent) removeEmptyShards(
	ctx context.Context, plan *takeoverPlan, registrationShards []string, machinesPerShard map[string]int,
) {
	empty := plan.empty
	for id, h := range plan.held {
		if machinesPerShard[id] == 0 && !slices.Contains(registrationShards, id) {
			empty = append(empty, statekv.Role{Key: statekv.MachineShardPrefix + id, ExpectedRev: h.rev})
		}
	}
	limit := a.store.MaxTxnOps(min(maxShardsRemovedPerTxn, a.settings.StateLimits.MaxTxnOps))
	var compares []statekv.Compare
	var ops []statekv.Op
	for _, r := range empty[:min(limit, len(empty))] {
		compares = append(compares, a.session.RoleCompares(r)...)
		ops = append(ops, statekv.Op{Delete: r.Key})
	}
	if len(ops) == 0 || !a.store.Allow(statekv.ClassMaintenance, len(ops)) {
		return
	}
	txnCtx, cancel := context.WithTimeout(ctx, shardWriteTimeout)
	defer cancel()
	_, err := a.session.Write(txnCtx, compares, ops)
	slog.Debug("empty machine shards removed", "machine_shards", len(ops), "err", err)
}

// reconcileOwnership adopts the machines whose keys name this controller as their owner, and
// releases those that have another owner. The machines whose shard does not exist are divided among
// the live controllers by the hash of the machine name; it claims those that fall to this
// controller.
func (a *Agent) reconcileOwnership(hosts []string, machines []statekv.KV, owners shard.OwnerIndex) {
	owned, ownerless := a.classifyByOwner(machines, owners)
	for _, kv := range ownerless {
		name := machineName(kv)
		if record := shard.ParseMachineRecord(kv); record != nil && hosts[hashName(name)%len(hosts)] == a.session.Host {
			a.enqueueClaim(name, *record, kv.Rev)
		}
	}
	for _, kv := range owned {
		if !a.adoptMachine(kv) {
			a.enqueueClaim(machineName(kv), *shard.ParseMachineRecord(kv), kv.Rev)
		}
	}
}

// classifyByOwner returns the machines to adopt and the machines without an owner, and releases the
// machines that have another owner.
func (a *Agent) classifyByOwner(machines []statekv.KV, owners shard.OwnerIndex) (owned, ownerless []statekv.KV) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.shards.releasedMachines {
		if _, ok := a.mirror.Get(statekv.MachinePrefix + name); !ok {
			delete(a.shards.releasedMachines, name)
		}
	}
	for _, kv := range machines {
		record := shard.ParseMachineRecord(kv)
		if record == nil {
			ownerless = append(ownerless, kv)
			continue
		}
		holder, rev := owners.OwnerOf(record, kv.Rev)
		m := a.machines[machineName(kv)]
		switch {
		case holder == (statekv.Holder{}):
			ownerless = append(ownerless, kv)
		case holder == a.session.Holder && (m == nil || rev > m.Ownership.Rev):
			if m != nil {
				// Another controller owned the machine in between, so its state is out of date
				// here.
				a.release(m)
			}
			owned = append(owned, kv)
		case m != nil && rev > m.Ownership.Rev:
			a.release(m)
		}
	}
	return owned, ownerless
}

// adoptMachine begins ownership of a machine whose keys name this controller as its owner. It
// returns false for a machine that was released under the same ownership revision: either its
// worker has seen the token of a successor that the mirror does not show yet, or it is unknown
// which tasks run there. Only a claim, which is a conditional write, can make this controller the
// owner again.
func (a *Agent) adoptMachine(kv statekv.KV) bool {
	record := shard.ParseMachineRecord(kv)
	holder, rev := shard.OwnerOf(a.mirror, kv)
	if record == nil || holder != a.session.Holder {
		return true
	}
	name := machineName(kv)
	a.mu.Lock()
	releasedRev := a.shards.releasedMachines[name]
	a.mu.Unlock()
	if releasedRev >= rev {
		return false
	}
	a.beginOwnership(name, record, kv.Rev, rev, takenOver)
	return true
}
