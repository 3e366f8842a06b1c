// Package devcluster runs a whole service on one machine for those who want to see it or work on
// it: a state service, a cloud and workers that are stand-ins over the published
// protocols, and controllers as processes of their own. It owns those processes and the
// ports, and leaves nothing behind.
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
	LogDirectory string  // directory for their logs, or "" for a temporary one
	MaxMachines  int     // how many the cloud has
	GPUs         float64 // of each machine
}

// Cluster is a running service.
type Cluster struct {
	*Controllers
	State *emulator.StateService
	Cloud *emulator.LocalCloud

	opts    Options
	servers []io.Closer // and their listeners
	stop    chan struct{}
}

// pools are the kinds of machines that the cloud tells apart: ordinary and spot ones, in
// each zone.
var pools = 2 * len(zones)

// most is how many controllers there may be.
const most = 8

var zones = []string{"north", "south"}

func (o *Options) address(k int) string { return fmt.Sprintf("127.0.0.1:%d", o.Port+k) }

// ControllerAddress is where a controller answers users.
func (f *Cluster) ControllerAddress(k int) string { return f.setup.Nodes[k].Listen }

// ControllerAddresses lists where the controllers answer users.
func (f *Cluster) ControllerAddresses() []string {
	var out []string
	for k := range f.opts.Controllers {
		out = append(out, f.ControllerAddress(k))
	}
	return out
}

// LogDirectory is the directory with the controllers' logs.
func (f *Cluster) LogDirectory() string { return f.setup.LogDirectory }

// Start starts everything and returns once the controllers run. An error leaves
// nothing running.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if o.Controllers < 1 || o.Controllers > most || len(o.Programs) > o.Controllers {
		return nil, fmt.Errorf("%d controllers: 1 to %d are possible", o.Controllers, most)
	}
	setup := ControllersConfig{State: o.address(0), Cloud: o.address(1), Deployment: facts(o.Controllers), Policy: o.Policy, Program: o.Program, LogDirectory: o.LogDirectory}
	addresses := map[string]string{}
	for k := range o.Controllers {
		n := Node{Host: fmt.Sprintf("host-%d", k), Zone: zones[k%len(zones)], Listen: o.address(2 + 2*k), PeerListen: o.address(3 + 2*k)}
		setup.Nodes = append(setup.Nodes, n)
		addresses[n.Host] = n.Listen
	}
	controllers, err := NewControllers(setup)
	if err != nil {
		return nil, err
	}
	f := &Cluster{Controllers: controllers, State: emulator.NewStateService(), opts: o, stop: make(chan struct{})}
	types := []cloud.MachineType{{Name: "box", CPUs: 16, GPUs: o.GPUs, MemoryGB: 128, CacheGB: 100, FetchGBPerS: 10, OnDemandPrice: 10, SpotPrice: 4, ProvisioningS: 0.5, Zones: zones}}
	f.Cloud = emulator.NewLocalCloud(ctx, emulator.LocalCloudConfig{MachineTypes: types, MaxPerPool: max(1, o.MaxMachines/pools), Controllers: addresses, HeartbeatInterval: time.Second, LeaseDuration: 8 * time.Second, LookUpSpec: f.spec})
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Cluster) start() error {
	if err := f.CheckPorts(); err != nil {
		return err
	}
	for k, handler := range []http.Handler{f.State, emulator.NewCloudServer(f.Cloud, 0, 0)} {
		ln, err := net.Listen("tcp4", f.opts.address(k))
		if err != nil {
			return fmt.Errorf("a port for the %s: %w", [...]string{"state service", "cloud"}[k], err)
		}
		server := &http.Server{Handler: handler}
		// The listener too: a server that is closed before it has begun to serve closes
		// it only later, and the port would be taken still.
		f.servers = append(f.servers, server, ln)
		go func() { _ = server.Serve(ln) }()
	}
	go f.State.ExpireLeases(f.stop)
	for k := range f.opts.Controllers {
		program := f.opts.Program
		if k < len(f.opts.Programs) && f.opts.Programs[k] != "" {
			program = f.opts.Programs[k]
		}
		if err := f.Launch(k, program); err != nil {
			return err
		}
	}
	return nil
}

// spec is what a job's owner submitted, as its record has it.
func (f *Cluster) spec(id string) (*job.Spec, error) {
	kv, err := f.State.Get(context.Background(), job.RecordKey(id))
	if err != nil {
		return nil, err
	}
	rec, err := job.ParseRecord(kv.Value)
	if err == nil {
		err = rec.JoinSpec(func(key string) (statekv.KV, bool) {
			kv, err := f.State.Get(context.Background(), key)
			return kv, err == nil
		})
	}
	if err != nil {
		return nil, fmt.Errorf("the record of %s: %w", id, err)
	}
	return &rec.Spec, nil
}

// limitsToCome are those that the settings announce for the state service.
var limitsToCome = map[string]int{"write_rps": 55, "value_kb": 2, "txn_ops": 8}

// facts are what the settings say of this deployment.
func facts(controllers int) any {
	return map[string]any{
		"size": controllers, "zones": zones,
		"teams":      []map[string]any{{"name": "crew", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0}},
		"objectives": []map[string]any{{"kind": "wait", "class": "try", "within_s": 10, "share": 0.9}},
		"workers":    map[string]float64{"report_s": 1, "lease_s": 8, "gang_wait_s": 20, "gang_peer_s": 3, "cancel_s": 20},
		"state":      map[string]any{"rps": 200, "write_rps": 75, "value_kb": 8, "txn_ops": 24, "next": limitsToCome},
		"cloud":      map[string]float64{"rps": 20, "list_lag_s": 1}, "clock_off_ms": 10,
		"quota": map[string]float64{"cores": 1, "memory_mb": 512, "max_connections": 2000},
	}
}

// Stop ends everything. With logs in the temporary directory they go too.
func (f *Cluster) Stop() {
	f.Controllers.Stop()
	for _, s := range f.servers {
		s.Close()
	}
	close(f.stop)
}
