package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/gofiber/fiber/v2"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

const (
	// cancellationTimeout leaves time to answer a user, who waits 5 s.
	cancellationTimeout = 3500 * time.Millisecond
	// cancellationAttempts bounds how often a cancellation whose job changed begins anew.
	cancellationAttempts = 4
)

// errCancelAgain says that a job changed while it was being cancelled, or that the outcome of the
// transaction is unknown: the job has to be looked at again.
var errCancelAgain = errors.New("the job has changed while it was being cancelled")

// cancel answers a user who cancels a job, which may be repeated at any time.
func (g *Gateway) cancel(c *fiber.Ctx) error {
	id := c.Params("id")
	if !job.ValidID(id) {
		return errNoSuchJob
	}
	ctx, cancel := context.WithTimeout(c.Context(), cancellationTimeout)
	defer cancel()
	began := time.Now()
	for range cancellationAttempts {
		final, err := g.tryCancel(ctx, id, began)
		if errors.Is(err, errCancelAgain) {
			continue
		}
		if err != nil {
			return err
		}
		g.tombstones.put(id, final)
		return c.JSON(fiber.Map{"id": id, "status": final.Status})
	}
	return errUndecided
}

// tryCancel returns the tombstone of a job: that of a finished one, or the one that it wrote to
// cancel it.
func (g *Gateway) tryCancel(ctx context.Context, id string, began time.Time) (tombstone.Tombstone, error) {
	if final, ok := g.CachedTombstone(id); ok {
		return final, nil
	}
	components := g.components.Load()
	if components == nil {
		return tombstone.Tombstone{}, errStarting
	}
	if components.isolated(time.Now()) {
		return tombstone.Tombstone{}, errIsolated
	}
	record, err := g.openRecord(ctx, id)
	if errors.Is(err, statekv.ErrNotFound) {
		return g.acknowledgeFinished(ctx, components, id)
	}
	if err != nil {
		return tombstone.Tombstone{}, errUndecided
	}
	final, rev, err := g.writeCancellation(ctx, components, id, record)
	if err != nil {
		return tombstone.Tombstone{}, err
	}
	components.notifyMachineOwners(ctx, id, rev)
	slog.Info("cancellation acknowledged", "job", id, "latency_ms", time.Since(began).Milliseconds())
	return final, nil
}

// acknowledgeFinished returns the tombstone of a job without an open record.
func (g *Gateway) acknowledgeFinished(
	ctx context.Context, components *Components, id string,
) (tombstone.Tombstone, error) {
	final, err := g.ReadTombstone(ctx, id)
	if errors.Is(err, statekv.ErrNotFound) {
		return final, errNoSuchJob
	}
	if err != nil {
		return final, errUndecided
	}
	if final.Status == job.Cancelled {
		// It may have been an earlier copy of our own transaction, of unknown revision.
		components.notifyMachineOwners(ctx, id, 0)
	}
	return final, nil
}

// writeCancellation replaces the open record of a job by a tombstone and returns that with the
// revision of the change.
func (g *Gateway) writeCancellation(
	ctx context.Context, components *Components, id string, record statekv.KV,
) (tombstone.Tombstone, uint64, error) {
	decoded, err := job.ParseRecord(record.Value)
	if err != nil {
		// A controller that can decode it can cancel it.
		components.Mirror.ReportUndecodable(record.Key, err)
		return tombstone.Tombstone{}, 0, errUndecided
	}
	tasks := decoded.Spec.Tasks
	final := tombstone.Tombstone{Status: job.Cancelled, Tasks: tasks}
	version, unchanged := components.ClusterVersion.Current()
	ops := append(
		[]statekv.Op{{Delete: job.RecordKey(id)}},
		tombstone.WriteOps(id, final, version.TombstoneFormats())...,
	)
	// What does not fit into the transaction is left to the garbage collector.
	free := g.store.MaxTxnOps(g.settings.StateLimits.MaxTxnOps) - len(ops)
	ops = append(ops, job.DeleteAuxiliaryOps(id, tasks, decoded.SpecFragments, free)...)
	compares := []statekv.Compare{{Key: job.RecordKey(id), Rev: record.Rev}, unchanged}
	rev, err := writeIdempotent(ctx, components.Session, compares, ops)
	switch {
	case err == nil:
		return final, rev, nil
	case statekv.IsConflict(err), errors.Is(err, statekv.ErrOutcomeUnknown):
		return tombstone.Tombstone{}, 0, errCancelAgain
	}
	return tombstone.Tombstone{}, 0, errUndecided
}
