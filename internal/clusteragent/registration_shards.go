package clusteragent

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// chooseRegistrationShards selects the registration shards, into which newly registered machines
// are placed. For each registration index it selects the present shard, else a held one with the
// same index that was taken over, so that repeated failovers do not increase the number of shards.
// Where there is none, it creates a shard and adds it to held. An index for which that fails stays
// empty until the next pass. latestRev is the highest revision of the held shards.
func (a *Agent) chooseRegistrationShards(
	ctx context.Context, held map[string]heldShard,
) (shardIDs []string, latestRev uint64) {
	a.mu.Lock()
	shardIDs = slices.Clone(a.shards.registration)
	a.mu.Unlock()
	if shardIDs == nil {
		shardIDs = make([]string, a.zones.registrationShardCount())
	}
	toCreate := a.assignRegistrationShards(shardIDs, held)
	a.createRegistrationShards(ctx, shardIDs, toCreate, held)
	for _, h := range held {
		latestRev = max(latestRev, h.rev)
	}
	return shardIDs, latestRev
}

// assignRegistrationShards fills each empty registration index with a held shard or, if there is
// none for the index, with the id of a shard to create. It returns the indexes whose shards have to
// be created, at most as many as one transaction may create.
func (a *Agent) assignRegistrationShards(shardIDs []string, held map[string]heldShard) (toCreate []int) {
	shardCount := a.zones.registrationShardCount()
	ids := slices.Sorted(maps.Keys(held))
	for index := range shardIDs {
		if _, ok := held[shardIDs[index]]; ok {
			continue
		}
		shardIDs[index] = ""
		if !a.needsRegistrationShard(index) || len(toCreate) >= a.store.MaxTxnOps(a.settings.StateLimits.MaxTxnOps) {
			continue
		}
		position := slices.IndexFunc(ids, func(id string) bool { return held[id].index%shardCount == index })
		if position >= 0 {
			shardIDs[index] = ids[position]
			continue
		}
		shardIDs[index] = a.newShardID(index)
		toCreate = append(toCreate, index)
	}
	return toCreate
}

// createRegistrationShards writes the keys of the new shards at the given registration indexes and
// adds the shards to held. If the write fails, it empties these indexes.
func (a *Agent) createRegistrationShards(
	ctx context.Context, shardIDs []string, indexes []int, held map[string]heldShard,
) {
	if len(indexes) == 0 {
		return
	}
	var compares []statekv.Compare
	var ops []statekv.Op
	for _, index := range indexes {
		key, value := statekv.MachineShardPrefix+shardIDs[index], shard.Record{Holder: a.session.Holder, Index: index}
		// The key must not exist yet: a duplicate request that is applied late must not raise the
		// revision of a shard that has machines by then.
		compares = append(compares, statekv.Compare{Key: key})
		ops = append(ops, statekv.Op{Set: key, Value: value})
	}
	txnCtx, cancel := context.WithTimeout(ctx, shardWriteTimeout)
	defer cancel()
	rev, err := a.session.Write(txnCtx, compares, ops)
	if err != nil {
		// Not returned as an error: machines that were taken over must not wait for new shards.
		slog.Debug("machine shard creation failed", "err", err)
		for _, index := range indexes {
			shardIDs[index] = "" // if the write was applied after all, the mirror will show the shard
		}
		return
	}
	for _, index := range indexes {
		held[shardIDs[index]] = heldShard{rev, index}
	}
}

// needsRegistrationShard reports whether this controller takes new machines of the zone of a
// registration index: its own zone, a zone whose machine could not be claimed here because the
// index had no shard, or any zone if its own is not among the configured zones.
func (a *Agent) needsRegistrationShard(index int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	zone := a.settings.Zone
	return a.shards.missingRegistration[index] || a.zones.zoneOfShard(index) == zone ||
		!slices.Contains(a.settings.Zones, zone)
}

// newShardID returns an unused id for a shard with the given registration index. A shard that
// another controller took from this session keeps its id.
func (a *Agent) newShardID(index int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		id := fmt.Sprintf("%s.%d.%d.%d", a.session.Host, a.session.Incarnation, a.shards.idGenerations[index], index)
		if _, exists := a.mirror.Get(statekv.MachineShardPrefix + id); !exists {
			return id
		}
		a.shards.idGenerations[index]++
	}
}
