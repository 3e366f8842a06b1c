package devcluster

import (
	"cmp"
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

	"robinstack/emulator"
)

// Node describes a controller for its settings file.
type Node struct {
	Host, Zone         string
	Listen, PeerListen string // host:port for users and workers, and for other controllers

	// Addresses by which this controller reaches others, where they differ from those in
	// ControllersConfig: the state service, the cloud, and other controllers by host.
	State, Cloud  string
	PeerAddresses map[string]string
}

// ControllersConfig configures controllers: their settings files, programs and logs.
type ControllersConfig struct {
	Nodes        []Node
	State, Cloud string // addresses of the state service and the cloud
	Deployment   any    // JSON value of "facts" in the settings files
	Policy       string // policy file for the controllers that run Program; "": none
	Program      string
	LogDirectory string // directory of the controllers' logs; "": the settings directory
	LogLevel     string // LOG_LEVEL of the controllers; "": inherited from this process
}

// Controllers runs controllers as separate processes. mu guards processes.
type Controllers struct {
	config            ControllersConfig
	settingsDirectory string

	mu        sync.Mutex
	processes []*process // by index of the node; nil: not launched yet
}

// process is the process of a controller. exitErr may be read only after exited is closed.
type process struct {
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// NewControllers writes the settings files of all controllers. It launches none of them.
func NewControllers(config ControllersConfig) (*Controllers, error) {
	directory, err := os.MkdirTemp("", "robinstack-dev-")
	if err != nil {
		return nil, fmt.Errorf("creating the settings directory: %w", err)
	}
	c := &Controllers{config: config, settingsDirectory: directory, processes: make([]*process, len(config.Nodes))}
	if c.config.LogDirectory == "" {
		c.config.LogDirectory = directory
	}
	for k := range config.Nodes {
		if err := c.writeSettings(k); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// CheckPorts returns an error for the first controller address that is in use, so that a port
// conflict is reported before anything is started.
func (c *Controllers) CheckPorts(ctx context.Context) error {
	for _, n := range c.config.Nodes {
		for _, address := range []string{n.Listen, n.PeerListen} {
			var config net.ListenConfig
			listener, err := config.Listen(ctx, "tcp4", address)
			if err != nil {
				return fmt.Errorf("checking a port of controller %s: %w", n.Host, err)
			}
			_ = listener.Close() // the listener was not used
		}
	}
	return nil
}

// SettingsFile returns the path of the settings file of controller k.
func (c *Controllers) SettingsFile(k int) string {
	return filepath.Join(c.settingsDirectory, c.config.Nodes[k].Host+".json")
}

// logFile returns the path of the log of controller k.
func (c *Controllers) logFile(k int) string {
	return filepath.Join(c.config.LogDirectory, c.config.Nodes[k].Host+".log")
}

// privateFileMode makes files readable and writable by their owner only.
const privateFileMode = 0o600

// writeSettings writes the settings file of controller k, in the format that the platform provides
// in production.
func (c *Controllers) writeSettings(k int) error {
	type peer struct {
		Host    string `json:"host_name"`
		Zone    string `json:"area"`
		Address string `json:"address"`
	}
	own := c.config.Nodes[k]
	peers := []peer{}
	for _, n := range c.config.Nodes {
		if n.Host != own.Host {
			peers = append(peers, peer{n.Host, n.Zone, cmp.Or(own.PeerAddresses[n.Host], n.PeerListen)})
		}
	}
	raw, err := json.MarshalIndent(map[string]any{
		"host_name": own.Host,
		"area":      own.Zone,
		"listen":    own.Listen,
		"peer_bind": own.PeerListen,
		"peers":     peers,
		"external": map[string]string{
			"state": cmp.Or(own.State, c.config.State), "cloud": cmp.Or(own.Cloud, c.config.Cloud),
		},
		"facts": c.config.Deployment,
	}, "", "  ")
	if err == nil {
		err = os.WriteFile(c.SettingsFile(k), raw, privateFileMode)
	}
	if err != nil {
		return fmt.Errorf("writing the settings of controller %s: %w", own.Host, err)
	}
	return nil
}

// Launch starts controller k with the given program. The controller must not be running. It keeps
// running when ctx ends, until Kill or Stop is called.
func (c *Controllers) Launch(ctx context.Context, k int, program string) error {
	host := c.config.Nodes[k].Host
	args := []string{"--config", c.SettingsFile(k)}
	if c.config.Policy != "" && program == c.config.Program {
		args = append(args, "--policy", c.config.Policy)
	}
	log, err := os.OpenFile(c.logFile(k), os.O_CREATE|os.O_APPEND|os.O_WRONLY, privateFileMode)
	if err != nil {
		return fmt.Errorf("opening the log of controller %s: %w", host, err)
	}
	defer func() { _ = log.Close() }() // the child process has its own file descriptor
	cmd := exec.CommandContext(context.WithoutCancel(ctx), program, args...)
	cmd.Stderr, cmd.Stdout = log, log
	if c.config.LogLevel != "" {
		cmd.Env = append(os.Environ(), "LOG_LEVEL="+c.config.LogLevel)
	}
	cmd.SysProcAttr = ChildProcessAttributes()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting controller %s: %w", host, err)
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		p.exitErr = cmd.Wait()
		close(p.exited)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[k] = p
	return nil
}

// Kill kills controller k without a graceful shutdown, and returns once the process has exited.
func (c *Controllers) Kill(k int) {
	c.mu.Lock()
	p := c.processes[k]
	c.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill() // fails if the process has already exited
	<-p.exited
}

// PID returns the process ID of controller k, or 0 if it is not running.
func (c *Controllers) PID(k int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[k]
	if p == nil || p.hasExited() {
		return 0
	}
	return p.cmd.Process.Pid
}

// errUnexpectedExit is wrapped by the errors of UnexpectedExit.
var errUnexpectedExit = errors.New("exited unexpectedly")

// UnexpectedExit returns an error that names a controller whose process has exited, or nil if there
// is none. A controller that was stopped with Kill and not launched again is reported as well.
func (c *Controllers) UnexpectedExit() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, p := range c.processes {
		if p != nil && p.hasExited() {
			return fmt.Errorf("controller %s: %w; log: %s",
				c.config.Nodes[k].Host, errors.Join(errUnexpectedExit, p.exitErr), c.logFile(k))
		}
	}
	return nil
}

// The interval at which WaitUntilReady polls the controllers, and the time-out of each request.
const (
	readyPoll    = 100 * time.Millisecond
	readyTimeout = time.Second
)

// WaitUntilReady waits until a controller accepts jobs. It returns an error if a controller exits
// first or ctx ends.
func (c *Controllers) WaitUntilReady(ctx context.Context) error {
	client := &http.Client{Timeout: readyTimeout}
	for ctx.Err() == nil {
		if err := c.UnexpectedExit(); err != nil {
			return err
		}
		for _, n := range c.config.Nodes {
			if isReady(ctx, client, n.Listen) {
				return nil
			}
		}
		emulator.Sleep(ctx, readyPoll)
	}
	return fmt.Errorf("no controller became ready: %w", ctx.Err())
}

// isReady reports whether the controller at address accepts jobs.
func isReady(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body) // reading the whole body allows the connection to be reused
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop kills all controllers and removes their settings files.
func (c *Controllers) Stop() {
	for k := range c.processes {
		c.Kill(k)
	}
	_ = os.RemoveAll(c.settingsDirectory) // a leftover would be in the system's temporary directory
}
