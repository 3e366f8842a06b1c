package config

import (
	"slices"
	"time"
)

// Kinds of objectives that the service acts on.
const (
	objectiveFinished = "finished" // done within a time
	objectiveDeadline = "deadline" // done within a multiple of the job's deadline
	objectiveWait     = "wait"     // started within a time
)

// Objective is one of the users' service-level objectives.
type Objective struct {
	Kind           string
	Class          string // of jobs
	Within         time.Duration
	Share          float64 // of jobs that should meet it
	DeadlineFactor float64
}

// CompletionTargets are the times, from its submission, by which a job should be done: those that
// the objectives of its class name, in rising order, or else its deadline, in seconds; nil: none.
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

// StartTargets lists the times within which tasks of a class should have started by its
// objectives, the tightest first.
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
