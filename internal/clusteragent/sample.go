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

// ineligibleReason returns why tasks of the request cannot be placed on m, or "" if they can. It
// implements the Filter stage of sampling and the conflict check of commits. The caller must hold
// a.mu.
func (a *Agent) ineligibleReason(m *ownedMachine, r *agentapi.Request, now time.Time) string {
	if why := m.UnavailableReason(now); why != "" {
		return why
	}
	if why := a.machineDenial(m, startTasks); why != "" {
		return why
	}
	switch {
	case !r.Spec.AllowsMachine(m.Type, m.Zone, m.Spot):
		return "machine is not allowed for the job"
	case r.Zones != nil && !slices.Contains(r.Zones, m.Zone):
		return "zone is not allowed for the job at present"
	case slices.Contains(r.Avoid, m.Name):
		return "job has failed on this machine"
	case m.GangHold.Excludes(r.Spec.Priority(), now):
		return reasonHeldForGangs
	case m.Reservation.HeldByOther(r.Spec.ID, now):
		return reasonReservedForOther
	case m.Quarantine.FailedRecently(r.Spec.ID, now):
		return "job has failed on this machine"
	}
	return ""
}

// Results of ineligibleReason that may still allow a backfill reservation of the machine.
const (
	reasonHeldForGangs     = "machine is held for gangs"
	reasonReservedForOther = "machine is reserved for another job"
)

// countFits returns how many tasks with the given need fit on m and into its heartbeats, and the free
// capacity of m. Both are zero if the machine type or the need of a task on m is unknown.
func (a *Agent) countFits(m *ownedMachine, need job.Resources) (int, job.Resources) {
	t, ok := a.types()[m.Type]
	if !ok {
		return 0, job.Resources{}
	}
	free, known := m.FreeCapacity(job.Capacity(t))
	if !known {
		return 0, job.Resources{}
	}
	return min(need.CountIn(free), m.TaskRoom()), free
}

// Sample draws owned machines without replacement until the requested share has passed the filters,
// and scores them (the second sampling step of the Vela paper). It returns the candidates with the
// highest scores, as many as the request can use.
func (s *Service) Sample(r agentapi.Request, reply *agentapi.SampleReply) error {
	a := s.agent
	now := time.Now()
	types := a.types()
	a.mu.Lock()
	defer a.mu.Unlock()
	target := sampleTarget(&r, len(a.machines))
	foundCapacity := newCapacityCount(&r)
	var found []agentapi.Candidate
	for _, m := range a.capacity.draw(r.Spec.Need, a.types(), a.owns) {
		if len(found) >= target && foundCapacity.sufficient() {
			break
		}
		reply.Drawn++
		n, free := a.countFits(m, r.Spec.Need)
		if n == 0 || a.ineligibleReason(m, &r, now) != "" {
			continue
		}
		if a.contention.Contended(m.Machine, &r.Spec) {
			reply.Crowded = true
			continue
		}
		foundCapacity.add(m.Zone, n)
		c := a.candidate(m, n)
		c.Image = m.ImageAvailability(r.Spec.Image)
		c.Score = reservedBonus(m.Machine, &r, now) + score(types, m.Machine, &r.Spec, free, c.Image)
		found = append(found, c)
	}
	reply.Exhausted = len(found) < target
	if reply.Exhausted && !foundCapacity.sufficient() {
		a.recordWaitingClass(&r, now)
	}
	reply.Candidates = bestCandidates(found, &r)
	a.counters.Samples++
	a.counters.Drawn += uint64(reply.Drawn)
	if reply.Exhausted {
		a.counters.Exhausted++
	}
	return nil
}

// candidate returns an unscored candidate for a machine on which n tasks fit.
func (a *Agent) candidate(m *ownedMachine, n int) agentapi.Candidate {
	return agentapi.Candidate{Machine: m.Name, Host: a.session.Host, Rev: m.Ownership.Rev, Zone: m.Zone, Fits: n}
}

// sampleTarget returns how many of n machines have to pass the filters before drawing may stop: the
// share N_p, but at least the minimum sample size of the request.
func sampleTarget(r *agentapi.Request, n int) int {
	return min(n, max(1, r.Least, int(math.Ceil(r.Share*float64(n)))))
}

// capacityCount counts the tasks for which machines have capacity. It counts by zone if the job has
// to run in one zone or is spread over zones, and over all zones otherwise.
type capacityCount struct {
	needed      int
	byZone      bool
	tasksByZone map[string]int
	largest     int
}

func newCapacityCount(r *agentapi.Request) *capacityCount {
	return &capacityCount{needed: r.Tasks, byZone: r.Spec.OneZone || r.Spec.Spread, tasksByZone: map[string]int{}}
}

// add adds n to the count of the zone and returns the previous count.
func (c *capacityCount) add(zone string, n int) int {
	if !c.byZone {
		zone = ""
	}
	previous := c.tasksByZone[zone]
	c.tasksByZone[zone] = previous + n
	c.largest = max(c.largest, previous+n)
	return previous
}

func (c *capacityCount) sufficient() bool { return c.largest >= c.needed }

// bestCandidates returns the candidates with the highest scores whose capacity, counted as by
// capacityCount, suffices for all tasks, and up to r.Spare further ones per zone as fallbacks for
// MultiBind.
func bestCandidates(found []agentapi.Candidate, r *agentapi.Request) []agentapi.Candidate {
	slices.SortFunc(found, func(a, b agentapi.Candidate) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Machine, b.Machine))
	})
	selectedCapacity := newCapacityCount(r)
	sparesByZone := map[string]int{}
	return slices.DeleteFunc(found, func(c agentapi.Candidate) bool {
		if selectedCapacity.add(c.Zone, c.Fits) < r.Tasks {
			return false
		}
		sparesByZone[c.Zone]++
		return sparesByZone[c.Zone] > r.Spare
	})
}

const (
	// reservedScore ranks machines that are reserved for the job above all others.
	reservedScore = 1000
	// Weights of the Score plugins, and the penalty for an expensive machine.
	utilizationWeight    = 100
	costEfficiencyWeight = 150
	imageWeight          = 100
	expensivePenalty     = 200
	// expensiveThreshold is the cost efficiency below which a machine is used only if there is no
	// other, regardless of its utilization, so that expensive machines become idle and can be
	// deprovisioned.
	expensiveThreshold = 0.25
)

// reservedBonus returns the score bonus of a machine that is reserved for the request's job.
func reservedBonus(m *machine.Machine, r *agentapi.Request, now time.Time) float64 {
	if m.Reservation.HeldBy(r.Spec.ID, now) {
		return reservedScore
	}
	return 0
}

// score returns the sum of the Score plugins: utilization of the machine after placement (0 to
// 100), presence of the image (100, or less while it is being fetched) and cost efficiency (0 to
// 150). Cost efficiency leaves expensive machines idle, so that they can be deprovisioned, and
// leaves on-demand machines to jobs that may not use spot machines.
func score(
	types map[string]cloud.MachineType, m *machine.Machine, spec *job.Spec, free job.Resources, image float64,
) float64 {
	capacity, remaining := job.Capacity(types[m.Type]), free.AddScaled(spec.Need, -1)
	utilization := 0.0
	amounts := [][2]float64{
		{remaining.CPUs, capacity.CPUs}, {remaining.GPUs, capacity.GPUs}, {remaining.MemoryGB, capacity.MemoryGB},
	}
	for _, amount := range amounts {
		if amount[1] > 0 {
			utilization = max(utilization, 1-amount[0]/amount[1])
		}
	}
	efficiency := costEfficiency(types, spec, m.Type, m.Spot)
	total := utilizationWeight*utilization + costEfficiencyWeight*efficiency + imageWeight*image
	if efficiency < expensiveThreshold {
		total -= expensivePenalty
	}
	return total
}

// costEfficiency compares the cost of a task on the machine with the lowest cost on any machine
// type that the job may use: 1 for the cheapest, approaching 0 for expensive ones.
func costEfficiency(types map[string]cloud.MachineType, spec *job.Spec, typeName string, spot bool) float64 {
	cost := func(t cloud.MachineType, spot bool) float64 {
		n := spec.CountIn(job.Capacity(t))
		if n == 0 || t.HourlyPrice(spot) <= 0 {
			return math.Inf(1)
		}
		return t.HourlyPrice(spot) / float64(n)
	}
	lowest := math.Inf(1)
	for _, t := range types {
		if spec.AllowsType(t.Name) {
			lowest = min(lowest, cost(t, spec.Spot))
		}
	}
	if own := cost(types[typeName], spot); !math.IsInf(own, 1) && !math.IsInf(lowest, 1) {
		return min(1, lowest/own)
	}
	return 0
}
