package quota

import (
	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// The messages of the method Permit of the net/rpc service "Steward". Field names and
// kinds are the wire format (gob) and must not change.

// Request asks for grants, or releases those that were not used.
type Request struct {
	Slot    string // job shard of the scheduler that asks
	Epoch   uint64 // under which it holds the job shard
	Wants   []GrantRequest
	Release []agentapi.TaskRef
	Probe   bool         // only say what would be granted
	Reserve *Reservation // keep what comes free below the team's quota for a job
	Settled bool         // the job shard is reconciled: unused grants of earlier epochs lapse
}

// GrantRequest is a task for which a scheduler asks a grant.
type GrantRequest struct {
	Ref  agentapi.TaskRef
	Team string
	Need job.Resources
}

// Reservation is a job for which free capacity below its team's quota is kept.
type Reservation struct {
	Job, Team string
	Need      job.Resources // of all that it needs to start
	Since     int64         // when it could start, in milliseconds since 1970: the earliest goes first
}

// Reply says which requests were granted.
type Reply struct {
	Granted  []bool // in the order of Request.Wants
	Epoch    uint64 // leader epoch under which the grants hold
	Reserved bool   // the quota has free capacity for all that was to be kept
}
