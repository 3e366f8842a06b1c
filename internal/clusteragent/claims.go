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
	// maxQueuedClaims bounds the claims that wait; the workers of others come again.
	maxQueuedClaims = 256
	// claimTimeout is how long writing claims may take.
	claimTimeout = 2 * time.Second
	// claimRetryEvery is how often the state service's budget is asked again.
	claimRetryEvery = 50 * time.Millisecond
)

// machineClaim is a machine that is to be written into one of our shards.
type machineClaim struct {
	name        string
	key         shard.MachineRecord
	replacesRev uint64 // revision of the key that the claim replaces
	done        chan struct{}
}

// acquisition is how the machine came here: the claim of a machine that has a key already takes
// it over.
func (c *machineClaim) acquisition() acquisition {
	if c.replacesRev == 0 {
		return registered
	}
	return takenOver
}

// claimQueue is the claims that wait to be written. The agent's mutex guards pending.
type claimQueue struct {
	queue   chan machineClaim
	pending map[string]bool // machines in the queue
}

func newClaimQueue() claimQueue {
	return claimQueue{queue: make(chan machineClaim, maxQueuedClaims), pending: map[string]bool{}}
}

// enqueueClaim queues a claim, at most one for each machine at a time. The channel is
// closed once it was tried; nil means that it cannot be queued.
func (a *Agent) enqueueClaim(name string, key shard.MachineRecord, replacesRev uint64) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.claims.pending[name] || len(a.shards.intake) == 0 {
		return nil
	}
	k := a.zones.intakeIndex(name, key.Zone, len(a.shards.intake))
	if key.Shard = a.shards.intake[k]; key.Shard == "" {
		a.shards.missing[k] = true // it comes again
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

// heldShards returns the shards held, with their keys' revisions.
func (a *Agent) heldShards() map[string]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shards.revs
}

// runClaims writes claims in groups, as many as one transaction may hold.
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
		// Meanwhile another controller may have claimed it, or taken the shard.
		shards := a.heldShards()
		open := slices.DeleteFunc(slices.Clone(batch), func(c machineClaim) bool {
			kv, _ := a.mirror.Get(statekv.MachinePrefix + c.name)
			return kv.Rev != c.replacesRev || shards[c.key.Shard] == 0
		})
		for len(open) > 0 && !a.store.Allow(statekv.ClassClaim, len(open)) && ctx.Err() == nil {
			time.Sleep(claimRetryEvery)
		}
		a.writeClaims(ctx, open, shards)
		a.endClaims(batch)
	}
}

// endClaims tells those who wait for claims that they were tried.
func (a *Agent) endClaims(batch []machineClaim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range batch {
		delete(a.claims.pending, c.name)
		close(c.done)
	}
}

// writeClaims writes claims, leaving out those that others were faster with. A
// claim of ours whose answer was lost is taken up once the mirror shows it.
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
		left := withoutConflicts(batch, conflict.Failed)
		if len(left) == len(batch) {
			return // our own condition failed: this session is over
		}
		batch = left
	}
}

// writeClaimBatch writes claims with one transaction.
func (a *Agent) writeClaimBatch(
	ctx context.Context, batch []machineClaim, shards map[string]uint64,
) (rev uint64, err error) {
	var when []statekv.Compare
	var then []statekv.Op
	for _, c := range batch {
		key := statekv.MachinePrefix + c.name
		when = append(when, statekv.Compare{Key: key, Rev: c.replacesRev})
		held := statekv.Compare{Key: statekv.MachineShardPrefix + c.key.Shard, Rev: shards[c.key.Shard]}
		if !slices.Contains(when, held) {
			// Another may take the shard from this session: a machine put into
			// it then would have two owners with one token.
			when = append(when, held)
		}
		was, _ := a.mirror.Get(key)
		then = append(then, statekv.Op{Set: key, Value: statekv.PreserveUnknown(was.Value, c.key)})
	}
	tctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return a.session.Write(tctx, when, then)
}

// withoutConflicts keeps the claims that have none of the failed keys.
func withoutConflicts(batch []machineClaim, failed []string) []machineClaim {
	return slices.DeleteFunc(slices.Clone(batch), func(c machineClaim) bool {
		return slices.Contains(failed, statekv.MachinePrefix+c.name) ||
			slices.Contains(failed, statekv.MachineShardPrefix+c.key.Shard)
	})
}
