package autoscaler

import (
	"robinstack/internal/job"
)

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
