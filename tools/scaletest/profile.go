// Package scaletest is a load test of whole controllers. It runs them as processes, at the cluster
// size that a profile states, against simulated workers, users, state service and cloud; it
// measures the resource use of each role and fits how that use grows with the cluster.
//
// A run has three kinds of processes: the controllers, the load process with the simulated workers,
// cloud and users (loadProcess), and this process, which serves the state service and samples the
// resource use of all processes (Run). A Run starts and stops all processes. Its mutex guards the
// state that timers of faults change. The package may import the internal packages that define
// the service's data and settings, package emulator and the other packages under tools.
package scaletest

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Errors for runs that cannot be started or continued.
var (
	// ErrInvalidProfile marks errors in a profile.
	ErrInvalidProfile = errors.New("the profile is not valid")
	// ErrInsufficientCapacity marks a run that exceeds the capacity of the host.
	ErrInsufficientCapacity = errors.New("the run does not fit this machine")
)

// Profile describes a run: its duration, the size of the cluster, the limits, the load and the
// faults. Times are in seconds. Field names are part of the JSON form of LoadPlan.
type Profile struct {
	Name     string `toml:"name"`
	Duration int    `toml:"duration_s"`
	Warmup   int    `toml:"warmup_s"` // start latencies of jobs submitted earlier are not recorded
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

// Controllers describes the controllers: their number, and the resource limits of each as stated in
// its settings.
type Controllers struct {
	Count    int     `toml:"count"`
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Policy   string  `toml:"policy"` // content of the operators' policy file
}

// State holds the limits of the state service: requests and writes per second, value size, and
// operations per transaction.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the limits of the cloud: requests per second, and the delay with which its list of
// machines shows changes.
type Cloud struct {
	RPS     float64 `toml:"rps"`
	ListLag float64 `toml:"list_lag_s"`
}

// Workers holds the timing of the workers: heartbeat interval, lease duration, gang timeouts,
// cancellation deadline and image fetch time.
type Workers struct {
	Report   float64 `toml:"report_s"`
	Lease    float64 `toml:"lease_s"`
	GangWait float64 `toml:"gang_wait_s"`
	GangPeer float64 `toml:"gang_peer_s"`
	Cancel   float64 `toml:"cancel_s"`
	Fetch    float64 `toml:"fetch_s"` // time to fetch an image that the machine has not cached
}

// Region is a region with its zones. Controllers and machines are spread evenly over the zones of
// all regions.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// MachineType describes a machine type. Count is the number of initial machines of the type.
type MachineType struct {
	Name     string  `toml:"name"`
	Count    int     `toml:"count"`
	CPUs     float64 `toml:"cpus"`
	GPUs     float64 `toml:"gpus"`
	MemoryGB float64 `toml:"memory_gb"`
	Boot     float64 `toml:"boot_s"`
	Price    float64 `toml:"price"`
}

// Teams states the number of teams and the GPU guarantee and limit that each of them has.
type Teams struct {
	Count   int     `toml:"count"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// JobClass describes a class of jobs. The number of tasks of each job is drawn from Tasks.
type JobClass struct {
	Name      string  `toml:"class"`
	Shape     string  `toml:"shape"`
	Rank      string  `toml:"rank"`
	Tasks     []int   `toml:"tasks"`
	CPUs      float64 `toml:"cpus"`
	GPUs      float64 `toml:"gpus"`
	MemoryGB  float64 `toml:"memory_gb"`
	Run       float64 `toml:"run_s"` // mean run time; that of a job is drawn from 0.5 to 1.5 times the mean
	PerSecond float64 `toml:"jobs_per_s"`
	OneZone   bool    `toml:"one_zone"`
	Cancelled float64 `toml:"cancelled"` // share of the jobs that their users cancel
	Urgent    bool    `toml:"urgent"`
	Images    int     `toml:"images"`

	Spread      bool    `toml:"spread"`
	CheckpointS float64 `toml:"snapshot_every_s"` // 0: tasks cannot save a checkpoint
	SaveS       float64 `toml:"snapshot_s"`
	WaitsOn     int     `toml:"waits_on"`    // a job depends on up to this many jobs accepted before it
	ImageBytes  int     `toml:"image_bytes"` // least length of the name of the image

	BurstAt float64 `toml:"burst_at_s"` // start of a one-second burst of Burst jobs
	Burst   int     `toml:"burst_jobs"`
}

// Configuration states how often the configuration changes. The service has no function for
// configuration changes yet, so runs list them as unsupported.
type Configuration struct {
	PerDay float64 `toml:"changes_per_day"`
}

// Fault describes a fault to inject: its time, kind, number of affected machines or controllers,
// zone and duration.
type Fault struct {
	At    float64 `toml:"at_s"`
	Kind  string  `toml:"kind"`
	Count int     `toml:"count"`
	Zone  string  `toml:"zone"`
	For   float64 `toml:"for_s"`
}

// Kinds of faults. A worker fault makes single machines fail with all their tasks, or hang. A rack
// fault makes machines fail that were created consecutively, and a zone fault makes all machines of
// a zone fail. A controller fault kills the process of a controller and restarts it after the
// fault's duration.
const (
	WorkerFails     = "worker_fails"
	WorkerHangs     = "worker_hangs"
	RackFails       = "rack_fails"
	ZoneFails       = "zone_fails"
	ControllerFails = "controller_fails"
)

// Sweep lists the sizes of a sweep: every combination of a number of workers and a number of
// controllers.
type Sweep struct {
	Workers     []int `toml:"workers"`
	Controllers []int `toml:"controllers"`
	Duration    int   `toml:"duration_s"`
	Warmup      int   `toml:"warmup_s"`
}

// LoadProfile reads and checks a profile. Errors name the file, and for invalid content also the
// line and the field.
func LoadProfile(path string) (*Profile, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidProfile, err)
	}
	p, err := ParseProfile(raw)
	if err != nil {
		return nil, fmt.Errorf("%w: %s:%w", ErrInvalidProfile, path, err)
	}
	return p, nil
}

// ParseProfile parses and checks a profile in TOML. Errors begin with the line number.
func ParseProfile(raw []byte) (*Profile, error) {
	var p Profile
	decoder := toml.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return nil, addPosition(err)
	}
	for _, c := range p.checks() {
		if c.failed {
			return nil, fmt.Errorf("%d: %s: %s", fieldLine(raw, c.field), c.field, c.message)
		}
	}
	return &p, nil
}

// addPosition prefixes an error of the decoder with its line and, if known, its field.
func addPosition(err error) error {
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

// Machines returns the number of initial machines of all types.
func (p *Profile) Machines() (n int) {
	for _, t := range p.Types {
		n += t.Count
	}
	return n
}
