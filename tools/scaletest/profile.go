// Package scaletest runs real controllers as processes against stand-ins at a size that a
// profile states, measures what each role costs, and fits how that grows.
package scaletest

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"robinstack/internal/policy"
)

// ErrProfile marks errors in a profile, and ErrDoesNotFit a run that this machine has no
// room for.
var (
	ErrProfile    = errors.New("the profile is not valid")
	ErrDoesNotFit = errors.New("the run does not fit this machine")
)

// Profile says what to run. Times are in seconds.
type Profile struct {
	Name     string `toml:"name"`
	Duration int    `toml:"duration_s"`
	Warmup   int    `toml:"warmup_s"` // jobs that are submitted earlier are not measured
	Seed     uint64 `toml:"seed"`

	Controllers   Controllers   `toml:"controllers"`
	State         State         `toml:"state"`
	Cloud         Cloud         `toml:"cloud"`
	Workers       Workers       `toml:"workers"`
	Regions       []Region      `toml:"regions"`
	Types         []MachineType `toml:"types"`
	Teams         Teams         `toml:"teams"`
	Jobs          []JobClass    `toml:"jobs"`
	Configuration Configuration `toml:"configuration"`
	Faults        []Fault       `toml:"faults"`
	Sweep         Sweep         `toml:"sweep"`
}

// Controllers says how many controllers there are and what the settings say each may use.
type Controllers struct {
	Count    int     `toml:"count"`
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Policy   string  `toml:"policy"` // what operators set, as in a policy file
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS     float64 `toml:"rps"`
	ListLag float64 `toml:"list_lag_s"`
}

// Workers says how workers behave.
type Workers struct {
	Report   float64 `toml:"report_s"`
	Lease    float64 `toml:"lease_s"`
	GangWait float64 `toml:"gang_wait_s"`
	GangPeer float64 `toml:"gang_peer_s"`
	Cancel   float64 `toml:"cancel_s"`
	Fetch    float64 `toml:"fetch_s"` // of an image that a machine does not have
}

// Region is a region with its zones. Controllers and machines are spread evenly over zones.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// MachineType is a type of machine; Count of it are there from the beginning.
type MachineType struct {
	Name     string  `toml:"name"`
	Count    int     `toml:"count"`
	CPUs     float64 `toml:"cpus"`
	GPUs     float64 `toml:"gpus"`
	MemoryGB float64 `toml:"memory_gb"`
	Boot     float64 `toml:"boot_s"`
	Price    float64 `toml:"price"`
}

// Teams says how many teams there are; each has the same quota.
type Teams struct {
	Count   int     `toml:"count"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// JobClass is a class of jobs. One of Tasks is drawn for each job.
type JobClass struct {
	Name      string  `toml:"class"`
	Shape     string  `toml:"shape"`
	Rank      string  `toml:"rank"`
	Tasks     []int   `toml:"tasks"`
	CPUs      float64 `toml:"cpus"`
	GPUs      float64 `toml:"gpus"`
	MemoryGB  float64 `toml:"memory_gb"`
	Run       float64 `toml:"run_s"` // on average; each job's is drawn from half to one and a half
	PerSecond float64 `toml:"jobs_per_s"`
	OneZone   bool    `toml:"one_zone"`
	Cancelled float64 `toml:"cancelled"` // share that its users cancel
	Urgent    bool    `toml:"urgent"`
	Images    int     `toml:"images"`

	BurstAt float64 `toml:"burst_at_s"` // when so many jobs come within a second
	Burst   int     `toml:"burst_jobs"`
}

// Configuration says how often the configuration changes. Nothing in the service carries
// that yet: a run says so.
type Configuration struct {
	PerDay float64 `toml:"changes_per_day"`
}

// Fault is something that fails.
type Fault struct {
	At    float64 `toml:"at_s"`
	Kind  string  `toml:"kind"`
	Count int     `toml:"count"`
	Zone  string  `toml:"zone"`
	For   float64 `toml:"for_s"`
}

// Kinds of faults: machines end with all that is on them, hang, or end together with those
// rented beside them or in one zone; a controller's process ends and is back after a time.
const (
	WorkerFails     = "worker_fails"
	WorkerHangs     = "worker_hangs"
	RackFails       = "rack_fails"
	ZoneFails       = "zone_fails"
	ControllerFails = "controller_fails"
)

// Sweep lists the sizes that a sweep runs: each number of workers with each of controllers.
type Sweep struct {
	Workers     []int `toml:"workers"`
	Controllers []int `toml:"controllers"`
	Duration    int   `toml:"duration_s"`
	Warmup      int   `toml:"warmup_s"`
}

// Load reads and checks a profile. An error names the file, the line and the field.
func Load(path string) (*Profile, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrProfile, err)
	}
	p, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%w: %s:%w", ErrProfile, path, err)
	}
	return p, nil
}

// Parse checks a profile given as TOML. An error begins with the line.
func Parse(raw []byte) (*Profile, error) {
	var p Profile
	decoder := toml.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return nil, describe(err)
	}
	for _, f := range p.faults() {
		if f.bad {
			return nil, fmt.Errorf("%d: %s: %s", lineOf(raw, f.field), f.field, f.what)
		}
	}
	return &p, nil
}

// describe gives the decoder's errors a line and a field.
func describe(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("%d: %s: unknown field", line, strings.Join(first.Key(), "."))
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return fmt.Errorf("%d: %s: %w", line, strings.Join(wrong.Key(), "."), err)
	}
	return fmt.Errorf("1: %w", err)
}

// finding is a check of a field.
type finding struct {
	bad   bool
	field string // as lineOf takes it
	what  string
}

// Zones lists the zones of all regions.
func (p *Profile) Zones() []string {
	var zones []string
	for _, r := range p.Regions {
		zones = append(zones, r.Zones...)
	}
	return zones
}

// Machines counts the machines that are there from the beginning.
func (p *Profile) Machines() (n int) {
	for _, t := range p.Types {
		n += t.Count
	}
	return n
}

// badPolicy says what is wrong with what operators set, or nothing.
func (p *Profile) badPolicy() error {
	_, err := policy.Parse("policy", []byte(p.Controllers.Policy))
	return err
}

// mostControllers is how many controllers a run may have.
const mostControllers = 16

// faults lists the checks of all fields.
func (p *Profile) faults() []finding {
	out := []finding{
		{p.Name == "", "name", "is missing"},
		{p.Duration < 5 || p.Duration > 3600, "duration_s", "must be 5 to 3600"},
		{p.Warmup < 0 || p.Warmup >= p.Duration, "warmup_s", "must be from 0 to below duration_s"},
		{p.Controllers.Count < 1 || p.Controllers.Count > mostControllers, "controllers.count", fmt.Sprintf("must be 1 to %d", mostControllers)},
		{p.Controllers.MemoryMB < 32, "controllers.memory_mb", "must be at least 32"},
		{p.Controllers.Sockets < 100, "controllers.sockets", "must be at least 100"},
		{p.Controllers.Cores <= 0, "controllers.cores", "must be above 0"},
		{p.badPolicy() != nil, "controllers.policy", fmt.Sprint(p.badPolicy())},
		{p.State.RPS <= 0, "state.rps", "must be above 0"},
		{p.State.WriteRPS <= 0, "state.write_rps", "must be above 0"},
		{p.State.ValueKB < 2, "state.value_kb", "must be at least 2"},
		{p.State.TxnOps < 6, "state.txn_ops", "must be at least 6"},
		{p.Cloud.RPS <= 0, "cloud.rps", "must be above 0"},
		{p.Cloud.ListLag < 0, "cloud.list_lag_s", "must not be negative"},
		{p.Workers.Report <= 0, "workers.report_s", "must be above 0"},
		{p.Workers.Lease <= p.Workers.Report, "workers.lease_s", "must be above report_s"},
		{p.Workers.Cancel < p.Workers.Lease+4, "workers.cancel_s", "must be at least 4 above lease_s"},
		{p.Workers.GangWait <= 0, "workers.gang_wait_s", "must be above 0"},
		{p.Workers.GangPeer <= 0, "workers.gang_peer_s", "must be above 0"},
		{p.Workers.Fetch <= 0, "workers.fetch_s", "must be above 0"},
		{len(p.Zones()) == 0, "regions", "there is no zone"},
		{p.Machines() == 0, "types", "there is no machine"},
		{p.Teams.Count < 1 || p.Teams.Count > 1000, "teams.count", "must be 1 to 1000"},
		{p.Teams.GPUs < 0 || p.Teams.GPUsMax < 0, "teams.gpus_max", "must not be negative"},
		{p.Configuration.PerDay < 0, "configuration.changes_per_day", "must not be negative"},
		{len(p.Jobs) == 0, "jobs", "there is none"},
	}
	for k, t := range p.Types {
		at := fmt.Sprintf("types[%d].", k)
		out = append(out, finding{t.Name == "", at + "name", "is missing"}, finding{t.Count < 0, at + "count", "must not be negative"},
			finding{t.CPUs <= 0, at + "cpus", "must be above 0"}, finding{t.MemoryGB <= 0, at + "memory_gb", "must be above 0"},
			finding{t.GPUs < 0, at + "gpus", "must not be negative"}, finding{t.Price <= 0, at + "price", "must be above 0"}, finding{t.Boot <= 0, at + "boot_s", "must be above 0"})
	}
	for k, j := range p.Jobs {
		out = append(out, j.faults(fmt.Sprintf("jobs[%d].", k))...)
	}
	for k, f := range p.Faults {
		out = append(out, f.faults(fmt.Sprintf("faults[%d].", k), p)...)
	}
	for _, n := range p.Sweep.Controllers {
		out = append(out, finding{n < 1 || n > mostControllers, "sweep.controllers", fmt.Sprintf("each must be 1 to %d", mostControllers)})
	}
	return out
}

func (c *JobClass) faults(at string) []finding {
	return []finding{
		{c.Name == "", at + "class", "is missing"},
		{c.Shape != "sweep" && c.Shape != "gang", at + "shape", `must be "sweep" or "gang"`},
		{!slices.Contains([]string{"production", "high", "normal", "best_effort"}, c.Rank), at + "rank", "is unknown"},
		{len(c.Tasks) == 0 || slices.Min(c.Tasks) < 1, at + "tasks", "must list numbers above 0"},
		{c.CPUs < 0 || c.GPUs < 0 || c.MemoryGB < 0, at + "cpus", "has a negative amount"},
		{c.Run <= 0, at + "run_s", "must be above 0"},
		{c.PerSecond < 0 || c.PerSecond > 1000, at + "jobs_per_s", "must be 0 to 1000"},
		{c.Cancelled < 0 || c.Cancelled > 1, at + "cancelled", "must be 0 to 1"},
		{c.Images < 1, at + "images", "must be at least 1"},
	}
}

func (f *Fault) faults(at string, p *Profile) []finding {
	kinds := []string{WorkerFails, WorkerHangs, RackFails, ZoneFails, ControllerFails}
	return []finding{
		{f.At < 0 || f.At >= float64(p.Duration), at + "at_s", "must be within duration_s"},
		{!slices.Contains(kinds, f.Kind), at + "kind", "must be one of " + strings.Join(kinds, ", ")},
		{f.Kind != ZoneFails && f.Count < 1, at + "count", "must be at least 1"},
		{f.Kind == ZoneFails && !slices.Contains(p.Zones(), f.Zone), at + "zone", "is no zone of a region"},
		{f.For < 0, at + "for_s", "must not be negative"},
	}
}
