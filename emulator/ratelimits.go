package emulator

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// RateLimits are limits of the state service, in effect for what comes over HTTP, and what
// was counted under them. Safe for use from several goroutines.
type RateLimits struct {
	requestLimit, changeLimit *rate.Limiter

	Requests, Changes atomic.Uint64 // that came
	Refused           atomic.Uint64 // requests beyond a limit
	Renewals, Watches atomic.Uint64 // of the requests
}

// NewRateLimits returns limits of so many requests and changes a second, with bursts of one
// second's worth.
func NewRateLimits(requests, changes float64) *RateLimits {
	return &RateLimits{
		requestLimit: rate.NewLimiter(rate.Limit(requests), max(1, int(requests))),
		changeLimit:  rate.NewLimiter(rate.Limit(changes), max(1, int(changes))),
	}
}

// admit counts a request with so many changes, and reports whether it is within the limits.
func (r *RateLimits) admit(changes int) bool {
	r.Requests.Add(1)
	r.Changes.Add(uint64(changes))
	now := time.Now()
	if !r.requestLimit.AllowN(now, 1) || !r.changeLimit.AllowN(now, changes) {
		r.Refused.Add(1)
		return false
	}
	return true
}

// SetRateLimits limits what comes over HTTP from now on; nil: not at all.
func (s *StateService) SetRateLimits(r *RateLimits) { s.rateLimits.Store(r) }

// admit holds a request against the limits. A transaction is admitted here: it is held
// against them once its changes are known (admitTxn).
func (s *StateService) admit(r *http.Request) bool {
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
	return limits.admit(0)
}

// admitTxn holds a transaction with so many changes against the limits.
func (s *StateService) admitTxn(changes int) bool {
	limits := s.rateLimits.Load()
	return limits == nil || limits.admit(changes)
}
