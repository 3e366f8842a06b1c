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

// Plan is what the process of the workers and users is told.
type Plan struct {
	Profile     Profile
	Settings    string            // a controller's settings file
	Controllers map[string]string // addresses for users and workers, by host
	Cloud       string            // address to serve the cloud at
}

// Progress is what that process says each second.
type Progress struct {
	Second  int `json:"second"`
	Up      int `json:"machines_up"`
	Running int `json:"tasks_running"`
	Starts  int `json:"starts"` // since the last second
	Open    int `json:"jobs_open"`
}

// LoadResult is what that process measured.
type LoadResult struct {
	Classes     []ClassResult `json:"classes"`
	Urgent      Latency       `json:"urgent_start"`
	Other       Latency       `json:"other_start"`
	Submissions Latency       `json:"submissions"`

	Submitted int `json:"jobs_submitted"`
	Accepted  int `json:"jobs_accepted"`
	GivenUp   int `json:"jobs_given_up_by_users"`
	Done      int `json:"jobs_done"`
	Cancelled int `json:"jobs_cancelled"`

	Starts        int     `json:"task_starts"`
	StartedAgain  int     `json:"task_starts_again"`
	KilledByLease int     `json:"tasks_killed_by_lease"`
	MostRunning   int     `json:"most_tasks_running"`
	PeakStarts    int     `json:"peak_starts_a_second"`
	BestTenS      float64 `json:"starts_a_second_best_10_s"`
	Overshoot     float64 `json:"quota_overshoot_gpus"`

	Reports       uint64 `json:"worker_reports"`
	Commands      uint64 `json:"worker_commands"`
	WorkerBytes   uint64 `json:"worker_bytes"`
	CloudRequests uint64 `json:"cloud_requests"`
	CloudRefused  uint64 `json:"cloud_refused"`

	WorkerLateness Latency `json:"worker_lateness"`
	UserLateness   Latency `json:"user_lateness"`

	Broken []string `json:"rules_broken"`
}

// ClassResult is how the jobs of a class fared, from the warm-up's end on.
type ClassResult struct {
	Class string  `json:"class"`
	Jobs  int     `json:"jobs"`
	Start Latency `json:"start"`
}

// load is the process of the workers and users.
type load struct {
	plan     *Plan
	settings *config.Settings
	fleet    *emulator.Fleet
	history  *emulator.History
	loopback *emulator.Loopback
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
func RunLoad(ctx context.Context, plan *Plan, in io.Reader, out io.Writer) error {
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

func newLoad(ctx context.Context, plan *Plan, settings *config.Settings) *load {
	p := &plan.Profile
	l := &load{plan: plan, settings: settings, history: emulator.NewHistory(settings), loopback: &emulator.Loopback{Addresses: plan.Controllers},
		steps: newHistogram(), waits: map[string]*histogram{}}
	var types []cloud.MachineType
	for _, t := range p.Types {
		types = append(types, cloud.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: 1000, FetchGBPerS: 1, OnDemandPrice: t.Price, ProvisioningS: t.Boot, Zones: p.Zones()})
	}
	// As many again may be rented as fail.
	l.fleet = emulator.NewFleet(ctx, settings, types, p.Machines()+p.Machines()/4, p.Seed, l.history, nil)
	l.fleet.Connect(l.loopback)
	l.fleet.SetTiming(emulator.Timing{Fetch: seconds(p.Workers.Fetch), SpreadBoot: true, OnStep: l.steps.add})
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
			if err := l.fleet.Begin(t.Name, zone, count, upWithin); err != nil {
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
		starts, running := l.history.Starts(), l.history.Running()
		l.mu.Lock()
		l.seconds = append(l.seconds, starts-last)
		l.most = max(l.most, running)
		l.mu.Unlock()
		p := Progress{Second: second, Running: running, Starts: starts - last, Open: l.users.open()}
		l.fleet.Each(func(_ string, u *emulator.Machine) {
			if u.Session() > 0 && u.Heard() {
				p.Up++
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
	r := &LoadResult{Starts: l.history.Starts(), StartedAgain: l.history.StartedAgain(), KilledByLease: l.fleet.KilledByLease(), MostRunning: l.most, Overshoot: l.history.Overshoot(),
		Reports: traffic.Reports.Load(), Commands: traffic.Commands.Load(), WorkerBytes: traffic.Bytes.Received.Load() + traffic.Bytes.Sent.Load(),
		CloudRequests: l.cloud.Requests(), CloudRefused: l.cloud.Refused(), WorkerLateness: l.steps.latency(), Broken: l.history.Broken()}
	l.users.sum(r)
	const span = 10
	sum := 0
	for k, n := range l.seconds {
		r.PeakStarts = max(r.PeakStarts, n)
		if sum += n; k >= span {
			sum -= l.seconds[k-span]
		}
		r.BestTenS = max(r.BestTenS, float64(sum)/span)
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
	r.Urgent, r.Other = urgent.latency(), other.latency()
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
	var machines []*emulator.Machine
	l.fleet.Each(func(_ string, u *emulator.Machine) {
		if u.Heard() && (f.Zone == "" || u.Zone() == f.Zone) {
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
	hit := map[*emulator.Machine]bool{}
	for _, u := range machines {
		hit[u] = true
	}
	change := func(do func(u *emulator.Machine)) {
		l.fleet.Each(func(_ string, u *emulator.Machine) {
			if hit[u] {
				do(u)
			}
		})
	}
	if f.Kind != WorkerHangs {
		change(func(u *emulator.Machine) { u.Kill() })
		return
	}
	change(func(u *emulator.Machine) { u.Hung = true })
	time.AfterFunc(seconds(f.For), func() { change(func(u *emulator.Machine) { u.Hung = false }) })
}

func seconds(s float64) time.Duration { return config.Seconds(s) }
