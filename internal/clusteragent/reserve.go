package clusteragent

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/statekv"
)

// reservable returns the machine that a scheduler asks to have reserved for a job, or nil
// where it or this owner is not the latest. The mutex is held.
func (a *Agent) reservable(r *agentapi.CommitRequest) *ownedMachine {
	m := a.machines[r.Machine]
	if m == nil || m.Ownership.Rev != r.Rev || !a.session.HoldsLease() {
		return nil
	}
	if !a.isLatestEpoch(statekv.JobShardPrefix+r.Slot, r.Epoch) {
		return nil
	}
	return m
}

// reserveMachine reserves the request's machine for its job, for as long as prepare says, if it
// does. prepare is called with the mutex held.
func (a *Agent) reserveMachine(
	r *agentapi.CommitRequest, reply *agentapi.CommitReply,
	prepare func(m *ownedMachine, now time.Time) (hold time.Duration, ok bool),
) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Verdicts = []string{agentapi.Refused}
	m := a.reservable(r)
	if m == nil {
		return
	}
	if hold, ok := prepare(m, now); ok {
		m.Reservation.Reserve(&r.Request, now, hold)
		reply.Verdicts[0] = agentapi.Held
	}
}
