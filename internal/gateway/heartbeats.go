package gateway

import (
	"github.com/gofiber/fiber/v2"
	"github.com/segmentio/encoding/json"

	"robinstack/internal/worker"
)

// heartbeat handles a worker's heartbeat. The owner of the machine responds with commands, any
// other controller with the host that the worker should report to, if known.
func (g *Gateway) heartbeat(c *fiber.Ctx) error {
	var heartbeat worker.Heartbeat
	err := json.Unmarshal(c.Body(), &heartbeat)
	if err != nil || heartbeat.Machine == "" || heartbeat.Address == "" {
		return &requestError{malformed, "malformed report"}
	}
	components := g.components.Load()
	if components == nil {
		return errStarting
	}
	reply := components.Agent.Heartbeat(c.Context(), &heartbeat)
	switch {
	case reply.Malformed != "":
		return &requestError{malformed, reply.Malformed}
	case reply.Accepted:
		if reply.Answer.Commands == nil {
			reply.Answer.Commands = []worker.Command{}
		}
		return c.JSON(reply.Answer)
	case reply.RedirectTo != "":
		return c.Status(fiber.StatusMisdirectedRequest).JSON(fiber.Map{"home": reply.RedirectTo})
	}
	return &requestError{unavailable, "not the owner of this machine"}
}
