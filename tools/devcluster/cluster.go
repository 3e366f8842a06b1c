// Package devcluster runs a whole service on one machine for those who want to see it or
// work on it: a state service, a cloud and workers that are stand-ins over the published
// protocols, and controllers as processes of their own. It owns those processes and the
// ports, and leaves nothing behind.
//
// Controllers guards its processes with a mutex, and so do the simulated users of a rollout
// (userLoad); a Cluster does not change once it runs. The package may import what describes
// jobs, stored keys and rollouts, and package emulator; it decides nothing for controllers.
package devcluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"robinstack/emulator"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// Options say what to run.
type Options struct {
	Port         int      // first of the ports: state service, cloud, then two for each controller
	Controllers  int      // how many
	Programs     []string // of single controllers, in their order; the others run Program
	Program      string
	Policy       string  // policy file for those that run Program, or ""
	LogDirectory string  // for the controllers' logs, or "" for a temporary one
	MaxMachines  int     // that the cloud has
	GPUs         float64 // of each machine
}

// Cluster is a running service.
type Cluster struct {
	*Controllers
	State *emulator.StateService
	Cloud *emulator.LocalCloud

	options Options
	servers []io.Closer // and their listeners
	stop    chan struct{}
}

// maxControllers is how many controllers there may be.
const maxControllers = 8

var zones = []string{"north", "south"}

// pools is how many kinds of machines the cloud tells apart: ordinary and spot ones, in
// each zone.
var pools = 2 * len(zones)

// address is that of the kth port.
func (o *Options) address(k int) string { return fmt.Sprintf("127.0.0.1:%d", o.Port+k) }

// Which port serves what.
const (
	statePort = iota
	cloudPort
	controllerPorts // two for each controller: for users and workers, and for its peers
)

func (o *Options) nodes() []Node {
	var out []Node
	for k := range o.Controllers {
		port := controllerPorts + 2*k
		out = append(out, Node{
			Host:       fmt.Sprintf("host-%d", k),
			Zone:       zones[k%len(zones)],
			Listen:     o.address(port),
			PeerListen: o.address(port + 1),
		})
	}
	return out
}

// ControllerAddress is where a controller answers users.
func (c *Cluster) ControllerAddress(k int) string { return c.config.Nodes[k].Listen }

// ControllerAddresses lists where the controllers answer users.
func (c *Cluster) ControllerAddresses() []string {
	var out []string
	for k := range c.options.Controllers {
		out = append(out, c.ControllerAddress(k))
	}
	return out
}

// LogDirectory is the directory with the controllers' logs.
func (c *Cluster) LogDirectory() string { return c.config.LogDirectory }

// Start starts everything and returns once the controllers run. An error leaves nothing
// running.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if o.Controllers < 1 || o.Controllers > maxControllers || len(o.Programs) > o.Controllers {
		return nil, fmt.Errorf("%d controllers: 1 to %d are possible", o.Controllers, maxControllers)
	}
	nodes := o.nodes()
	controllers, err := NewControllers(ControllersConfig{
		Nodes:        nodes,
		State:        o.address(statePort),
		Cloud:        o.address(cloudPort),
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
		Controllers: controllers,
		State:       emulator.NewStateService(),
		options:     o,
		stop:        make(chan struct{}),
	}
	c.Cloud = emulator.NewLocalCloud(ctx, emulator.LocalCloudConfig{
		MachineTypes:      []cloud.MachineType{machineType(o.GPUs)},
		MaxPerPool:        max(1, o.MaxMachines/pools),
		Controllers:       addresses,
		HeartbeatInterval: heartbeatInterval,
		LeaseDuration:     leaseDuration,
		LookUpSpec:        c.lookUpSpec,
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

// start serves the stand-ins and launches the controllers.
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
	go c.State.ExpireLeases(c.stop)
	for k := range c.options.Controllers {
		if err := c.Launch(ctx, k, c.options.programOf(k)); err != nil {
			return err
		}
	}
	return nil
}

// programOf is the program of a controller at the start.
func (o *Options) programOf(k int) string {
	if k < len(o.Programs) && o.Programs[k] != "" {
		return o.Programs[k]
	}
	return o.Program
}

// serve has a stand-in answer at a port until the cluster ends.
func (c *Cluster) serve(ctx context.Context, name string, port int, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", c.options.address(port))
	if err != nil {
		return fmt.Errorf("a port for the %s: %w", name, err)
	}
	server := &http.Server{Handler: handler}
	// The listener too: a server that is closed before it has begun to serve closes it only
	// later, and the port would be taken still.
	c.servers = append(c.servers, server, listener)
	go func() { _ = server.Serve(listener) }() // until it is closed
	return nil
}

// lookUpSpec is what a job's owner submitted, as its record has it.
func (c *Cluster) lookUpSpec(id string) (*job.Spec, error) {
	ctx := context.Background() // the state service is in this process
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
		return nil, fmt.Errorf("the record of %s: %w", id, err)
	}
	return &record.Spec, nil
}

// Stop ends everything. With logs in the temporary directory they go too.
func (c *Cluster) Stop() {
	c.Controllers.Stop()
	for _, s := range c.servers {
		_ = s.Close() // a listener that its server has closed says so
	}
	close(c.stop)
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
