package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// provisioningHistory records how long machines of each pool recently took to come up. Machines
// that take much longer are replaced from other pools, and a pool that delivers few machines gets
// only probes.
type provisioningHistory struct {
	durations map[Pool][]time.Duration
	arrivals  map[Pool][]time.Time // when machines came up, within arrivalSpan
}

func newProvisioningHistory() provisioningHistory {
	return provisioningHistory{durations: map[Pool][]time.Duration{}, arrivals: map[Pool][]time.Time{}}
}

const (
	// historyLength is the number of provisioning times kept per pool.
	historyLength = 20
	// minHistoryLength is the number of recorded provisioning times that a pool needs before they
	// are used.
	minHistoryLength = 5
	// arrivalSpan is how long a machine that came up counts as a recent arrival of its pool.
	arrivalSpan = time.Minute
)

// record adds the provisioning time of a machine that has come up.
func (h *provisioningHistory) record(p Pool, took time.Duration, now time.Time) {
	h.arrivals[p] = append(h.arrivals[p], now)
	durations := append(h.durations[p], took)
	h.durations[p] = durations[max(0, len(durations)-historyLength):]
}

// recentArrivals counts the machines of a pool that came up within arrivalSpan. If many came up,
// the few that have not are stragglers and not a sign that the pool delivers little.
func (h *provisioningHistory) recentArrivals(p Pool, now time.Time) int {
	isOld := func(at time.Time) bool { return now.Sub(at) > arrivalSpan }
	h.arrivals[p] = slices.DeleteFunc(h.arrivals[p], isOld)
	return len(h.arrivals[p])
}

// overdueAge returns the age above which a provisioning machine of the pool is overdue: 1.5 times
// the nominal provisioning time or, in a slow pool, 1.25 times the 80th percentile of the recorded
// times if that is longer, but at most twice the nominal time. A margin is added.
func (h *provisioningHistory) overdueAge(p Pool, nominal time.Duration) time.Duration {
	const heartbeatMargin = 5 * time.Second // for the first heartbeat to arrive
	age := nominal * 3 / 2
	if durations := h.durations[p]; len(durations) >= minHistoryLength {
		sorted := slices.Sorted(slices.Values(durations))
		age = max(age, sorted[len(sorted)*4/5]*5/4)
	}
	return min(age, 2*nominal) + heartbeatMargin
}

// abandonAge returns the age at which a provisioning machine is deleted. If most machines of a pool
// are overdue, they are slow rather than dead: if they were deleted and requested again, the new
// machines would be as late, for ever. In a stalled pool the limit therefore follows the longest
// recorded provisioning time, within fixed bounds.
func (h *provisioningHistory) abandonAge(p Pool, nominal time.Duration, stalled bool) time.Duration {
	const margin = 15 * time.Second
	usual, longest := 3*nominal+margin, 8*nominal+margin
	if !stalled {
		return usual
	}
	durations := h.durations[p]
	if len(durations) < minHistoryLength || slices.Max(durations) <= 2*nominal {
		return longest
	}
	return min(longest, max(usual, slices.Max(durations)*7/5))
}

// provisioningMachine is a machine that is not up yet.
type provisioningMachine struct {
	Pool
	since              time.Time
	requestedThisEpoch bool // requested in this leader epoch, so since is exact
}

// poolProvisioning counts the provisioning machines of a pool.
type poolProvisioning struct {
	machines   int
	overdue    int
	arrived    int // machines that recently came up; counted only if some are overdue
	overdueAge time.Duration
}

// stalled reports whether at least minOverdue machines are overdue, and these are at least half of
// the machines that are provisioning in the pool or recently came up. A stalled pool gets only
// probes.
func (p *poolProvisioning) stalled() bool {
	const minOverdue = 3 // fewer machines may be late by chance
	return p.overdue >= minOverdue && 2*p.overdue >= p.machines+p.arrived
}

// StalledPool is a pool with so many overdue machines that it gets only probes.
type StalledPool struct {
	Pool
	Provisioning int
	Overdue      int
}

// OverdueMachine is a machine that did not come up in time and is to be deleted.
type OverdueMachine struct {
	Machine string
	Age     time.Duration
}

// recordArrival records that a machine has come up, with its provisioning time if that is known
// exactly.
func (f *Fleet) recordArrival(machine string, now time.Time) {
	m, ok := f.provisioning[machine]
	if !ok {
		return
	}
	if m.requestedThisEpoch {
		f.history.record(m.Pool, now.Sub(m.since), now)
	}
	delete(f.provisioning, machine)
}

// planProvisioning returns the provisioning machines that the plan may count on, adds machines that
// did not come up in time to the plan's deletions, and pauses requests to stalled pools.
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
			// The machine is used if it comes up, but is replaced in the plan.
		default:
			bins = append(bins, &bin{Pool: m.Pool, name: name, free: job.Capacity(t), empty: true})
		}
	}
	for p, pool := range pools {
		if pool.stalled() && f.limits.isOpen(p, now) {
			f.limits.pause(p, now)
			plan.Stalled = append(plan.Stalled, StalledPool{p, pool.machines, pool.overdue})
		}
	}
	return bins
}

// provisioningByPool counts the provisioning machines by pool and records those that have come up.
func (f *Fleet) provisioningByPool(snapshot *Snapshot) map[Pool]*poolProvisioning {
	pools := map[Pool]*poolProvisioning{}
	for name, m := range f.provisioning {
		if snapshot.HasOwner(name) {
			// The machine is up, but its owner's entry has not arrived yet. For a new leader, this
			// holds for every machine at first.
			f.recordArrival(name, snapshot.Now)
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

// OverduePools counts, by pool, the machines whose provisioning takes longer than is usual in the
// pool.
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
