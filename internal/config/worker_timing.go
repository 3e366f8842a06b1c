package config

import "time"

// WorkerTiming holds the durations that workers follow.
type WorkerTiming struct {
	HeartbeatInterval    time.Duration
	LeaseDuration        time.Duration // counts from the sending of the last heartbeat that was answered
	GangWaitTimeout      time.Duration // how long a task waits for the rest of its gang
	GangPeerTimeout      time.Duration // how long a gang may take to notice the loss of a task
	CancellationDeadline time.Duration // time from the cancellation of a job until all its tasks must have ended
}

const (
	// leaseGraceMargin is kept between the expiry of the last worker lease and the cancellation
	// deadline.
	leaseGraceMargin = time.Second
	// minLeaseGracePeriod is the time that lease renewals and watches take in normal operation.
	minLeaseGracePeriod = 2500 * time.Millisecond
	// minCancellationSlack is the least difference between the cancellation deadline and the worker
	// lease. With less, the lease grace period would be shorter than the time between two updates
	// of an owner's mirror.
	minCancellationSlack = minLeaseGracePeriod + leaseGraceMargin
)

// LeaseGracePeriod returns how long an owner that cannot renew its state lease may continue to
// answer its workers. All tasks that it keeps alive in that time must still end by the cancellation
// deadline, after the worker's own lease has expired as well.
//
// The period counts from the sending of the last request whose answer proved the owner's mirror to
// be complete. Any cancellation that is missing from the mirror was written, and acknowledged to
// its user, after that. A worker's lease counts from the sending of a heartbeat, which comes before
// its answer, so the delivery time adds nothing. What remains is the drift of both clocks, 0.05%
// each, and the kill itself: together well under leaseGraceMargin. See "The lease grace period" in
// docs/design.md.
//
// The period is never shorter than lease renewals and watches take in normal operation. Parse
// rejects settings under which that minimum would be too long.
func (s *Settings) LeaseGracePeriod() time.Duration {
	cancellationSlack := s.Workers.CancellationDeadline - s.Workers.LeaseDuration
	return max(minLeaseGracePeriod, cancellationSlack-leaseGraceMargin)
}

const (
	// clockDriftDivisor allows for a clock drift of half a percent, ten times the 0.05% that the
	// protocol allows.
	clockDriftDivisor = 200
	// lastAnswerMargin allows for the delivery time of the last answer to a worker.
	lastAnswerMargin = 1500 * time.Millisecond
)

// WorkerLeaseExpiry returns the time after the last answer to a worker by which the worker has
// certainly ended its tasks. It includes clock drift and the delivery of that answer.
func (s *Settings) WorkerLeaseExpiry() time.Duration {
	lease := s.Workers.LeaseDuration
	return lease + lease/clockDriftDivisor + lastAnswerMargin
}
