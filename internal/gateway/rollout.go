package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/gofiber/fiber/v2"

	"robinstack/internal/rollout"
)

// rolloutStatus tells how the roll-out stands.
func (g *Gateway) rolloutStatus(c *fiber.Ctx) error {
	l := g.components.Load()
	if l == nil {
		return respondRetryLater(c, g.startupReason())
	}
	return c.JSON(l.VersionGate.Status())
}

// executeRolloutCommand carries out the command of a person: 200 once it is done, 409 with what
// stands in its way, 503 where nobody can tell.
func (g *Gateway) executeRolloutCommand(c *fiber.Ctx) error {
	l := g.components.Load()
	if l == nil {
		return respondRetryLater(c, g.startupReason())
	}
	ctx, cancel := context.WithTimeout(c.Context(), 4*time.Second)
	defer cancel()
	err := l.VersionGate.Execute(ctx, c.Params("verb"), rollout.Feature(c.Query("feature")), c.Query("why"))
	var stuck *rollout.BlockedError
	switch {
	case errors.As(err, &stuck):
		return respondError(c, fiber.StatusConflict, stuck.Reason)
	case err != nil:
		return respondRetryLater(c, err.Error())
	}
	return c.JSON(l.VersionGate.Status())
}

// SetNotReadyReason says why this controller has no life, for those who ask meanwhile.
func (g *Gateway) SetNotReadyReason(why string) { g.notReadyReason.Store(&why) }

func (g *Gateway) startupReason() string {
	if why := g.notReadyReason.Load(); why != nil && *why != "" {
		return *why
	}
	return "starting"
}
