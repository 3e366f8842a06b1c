package clusteragent

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// ineligible says why tasks like these cannot be placed on m, or nothing. It is the
// Filter stage of sampling and the conflict check of the commit.
func (a *Agent) ineligible(m *machine, r *agentapi.Request, now time.Time) string {
	switch {
	case m.gone || m.removing || !m.reconciled:
		return "machine is not settled"
	case m.draining || m.quarantined || !m.reclaimAt.IsZero():
		return "machine is being emptied"
	case !m.responsive():
		return "machine is silent"
	case !m.heartbeatAnswered:
		// The lease of one that has come up counts from its beginning, and commands do not
		// renew it: what is started in its last moments is killed with it.
		return "machine's lease has not been renewed"
	case m.suspected(now):
		return "machine may be faulty"
	case m.unfenced():
		return "a command to the machine is unanswered"
	case m.ownershipRev > a.mirror.Rev():
		return "machine was claimed just now"
	case !r.Spec.AllowsMachine(m.typeName, m.zone, m.spot):
		return "machine is not allowed for the job"
	case r.Zones != nil && !slices.Contains(r.Zones, m.zone):
		return "zone is not open to the job"
	case slices.Contains(r.Avoid, m.name):
		return "job failed here before"
	case r.Spec.Priority() < m.gangHoldPriority && now.Before(m.gangHoldUntil):
		return heldForGangs
	case m.reservedFor != r.Spec.ID && now.Before(m.reservedUntil):
		return reservedForOther
	}
	if at, failed := m.unattributedFailures[r.Spec.ID]; failed && now.Sub(at) < avoidFor {
		return "job failed here before"
	}
	return ""
}

// Reasons that do not keep a job from having the machine kept for it.
const (
	heldForGangs     = "machine is kept for gangs"
	reservedForOther = "machine is kept for another job"
)

// countFits counts how many of the tasks have room on m.
func (a *Agent) countFits(m *machine, need job.Need) (int, job.Need) {
	t, ok := a.types()[m.typeName]
	if !ok {
		return 0, job.Need{}
	}
	free, known := m.freeCapacity(job.Capacity(t))
	if !known {
		return 0, job.Need{}
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
	room := newCapacityCount(&r)
	var found []agentapi.Candidate
	for _, m := range a.machinesWithCapacity(r.Spec.Need) {
		if len(found) >= wanted && room.enough() {
			break
		}
		reply.Drawn++
		n, free := a.countFits(m, r.Spec.Need)
		if n == 0 || a.ineligible(m, &r, now) != "" {
			continue
		}
		if a.fetchContended(m, &r) {
			reply.Crowded = true
			continue
		}
		room.add(m.zone, n)
		image := m.imageState(r.Spec.Image)
		kept := 0.0
		if m.reservedFor == r.Spec.ID && now.Before(m.reservedUntil) {
			kept = reservedScore
		}
		found = append(found, agentapi.Candidate{
			Machine: m.name, Host: a.member.Host, Rev: m.ownershipRev, Zone: m.zone, Fits: n, Image: image,
			Score: kept + score(job.Capacity(types[m.typeName]), free, r.Spec.Need, image, cheapness(types, &r.Spec, m.typeName, m.spot)),
		})
	}
	reply.Exhausted = len(found) < wanted
	if reply.Exhausted && !room.enough() {
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

// shuffledMachines returns the owned machines in random order.
func (a *Agent) shuffledMachines() []*machine {
	pool := make([]*machine, 0, len(a.machines))
	for _, m := range a.machines {
		if !m.gone {
			pool = append(pool, m)
		}
	}
	rand.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	return pool
}

// sampleTarget is how many of n machines have to pass the filters before the draw may
// end: the share N_p, and in any case some to choose from.
func sampleTarget(r *agentapi.Request, n int) int {
	return min(n, max(1, r.Least, int(math.Ceil(r.Share*float64(n)))))
}

// capacityCount counts for how many tasks machines have room: in all, or by zone
// where it matters in which zone the room is.
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

// bestCandidates keeps the candidates of the highest scores that have room for all the
// tasks, and some more for MultiBind to fall back to.
func bestCandidates(found []agentapi.Candidate, r *agentapi.Request) []agentapi.Candidate {
	slices.SortFunc(found, func(a, b agentapi.Candidate) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Machine, b.Machine))
	})
	room := newCapacityCount(r)
	spare := map[string]int{}
	return slices.DeleteFunc(found, func(c agentapi.Candidate) bool {
		if room.add(c.Zone, c.Fits) < r.Tasks {
			return false
		}
		spare[c.Zone]++
		return spare[c.Zone] > r.Spare
	})
}

// reservedScore puts machines that were cleared for the job before all others.
const reservedScore = 1000

// score sums the Score plugins: the machine left fullest (0 to 100), the image
// already there (100) or on its way, and how cheap the place is (0 to 150). The last leaves
// dear machines idle, so that they are returned, and ordinary ones to jobs that
// may not use spot machines.
func score(capacity, free, need job.Need, image, cheap float64) float64 {
	left := free.AddScaled(need, -1)
	full := 0.0
	for _, p := range [][2]float64{{left.CPUs, capacity.CPUs}, {left.GPUs, capacity.GPUs}, {left.MemoryGB, capacity.MemoryGB}} {
		if p[1] > 0 {
			full = max(full, 1-p[0]/p[1])
		}
	}
	total := 100*full + 150*cheap + 100*image
	if cheap < expensiveBelow {
		total -= 200
	}
	return total
}

// expensiveBelow is the cheapness below which a place is taken only where there is no
// other, full or not: so such machines empty and are returned.
const expensiveBelow = 0.25

// cheapness compares what a place for need costs on a machine with the least
// that it costs on any the job may use: 1 for the cheapest, towards 0 for dear.
func cheapness(types map[string]cloud.MachineType, spec *job.Spec, typeName string, spot bool) float64 {
	cost := func(t cloud.MachineType, spot bool) float64 {
		n := spec.Need.CountIn(job.Capacity(t))
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
