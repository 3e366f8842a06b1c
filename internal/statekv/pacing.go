package statekv

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// maxQueueTime bounds how long a request waits for this client's own limits. A request that would
// wait longer is rejected at once, so that its sender can tell its caller when to retry.
const maxQueueTime = time.Second

// minRequestBurst is the smallest burst of requests that a controller may send.
const minRequestBurst = 8

// requestLimits holds this controller's share of the service's request limit. The limiters are safe
// for concurrent use.
type requestLimits struct {
	perSecond float64 // limit of all controllers together
	requests  *rate.Limiter
	classes   [len(classShares)]*rate.Limiter
}

// SetControllerCount sets the number of controllers among which the request limit is divided.
func (c *Client) SetControllerCount(controllers int) {
	limits := &c.limits
	perSecond := limits.perSecond / float64(max(1, controllers))
	if limits.requests.Limit() == rate.Limit(perSecond) {
		return
	}
	limits.requests.SetLimit(rate.Limit(perSecond))
	limits.requests.SetBurst(int(max(minRequestBurst, perSecond/2)))
	limits.classes[ClassLookup].SetLimit(rate.Limit(LookupShare * perSecond))
}

// WriteBudget returns this controller's share of the service's change limit.
func (c *Client) WriteBudget() *WriteBudget { return c.writes }

// Allow reports whether n requests of a class may be sent now, and counts them if so.
func (c *Client) Allow(class RequestClass, n int) bool {
	now := time.Now()
	limiter := c.limits.classes[class]
	atOnce := min(n, limiter.Burst())
	if class == ClassLookup {
		return limiter.AllowN(now, atOnce)
	}
	limiter.SetLimitAt(now, rate.Limit(classShares[class]*c.writes.rate(now)))
	if limiter.AllowN(now, atOnce) {
		return true
	}
	c.writes.recordDeferredDemand(class, n, now)
	return false
}

// paceRequest waits until one request may be sent.
func (c *Client) paceRequest(ctx context.Context) error {
	reservation := c.limits.requests.ReserveN(time.Now(), 1)
	if !reservation.OK() {
		return fmt.Errorf("%w: client request limit allows no burst", ErrRejected)
	}
	delay := reservation.Delay()
	deadline, ok := ctx.Deadline()
	if delay > maxQueueTime || ok && time.Until(deadline) < delay {
		reservation.Cancel()
		return fmt.Errorf("%w: client request limit: request would wait %v", ErrRejected, delay)
	}
	if err := waitForLimit(ctx, delay); err != nil {
		reservation.Cancel()
		return err
	}
	return nil
}

// paceChanges waits until n changes may be sent.
func (c *Client) paceChanges(ctx context.Context, n int) error {
	now := time.Now()
	longest := c.writes.maxWait(n)
	if deadline, ok := ctx.Deadline(); ok {
		longest = min(longest, deadline.Sub(now))
	}
	delay, ok := c.writes.reserve(n, longest, now)
	if !ok {
		return fmt.Errorf("%w: client write budget: %d changes would wait longer than %v", ErrRejected, n, longest)
	}
	if err := waitForLimit(ctx, delay); err != nil {
		c.writes.refund(n)
		return err
	}
	return nil
}

// waitForLimit waits for the delay that this client's own limits require. It returns an error if
// ctx ends first.
func waitForLimit(ctx context.Context, delay time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: waiting %v for the client rate limit: %w", ErrRejected, delay, ctx.Err())
	case <-time.After(delay):
		return nil
	}
}
