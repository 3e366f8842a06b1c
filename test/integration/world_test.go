package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/controller"
	"robinstack/internal/job"
	"robinstack/internal/peer"
	"robinstack/internal/policy"
)

// world is a service of three controllers, one in each zone, with its users and machines.
type world struct {
	t       *testing.T
	ctx     context.Context
	state   *emulator.StateService
	fleet   *emulator.SimulatedCloud
	history *emulator.History
	hub     *hub
	hosts   []string

	mu      sync.Mutex
	rng     *rand.Rand
	nodes   map[string]*node
	ports   map[string]*emulator.FaultyStateClient
	ready   map[string]bool
	noUsers map[string]bool // controllers that users do not reach
	noWork  map[string]bool // and workers
	ids     int
}

type node struct {
	c    *controller.Controller
	stop context.CancelFunc
}

var zones = []string{"a", "b", "c"}

var workers = config.WorkerTiming{HeartbeatInterval: 3 * time.Second, LeaseDuration: 30 * time.Second, GangWaitTimeout: 45 * time.Second, GangPeerTimeout: 5 * time.Second, CancellationDeadline: 60 * time.Second}

func (w *world) settings(host string) *config.Settings {
	s := &config.Settings{Host: host, Controllers: len(w.hosts), Zones: zones, Workers: workers, MaxConnections: 1000,
		Teams:       map[string]config.Team{"t": {Name: "t"}, "full": {Name: "full", GPUQuota: 6}, "small": {Name: "small", GPUQuota: 4}},
		StateLimits: config.StateLimits{RequestsPerSecond: 400, WritesPerSecond: 200, MaxValueBytes: 8192, MaxTxnOps: 24}, CloudRequestsPerSecond: 10, CloudListLag: 4 * time.Second}
	for k, h := range w.hosts {
		if h == host {
			s.Zone = zones[k]
		} else {
			s.Peers = append(s.Peers, config.Peer{Host: h, Zone: zones[k]})
		}
	}
	return s
}

// story plays a day: everything is up when tell is called.
func story(t *testing.T, seed uint64, tell func(w *world)) {
	t.Helper()
	storyWithBoots(t, seed, 5, tell)
}

// storyWithBoots is a story in which machines boot in so many seconds.
func storyWithBoots(t *testing.T, seed uint64, bootS float64, tell func(w *world)) {
	t.Helper()
	storyOfMachines(t, seed, bootS, 12, tell)
}

// storyOfMachines is one with up to so many machines.
func storyOfMachines(t *testing.T, seed uint64, bootS float64, most int, tell func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &world{t: t, ctx: ctx, state: emulator.NewStateService(), hosts: []string{"host-0", "host-1", "host-2"}, rng: rand.New(rand.NewPCG(seed, 3)),
			nodes: map[string]*node{}, ports: map[string]*emulator.FaultyStateClient{}, ready: map[string]bool{}, noUsers: map[string]bool{}, noWork: map[string]bool{},
			hub: &hub{lives: map[string]*wire{}, cut: map[string]bool{}, deaf: map[string]bool{}}}
		stop := make(chan struct{})
		go w.state.ExpireLeases(stop)
		defer func() { cancel(); close(stop); time.Sleep(30 * time.Second); synctest.Wait() }()
		s := w.settings("host-0")
		w.history = emulator.NewHistory(s)
		types := []cloud.MachineType{{Name: "box", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 100, FetchGBPerS: 1, OnDemandPrice: 2, SpotPrice: 1, ProvisioningS: bootS, Zones: zones}}
		w.fleet = emulator.NewSimulatedCloud(ctx, emulator.SimulatedCloudConfig{
			Settings: s, MachineTypes: types, MaxMachines: most, Seed: seed, History: w.history, CallController: w.work,
		})
		for _, h := range w.hosts {
			w.start(h)
		}
		go w.probe()
		go w.lookOn()
		time.Sleep(5 * time.Second)
		tell(w)
	})
}

// start begins a controller's process, if none runs: two of one host would end each
// other's lives for ever, and no deployment has them.
func (w *world) start(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nodes[host] != nil {
		return
	}
	if w.ports[host] == nil {
		w.ports[host] = emulator.NewFaultyStateClient(w.state, w.rng.Uint64())
	}
	ctx, stop := context.WithCancel(w.ctx)
	c := controller.Assemble(w.settings(host), policy.Default(), controller.ExternalSystems{StateStore: w.ports[host], MigrationStore: w.ports[host], Cloud: w.fleet, Workers: w.fleet.Commander(host),
		Connect: func(server *rpc.Server, greeter *peer.Service) controller.Network {
			return &wire{hub: w.hub, host: host, server: server, clients: map[*wire]*rpc.Client{}}
		}})
	w.nodes[host] = &node{c, stop}
	go c.RunSessions(ctx)
}

// crash ends a controller's process.
func (w *world) crash(host string) {
	w.mu.Lock()
	n := w.nodes[host]
	delete(w.nodes, host)
	w.mu.Unlock()
	if n != nil {
		n.stop()
	}
}

var errHangs = errors.New("nobody answers")

// reach asks a controller over HTTP; one that is not there does not answer.
func (w *world) reach(host string, r *http.Request, cut map[string]bool) (*http.Response, error) {
	w.mu.Lock()
	n, not := w.nodes[host], cut[host]
	w.mu.Unlock()
	if n == nil || not {
		return nil, errHangs
	}
	return n.c.HandleRequest(r)
}

func (w *world) work(host string, r *http.Request) (*http.Response, error) {
	return w.reach(host, r, w.noWork)
}

// call asks a controller as a user does.
func (w *world) call(host, method, path string, body any, patience time.Duration) (code int, status string) {
	raw, _ := json.Marshal(body)
	type answer struct {
		code   int
		status string
	}
	done := make(chan answer, 1)
	go func() {
		r := httptest.NewRequest(method, path, bytes.NewReader(raw))
		r.Header.Set("Content-Type", "application/json")
		resp, err := w.reach(host, r, w.noUsers)
		if err != nil {
			done <- answer{}
			return
		}
		defer resp.Body.Close()
		var out struct {
			Status string `json:"status"`
		}
		b, _ := io.ReadAll(resp.Body)
		_ = json.Unmarshal(b, &out)
		done <- answer{resp.StatusCode, out.Status}
	}()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case a := <-done:
		return a.code, a.status
	case <-timer.C:
		return 0, ""
	}
}

// lookOn has the history look at who waits, all the time.
func (w *world) lookOn() {
	for w.ctx.Err() == nil {
		w.history.CheckWaitingJobs(w.fleet.HasCapacity)
		time.Sleep(time.Second)
	}
}

// probe is the load balancer's.
func (w *world) probe() {
	for w.ctx.Err() == nil {
		for _, h := range w.hosts {
			code, _ := w.call(h, http.MethodGet, "/ready", nil, time.Second)
			w.mu.Lock()
			w.ready[h] = code == 200
			w.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// any is a controller that the load balancer picks.
func (w *world) any() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ready := slices.DeleteFunc(slices.Clone(w.hosts), func(h string) bool { return !w.ready[h] })
	if len(ready) == 0 {
		ready = w.hosts
	}
	return ready[w.rng.IntN(len(ready))]
}

func (w *world) one(host string) string {
	if host == "" {
		return w.any()
	}
	return host
}

// submit has a user submit a job at a controller ("": any), again and again for a minute,
// and ask about it from then on. It returns whether the job was accepted.
func (w *world) submit(host string, spec job.Spec, runs time.Duration) bool {
	return w.submitApart(host, spec, runs, 0)
}

// submitApart is submit of a job whose tasks end far apart.
func (w *world) submitApart(host string, spec job.Spec, runs, apart time.Duration) bool {
	w.history.RecordSubmission(spec)
	w.fleet.SetRunTimes(spec.ID, runs, apart)
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		asked := w.history.StampRequest()
		code, status := w.call(w.one(host), http.MethodPost, "/submissions", wireSpec(spec), 5*time.Second)
		w.history.RecordResponse("submit", spec.ID, asked, code, status)
		switch code {
		case 200, 201:
			go w.ask(spec.ID)
			return true
		case 400, 422:
			return false
		}
	}
	return false
}

// wireSpec is a submission with the fields that must not be left out.
func wireSpec(s job.Spec) any {
	raw, _ := json.Marshal(s)
	var m map[string]any
	_ = json.Unmarshal(raw, &m)
	return m
}

// ask has a user ask about a job until it is over.
func (w *world) ask(id string) {
	for w.ctx.Err() == nil {
		time.Sleep(5 * time.Second)
		asked := w.history.StampRequest()
		code, status := w.call(w.any(), http.MethodGet, "/submissions/"+id, nil, 2*time.Second)
		w.history.RecordResponse("query", id, asked, code, status)
		if code == 200 && (status == job.Done || status == job.Cancelled) {
			return
		}
	}
}

// cancel has a user cancel a job at a controller, and returns whether it was told so.
func (w *world) cancel(host, id string) bool {
	w.history.RecordCancelRequest(id)
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		asked := w.history.StampRequest()
		code, status := w.call(w.one(host), http.MethodPost, "/submissions/"+id+"/abort", nil, 5*time.Second)
		w.history.RecordResponse("cancel", id, asked, code, status)
		if code == 200 {
			return status == job.Cancelled
		}
	}
	return false
}

func (w *world) port(host string) *emulator.FaultyStateClient {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ports[host]
}

func (w *world) cutWork(host string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noWork[host] = cut
}

func (w *world) cutUsers(host string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noUsers[host] = cut
}

// id names the next job.
func (w *world) id() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("wk-%06d", w.ids)
}

// until waits for something.
func (w *world) until(what string, within time.Duration, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("not within %v: %s", within, what)
}

// check fails the test for every rule that was broken.
func (w *world) check() {
	w.t.Helper()
	if broken := w.history.Violations(); len(broken) > 0 {
		w.t.Errorf("%d broken: %s", len(broken), strings.Join(broken[:min(5, len(broken))], "; "))
	}
}

func array(id string, tasks int) job.Spec {
	return job.Spec{ID: id, Class: "c", Team: "t", Shape: job.Array, Rank: "normal", Tasks: tasks, Need: job.Need{CPUs: 1, GPUs: 1, MemoryGB: 1}, Image: "i", EstimateS: 60}
}

func in(zone string, s job.Spec) job.Spec {
	s.Zone = &zone
	return s
}

func shaped(shape string, s job.Spec) job.Spec {
	s.Shape = shape
	if shape == job.Gang {
		s.CheckpointS, s.SaveS = 10, 6
	}
	return s
}

// hub connects the controllers' lives.
type hub struct {
	mu    sync.Mutex
	lives map[string]*wire
	cut   map[string]bool // controllers that others do not reach, nor they others
	deaf  map[string]bool // controllers that others do not reach
}

// set cuts a controller from the others, or joins it again.
func (h *hub) set(host string, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut[host] = cut
}

// silence has a controller not be reached by the others, while it reaches them.
func (h *hub) silence(host string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deaf[host] = on
}

// wire is the network of one life, with net/rpc over pipes.
type wire struct {
	hub     *hub
	host    string
	server  *rpc.Server
	mu      sync.Mutex
	clients map[*wire]*rpc.Client // by the life that they reach
	conns   []net.Conn
}

func (n *wire) Listen() (func(ctx context.Context), error) {
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	n.hub.lives[n.host] = n
	return func(ctx context.Context) { <-ctx.Done(); n.leave() }, nil
}

func (n *wire) leave() {
	n.hub.mu.Lock()
	if n.hub.lives[n.host] == n {
		delete(n.hub.lives, n.host)
	}
	n.hub.mu.Unlock()
	n.Close()
}

func (n *wire) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.Close()
	}
}

// accept serves a connection to this life.
func (n *wire) accept() *rpc.Client {
	ours, theirs := net.Pipe()
	n.mu.Lock()
	n.conns = append(n.conns, theirs)
	n.mu.Unlock()
	go n.server.ServeConn(theirs)
	return rpc.NewClient(ours)
}

func (n *wire) Call(ctx context.Context, host, method string, args, reply any) error {
	n.hub.mu.Lock()
	to, cut := n.hub.lives[host], host != n.host && (n.hub.cut[host] || n.hub.cut[n.host] || n.hub.deaf[host])
	n.hub.mu.Unlock()
	if host == n.host {
		to = n
	}
	if cut {
		<-ctx.Done()
		return fmt.Errorf("%s at %s: %w", method, host, peer.ErrNoAnswer)
	}
	if to == nil {
		return fmt.Errorf("%s: connection refused", host)
	}
	n.mu.Lock()
	client := n.clients[to]
	n.mu.Unlock()
	if client == nil {
		client = to.accept()
		n.mu.Lock()
		n.clients[to] = client
		n.mu.Unlock()
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var answered rpc.ServerError
		if call.Error == nil || errors.As(call.Error, &answered) {
			return call.Error
		}
		return fmt.Errorf("%s at %s: %w: %w", method, host, peer.ErrNoAnswer, call.Error)
	case <-ctx.Done():
		return fmt.Errorf("%s at %s: %w", method, host, peer.ErrNoAnswer)
	}
}
