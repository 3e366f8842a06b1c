// Package quota holds the net/rpc messages by which schedulers ask the elected leader for
// quota grants. Field names and kinds are the wire format (gob) and must not change.
package quota

import (
	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// GrantRequest is a task for which a placer asks a permit.
type GrantRequest struct {
	Ref  agentapi.TaskRef
	Team string
	Need job.Need
}

// Request asks for permits, or gives back those that were not used.
type Request struct {
	Slot    string
	Epoch   uint64
	Wants   []GrantRequest
	Release []agentapi.TaskRef
	Probe   bool         // only say what would be granted
	Reserve *Reservation // keep what comes free below the team's limit for a job
	Settled bool         // the slot has settled: earlier epochs' unused permits are void
}

// Reply says which were granted.
type Reply struct {
	Granted  []bool
	Epoch    uint64
	Reserved bool // the limit leaves room for all that was to be kept
}

// Reservation is a job for which the room below its team's limit is kept.
type Reservation struct {
	Job, Team string
	Need      job.Need // of all that it needs to begin
	Since     int64    // when it could start, in milliseconds since 1970: the earliest goes first
}
