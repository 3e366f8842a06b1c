package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// provisioningHistory knows how long machines of each pool took to come up lately, so that
// those that take much longer are made up for elsewhere, and a pool from which few come is
// tried but not counted on.
type provisioningHistory struct {
	durations map[Pool][]time.Duration
	arrivals  map[Pool][]time.Time // for as long as they count
}

func newProvisioningHistory() provisioningHistory {
	return provisioningHistory{durations: map[Pool][]time.Duration{}, arrivals: map[Pool][]time.Time{}}
}

const (
	// historyLength is how many machines of a pool are remembered.
	historyLength = 20
	// historyMinimum is how many it takes to go by what they show.
	historyMinimum = 5
	// arrivalSpan is for how long machines that came up speak for their pool.
	arrivalSpan = time.Minute
)

// record takes in a machine that has come up.
func (h *provisioningHistory) record(p Pool, took time.Duration, now time.Time) {
	h.arrivals[p] = append(h.arrivals[p], now)
	durations := append(h.durations[p], took)
	h.durations[p] = durations[max(0, len(durations)-historyLength):]
}

// recentArrivals counts the machines of a pool that came up lately: where many did, the last
// few that have not are stragglers and not a sign that few come from there.
func (h *provisioningHistory) recentArrivals(p Pool, now time.Time) int {
	isOld := func(at time.Time) bool { return now.Sub(at) > arrivalSpan }
	h.arrivals[p] = slices.DeleteFunc(h.arrivals[p], isOld)
	return len(h.arrivals[p])
}

// overdueAge is the age from which on a machine of the pool that has not come up is overdue:
// half as long again as is nominal, or, where most are slow, a quarter longer than four of
// five took, but no more than twice the nominal time.
func (h *provisioningHistory) overdueAge(p Pool, nominal time.Duration) time.Duration {
	const margin = 5 * time.Second // until the first heartbeat has come
	age := nominal * 3 / 2
	if durations := h.durations[p]; len(durations) >= historyMinimum {
		sorted := slices.Sorted(slices.Values(durations))
		age = max(age, sorted[len(sorted)*4/5]*5/4)
	}
	return min(age, 2*nominal) + margin
}

// abandonAge is the age at which a machine that has not come up is given up. Where most of
// a pool is late, machines are slow rather than dead: given up and requested anew they would
// be as late again, and for ever. Then those that came say how long the others may take.
func (h *provisioningHistory) abandonAge(p Pool, nominal time.Duration, stalled bool) time.Duration {
	const margin = 15 * time.Second
	usual, longest := 3*nominal+margin, 8*nominal+margin
	if !stalled {
		return usual
	}
	durations := h.durations[p]
	if len(durations) < historyMinimum || slices.Max(durations) <= 2*nominal {
		return longest
	}
	return min(longest, max(usual, slices.Max(durations)*7/5))
}

// provisioningMachine is a machine that was requested and has not come up.
type provisioningMachine struct {
	Pool
	since         time.Time
	requestedByUs bool // under this epoch, so that since is exact
}

// poolProvisioning counts the machines of a pool that have not come up.
type poolProvisioning struct {
	machines   int
	overdue    int
	arrived    int // that came up lately instead
	overdueAge time.Duration
}

// stalled reports whether so much of what is provisioning in the pool, or came up lately, is
// overdue that no more than a probe should be requested there.
func (p *poolProvisioning) stalled() bool {
	const few = 3 // so many may be late by chance, short of one
	return p.overdue >= few && 2*p.overdue >= p.machines+p.arrived
}

// StalledPool is a pool from which machines come late, and which is only probed.
type StalledPool struct {
	Pool
	Provisioning int
	Overdue      int
}

// OverdueMachine is a machine that has not come up and is given up.
type OverdueMachine struct {
	Machine string
	Age     time.Duration
}

// noteArrival notes that a machine is up, and how long that took.
func (f *Fleet) noteArrival(machine string, now time.Time) {
	m, ok := f.provisioning[machine]
	if !ok {
		return
	}
	if m.requestedByUs {
		f.history.record(m.Pool, now.Sub(m.since), now)
	}
	delete(f.provisioning, machine)
}

// planProvisioning returns the machines that are provisioning, as far as they can be counted
// on, gives up the others, and closes pools that are stalled.
func (f *Fleet) planProvisioning(snapshot *Snapshot, plan *Plan) []*bin {
	now := snapshot.Now
	pools := f.provisioningByPool(snapshot)
	var bins []*bin
	for name, m := range f.provisioning {
		t, age, pool := snapshot.Types[m.Type], now.Sub(m.since), pools[m.Pool]
		stalled := pool.stalled()
		switch {
		case age > f.history.abandonAge(m.Pool, t.ProvisioningTime(), stalled):
			plan.Overdue = append(plan.Overdue, OverdueMachine{name, age})
			plan.Delete = append(plan.Delete, name)
		case age > pool.overdueAge && !stalled:
			// Used if it comes, but made up for.
		default:
			bins = append(bins, &bin{Pool: m.Pool, name: name, free: job.Capacity(t), empty: true})
		}
	}
	for p, pool := range pools {
		if pool.stalled() && f.limits.reopened(p, now) {
			f.limits.refused(p, now)
			plan.Stalled = append(plan.Stalled, StalledPool{p, pool.machines, pool.overdue})
		}
	}
	return bins
}

// provisioningByPool counts what is provisioning, without machines that are up.
func (f *Fleet) provisioningByPool(snapshot *Snapshot) map[Pool]*poolProvisioning {
	pools := map[Pool]*poolProvisioning{}
	for name, m := range f.provisioning {
		if snapshot.HasOwner(name) {
			// It is up; its owner's entry just has not come yet. To a new leader that is
			// every machine at first.
			f.noteArrival(name, snapshot.Now)
			continue
		}
		pool := pools[m.Pool]
		if pool == nil {
			nominal := snapshot.Types[m.Type].ProvisioningTime()
			pool = &poolProvisioning{overdueAge: f.history.overdueAge(m.Pool, nominal)}
			pools[m.Pool] = pool
		}
		pool.machines++
		if snapshot.Now.Sub(m.since) > pool.overdueAge {
			pool.overdue++
		}
	}
	for p, pool := range pools {
		if pool.overdue > 0 {
			pool.arrived = f.history.recentArrivals(p, snapshot.Now)
		}
	}
	return pools
}

// OverduePools lists, by pool, machines whose provisioning takes longer than is usual there.
func (f *Fleet) OverduePools(types map[string]cloud.MachineType, now time.Time) []OverduePool {
	byPool := map[Pool]OverduePool{}
	for _, m := range f.provisioning {
		age := now.Sub(m.since)
		if age <= f.history.overdueAge(m.Pool, types[m.Type].ProvisioningTime()) {
			continue
		}
		pool := byPool[m.Pool]
		byPool[m.Pool] = OverduePool{
			Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Machines: pool.Machines + 1,
			OldestS:  max(pool.OldestS, age.Seconds()),
		}
	}
	var pools []OverduePool
	for _, pool := range byPool {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b OverduePool) int { return cmp.Compare(a.Type+a.Zone, b.Type+b.Zone) })
	return pools
}
