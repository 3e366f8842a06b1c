package quota

import (
	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// Messages of the method Permit of the net/rpc service "Steward". Field names and types are the
// wire format (gob) and must not change.

// Request asks for grants, releases unused grants, and requests a reservation.
type Request struct {
	Slot    string // job shard of the requesting scheduler
	Epoch   uint64 // epoch in which the scheduler owns the job shard
	Wants   []GrantRequest
	Release []agentapi.TaskRef
	Probe   bool         // whether to decide only, without recording the grants
	Reserve *Reservation // reserve quota of the team for this job as it becomes free; nil: none
	Settled bool         // whether the job shard is reconciled: if so, unused grants of earlier epochs are released
}

// GrantRequest is a task for which a scheduler requests a quota grant.
type GrantRequest struct {
	Ref  agentapi.TaskRef
	Team string
	Need job.Resources
}

// Reservation is a job for which free quota of its team is reserved.
type Reservation struct {
	Job, Team string
	Need      job.Resources // of all tasks that the job needs to start
	Since     int64         // when the job became ready to start, in Unix milliseconds; the earliest job wins
}

// Reply answers a Request.
type Reply struct {
	Granted  []bool // in the order of Request.Wants
	Epoch    uint64 // leader epoch in which the grants are valid
	Reserved bool   // whether the reservation is held and the quota has room for all that its job needs
}
