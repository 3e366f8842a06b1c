package machine

import (
	"log/slog"

	"robinstack/internal/job"
)

// FetchContention estimates how much concurrent image fetches on one machine slow each other down.
// The estimate is the additional duration per concurrent fetch, as a fraction of the duration of a
// fetch that runs alone: 0 if fetches do not share bandwidth, 1 if they share it evenly. The zero
// value has no observations and estimates 0.
//
// Whether fetches share a machine's bandwidth is not in the description of the machine type. If
// they do, eight job arrays with one task each on a machine wait eight times as long as one array,
// and occupy capacity meanwhile. Agents therefore estimate contention from the fetches
// that they observe. If it is high, a machine gets a task with a further image only after other
// fetches have finished.
type FetchContention struct {
	soloWeight, concurrentWeight float64 // number of fetches, weighted by age
	soloSlowdownSum              float64 // fetches alone: sum of actual / expected duration
	concurrentSlowdownSum        float64 // concurrent fetches: sum of actual / expected duration
	concurrencySum               float64 // concurrent fetches: sum of the average number of other fetches
	observed                     uint64
}

const (
	// contentionDecay is the factor by which each new fetch reduces the weight of earlier ones. The
	// estimate averages over about a hundred fetches, because machines differ in bandwidth by a
	// third.
	contentionDecay = 0.99
	// minFetchWeight is the weight of concurrent fetches below which contention is taken as 0. It
	// is also the weight of the machine type's nominal rate in the average duration of fetches that
	// run alone.
	minFetchWeight = 8
	// maxContention is the expected slowdown (concurrent fetches times contention) above which a
	// machine does not get a task with a further image. If two fetches share bandwidth evenly, both
	// end only when the second would have ended had it waited for the first, and both tasks occupy
	// capacity until then.
	maxContention = 0.7
	// soloConcurrencyLimit is the average number of concurrent fetches below which a fetch counts
	// as running alone.
	soloConcurrencyLimit = 0.2
	// logInterval is the number of observed fetches between two log lines.
	logInterval = 200
)

// observe adds a finished fetch to the estimate. slowdown is its actual duration divided by the
// expected one, concurrent the average number of other fetches during it.
func (c *FetchContention) observe(slowdown, concurrent float64) {
	if c.observed++; c.observed%logInterval == 0 {
		slog.Info("image fetch contention estimated", "fetches", c.observed, "contention", c.estimate())
	}
	if concurrent < soloConcurrencyLimit {
		c.soloWeight = c.soloWeight*contentionDecay + 1
		c.soloSlowdownSum = c.soloSlowdownSum*contentionDecay + slowdown
		return
	}
	c.concurrentWeight = c.concurrentWeight*contentionDecay + 1
	c.concurrentSlowdownSum = c.concurrentSlowdownSum*contentionDecay + slowdown
	c.concurrencySum = c.concurrencySum*contentionDecay + concurrent
}

// estimate returns the estimated contention, from 0 to 1.
func (c *FetchContention) estimate() float64 {
	if c.concurrentWeight < minFetchWeight {
		return 0
	}
	// While few fetches have run alone, the rate of the machine type dominates their average.
	soloSlowdown := (c.soloSlowdownSum + minFetchWeight) / (c.soloWeight + minFetchWeight)
	concurrentSlowdown := c.concurrentSlowdownSum / c.concurrentWeight / soloSlowdown
	return min(1, max(0, (concurrentSlowdown-1)/(c.concurrencySum/c.concurrentWeight)))
}

// Contended reports whether m already fetches so many images that a task of the job should not be
// placed there now. It is always false for gangs and for images that are on m or being fetched
// there.
func (c *FetchContention) Contended(m *Machine, spec *job.Spec) bool {
	contention := c.estimate()
	if spec.Shape == job.Gang || contention == 0 || m.ImageAvailability(spec.Image) > 0 {
		return false
	}
	return float64(m.imagesBeingFetched())*contention > maxContention
}
