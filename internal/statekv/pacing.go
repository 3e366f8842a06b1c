package statekv

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// maxQueueTime is how long a request may wait for this client's own limits. What would wait
// longer is rejected at once: its sender can say when to come back.
const maxQueueTime = time.Second

// minRequestBurst is how many requests a controller may make at once at least.
const minRequestBurst = 8

// requestLimits are this controller's share of the requests that the service takes. The
// limiters guard themselves.
type requestLimits struct {
	perSecond float64 // for all controllers together
	requests  *rate.Limiter
	classes   [len(classShares)]*rate.Limiter
}

// SetControllerCount has the client use its share of the requests among so many controllers.
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

// WriteBudget is this controller's share of the changes that the service takes.
func (c *Client) WriteBudget() *WriteBudget { return c.writes }

// Allow reports whether n requests of a class may be made now, and counts them if so.
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
	c.writes.noteDemand(class, n, now)
	return false
}

// paceRequest waits until a request may be made.
func (c *Client) paceRequest(ctx context.Context) error {
	reservation := c.limits.requests.ReserveN(time.Now(), 1)
	if !reservation.OK() {
		return fmt.Errorf("%w: 1 at once are more than its own limit", ErrRejected)
	}
	delay := reservation.Delay()
	deadline, ok := ctx.Deadline()
	if delay > maxQueueTime || ok && time.Until(deadline) < delay {
		reservation.Cancel()
		return fmt.Errorf("%w: own limit", ErrRejected)
	}
	if err := wait(ctx, delay); err != nil {
		reservation.Cancel()
		return err
	}
	return nil
}

// paceChanges waits until n changes may be made.
func (c *Client) paceChanges(ctx context.Context, n int) error {
	now := time.Now()
	longest := c.writes.maxWait(n)
	if deadline, ok := ctx.Deadline(); ok {
		longest = min(longest, deadline.Sub(now))
	}
	delay, ok := c.writes.reserve(n, longest, now)
	if !ok {
		return fmt.Errorf("%w: own limit", ErrRejected)
	}
	if err := wait(ctx, delay); err != nil {
		c.writes.refund(n)
		return err
	}
	return nil
}

// wait waits for this client's own limits; an error says that ctx ended first.
func wait(ctx context.Context, delay time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: own limit: %w", ErrRejected, ctx.Err())
	case <-time.After(delay):
		return nil
	}
}
