package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"robinstack/emulator"
	"robinstack/internal/gateway"
	"robinstack/tools/devcluster"
)

// Options say how to run a profile.
type Options struct {
	Program string    // this program: controllers, and the process of workers and users, run it
	Logs    string    // directory for logs; "": they go when all ends
	Out     io.Writer // for what goes on, or nil
}

// Run is a profile that runs. It owns all processes. Its mutex guards progress and down;
// all else is for the goroutine that runs it.
type Run struct {
	profile   *Profile
	options   Options
	host      HostCapacity
	directory string // of what is only for this run

	state       *emulator.StateService
	rateLimits  *emulator.RateLimits
	stateServer *http.Server
	controllers *devcluster.Controllers
	nodes       []devcluster.Node
	load        *loadProcess
	startTime   time.Time

	controllerMeters []*usageMeter
	loadMeter        *usageMeter
	selfMeter        *usageMeter
	maxTotalMemoryMB float64
	maxKeys          int
	maxStoredBytes   int
	registered       registrationTimes

	mu   sync.Mutex
	down map[int]bool // controllers that a fault has ended
}

// RunProfile runs a profile to its end and returns what was measured. Whatever happens, all
// that it started has ended when it returns.
func RunProfile(ctx context.Context, p *Profile, o Options) (*Result, error) {
	host, err := MeasureHostCapacity()
	if err != nil {
		return nil, err
	}
	if err := p.CheckCapacity(host); err != nil {
		return nil, err
	}
	r := &Run{
		profile:    p,
		options:    o,
		host:       host,
		state:      emulator.NewStateService(),
		rateLimits: emulator.NewRateLimits(p.State.RPS, p.State.WriteRPS),
		loadMeter:  &usageMeter{},
		selfMeter:  &usageMeter{},
		down:       map[int]bool{},
	}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	if err := r.sampleUntilEnd(ctx); err != nil {
		return nil, err
	}
	return r.finish(ctx)
}

// freeAddresses finds so many ports on this machine that are free now.
func freeAddresses(ctx context.Context, n int) ([]string, error) {
	var out []string
	for range n {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("a free port: %w", err)
		}
		defer func() { _ = listener.Close() }() // all at the end, so that none comes twice
		out = append(out, listener.Addr().String())
	}
	return out, nil
}

// Which of the addresses serves what.
const (
	stateAddress = iota
	cloudAddress
	controllerAddresses // two for each: for users and workers, and for its peers
)

// ownerOnly is the mode of files that are nobody else's.
const ownerOnly = 0o600

// start starts all processes, and has the load begin as soon as a controller takes jobs.
func (r *Run) start(ctx context.Context) error {
	p := r.profile
	addresses, err := freeAddresses(ctx, controllerAddresses+2*p.Controllers.Count)
	if err != nil {
		return err
	}
	if r.directory, err = os.MkdirTemp("", "robinstack-scale-"); err != nil {
		return fmt.Errorf("making a directory: %w", err)
	}
	logs := r.options.Logs
	if logs == "" {
		logs = r.directory
	}
	if err := r.configureControllers(addresses, logs); err != nil {
		return err
	}
	if err := r.serveState(ctx, addresses[stateAddress]); err != nil {
		return err
	}
	for k := range r.nodes {
		if err := r.controllers.Launch(ctx, k, r.options.Program); err != nil {
			return err
		}
	}
	if err := r.startLoad(ctx, addresses[cloudAddress], logs); err != nil {
		return err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.controllers.WaitUntilReady(readyCtx); err != nil {
		return err
	}
	r.startTime = time.Now()
	return r.load.signal("begin")
}

// readyTimeout is how long the controllers may take until the first takes jobs.
const readyTimeout = 30 * time.Second

// configureControllers writes the controllers' settings. They are spread evenly over zones.
func (r *Run) configureControllers(addresses []string, logs string) (err error) {
	p, zones := r.profile, r.profile.Zones()
	for k := range p.Controllers.Count {
		own := addresses[controllerAddresses+2*k:]
		r.nodes = append(r.nodes, devcluster.Node{
			Host: fmt.Sprintf("host-%d", k), Zone: zones[k%len(zones)], Listen: own[0], PeerListen: own[1],
		})
		r.controllerMeters = append(r.controllerMeters, &usageMeter{})
	}
	policyFile := filepath.Join(r.directory, "policy")
	if err := os.WriteFile(policyFile, []byte(p.Controllers.Policy), ownerOnly); err != nil {
		return fmt.Errorf("writing the policy: %w", err)
	}
	r.controllers, err = devcluster.NewControllers(devcluster.ControllersConfig{
		Nodes:        r.nodes,
		State:        addresses[stateAddress],
		Cloud:        addresses[cloudAddress],
		Deployment:   p.deployment(),
		Policy:       policyFile,
		Program:      r.options.Program,
		LogDirectory: logs,
		LogLevel:     "error",
	})
	return err
}

// serveState serves the state service, under its limits, until the run ends.
func (r *Run) serveState(ctx context.Context, address string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("serving the state service: %w", err)
	}
	r.state.SetRateLimits(r.rateLimits)
	r.stateServer = &http.Server{Handler: r.state}
	go func() { _ = r.stateServer.Serve(listener) }() // until it is closed
	go r.state.ExpireLeases(ctx.Done())
	return nil
}

// startLoad starts the process of the workers and users.
func (r *Run) startLoad(ctx context.Context, cloudAddress, logs string) error {
	addresses := map[string]string{}
	for _, n := range r.nodes {
		addresses[n.Host] = n.Listen
	}
	plan := LoadPlan{
		Profile: *r.profile, Settings: r.controllers.SettingsFile(0), Controllers: addresses, Cloud: cloudAddress,
	}
	load, err := startLoadProcess(ctx, loadProcessConfig{
		program: r.options.Program, plan: plan, directory: r.directory, logs: logs,
	})
	if err != nil {
		return err
	}
	r.load = load
	return nil
}

// sumUpTimeout is how long the process of the workers and users may take for its results.
const sumUpTimeout = 20 * time.Second

// finish has the workers' process sum up, and reads the controllers' status.
func (r *Run) finish(ctx context.Context) (*Result, error) {
	result := r.sumUp()
	for _, n := range r.nodes {
		result.Status = append(result.Status, readStatus(ctx, n.Listen))
	}
	_ = r.load.signal("stop") // one that has ended says so by its result
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case load, ok := <-r.load.result:
		if !ok {
			return nil, errors.New("the process of the workers and users ended by itself; see workers.log under --logs")
		}
		result.Load = *load
		result.addStatus()
		return result, nil
	case <-time.After(sumUpTimeout):
		return nil, errors.New("the process of the workers and users does not sum up")
	}
}

// stop ends everything that was started.
func (r *Run) stop() {
	if r.load != nil {
		r.load.kill()
	}
	if r.controllers != nil {
		r.controllers.Stop()
	}
	if r.stateServer != nil {
		_ = r.stateServer.Close() // nobody asks any more
	}
	if r.directory != "" {
		_ = os.RemoveAll(r.directory) // it is the system's temporary directory's
	}
}

// statusTimeout is how long a controller's status page may take.
const statusTimeout = 5 * time.Second

// readStatus reads a controller's status page; nil: it does not answer.
func readStatus(ctx context.Context, address string) *gateway.Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status.json", nil)
	if err != nil {
		return nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	var s gateway.Status
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&s) != nil {
		return nil
	}
	return &s
}
