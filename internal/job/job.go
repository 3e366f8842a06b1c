// Package job describes jobs as users submit them and as the state service
// keeps them.
package job

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/config"
)

// Shapes of jobs.
const (
	Array   = "sweep"
	Gang    = "gang"
	Service = "standing"
)

// Statuses a user is told.
const (
	Queued    = "queued"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"
)

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// Need is what one task takes of its machine.
type Need struct {
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"gpus"`
	MemoryGB float64 `json:"mem_gb"`
}

// FitsIn reports whether need fits into room.
func (n Need) FitsIn(room Need) bool {
	const slack = 1e-9
	return n.CPUs <= room.CPUs+slack && n.GPUs <= room.GPUs+slack && n.MemoryGB <= room.MemoryGB+slack
}

// AddScaled returns n plus k times o.
func (n Need) AddScaled(o Need, k float64) Need {
	return Need{n.CPUs + k*o.CPUs, n.GPUs + k*o.GPUs, n.MemoryGB + k*o.MemoryGB}
}

// DominantShare is the part of a machine's capacity that need takes: the largest of its amounts.
func (n Need) DominantShare(capacity Need) float64 {
	most := 0.0
	for _, p := range [][2]float64{{n.CPUs, capacity.CPUs}, {n.GPUs, capacity.GPUs}, {n.MemoryGB, capacity.MemoryGB}} {
		if p[1] > 0 {
			most = max(most, p[0]/p[1])
		}
	}
	return most
}

// CountIn is how many times need fits into room.
func (n Need) CountIn(room Need) int {
	k := math.Inf(1)
	for _, p := range [][2]float64{{n.CPUs, room.CPUs}, {n.GPUs, room.GPUs}, {n.MemoryGB, room.MemoryGB}} {
		if p[0] > 0 {
			k = min(k, math.Floor(p[1]/p[0]+1e-9))
		}
	}
	if math.IsInf(k, 1) {
		return MaxTasks
	}
	return max(0, int(k))
}

// Capacity is the room of an empty machine of type t.
func Capacity(t cloud.MachineType) Need {
	return Need{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// Spec is a job as submitted.
type Spec struct {
	ID    string `json:"id"`
	Class string `json:"job_class"`
	Team  string `json:"owner"`
	Shape string `json:"shape"`
	Rank  string `json:"rank"`
	Tasks int    `json:"pieces"`
	Need
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"pull_gb"`
	Types       []string `json:"host_kinds"`
	Zone        *string  `json:"site"`
	OneZone     bool     `json:"one_zone"`
	Spread      bool     `json:"spread"`
	Spot        bool     `json:"loaners"`
	EstimateS   float64  `json:"guess_s"`
	CheckpointS float64  `json:"snapshot_every_s"`
	SaveS       float64  `json:"snapshot_s"`
	DeadlineS   *float64 `json:"due_s"`

	// WaitsOn names the jobs that have to be done before any task of this one starts.
	WaitsOn []string `json:"waits_on,omitempty"`
}

// CheckpointDuration is the time a task needs to save when it is stopped.
func (s *Spec) CheckpointDuration() time.Duration { return config.Seconds(s.SaveS) }

// RelativeDeadline is the time from the submission to the job's deadline, or 0 without one.
func (s *Spec) RelativeDeadline() time.Duration {
	if s.DeadlineS == nil {
		return 0
	}
	return config.Seconds(*s.DeadlineS)
}

// CanCheckpoint reports whether the job's tasks can save their progress.
func (s *Spec) CanCheckpoint() bool { return s.CheckpointS > 0 }

// LowestPriority is the priority that stops nobody.
const LowestPriority = 0

// Priority orders the ranks; higher goes first.
func (s *Spec) Priority() int { return ranks[s.Rank] }

// PriorityOfRank orders ranks as Priority does; what is none comes last.
func PriorityOfRank(rank string) int {
	if n, ok := ranks[rank]; ok {
		return n
	}
	return -1
}

var ranks = map[string]int{"production": 3, "high": 2, "normal": 1, "best_effort": 0}

var idForm = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidID reports whether id has the form of a job id.
func ValidID(id string) bool { return idForm.MatchString(id) }

var required = []string{"id", "job_class", "owner", "shape", "rank", "pieces", "cpus", "gpus", "mem_gb", "bundle", "pull_gb",
	"one_zone", "spread", "loaners", "guess_s", "snapshot_every_s", "snapshot_s"}

// ParseSpec reads a submission; an error says what is malformed.
func ParseSpec(body []byte) (*Spec, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, errors.New("the body is not a JSON object")
	}
	for _, name := range required {
		if raw, ok := fields[name]; !ok || bytes.Equal(raw, []byte("null")) {
			return nil, fmt.Errorf("%s: is missing", name)
		}
	}
	var s Spec
	if err := json.Unmarshal(body, &s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("%s: must not be a JSON %s", te.Field, te.Value)
		}
		return nil, fmt.Errorf("malformed: %w", err)
	}
	s.WaitsOn = once(s.WaitsOn)
	return &s, s.check()
}

// once returns the names without those that are given again, in the order given.
func once(names []string) []string {
	seen := make(map[string]bool, len(names))
	return slices.DeleteFunc(names, func(name string) bool {
		again := seen[name]
		seen[name] = true
		return again
	})
}

// MaxDependencies bounds the jobs that one may wait for: with the longest ids they take
// half of the largest submission.
const MaxDependencies = 1000

func (s *Spec) check() error {
	_, knownRank := ranks[s.Rank]
	const most = 1e9 // any larger amount is a mistake
	amounts := map[string]float64{"cpus": s.CPUs, "gpus": s.GPUs, "mem_gb": s.MemoryGB, "pull_gb": s.ImageGB,
		"guess_s": s.EstimateS, "snapshot_every_s": s.CheckpointS, "snapshot_s": s.SaveS}
	if s.DeadlineS != nil {
		amounts["due_s"] = *s.DeadlineS
	}
	for name, a := range amounts {
		if a < 0 || a > most {
			return fmt.Errorf("%s: %v is out of range", name, a)
		}
	}
	short := map[string]string{"job_class": s.Class, "owner": s.Team, "bundle": s.Image}
	for name, v := range short {
		if v == "" || len(v) > 200 {
			return fmt.Errorf("%s: must have 1 to 200 bytes", name)
		}
	}
	switch {
	case !ValidID(s.ID):
		return fmt.Errorf("id: %.40q is no job id", s.ID)
	case s.Shape != Array && s.Shape != Gang && s.Shape != Service:
		return fmt.Errorf("shape: %.40q is unknown", s.Shape)
	case !knownRank:
		return fmt.Errorf("rank: %.40q is unknown", s.Rank)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return fmt.Errorf("pieces: must be 1 to %d", MaxTasks)
	case len(s.Types) > 50:
		return errors.New("host_kinds: has more than 50 entries")
	case len(s.WaitsOn) > MaxDependencies:
		return fmt.Errorf("waits_on: has more than %d entries", MaxDependencies)
	case s.Zone != nil && (*s.Zone == "" || len(*s.Zone) > 100):
		return errors.New("site: must have 1 to 100 bytes")
	}
	for _, t := range s.Types {
		if t == "" || len(t) > 100 {
			return errors.New("host_kinds: has an entry without a name or with an overlong one")
		}
	}
	for _, id := range s.WaitsOn {
		if !ValidID(id) {
			return fmt.Errorf("waits_on: %.40q is no job id", id)
		}
	}
	return nil
}

// AllowsType reports whether the job may run on machines of the named type.
func (s *Spec) AllowsType(name string) bool {
	if s.Types == nil {
		return true
	}
	for _, t := range s.Types {
		if t == name {
			return true
		}
	}
	return false
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

// UnschedulableReason says why the job can never run, or nothing.
func (s *Spec) UnschedulableReason(types map[string]cloud.MachineType, teams map[string]config.Team) string {
	if slices.Contains(s.WaitsOn, s.ID) {
		return "waits_on: the job waits for itself"
	}
	team, ok := teams[s.Team]
	if !ok {
		return fmt.Sprintf("owner: no team %.40q", s.Team)
	}
	fits := false
	for _, t := range types {
		zoned := s.Zone == nil
		for _, z := range t.Zones {
			zoned = zoned || z == *s.Zone
		}
		fits = fits || zoned && s.AllowsType(t.Name) && s.FitsIn(Capacity(t))
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := float64(s.Tasks)
	if s.Shape == Array {
		n = 1
	}
	if team.CPUQuota > 0 && n*s.CPUs > team.CPUQuota || team.GPUQuota > 0 && n*s.GPUs > team.GPUQuota {
		return "needs more than the limit of team " + s.Team
	}
	return ""
}

// TaskID names a task for the workers.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }

// SplitTaskID is the reverse of TaskID.
func SplitTaskID(task string) (jobID string, index int, ok bool) {
	jobID, tail, found := strings.Cut(task, "/")
	index, err := strconv.Atoi(tail)
	return jobID, index, found && err == nil && index >= 0 && ValidID(jobID)
}
