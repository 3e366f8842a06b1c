package gateway

import (
	"errors"

	"github.com/gofiber/fiber/v2"

	"robinstack/internal/rollout"
)

// errorKind says what a client can make of an error; each kind has one status code.
type errorKind int

const (
	// malformed is a request that no repetition can mend.
	malformed errorKind = iota
	// unschedulable is a submission that can never run.
	unschedulable
	// notFound is a job that was never accepted.
	notFound
	// blocked is an operator's command that something stands in the way of.
	blocked
	// unavailable is what cannot be decided now; the answer says when to come back.
	unavailable
	// busyHere is unavailable for what another controller may take sooner: the connection is
	// closed, so that the load balancer chooses anew, and by the number of connections, where the
	// user's next try goes. Users that came while few controllers were ready stayed with those.
	busyHere
	// notReady is the answer to a probe of readiness, which comes back by itself.
	notReady
)

// status returns the status code of a kind.
func (k errorKind) status() int {
	switch k {
	case malformed:
		return fiber.StatusBadRequest
	case unschedulable:
		return fiber.StatusUnprocessableEntity
	case notFound:
		return fiber.StatusNotFound
	case blocked:
		return fiber.StatusConflict
	case unavailable, busyHere, notReady:
		return fiber.StatusServiceUnavailable
	}
	return fiber.StatusInternalServerError
}

// requestError is an error as the client sees it.
type requestError struct {
	kind   errorKind
	reason string
}

func (e *requestError) Error() string { return e.reason }

// permanent reports whether the client will not try again.
func (e *requestError) permanent() bool { return e.kind == malformed || e.kind == unschedulable }

// Errors that several handlers return.
var (
	errNoSuchJob = &requestError{notFound, "no such job"}
	errStarting  = &requestError{unavailable, "starting"}
	errIsolated  = &requestError{unavailable, "cut off from the state service"}
	errUndecided = &requestError{unavailable, "undecided"}
)

// retryAfterS is when a client should come back, in seconds.
const retryAfterS = "1"

// respondError answers a request whose handler returned err. It is the only place that maps
// errors to status codes.
func respondError(c *fiber.Ctx, err error) error {
	var requestErr *requestError
	var blockedErr *rollout.BlockedError
	var frameworkErr *fiber.Error
	switch {
	case errors.As(err, &requestErr):
	case errors.As(err, &blockedErr):
		requestErr = &requestError{blocked, blockedErr.Reason}
	case errors.As(err, &frameworkErr):
		return respondReason(c, frameworkErr.Code, err.Error())
	default:
		return respondReason(c, fiber.StatusInternalServerError, err.Error())
	}
	switch requestErr.kind {
	case unavailable:
		c.Set(fiber.HeaderRetryAfter, retryAfterS)
	case busyHere:
		c.Context().SetConnectionClose()
		c.Set(fiber.HeaderRetryAfter, retryAfterS)
	}
	return respondReason(c, requestErr.kind.status(), requestErr.reason)
}

func respondReason(c *fiber.Ctx, status int, reason string) error {
	return c.Status(status).JSON(fiber.Map{"error": reason})
}
