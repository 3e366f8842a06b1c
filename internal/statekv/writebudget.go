package statekv

import (
	"sync"
	"time"

	"robinstack/internal/budget"
)

// WriteBudget limits the rate of a controller's changes to its share of what the state service
// accepts, and measures how many changes the controller would make. It is safe for concurrent use.
type WriteBudget struct {
	// mu guards the fields below.
	mu           sync.Mutex
	share        *budget.Share
	bucket       *budget.TokenBucket
	demand       demandWindow
	deferred     [len(classShares)]deferredDemand
	holdsLease   func() bool // nil if there is no session
	sessionStart time.Time
	reducedUntil time.Time // end of the reduced rate after the service rejected changes
}

// deferredDemand is the number of changes of a class for which Allow found no capacity.
type deferredDemand struct {
	changes    int
	recordedAt time.Time
}

// deferredDemandExpiry is how long deferred demand counts unless it is recorded again.
const deferredDemandExpiry = 500 * time.Millisecond

// minBurst is the smallest burst of changes of a controller: opening a session takes up to 4
// changes.
const minBurst = 4

// minBatchOps is the number of changes that a transaction may always contain, even if the write
// budget allows fewer soon. The completion of a job and a change of the cluster version need that
// many.
const minBatchOps = 6

// burstSeconds sets the burst of a controller, in seconds of its share. The shares add up to nine
// tenths of the service's limit, so all bursts together stay within the burst of one second of the
// whole limit that the service accepts.
const burstSeconds = 1.1

// maxQueueTimeLarge bounds how long a transaction with more changes than the bucket holds may wait.
const maxQueueTimeLarge = 6 * time.Second

// After the service has rejected changes because of its rate limit, only rejectedRateFraction of the
// rate is used for reducedRateDuration. Other controllers may use more than their share, for example
// those that run a former version.
const (
	rejectedRateFraction = 0.5
	reducedRateDuration  = 2 * time.Second
)

func newWriteBudget(changes float64, controllers int) *WriteBudget {
	share := budget.NewShare(changes, controllers)
	now := time.Now()
	rate, _, _ := share.Rate(now)
	return &WriteBudget{
		share:  share,
		bucket: budget.NewTokenBucket(rate, bucketSize(share), now),
	}
}

// bucketSize returns how many changes may accumulate.
func bucketSize(share *budget.Share) float64 {
	return max(minBurst, burstSeconds*share.Guaranteed())
}

// SetSession sets the start of the session and the function that reports whether it certainly holds
// its lease; nil means that there is no session. Without a session or its lease, or soon after the
// session's start, only a part of the share is used.
func (w *WriteBudget) SetSession(start time.Time, holdsLease func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sessionStart, w.holdsLease = start, holdsLease
}

// refresh sets the bucket's fill rate to the current rate and returns that rate. The caller must
// hold w.mu.
func (w *WriteBudget) refresh(now time.Time) float64 {
	start := time.Time{}
	if w.holdsLease != nil && w.holdsLease() {
		start = w.sessionStart
	}
	w.share.SetSessionStart(start)
	rate, until, base := w.share.Rate(now)
	if now.Before(w.reducedUntil) {
		rate, base = rate*rejectedRateFraction, base*rejectedRateFraction
	}
	w.bucket.SetRate(rate, until, base, now)
	return rate
}

// recordRejection records that the service rejected changes because of its rate limit.
func (w *WriteBudget) recordRejection(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reducedUntil = now.Add(reducedRateDuration)
}

// rate returns the number of changes per second that may be made now.
func (w *WriteBudget) rate(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refresh(now)
}

// opsSoon returns the largest number of changes to put into one transaction: those that the current
// rate allows in half a second, but at least minBatchOps and at least one second of the own share.
func (w *WriteBudget) opsSoon(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(max(minBatchOps, w.share.Guaranteed(), w.refresh(now)/2))
}

// reserve reserves n changes and returns how long to wait before sending them. If the delay would
// exceed longest, it reserves nothing and returns false.
func (w *WriteBudget) reserve(n int, longest time.Duration, now time.Time) (delay time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(now)
	w.demand.add(float64(n), now)
	return w.bucket.Reserve(n, longest, now)
}

// refund returns n changes that were reserved and not made.
func (w *WriteBudget) refund(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucket.Refund(n)
}

// maxWait returns how long n changes may wait. Transactions with more changes than the bucket holds
// may wait longer than others, because they would otherwise never be sent.
func (w *WriteBudget) maxWait(n int) time.Duration {
	if float64(n) > bucketSize(w.share) {
		return maxQueueTimeLarge
	}
	return maxQueueTime
}

// recordDeferredDemand records that n changes of a class wait for capacity.
func (w *WriteBudget) recordDeferredDemand(class RequestClass, n int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deferred[class] = deferredDemand{changes: n, recordedAt: now}
}

// changesWanted returns how many changes per second the controller would make: those requested
// within the last second, and those that wait. The caller must hold w.mu.
func (w *WriteBudget) changesWanted(now time.Time) float64 {
	wanted := w.demand.total(now)
	for _, deferred := range w.deferred {
		if now.Sub(deferred.recordedAt) < deferredDemandExpiry {
			wanted += float64(deferred.changes)
		}
	}
	return wanted + w.bucket.Backlog(now)
}

// Report returns the report to the allocator to be sent now.
func (w *WriteBudget) Report(host string, now time.Time) budget.DemandReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(now)
	return w.share.Report(host, w.changesWanted(now), now)
}

// ApplyGrant applies the allocator's answer to the report that was sent at the given time.
func (w *WriteBudget) ApplyGrant(grant budget.Grant, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share.ApplyGrant(grant, sent)
}

// Intervals of a demandWindow. Together they cover the last second.
const (
	demandIntervals      = 4
	demandIntervalLength = 250 * time.Millisecond
)

// demandWindow counts the changes requested within the last second. It is not safe for concurrent
// use.
type demandWindow struct {
	changes [demandIntervals]float64 // by interval number modulo demandIntervals
	latest  int64                    // number of the latest interval
}

// add counts n requested changes.
func (d *demandWindow) add(n float64, now time.Time) {
	d.advance(now)
	d.changes[d.latest%demandIntervals] += n
}

// total returns the number of changes requested within the window.
func (d *demandWindow) total(now time.Time) (sum float64) {
	d.advance(now)
	for _, n := range d.changes {
		sum += n
	}
	return sum
}

// advance clears the intervals that have begun since the latest one.
func (d *demandWindow) advance(now time.Time) {
	current := now.UnixNano() / int64(demandIntervalLength)
	for ; d.latest < current; d.latest++ {
		if current-d.latest > demandIntervals {
			d.latest = current - demandIntervals
		}
		d.changes[(d.latest+1)%demandIntervals] = 0
	}
}
