package clusteragent

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"robinstack/internal/logline"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// Ownership goes by shards: a machine's key names its shard, and the shard's key
// names the owner. When an owner dies, its hundreds of machines change hands
// with one write for each of a few shards, while all their work goes on.

// shardsPerZone is how many shards for each zone an owner starts with: machines that
// share a fate share a shard, so that it can change hands when a zone's workers
// cannot reach their owner.
const shardsPerZone = 2

func hashOf(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() >> 1)
}

// successorOf is who takes over a shard whose owner's life has ended: the same
// controller if it is back, or one of the others, each a few, of the shard's zone
// if there are any.
func (a *Agent) successorOf(key *shard.Record, hosts []string) string {
	if slices.Contains(hosts, key.Host) {
		return key.Host
	}
	hosts = a.inZone(hosts, a.shardZone(key.Index))
	return hosts[(hashOf(key.Host)+key.Index)%len(hosts)]
}

func (a *Agent) runShardOwnership(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		a.acquireShards(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// heldShard is a shard that this life holds.
type heldShard struct {
	rev   uint64 // of the shard's key
	index int
}

// acquireShards takes shards whose owner's life is over or whose workers cannot
// reach it, and new ones if this controller has none, and takes up the machines
// in them.
func (a *Agent) acquireShards(ctx context.Context) {
	hosts := a.member.AliveHosts()
	if !a.member.HoldsLease() || !slices.Contains(hosts, a.member.Host) {
		return
	}
	now := time.Now()
	shards, machines := a.mirror.Dir(statekv.MachineShardPrefix), a.mirror.Dir(statekv.MachinePrefix)
	size := a.countMachines(machines)
	wanted := a.unreachableShards(shards, size, hosts, now)
	if len(wanted) == 0 {
		wanted = a.planBalance(ctx, shards, machines, size, hosts, now)
	}
	held, empty := a.takeShards(ctx, shards, size, wanted)
	home, latest := a.chooseIntakeShards(ctx, held)
	// What an earlier owner claimed last is in the mirror by then.
	wctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if a.mirror.Wait(wctx, latest) != nil {
		return
	}
	a.mu.Lock()
	a.intakeShards, a.heldShardRevs = home, map[string]uint64{}
	for id, h := range held {
		a.heldShardRevs[id] = h.rev
	}
	a.mu.Unlock()
	a.removeEmptyShards(ctx, held, home, size, empty)
	// Machines first: whoever is in a shard that came since belongs to its owner.
	machines = a.mirror.Dir(statekv.MachinePrefix)
	a.reconcileOwnership(hosts, machines, shard.NewOwnerIndex(a.mirror.Dir(statekv.MachineShardPrefix)))
}

// takeShards takes the shards that fall to this controller, and those wanted from
// living owners, and returns all that it holds then. Those without machines it
// leaves, to be removed later: after a crash of all controllers the state service's
// limit is what the others wait for.
func (a *Agent) takeShards(ctx context.Context, shards []statekv.KV, size map[string]int, wanted map[string]string) (held map[string]heldShard, empty []statekv.Role) {
	heirs := a.member.Successors(a.settings.Hosts())
	held = map[string]heldShard{}
	keys := map[string]*shard.Record{}
	var roles []statekv.Role
	for _, kv := range shards {
		key := shard.ParseRecord(kv)
		if key == nil {
			continue
		}
		if key.Holder == a.member.Holder {
			held[kv.Key[len(statekv.MachineShardPrefix):]] = heldShard{kv.Rev, key.Index}
			continue
		}
		from := key.Holder
		if wanted[kv.Key] != "" {
			from = statekv.Holder{}
		} else if a.member.Alive(key.Holder) || a.successorOf(key, heirs) != a.member.Host {
			continue
		}
		role := statekv.Role{Key: kv.Key, ExpectedRev: kv.Rev, PreviousHolder: from, Value: shard.Record{Holder: a.member.Holder, Index: key.Index}}
		if size[kv.Key[len(statekv.MachineShardPrefix):]] == 0 && wanted[kv.Key] == "" {
			empty = append(empty, role)
			continue
		}
		keys[kv.Key] = key
		roles = append(roles, role)
	}
	if len(roles) == 0 {
		return held, empty
	}
	tctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	taken, err := a.member.AcquireAll(tctx, roles, a.settings.StateLimits.MaxTxnOps)
	if err != nil {
		slog.Debug("machine shard acquisition failed", "err", err)
	}
	for key, rev := range taken {
		id, was := key[len(statekv.MachineShardPrefix):], keys[key]
		held[id] = heldShard{rev, was.Index}
		slog.Info("machine shard acquired", "machine_shard", id, "previous_owner", was.Host, "revision", rev, "reason", wanted[key])
	}
	return held, empty
}

// chooseIntakeShards picks, for each place in the list of home shards, a shard held that
// takes new machines: the one that did, else one of the same place that was taken
// over, so that there are no more shards after many failures than before. Where
// there is none it makes one; places for which that failed stay empty until the next
// time. It returns the latest revision among all held.
func (a *Agent) chooseIntakeShards(ctx context.Context, held map[string]heldShard) (home []string, latest uint64) {
	places := shardsPerZone * max(1, len(a.settings.Zones))
	a.mu.Lock()
	home = slices.Clone(a.intakeShards)
	a.mu.Unlock()
	if home == nil {
		home = make([]string, places)
	}
	ids := slices.Sorted(maps.Keys(held))
	var when []statekv.Compare
	var then []statekv.Op
	var made []int
	for k := range home {
		if _, ok := held[home[k]]; ok {
			continue
		}
		if home[k] = ""; !a.needsIntakeShard(k) || len(made) >= a.store.MaxTxnOps(a.settings.StateLimits.MaxTxnOps) {
			continue
		}
		at := slices.IndexFunc(ids, func(id string) bool { return held[id].index%places == k })
		if at >= 0 {
			home[k] = ids[at]
			continue
		}
		home[k] = a.newShardID(k)
		made = append(made, k)
		// Once only: a copy applied late must not raise the revision of a
		// shard that has machines by then.
		when = append(when, statekv.Compare{Key: statekv.MachineShardPrefix + home[k]})
		then = append(then, statekv.Op{Set: statekv.MachineShardPrefix + home[k], Value: shard.Record{Holder: a.member.Holder, Index: k}})
	}
	if len(made) > 0 {
		tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		rev, err := a.member.Write(tctx, when, then)
		for _, k := range made {
			if err != nil {
				home[k] = "" // if it was made after all, the mirror will show it
				continue
			}
			held[home[k]] = heldShard{rev, k}
		}
		if err != nil {
			// What was taken over must not wait for this.
			slog.Debug("machine shard creation failed", "err", err)
		}
	}
	for _, h := range held {
		latest = max(latest, h.rev)
	}
	return home, latest
}

// needsIntakeShard reports whether new machines of place k's zone come here: those of
// this controller's own zone, and of others once one has come.
func (a *Agent) needsIntakeShard(k int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	zone := a.shardZone(k)
	return a.missingIntake[k] || zone == a.settings.Zone || !slices.Contains(a.settings.Zones, a.settings.Zone)
}

// newShardID names a shard for place k that this life has not made yet: one that
// was taken from it keeps its name.
func (a *Agent) newShardID(k int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		id := fmt.Sprintf("%s.%d.%d.%d", a.member.Host, a.member.Incarnation, a.shardGenerations[k], k)
		if _, exists := a.mirror.Get(statekv.MachineShardPrefix + id); !exists {
			return id
		}
		a.shardGenerations[k]++
	}
}

// intakeIndexOf is the place in the list of home shards for a machine.
func (a *Agent) intakeIndexOf(name, zone string) int {
	z := max(0, slices.Index(a.settings.Zones, zone))
	return (z*shardsPerZone + hashOf(name)%shardsPerZone) % len(a.intakeShards)
}

func (a *Agent) heldShards() map[string]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heldShardRevs
}

// removeEmptyShards removes the keys of shards in which there are no machines and which
// take no new ones: of this controller, and of those whose life the state service
// too has over; what these write late carries the condition that it goes on. Should a
// machine have been claimed into one unseen, it is claimed anew like any whose shard
// is lost.
func (a *Agent) removeEmptyShards(ctx context.Context, held map[string]heldShard, home []string, size map[string]int, empty []statekv.Role) {
	var when []statekv.Compare
	var then []statekv.Op
	for id, h := range held {
		if size[id] == 0 && !slices.Contains(home, id) {
			empty = append(empty, statekv.Role{Key: statekv.MachineShardPrefix + id, ExpectedRev: h.rev})
		}
	}
	for _, r := range empty[:min(a.store.MaxTxnOps(min(maxShardsRemoved, a.settings.StateLimits.MaxTxnOps)), len(empty))] {
		when = append(when, a.member.RoleCompares(r)...)
		then = append(then, statekv.Op{Delete: r.Key})
	}
	if len(then) == 0 || !a.store.Allow(statekv.ClassMaintenance, len(then)) {
		return
	}
	tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	_, err := a.member.Write(tctx, when, then)
	slog.Debug("empty machine shards removed", "machine_shards", len(then), "err", err)
}

// maxShardsRemoved bounds the empty shards that are removed with one transaction.
const maxShardsRemoved = 8

// reconcileOwnership takes up the machines that are ours by their keys, gives up those that
// are not any more, and claims those whose shard has been lost.
func (a *Agent) reconcileOwnership(hosts []string, keys []statekv.KV, shards shard.OwnerIndex) {
	a.mu.Lock()
	for name := range a.releasedRevs {
		if _, ok := a.mirror.Get(statekv.MachinePrefix + name); !ok {
			delete(a.releasedRevs, name)
		}
	}
	var ours, ownerless []statekv.KV
	for _, kv := range keys {
		key := shard.ParseMachineRecord(kv)
		if key == nil {
			ownerless = append(ownerless, kv)
			continue
		}
		holder, rev := shards.OwnerOf(key, kv.Rev)
		m := a.machines[kv.Key[len(statekv.MachinePrefix):]]
		switch {
		case holder == (statekv.Holder{}):
			ownerless = append(ownerless, kv)
		case holder == a.member.Holder && (m == nil || rev > m.ownershipRev):
			if m != nil {
				// It was another's in between: what we know of it is old.
				a.release(m)
			}
			ours = append(ours, kv)
		case m != nil && rev > m.ownershipRev:
			a.release(m)
		}
	}
	a.mu.Unlock()
	for _, kv := range ownerless {
		name := kv.Key[len(statekv.MachinePrefix):]
		if key := shard.ParseMachineRecord(kv); key != nil && hosts[hashOf(name)%len(hosts)] == a.member.Host {
			a.enqueueClaim(name, *key, kv.Rev)
		}
	}
	for _, kv := range ours {
		if !a.adopt(kv) {
			a.enqueueClaim(kv.Key[len(statekv.MachinePrefix):], *shard.ParseMachineRecord(kv), kv.Rev)
		}
	}
}

// machineClaim is a machine that is to be written into one of our shards.
type machineClaim struct {
	name        string
	key         shard.MachineRecord
	replacesRev uint64 // revision of the key that the claim replaces
	done        chan struct{}
}

// enqueueClaim queues a claim, at most one for each machine at a time. The channel is
// closed once it was tried; nil means that it cannot be queued.
func (a *Agent) enqueueClaim(name string, key shard.MachineRecord, seen uint64) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.claimsPending[name] || len(a.intakeShards) == 0 {
		return nil
	}
	k := a.intakeIndexOf(name, key.Zone)
	if key.Shard = a.intakeShards[k]; key.Shard == "" {
		a.missingIntake[k] = true // it comes again
		return nil
	}
	c := machineClaim{name: name, key: key, replacesRev: seen, done: make(chan struct{})}
	select {
	case a.claimQueue <- c:
		a.claimsPending[name] = true
		return c.done
	default:
		return nil
	}
}

// runClaims writes claims in groups, as many as one transaction may hold.
func (a *Agent) runClaims(ctx context.Context) {
	for {
		var batch []machineClaim
		select {
		case <-ctx.Done():
			return
		case c := <-a.claimQueue:
			batch = append(batch, c)
		}
		for len(batch) < a.store.TxnBatchSize(a.settings.StateLimits.MaxTxnOps) && len(a.claimQueue) > 0 {
			batch = append(batch, <-a.claimQueue)
		}
		// Meanwhile another controller may have claimed it, or taken the shard.
		shards := a.heldShards()
		open := slices.DeleteFunc(slices.Clone(batch), func(c machineClaim) bool {
			kv, _ := a.mirror.Get(statekv.MachinePrefix + c.name)
			return kv.Rev != c.replacesRev || shards[c.key.Shard] == 0
		})
		for len(open) > 0 && !a.store.Allow(statekv.ClassClaim, len(open)) && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
		a.writeClaims(ctx, open, shards)
		a.mu.Lock()
		for _, c := range batch {
			delete(a.claimsPending, c.name)
			close(c.done)
		}
		a.mu.Unlock()
	}
}

// writeClaims writes claims, leaving out those that others were faster with. A
// claim of ours whose answer was lost is taken up once the mirror shows it.
func (a *Agent) writeClaims(ctx context.Context, batch []machineClaim, shards map[string]uint64) {
	for len(batch) > 0 && ctx.Err() == nil {
		var when []statekv.Compare
		var then []statekv.Op
		for _, c := range batch {
			when = append(when, statekv.Compare{Key: statekv.MachinePrefix + c.name, Rev: c.replacesRev})
			if shard := (statekv.Compare{Key: statekv.MachineShardPrefix + c.key.Shard, Rev: shards[c.key.Shard]}); !slices.Contains(when, shard) {
				// Another may take the shard from this life: a machine put into
				// it then would have two owners with one token.
				when = append(when, shard)
			}
			was, _ := a.mirror.Get(statekv.MachinePrefix + c.name)
			then = append(then, statekv.Op{Set: statekv.MachinePrefix + c.name, Value: statekv.PreserveUnknown(was.Value, c.key)})
		}
		tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		rev, err := a.member.Write(tctx, when, then)
		cancel()
		if err == nil {
			for _, c := range batch {
				a.beginOwnership(c.name, &c.key, rev, rev, c.replacesRev != 0)
			}
			return
		}
		slog.Debug("machine claim failed", "machines", len(batch), "err", err)
		if errors.Is(err, statekv.ErrTooLarge) && len(batch) > 1 {
			a.writeClaims(ctx, batch[:len(batch)/2], shards)
			batch = batch[len(batch)/2:]
			continue
		}
		var conflict *statekv.ConflictError
		if !errors.As(err, &conflict) {
			return
		}
		left := slices.DeleteFunc(slices.Clone(batch), func(c machineClaim) bool {
			return slices.Contains(conflict.Failed, statekv.MachinePrefix+c.name) || slices.Contains(conflict.Failed, statekv.MachineShardPrefix+c.key.Shard)
		})
		if len(left) == len(batch) {
			return // our own condition failed: this life is over
		}
		batch = left
	}
}

// adopt looks after a machine that is ours by its key. It returns false for one
// that was given up under this very ownership: then its worker has seen a
// successor that the mirror does not show yet, or nobody knows what runs there,
// and only a claim, a write under a condition, can make it ours again.
func (a *Agent) adopt(kv statekv.KV) bool {
	key := shard.ParseMachineRecord(kv)
	holder, rev := shard.OwnerOf(a.mirror, kv)
	if key == nil || holder != a.member.Holder {
		return true
	}
	name := strings.TrimPrefix(kv.Key, statekv.MachinePrefix)
	a.mu.Lock()
	given := a.releasedRevs[name]
	a.mu.Unlock()
	if given >= rev {
		return false
	}
	a.beginOwnership(name, key, kv.Rev, rev, true)
	return true
}

// beginOwnership begins to look after a machine. keyRev is its key's revision, rev that of
// our ownership.
func (a *Agent) beginOwnership(name string, key *shard.MachineRecord, keyRev, rev uint64, takenOver bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machines[name] != nil {
		return
	}
	m := &machine{name: name, address: key.Address, typeName: key.Type, zone: key.Zone, spot: key.Spot, keyRev: keyRev, ownershipRev: rev,
		tasks: map[attemptKey]*task{}, images: map[string]time.Time{}, unattributedFailures: map[string]time.Time{}, attributedFailures: map[string]bool{},
		heartbeatAnswered: takenOver, lastHeartbeat: now, lastArrival: now, lastAnswerBound: now, wakeup: make(chan struct{}, 1), stopped: make(chan struct{})}
	if a.LastEntry != nil {
		known := a.LastEntry(name)
		for _, image := range known.Images {
			m.images[image] = now
		}
		// A frozen steward may yet delete what its owner had emptied for it.
		m.quarantined, m.draining = known.Faulty, known.Draining
		for _, id := range known.Blamed {
			m.attributedFailures[id] = true
		}
	}
	if takenOver {
		// The earlier owner may go on answering for its hold time.
		m.lastAnswerBound = now.Add(a.settings.LeaseGracePeriod())
		a.acknowledgedRev = max(a.acknowledgedRev, rev)
	}
	a.machines[name] = m
	m.capacityIndex, m.inspectionTurn = a.capacityIndex, hashOf(name)%inspectionTurns
	m.usageChanged()
	delete(a.releasedRevs, name)
	delete(a.tombstones, name)
	a.markChanged(m)
	go a.sendCommands(a.ctx, m)
	m.wake()
	if !takenOver {
		slog.Info(logline.MachineRegistered, "machine", name, "type", m.typeName, "zone", m.zone, "spot", m.spot)
	}
	slog.Debug("machine ownership acquired", "machine", name, "type", m.typeName, "zone", m.zone, "spot", m.spot, "revision", strconv.FormatUint(rev, 10), "taken_over", takenOver)
}
