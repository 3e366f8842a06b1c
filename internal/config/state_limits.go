package config

import "time"

// StateLimits holds the limits of the state service that apply at any time. Each limit is the lower
// of the current value and the one that the platform has announced (facts.state.next), because an
// announced limit takes effect without further notice.
type StateLimits struct {
	RequestsPerSecond float64
	WritesPerSecond   float64 // puts and deletes
	MaxValueBytes     int
	MaxTxnOps         int // puts and deletes of one transaction
}

// comparesPerOp is how many compares the state service accepts in a transaction for each op that it
// accepts.
const comparesPerOp = 4

// Minimum limits that the controller needs. A completed chunk of a job takes 1.4 KiB, and finishing
// a job takes three ops in one transaction.
const (
	minValueBytes = 2048
	minTxnOps     = 6
	// versionChangeCompares is the number of compares in the transaction that changes the cluster
	// version, in addition to one for each controller.
	versionChangeCompares = 6
)

// requiredTxnOps returns the least MaxTxnOps with which this number of controllers can work.
func requiredTxnOps(controllers int) int {
	versionCompares := controllers + versionChangeCompares
	return max(minTxnOps, (versionCompares+comparesPerOp-1)/comparesPerOp)
}

// MaxCompares returns the maximum number of compares in a transaction.
func (l StateLimits) MaxCompares() int { return comparesPerOp * l.MaxTxnOps }

// sharedWriteFraction is the fraction of the write rate that the controllers divide among
// themselves. The remaining tenth is for bursts of writes at the start of sessions.
const sharedWriteFraction = 0.9

// SharedWriteBudget returns the maximum number of ops a second of all controllers together.
func (l StateLimits) SharedWriteBudget() float64 { return sharedWriteFraction * l.WritesPerSecond }

const (
	// maxWatchTimeout bounds the watch timeout where the lease grace period allows a longer one.
	maxWatchTimeout = time.Second
	// maxWatchInterval bounds how late a controller sees the writes of others. Acquiring a role,
	// registering a machine and accepting a job wait for such writes, some of them several times.
	maxWatchInterval = 450 * time.Millisecond
	// watchRequestDivisor limits the watches of all controllers together to an eighth of the
	// request rate.
	watchRequestDivisor = 8
)

// WatchTimeout returns how long a watch of the state service may wait for a change. An owner may
// rely on its mirror only for the lease grace period, so a watch must return, and prove that the
// mirror is complete, well within that period.
func (s *Settings) WatchTimeout() time.Duration {
	return min(maxWatchTimeout, s.LeaseGracePeriod()/4)
}

// MinWatchInterval returns the minimum time between two watches of one controller. In a large
// cluster keys change all the time, and every watch counts as a request. The interval keeps the
// watches of all controllers together at an eighth of the request rate. It is shorter, so that the
// watches take a larger part of the request rate, if a controller would otherwise see the writes of
// others only after maxWatchInterval, or if the lease grace period requires it.
func (s *Settings) MinWatchInterval() time.Duration {
	controllers := float64(max(1, s.Controllers))
	rateLimitedInterval := Seconds(watchRequestDivisor * controllers / s.StateLimits.RequestsPerSecond)
	return min(s.LeaseGracePeriod()/8, maxWatchInterval, rateLimitedInterval)
}
