package clusteragent

import (
	"time"

	"robinstack/internal/agentapi"
)

// decisionRetention is the least time for which a decision is kept. It is far above the time after
// which a copy of a commit can arrive.
const decisionRetention = 15 * time.Minute

// decisionKind is what an owner has decided about an attempt on a machine.
type decisionKind uint8

const (
	// attemptRefused: the attempt has not been and will not be started on the machine.
	attemptRefused decisionKind = iota + 1
	// attemptStarted: the attempt was started on the machine, whether it is still there or not.
	attemptStarted
)

// attemptDecision is a decision with the ownership revision under which it was made.
type attemptDecision struct {
	kind         decisionKind
	ownershipRev uint64
}

// machineAttempt identifies an attempt on a machine: after a refusal, a scheduler commits the same
// attempt to another machine.
type machineAttempt struct {
	machine string
	ref     agentapi.TaskRef
}

// decidedAttempts holds what the agent has decided about attempts, so that a commit takes effect once,
// however often and late copies of it arrive. It starts empty: a commit from before this session names an
// ownership revision that is not this session's. Decisions are kept in two generations, so that
// dropping old ones costs no scan. Agent.mu guards it.
type decidedAttempts struct {
	current, previous map[machineAttempt]attemptDecision
	rotatedAt         time.Time
}

func newDecidedAttempts(now time.Time) decidedAttempts {
	return decidedAttempts{current: map[machineAttempt]attemptDecision{}, rotatedAt: now}
}

// add records a decision. That an attempt was started is never replaced.
func (d *decidedAttempts) add(machine string, ref agentapi.TaskRef, decision attemptDecision) {
	if decision.kind == attemptRefused && d.get(machine, ref).kind == attemptStarted {
		return
	}
	d.current[machineAttempt{machine, ref}] = decision
}

// get returns the decision on an attempt on a machine. It is zero if no commit has asked for the attempt
// there, or only for a reservation.
func (d *decidedAttempts) get(machine string, ref agentapi.TaskRef) attemptDecision {
	key := machineAttempt{machine, ref}
	if decision, ok := d.current[key]; ok {
		return decision
	}
	return d.previous[key]
}

// expire drops decisions that are older than decisionRetention, at the latest when they are twice as old.
func (d *decidedAttempts) expire(now time.Time) {
	if now.Sub(d.rotatedAt) > decisionRetention {
		d.previous, d.current, d.rotatedAt = d.current, map[machineAttempt]attemptDecision{}, now
	}
}
