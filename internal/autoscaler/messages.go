package autoscaler

import "robinstack/internal/job"

// The messages of the methods Demand and Overdue of the net/rpc service "Steward". Field names and
// types are the wire format (gob, JSON) and must not change.

// Demand is the demand of one job with waiting or running tasks, as reported by its scheduler.
type Demand struct {
	Spec    job.Spec
	Waiting int     // number of tasks without a machine
	Running int     // number of tasks on machines
	AgeS    float64 // seconds since the job was submitted or, if later, its dependencies finished
	Warm    bool    // whether this is warm capacity for future gangs
	Zone    string  // if the job must be in one zone: zone of its tasks on machines, "" if there are none
}

// DemandRequest reports the demand of a controller's jobs to the leader.
type DemandRequest struct {
	Host string
	Jobs []Demand
}

// OverduePool counts the overdue provisioning machines of a pool.
type OverduePool struct {
	Type     string  `json:"type"`
	Zone     string  `json:"zone"`
	Spot     bool    `json:"spot"`
	Machines int     `json:"machines"`
	OldestS  float64 `json:"oldest_s"`
}
