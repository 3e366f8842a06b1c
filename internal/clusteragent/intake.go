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

// chooseIntakeShards selects, for each intake index, a held shard that takes new machines: the
// present one, else one with the same index that was taken over, so that repeated failovers do not
// increase the number of shards. Where there is none, it creates a shard and adds it to held. An
// index for which that fails stays empty until the next pass. latestRev is the highest revision of
// the held shards.
func (a *Agent) chooseIntakeShards(
	ctx context.Context, held map[string]heldShard,
) (intake []string, latestRev uint64) {
	a.mu.Lock()
	intake = slices.Clone(a.shards.intake)
	a.mu.Unlock()
	if intake == nil {
		intake = make([]string, a.zones.intakeShardCount())
	}
	toCreate := a.assignIntakeShards(intake, held)
	a.createIntakeShards(ctx, intake, toCreate, held)
	for _, h := range held {
		latestRev = max(latestRev, h.rev)
	}
	return intake, latestRev
}

// assignIntakeShards fills the empty intake indexes with held shards, and otherwise with the ids of
// shards to create. It returns the indexes of the latter, at most as many as one transaction may
// create.
func (a *Agent) assignIntakeShards(intake []string, held map[string]heldShard) (toCreate []int) {
	intakeCount := a.zones.intakeShardCount()
	ids := slices.Sorted(maps.Keys(held))
	for index := range intake {
		if _, ok := held[intake[index]]; ok {
			continue
		}
		intake[index] = ""
		if !a.needsIntakeShard(index) || len(toCreate) >= a.store.MaxTxnOps(a.settings.StateLimits.MaxTxnOps) {
			continue
		}
		position := slices.IndexFunc(ids, func(id string) bool { return held[id].index%intakeCount == index })
		if position >= 0 {
			intake[index] = ids[position]
			continue
		}
		intake[index] = a.newShardID(index)
		toCreate = append(toCreate, index)
	}
	return toCreate
}

// createIntakeShards writes the keys of the new shards at the given intake indexes and adds the
// shards to held. If the write fails, it empties these indexes.
func (a *Agent) createIntakeShards(ctx context.Context, intake []string, indexes []int, held map[string]heldShard) {
	if len(indexes) == 0 {
		return
	}
	var compares []statekv.Compare
	var ops []statekv.Op
	for _, index := range indexes {
		key, value := statekv.MachineShardPrefix+intake[index], shard.Record{Holder: a.session.Holder, Index: index}
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
			intake[index] = "" // if the write was applied after all, the mirror will show the shard
		}
		return
	}
	for _, index := range indexes {
		held[intake[index]] = heldShard{rev, index}
	}
}

// needsIntakeShard reports whether this controller takes new machines of the zone of an intake
// index: its own zone, a zone of which a machine was to be claimed here before, or any zone if its
// own is not among the configured zones.
func (a *Agent) needsIntakeShard(index int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	zone := a.settings.Zone
	return a.shards.missingIntake[index] || a.zones.zoneOfShard(index) == zone ||
		!slices.Contains(a.settings.Zones, zone)
}

// newShardID returns an unused id for a shard with the given intake index. A shard that another
// controller took from this session keeps its id.
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
