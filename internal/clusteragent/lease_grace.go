package clusteragent

import (
	"log/slog"
	"time"
)

// mayAnswer reports whether this controller may still act for its machines: a successor counts
// on it to stop in time.
func (a *Agent) mayAnswer(now time.Time) bool { return a.leaseGraceLeft(now) > 0 }

// leaseGraceLeft is how much longer this controller may act for its machines, if it does not
// reach the state service again.
func (a *Agent) leaseGraceLeft(now time.Time) time.Duration {
	known := a.session.LastRenewal()
	if fresh := a.mirror.FreshAsOf(); fresh.Before(known) {
		known = fresh
	}
	grace := a.settings.LeaseGracePeriod()
	if left := grace - now.Sub(known); left > grace*3/4 || a.AcknowledgedUntil == nil {
		return left
	}
	// In an outage that all meet nobody can acknowledge anything new, and they all say so.
	if acknowledged := a.AcknowledgedUntil(a.mirror.Rev()); acknowledged.After(known) {
		known = acknowledged
	}
	return grace - now.Sub(known)
}

// solicitBefore is how long before the end of the lease grace period the workers are asked for
// a heartbeat once more.
const solicitBefore = 1500 * time.Millisecond

// solicitHeartbeats raises the tokens of all machines when the lease grace period is about to
// end: a worker that sees a higher token sends a heartbeat within half a second, so that its
// lease counts from the end of that period, and not from up to a heartbeat's interval before.
// An outage of the state service or a cut of the zone may be over by then. The mutex is held.
func (a *Agent) solicitHeartbeats(now time.Time) {
	left := a.leaseGraceLeft(now)
	if left > solicitBefore || left <= 0 || a.session.HoldsLease() {
		a.heartbeatsSolicited = a.heartbeatsSolicited && left <= solicitBefore
		return
	}
	if a.heartbeatsSolicited {
		return
	}
	a.heartbeatsSolicited = true
	n := 0
	for _, m := range a.machines {
		if m.Operational() && m.Ownership.Reconciled() && !m.Liveness.Unresponsive() {
			m.Ownership.RaiseToken()
			m.wake()
			n++
		}
	}
	slog.Info("heartbeats solicited", "machines", n)
}
