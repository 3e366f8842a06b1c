// Package devcluster runs a complete service on one machine, for demonstration and development:
// controllers as separate processes, and emulators of the state service, the cloud and the workers,
// which speak the published protocols. The package owns these processes, their ports and files, and
// removes all of them when it stops, except logs in a directory that the caller names.
//
// The mutex of Controllers guards its processes, and that of userLoad guards the simulated users of
// a rollout test; a Cluster is immutable once started. The package may import emulator and the
// packages that define jobs, stored keys and rollouts; it makes no decisions for controllers.
package devcluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"robinstack/emulator"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// Options configures a Cluster.
type Options struct {
	Port         int      // first port: state service, then cloud, then two ports per controller
	Controllers  int      // number of controllers, 1 to maxControllers
	Programs     []string // program of each controller by index; where missing or "", Program
	Program      string
	Policy       string  // policy file for the controllers that run Program; "": none
	LogDirectory string  // directory of the controllers' logs; "": a temporary one
	MaxMachines  int     // size of the cloud
	GPUs         float64 // GPUs of each machine
}

// Cluster is a running service: its controllers and the emulated state service and cloud.
type Cluster struct {
	*Controllers
	State *emulator.StateService
	Cloud *emulator.LocalCloud

	options         Options
	closers         []io.Closer // HTTP servers and their listeners
	leaseExpiryStop chan struct{}
}

// maxControllers bounds the number of controllers of a cluster.
const maxControllers = 8

var zones = []string{"north", "south"}

// poolCount is the number of machine pools of the cloud: on-demand and spot machines in each zone.
var poolCount = 2 * len(zones)

// portAddress returns the loopback address of port number k, counted from Options.Port.
func (o *Options) portAddress(k int) string { return fmt.Sprintf("127.0.0.1:%d", o.Port+k) }

// Offsets of the ports from Options.Port.
const (
	statePort = iota
	cloudPort
	controllerPorts // first of two ports per controller: for users and workers, and for peers
)

func (o *Options) nodes() []Node {
	var out []Node
	for k := range o.Controllers {
		port := controllerPorts + 2*k
		out = append(out, Node{
			Host:       fmt.Sprintf("host-%d", k),
			Zone:       zones[k%len(zones)],
			Listen:     o.portAddress(port),
			PeerListen: o.portAddress(port + 1),
		})
	}
	return out
}

// ControllerAddress returns the address at which controller k serves users.
func (c *Cluster) ControllerAddress(k int) string { return c.config.Nodes[k].Listen }

// ControllerAddresses lists the addresses at which the controllers serve users.
func (c *Cluster) ControllerAddresses() []string {
	var out []string
	for k := range c.options.Controllers {
		out = append(out, c.ControllerAddress(k))
	}
	return out
}

// LogDirectory returns the directory of the controllers' logs.
func (c *Cluster) LogDirectory() string { return c.config.LogDirectory }

// Start starts the emulators and the controllers, and returns once the controller processes are
// started; WaitUntilReady waits until one accepts jobs. If Start returns an error, nothing is left
// running.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if o.Controllers < 1 || o.Controllers > maxControllers || len(o.Programs) > o.Controllers {
		return nil, fmt.Errorf("got %d controllers and programs for %d, want 1 to %d controllers and no more programs",
			o.Controllers, len(o.Programs), maxControllers)
	}
	nodes := o.nodes()
	controllers, err := NewControllers(ControllersConfig{
		Nodes:        nodes,
		State:        o.portAddress(statePort),
		Cloud:        o.portAddress(cloudPort),
		Deployment:   deployment(o.Controllers),
		Policy:       o.Policy,
		Program:      o.Program,
		LogDirectory: o.LogDirectory,
	})
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{}
	for _, n := range nodes {
		addresses[n.Host] = n.Listen
	}
	c := &Cluster{
		Controllers:     controllers,
		State:           emulator.NewStateService(),
		options:         o,
		leaseExpiryStop: make(chan struct{}),
	}
	c.Cloud = emulator.NewLocalCloud(ctx, emulator.LocalCloudConfig{
		MachineTypes:       []cloud.MachineType{machineType(o.GPUs)},
		MaxMachinesPerPool: max(1, o.MaxMachines/poolCount),
		Controllers:        addresses,
		HeartbeatInterval:  heartbeatInterval,
		LeaseDuration:      leaseDuration,
		LookUpSpec:         c.lookUpSpec,
	})
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func machineType(gpus float64) cloud.MachineType {
	return cloud.MachineType{
		Name: "box", CPUs: 16, GPUs: gpus, MemoryGB: 128, CacheGB: 100, FetchGBPerS: 10,
		OnDemandPrice: 10, SpotPrice: 4, ProvisioningS: 0.5, Zones: zones,
	}
}

// start serves the emulated state service and cloud, and launches the controllers.
func (c *Cluster) start(ctx context.Context) error {
	if err := c.CheckPorts(ctx); err != nil {
		return err
	}
	if err := c.serve(ctx, "state service", statePort, c.State); err != nil {
		return err
	}
	if err := c.serve(ctx, "cloud", cloudPort, emulator.NewCloudServer(c.Cloud, 0, 0)); err != nil {
		return err
	}
	go c.State.ExpireLeases(c.leaseExpiryStop)
	for k := range c.options.Controllers {
		if err := c.Launch(ctx, k, c.options.programFor(k)); err != nil {
			return err
		}
	}
	return nil
}

// programFor returns the program with which controller k is first launched.
func (o *Options) programFor(k int) string {
	if k < len(o.Programs) && o.Programs[k] != "" {
		return o.Programs[k]
	}
	return o.Program
}

// serve serves an emulator at a port until the cluster stops.
func (c *Cluster) serve(ctx context.Context, name string, port int, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", c.options.portAddress(port))
	if err != nil {
		return fmt.Errorf("listening for the %s: %w", name, err)
	}
	server := &http.Server{Handler: handler}
	// The listener is closed explicitly: a server that is closed before Serve has begun closes its
	// listener only later, and the port would still be in use after Stop.
	c.closers = append(c.closers, server, listener)
	go func() { _ = server.Serve(listener) }() // returns once the server is closed
	return nil
}

// lookUpSpec returns the submitted spec of a job, read from its job record.
func (c *Cluster) lookUpSpec(id string) (*job.Spec, error) {
	ctx := context.Background() // no time-out: the state service is in this process
	kv, err := c.State.Get(ctx, job.RecordKey(id))
	if err != nil {
		return nil, err
	}
	record, err := job.ParseRecord(kv.Value)
	if err == nil {
		err = record.JoinSpec(func(key string) (statekv.KV, bool) {
			kv, err := c.State.Get(ctx, key)
			return kv, err == nil
		})
	}
	if err != nil {
		return nil, fmt.Errorf("reading the job record of %s: %w", id, err)
	}
	return &record.Spec, nil
}

// Stop stops the controllers and the emulators, and removes the settings files. Logs in the
// temporary directory are removed as well.
func (c *Cluster) Stop() {
	c.Controllers.Stop()
	for _, s := range c.closers {
		_ = s.Close() // a listener that its server has already closed returns an error
	}
	close(c.leaseExpiryStop)
}
