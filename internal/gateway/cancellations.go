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
	// cancellationTimeout bounds the handling of a cancellation. It leaves time to respond before
	// the user's time-out of 5 s.
	cancellationTimeout = 3500 * time.Millisecond
	// maxCancellationAttempts bounds the attempts of one cancellation; see errRetryCancellation.
	maxCancellationAttempts = 4
)

// errRetryCancellation reports that a job changed during its cancellation, or that the outcome of
// the transaction is unknown: the cancellation must be tried again on the current record.
var errRetryCancellation = errors.New("job changed during its cancellation, or outcome of the transaction unknown")

// cancel handles the cancellation of a job. Cancellations are idempotent.
func (g *Gateway) cancel(c *fiber.Ctx) error {
	id := c.Params("id")
	if !job.ValidID(id) {
		return errNoSuchJob
	}
	ctx, cancel := context.WithTimeout(c.Context(), cancellationTimeout)
	defer cancel()
	start := time.Now()
	for range maxCancellationAttempts {
		final, err := g.tryCancel(ctx, id, start)
		if errors.Is(err, errRetryCancellation) {
			continue
		}
		if err != nil {
			return err
		}
		g.tombstones.put(id, final)
		return c.JSON(fiber.Map{"id": id, "status": final.Status})
	}
	return errOutcomeUnknown
}

// tryCancel returns the tombstone of a job: the existing one if the job has finished, or the one
// that it writes to cancel the job.
func (g *Gateway) tryCancel(ctx context.Context, id string, start time.Time) (tombstone.Tombstone, error) {
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
		return tombstone.Tombstone{}, errOutcomeUnknown
	}
	final, rev, err := g.writeCancellation(ctx, components, id, record)
	if err != nil {
		return tombstone.Tombstone{}, err
	}
	components.notifyMachineOwners(ctx, id, rev)
	slog.Info("cancellation acknowledged", "job", id, "latency_ms", time.Since(start).Milliseconds())
	return final, nil
}

// acknowledgeFinished returns the tombstone of a job that has no open record. If the job was
// cancelled, it notifies the machine owners first.
func (g *Gateway) acknowledgeFinished(
	ctx context.Context, components *Components, id string,
) (tombstone.Tombstone, error) {
	final, err := g.ReadTombstone(ctx, id)
	if errors.Is(err, statekv.ErrNotFound) {
		return final, errNoSuchJob
	}
	if err != nil {
		return final, errOutcomeUnknown
	}
	if final.Status == job.Cancelled {
		// A copy of this gateway's own transaction that was sent earlier may have written the
		// tombstone, at an unknown revision.
		components.notifyMachineOwners(ctx, id, 0)
	}
	return final, nil
}

// writeCancellation replaces the open record of a job with a tombstone. It returns the tombstone
// and the revision of the transaction.
func (g *Gateway) writeCancellation(
	ctx context.Context, components *Components, id string, record statekv.KV,
) (tombstone.Tombstone, uint64, error) {
	decoded, err := job.ParseRecord(record.Value)
	if err != nil {
		// A controller whose build can decode the record can still cancel the job.
		components.Mirror.ReportUndecodable(record.Key, err)
		return tombstone.Tombstone{}, 0, errOutcomeUnknown
	}
	tasks := decoded.Spec.Tasks
	final := tombstone.Tombstone{Status: job.Cancelled, Tasks: tasks}
	version, versionUnchanged := components.ClusterVersion.Current()
	ops := append(
		[]statekv.Op{{Delete: job.RecordKey(id)}},
		tombstone.WriteOps(id, final, version.TombstoneFormats())...,
	)
	// Auxiliary keys that do not fit into the transaction are left to the garbage collector.
	remainingOps := g.store.MaxTxnOps(g.settings.StateLimits.MaxTxnOps) - len(ops)
	ops = append(ops, job.DeleteAuxiliaryOps(id, tasks, decoded.SpecFragments, remainingOps)...)
	compares := []statekv.Compare{{Key: job.RecordKey(id), Rev: record.Rev}, versionUnchanged}
	rev, err := writeIdempotent(ctx, components.Session, compares, ops)
	switch {
	case err == nil:
		return final, rev, nil
	case statekv.IsConflict(err), errors.Is(err, statekv.ErrOutcomeUnknown):
		return tombstone.Tombstone{}, 0, errRetryCancellation
	}
	return tombstone.Tombstone{}, 0, errOutcomeUnknown
}
