package autoscaler

import "robinstack/internal/job"

// The messages of the methods Demand and Overdue of the net/rpc service "Steward". Field
// names and kinds are the wire format (gob, JSON) and must not change.

// Demand is a job with tasks that wait or run, as its scheduler sees it.
type Demand struct {
	Spec    job.Spec
	Waiting int     // tasks
	Running int     // tasks
	AgeS    float64 // since the job was submitted
	Warm    bool    // capacity kept ready for gangs to come
	Zone    string  // where its tasks hold a job that must be in one zone; "": nowhere yet
}

// DemandRequest tells the leader what a controller's jobs need.
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
