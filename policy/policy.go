// Package policy holds what operators may set beyond the platform's file.
package policy

import (
	"time"

	"robinstack/job"
)

// Policy is the operators' settings, with defaults that serve any deployment.
type Policy struct {
	SampleControllers float64       // share of the controllers asked for samples (C_p)
	SampleMachines    float64       // share of its machines that each samples (N_p)
	SampleTimeout     time.Duration // how long sampling may take
	MultiBind         int           // candidates tried in the commit phase (m)
	RetryAfter        time.Duration // pause before a job without a place samples again
	IdleReturn        time.Duration // idle time after which a machine is returned
	Preempt           bool          // stop tasks of lower priority to make room for gangs
}

// Default returns the policy that holds where operators set nothing.
func Default() *Policy {
	return &Policy{SampleControllers: 1, SampleMachines: 1, SampleTimeout: time.Second, MultiBind: 3, RetryAfter: time.Second, IdleReturn: 60 * time.Second, Preempt: true}
}

// Order puts jobs in the queue's order: rank first, then by the deadline, with
// those behind that can no longer meet it, the rest by age.
func (p *Policy) Order(spec *job.Spec, age time.Duration) float64 {
	const ranks, classes = 1e9, 1e6
	order := float64(spec.Priority()) * ranks
	if spec.DeadlineS == nil {
		return order + classes + age.Seconds()
	}
	left := *spec.DeadlineS - age.Seconds()
	if left >= spec.EstimateS {
		return order + classes - left
	}
	return order - left
}
