package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/gofiber/fiber/v2"

	"robinstack/internal/rollout"
)

// rolloutCommandTimeout bounds the transactions of an operator's command.
const rolloutCommandTimeout = 4 * time.Second

// rolloutStatus tells operators how the roll-out stands.
func (g *Gateway) rolloutStatus(c *fiber.Ctx) error {
	components, err := g.sessionComponents()
	if err != nil {
		return err
	}
	return c.JSON(components.VersionGate.Status())
}

// executeRolloutCommand carries out an operator's command: 200 once it is done, 409 with what
// stands in its way, 503 where that is unknown.
func (g *Gateway) executeRolloutCommand(c *fiber.Ctx) error {
	components, err := g.sessionComponents()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), rolloutCommandTimeout)
	defer cancel()
	feature := rollout.Feature(c.Query("feature"))
	err = components.VersionGate.Execute(ctx, c.Params("verb"), feature, c.Query("why"))
	var blockedErr *rollout.BlockedError
	if errors.As(err, &blockedErr) {
		return err
	}
	if err != nil {
		return &requestError{unavailable, err.Error()}
	}
	return c.JSON(components.VersionGate.Status())
}
