package gateway

import (
	"errors"

	"github.com/gofiber/fiber/v2"

	"robinstack/internal/rollout"
)

// errorKind classifies an error by what the client can do about it. Each kind maps to one HTTP
// status code.
type errorKind int

const (
	// malformed is an invalid request, which a retry cannot fix.
	malformed errorKind = iota
	// unschedulable is a submission of a job that can never run.
	unschedulable
	// notFound is a job that was never accepted.
	notFound
	// blocked is an operator's command that the current state of the cluster does not allow.
	blocked
	// unavailable is a request that cannot be decided now; the response carries Retry-After.
	unavailable
	// retryElsewhere is like unavailable, for requests that another controller may serve sooner.
	// The connection is closed, so that the load balancer selects a controller for the retry by the
	// number of connections. Otherwise, users that connected while few controllers were ready would
	// stay with those.
	retryElsewhere
	// notReady is a readiness probe that fails. The response has no Retry-After, because the load
	// balancer repeats the probe by itself.
	notReady
)

func (k errorKind) statusCode() int {
	switch k {
	case malformed:
		return fiber.StatusBadRequest
	case unschedulable:
		return fiber.StatusUnprocessableEntity
	case notFound:
		return fiber.StatusNotFound
	case blocked:
		return fiber.StatusConflict
	case unavailable, retryElsewhere, notReady:
		return fiber.StatusServiceUnavailable
	}
	return fiber.StatusInternalServerError
}

// requestError is an error whose reason is sent to the client.
type requestError struct {
	kind   errorKind
	reason string
}

func (e *requestError) Error() string { return e.reason }

// permanent reports whether a retry of the same request cannot succeed.
func (e *requestError) permanent() bool { return e.kind == malformed || e.kind == unschedulable }

// Errors that several handlers return.
var (
	errNoSuchJob      = &requestError{notFound, "no such job"}
	errStarting       = &requestError{unavailable, "starting"}
	errIsolated       = &requestError{unavailable, "cut off from the state service"}
	errOutcomeUnknown = &requestError{unavailable, "undecided"}
)

// retryAfterSeconds is the value of the Retry-After header.
const retryAfterSeconds = "1"

// respondError responds to a request whose handler returned err. It is the only place that maps
// errors to HTTP status codes.
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
		c.Set(fiber.HeaderRetryAfter, retryAfterSeconds)
	case retryElsewhere:
		c.Context().SetConnectionClose()
		c.Set(fiber.HeaderRetryAfter, retryAfterSeconds)
	}
	return respondReason(c, requestErr.kind.statusCode(), requestErr.reason)
}

func respondReason(c *fiber.Ctx, status int, reason string) error {
	return c.Status(status).JSON(fiber.Map{"error": reason})
}
