package clusteragent

import (
	"cmp"
	"math"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/machine"
)

// ineligible says why tasks like these cannot be placed on m, or nothing. It is the
// Filter stage of sampling and the conflict check of the commit.
func (a *Agent) ineligible(m *ownedMachine, r *agentapi.Request, now time.Time) string {
	if why := m.Unavailable(now); why != "" {
		return why
	}
	switch {
	case m.Ownership.Rev > a.mirror.Rev():
		return "machine was claimed just now"
	case !r.Spec.AllowsMachine(m.Type, m.Zone, m.Spot):
		return "machine is not allowed for the job"
	case r.Zones != nil && !slices.Contains(r.Zones, m.Zone):
		return "zone is not open to the job"
	case slices.Contains(r.Avoid, m.Name):
		return "job failed here before"
	case m.GangHold.Excludes(r.Spec.Priority(), now):
		return heldForGangs
	case m.Reservation.HeldByOther(r.Spec.ID, now):
		return reservedForOther
	case m.Quarantine.FailedLately(r.Spec.ID, now):
		return "job failed here before"
	}
	return ""
}

// Reasons that do not keep a job from having the machine reserved for it.
const (
	heldForGangs     = "machine is held for gangs"
	reservedForOther = "machine is reserved for another job"
)

// countFits counts how many of the tasks fit on m, and returns what is free there.
func (a *Agent) countFits(m *ownedMachine, need job.Resources) (int, job.Resources) {
	t, ok := a.types()[m.Type]
	if !ok {
		return 0, job.Resources{}
	}
	free, known := m.FreeCapacity(job.Capacity(t))
	if !known {
		return 0, job.Resources{}
	}
	return need.CountIn(free), free
}

// Sample draws owned machines without replacement until the share wanted has
// passed the filters, and scores them (the paper's second sampling step). The
// best of those go back, as many as the request can use.
func (s *Service) Sample(r agentapi.Request, reply *agentapi.SampleReply) error {
	a := s.agent
	now := time.Now()
	types := a.types()
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := sampleTarget(&r, len(a.machines))
	capacity := newCapacityCount(&r)
	var found []agentapi.Candidate
	for _, m := range a.capacity.draw(r.Spec.Need, a.types(), a.owns) {
		if len(found) >= wanted && capacity.enough() {
			break
		}
		reply.Drawn++
		n, free := a.countFits(m, r.Spec.Need)
		if n == 0 || a.ineligible(m, &r, now) != "" {
			continue
		}
		if a.contention.Contended(m.Machine, &r.Spec) {
			reply.Crowded = true
			continue
		}
		capacity.add(m.Zone, n)
		c := a.candidate(m, n)
		c.Image = m.ImageState(r.Spec.Image)
		c.Score = reservedBonus(m.Machine, &r, now) + score(types, m.Machine, &r.Spec, free, c.Image)
		found = append(found, c)
	}
	reply.Exhausted = len(found) < wanted
	if reply.Exhausted && !capacity.enough() {
		a.noteWaitingClass(&r, now)
	}
	reply.Candidates = bestCandidates(found, &r)
	a.counters.Samples++
	a.counters.Drawn += uint64(reply.Drawn)
	if reply.Exhausted {
		a.counters.Exhausted++
	}
	return nil
}

// candidate is a machine on which n tasks fit, without a score.
func (a *Agent) candidate(m *ownedMachine, n int) agentapi.Candidate {
	return agentapi.Candidate{Machine: m.Name, Host: a.session.Host, Rev: m.Ownership.Rev, Zone: m.Zone, Fits: n}
}

// sampleTarget is how many of n machines have to pass the filters before the draw may
// end: the share N_p, and in any case some to choose from.
func sampleTarget(r *agentapi.Request, n int) int {
	return min(n, max(1, r.Least, int(math.Ceil(r.Share*float64(n)))))
}

// capacityCount counts for how many tasks machines have capacity: in all, or by zone
// where it matters in which zone that is.
type capacityCount struct {
	tasks   int
	byZone  bool
	zones   map[string]int
	largest int
}

func newCapacityCount(r *agentapi.Request) *capacityCount {
	return &capacityCount{tasks: r.Tasks, byZone: r.Spec.OneZone || r.Spec.Spread, zones: map[string]int{}}
}

// add counts n and returns how many there were before in the same place.
func (c *capacityCount) add(zone string, n int) int {
	if !c.byZone {
		zone = ""
	}
	before := c.zones[zone]
	c.zones[zone] = before + n
	c.largest = max(c.largest, before+n)
	return before
}

func (c *capacityCount) enough() bool { return c.largest >= c.tasks }

// bestCandidates keeps the candidates of the highest scores that have capacity for all the
// tasks, and some more for MultiBind to fall back to.
func bestCandidates(found []agentapi.Candidate, r *agentapi.Request) []agentapi.Candidate {
	slices.SortFunc(found, func(a, b agentapi.Candidate) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Machine, b.Machine))
	})
	capacity := newCapacityCount(r)
	spare := map[string]int{}
	return slices.DeleteFunc(found, func(c agentapi.Candidate) bool {
		if capacity.add(c.Zone, c.Fits) < r.Tasks {
			return false
		}
		spare[c.Zone]++
		return spare[c.Zone] > r.Spare
	})
}

const (
	// reservedScore puts machines that were reserved for the job before all others.
	reservedScore = 1000
	// Weights of the Score plugins, and what an expensive place costs.
	fullnessWeight   = 100
	cheapnessWeight  = 150
	imageWeight      = 100
	expensivePenalty = 200
	// expensiveBelow is the cheapness below which a place is taken only where there is no
	// other, full or not: so such machines empty and are returned.
	expensiveBelow = 0.25
)

// reservedBonus is the score for a machine that is reserved for the request's job.
func reservedBonus(m *machine.Machine, r *agentapi.Request, now time.Time) float64 {
	if m.Reservation.HeldBy(r.Spec.ID, now) {
		return reservedScore
	}
	return 0
}

// score sums the Score plugins: the machine left fullest (0 to 100), the image
// already there (100) or on its way, and how cheap the place is (0 to 150). The last leaves
// expensive machines idle, so that they are returned, and ordinary ones to jobs that
// may not use spot machines.
func score(
	types map[string]cloud.MachineType, m *machine.Machine, spec *job.Spec, free job.Resources, image float64,
) float64 {
	capacity, left := job.Capacity(types[m.Type]), free.AddScaled(spec.Need, -1)
	full := 0.0
	amounts := [][2]float64{
		{left.CPUs, capacity.CPUs}, {left.GPUs, capacity.GPUs}, {left.MemoryGB, capacity.MemoryGB},
	}
	for _, amount := range amounts {
		if amount[1] > 0 {
			full = max(full, 1-amount[0]/amount[1])
		}
	}
	cheap := cheapness(types, spec, m.Type, m.Spot)
	total := fullnessWeight*full + cheapnessWeight*cheap + imageWeight*image
	if cheap < expensiveBelow {
		total -= expensivePenalty
	}
	return total
}

// cheapness compares what a place for a task costs on a machine with the least
// that it costs on any the job may use: 1 for the cheapest, towards 0 for expensive.
func cheapness(types map[string]cloud.MachineType, spec *job.Spec, typeName string, spot bool) float64 {
	cost := func(t cloud.MachineType, spot bool) float64 {
		n := spec.CountIn(job.Capacity(t))
		if n == 0 || t.HourlyPrice(spot) <= 0 {
			return math.Inf(1)
		}
		return t.HourlyPrice(spot) / float64(n)
	}
	least := math.Inf(1)
	for _, t := range types {
		if spec.AllowsType(t.Name) {
			least = min(least, cost(t, spec.Spot))
		}
	}
	if own := cost(types[typeName], spot); !math.IsInf(own, 1) && !math.IsInf(least, 1) {
		return min(1, least/own)
	}
	return 0
}
