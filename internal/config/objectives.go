package config

import (
	"slices"
	"time"
)

// Kinds of objectives that the controller uses. Objectives of other kinds have no effect.
const (
	objectiveFinished = "finished" // jobs complete within a time
	objectiveDeadline = "deadline" // jobs complete within a multiple of their deadline
	objectiveWait     = "wait"     // tasks start within a time
)

// Objective is a service-level objective for the jobs of one class.
type Objective struct {
	Kind           string
	Class          string // class of the jobs
	Within         time.Duration
	Share          float64 // fraction of the jobs that should meet it
	DeadlineFactor float64
}

// CompletionTargets returns the times since its submission within which a job should complete, the
// shortest first. These are the times of the completion objectives of its class, or, if there are
// none, the job's deadline (deadlineS seconds). The result is nil if the job has neither.
func (s *Settings) CompletionTargets(class string, deadlineS *float64) []time.Duration {
	var targets []time.Duration
	for _, objective := range s.Objectives {
		switch {
		case objective.Class != class:
		case objective.Kind == objectiveFinished:
			targets = append(targets, objective.Within)
		case objective.Kind == objectiveDeadline && deadlineS != nil:
			targets = append(targets, Seconds(*deadlineS*max(1, objective.DeadlineFactor)))
		}
	}
	if targets == nil && deadlineS != nil {
		targets = append(targets, Seconds(*deadlineS))
	}
	slices.Sort(targets)
	return targets
}

// StartTargets returns the times within which the objectives of a class want its tasks to start,
// the shortest first.
func (s *Settings) StartTargets(class string) []time.Duration {
	var targets []time.Duration
	for _, objective := range s.Objectives {
		if objective.Kind == objectiveWait && objective.Class == class {
			targets = append(targets, objective.Within)
		}
	}
	slices.Sort(targets)
	return targets
}
