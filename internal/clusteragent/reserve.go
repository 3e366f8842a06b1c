package clusteragent

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/statekv"
)

// reservableMachine returns the machine that a scheduler wants to reserve, or nil if this
// controller does not own it under the requested revision, is not certain of its lease, or the
// scheduler's epoch is outdated. The caller must hold a.mu.
func (a *Agent) reservableMachine(r *agentapi.CommitRequest, now time.Time) *ownedMachine {
	m := a.machines[r.Machine]
	if m == nil || m.Ownership.Rev != r.Rev || a.denial(m, startTasks, now) != "" {
		return nil
	}
	if !a.isLatestEpoch(statekv.JobShardPrefix+r.Slot, r.Epoch) {
		return nil
	}
	return m
}

// reserveMachine reserves the machine of the request for its job if prepare returns ok, for the
// time that prepare returns. It calls prepare with a.mu held.
func (a *Agent) reserveMachine(
	r *agentapi.CommitRequest, reply *agentapi.CommitReply,
	prepare func(m *ownedMachine, now time.Time) (hold time.Duration, ok bool),
) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	reply.Verdicts = []string{agentapi.Refused}
	m := a.reservableMachine(r, now)
	if m == nil {
		return
	}
	if hold, ok := prepare(m, now); ok {
		m.Reservation.Reserve(&r.Request, now, hold)
		reply.Verdicts[0] = agentapi.Held
	}
}
