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

// LoadPlan is the input of the load process, which simulates the workers, the cloud and the users.
// Field names are part of its JSON form.
type LoadPlan struct {
	Profile     Profile
	Settings    string            // path of the settings file of a controller
	Controllers map[string]string // addresses that users and workers connect to, by host
	Cloud       string            // address at which to serve the simulated cloud
}

// loadGenerator runs the simulated workers, cloud and users in the load process. mu guards
// startsBySecond and maxRunning.
type loadGenerator struct {
	plan        *LoadPlan
	history     *emulator.History
	network     *emulator.LoopbackNetwork
	cloud       *emulator.SimulatedCloud
	cloudServer *emulator.CloudServer
	users       *Users
	startTime   time.Time

	stepLateness *histogram            // delay of workers' periodic steps
	startWaits   map[string]*histogram // from job submission to each task's first start, by class

	mu             sync.Mutex
	startsBySecond []int
	maxRunning     int // highest number of tasks running at once
}

// RunLoadProcess is the main function of the load process. It serves the simulated cloud at once.
// When it reads the first line from in, it starts the workers and users, and from then on writes
// one line of JSON with its progress to out each second. When it reads a second line, or in ends,
// it stops the users and writes the result as the last line.
func RunLoadProcess(ctx context.Context, plan *LoadPlan, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	settings, err := config.Load(plan.Settings)
	if err != nil {
		return err
	}
	l := newLoadGenerator(ctx, plan, settings)
	server, err := l.serveCloud(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }() // an error while closing has no effect any more
	lines := bufio.NewReader(in)
	if _, err := lines.ReadString('\n'); err != nil {
		return fmt.Errorf("reading the start line of the load process: %w", err)
	}
	if err := l.start(); err != nil {
		return err
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_, _ = lines.ReadString('\n') // the end of in has the same meaning as a line
	}()
	usersCtx, stopUsers := context.WithCancel(ctx)
	defer stopUsers()
	go l.users.Run(usersCtx)
	go l.scheduleMachineFaults(ctx)
	l.monitorProgress(ctx, stopped, json.NewEncoder(out))
	stopUsers()
	return json.NewEncoder(out).Encode(outputLine{Result: l.result()})
}

// machinesPerSpare is the number of initial machines for which the cloud offers one further
// machine, to replace machines that fail.
const machinesPerSpare = 4

func newLoadGenerator(ctx context.Context, plan *LoadPlan, settings *config.Settings) *loadGenerator {
	p := &plan.Profile
	l := &loadGenerator{
		plan:         plan,
		history:      emulator.NewHistory(settings),
		network:      &emulator.LoopbackNetwork{ControllerAddresses: plan.Controllers},
		stepLateness: newHistogram(),
		startWaits:   map[string]*histogram{},
	}
	l.cloud = emulator.NewSimulatedCloud(ctx, emulator.SimulatedCloudConfig{
		Settings:     settings,
		MachineTypes: p.CloudMachineTypes(),
		MaxMachines:  p.Machines() + p.Machines()/machinesPerSpare,
		Seed:         p.Seed,
		History:      l.history,
	})
	l.cloud.UseNetwork(l.network)
	l.cloud.SetTiming(emulator.Timing{
		ImageFetch: seconds(p.Workers.Fetch), RandomBoot: true, OnWorkerStep: l.stepLateness.add,
	})
	l.cloudServer = emulator.NewCloudServer(l.cloud, p.Cloud.RPS, seconds(p.Cloud.ListLag))
	l.users = NewUsers(p, plan.Controllers, l.history, l.cloud)
	for _, c := range p.Jobs {
		l.startWaits[c.Name] = newHistogram()
	}
	return l
}

// CloudMachineTypes lists the machine types that the cloud offers.
func (p *Profile) CloudMachineTypes() []cloud.MachineType {
	var types []cloud.MachineType
	for _, t := range p.Types {
		types = append(types, cloud.MachineType{
			Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: 1000, FetchGBPerS: 1,
			OnDemandPrice: t.Price, ProvisioningS: t.Boot, Zones: p.Zones(),
		})
	}
	return types
}

// serveCloud starts an HTTP server for the simulated cloud. The caller must close it.
func (l *loadGenerator) serveCloud(ctx context.Context) (*http.Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", l.plan.Cloud)
	if err != nil {
		return nil, fmt.Errorf("serving the simulated cloud: %w", err)
	}
	server := &http.Server{Handler: l.cloudServer}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return server, nil
}

// maxInitialBootTime bounds the boot time of the initial machines. Each boot time is drawn from 0
// to this value.
const maxInitialBootTime = 4 * time.Second

// start sets the start time of the run and boots the initial machines, spread evenly over the
// zones. Start latencies are recorded for jobs submitted after the warm-up.
func (l *loadGenerator) start() error {
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
			if err := l.cloud.AddMachines(t.Name, zone, count, maxInitialBootTime); err != nil {
				return err
			}
		}
	}
	return nil
}

// monitorProgress records the task starts of each second and writes a progress line to out, until
// ctx is done, stopped is closed, or out cannot be written.
func (l *loadGenerator) monitorProgress(ctx context.Context, stopped <-chan struct{}, out *json.Encoder) {
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
			Second: second, MachinesUp: l.countMachinesUp(), TasksRunning: running, Starts: starts - last,
			OpenJobs: l.users.openJobs(),
		}
		last = starts
		if out.Encode(outputLine{Progress: &progress}) != nil {
			return // the parent process has closed the pipe
		}
	}
}

func (l *loadGenerator) recordSecond(starts, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startsBySecond = append(l.startsBySecond, starts)
	l.maxRunning = max(l.maxRunning, running)
}

func (l *loadGenerator) countMachinesUp() (n int) {
	l.cloud.ForEachMachine(func(_ string, m *emulator.SimulatedMachine) {
		if m.IsUp() {
			n++
		}
	})
	return n
}

// seconds converts a number of seconds from a profile to a duration.
func seconds(s float64) time.Duration { return config.Seconds(s) }
