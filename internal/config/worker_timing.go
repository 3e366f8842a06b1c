package config

import "time"

// WorkerTiming holds the durations that the workers keep to.
type WorkerTiming struct {
	HeartbeatInterval    time.Duration
	LeaseDuration        time.Duration // from the sending of a heartbeat that was answered
	GangWaitTimeout      time.Duration // for which a task waits for its gang
	GangPeerTimeout      time.Duration // within which a gang notices that a task is gone
	CancellationDeadline time.Duration // by which all tasks of a cancelled job must be gone
}

const (
	// leaseGraceMargin is kept between the end of the last lease and the cancellation deadline.
	leaseGraceMargin = time.Second
	// minLeaseGracePeriod is what renewals and watches take when all is well.
	minLeaseGracePeriod = 2500 * time.Millisecond
	// minCancellationSlack is how far the cancellation deadline must lie above the lease. Less
	// would not leave an owner the time between two views of the state service.
	minCancellationSlack = minLeaseGracePeriod + leaseGraceMargin
)

// LeaseGracePeriod is how long an owner that cannot renew its state lease goes on answering its
// workers. Whatever it keeps alive must still be gone within the cancellation deadline once the
// worker's own lease has run out as well.
//
// It counts from the sending of the last request that showed the owner the present. A cancellation
// that it does not know was written, and acknowledged to its user, after that. A worker's lease
// counts from the sending of a heartbeat, which comes before its answer, so delivery costs nothing;
// what is left to allow for is the drift of both clocks, 0.05% each, and the kill itself: together
// well under leaseGraceMargin. See "The lease grace period" in docs/design.md. It is never less
// than what renewals and watches take when all is well; settings under which that would be too long are
// rejected (Parse).
func (s *Settings) LeaseGracePeriod() time.Duration {
	slack := s.Workers.CancellationDeadline - s.Workers.LeaseDuration
	return max(minLeaseGracePeriod, slack-leaseGraceMargin)
}

const (
	// clockDriftDivisor allows for a drift of half a percent, ten times that of the protocol.
	clockDriftDivisor = 200
	// lastAnswerMargin allows for the delivery of the last answer.
	lastAnswerMargin = 1500 * time.Millisecond
)

// WorkerLeaseExpiry is the time after which a worker that nobody answers any more has ended its
// tasks, clock drift and delivery of the last answer included.
func (s *Settings) WorkerLeaseExpiry() time.Duration {
	lease := s.Workers.LeaseDuration
	return lease + lease/clockDriftDivisor + lastAnswerMargin
}
