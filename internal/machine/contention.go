package machine

import (
	"log/slog"

	"robinstack/internal/job"
)

// FetchContention learns how much longer the fetch of an image takes for each other one
// beside it, in parts of the time that it takes alone: 0 where they do not share the rate, 1
// where they do evenly. The zero value knows nothing.
//
// Images that a machine fetches at the same time may share its rate, and whether they do no
// description of a machine says. Where they do, eight arrays with a task each on a machine
// wait eight times as long as one, and all that time their capacity is taken. So owners learn
// it from the fetches they see, and where it is so a machine gets a task with one more image
// only when it is done with the others.
type FetchContention struct {
	aloneWeight, besideWeight float64 // fetches seen, weighted by age
	aloneRatioSum             float64 // of those alone: time taken by the expected
	besideRatioSum            float64 // of those beside others: time taken by the expected
	besideOthersSum           float64 // of those beside others: others, by time taken
	observed                  uint64
}

const (
	// contentionDecay is what each fetch leaves of the weight of those before it: some
	// hundred count, for a rate differs by a third between machines.
	contentionDecay = 0.99
	// minFetchWeight is the weight of those beside others below which nothing is concluded,
	// and the weight of the machine types' rates.
	minFetchWeight = 8
	// maxContention is the others, times how much they share, beside which one more image
	// is not fetched. Two fetches that share the rate evenly both end when the second
	// would have ended alone, and keep two places until then.
	maxContention = 0.7
	// aloneBelow is the number of others on average below which a fetch counts as alone.
	aloneBelow = 0.2
	// logEvery is the number of fetches after which the estimate is logged.
	logEvery = 200
)

// observe takes in a fetch that took so many times the expected time, beside so many others
// on average.
func (c *FetchContention) observe(ratio, others float64) {
	if c.observed++; c.observed%logEvery == 0 {
		slog.Info("image fetch contention estimated", "fetches", c.observed, "contention", c.factor())
	}
	if others < aloneBelow {
		c.aloneWeight = c.aloneWeight*contentionDecay + 1
		c.aloneRatioSum = c.aloneRatioSum*contentionDecay + ratio
		return
	}
	c.besideWeight = c.besideWeight*contentionDecay + 1
	c.besideRatioSum = c.besideRatioSum*contentionDecay + ratio
	c.besideOthersSum = c.besideOthersSum*contentionDecay + others
}

// factor is what was learned, 0 to 1.
func (c *FetchContention) factor() float64 {
	if c.besideWeight < minFetchWeight {
		return 0
	}
	// Until fetches were seen alone, the machine types' rates say how long they take.
	alone := (c.aloneRatioSum + minFetchWeight) / (c.aloneWeight + minFetchWeight)
	longer := c.besideRatioSum / c.besideWeight / alone
	return min(1, max(0, (longer-1)/(c.besideOthersSum/c.besideWeight)))
}

// Contended reports whether a task of the job would have to fetch its image beside so many
// others on m that it is better off elsewhere, or later.
func (c *FetchContention) Contended(m *Machine, spec *job.Spec) bool {
	factor := c.factor()
	if spec.Shape == job.Gang || factor == 0 || m.ImageState(spec.Image) > 0 {
		return false
	}
	return float64(m.imagesBeingFetched())*factor > maxContention
}
