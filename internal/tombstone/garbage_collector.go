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

// GarbageCollector removes what is left beside the tombstone of a finished job: one
// transaction may not take all its keys, and who wrote it may have failed before the rest.
// It works while its controller is leader.
type GarbageCollector struct {
	Store interface {
		Store
		List(ctx context.Context, prefix, after string) (statekv.Page, error)
		Allow(class statekv.RequestClass, n int) bool
		MaxTxnOps(ops int) int
	}
	Mirror      *statekv.Mirror
	Session     *statekv.Session
	LeaderEpoch func() uint64 // revision of the leader's role while this controller has it, else 0
	TxnOps      int           // ops of one transaction by the settings
	Interval    time.Duration // between two collections
}

// Run collects until ctx ends.
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

// collect removes the keys under prefix whose jobs have no record. They are written with
// the record or after it, so that where there is none, none will come.
func (g *GarbageCollector) collect(ctx context.Context, prefix string) error {
	after := ""
	for {
		page, err := g.Store.List(ctx, prefix, after)
		if err != nil {
			return fmt.Errorf("listing: %w", err)
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

// collectKeys removes the orphans among some keys; allowed is false if the share of
// maintenance is used up: the next collection goes on.
func (g *GarbageCollector) collectKeys(
	ctx context.Context, prefix string, items []statekv.KV,
) (allowed bool, err error) {
	var batch orphans
	for i, kv := range items {
		id, _, _ := strings.Cut(kv.Key[len(prefix):], "/")
		if _, open := g.Mirror.Get(job.RecordKey(id)); !open {
			batch.add(id, kv.Key)
		}
		isFull := len(batch.ops) >= g.Store.MaxTxnOps(g.TxnOps)
		isLast := i == len(items)-1 && len(batch.ops) > 0
		if !isFull && !isLast {
			continue
		}
		if !g.Store.Allow(statekv.ClassMaintenance, len(batch.ops)) {
			return false, nil
		}
		if _, err := g.Session.Write(ctx, batch.compares, batch.ops); err != nil {
			return false, fmt.Errorf("removing %d keys: %w", len(batch.ops), err)
		}
		batch = orphans{}
	}
	return true, nil
}

// orphans are keys to be removed by one transaction, if their jobs have no record.
type orphans struct {
	compares []statekv.Compare
	ops      []statekv.Op
}

func (o *orphans) add(id, key string) {
	noRecord := statekv.Compare{Key: job.RecordKey(id)}
	// The keys of a job follow each other.
	if last := len(o.compares) - 1; last < 0 || o.compares[last] != noRecord {
		o.compares = append(o.compares, noRecord)
	}
	o.ops = append(o.ops, statekv.Op{Delete: key})
}
