package job

import (
	"fmt"
	"slices"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/config"
)

// Spec is a job as submitted. Amounts that end in S are seconds.
type Spec struct {
	ID          string   `json:"id"`
	Class       string   `json:"job_class"`
	Team        string   `json:"owner"`
	Shape       string   `json:"shape"`
	Rank        string   `json:"rank"`
	Tasks       int      `json:"pieces"`
	Need                 // of each task
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"pull_gb"`
	Types       []string `json:"host_kinds"` // machine types that it may use; nil: all
	Zone        *string  `json:"site"`       // nil: any
	OneZone     bool     `json:"one_zone"`
	Spread      bool     `json:"spread"`
	Spot        bool     `json:"loaners"` // it may use spot machines
	EstimateS   float64  `json:"guess_s"` // how long a task takes
	CheckpointS float64  `json:"snapshot_every_s"`
	SaveS       float64  `json:"snapshot_s"`
	DeadlineS   *float64 `json:"due_s"` // after the submission; nil: none

	// WaitsOn names the dependencies: the jobs that have to be done before any task of this
	// one starts.
	WaitsOn []string `json:"waits_on,omitempty"`
}

// CheckpointDuration is the time a task needs to save its progress when it is stopped.
func (s *Spec) CheckpointDuration() time.Duration { return config.Seconds(s.SaveS) }

// CanCheckpoint reports whether the job's tasks can save their progress.
func (s *Spec) CanCheckpoint() bool { return s.CheckpointS > 0 }

// RelativeDeadline is the time from the submission to the job's deadline, or 0 without one.
func (s *Spec) RelativeDeadline() time.Duration {
	if s.DeadlineS == nil {
		return 0
	}
	return config.Seconds(*s.DeadlineS)
}

// Priority is the priority of the job's rank; higher goes first.
func (s *Spec) Priority() int { return priorities[s.Rank] }

// AllowsType reports whether the job may run on machines of the named type.
func (s *Spec) AllowsType(name string) bool {
	return s.Types == nil || slices.Contains(s.Types, name)
}

// AllowsMachine reports whether the job may run on such a machine at all.
func (s *Spec) AllowsMachine(typeName, zone string, spot bool) bool {
	return s.AllowsType(typeName) && (s.Zone == nil || *s.Zone == zone) && (s.Spot || !spot)
}

// FetchTime is how long the job's image usually takes, by the slowest machine type that it
// may use.
func (s *Spec) FetchTime(types map[string]cloud.MachineType) time.Duration {
	slowest := 0.0
	for _, t := range types {
		if t.FetchGBPerS > 0 && s.AllowsType(t.Name) && s.FitsIn(Capacity(t)) {
			slowest = max(slowest, s.ImageGB/t.FetchGBPerS)
		}
	}
	return config.Seconds(slowest)
}

// UnschedulableReason says why the job can never run, or "".
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
	atOnce := float64(s.Tasks) // tasks that have to run at the same time
	if s.Shape == Array {
		atOnce = 1
	}
	exceedsCPUs := team.CPUQuota > 0 && atOnce*s.CPUs > team.CPUQuota
	exceedsGPUs := team.GPUQuota > 0 && atOnce*s.GPUs > team.GPUQuota
	if exceedsCPUs || exceedsGPUs {
		return "needs more than the limit of team " + s.Team
	}
	return ""
}

// fitsAnyType reports whether a task fits an empty machine of a type and zone that the job
// allows.
func (s *Spec) fitsAnyType(types map[string]cloud.MachineType) bool {
	for _, t := range types {
		inZone := s.Zone == nil || slices.Contains(t.Zones, *s.Zone)
		if inZone && s.AllowsType(t.Name) && s.FitsIn(Capacity(t)) {
			return true
		}
	}
	return false
}
