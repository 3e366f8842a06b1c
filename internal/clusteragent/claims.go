package clusteragent

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

const (
	// maxQueuedClaims bounds the queued claims. Workers whose claim does not fit send another
	// heartbeat.
	maxQueuedClaims = 256
	// claimTimeout bounds the transaction that writes a batch of claims.
	claimTimeout = 2 * time.Second
	// claimBudgetPollInterval is the time between two checks of the state service's write budget.
	claimBudgetPollInterval = 50 * time.Millisecond
)

// machineClaim is a request to write a machine's key into one of this controller's machine shards.
type machineClaim struct {
	name        string
	key         shard.MachineRecord
	replacesRev uint64 // revision of the key that the claim replaces; 0: the machine has no key
	done        chan struct{}
}

// acquisition returns how the claim acquires the machine: claiming a machine that already has a key
// is a takeover.
func (c *machineClaim) acquisition() acquisition {
	if c.replacesRev == 0 {
		return registered
	}
	return takenOver
}

// claimQueue holds the claims that wait to be written. Agent.mu guards pending.
type claimQueue struct {
	queue   chan machineClaim
	pending map[string]bool // machines whose claims are queued or being written
}

func newClaimQueue() claimQueue {
	return claimQueue{queue: make(chan machineClaim, maxQueuedClaims), pending: map[string]bool{}}
}

// enqueueClaim queues a claim, at most one per machine at a time. The returned channel is closed
// after the attempt to write the claim; it is nil if the claim could not be queued. a.mu must not
// be held.
func (a *Agent) enqueueClaim(name string, key shard.MachineRecord, replacesRev uint64) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.claims.pending[name] || len(a.shards.registration) == 0 {
		return nil
	}
	index := a.zones.registrationIndex(name, key.Zone, len(a.shards.registration))
	if key.Shard = a.shards.registration[index]; key.Shard == "" {
		a.shards.missingRegistration[index] = true // the claim is repeated by a later heartbeat or reconcileOwnership
		return nil
	}
	c := machineClaim{name: name, key: key, replacesRev: replacesRev, done: make(chan struct{})}
	select {
	case a.claims.queue <- c:
		a.claims.pending[name] = true
		return c.done
	default:
		return nil
	}
}

// heldShards returns the machine shards that this session owns, with the revisions of their keys.
func (a *Agent) heldShards() map[string]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shards.revs
}

// runClaims writes queued claims in batches that fit into one transaction.
func (a *Agent) runClaims(ctx context.Context) {
	for {
		var batch []machineClaim
		select {
		case <-ctx.Done():
			return
		case c := <-a.claims.queue:
			batch = append(batch, c)
		}
		for len(batch) < a.store.TxnBatchSize(a.settings.StateLimits.MaxTxnOps) && len(a.claims.queue) > 0 {
			batch = append(batch, <-a.claims.queue)
		}
		// While a claim was queued, another controller may have claimed the machine or taken the
		// shard.
		shards := a.heldShards()
		current := slices.DeleteFunc(slices.Clone(batch), func(c machineClaim) bool {
			kv, _ := a.mirror.Get(statekv.MachinePrefix + c.name)
			return kv.Rev != c.replacesRev || shards[c.key.Shard] == 0
		})
		for len(current) > 0 && !a.store.Allow(statekv.ClassClaim, len(current)) && ctx.Err() == nil {
			time.Sleep(claimBudgetPollInterval)
		}
		a.writeClaims(ctx, current, shards)
		a.completeClaims(batch)
	}
}

// completeClaims marks claims as no longer pending after the attempt to write them, and wakes the
// heartbeats that wait for them.
func (a *Agent) completeClaims(batch []machineClaim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range batch {
		delete(a.claims.pending, c.name)
		close(c.done)
	}
}

// writeClaims writes claims, except those that conflict with a write of another controller. If the
// reply to a write was lost, its machines are adopted once the mirror shows the claims.
func (a *Agent) writeClaims(ctx context.Context, batch []machineClaim, shards map[string]uint64) {
	for len(batch) > 0 && ctx.Err() == nil {
		rev, err := a.writeClaimBatch(ctx, batch, shards)
		if err == nil {
			for _, c := range batch {
				a.beginOwnership(c.name, &c.key, rev, rev, c.acquisition())
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
		remaining := withoutConflicts(batch, conflict.Failed)
		if len(remaining) == len(batch) {
			return // the compare on the session's own key failed: the session has ended
		}
		batch = remaining
	}
}

// writeClaimBatch writes claims in a single transaction.
func (a *Agent) writeClaimBatch(
	ctx context.Context, batch []machineClaim, shards map[string]uint64,
) (rev uint64, err error) {
	var compares []statekv.Compare
	var ops []statekv.Op
	for _, c := range batch {
		key := statekv.MachinePrefix + c.name
		compares = append(compares, statekv.Compare{Key: key, Rev: c.replacesRev})
		shardCompare := statekv.Compare{Key: statekv.MachineShardPrefix + c.key.Shard, Rev: shards[c.key.Shard]}
		if !slices.Contains(compares, shardCompare) {
			// Another controller may take the shard from this session. A machine claimed into the
			// shard after that would have two owners with the same fencing token.
			compares = append(compares, shardCompare)
		}
		previous, _ := a.mirror.Get(key)
		ops = append(ops, statekv.Op{Set: key, Value: statekv.PreserveUnknownFields(previous.Value, c.key)})
	}
	txnCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return a.session.Write(txnCtx, compares, ops)
}

// withoutConflicts returns the claims whose machine and shard keys are not among the failed keys.
func withoutConflicts(batch []machineClaim, failed []string) []machineClaim {
	return slices.DeleteFunc(slices.Clone(batch), func(c machineClaim) bool {
		return slices.Contains(failed, statekv.MachinePrefix+c.name) ||
			slices.Contains(failed, statekv.MachineShardPrefix+c.key.Shard)
	})
}
