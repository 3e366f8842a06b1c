package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"robinstack/emulator"
	"robinstack/internal/config"
	"robinstack/internal/statekv"
	"robinstack/tools/devcluster"
	"robinstack/tools/scaletest"
)

// links are all links of a run. Each is indexed by the controller at one of its ends, links between
// controllers by the calling and the called one.
type links struct {
	state, cloud, workers, users []*link
	peers                        [][]*link // nil on the diagonal
}

// ofPeers returns the links between a controller and all others, in both directions.
func (l *links) ofPeers(k int) (out []*link) {
	for other := range l.peers {
		if other != k {
			out = append(out, l.peers[k][other], l.peers[other][k])
		}
	}
	return out
}

// allPeers returns the links between all controllers, in both directions.
func (l *links) allPeers() (out []*link) {
	for caller, called := range l.peers {
		for other, peerLink := range called {
			if other != caller {
				out = append(out, peerLink)
			}
		}
	}
	return out
}

// cluster is a whole service: controllers as processes, everything else in this process. mu guards
// the fields below it.
type cluster struct {
	ctx         context.Context // ends with the run
	options     *Options
	profile     *scaletest.Profile
	state       *emulator.StateService
	gates       []*stateGate
	links       links
	nodes       []devcluster.Node
	controllers *devcluster.Controllers
	pauses      *controllerPauses
	cloud       *emulator.SimulatedCloud
	copies      *emulator.LateCopies
	history     *emulator.History
	users       *scaletest.Users

	closers []io.Closer
	timers  sync.WaitGroup // actions of faults that are still to come

	mu        sync.Mutex
	down      map[int]bool // controllers that a fault has killed
	exited    []string     // controllers that ended by themselves
	allLinks  []*link
	stopped   bool
	leaderKey uint64 // revision of the leader's key when it was last looked at
	leaders   int    // changes of the leader seen
}

// startCluster starts everything but the load. On an error, nothing is left running.
func startCluster(ctx context.Context, o *Options, seed uint64, logDirectory string) (*cluster, error) {
	c := &cluster{
		ctx: ctx, options: o, profile: newProfile(o, seed), state: emulator.NewStateService(), down: map[int]bool{},
		copies: emulator.NewLateCopies(seed),
	}
	c.copies.SetSpread(copyDelaySpread)
	if err := c.start(seed, logDirectory); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(seed uint64, logDirectory string) error {
	zones := c.profile.Zones()
	for k := range c.options.Controllers {
		listen, err := allocateAddress(c.ctx)
		if err != nil {
			return err
		}
		peerListen, err := allocateAddress(c.ctx)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, devcluster.Node{
			Host: fmt.Sprintf("host-%d", k), Zone: zones[k%len(zones)], Listen: listen, PeerListen: peerListen,
		})
	}
	if err := c.connect(seed); err != nil {
		return err
	}
	policy := filepath.Join(logDirectory, "policy")
	err := os.WriteFile(policy, []byte(c.profile.Controllers.Policy), fileMode)
	if err != nil {
		return fmt.Errorf("writing the policy: %w", err)
	}
	c.controllers, err = devcluster.NewControllers(devcluster.ControllersConfig{
		Nodes: c.nodes, Deployment: c.profile.Deployment(), Policy: policy, Program: c.options.Program,
		LogDirectory: logDirectory, LogLevel: c.options.LogLevel,
	})
	if err != nil {
		return err
	}
	c.pauses = newControllerPauses(c.controllers)
	settings, err := config.Load(c.controllers.SettingsFile(0))
	if err != nil {
		return err
	}
	if err := c.startWorkers(seed, settings); err != nil {
		return err
	}
	for k := range c.nodes {
		if err := c.controllers.Launch(c.ctx, k, c.options.Program); err != nil {
			return err
		}
	}
	go c.state.ExpireLeases(c.ctx.Done())
	return nil
}

// connect serves the state service and opens all links but those to the cloud.
func (c *cluster) connect(seed uint64) error {
	for k := range c.nodes {
		gate := &stateGate{ctx: c.ctx, service: c.state, rng: rand.New(rand.NewPCG(seed, uint64(k)))}
		c.gates = append(c.gates, gate)
		served, err := c.serve(gate)
		if err != nil {
			return err
		}
		if err := c.connectController(k, served); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) connectController(k int, stateAddress string) error {
	node := &c.nodes[k]
	var err error
	open := func(target string, kind emulator.MessageKind) *link {
		if err != nil {
			return nil
		}
		var l *link
		l, err = c.openLink(target, kind)
		return l
	}
	c.links.state = append(c.links.state, open(stateAddress, emulator.TransactionMessage))
	c.links.workers = append(c.links.workers, open(node.Listen, emulator.HeartbeatMessage))
	c.links.users = append(c.links.users, open(node.Listen, emulator.UserMessage))
	c.links.peers = append(c.links.peers, make([]*link, len(c.nodes)))
	node.PeerAddresses = map[string]string{}
	for other := range c.nodes {
		if other == k {
			continue
		}
		if l := open(c.nodes[other].PeerListen, emulator.PeerMessage); l != nil {
			c.links.peers[k][other] = l
			node.PeerAddresses[c.nodes[other].Host] = l.address()
		}
	}
	if err != nil {
		return err
	}
	node.State = c.links.state[k].address()
	return c.connectCloud(node)
}

// connectCloud opens the link of a controller to the cloud, which is served later: it needs the
// controllers' settings.
func (c *cluster) connectCloud(node *devcluster.Node) error {
	l, err := c.openLink("", emulator.CloudMessage)
	if err != nil {
		return err
	}
	c.links.cloud = append(c.links.cloud, l)
	node.Cloud = l.address()
	return nil
}

// openLink opens a link to target that carries messages of a kind.
func (c *cluster) openLink(target string, kind emulator.MessageKind) (*link, error) {
	l, err := listenLink(c.ctx, target, kind, c.copies)
	if err == nil {
		c.allLinks = append(c.allLinks, l)
	}
	return l, err
}

// serve serves a handler on a free port until the cluster stops.
func (c *cluster) serve(handler http.Handler) (address string, err error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(c.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("serving an emulator: %w", err)
	}
	server := &http.Server{Handler: handler}
	c.closers = append(c.closers, server, listener)
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return listener.Addr().String(), nil
}

// cloudListLag is how far the cloud's list of machines lags.
const cloudListLag = time.Second

// startWorkers serves the cloud and boots the initial machines.
func (c *cluster) startWorkers(seed uint64, settings *config.Settings) error {
	c.history = emulator.NewHistory(settings)
	workerAddresses, userAddresses := map[string]string{}, map[string]string{}
	for k, node := range c.nodes {
		workerAddresses[node.Host], userAddresses[node.Host] = c.links.workers[k].address(), c.links.users[k].address()
	}
	c.cloud = emulator.NewSimulatedCloud(c.ctx, emulator.SimulatedCloudConfig{
		Settings: settings, MachineTypes: c.profile.CloudMachineTypes(), Seed: seed, History: c.history,
		MaxMachines: c.options.Machines + c.options.Machines/machinesPerSpare,
	})
	c.cloud.SetLateCopies(c.copies)
	c.cloud.UseNetwork(&emulator.LoopbackNetwork{ControllerAddresses: workerAddresses})
	c.cloud.SetTiming(emulator.Timing{ImageFetch: imageFetchTime, RandomBoot: true})
	c.users = scaletest.NewUsers(c.profile, userAddresses, c.history, c.cloud)
	served, err := c.serve(emulator.NewCloudServer(c.cloud, 0, cloudListLag))
	if err != nil {
		return err
	}
	for _, l := range c.links.cloud {
		l.setTarget(served)
	}
	zones := c.profile.Zones()
	for _, machineType := range c.profile.Types {
		for k, zone := range zones {
			count := (machineType.Count + len(zones) - 1 - k) / len(zones)
			if err := c.cloud.AddMachines(machineType.Name, zone, count, maxBootTime); err != nil {
				return err
			}
		}
	}
	return nil
}

// kill kills a controller unless a fault has done so already.
func (c *cluster) kill(k int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[k] || c.stopped {
		return
	}
	c.noteExits()
	c.down[k] = true
	c.controllers.Kill(k)
}

// launch launches a controller that a fault has killed.
func (c *cluster) launch(k int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.down[k] || c.stopped {
		return
	}
	if err := c.controllers.Launch(c.ctx, k, c.options.Program); err != nil {
		c.exited = append(c.exited, fmt.Sprintf("%s was not launched: %v", c.nodes[k].Host, err))
		return
	}
	delete(c.down, k)
}

// noteExits records and restarts the controllers that have ended by themselves. The caller must hold
// c.mu.
func (c *cluster) noteExits() {
	for k := range c.nodes {
		if c.stopped || c.down[k] || c.controllers.PID(k) != 0 {
			continue
		}
		c.exited = append(c.exited, c.nodes[k].Host+" ended by itself")
		if err := c.controllers.Launch(c.ctx, k, c.options.Program); err != nil {
			c.exited = append(c.exited, fmt.Sprintf("%s was not launched: %v", c.nodes[k].Host, err))
		}
	}
}

// after runs an action of a fault later, unless the run ends first.
func (c *cluster) after(d time.Duration, action func()) {
	c.timers.Go(func() {
		if emulator.Sleep(c.ctx, d) {
			action()
		}
	})
}

// leaderIndex returns the index of the controller that the leader's key names.
func (c *cluster) leaderIndex() (k int, found bool) {
	for _, kv := range c.state.ListAll(statekv.LeaderKey) {
		holder, err := statekv.HolderOf(kv)
		for k, node := range c.nodes {
			if err == nil && node.Host == holder.Host {
				return k, true
			}
		}
	}
	return 0, false
}

// observe records changes of the leader and controllers that have ended by themselves.
func (c *cluster) observe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteExits()
	for _, kv := range c.state.ListAll(statekv.LeaderKey) {
		if kv.Rev != c.leaderKey {
			c.leaderKey = kv.Rev
			c.leaders++
		}
	}
}

// stop stops all processes, servers and links.
func (c *cluster) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	if c.controllers != nil {
		c.controllers.Stop()
	}
	for _, closer := range c.closers {
		_ = closer.Close() // a listener that its server has closed returns an error
	}
	for _, l := range c.allLinks {
		l.close()
	}
}
