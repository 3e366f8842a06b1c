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
	Deployment   any    // of the deployment, as the settings file has them
	Policy       string // policy file for those that run Program, or ""
	Program      string
	LogDirectory string // directory for their logs; "": with the settings
	LogLevel     string // "": that of this process
}

// Controllers runs controllers as processes of their own. Its mutex guards the processes.
type Controllers struct {
	setup ControllersConfig
	dir   string // of the settings files

	mu   sync.Mutex
	runs []*process
}

// process is a controller.
type process struct {
	cmd  *exec.Cmd
	over chan struct{}
	err  error
}

// NewControllers writes the settings files. Nothing runs yet.
func NewControllers(s ControllersConfig) (*Controllers, error) {
	dir, err := os.MkdirTemp("", "robinstack-dev-")
	if err != nil {
		return nil, fmt.Errorf("making a directory for settings: %w", err)
	}
	c := &Controllers{setup: s, dir: dir, runs: make([]*process, len(s.Nodes))}
	if c.setup.LogDirectory == "" {
		c.setup.LogDirectory = dir
	}
	for k := range s.Nodes {
		if err := c.writeSettings(k); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// CheckPorts reports the first address of a controller that is taken: whose port is taken
// says so before anything is started.
func (c *Controllers) CheckPorts() error {
	for _, n := range c.setup.Nodes {
		for _, address := range []string{n.Listen, n.PeerListen} {
			ln, err := net.Listen("tcp4", address)
			if err != nil {
				return fmt.Errorf("a port for %s: %w", n.Host, err)
			}
			ln.Close()
		}
	}
	return nil
}

// SettingsFile is the file that the platform hands to a controller.
func (c *Controllers) SettingsFile(k int) string {
	return filepath.Join(c.dir, c.setup.Nodes[k].Host+".json")
}

// writeSettings writes the file that the platform hands to a controller.
func (c *Controllers) writeSettings(k int) error {
	type peer struct {
		Host    string `json:"host_name"`
		Area    string `json:"area"`
		Address string `json:"address"`
	}
	own := c.setup.Nodes[k]
	peers := []peer{}
	for _, n := range c.setup.Nodes {
		if n.Host != own.Host {
			peers = append(peers, peer{n.Host, n.Zone, n.PeerListen})
		}
	}
	raw, err := json.MarshalIndent(map[string]any{
		"host_name": own.Host, "area": own.Zone, "listen": own.Listen, "peer_bind": own.PeerListen, "peers": peers,
		"external": map[string]string{"state": c.setup.State, "cloud": c.setup.Cloud}, "facts": c.setup.Deployment,
	}, "", "  ")
	if err == nil {
		err = os.WriteFile(c.SettingsFile(k), raw, 0o600)
	}
	if err != nil {
		return fmt.Errorf("settings of %s: %w", own.Host, err)
	}
	return nil
}

// Launch starts a controller, which must not be running, with a program.
func (c *Controllers) Launch(k int, program string) error {
	host := c.setup.Nodes[k].Host
	args := []string{"--config", c.SettingsFile(k)}
	if c.setup.Policy != "" && program == c.setup.Program {
		args = append(args, "--policy", c.setup.Policy)
	}
	log, err := os.OpenFile(filepath.Join(c.setup.LogDirectory, host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("a log for %s: %w", host, err)
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stderr, cmd.Stdout = log, log
	if c.setup.LogLevel != "" {
		cmd.Env = append(os.Environ(), "LOG_LEVEL="+c.setup.LogLevel)
	}
	cmd.SysProcAttr = ChildAttributes()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", host, err)
	}
	p := &process{cmd: cmd, over: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.over)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[k] = p
	return nil
}

// Kill ends a controller without a word, and returns once it has ended.
func (c *Controllers) Kill(k int) {
	c.mu.Lock()
	p := c.runs[k]
	c.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.over
}

// PID is a controller's process id, or 0 if it does not run.
func (c *Controllers) PID(k int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.runs[k]
	if p == nil {
		return 0
	}
	select {
	case <-p.over:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}

// UnexpectedExit reports a controller that ended by itself, with its name.
func (c *Controllers) UnexpectedExit() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, p := range c.runs {
		if p == nil {
			continue
		}
		select {
		case <-p.over:
			host := c.setup.Nodes[k].Host
			return fmt.Errorf("%s has ended (%w); its log is %s", host, errors.Join(p.err, errors.New("by itself")), filepath.Join(c.setup.LogDirectory, host+".log"))
		default:
		}
	}
	return nil
}

// WaitUntilReady waits until a controller takes jobs, or one has ended.
func (c *Controllers) WaitUntilReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		if err := c.UnexpectedExit(); err != nil {
			return err
		}
		for _, n := range c.setup.Nodes {
			resp, err := client.Get("http://" + n.Listen + "/ready")
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

// Stop ends all controllers and removes their settings.
func (c *Controllers) Stop() {
	for k := range c.runs {
		c.Kill(k)
	}
	os.RemoveAll(c.dir)
}
