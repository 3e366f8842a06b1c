package statekv

import (
	"sync"
	"time"

	"robinstack/internal/budget"
)

// WriteBudget paces a controller's changes by its part of what the state service takes, and
// knows how many it would make.
type WriteBudget struct {
	mu      sync.Mutex
	part    *budget.Share
	bucket  *budget.TokenBucket
	asked   [askedSpans]float64 // changes asked for in each of the latest spans
	span    int64               // which span the latest is
	waiting [len(shares)]want
	certain func() bool // nil: there is no session
	began   time.Time

	refusedUntil time.Time // the service refused changes as too many lately
}

// want is what a kind of change that can wait has no room for.
type want struct {
	changes int
	at      time.Time
}

// What is needed is what was asked for within the last second, and what waits.
const (
	askedSpans = 4
	askedSpan  = 250 * time.Millisecond
	wantTime   = 500 * time.Millisecond // a want that is not told again is over
)

// leastBurst is how many changes a controller may make at once at least: a session begins
// with up to four.
const leastBurst = 4

// leastSoon is the least that a transaction may have, however little can be made soon: an end
// of a job and a change of the level need as much.
const leastSoon = 6

// burstShare is how many seconds' worth of its part a controller may make at once: together
// they are within the one second's worth of the whole limit that the service takes at once,
// of which the parts are nine tenths.
const burstShare = 1.1

func newWriteBudget(changes float64, controllers int) *WriteBudget {
	part := budget.NewShare(changes, controllers)
	now := time.Now()
	rate, _, _ := part.Rate(now)
	return &WriteBudget{part: part, bucket: budget.NewTokenBucket(rate, max(leastBurst, burstShare*part.Guaranteed()), now)}
}

// SetSession has the budget count a session as begun while it is certainly held. Without one,
// or in one that has just begun, it uses only a part of its part.
func (w *WriteBudget) SetSession(began time.Time, certain func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began, w.certain = began, certain
}

// refresh has the bucket fill at the rate of now. The mutex is held.
func (w *WriteBudget) refresh(now time.Time) float64 {
	if w.certain != nil && w.certain() {
		w.part.SetSessionStart(w.began)
	} else {
		w.part.SetSessionStart(time.Time{})
	}
	rate, until, base := w.part.Rate(now)
	if now.Before(w.refusedUntil) {
		rate, base = rate*refusedShare, base*refusedShare
	}
	w.bucket.SetRate(rate, until, base, now)
	return rate
}

// After the service has refused changes as too many, only this share is used for a while:
// others may use more than they should, a former version for one.
const (
	refusedShare = 0.5
	refusedTime  = 2 * time.Second
)

// refused notes that the service refused changes as too many.
func (w *WriteBudget) refused(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusedUntil = now.Add(refusedTime)
}

func (w *WriteBudget) rate(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refresh(now)
}

// soon is how many changes at once need wait for about half a second at most.
func (w *WriteBudget) soon(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(max(leastSoon, w.part.Guaranteed(), w.refresh(now)/2))
}

func (w *WriteBudget) take(n int, longest time.Duration, now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(now)
	w.note(now, float64(n))
	return w.bucket.Reserve(n, longest, now)
}

// longest is how long n changes may wait. Those that are more than accumulate have to wait for
// longer than others, or they would never be made.
func (w *WriteBudget) longest(n int) time.Duration {
	if float64(n) > max(leastBurst, burstShare*w.part.Guaranteed()) {
		return longestLarge
	}
	return longestQueue
}

// longestLarge is how long a large transaction may wait.
const longestLarge = 6 * time.Second

func (w *WriteBudget) put(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucket.Refund(n)
}

// note counts changes that are asked for. The mutex is held.
func (w *WriteBudget) note(now time.Time, n float64) {
	for span := now.UnixNano() / int64(askedSpan); w.span < span; w.span++ {
		if span-w.span > askedSpans {
			w.span = span - askedSpans
		}
		w.asked[(w.span+1)%askedSpans] = 0
	}
	w.asked[w.span%askedSpans] += n
}

// wanted notes that n changes of a kind wait for room.
func (w *WriteBudget) wanted(kind RequestClass, n int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting[kind] = want{n, now}
}

// need is how many changes a second would be made. The mutex is held.
func (w *WriteBudget) need(now time.Time) (sum float64) {
	w.note(now, 0)
	for _, n := range w.asked {
		sum += n
	}
	for _, v := range w.waiting {
		if now.Sub(v.at) < wantTime {
			sum += float64(v.changes)
		}
	}
	return sum + w.bucket.Backlog(now)
}

// Report is what the allocator is told now.
func (w *WriteBudget) Report(host string, now time.Time) budget.DemandReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(now)
	return w.part.Report(host, w.need(now), now)
}

// ApplyGrant takes the allocator's answer to a report that was sent at some time.
func (w *WriteBudget) ApplyGrant(g budget.Grant, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.part.ApplyGrant(g, sent)
}
