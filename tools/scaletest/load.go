package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"robinstack/emulator"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
)

// LoadPlan is what the process of the workers and users is told.
type LoadPlan struct {
	Profile     Profile
	Settings    string            // a controller's settings file
	Controllers map[string]string // addresses for users and workers, by host
	Cloud       string            // address to serve the cloud at
}

// Progress is what that process says each second.
type Progress struct {
	Second       int `json:"second"`
	MachinesUp   int `json:"machines_up"`
	TasksRunning int `json:"tasks_running"`
	Starts       int `json:"starts"` // since the last second
	OpenJobs     int `json:"jobs_open"`
}

// LoadResult is what that process measured.
type LoadResult struct {
	Classes     []ClassResult `json:"classes"`
	UrgentStart Latency       `json:"urgent_start"`
	OtherStart  Latency       `json:"other_start"`
	Submissions Latency       `json:"submissions"`

	Submitted int `json:"jobs_submitted"`
	Accepted  int `json:"jobs_accepted"`
	GivenUp   int `json:"jobs_given_up_by_users"`
	Done      int `json:"jobs_done"`
	Cancelled int `json:"jobs_cancelled"`

	TaskStarts               int     `json:"task_starts"`
	TaskRestarts             int     `json:"task_starts_again"`
	TasksKilledByLeaseExpiry int     `json:"tasks_killed_by_lease"`
	MaxRunningTasks          int     `json:"most_tasks_running"`
	MaxStartsPerSecond       int     `json:"peak_starts_a_second"`
	MaxMeanStartsOver10S     float64 `json:"starts_a_second_best_10_s"`
	MaxQuotaOvershoot        float64 `json:"quota_overshoot_gpus"`

	Heartbeats    uint64 `json:"worker_reports"`
	Commands      uint64 `json:"worker_commands"`
	WorkerBytes   uint64 `json:"worker_bytes"`
	CloudRequests uint64 `json:"cloud_requests"`
	CloudRefused  uint64 `json:"cloud_refused"`

	WorkerLateness Latency `json:"worker_lateness"`
	UserLateness   Latency `json:"user_lateness"`

	Violations []string `json:"rules_broken"`
}

// ClassResult is how the jobs of a class fared, from the warm-up's end on.
type ClassResult struct {
	Class string  `json:"class"`
	Jobs  int     `json:"jobs"`
	Start Latency `json:"start"`
}

// load is the process of the workers and users.
type load struct {
	plan     *LoadPlan
	settings *config.Settings
	fleet    *emulator.SimulatedCloud
	history  *emulator.History
	loopback *emulator.LoopbackNetwork
	cloud    *emulator.CloudServer
	users    *users
	begun    time.Time

	steps *histogram // lateness of workers' steps
	waits map[string]*histogram

	mu      sync.Mutex
	seconds []int // starts in each second
	most    int   // tasks running
}

// RunLoad serves the cloud. From the first line that comes from in it runs the workers and
// users, and writes a line of JSON to out each second, until the second line, or the end of
// in: then it writes the results.
func RunLoad(ctx context.Context, plan *LoadPlan, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	settings, err := config.Load(plan.Settings)
	if err != nil {
		return err
	}
	l := newLoad(ctx, plan, settings)
	lines := bufio.NewReader(in)
	listener, err := net.Listen("tcp4", plan.Cloud)
	if err != nil {
		return fmt.Errorf("serving the cloud: %w", err)
	}
	server := &http.Server{Handler: l.cloud}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	if _, err := lines.ReadString('\n'); err != nil {
		return fmt.Errorf("waiting for the beginning: %w", err)
	}
	if err := l.begin(); err != nil {
		return err
	}
	stopped := make(chan struct{})
	go func() {
		_, _ = lines.ReadString('\n')
		close(stopped)
	}()
	uctx, stopUsers := context.WithCancel(ctx)
	defer stopUsers()
	go l.users.run(uctx)
	go l.runFaults(ctx)
	l.watch(ctx, stopped, json.NewEncoder(out))
	stopUsers()
	return json.NewEncoder(out).Encode(map[string]*LoadResult{"result": l.result()})
}

func newLoad(ctx context.Context, plan *LoadPlan, settings *config.Settings) *load {
	p := &plan.Profile
	l := &load{plan: plan, settings: settings, history: emulator.NewHistory(settings), loopback: &emulator.LoopbackNetwork{ControllerAddresses: plan.Controllers},
		steps: newHistogram(), waits: map[string]*histogram{}}
	var types []cloud.MachineType
	for _, t := range p.Types {
		types = append(types, cloud.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: 1000, FetchGBPerS: 1, OnDemandPrice: t.Price, ProvisioningS: t.Boot, Zones: p.Zones()})
	}
	// As many again may be rented as fail.
	l.fleet = emulator.NewSimulatedCloud(ctx, emulator.SimulatedCloudConfig{
		Settings: settings, MachineTypes: types, MaxMachines: p.Machines() + p.Machines()/4, Seed: p.Seed, History: l.history,
	})
	l.fleet.UseNetwork(l.loopback)
	l.fleet.SetTiming(emulator.Timing{ImageFetch: seconds(p.Workers.Fetch), RandomBoot: true, OnWorkerStep: l.steps.add})
	l.cloud = emulator.NewCloudServer(l.fleet, p.Cloud.RPS, seconds(p.Cloud.ListLag))
	l.users = newUsers(p, plan.Controllers, l.history, l.fleet)
	urgent := map[string]bool{}
	for _, c := range p.Jobs {
		l.waits[c.Name] = newHistogram()
		urgent[c.Name] = c.Urgent
	}
	return l
}

// upWithin is how long it takes until all machines that are there from the beginning are up.
const upWithin = 4 * time.Second

// begin brings the machines up that are there from the beginning, evenly over the zones, and
// counts time from now on.
func (l *load) begin() error {
	l.begun = time.Now()
	l.users.begun = l.begun
	measured := l.begun.Add(time.Duration(l.plan.Profile.Warmup) * time.Second)
	l.history.OnFirstStart(func(spec job.Spec, _ int, waited time.Duration) {
		if time.Now().Add(-waited).After(measured) {
			l.waits[spec.Class].add(waited)
		}
	})
	zones := l.plan.Profile.Zones()
	for _, t := range l.plan.Profile.Types {
		for k, zone := range zones {
			count := t.Count / len(zones)
			if k < t.Count%len(zones) {
				count++
			}
			if err := l.fleet.AddMachines(t.Name, zone, count, upWithin); err != nil {
				return err
			}
		}
	}
	return nil
}

// watch counts starts by the second until it is stopped.
func (l *load) watch(ctx context.Context, stopped <-chan struct{}, out *json.Encoder) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	last := 0
	for second := 1; ; second++ {
		select {
		case <-ctx.Done():
			return
		case <-stopped:
			return
		case <-tick.C:
		}
		starts, running := l.history.TaskStarts(), l.history.RunningTasks()
		l.mu.Lock()
		l.seconds = append(l.seconds, starts-last)
		l.most = max(l.most, running)
		l.mu.Unlock()
		p := Progress{Second: second, TasksRunning: running, Starts: starts - last, OpenJobs: l.users.open()}
		l.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
			if u.WorkerEpoch() > 0 && u.IsUp() {
				p.MachinesUp++
			}
		})
		last = starts
		if out.Encode(map[string]Progress{"progress": p}) != nil {
			return // nobody listens any more
		}
	}
}

// result sums up what was measured.
func (l *load) result() *LoadResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	traffic := &l.loopback.Traffic
	r := &LoadResult{TaskStarts: l.history.TaskStarts(), TaskRestarts: l.history.TaskRestarts(), TasksKilledByLeaseExpiry: l.fleet.TasksKilledByLeaseExpiry(), MaxRunningTasks: l.most, MaxQuotaOvershoot: l.history.MaxQuotaOvershoot(),
		Heartbeats: traffic.Heartbeats.Load(), Commands: traffic.Commands.Load(), WorkerBytes: traffic.Bytes.Received.Load() + traffic.Bytes.Sent.Load(),
		CloudRequests: l.cloud.Requests(), CloudRefused: l.cloud.Refused(), WorkerLateness: l.steps.latency(), Violations: l.history.Violations()}
	l.users.sum(r)
	const span = 10
	sum := 0
	for k, n := range l.seconds {
		r.MaxStartsPerSecond = max(r.MaxStartsPerSecond, n)
		if sum += n; k >= span {
			sum -= l.seconds[k-span]
		}
		r.MaxMeanStartsOver10S = max(r.MaxMeanStartsOver10S, float64(sum)/span)
	}
	urgent, other := newHistogram(), newHistogram()
	for _, c := range l.plan.Profile.Jobs {
		h := l.waits[c.Name]
		r.Classes = append(r.Classes, ClassResult{Class: c.Name, Jobs: l.users.submitted[c.Name], Start: h.latency()})
		if c.Urgent {
			urgent.merge(h)
		} else {
			other.merge(h)
		}
	}
	r.UrgentStart, r.OtherStart = urgent.latency(), other.latency()
	return r
}

// runFaults has machines fail at their times.
func (l *load) runFaults(ctx context.Context) {
	for _, f := range l.plan.Profile.Faults {
		if f.Kind == ControllerFails {
			continue
		}
		time.AfterFunc(time.Until(l.begun.Add(seconds(f.At))), func() {
			if ctx.Err() == nil {
				l.strike(f)
			}
		})
	}
}

// strike has a fault's machines fail: drawn ones, those rented one after the other from a
// drawn one on, or all of a zone.
func (l *load) strike(f Fault) {
	var machines []*emulator.SimulatedMachine
	l.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
		if u.IsUp() && (f.Zone == "" || u.Zone() == f.Zone) {
			machines = append(machines, u)
		}
	})
	switch f.Kind {
	case RackFails:
		machines = machines[rand.IntN(max(1, len(machines)-f.Count+1)):]
	case WorkerFails, WorkerHangs:
		rand.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	}
	if f.Kind != ZoneFails {
		machines = machines[:min(len(machines), f.Count)]
	}
	hit := map[*emulator.SimulatedMachine]bool{}
	for _, u := range machines {
		hit[u] = true
	}
	change := func(do func(u *emulator.SimulatedMachine)) {
		l.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
			if hit[u] {
				do(u)
			}
		})
	}
	if f.Kind != WorkerHangs {
		change(func(u *emulator.SimulatedMachine) { u.Kill() })
		return
	}
	change(func(u *emulator.SimulatedMachine) { u.Hung = true })
	time.AfterFunc(seconds(f.For), func() { change(func(u *emulator.SimulatedMachine) { u.Hung = false }) })
}

func seconds(s float64) time.Duration { return config.Seconds(s) }
