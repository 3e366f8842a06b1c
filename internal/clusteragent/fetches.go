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

// fetch is an image on its way to a machine.
type fetch struct {
	since    time.Time
	expected float64 // seconds that it takes alone, by the machine type's rate
	beside   float64 // seconds that other fetches on the machine went on beside it, each counted
}

// sharing learns how much longer a fetch takes for each other one beside it, in parts
// of the time that it takes alone: 0 where they do not share the rate, 1 where they do
// evenly. The agent's mutex guards it.
type sharing struct {
	alone, beside    float64 // fetches seen, weighted by age
	aloneSum, others float64 // of alone: time by the expected; of beside: others by time taken
	besideSum        float64 // of beside: time by the expected
	seen             uint64
}

const (
	// sharingFades is what each fetch leaves of the weight of those before it: some
	// hundred count, for a rate differs by a third between machines.
	sharingFades = 0.99
	// fewFetches is the weight of those beside others below which nothing is concluded,
	// and the weight of the machine types' rates.
	fewFetches = 8
	// mostBeside is the others, times how much they share, beside which one more image
	// is not fetched. Two fetches that share the rate evenly both end when the second
	// would have ended alone, and keep two places until then.
	mostBeside = 0.7
)

// saw takes in a fetch that took so many times the expected time, beside so many others
// on average.
func (s *sharing) saw(ratio, others float64) {
	if s.seen++; s.seen%200 == 0 {
		slog.Info("image fetch contention estimated", "fetches", s.seen, "contention", s.factor())
	}
	if others < 0.2 {
		s.alone, s.aloneSum = s.alone*sharingFades+1, s.aloneSum*sharingFades+ratio
		return
	}
	s.beside, s.besideSum, s.others = s.beside*sharingFades+1, s.besideSum*sharingFades+ratio, s.others*sharingFades+others
}

// factor is what was learned, 0 to 1.
func (s *sharing) factor() float64 {
	if s.beside < fewFetches {
		return 0
	}
	// Until fetches were seen alone, the machine types' rates say how long they take.
	alone := (s.aloneSum + fewFetches) / (s.alone + fewFetches)
	longer := s.besideSum / s.beside / alone
	return min(1, max(0, (longer-1)/(s.others/s.beside)))
}

// follow brings the machine's fetches up to date with its tasks, and has learned from
// those that are over.
func (m *machine) follow(now time.Time, t cloud.MachineType, learned *sharing) {
	for _, f := range m.fetches {
		f.beside += now.Sub(m.fetchesAt).Seconds() * float64(len(m.fetches)-1)
	}
	m.fetchesAt = now
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
		took := now.Sub(f.since).Seconds()
		if _, has := m.images[image]; has && f.expected > 1 && took > 0 {
			learned.saw(took/f.expected, f.beside/took)
		}
	}
	for image, gb := range size {
		if m.fetches[image] == nil && t.FetchGBPerS > 0 {
			if m.fetches == nil {
				m.fetches = map[string]*fetch{}
			}
			m.fetches[image] = &fetch{since: now, expected: gb / t.FetchGBPerS}
		}
	}
}

// crowded reports whether a task of the request would have to fetch its image beside so
// many others that it is better off elsewhere, or later.
func (a *Agent) crowded(m *machine, r *agentapi.Request) bool {
	shared := a.sharing.factor()
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
	return float64(len(others))*shared > mostBeside
}
