package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"robinstack/emulator"
)

// The deployment is the herbarium's: kuopio and joensuu, birch-box, three controllers.
const (
	hostKind     = "birch-box"
	hostCPUs     = 64.0
	hostGPUs     = 8.0
	hostMemoryGB = 512.0
	fetchGBPerS  = 0.3

	reportInterval = 3 * time.Second
	leaseDuration  = 34 * time.Second
	gangWait       = 45 * time.Second
	listLag        = 4 * time.Second

	kuopio  = "kuopio"
	joensuu = "joensuu"
)

var machineType = map[string]any{
	"label": hostKind, "cpus": hostCPUs, "gpus": hostGPUs, "mem_gb": hostMemoryGB, "local_gb": 120,
	"pull_gb_per_s": fetchGBPerS, "hourly": 17.68, "low_price": 7.96, "startup_s": 40,
	"sites": []string{kuopio, joensuu},
}

// facts is the part of the settings that describes the deployment.
var facts = map[string]any{
	"size":  3,
	"zones": []string{joensuu, kuopio},
	"teams": []map[string]any{
		{"name": "scan-floor", "cpus": 0, "cpus_max": 0, "gpus": 48, "gpus_max": 168},
		{"name": "label-desk", "cpus": 0, "cpus_max": 0, "gpus": 96, "gpus_max": 152},
		{"name": "model-room", "cpus": 0, "cpus_max": 0, "gpus": 32, "gpus_max": 96},
	},
	"objectives": []map[string]any{
		{"kind": "wait", "class": "leaf-train", "within_s": 30, "share": 0.8},
		{"kind": "wait", "class": "stitch-train", "within_s": 40, "share": 0.8},
	},
	"workers": map[string]float64{
		"report_s": reportInterval.Seconds(), "lease_s": leaseDuration.Seconds(),
		"gang_wait_s": gangWait.Seconds(), "gang_peer_s": 4, "cancel_s": 64,
	},
	"state": map[string]any{
		"rps": 200, "write_rps": 80, "value_kb": 8, "txn_ops": 24,
		"next": map[string]any{"write_rps": 56, "value_kb": 2, "txn_ops": 8},
	},
	"cloud":        map[string]any{"rps": 10, "list_lag_s": listLag.Seconds()},
	"quota":        map[string]any{"cores": 0.36, "memory_mb": 342, "max_connections": 3500},
	"clock_off_ms": 1000,
}

// node is a controller.
type node struct {
	host, zone, listen, peer string
}

// cluster is the service under test with its platform.
type cluster struct {
	record    *record
	fleet     *fleet
	nodes     []node
	directory string       // settings and logs
	gates     []*stateGate // by controller
	processes []*exec.Cmd
	servers   []*http.Server
	client    *http.Client
	program   string
	external  []map[string]string // addresses of cloud and state service, by controller
}

// freeAddresses returns loopback addresses whose ports are free.
func freeAddresses(ctx context.Context, count int) (addresses []string, err error) {
	for range count {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }() // after all ports are chosen, so that they differ
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startCluster starts the platform without machines and the controllers.
func startCluster(ctx context.Context, r *record, program string) (*cluster, error) {
	c := &cluster{record: r, client: &http.Client{}, program: program}
	zones := []string{kuopio, joensuu, kuopio}
	addresses, err := freeAddresses(ctx, 2*len(zones))
	if err != nil {
		return c, err
	}
	for k, zone := range zones {
		c.nodes = append(c.nodes, node{fmt.Sprintf("host-%d", k), zone, addresses[2*k], addresses[2*k+1]})
	}
	c.fleet = newFleet(ctx, r, c.nodes)
	state := emulator.NewStateService()
	state.SetSizeLimits(8<<10, 24)
	go state.ExpireLeases(ctx.Done())
	cloudAddress, err := c.serve(ctx, c.fleet)
	if err != nil {
		return c, err
	}
	if c.directory, err = os.MkdirTemp("", "robinstack-review-"); err != nil {
		return c, err
	}
	for k := range c.nodes {
		gate := &stateGate{service: state, changed: make(chan struct{})}
		stateAddress, err := c.serve(ctx, gate)
		if err != nil {
			return c, err
		}
		c.gates = append(c.gates, gate)
		c.external = append(c.external, map[string]string{"cloud": cloudAddress, "state": stateAddress})
		c.processes = append(c.processes, nil)
		if err := c.launch(ctx, k); err != nil {
			return c, err
		}
	}
	return c, c.waitUntilReady(ctx)
}

// serve serves a handler on a free loopback port.
func (c *cluster) serve(ctx context.Context, handler http.Handler) (address string, err error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return listener.Addr().String(), nil
}

// launch writes the settings of a controller and starts it with the run command of the deploy file.
func (c *cluster) launch(ctx context.Context, k int) error {
	self := c.nodes[k]
	peers := []map[string]string{}
	for _, other := range c.nodes {
		if other.host != self.host {
			peers = append(peers, map[string]string{"host_name": other.host, "area": other.zone, "address": other.peer})
		}
	}
	raw, err := json.Marshal(map[string]any{
		"host_name": self.host, "area": self.zone, "listen": self.listen, "peer_bind": self.peer, "peers": peers,
		"external": c.external[k], "facts": facts,
	})
	if err != nil {
		return err
	}
	const private = 0o600
	settings := filepath.Join(c.directory, self.host+".json")
	if err := os.WriteFile(settings, raw, private); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.directory, self.host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, private)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := exec.CommandContext(context.WithoutCancel(ctx), c.program, "--config", settings)
	command.Stderr, command.Env = log, append(os.Environ(), "LOG_LEVEL=info")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", self.host, err)
	}
	c.processes[k] = command
	c.record.add("controller %s (%s) started", self.host, self.zone)
	return nil
}

var errNotReady = errors.New("the controllers did not become ready")

// waitUntilReady waits until all controllers are ready.
func (c *cluster) waitUntilReady(ctx context.Context) error {
	const attempts = 150
	for range attempts {
		ready := 0
		for _, n := range c.nodes {
			status, _, err := send(ctx, c.client, http.MethodGet, "http://"+n.listen+"/ready", nil)
			if err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.nodes) {
			c.record.add("all controllers are ready")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNotReady
}

// kill ends a controller without notice.
func (c *cluster) kill(k int) {
	p := c.processes[k]
	if p == nil {
		return
	}
	_ = p.Process.Kill() // it may have ended by itself
	_ = p.Wait()         // reports the kill
	c.processes[k] = nil
	c.record.add("controller %s killed", c.nodes[k].host)
}

// stop ends all processes and removes what they wrote. With REVIEW_KEEP_LOGS set, the logs stay.
func (c *cluster) stop() {
	for k := range c.processes {
		c.kill(k)
	}
	for _, s := range c.servers {
		_ = s.Close() // open watches are cut off
	}
	if os.Getenv("REVIEW_KEEP_LOGS") != "" {
		fmt.Fprintln(os.Stderr, "logs:", c.directory)
		return
	}
	if c.directory != "" {
		_ = os.RemoveAll(c.directory) // what stays is in the temporary folder
	}
}

// Time-outs of users.
const (
	submitTimeout = 5 * time.Second
	queryTimeout  = 2 * time.Second
)

var errNotAccepted = errors.New("a job was not accepted")

// submit submits a job to a controller, as a user does, until it is accepted.
func (c *cluster) submit(ctx context.Context, k int, spec *jobSpec) error {
	c.fleet.upload(spec)
	for range 5 {
		callCtx, cancel := context.WithTimeout(ctx, submitTimeout)
		status, body, err := post(callCtx, c.client, "http://"+c.nodes[k].listen+"/submissions", spec)
		cancel()
		c.record.add("user: submits %s (%s, %d tasks) to %s: %d %s", spec.ID, spec.Shape, spec.Pieces,
			c.nodes[k].host, status, body)
		if err == nil && (status == http.StatusOK || status == http.StatusCreated) {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%w: %s", errNotAccepted, spec.ID)
}

// query asks a controller for the status of a job.
func (c *cluster) query(ctx context.Context, k int, id string) (status string) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	code, body, err := send(ctx, c.client, http.MethodGet, "http://"+c.nodes[k].listen+"/submissions/"+id, nil)
	c.record.add("user: asks %s about %s: %d %s", c.nodes[k].host, id, code, body)
	var answer struct {
		Status string `json:"status"`
	}
	if err != nil || json.Unmarshal(body, &answer) != nil {
		return ""
	}
	return answer.Status
}

// waitFor waits until the condition holds, and reports whether it did in time.
func waitFor(ctx context.Context, limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(stepInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}
