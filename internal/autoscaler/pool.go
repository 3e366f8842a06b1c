package autoscaler

import (
	"time"

	"robinstack/internal/cloud"
)

// Pool identifies machines that are requested together: machine type, zone, and spot or on demand.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

func poolOf(request cloud.ScaleOutRequest) Pool {
	return Pool{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
}

const (
	// maxMachinesPerRequest is the largest number of machines in one scale-out request.
	maxMachinesPerRequest = 50
	// maxConcurrentRequests is the largest number of concurrent scale-out requests. It leaves room
	// for list and scale-in calls within the cloud's rate limit.
	maxConcurrentRequests = 6
	// maxMachinesPerPlan is the largest number of machines that one plan requests.
	maxMachinesPerPlan = maxConcurrentRequests * maxMachinesPerRequest

	// poolPause is how long no machines are requested from a pool that refused a request or is
	// stalled.
	poolPause = 10 * time.Second
	// initialProbeSize is the largest number of machines to request from a pool after poolPause. A
	// larger request would find the pool just as empty and keep other pools from being asked.
	initialProbeSize = 2
	// probeGrowth is the factor by which the probe size grows after a pool has granted a request in
	// full.
	probeGrowth = 4
)

// poolLimits tracks which pools had no capacity, so that demand moves to other pools, and how many
// machines to request from those pools afterwards.
type poolLimits struct {
	pausedUntil map[Pool]time.Time
	probeSizes  map[Pool]int // largest request to send to each pool that refused a request or stalled
}

func newPoolLimits() poolLimits {
	return poolLimits{pausedUntil: map[Pool]time.Time{}, probeSizes: map[Pool]int{}}
}

// pause pauses requests to a pool for poolPause and limits the next request to a probe.
func (l *poolLimits) pause(p Pool, now time.Time) {
	l.pausedUntil[p] = now.Add(poolPause)
	l.probeSizes[p] = initialProbeSize
}

// growProbe raises the probe size of a pool that has granted a request in full.
func (l *poolLimits) growProbe(p Pool) {
	if probe := l.probeSizes[p]; probe > 0 {
		l.probeSizes[p] = min(probeGrowth*probe, maxMachinesPerPlan)
	}
}

// isOpen reports whether the pool is not paused.
func (l *poolLimits) isOpen(p Pool, now time.Time) bool { return now.After(l.pausedUntil[p]) }

// available returns the number of machines that may be requested from a pool now.
func (l *poolLimits) available(p Pool, now time.Time) int {
	if now.Before(l.pausedUntil[p]) {
		return 0
	}
	if probe := l.probeSizes[p]; probe > 0 {
		return probe
	}
	return maxMachinesPerPlan
}
