// Package dev runs a whole service on one machine for those who want to see it or work on
// it: a state service, a cloud and workers that are stand-ins over the published
// protocols, and controllers as processes of their own. It owns those processes and the
// ports, and leaves nothing behind.
package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"robinstack/cloud"
	"robinstack/fakes"
	"robinstack/job"
	"robinstack/statekv"
)

// Options say what to run.
type Options struct {
	Port        int      // first of the ports: state service, cloud, then two for each controller
	Controllers int      // how many
	Programs    []string // of single controllers, in their order; the others run Program
	Program     string
	Policy      string  // policy file for those that run Program, or ""
	Logs        string  // directory for their logs, or "" for a temporary one
	Machines    int     // how many the cloud has
	GPUs        float64 // of each machine
}

// Fleet is a running service.
type Fleet struct {
	State *fakes.State
	Farm  *fakes.Farm

	opts    Options
	dir     string
	logs    string
	servers []io.Closer // and their listeners
	stop    chan struct{}

	mu   sync.Mutex
	runs []*process
}

// process is a controller.
type process struct {
	cmd  *exec.Cmd
	over chan struct{}
	err  error
}

var hosts = []string{"host-0", "host-1", "host-2", "host-3", "host-4", "host-5", "host-6", "host-7"}

// pools are the kinds of machines that the cloud tells apart: ordinary and spot ones, in
// each zone.
var pools = 2 * len(zones)

// most is how many controllers there may be.
const most = 8

func (o *Options) address(k int) string { return fmt.Sprintf("127.0.0.1:%d", o.Port+k) }

// Listen is where a controller answers users.
func (f *Fleet) Listen(k int) string { return f.opts.address(2 + 2*k) }

// Listens lists where the controllers answer users.
func (f *Fleet) Listens() []string {
	var out []string
	for k := range f.opts.Controllers {
		out = append(out, f.Listen(k))
	}
	return out
}

// Logs is the directory with the controllers' logs.
func (f *Fleet) Logs() string { return f.logs }

var zones = []string{"north", "south"}

// Start starts everything and returns once the controllers run. An error leaves
// nothing running.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if o.Controllers < 1 || o.Controllers > most || len(o.Programs) > o.Controllers {
		return nil, fmt.Errorf("%d controllers: 1 to %d are possible", o.Controllers, most)
	}
	dir, err := os.MkdirTemp("", "robinstack-dev-")
	if err != nil {
		return nil, fmt.Errorf("making a directory for settings: %w", err)
	}
	f := &Fleet{State: fakes.NewState(), opts: o, dir: dir, logs: o.Logs, stop: make(chan struct{}), runs: make([]*process, o.Controllers)}
	if f.logs == "" {
		f.logs = dir
	}
	controllers := map[string]string{}
	for k := range o.Controllers {
		controllers[hosts[k]] = f.Listen(k)
	}
	types := []cloud.MachineType{{Name: "box", CPUs: 16, GPUs: o.GPUs, MemoryGB: 128, CacheGB: 100, FetchGBPerS: 10, Price: 10, SpotPrice: 4, BootS: 0.5, Zones: zones}}
	f.Farm = fakes.NewFarm(ctx, fakes.FarmConfig{Types: types, Most: max(1, o.Machines/pools), Controllers: controllers, Report: time.Second, Lease: 8 * time.Second, Spec: f.spec})
	err = f.start(controllers)
	if err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(controllers map[string]string) error {
	for k := range f.opts.Controllers { // before anything is started: whose port is taken says so at once
		for _, p := range []int{2 + 2*k, 3 + 2*k} {
			ln, err := net.Listen("tcp4", f.opts.address(p))
			if err != nil {
				return fmt.Errorf("a port for %s: %w", hosts[k], err)
			}
			ln.Close()
		}
	}
	for k, handler := range []http.Handler{f.State, fakes.NewCloudServer(f.Farm, 0, 0)} {
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
	go f.State.Watch(f.stop)
	for k := range controllers {
		if err := f.settings(k); err != nil {
			return err
		}
	}
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
func (f *Fleet) spec(id string) (*job.Spec, error) {
	kv, err := f.State.Get(context.Background(), job.OpenKey(id))
	if err != nil {
		return nil, err
	}
	rec, err := job.ParseRecord(kv.Value)
	if err == nil {
		err = rec.Join(func(key string) (statekv.KV, bool) {
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

func (f *Fleet) file(host string) string { return filepath.Join(f.dir, host+".json") }

// settings writes the file that the platform hands to a controller.
func (f *Fleet) settings(host string) error {
	type node struct {
		Host    string `json:"host_name"`
		Area    string `json:"area"`
		Address string `json:"address"`
	}
	var peers []node
	var own map[string]any
	for k := range f.opts.Controllers {
		area := zones[k%len(zones)]
		if hosts[k] == host {
			own = map[string]any{"host_name": host, "area": area, "listen": f.Listen(k), "peer_bind": f.opts.address(3 + 2*k)}
		} else {
			peers = append(peers, node{hosts[k], area, f.opts.address(3 + 2*k)})
		}
	}
	own["peers"] = peers
	own["external"] = map[string]string{"state": f.opts.address(0), "cloud": f.opts.address(1)}
	own["facts"] = map[string]any{
		"size": f.opts.Controllers, "zones": zones,
		"teams":      []map[string]any{{"name": "crew", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0}},
		"objectives": []map[string]any{{"kind": "wait", "class": "try", "within_s": 10, "share": 0.9}},
		"workers":    map[string]float64{"report_s": 1, "lease_s": 8, "gang_wait_s": 20, "gang_peer_s": 3, "cancel_s": 20},
		"state":      map[string]any{"rps": 200, "write_rps": 75, "value_kb": 8, "txn_ops": 24, "next": limitsToCome},
		"cloud":      map[string]float64{"rps": 20, "list_lag_s": 1}, "clock_off_ms": 10,
		"quota": map[string]float64{"cores": 1, "memory_mb": 512, "max_connections": 2000},
	}
	raw, err := json.MarshalIndent(own, "", "  ")
	if err != nil {
		return fmt.Errorf("settings of %s: %w", host, err)
	}
	if err := os.WriteFile(f.file(host), raw, 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", host, err)
	}
	return nil
}

// Launch starts a controller, which must not be running, with a program.
func (f *Fleet) Launch(k int, program string) error {
	args := []string{"--config", f.file(hosts[k])}
	if f.opts.Policy != "" && program == f.opts.Program {
		args = append(args, "--policy", f.opts.Policy)
	}
	log, err := os.OpenFile(filepath.Join(f.logs, hosts[k]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("a log for %s: %w", hosts[k], err)
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stderr, cmd.Stdout = log, log
	cmd.SysProcAttr = own()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", hosts[k], err)
	}
	p := &process{cmd: cmd, over: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.over)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[k] = p
	return nil
}

// Kill ends a controller without a word, and returns once it has ended.
func (f *Fleet) Kill(k int) {
	f.mu.Lock()
	p := f.runs[k]
	f.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.over
}

// Ended reports a controller that ended by itself, with its name.
func (f *Fleet) Ended() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, p := range f.runs {
		if p == nil {
			continue
		}
		select {
		case <-p.over:
			return fmt.Errorf("%s has ended (%w); its log is %s", hosts[k], errors.Join(p.err, errors.New("by itself")), filepath.Join(f.logs, hosts[k]+".log"))
		default:
		}
	}
	return nil
}

// Ready waits until a controller takes jobs, or one has ended.
func (f *Fleet) Ready(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		if err := f.Ended(); err != nil {
			return err
		}
		for _, address := range f.Listens() {
			resp, err := client.Get("http://" + address + "/ready")
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return fmt.Errorf("waiting for a controller: %w", ctx.Err())
}

// Stop ends everything. With logs in the temporary directory they go too.
func (f *Fleet) Stop() {
	for k := range f.runs {
		f.Kill(k)
	}
	for _, s := range f.servers {
		s.Close()
	}
	close(f.stop)
	os.RemoveAll(f.dir)
}
