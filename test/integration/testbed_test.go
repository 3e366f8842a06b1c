package integration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/controller"
	"robinstack/internal/job"
	"robinstack/internal/peer"
	"robinstack/internal/policy"
)

// testbed is a service of three controllers, one in each zone, with its users and machines.
// Its mutex guards all fields below it.
type testbed struct {
	t       *testing.T
	ctx     context.Context // ends all of it
	state   *emulator.StateService
	cloud   *emulator.SimulatedCloud
	history *emulator.History
	network *controllerNetwork
	hosts   []string
	policy  *policy.Policy // of all controllers

	mu                   sync.Mutex
	rng                  *rand.Rand
	controllers          map[string]*runningController // by host; nil: none runs
	stateClients         map[string]*emulator.FaultyStateClient
	ready                map[string]bool // as the load balancer sees it
	unreachableByUsers   map[string]bool // controllers
	unreachableByWorkers map[string]bool // controllers
	lastJobNumber        int
}

// runningController is a controller's process.
type runningController struct {
	controller *controller.Controller
	stop       context.CancelFunc
}

var zones = []string{"a", "b", "c"}

var workers = config.WorkerTiming{
	HeartbeatInterval:    3 * time.Second,
	LeaseDuration:        30 * time.Second,
	GangWaitTimeout:      45 * time.Second,
	GangPeerTimeout:      5 * time.Second,
	CancellationDeadline: 60 * time.Second,
}

// Teams: one without a quota, and two whose quotas in GPUs jobs reach.
var teams = map[string]config.Team{
	"t":     {Name: "t"},
	"full":  {Name: "full", GPUQuota: 6},
	"small": {Name: "small", GPUQuota: 4},
}

// settings are those of a controller.
func (b *testbed) settings(host string) *config.Settings {
	s := &config.Settings{
		Host:           host,
		Controllers:    len(b.hosts),
		Zones:          zones,
		Workers:        workers,
		MaxConnections: 1000,
		Teams:          teams,
		StateLimits: config.StateLimits{
			RequestsPerSecond: 400, WritesPerSecond: 200, MaxValueBytes: 8192, MaxTxnOps: 24,
		},
		CloudRequestsPerSecond: 10,
		CloudListLag:           4 * time.Second,
	}
	for k, h := range b.hosts {
		if h == host {
			s.Zone = zones[k]
		} else {
			s.Peers = append(s.Peers, config.Peer{Host: h, Zone: zones[k]})
		}
	}
	return s
}

// What a scenario has unless it says otherwise.
const (
	defaultBootS       = 5
	defaultMaxMachines = 12
)

// Scenarios begin once all is up, and end once what was under way has ended.
const (
	startupTime  = 5 * time.Second
	shutdownTime = 30 * time.Second
)

// runScenario runs a scenario in fake time: everything is up when it begins. Seed decides
// what the testbed draws.
func runScenario(t *testing.T, seed uint64, scenario func(b *testbed)) {
	t.Helper()
	runScenarioWithBootTime(t, seed, defaultBootS, scenario)
}

// runScenarioWithBootTime runs a scenario in which machines boot in so many seconds.
func runScenarioWithBootTime(t *testing.T, seed uint64, bootS float64, scenario func(b *testbed)) {
	t.Helper()
	runScenarioWithMachines(t, seed, bootS, defaultMaxMachines, scenario)
}

// runScenarioWithMachines runs one with up to so many machines.
func runScenarioWithMachines(
	t *testing.T, seed uint64, bootS float64, maxMachines int, scenario func(b *testbed),
) {
	t.Helper()
	runScenarioWithPolicy(t, seed, bootS, maxMachines, policy.Default(), scenario)
}

// runScenarioWithPolicy runs one whose controllers have a policy of their own.
func runScenarioWithPolicy(
	t *testing.T, seed uint64, bootS float64, maxMachines int, operators *policy.Policy, scenario func(b *testbed),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		b := newTestbed(ctx, t, seed)
		b.policy = operators
		stopExpiry := make(chan struct{})
		go b.state.ExpireLeases(stopExpiry)
		defer func() {
			cancel()
			close(stopExpiry)
			time.Sleep(shutdownTime)
			synctest.Wait()
		}()
		settings := b.settings("host-0")
		b.history = emulator.NewHistory(settings)
		b.cloud = emulator.NewSimulatedCloud(ctx, emulator.SimulatedCloudConfig{
			Settings:       settings,
			MachineTypes:   []cloud.MachineType{boxType(bootS)},
			MaxMachines:    maxMachines,
			Seed:           seed,
			History:        b.history,
			CallController: b.deliverHeartbeat,
		})
		for _, h := range b.hosts {
			b.start(h)
		}
		go b.probeReadiness()
		go b.checkWaitingJobs()
		time.Sleep(startupTime)
		scenario(b)
	})
}

// newTestbed returns a testbed in which nothing runs yet.
func newTestbed(ctx context.Context, t *testing.T, seed uint64) *testbed {
	return &testbed{
		t:       t,
		ctx:     ctx,
		state:   emulator.NewStateService(),
		hosts:   []string{"host-0", "host-1", "host-2"},
		network: newControllerNetwork(),

		rng:                  rand.New(rand.NewPCG(seed, 3)),
		controllers:          map[string]*runningController{},
		stateClients:         map[string]*emulator.FaultyStateClient{},
		ready:                map[string]bool{},
		unreachableByUsers:   map[string]bool{},
		unreachableByWorkers: map[string]bool{},
	}
}

// boxType is the only type of machine: of two GPUs.
func boxType(bootS float64) cloud.MachineType {
	return cloud.MachineType{
		Name: "box", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 100, FetchGBPerS: 1,
		OnDemandPrice: 2, SpotPrice: 1, ProvisioningS: bootS, Zones: zones,
	}
}

// start begins a controller's process, if none runs: two of one host would end each other's
// sessions for ever, and no deployment has them.
func (b *testbed) start(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.controllers[host] != nil {
		return
	}
	if b.stateClients[host] == nil {
		b.stateClients[host] = emulator.NewFaultyStateClient(b.state, b.rng.Uint64())
	}
	ctx, stop := context.WithCancel(b.ctx)
	c := controller.Assemble(b.settings(host), b.policy, controller.ExternalSystems{
		StateStore:     b.stateClients[host],
		MigrationStore: b.stateClients[host],
		Cloud:          b.cloud,
		Workers:        b.cloud.Commander(host),
		Connect: func(server *rpc.Server, _ *peer.Service) controller.Network {
			return b.network.newEndpoint(host, server)
		},
	})
	b.controllers[host] = &runningController{c, stop}
	go c.RunSessions(ctx)
}

// crash ends a controller's process.
func (b *testbed) crash(host string) {
	b.mu.Lock()
	c := b.controllers[host]
	delete(b.controllers, host)
	b.mu.Unlock()
	if c != nil {
		c.stop()
	}
}

// isUp reports whether a controller's process runs.
func (b *testbed) isUp(host string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.controllers[host] != nil
}

var errNoAnswer = errors.New("nobody answers")

// callController asks a controller over HTTP; one that does not run, or is among those that
// are unreachable, does not answer.
func (b *testbed) callController(
	host string, r *http.Request, unreachable map[string]bool,
) (*http.Response, error) {
	b.mu.Lock()
	c, isUnreachable := b.controllers[host], unreachable[host]
	b.mu.Unlock()
	if c == nil || isUnreachable {
		return nil, errNoAnswer
	}
	return c.controller.HandleRequest(r)
}

func (b *testbed) deliverHeartbeat(host string, r *http.Request) (*http.Response, error) {
	return b.callController(host, r, b.unreachableByWorkers)
}

// setUnreachableByWorkers has workers not reach a controller, or reach it again.
func (b *testbed) setUnreachableByWorkers(host string, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreachableByWorkers[host] = unreachable
}

// setUnreachableByUsers has users not reach a controller, or reach it again.
func (b *testbed) setUnreachableByUsers(host string, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreachableByUsers[host] = unreachable
}

// stateClient is the state service as a controller reaches it.
func (b *testbed) stateClient(host string) *emulator.FaultyStateClient {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateClients[host]
}

// checkWaitingJobs has the history look at who waits, all the time.
func (b *testbed) checkWaitingJobs() {
	for b.ctx.Err() == nil {
		b.history.CheckWaitingJobs(b.cloud.HasCapacity)
		time.Sleep(time.Second)
	}
}

// withMachine calls do for the machine of that name, with the cloud held still.
func (b *testbed) withMachine(machine string, do func(m *emulator.SimulatedMachine)) {
	b.cloud.ForEachMachine(func(name string, m *emulator.SimulatedMachine) {
		if name == machine {
			do(m)
		}
	})
}

// tasksOnMachines counts the tasks of jobs that are on machines.
func (b *testbed) tasksOnMachines(jobs []job.Spec) (n int) {
	for _, s := range jobs {
		n += b.history.TasksOnMachines(s.ID)
	}
	return n
}

// nextJobID names the next job.
func (b *testbed) nextJobID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastJobNumber++
	return fmt.Sprintf("wk-%06d", b.lastJobNumber)
}

// waitUntil waits for something, and ends the test if it does not come in time.
func (b *testbed) waitUntil(what string, within time.Duration, ok func() bool) {
	b.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if ok() {
			return
		}
	}
	b.t.Fatalf("not within %v: %s", within, what)
}

// checkNoViolations fails the test for every rule that was broken.
func (b *testbed) checkNoViolations() {
	b.t.Helper()
	if violations := b.history.Violations(); len(violations) > 0 {
		b.t.Errorf("%d broken: %s", len(violations), strings.Join(violations[:min(5, len(violations))], "; "))
	}
}

// forEachMachine calls do for every machine with the cloud held still.
func (b *testbed) forEachMachine(do func(m *emulator.SimulatedMachine)) {
	b.cloud.ForEachMachine(func(_ string, m *emulator.SimulatedMachine) { do(m) })
}

// setStateFaults sets what requests to the state service meet, at all controllers.
func (b *testbed) setStateFaults(latency time.Duration, delayedShare float64) {
	for _, h := range b.hosts {
		b.stateClient(h).SetFaults(latency, delayedShare)
	}
}

// setLoseAnswersOnly has delayed transactions carried out at once, at all controllers, or
// delayed again.
func (b *testbed) setLoseAnswersOnly(on bool) {
	for _, h := range b.hosts {
		b.stateClient(h).SetLoseAnswersOnly(on)
	}
}

// setTxnDelay sets how late delayed transactions are, at all controllers.
func (b *testbed) setTxnDelay(d time.Duration) {
	for _, h := range b.hosts {
		b.stateClient(h).SetTxnDelay(d)
	}
}

// setWatchLag has watches show changes so much later, at all controllers.
func (b *testbed) setWatchLag(d time.Duration) {
	for _, h := range b.hosts {
		b.stateClient(h).SetWatchLag(d)
	}
}

// setChangeRate lets so many changes a second of each controller through.
func (b *testbed) setChangeRate(perSecond float64) {
	for _, h := range b.hosts {
		b.stateClient(h).SetChangeRate(perSecond)
	}
}
