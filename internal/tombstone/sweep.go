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

// GarbageCollector removes what is left beside the record of a job that is over: one transaction
// may not take all its keys, and who wrote it may have died before the rest. It works
// while its controller is steward.
type GarbageCollector struct {
	Store interface {
		Store
		List(ctx context.Context, prefix, after string) (statekv.Page, error)
		Allow(kind statekv.RequestClass, n int) bool
		MaxTxnOps(ops int) int
	}
	Mirror      *statekv.Mirror
	Member      *statekv.Session
	LeaderEpoch func() uint64
	TxnOps      int           // changes of one transaction
	Interval    time.Duration // between two looks
}

// Run sweeps until ctx ends.
func (s *GarbageCollector) Run(ctx context.Context) {
	tick := time.NewTicker(s.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.LeaderEpoch() == 0 {
			continue
		}
		for _, prefix := range []string{job.CompletedChunkPrefix, job.SpecFragmentPrefix} {
			if err := s.sweep(ctx, prefix); err != nil {
				slog.Debug("garbage collection of job state failed", "prefix", prefix, "err", err)
			}
		}
	}
}

// sweep removes the keys under prefix whose jobs have no open record. They are written
// with the record or after it, so that where there is none, none will come.
func (s *GarbageCollector) sweep(ctx context.Context, prefix string) error {
	for after, more := "", true; more; {
		page, err := s.Store.List(ctx, prefix, after)
		if err != nil {
			return fmt.Errorf("listing: %w", err)
		}
		if err := s.Mirror.Wait(ctx, page.Rev); err != nil {
			return err
		}
		var when []statekv.Compare
		var then []statekv.Op
		for k, kv := range page.Items {
			after = kv.Key
			id, _, _ := strings.Cut(kv.Key[len(prefix):], "/")
			if _, open := s.Mirror.Get(job.RecordKey(id)); !open {
				if c := (statekv.Compare{Key: job.RecordKey(id)}); len(when) == 0 || when[len(when)-1] != c {
					when = append(when, c)
				}
				then = append(then, statekv.Op{Delete: kv.Key})
			}
			if len(then) >= s.Store.MaxTxnOps(s.TxnOps) || k == len(page.Items)-1 && len(then) > 0 {
				if !s.Store.Allow(statekv.ClassMaintenance, len(then)) {
					return nil // the next look goes on
				}
				if _, err := s.Member.Write(ctx, when, then); err != nil {
					return fmt.Errorf("removing %d keys: %w", len(then), err)
				}
				when, then = nil, nil
			}
		}
		more = page.More && len(page.Items) > 0
	}
	return nil
}
