package gateway

import (
	"github.com/gofiber/fiber/v2"

	"robinstack/internal/recovery"
)

// ready answers the load balancer's probe. A controller is not ready while it starts. Without the
// state service it is not ready either if another controller reaches the state service, or if no
// other controller can be reached: in both cases this controller is probably the isolated one,
// whether or not its workers reach it. In an outage that all controllers see, it stays ready:
// removing it from the load balancer would only lose the requests that need no state service, and
// all requests for some seconds after the outage.
func (g *Gateway) ready(c *fiber.Ctx) error {
	components := g.components.Load()
	if components == nil || len(g.catalogue.Types()) == 0 {
		return &requestError{notReady, g.noSessionReason()}
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
