package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/gofiber/fiber/v2"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// queryTimeout bounds the handling of a query. It leaves time to respond before the user's time-out
// of 2 s.
const queryTimeout = 1700 * time.Millisecond

// query handles a user's query for the status of a job.
func (g *Gateway) query(c *fiber.Ctx) error {
	id := c.Params("id")
	if !job.ValidID(id) {
		return errNoSuchJob
	}
	if final, ok := g.CachedTombstone(id); ok {
		return c.JSON(finalStatus(id, final))
	}
	if components := g.components.Load(); components != nil && components.isolated(time.Now()) {
		return errIsolated
	}
	// Queries that cannot be answered in time are rejected at once, because submissions,
	// cancellations and heartbeats need the CPU more.
	admitted, ok := g.admission.admit(id, time.Now())
	if !ok {
		g.rejectedQueries.Add(1)
		return &requestError{unavailable, "too many questions at the moment"}
	}
	answered := false
	defer func() { g.admission.release(admitted, answered, time.Now()) }()
	ctx, cancel := context.WithTimeout(c.Context(), queryTimeout)
	defer cancel()
	status, err := g.lookup(ctx, id)
	if errors.Is(err, statekv.ErrNotFound) {
		answered = true
		return errNoSuchJob
	}
	if err != nil {
		slog.Debug("job query outcome unknown", "job", id, "err", err)
		return &requestError{unavailable, "cannot be read now"}
	}
	answered = true
	return c.JSON(status)
}
