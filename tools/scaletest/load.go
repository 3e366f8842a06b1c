package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// load is the workers, the cloud and the users, in a process of their own. Its mutex guards
// what the runs of tasks came to.
type load struct {
	plan        *LoadPlan
	history     *emulator.History
	network     *emulator.LoopbackNetwork
	cloud       *emulator.SimulatedCloud
	cloudServer *emulator.CloudServer
	users       *users
	startTime   time.Time

	stepLateness *histogram            // of workers' steps
	startWaits   map[string]*histogram // until the first start of each task, by class

	mu             sync.Mutex
	startsBySecond []int
	maxRunning     int // tasks
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
	server, err := l.serveCloud(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }() // nobody asks any more
	lines := bufio.NewReader(in)
	if _, err := lines.ReadString('\n'); err != nil {
		return fmt.Errorf("waiting for the beginning: %w", err)
	}
	if err := l.begin(); err != nil {
		return err
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_, _ = lines.ReadString('\n') // its end says the same
	}()
	usersCtx, stopUsers := context.WithCancel(ctx)
	defer stopUsers()
	go l.users.run(usersCtx)
	go l.scheduleFaults(ctx)
	l.countStarts(ctx, stopped, json.NewEncoder(out))
	stopUsers()
	return json.NewEncoder(out).Encode(outputLine{Result: l.result()})
}

// spareMachines: as many again as one in so many machines may be rented, for those that fail.
const spareMachines = 4

func newLoad(ctx context.Context, plan *LoadPlan, settings *config.Settings) *load {
	p := &plan.Profile
	l := &load{
		plan:         plan,
		history:      emulator.NewHistory(settings),
		network:      &emulator.LoopbackNetwork{ControllerAddresses: plan.Controllers},
		stepLateness: newHistogram(),
		startWaits:   map[string]*histogram{},
	}
	l.cloud = emulator.NewSimulatedCloud(ctx, emulator.SimulatedCloudConfig{
		Settings:     settings,
		MachineTypes: p.cloudTypes(),
		MaxMachines:  p.Machines() + p.Machines()/spareMachines,
		Seed:         p.Seed,
		History:      l.history,
	})
	l.cloud.UseNetwork(l.network)
	l.cloud.SetTiming(emulator.Timing{
		ImageFetch: seconds(p.Workers.Fetch), RandomBoot: true, OnWorkerStep: l.stepLateness.add,
	})
	l.cloudServer = emulator.NewCloudServer(l.cloud, p.Cloud.RPS, seconds(p.Cloud.ListLag))
	l.users = newUsers(p, plan.Controllers, l.history, l.cloud)
	for _, c := range p.Jobs {
		l.startWaits[c.Name] = newHistogram()
	}
	return l
}

// cloudTypes lists the machine types that the cloud offers.
func (p *Profile) cloudTypes() []cloud.MachineType {
	var types []cloud.MachineType
	for _, t := range p.Types {
		types = append(types, cloud.MachineType{
			Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: 1000, FetchGBPerS: 1,
			OnDemandPrice: t.Price, ProvisioningS: t.Boot, Zones: p.Zones(),
		})
	}
	return types
}

// serveCloud serves the cloud until the server is closed.
func (l *load) serveCloud(ctx context.Context) (*http.Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", l.plan.Cloud)
	if err != nil {
		return nil, fmt.Errorf("serving the cloud: %w", err)
	}
	server := &http.Server{Handler: l.cloudServer}
	go func() { _ = server.Serve(listener) }() // until it is closed
	return server, nil
}

// bootTimeLimit is how long it takes until all machines that are there from the beginning
// are up.
const bootTimeLimit = 4 * time.Second

// begin brings the machines up that are there from the beginning, evenly over the zones, and
// counts time from now on.
func (l *load) begin() error {
	p := &l.plan.Profile
	l.startTime = time.Now()
	l.users.startTime = l.startTime
	warmupEnd := l.startTime.Add(time.Duration(p.Warmup) * time.Second)
	l.history.OnFirstStart(func(spec job.Spec, _ int, waited time.Duration) {
		if submittedAt := time.Now().Add(-waited); submittedAt.After(warmupEnd) {
			l.startWaits[spec.Class].add(waited)
		}
	})
	zones := p.Zones()
	for _, t := range p.Types {
		for k, zone := range zones {
			count := t.Count / len(zones)
			if k < t.Count%len(zones) {
				count++
			}
			if err := l.cloud.AddMachines(t.Name, zone, count, bootTimeLimit); err != nil {
				return err
			}
		}
	}
	return nil
}

// countStarts counts starts by the second, and says how the run goes, until it is stopped.
func (l *load) countStarts(ctx context.Context, stopped <-chan struct{}, out *json.Encoder) {
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
		l.recordSecond(starts-last, running)
		progress := Progress{
			Second: second, MachinesUp: l.machinesUp(), TasksRunning: running, Starts: starts - last,
			OpenJobs: l.users.openJobs(),
		}
		last = starts
		if out.Encode(outputLine{Progress: &progress}) != nil {
			return // nobody listens any more
		}
	}
}

func (l *load) recordSecond(starts, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startsBySecond = append(l.startsBySecond, starts)
	l.maxRunning = max(l.maxRunning, running)
}

func (l *load) machinesUp() (n int) {
	l.cloud.ForEachMachine(func(_ string, m *emulator.SimulatedMachine) {
		if m.IsUp() {
			n++
		}
	})
	return n
}

// seconds makes a duration of seconds of a profile.
func seconds(s float64) time.Duration { return config.Seconds(s) }
