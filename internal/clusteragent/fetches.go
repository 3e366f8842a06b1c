package clusteragent

import (
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// Images that a machine fetches at the same time may share its rate, and whether they
// do no description of a machine says. Where they do, eight arrays with a task each on a
// machine wait eight times as long as one, and all that time their places are taken.
// So owners learn it from the fetches they see, and where it is so a machine gets a
// task with one more image only when it is done with the others.

// imageFetch is an image on its way to a machine.
type imageFetch struct {
	startedAt     time.Time
	aloneSeconds  float64 // seconds that it takes alone, by the machine type's rate
	besideSeconds float64 // seconds that other fetches on the machine went on beside it, each counted
}

// fetchContention learns how much longer a fetch takes for each other one beside it, in parts
// of the time that it takes alone: 0 where they do not share the rate, 1 where they do
// evenly. The agent's mutex guards it.
type fetchContention struct {
	aloneWeight, besideWeight      float64 // fetches seen, weighted by age
	aloneRatioSum, besideOthersSum float64 // of alone: time by the expected; of beside: others by time taken
	besideRatioSum                 float64 // of beside: time by the expected
	observed                       uint64
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
)

// observe takes in a fetch that took so many times the expected time, beside so many others
// on average.
func (s *fetchContention) observe(ratio, others float64) {
	if s.observed++; s.observed%200 == 0 {
		slog.Info("image fetch contention estimated", "fetches", s.observed, "contention", s.factor())
	}
	if others < 0.2 {
		s.aloneWeight, s.aloneRatioSum = s.aloneWeight*contentionDecay+1, s.aloneRatioSum*contentionDecay+ratio
		return
	}
	s.besideWeight, s.besideRatioSum, s.besideOthersSum = s.besideWeight*contentionDecay+1, s.besideRatioSum*contentionDecay+ratio, s.besideOthersSum*contentionDecay+others
}

// factor is what was learned, 0 to 1.
func (s *fetchContention) factor() float64 {
	if s.besideWeight < minFetchWeight {
		return 0
	}
	// Until fetches were seen alone, the machine types' rates say how long they take.
	alone := (s.aloneRatioSum + minFetchWeight) / (s.aloneWeight + minFetchWeight)
	longer := s.besideRatioSum / s.besideWeight / alone
	return min(1, max(0, (longer-1)/(s.besideOthersSum/s.besideWeight)))
}

// trackFetches brings the machine's fetches up to date with its tasks, and has learned from
// those that are over.
func (m *machine) trackFetches(now time.Time, t cloud.MachineType, learned *fetchContention) {
	for _, f := range m.fetches {
		f.besideSeconds += now.Sub(m.fetchesBookedUntil).Seconds() * float64(len(m.fetches)-1)
	}
	m.fetchesBookedUntil = now
	size := map[string]float64{}
	for _, k := range m.tasks {
		if k.spec != nil && k.state == worker.TaskFetching {
			size[k.spec.Image] = k.spec.ImageGB
		}
	}
	for image, f := range m.fetches {
		if _, on := size[image]; on {
			continue
		}
		delete(m.fetches, image)
		took := now.Sub(f.startedAt).Seconds()
		if _, has := m.images[image]; has && f.aloneSeconds > 1 && took > 0 {
			learned.observe(took/f.aloneSeconds, f.besideSeconds/took)
		}
	}
	for image, gb := range size {
		if m.fetches[image] == nil && t.FetchGBPerS > 0 {
			if m.fetches == nil {
				m.fetches = map[string]*imageFetch{}
			}
			m.fetches[image] = &imageFetch{startedAt: now, aloneSeconds: gb / t.FetchGBPerS}
		}
	}
}

// fetchContended reports whether a task of the request would have to fetch its image beside so
// many others that it is better off elsewhere, or later.
func (a *Agent) fetchContended(m *machine, r *agentapi.Request) bool {
	shared := a.fetchContention.factor()
	if r.Spec.Shape == job.Gang || shared == 0 || m.imageState(r.Spec.Image) > 0 {
		return false
	}
	others := map[string]bool{}
	for _, t := range m.tasks {
		if t.spec == nil || t.state != worker.TaskFetching && t.state != agentapi.Starting {
			continue
		}
		if _, has := m.images[t.spec.Image]; !has {
			others[t.spec.Image] = true
		}
	}
	return float64(len(others))*shared > maxContention
}
