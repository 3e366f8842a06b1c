package autoscaler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reuseSpan is the time over which machines that got work are counted.
	reuseSpan = 20 * time.Second
	// reuseMargin is how many times as many idle machines are kept as got work in that
	// time, and reuseMinimum how many in any case.
	reuseMargin  = 2
	reuseMinimum = 2
	// earlyShare is the share of the usual idle time after which what is idle beyond those
	// is returned.
	earlyShare = 0.25
)

// reuse remembers which machines of a pool were idle, and how many of those got work lately:
// as many may be wanted again before a machine requested now would serve. What is idle
// beyond that is returned sooner than the rest. When a day's load ended, each of the
// cluster's last thousand machines stood idle for the whole time after which idle ones are
// returned, which was a twelfth of all that machines cost.
type reuse struct {
	window[int] // how many got work
	idle        map[string]bool
}

// observe takes in the machines that are idle now, all of those that there are being in
// present, and returns how many idle ones to keep, or all of them as long as too little was
// seen.
func (r *reuse) observe(now time.Time, idle []string, present map[string]bool) (keep int) {
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
	if !r.add(now, gotWork, reuseSpan) {
		return len(idle)
	}
	sum := 0
	for _, n := range r.values {
		sum += n
	}
	return reuseMinimum + reuseMargin*sum
}

// poolIdleness is what is known of a pool's idle machines.
type poolIdleness struct {
	minimum idleMinimum
	reuse   reuse
}

// surplus names the idle machines to return. In a large cluster each machine gets a task now
// and then, so that none is idle for long although many are at any moment: of a pool, as
// many are surplus as were idle all the time, whichever they were. Those that have been idle
// longest go.
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
		n := f.surplusOf(f.idleness[p], names, idleFor, present, now)
		returned = append(returned, names[:n]...)
	}
	for p := range f.idleness {
		if _, known := idle[p]; !known {
			delete(f.idleness, p)
		}
	}
	return returned
}

// surplusOf is how many of a pool's idle machines, longest idle first, are surplus.
func (f *Fleet) surplusOf(
	pool *poolIdleness, names []string, idleFor map[string]time.Duration, present map[string]bool, now time.Time,
) int {
	n := pool.minimum.add(now, len(names), f.policy.ScaleInIdleTime)
	keep := pool.reuse.observe(now, names, present)
	early := time.Duration(earlyShare * float64(f.policy.ScaleInIdleTime))
	for n < len(names)-keep && idleFor[names[n]] >= early {
		n++
	}
	pool.minimum.subtract(n)
	return n
}

// idleByPool lists the idle machines on which the packing put nothing, of every pool that
// there is, and all machines.
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
