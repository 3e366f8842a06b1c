package emulator

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// RateLimits limits the HTTP requests to a StateService and counts them. It is safe for concurrent
// use.
type RateLimits struct {
	requestLimit, changeLimit *rate.Limiter

	Requests, Changes atomic.Uint64 // received, including those over a limit
	Rejected          atomic.Uint64 // requests rejected because of a limit
	Renewals, Watches atomic.Uint64 // parts of Requests
}

// NewRateLimits returns limits on requests and changes per second, with bursts of one second's
// worth.
func NewRateLimits(requests, changes float64) *RateLimits {
	return &RateLimits{
		requestLimit: rate.NewLimiter(rate.Limit(requests), max(1, int(requests))),
		changeLimit:  rate.NewLimiter(rate.Limit(changes), max(1, int(changes))),
	}
}

// allow counts a request with the given number of changes and reports whether it is within the
// limits.
func (r *RateLimits) allow(changes int) bool {
	r.Requests.Add(1)
	r.Changes.Add(uint64(changes))
	now := time.Now()
	if !r.requestLimit.AllowN(now, 1) || !r.changeLimit.AllowN(now, changes) {
		r.Rejected.Add(1)
		return false
	}
	return true
}

// SetRateLimits sets the limits on requests over HTTP; nil: no limits.
func (s *StateService) SetRateLimits(r *RateLimits) { s.rateLimits.Store(r) }

// allowRequest reports whether a request is within the rate limits. It does not count transactions:
// allowTxn checks those once the number of their changes is known.
func (s *StateService) allowRequest(r *http.Request) bool {
	limits := s.rateLimits.Load()
	if limits == nil || r.URL.Path == txnPath {
		return true
	}
	switch {
	case r.URL.Path == watchPath:
		limits.Watches.Add(1)
	case strings.HasSuffix(r.URL.Path, renewSuffix):
		limits.Renewals.Add(1)
	}
	return limits.allow(0)
}

// allowTxn reports whether a transaction with the given number of changes is within the rate
// limits.
func (s *StateService) allowTxn(changes int) bool {
	limits := s.rateLimits.Load()
	return limits == nil || limits.allow(changes)
}
