// Package scaletest runs real controllers as processes against stand-ins at a size that a
// profile states, measures what each role costs, and fits how that grows.
//
// A run has three kinds of processes: the controllers, one of the simulated workers and users
// (loadProcess), and this one, which serves the state service and samples all (Run). A Run
// owns all processes and ends them; its mutex guards what other goroutines tell it. The
// package may import what describes the service, package emulator and the tools beside it.
package scaletest

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// What is wrong with a run that can't be made.
var (
	// ErrProfile marks errors in a profile.
	ErrProfile = errors.New("the profile is not valid")
	// ErrDoesNotFit marks a run that this machine has no capacity for.
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
		return nil, locate(err)
	}
	for _, c := range p.checks() {
		if c.failed {
			return nil, fmt.Errorf("%d: %s: %s", lineOf(raw, c.field), c.field, c.message)
		}
	}
	return &p, nil
}

// locate gives the decoder's errors a line and a field.
func locate(err error) error {
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
