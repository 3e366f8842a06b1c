package autoscaler

import (
	"robinstack/internal/clusteragent"
	"robinstack/internal/job"
)

// Want is a task for which a placer asks a permit.
type Want struct {
	Ref  clusteragent.TaskRef
	Team string
	Need job.Need
}

// PermitRequest asks for permits, or gives back those that were not used.
type PermitRequest struct {
	Slot    string
	Epoch   uint64
	Wants   []Want
	Release []clusteragent.TaskRef
	Probe   bool         // only say what would be granted
	Reserve *Reservation // keep what comes free below the team's limit for a job
	Settled bool         // the slot has settled: earlier epochs' unused permits are void
}

// PermitReply says which were granted.
type PermitReply struct {
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

// Demand is a job with tasks that wait or run, as its placer sees it.
type Demand struct {
	Spec    job.Spec
	Waiting int
	Running int
	AgeS    float64
	Warm    bool   // room kept ready for gangs to come
	Zone    string // where its tasks hold a job that must be in one zone; "": nowhere yet
}

// DemandRequest tells the steward what a controller's jobs need.
type DemandRequest struct {
	Host string
	Jobs []Demand
}
