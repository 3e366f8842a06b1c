package autoscaler

import (
	"time"

	"robinstack/internal/cloud"
)

// Pool is a kind of machine that can be requested.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

func poolOf(request cloud.ScaleOutRequest) Pool {
	return Pool{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
}

const (
	// maxMachinesPerRequest is how many machines one request may ask for.
	maxMachinesPerRequest = 50
	// maxConcurrentRequests is how many requests are made at a time, which leaves
	// capacity for lists and scale-in within the cloud's rate limit.
	maxConcurrentRequests = 6
	// maxMachinesPerPlan is what one plan may request.
	maxMachinesPerPlan = maxConcurrentRequests * maxMachinesPerRequest

	// refusalPause is how long a pool that refused is not asked again.
	refusalPause = 10 * time.Second
	// probeMachines is how many machines a pool that refused is asked for the next time:
	// calls for many more would find it as empty and keep others from being asked.
	probeMachines = 2
	// probeGrowth is how many times as many a pool is asked for after it has filled a
	// probe.
	probeGrowth = 4
)

// poolLimits remembers which pools had nothing left, so that the demand passes on to
// others, and how many machines to ask those for afterwards.
type poolLimits struct {
	closedUntil map[Pool]time.Time
	probes      map[Pool]int // machines to ask for, of pools that refused
}

func newPoolLimits() poolLimits {
	return poolLimits{closedUntil: map[Pool]time.Time{}, probes: map[Pool]int{}}
}

// refused closes a pool for a while.
func (l *poolLimits) refused(p Pool, now time.Time) {
	l.closedUntil[p] = now.Add(refusalPause)
	l.probes[p] = probeMachines
}

// filled lets a pool that has filled a request be asked for more.
func (l *poolLimits) filled(p Pool) {
	if probe := l.probes[p]; probe > 0 {
		l.probes[p] = min(probeGrowth*probe, maxMachinesPerPlan)
	}
}

// reopened reports whether a pool's pause, if it had one, is over.
func (l *poolLimits) reopened(p Pool, now time.Time) bool { return now.After(l.closedUntil[p]) }

// available is how many machines a pool may be asked for now.
func (l *poolLimits) available(p Pool, now time.Time) int {
	if now.Before(l.closedUntil[p]) {
		return 0
	}
	if probe := l.probes[p]; probe > 0 {
		return probe
	}
	return maxMachinesPerPlan
}
