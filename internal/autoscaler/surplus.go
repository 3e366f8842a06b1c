package autoscaler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reuseWindow is the time window in which idle machines that got work are counted.
	reuseWindow = 20 * time.Second
	// The number of idle machines to keep is minIdleKept plus keptPerReused times the number of
	// idle machines that got work within reuseWindow.
	keptPerReused = 2
	minIdleKept   = 2
	// earlyReturnShare is the fraction of the policy's scale-in idle time after which idle machines
	// beyond the number to keep are returned.
	earlyReturnShare = 0.25
)

// reuseTracker tracks how many idle machines of a pool recently got work. The same number may be
// needed again before a machine that is requested now would be ready. The number of idle machines
// to keep follows from it; idle machines beyond that are returned early. Without this rule, when
// the daily load ended, each of the cluster's last 1000 machines was idle for the full scale-in
// idle time, which made up a twelfth of the machine cost.
type reuseTracker struct {
	window[int] // numbers of idle machines that got work
	idle        map[string]bool
}

// observe records the machines that are idle now and returns how many idle machines to keep.
// present holds all machines that exist. Until a whole reuseWindow has been observed, observe keeps
// all idle machines.
func (r *reuseTracker) observe(now time.Time, idle []string, present map[string]bool) (keep int) {
	isIdle := make(map[string]bool, len(idle))
	for _, name := range idle {
		isIdle[name] = true
	}
	gotWork := 0
	for name := range r.idle {
		if !isIdle[name] && present[name] {
			gotWork++
		}
	}
	r.idle = isIdle
	if !r.add(now, gotWork, reuseWindow) {
		return len(idle)
	}
	sum := 0
	for _, n := range r.values {
		sum += n
	}
	return minIdleKept + keptPerReused*sum
}

// poolIdleness tracks the idle machines of a pool.
type poolIdleness struct {
	minimum idleMinimum
	reuse   reuseTracker
}

// surplus returns the names of the idle machines to return. In a large cluster each machine gets a
// task now and then, so none is idle for long although many are idle at any moment. The surplus of
// a pool is therefore the least number of machines that were idle at the same time within the
// scale-in idle time, whichever machines they were. The machines that have been idle longest are
// returned.
func (f *Fleet) surplus(bins []*bin, idleFor map[string]time.Duration, now time.Time) []string {
	idle, present := idleByPool(bins, idleFor)
	var returned []string
	for p, names := range idle {
		if f.idleness[p] == nil {
			f.idleness[p] = &poolIdleness{}
		}
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(idleFor[b], idleFor[a]), cmp.Compare(a, b))
		})
		n := f.countSurplus(f.idleness[p], names, idleFor, present, now)
		returned = append(returned, names[:n]...)
	}
	for p := range f.idleness {
		if _, known := idle[p]; !known {
			delete(f.idleness, p)
		}
	}
	return returned
}

// countSurplus returns how many of a pool's idle machines, ordered by descending idle time, are
// surplus. That is the least number that were idle at the same time within the scale-in idle time.
// Further machines beyond the number to keep are surplus if they have been idle for at least
// earlyReturnShare of the scale-in idle time.
func (f *Fleet) countSurplus(
	pool *poolIdleness, names []string, idleFor map[string]time.Duration, present map[string]bool, now time.Time,
) int {
	n := pool.minimum.add(now, len(names), f.policy.ScaleInIdleTime)
	keep := pool.reuse.observe(now, names, present)
	early := time.Duration(earlyReturnShare * float64(f.policy.ScaleInIdleTime))
	for n < len(names)-keep && idleFor[names[n]] >= early {
		n++
	}
	pool.minimum.subtract(n)
	return n
}

// idleByPool returns, by pool, the idle machines on which the packing placed no tasks; every pool
// that has machines gets an entry. present holds the names of all machines.
func idleByPool(bins []*bin, idleFor map[string]time.Duration) (idle map[Pool][]string, present map[string]bool) {
	idle, present = map[Pool][]string{}, map[string]bool{}
	for _, b := range bins {
		present[b.name] = true
		names := idle[b.Pool]
		if _, isIdle := idleFor[b.name]; isIdle && !b.used {
			names = append(names, b.name)
		}
		idle[b.Pool] = names
	}
	return idle, present
}
