package standin2

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robinstack/emulator"
	"robinstack/internal/statekv"
)

// recorder writes record.txt.
type recorder struct {
	limits map[string]float64 // GPUs that a team may use

	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{limits: map[string]float64{}, file: file, began: time.Now()}, err
}

// line writes one line with the seconds since the start.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.2f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// link carries connections to target. While it is cut, it resets the ones it has and those that are made.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	sent  map[net.Conn][]byte // what callers have sent, by connection
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: map[net.Conn]bool{}, sent: map[net.Conn][]byte{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn)
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (l *link) carry(near net.Conn) {
	l.mu.Lock()
	if l.cut {
		l.mu.Unlock()
		reset(near)
		return
	}
	l.mu.Unlock()
	far, err := net.Dial("tcp4", l.target)
	if err != nil {
		reset(near)
		return
	}
	l.mu.Lock()
	l.conns[near], l.conns[far] = true, true
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.copy(far, near, near) })
	directions.Go(func() { l.copy(near, far, nil) })
	directions.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, near)
	delete(l.conns, far)
}

// copy copies one direction of a connection. What it copies is kept under caller, unless that is nil.
func (l *link) copy(to, from, caller net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if caller != nil {
			l.mu.Lock()
			l.sent[caller] = append(l.sent[caller], buffer[:n]...)
			l.mu.Unlock()
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// repeat sends what was sent over each connection once more, over new ones, and drops the answers. It returns the
// number of bytes.
func (l *link) repeat() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sent := range l.sent {
		conn, err := net.Dial("tcp4", l.target)
		if err != nil {
			continue
		}
		n += len(sent)
		go func() {
			_, _ = conn.Write(sent)
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
	return n
}

// setCut begins or ends a cut that resets connections.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for conn := range l.conns {
		if cut {
			reset(conn)
		}
	}
}

// cluster is a small deployment: controllers as processes, everything else in this process.
type cluster struct {
	record    *recorder
	platform  *platform
	state     *emulator.StateService
	directory string
	program   string
	hosts     []string
	zones     []string
	listen    map[string]string
	peers     map[string]map[string]*link // by calling and called host
	settings  map[string]string           // settings files
	client    *http.Client
	logs      map[string]string
	slow      atomic.Int64 // time that the state service takes for an answer, in nanoseconds

	mu        sync.Mutex
	processes map[string]*exec.Cmd
}

// facts are the settings under "facts".
type facts struct {
	Size       int              `json:"size"`
	Zones      []string         `json:"zones"`
	Teams      []map[string]any `json:"teams"`
	Objectives []map[string]any `json:"objectives"`
	Workers    timing           `json:"workers"`
	State      map[string]any   `json:"state"`
	Cloud      map[string]any   `json:"cloud"`
	Quota      map[string]any   `json:"quota"`
	ClockOffMS float64          `json:"clock_off_ms"`
}

// freeAddress returns an address that nothing listens on. Its port is below those that outgoing connections get, so
// that none of these takes it before the controller listens.
func freeAddress() (string, error) {
	const lowest, count, tries = 18000, 14000, 100
	err := errors.New("no free port")
	for range tries {
		var listener net.Listener
		if listener, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(count))); err == nil {
			defer func() { _ = listener.Close() }()
			return listener.Addr().String(), nil
		}
	}
	return "", err
}

func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// newCluster prepares three controllers. areas are their zones.
func newCluster(r *recorder, program string, f facts, areas []string, k kind) (*cluster, error) {
	directory, err := os.MkdirTemp("", "robinstack-review-")
	if err != nil {
		return nil, err
	}
	lag := time.Duration(f.Cloud["list_lag_s"].(float64) * float64(time.Second))
	c := &cluster{
		record: r, platform: newPlatform(r, f.Workers, k, lag), state: emulator.NewStateService(), directory: directory,
		program: program, zones: areas, listen: map[string]string{}, peers: map[string]map[string]*link{},
		settings: map[string]string{}, client: &http.Client{Timeout: 5 * time.Second}, logs: map[string]string{},
		processes: map[string]*exec.Cmd{},
	}
	for _, team := range f.Teams {
		r.limits[team["name"].(string)], _ = team["gpus_max"].(float64)
	}
	state, err := serve(http.HandlerFunc(func(out http.ResponseWriter, request *http.Request) {
		time.Sleep(time.Duration(c.slow.Load()))
		c.state.ServeHTTP(out, request)
	}))
	if err != nil {
		return nil, err
	}
	go c.state.ExpireLeases(nil)
	cloud, err := serve(http.HandlerFunc(c.platform.serveCloud))
	if err != nil {
		return nil, err
	}
	return c, c.configure(f, state, cloud)
}

func (c *cluster) configure(f facts, state, cloud string) error {
	peerBind := map[string]string{}
	for k := range c.zones {
		host := fmt.Sprintf("host-%d", k)
		c.hosts = append(c.hosts, host)
		var errs [2]error
		c.listen[host], errs[0] = freeAddress()
		peerBind[host], errs[1] = freeAddress()
		if err := errors.Join(errs[0], errs[1]); err != nil {
			return err
		}
	}
	c.platform.nodes, c.platform.reports = c.hosts, c.listen
	for k, host := range c.hosts {
		c.peers[host] = map[string]*link{}
		peers := []map[string]string{}
		for other, name := range c.hosts {
			if other == k {
				continue
			}
			l, err := newLink(peerBind[name])
			if err != nil {
				return err
			}
			c.peers[host][name] = l
			peers = append(peers, map[string]string{"host_name": name, "area": c.zones[other], "address": l.address()})
		}
		raw, err := json.MarshalIndent(map[string]any{
			"host_name": host, "area": c.zones[k], "listen": c.listen[host], "peer_bind": peerBind[host], "peers": peers,
			"external": map[string]string{"cloud": cloud, "state": state}, "facts": f,
		}, "", "  ")
		if err != nil {
			return err
		}
		c.settings[host] = filepath.Join(c.directory, host+".json")
		c.logs[host] = filepath.Join(c.directory, host+".log")
		if err := os.WriteFile(c.settings[host], raw, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// launch starts a controller with the command of the deploy file.
func (c *cluster) launch(host string) error {
	log, err := os.OpenFile(c.logs[host], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(c.program, "--config", c.settings[host])
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	c.record.line("controller %s is started, process %d", host, cmd.Process.Pid)
	go func() { _ = cmd.Wait() }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[host] = cmd
	return nil
}

// kill kills a controller.
func (c *cluster) kill(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cmd := c.processes[host]; cmd != nil {
		_ = cmd.Process.Kill()
		delete(c.processes, host)
		c.record.line("controller %s is killed", host)
	}
}

// stop ends everything that was started, and copies the controllers' lines of interest to the record.
func (c *cluster) stop() {
	for _, host := range c.hosts {
		c.kill(host)
	}
	for _, host := range c.hosts {
		raw, _ := os.ReadFile(c.logs[host])
		for line := range strings.Lines(string(raw)) {
			for _, word := range []string{
				"session started", "session ended", "leader elected", "job shard", "ledger reconciled", "scaled in",
				"job accepted", "job done", "job cancelled", "machine lost", "violated",
			} {
				if strings.Contains(line, word) {
					c.record.line("log of %s: %s", host, strings.TrimSpace(line))
					break
				}
			}
		}
	}
	if os.Getenv("REVIEW_KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.directory)
	}
}

// ready reports whether a controller can take requests.
func (c *cluster) ready(host string) bool {
	response, err := c.client.Get("http://" + c.listen[host] + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leads reports whether the host's session is named by the leader's key.
func (c *cluster) leads(host string) bool {
	for _, kv := range c.state.ListAll(statekv.LeaderKey) {
		if holder, err := statekv.HolderOf(kv); err == nil && holder.Host == host {
			return true
		}
	}
	return false
}

// setCut cuts the network between two controllers, in both directions, or mends it.
func (c *cluster) setCut(one, other string, cut bool) {
	c.peers[one][other].setCut(cut)
	c.peers[other][one].setCut(cut)
	c.record.line("network between controllers %s and %s: cut %t", one, other, cut)
}

// until waits for a condition and reports whether it came true in time.
func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// answer is what a user is told.
type answer struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Done   int    `json:"done"`
	Active int    `json:"running"`
}

func (c *cluster) request(method, host, path string, body any) (status int, told answer) {
	var reader io.Reader
	if body != nil {
		raw, _ := json.Marshal(body)
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequest(method, "http://"+c.listen[host]+path, reader)
	if err != nil {
		return 0, told
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, told
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&told)
	return response.StatusCode, told
}

// submit submits a job at a controller until it is accepted.
func (c *cluster) submit(host string, s *spec) bool {
	c.platform.mu.Lock()
	c.platform.specs[s.ID] = s
	c.platform.mu.Unlock()
	return until(20*time.Second, func() bool {
		status, told := c.request(http.MethodPost, host, "/submissions", s)
		c.record.line("user submits %s (%s, %d tasks, team %s) at %s: %d %s", s.ID, s.Shape, s.Pieces, s.Team, host, status, told.Status)
		if status == http.StatusOK || status == http.StatusCreated {
			return true
		}
		time.Sleep(time.Second)
		return false
	})
}

// ask asks a controller about a job.
func (c *cluster) ask(host, id string) (status int, told answer) {
	status, told = c.request(http.MethodGet, host, "/submissions/"+id, nil)
	c.record.line("user asks %s about %s: %d %s done %d running %d", host, id, status, told.Status, told.Done, told.Active)
	return status, told
}
