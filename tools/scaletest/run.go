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

// Options holds the options of a run.
type Options struct {
	Program      string    // path of the robinstack executable, which runs the controllers and the load process
	LogDirectory string    // directory for the processes' logs; if "", logs are deleted at the end of the run
	Output       io.Writer // receives progress lines and the results of a sweep; may be nil
}

// Run is one run of a profile. It owns all processes that it starts. mu guards down; the other
// fields are written only by the goroutine that calls RunProfile.
type Run struct {
	profile       *Profile
	options       Options
	host          HostCapacity
	tempDirectory string // for files of this run only; deleted at its end

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
	down map[int]bool // controllers, by index, that a fault has killed and not yet restarted
}

// RunProfile runs a profile to its end and returns the measurements. When it returns, also with an
// error, the processes that it started have exited.
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

// freeAddresses returns n loopback addresses whose ports are free now.
func freeAddresses(ctx context.Context, n int) ([]string, error) {
	var out []string
	for range n {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("finding a free port: %w", err)
		}
		// Listeners stay open until all ports are chosen, so that no port is chosen twice.
		defer func() { _ = listener.Close() }()
		out = append(out, listener.Addr().String())
	}
	return out, nil
}

// Indexes into the addresses of a run.
const (
	stateServiceAddress = iota
	cloudAddress
	// From here on there are two addresses for each controller: one for users and workers, one for
	// other controllers.
	firstControllerAddress
)

// ownerOnlyMode is the mode of files that only their owner may read and write.
const ownerOnlyMode = 0o600

// start starts all processes, and starts the load when one of the controllers is ready.
func (r *Run) start(ctx context.Context) error {
	p := r.profile
	addresses, err := freeAddresses(ctx, firstControllerAddress+2*p.Controllers.Count)
	if err != nil {
		return err
	}
	if r.tempDirectory, err = os.MkdirTemp("", "robinstack-scale-"); err != nil {
		return fmt.Errorf("creating the temporary directory of the run: %w", err)
	}
	logDirectory := r.options.LogDirectory
	if logDirectory == "" {
		logDirectory = r.tempDirectory
	}
	if err := r.configureControllers(addresses, logDirectory); err != nil {
		return err
	}
	if err := r.serveStateService(ctx, addresses[stateServiceAddress]); err != nil {
		return err
	}
	for k := range r.nodes {
		if err := r.controllers.Launch(ctx, k, r.options.Program); err != nil {
			return err
		}
	}
	if err := r.startLoad(ctx, addresses[cloudAddress], logDirectory); err != nil {
		return err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.controllers.WaitUntilReady(readyCtx); err != nil {
		return err
	}
	r.startTime = time.Now()
	return r.load.sendLine("begin")
}

// readyTimeout bounds the time until the first controller is ready.
const readyTimeout = 30 * time.Second

// configureControllers writes the settings files of the controllers, which are spread evenly over
// the zones, and the policy file.
func (r *Run) configureControllers(addresses []string, logDirectory string) (err error) {
	p, zones := r.profile, r.profile.Zones()
	for k := range p.Controllers.Count {
		own := addresses[firstControllerAddress+2*k:]
		r.nodes = append(r.nodes, devcluster.Node{
			Host: fmt.Sprintf("host-%d", k), Zone: zones[k%len(zones)], Listen: own[0], PeerListen: own[1],
		})
		r.controllerMeters = append(r.controllerMeters, &usageMeter{})
	}
	policyFile := filepath.Join(r.tempDirectory, "policy")
	if err := os.WriteFile(policyFile, []byte(p.Controllers.Policy), ownerOnlyMode); err != nil {
		return fmt.Errorf("writing the policy file: %w", err)
	}
	r.controllers, err = devcluster.NewControllers(devcluster.ControllersConfig{
		Nodes:        r.nodes,
		State:        addresses[stateServiceAddress],
		Cloud:        addresses[cloudAddress],
		Deployment:   p.Deployment(),
		Policy:       policyFile,
		Program:      r.options.Program,
		LogDirectory: logDirectory,
		LogLevel:     "error",
	})
	return err
}

// serveStateService starts an HTTP server for the state service with the rate limits of the
// profile. stop closes the server.
func (r *Run) serveStateService(ctx context.Context, address string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("serving the state service: %w", err)
	}
	r.state.SetRateLimits(r.rateLimits)
	r.stateServer = &http.Server{Handler: r.state}
	go func() { _ = r.stateServer.Serve(listener) }() // returns when the server is closed
	go r.state.ExpireLeases(ctx.Done())
	return nil
}

// startLoad starts the load process. The load itself starts with the first line sent to it.
func (r *Run) startLoad(ctx context.Context, cloudAddress, logDirectory string) error {
	addresses := map[string]string{}
	for _, n := range r.nodes {
		addresses[n.Host] = n.Listen
	}
	plan := LoadPlan{
		Profile: *r.profile, Settings: r.controllers.SettingsFile(0), Controllers: addresses, Cloud: cloudAddress,
	}
	load, err := startLoadProcess(ctx, loadProcessConfig{
		program: r.options.Program, plan: plan, planDirectory: r.tempDirectory, logDirectory: logDirectory,
	})
	if err != nil {
		return err
	}
	r.load = load
	return nil
}

// loadResultTimeout bounds the time from the request for the result of the load process to its
// arrival.
const loadResultTimeout = 20 * time.Second

// finish reads the status of the controllers, requests the result of the load process, and returns
// the complete result.
func (r *Run) finish(ctx context.Context) (*Result, error) {
	result := r.collectResult()
	for _, n := range r.nodes {
		result.Status = append(result.Status, readStatus(ctx, n.Listen))
	}
	_ = r.load.sendLine("stop") // if the process has exited, its result channel is closed
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case load, ok := <-r.load.result:
		if !ok {
			return nil, errors.New("the load process exited without a result; see workers.log in the --logs directory")
		}
		result.Load = *load
		result.addStatus()
		return result, nil
	case <-time.After(loadResultTimeout):
		return nil, fmt.Errorf("the load process returned no result within %v", loadResultTimeout)
	}
}

// stop stops all processes and servers, and deletes the temporary directory.
func (r *Run) stop() {
	if r.load != nil {
		r.load.kill()
	}
	if r.controllers != nil {
		r.controllers.Stop()
	}
	if r.stateServer != nil {
		_ = r.stateServer.Close() // an error while closing has no effect any more
	}
	if r.tempDirectory != "" {
		// A directory that cannot be removed is left to the system's clean-up of temporary files.
		_ = os.RemoveAll(r.tempDirectory)
	}
}

// statusTimeout bounds the time to read the status page of a controller.
const statusTimeout = 5 * time.Second

// readStatus reads the status page of a controller. It returns nil if the controller gives no
// valid answer.
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
	defer func() { _ = response.Body.Close() }() // an error after reading has no effect
	var s gateway.Status
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&s) != nil {
		return nil
	}
	return &s
}
