package devcluster

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
)

// Node is a controller as its settings file has it.
type Node struct {
	Host, Zone         string
	Listen, PeerListen string // host:port for users and workers, and for other controllers
}

// ControllersConfig says what controllers are told.
type ControllersConfig struct {
	Nodes        []Node
	State, Cloud string // addresses
	Deployment   any    // as the settings file has it
	Policy       string // policy file for those that run Program, or ""
	Program      string
	LogDirectory string // for their logs; "": with the settings
	LogLevel     string // "": that of this process
}

// Controllers runs controllers as processes of their own. Its mutex guards the processes.
type Controllers struct {
	config            ControllersConfig
	settingsDirectory string

	mu        sync.Mutex
	processes []*process // by node; nil: not launched yet
}

// process is a controller's. exitErr may be read once exited is closed.
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

// NewControllers writes the settings files. Nothing runs yet.
func NewControllers(config ControllersConfig) (*Controllers, error) {
	directory, err := os.MkdirTemp("", "robinstack-dev-")
	if err != nil {
		return nil, fmt.Errorf("making a directory for settings: %w", err)
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

// CheckPorts reports the first address of a controller that is taken: whose port is taken
// says so before anything is started.
func (c *Controllers) CheckPorts(ctx context.Context) error {
	for _, n := range c.config.Nodes {
		for _, address := range []string{n.Listen, n.PeerListen} {
			var config net.ListenConfig
			listener, err := config.Listen(ctx, "tcp4", address)
			if err != nil {
				return fmt.Errorf("a port for %s: %w", n.Host, err)
			}
			_ = listener.Close() // nothing has used it
		}
	}
	return nil
}

// SettingsFile is the file that the platform hands to a controller.
func (c *Controllers) SettingsFile(k int) string {
	return filepath.Join(c.settingsDirectory, c.config.Nodes[k].Host+".json")
}

// logFile is the file with a controller's log.
func (c *Controllers) logFile(k int) string {
	return filepath.Join(c.config.LogDirectory, c.config.Nodes[k].Host+".log")
}

// ownerOnly is the mode of files that are nobody else's.
const ownerOnly = 0o600

// writeSettings writes the file that the platform hands to a controller.
func (c *Controllers) writeSettings(k int) error {
	type peer struct {
		Host    string `json:"host_name"`
		Area    string `json:"area"`
		Address string `json:"address"`
	}
	own := c.config.Nodes[k]
	peers := []peer{}
	for _, n := range c.config.Nodes {
		if n.Host != own.Host {
			peers = append(peers, peer{n.Host, n.Zone, n.PeerListen})
		}
	}
	raw, err := json.MarshalIndent(map[string]any{
		"host_name": own.Host,
		"area":      own.Zone,
		"listen":    own.Listen,
		"peer_bind": own.PeerListen,
		"peers":     peers,
		"external":  map[string]string{"state": c.config.State, "cloud": c.config.Cloud},
		"facts":     c.config.Deployment,
	}, "", "  ")
	if err == nil {
		err = os.WriteFile(c.SettingsFile(k), raw, ownerOnly)
	}
	if err != nil {
		return fmt.Errorf("settings of %s: %w", own.Host, err)
	}
	return nil
}

// Launch starts a controller, which must not be running, with a program. It runs on when ctx
// ends, until Kill or Stop.
func (c *Controllers) Launch(ctx context.Context, k int, program string) error {
	host := c.config.Nodes[k].Host
	args := []string{"--config", c.SettingsFile(k)}
	if c.config.Policy != "" && program == c.config.Program {
		args = append(args, "--policy", c.config.Policy)
	}
	log, err := os.OpenFile(c.logFile(k), os.O_CREATE|os.O_APPEND|os.O_WRONLY, ownerOnly)
	if err != nil {
		return fmt.Errorf("a log for %s: %w", host, err)
	}
	defer func() { _ = log.Close() }() // the process has its own
	cmd := exec.CommandContext(context.WithoutCancel(ctx), program, args...)
	cmd.Stderr, cmd.Stdout = log, log
	if c.config.LogLevel != "" {
		cmd.Env = append(os.Environ(), "LOG_LEVEL="+c.config.LogLevel)
	}
	cmd.SysProcAttr = ChildAttributes()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", host, err)
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

// Kill ends a controller without warning, and returns once it has ended.
func (c *Controllers) Kill(k int) {
	c.mu.Lock()
	p := c.processes[k]
	c.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.exited
}

// PID is a controller's process id, or 0 if it does not run.
func (c *Controllers) PID(k int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[k]
	if p == nil || p.hasExited() {
		return 0
	}
	return p.cmd.Process.Pid
}

// errExitedByItself marks the end of a process that nobody ended.
var errExitedByItself = errors.New("by itself")

// UnexpectedExit reports a controller that ended by itself, with its name.
func (c *Controllers) UnexpectedExit() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, p := range c.processes {
		if p != nil && p.hasExited() {
			return fmt.Errorf("%s has ended (%w); its log is %s",
				c.config.Nodes[k].Host, errors.Join(p.exitErr, errExitedByItself), c.logFile(k))
		}
	}
	return nil
}

// How often WaitUntilReady asks the controllers, and how long it waits for an answer.
const (
	readyPoll    = 100 * time.Millisecond
	readyTimeout = time.Second
)

// WaitUntilReady waits until a controller takes jobs, or one has ended.
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
		sleep(ctx, readyPoll)
	}
	return fmt.Errorf("waiting for a controller: %w", ctx.Err())
}

// isReady asks a controller whether it takes jobs.
func isReady(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body) // so that the connection is used again
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop ends all controllers and removes their settings.
func (c *Controllers) Stop() {
	for k := range c.processes {
		c.Kill(k)
	}
	_ = os.RemoveAll(c.settingsDirectory) // it is the system's temporary directory's
}
