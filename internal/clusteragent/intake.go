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

// chooseIntakeShards picks, for each place in the list of intake shards, a shard held that
// takes new machines: the one that did, else one of the same place that was taken
// over, so that there are no more shards after many failures than before. Where
// there is none it makes one, which it adds to held; places for which that failed stay empty
// until the next time. It returns the latest revision among all held.
func (a *Agent) chooseIntakeShards(
	ctx context.Context, held map[string]heldShard,
) (intake []string, latest uint64) {
	a.mu.Lock()
	intake = slices.Clone(a.shards.intake)
	a.mu.Unlock()
	if intake == nil {
		intake = make([]string, a.zones.intakeShards())
	}
	created := a.fillIntake(intake, held)
	a.createShards(ctx, intake, created, held)
	for _, h := range held {
		latest = max(latest, h.rev)
	}
	return intake, latest
}

// fillIntake fills the empty places of the intake list from the shards held, and with names
// of new ones, whose places it returns: as many as one transaction may create.
func (a *Agent) fillIntake(intake []string, held map[string]heldShard) (created []int) {
	places := a.zones.intakeShards()
	ids := slices.Sorted(maps.Keys(held))
	for k := range intake {
		if _, ok := held[intake[k]]; ok {
			continue
		}
		intake[k] = ""
		if !a.needsIntakeShard(k) || len(created) >= a.store.MaxTxnOps(a.settings.StateLimits.MaxTxnOps) {
			continue
		}
		at := slices.IndexFunc(ids, func(id string) bool { return held[id].index%places == k })
		if at >= 0 {
			intake[k] = ids[at]
			continue
		}
		intake[k] = a.newShardID(k)
		created = append(created, k)
	}
	return created
}

// createShards writes the keys of the new shards at the given places of the intake list and
// adds them to held, or empties the places.
func (a *Agent) createShards(ctx context.Context, intake []string, places []int, held map[string]heldShard) {
	if len(places) == 0 {
		return
	}
	var when []statekv.Compare
	var then []statekv.Op
	for _, k := range places {
		key, value := statekv.MachineShardPrefix+intake[k], shard.Record{Holder: a.session.Holder, Index: k}
		// Once only: a copy applied late must not raise the revision of a
		// shard that has machines by then.
		when = append(when, statekv.Compare{Key: key})
		then = append(then, statekv.Op{Set: key, Value: value})
	}
	tctx, cancel := context.WithTimeout(ctx, shardWriteTimeout)
	defer cancel()
	rev, err := a.session.Write(tctx, when, then)
	if err != nil {
		// What was taken over must not wait for this.
		slog.Debug("machine shard creation failed", "err", err)
		for _, k := range places {
			intake[k] = "" // if it was made after all, the mirror will show it
		}
		return
	}
	for _, k := range places {
		held[intake[k]] = heldShard{rev, k}
	}
}

// needsIntakeShard reports whether new machines of place k's zone come here: those of
// this controller's own zone, and of others once one has come.
func (a *Agent) needsIntakeShard(k int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.settings.Zone
	return a.shards.missing[k] || a.zones.ofShard(k) == own || !slices.Contains(a.settings.Zones, own)
}

// newShardID names a shard for place k that this session has not made yet: one that
// was taken from it keeps its name.
func (a *Agent) newShardID(k int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		id := fmt.Sprintf("%s.%d.%d.%d", a.session.Host, a.session.Incarnation, a.shards.generations[k], k)
		if _, exists := a.mirror.Get(statekv.MachineShardPrefix + id); !exists {
			return id
		}
		a.shards.generations[k]++
	}
}
