package statekv

import (
	"sync"
	"time"

	"robinstack/internal/budget"
)

// WriteBudget paces a controller's changes by its share of what the state service takes, and
// knows how many it would make. It may be used from many goroutines.
type WriteBudget struct {
	mu            sync.Mutex
	share         *budget.Share
	bucket        *budget.TokenBucket
	demand        demandWindow
	waiting       [len(classShares)]deferredDemand
	holdsLease    func() bool // nil: there is no session
	sessionStart  time.Time
	rejectedUntil time.Time // the service rejected changes as too many lately
}

// deferredDemand is what a class of changes that can wait has no capacity for.
type deferredDemand struct {
	changes int
	at      time.Time
}

// deferredDemandExpiry is how long deferred demand counts that is not noted again.
const deferredDemandExpiry = 500 * time.Millisecond

// minBurst is how many changes a controller may make at once at least: a session begins with up
// to four.
const minBurst = 4

// minBatchOps is the least that a transaction may have, however little can be made soon: the
// completion of a job and a change of the cluster version need as much.
const minBatchOps = 6

// burstSeconds is how many seconds' worth of its share a controller may make at once: together
// they are within the one second's worth of the whole limit that the service takes at once, of
// which the shares are nine tenths.
const burstSeconds = 1.1

// maxQueueTimeLarge is how long a transaction may wait that has more changes than the bucket
// holds.
const maxQueueTimeLarge = 6 * time.Second

// After the service has rejected changes as too many, only a share of the rate is used for a
// while: others may use more than they should, a former version for one.
const (
	rejectedRateShare = 0.5
	rejectedDuration  = 2 * time.Second
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

// bucketSize is how many changes may accumulate.
func bucketSize(share *budget.Share) float64 {
	return max(minBurst, burstSeconds*share.Guaranteed())
}

// SetSession has the budget count a session as begun while it certainly holds its lease; nil
// says that there is none. Without one, or in one that has just begun, it uses only a part of
// its share.
func (w *WriteBudget) SetSession(start time.Time, holdsLease func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sessionStart, w.holdsLease = start, holdsLease
}

// refresh has the bucket fill at the rate of now, and returns that. The caller holds the mutex.
func (w *WriteBudget) refresh(now time.Time) float64 {
	start := time.Time{}
	if w.holdsLease != nil && w.holdsLease() {
		start = w.sessionStart
	}
	w.share.SetSessionStart(start)
	rate, until, base := w.share.Rate(now)
	if now.Before(w.rejectedUntil) {
		rate, base = rate*rejectedRateShare, base*rejectedRateShare
	}
	w.bucket.SetRate(rate, until, base, now)
	return rate
}

// noteRejection notes that the service rejected changes as too many.
func (w *WriteBudget) noteRejection(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rejectedUntil = now.Add(rejectedDuration)
}

// rate is how many changes a second may be made now.
func (w *WriteBudget) rate(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refresh(now)
}

// opsSoon is how many changes at once need wait for about half a second at most.
func (w *WriteBudget) opsSoon(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(max(minBatchOps, w.share.Guaranteed(), w.refresh(now)/2))
}

// reserve reserves n changes and returns how long to wait before they are made. It reserves
// nothing and is not ok if that would be longer than longest.
func (w *WriteBudget) reserve(n int, longest time.Duration, now time.Time) (delay time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(now)
	w.demand.add(float64(n), now)
	return w.bucket.Reserve(n, longest, now)
}

// refund gives back n changes that were reserved and not made.
func (w *WriteBudget) refund(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucket.Refund(n)
}

// maxWait is how long n changes may wait. Those that are more than accumulate have to wait for
// longer than others, or they would never be made.
func (w *WriteBudget) maxWait(n int) time.Duration {
	if float64(n) > bucketSize(w.share) {
		return maxQueueTimeLarge
	}
	return maxQueueTime
}

// noteDemand notes that n changes of a class wait for capacity.
func (w *WriteBudget) noteDemand(class RequestClass, n int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting[class] = deferredDemand{changes: n, at: now}
}

// changesWanted is how many changes a second would be made: what was asked for within the last
// second, and what waits. The caller holds the mutex.
func (w *WriteBudget) changesWanted(now time.Time) float64 {
	wanted := w.demand.total(now)
	for _, deferred := range w.waiting {
		if now.Sub(deferred.at) < deferredDemandExpiry {
			wanted += float64(deferred.changes)
		}
	}
	return wanted + w.bucket.Backlog(now)
}

// Report is the report to the allocator that is sent now.
func (w *WriteBudget) Report(host string, now time.Time) budget.DemandReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(now)
	return w.share.Report(host, w.changesWanted(now), now)
}

// ApplyGrant takes the allocator's answer to a report that was sent at some time.
func (w *WriteBudget) ApplyGrant(grant budget.Grant, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share.ApplyGrant(grant, sent)
}

// The spans of a demandWindow: together the last second.
const (
	demandSpans    = 4
	demandSpanTime = 250 * time.Millisecond
)

// demandWindow counts the changes that were asked for within the last second. Its owner guards
// it.
type demandWindow struct {
	changes [demandSpans]float64 // by span
	latest  int64                // the number of the latest span
}

// add counts n changes that are asked for.
func (d *demandWindow) add(n float64, now time.Time) {
	d.advance(now)
	d.changes[d.latest%demandSpans] += n
}

// total is how many were asked for.
func (d *demandWindow) total(now time.Time) (sum float64) {
	d.advance(now)
	for _, n := range d.changes {
		sum += n
	}
	return sum
}

// advance clears the spans that have begun since the latest.
func (d *demandWindow) advance(now time.Time) {
	current := now.UnixNano() / int64(demandSpanTime)
	for ; d.latest < current; d.latest++ {
		if current-d.latest > demandSpans {
			d.latest = current - demandSpans
		}
		d.changes[(d.latest+1)%demandSpans] = 0
	}
}
