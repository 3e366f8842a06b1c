// Package policy holds the settings that operators can change apart from the platform's
// configuration: a file of lines "name = expression", which is checked before the service starts,
// and the queue order that it defines.
//
// A Policy does not change once it is loaded, so it needs no lock. The package imports only the
// descriptions of jobs and the settings.
package policy

import (
	"time"

	"github.com/expr-lang/expr/vm"
)

// Policy holds the operators' settings. The defaults suit any deployment.
type Policy struct {
	// SampleControllerShare is the share of the controllers that are asked for samples (C_p in the
	// paper).
	SampleControllerShare float64
	// SampleMachineShare is the share of its machines that each of these controllers samples (N_p
	// in the paper).
	SampleMachineShare float64
	// SampleMinMachines is the minimum number of machines that each controller samples. A
	// controller that owns fewer machines samples all of them.
	SampleMinMachines int
	// SampleTimeout bounds the time that sampling may take.
	SampleTimeout time.Duration
	// MultiBind is the number of candidates that are tried in the commit phase (m in the paper).
	MultiBind int
	// ResampleDelay is the pause before sampling again for a job for which no machine was found.
	ResampleDelay time.Duration
	// ScaleInIdleTime is the idle time after which a machine is returned to the cloud.
	ScaleInIdleTime time.Duration
	// WarmTasksPerGangClass is the number of tasks of each gang class for which capacity is kept
	// warm.
	WarmTasksPerGangClass int
	// Preemption allows tasks of lower priority to be stopped in favour of gangs.
	Preemption bool
	// ClassFairShare protects tasks from Preemption while jobs of their class wait and the class
	// has less than its fair share.
	ClassFairShare bool

	// RolloutSoak is how long all controllers have to be unchanged before the cluster version is
	// raised.
	RolloutSoak time.Duration
	// RolloutAbsenceTimeout is how long a raise of the cluster version waits for a controller that
	// is down.
	RolloutAbsenceTimeout time.Duration
	// RolloutHold prevents the cluster version from being raised.
	RolloutHold bool

	queueOrder *vm.Program // compiled queue_order; nil: the built-in order
}

// Default returns the policy that applies where operators set nothing.
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
