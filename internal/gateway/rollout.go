package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/gofiber/fiber/v2"

	"robinstack/internal/rollout"
)

// rollout tells how the roll-out stands.
func (g *Gateway) rollout(c *fiber.Ctx) error {
	l := g.life.Load()
	if l == nil {
		return later(c, g.startingWhy())
	}
	return c.JSON(l.VersionGate.Status())
}

// rolloutDo carries out the command of a person: 200 once it is done, 409 with what
// stands in its way, 503 where nobody can tell.
func (g *Gateway) rolloutDo(c *fiber.Ctx) error {
	l := g.life.Load()
	if l == nil {
		return later(c, g.startingWhy())
	}
	ctx, cancel := context.WithTimeout(c.Context(), 4*time.Second)
	defer cancel()
	err := l.VersionGate.Execute(ctx, c.Params("verb"), rollout.Feature(c.Query("feature")), c.Query("why"))
	var stuck *rollout.BlockedError
	switch {
	case errors.As(err, &stuck):
		return fail(c, fiber.StatusConflict, stuck.Reason)
	case err != nil:
		return later(c, err.Error())
	}
	return c.JSON(l.VersionGate.Status())
}

// SetNotReadyReason says why this controller has no life, for those who ask meanwhile.
func (g *Gateway) SetNotReadyReason(why string) { g.noLife.Store(&why) }

func (g *Gateway) startingWhy() string {
	if why := g.noLife.Load(); why != nil && *why != "" {
		return *why
	}
	return "starting"
}
