package clusteragent

import (
	"log/slog"
	"time"
)

// withinLeaseGrace reports whether this controller may still act for its machines. A successor
// relies on the earlier owner to stop at the end of the lease grace period.
func (a *Agent) withinLeaseGrace(now time.Time) bool { return a.leaseGraceRemaining(now) > 0 }

// leaseGraceRemaining returns how long this controller may still act for its machines if it does
// not reach the state service again.
func (a *Agent) leaseGraceRemaining(now time.Time) time.Duration {
	freshAsOf := a.session.LastRenewal()
	if mirrorFreshAsOf := a.mirror.FreshAsOf(); mirrorFreshAsOf.Before(freshAsOf) {
		freshAsOf = mirrorFreshAsOf
	}
	grace := a.settings.LeaseGracePeriod()
	if remaining := grace - now.Sub(freshAsOf); remaining > grace*3/4 || a.AcknowledgedUntil == nil {
		return remaining
	}
	// In an outage that affects all controllers, none of them can acknowledge a new cancellation.
	// While all of them confirm this, the grace period counts from their confirmations.
	if acknowledged := a.AcknowledgedUntil(a.mirror.Rev()); acknowledged.After(freshAsOf) {
		freshAsOf = acknowledged
	}
	return grace - now.Sub(freshAsOf)
}

// solicitLeadTime is how long before the end of the lease grace period the workers are asked for
// another heartbeat.
const solicitLeadTime = 1500 * time.Millisecond

// solicitHeartbeats raises the fencing tokens of all machines shortly before the lease grace period
// ends. A worker that sees a higher token sends a heartbeat within half a second, so its lease
// counts from the end of that period instead of from up to one heartbeat interval earlier. By the
// time the lease runs out, the outage of the state service or the partition of the zone may be
// over. The caller must hold a.mu.
func (a *Agent) solicitHeartbeats(now time.Time) {
	remaining := a.leaseGraceRemaining(now)
	if remaining > solicitLeadTime || remaining <= 0 || a.session.HoldsLease() {
		a.heartbeatsSolicited = a.heartbeatsSolicited && remaining <= solicitLeadTime
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
			m.wakeSender()
			n++
		}
	}
	slog.Info("heartbeats solicited", "machines", n)
}
