package tombstone

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// GarbageCollector deletes the auxiliary keys that are left after a job has finished, because the
// transaction that writes the tombstone deletes only as many of them as it has room for. The
// collector is active only while its controller is leader.
type GarbageCollector struct {
	Store interface {
		Store
		List(ctx context.Context, prefix, after string) (statekv.Page, error)
		Allow(class statekv.RequestClass, n int) bool
		MaxTxnOps(ops int) int
	}
	Mirror      *statekv.Mirror
	Session     *statekv.Session
	LeaderEpoch func() uint64 // revision of the leader role while this controller holds it, else 0
	MaxTxnOps   int           // configured limit of operations per transaction
	Interval    time.Duration // between two collections
}

// Run collects garbage at every interval until ctx ends.
func (g *GarbageCollector) Run(ctx context.Context) {
	tick := time.NewTicker(g.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if g.LeaderEpoch() == 0 {
			continue
		}
		for _, prefix := range []string{job.CompletedChunkPrefix, job.SpecFragmentPrefix} {
			if err := g.collect(ctx, prefix); err != nil {
				slog.Debug("garbage collection of job state failed", "prefix", prefix, "err", err)
			}
		}
	}
}

// collect deletes the keys under prefix whose jobs have no record. Auxiliary keys are written in
// the same transaction as the record or later, so no more keys appear for a job without a record.
func (g *GarbageCollector) collect(ctx context.Context, prefix string) error {
	after := ""
	for {
		page, err := g.Store.List(ctx, prefix, after)
		if err != nil {
			return fmt.Errorf("listing keys: %w", err)
		}
		if err := g.Mirror.Wait(ctx, page.Rev); err != nil {
			return err
		}
		allowed, err := g.collectKeys(ctx, prefix, page.Items)
		if err != nil || !allowed || !page.More || len(page.Items) == 0 {
			return err
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// collectKeys deletes those of the given keys whose jobs have no record. allowed is false if the
// write share of maintenance is used up. The remaining keys are then left to the next collection.
func (g *GarbageCollector) collectKeys(
	ctx context.Context, prefix string, items []statekv.KV,
) (allowed bool, err error) {
	var batch orphanBatch
	for i, kv := range items {
		id, _, _ := strings.Cut(kv.Key[len(prefix):], "/")
		if _, hasRecord := g.Mirror.Get(job.RecordKey(id)); !hasRecord {
			batch.add(id, kv.Key)
		}
		isFull := len(batch.ops) >= g.Store.MaxTxnOps(g.MaxTxnOps)
		isLast := i == len(items)-1 && len(batch.ops) > 0
		if !isFull && !isLast {
			continue
		}
		if !g.Store.Allow(statekv.ClassMaintenance, len(batch.ops)) {
			return false, nil
		}
		if _, err := g.Session.Write(ctx, batch.compares, batch.ops); err != nil {
			return false, fmt.Errorf("deleting %d keys: %w", len(batch.ops), err)
		}
		batch = orphanBatch{}
	}
	return true, nil
}

// orphanBatch holds keys that are deleted by one transaction, on condition that their jobs have no
// record.
type orphanBatch struct {
	compares []statekv.Compare
	ops      []statekv.Op
}

func (o *orphanBatch) add(id, key string) {
	noRecord := statekv.Compare{Key: job.RecordKey(id)}
	// The keys are sorted, so that all keys of a job are adjacent.
	if lastIndex := len(o.compares) - 1; lastIndex < 0 || o.compares[lastIndex] != noRecord {
		o.compares = append(o.compares, noRecord)
	}
	o.ops = append(o.ops, statekv.Op{Delete: key})
}
