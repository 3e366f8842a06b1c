package job

import (
	"fmt"
	"slices"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/config"
)

// Spec is a job as submitted. Fields whose names end in S are durations in seconds.
type Spec struct {
	ID          string   `json:"id"`
	Class       string   `json:"job_class"`
	Team        string   `json:"owner"`
	Shape       string   `json:"shape"`
	Rank        string   `json:"rank"`
	Tasks       int      `json:"pieces"`
	Need                 // resources that each task requires
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"pull_gb"`
	Types       []string `json:"host_kinds"`       // allowed machine types; nil: all
	Zone        *string  `json:"site"`             // the only allowed zone; nil: all
	OneZone     bool     `json:"one_zone"`         // all tasks run in the same zone
	Spread      bool     `json:"spread"`           // at most half of the tasks, rounded up, run in one zone
	Spot        bool     `json:"loaners"`          // spot machines are allowed
	EstimateS   float64  `json:"guess_s"`          // estimated duration of a task
	CheckpointS float64  `json:"snapshot_every_s"` // between two checkpoints; 0: tasks cannot checkpoint
	SaveS       float64  `json:"snapshot_s"`       // duration of a checkpoint
	DeadlineS   *float64 `json:"due_s"`            // counted from the submission; nil: no deadline

	// WaitsOn lists the dependencies: the jobs that must be done before any task of this job
	// starts.
	WaitsOn []string `json:"waits_on,omitempty"`
}

// CheckpointDuration returns the time that a task needs to save its progress when it is stopped.
func (s *Spec) CheckpointDuration() time.Duration { return config.Seconds(s.SaveS) }

// CanCheckpoint reports whether the job's tasks can save their progress.
func (s *Spec) CanCheckpoint() bool { return s.CheckpointS > 0 }

// RelativeDeadline returns the time from the submission to the job's deadline, or 0 if it has none.
func (s *Spec) RelativeDeadline() time.Duration {
	if s.DeadlineS == nil {
		return 0
	}
	return config.Seconds(*s.DeadlineS)
}

// Priority returns the priority of the job's rank. Jobs with a higher priority are scheduled first.
func (s *Spec) Priority() int { return priorityByRank[s.Rank] }

// AllowsType reports whether the job may run on machines of the named type.
func (s *Spec) AllowsType(name string) bool {
	return s.Types == nil || slices.Contains(s.Types, name)
}

// AllowsMachine reports whether the job may run on a machine of the given type in the given zone.
// spot tells whether it is a spot machine.
func (s *Spec) AllowsMachine(typeName, zone string, spot bool) bool {
	return s.AllowsType(typeName) && (s.Zone == nil || *s.Zone == zone) && (s.Spot || !spot)
}

// FetchTime estimates how long a machine takes to fetch the job's image. It assumes the machine
// type with the slowest download among those that the job may use.
func (s *Spec) FetchTime(types map[string]cloud.MachineType) time.Duration {
	slowest := 0.0
	for _, t := range types {
		if t.FetchGBPerS > 0 && s.AllowsType(t.Name) && s.FitsIn(Capacity(t)) {
			slowest = max(slowest, s.ImageGB/t.FetchGBPerS)
		}
	}
	return config.Seconds(slowest)
}

// UnschedulableReason returns why the job can never run, in a text for the user, or "" if it can.
func (s *Spec) UnschedulableReason(types map[string]cloud.MachineType, teams map[string]config.Team) string {
	if slices.Contains(s.WaitsOn, s.ID) {
		return "waits_on: the job waits for itself"
	}
	team, ok := teams[s.Team]
	if !ok {
		return fmt.Sprintf("owner: no team %.40q", s.Team)
	}
	if !s.fitsAnyType(types) {
		return "a task fits no allowed machine type"
	}
	concurrentTasks := float64(s.Tasks) // tasks that have to run at the same time
	if s.Shape == Array {
		concurrentTasks = 1
	}
	exceedsCPUs := team.CPUQuota > 0 && concurrentTasks*s.CPUs > team.CPUQuota
	exceedsGPUs := team.GPUQuota > 0 && concurrentTasks*s.GPUs > team.GPUQuota
	if exceedsCPUs || exceedsGPUs {
		return "needs more than the limit of team " + s.Team
	}
	return ""
}

// fitsAnyType reports whether a task fits an empty machine of an allowed type in an allowed zone.
func (s *Spec) fitsAnyType(types map[string]cloud.MachineType) bool {
	for _, t := range types {
		inZone := s.Zone == nil || slices.Contains(t.Zones, *s.Zone)
		if inZone && s.AllowsType(t.Name) && s.FitsIn(Capacity(t)) {
			return true
		}
	}
	return false
}
