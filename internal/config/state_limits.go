package config

import "time"

// StateLimits holds the limits of the state service that hold at any time: of those that are in
// force and those that the platform has announced (facts.state.next), which come without notice,
// the lower of each.
type StateLimits struct {
	RequestsPerSecond float64
	WritesPerSecond   float64 // puts and deletes
	MaxValueBytes     int
	MaxTxnOps         int // puts and deletes of one transaction
}

// comparesPerOp is how many compares the state service takes in a transaction for each change
// that it takes.
const comparesPerOp = 4

// What the service needs of the state service at least. A chunk of a job's finished tasks takes
// 1.4 KiB, and the end of a job three changes.
const (
	minValueBytes = 2048
	minTxnOps     = 6
	// versionChangeCompares are needed to change the cluster version, beside one for each
	// controller.
	versionChangeCompares = 6
)

// requiredTxnOps is how many changes a transaction has to take with so many controllers.
func requiredTxnOps(controllers int) int {
	compares := controllers + versionChangeCompares
	return max(minTxnOps, (compares+comparesPerOp-1)/comparesPerOp)
}

// MaxCompares is how many compares a transaction may have.
func (l StateLimits) MaxCompares() int { return comparesPerOp * l.MaxTxnOps }

// sharedWriteShare leaves a tenth of what the service takes for bursts of sessions that begin.
const sharedWriteShare = 0.9

// SharedWriteBudget is how many changes a second all controllers make together at most.
func (l StateLimits) SharedWriteBudget() float64 { return sharedWriteShare * l.WritesPerSecond }

const (
	// maxWatchTimeout bounds how long a watch may wait where the lease grace period allows more.
	maxWatchTimeout = time.Second
	// maxWatchInterval bounds how late a controller sees what others write: taking a role,
	// registering a machine and accepting a job wait for that, some of them several times.
	maxWatchInterval = 450 * time.Millisecond
	// watchRequestFraction is the part of the requests that all controllers' watches take together:
	// an eighth.
	watchRequestFraction = 8
)

// WatchTimeout is how long a watch of the state service may wait: an owner takes its view for
// current only for the lease grace period, so it must be renewed within it.
func (s *Settings) WatchTimeout() time.Duration {
	return min(maxWatchTimeout, s.LeaseGracePeriod()/4)
}

// MinWatchInterval is the least time between two watches of one controller. In a large cluster
// something changes all the time, and every watch counts as a request: all controllers' watches
// together take an eighth of what there is, and more where there are so many that each would see
// what others write only after maxWatchInterval.
func (s *Settings) MinWatchInterval() time.Duration {
	controllers := float64(max(1, s.Controllers))
	fairInterval := Seconds(watchRequestFraction * controllers / s.StateLimits.RequestsPerSecond)
	return min(s.LeaseGracePeriod()/8, maxWatchInterval, fairInterval)
}
