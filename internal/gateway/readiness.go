package gateway

import (
	"github.com/gofiber/fiber/v2"

	"robinstack/internal/recovery"
)

// ready answers the load balancer's probe. It says no while starting, and when this controller
// alone has lost the state service, or all other controllers with it: then it is rather this one
// that is cut off, with its workers or without. In an outage that others see too, being taken out
// would only lose the requests that need no state service, and seconds afterwards.
func (g *Gateway) ready(c *fiber.Ctx) error {
	components := g.components.Load()
	if components == nil || len(g.catalogue.Types()) == 0 {
		return &requestError{notReady, g.startupReason()}
	}
	if _, _, ok := components.Scheduler.OwnJobShard(); !ok {
		return &requestError{notReady, errStarting.reason}
	}
	if !components.Session.HoldsLease() {
		reached, served := components.Feed.PeerCounts(g.settings.Host)
		if served > 0 || reached == 0 && len(g.settings.Peers) > 0 {
			return &requestError{notReady, errIsolated.reason}
		}
	}
	components.RecoveryTimeline.Record(recovery.StepReady)
	return c.JSON(fiber.Map{"status": "ready"})
}
