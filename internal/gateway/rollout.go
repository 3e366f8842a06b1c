package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/gofiber/fiber/v2"

	"robinstack/internal/rollout"
)

// rolloutCommandTimeout bounds the transactions of one rollout command.
const rolloutCommandTimeout = 4 * time.Second

// rolloutStatus returns the status of the rollout to operators.
func (g *Gateway) rolloutStatus(c *fiber.Ctx) error {
	components, err := g.sessionComponents()
	if err != nil {
		return err
	}
	return c.JSON(components.VersionGate.Status())
}

// executeRolloutCommand executes an operator's command: 200 once it is done, 409 with the reason if
// it is blocked, 503 if the outcome is unknown or there is no session.
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
