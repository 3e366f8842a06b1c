// Package policy holds what operators may set beyond the platform's file: a file of lines
// "name = expression", checked before the service starts, and the queue order that follows.
//
// A Policy does not change once it is loaded, so nothing guards it. The package imports only the
// descriptions of jobs and the settings.
package policy

import (
	"time"

	"github.com/expr-lang/expr/vm"
)

// Policy is the operators' settings, with defaults that serve any deployment.
type Policy struct {
	// SampleControllerShare is the share of the controllers asked for samples (the paper's C_p).
	SampleControllerShare float64
	// SampleMachineShare is the share of its machines that each samples (the paper's N_p).
	SampleMachineShare float64
	// SampleMinMachines is how many machines each samples at least, if it has as many.
	SampleMinMachines int
	// SampleTimeout is how long sampling may take.
	SampleTimeout time.Duration
	// MultiBind is how many candidates are tried in the commit phase (the paper's m).
	MultiBind int
	// ResampleDelay is the pause before a job that found no machine samples again.
	ResampleDelay time.Duration
	// ScaleInIdleTime is the idle time after which a machine is returned to the cloud.
	ScaleInIdleTime time.Duration
	// WarmTasksPerGangClass is for how many tasks of each class of gangs capacity is kept ready.
	WarmTasksPerGangClass int
	// Preemption stops tasks of lower priority in favour of gangs.
	Preemption bool
	// ClassFairShare keeps Preemption from a class that waits with less than its fair share.
	ClassFairShare bool

	// RolloutSoak is how long all controllers have to have been unchanged before the cluster
	// version is raised.
	RolloutSoak time.Duration
	// RolloutAbsenceTimeout is how long a controller that is away is waited for.
	RolloutAbsenceTimeout time.Duration
	// RolloutHold keeps the cluster version from being raised without an operator.
	RolloutHold bool

	queueOrder *vm.Program // queue_order, nil for the built-in order
}

// Default returns the policy that holds where operators set nothing.
func Default() *Policy {
	return &Policy{
		SampleControllerShare: 1,
		SampleMachineShare:    0.04,
		SampleMinMachines:     48,
		SampleTimeout:         time.Second,
		MultiBind:             3,
		ResampleDelay:         time.Second,
		ScaleInIdleTime:       25 * time.Second,
		WarmTasksPerGangClass: 2,
		Preemption:            true,
		ClassFairShare:        true,
		RolloutSoak:           30 * time.Second,
		RolloutAbsenceTimeout: 10 * time.Minute,
	}
}
