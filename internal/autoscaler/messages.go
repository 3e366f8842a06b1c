// Package autoscaler holds the net/rpc messages about the demand for machines and about
// machines that are overdue. Field names and kinds are the wire format (gob) and must not
// change.
package autoscaler

import "robinstack/internal/job"

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

// OverduePool counts the machines of a pool that should be up by now.
type OverduePool struct {
	Type     string  `json:"type"`
	Zone     string  `json:"zone"`
	Spot     bool    `json:"spot"`
	Machines int     `json:"machines"`
	OldestS  float64 `json:"oldest_s"`
}
