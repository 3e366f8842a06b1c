// Package controller puts the parts of a controller together.
package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/autoscaler"
	"robinstack/internal/budget"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/clusteragent"
	"robinstack/internal/config"
	"robinstack/internal/dag"
	"robinstack/internal/gateway"
	"robinstack/internal/job"
	"robinstack/internal/peer"
	"robinstack/internal/policy"
	"robinstack/internal/recovery"
	"robinstack/internal/rollout"
	"robinstack/internal/scheduler"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// nodeTTL is how long the state service keeps a controller that does not renew.
const nodeTTL = 4 * time.Second

// Controller is one controller process.
type Controller struct {
	settings  *config.Settings
	policy    *policy.Policy
	store     Store
	moves     statekv.Store // for moves of stored values, beside what controllers share
	cloud     cloud.API
	workers   worker.Commander
	catalogue *cloud.Catalogue
	gateway   *gateway.Gateway
	pauses    pauseDetector
	connect   func(server *rpc.Server, greeter *peer.Service) Network
}

// Store is the state service, whose limits the controllers that live share.
type Store interface {
	statekv.Store
	SetControllerCount(controllers int)
}

// Network carries calls between the controllers for one life.
type Network interface {
	peer.Caller
	// Listen begins to listen to the others; serve answers them until ctx ends.
	Listen() (serve func(ctx context.Context), err error)
	Close()
}

// ExternalSystems is what a controller reaches beyond its process. Stories put stand-ins in its
// place and have whole controllers meet failures, with all their parts as they are.
type ExternalSystems struct {
	StateStore     Store
	MigrationStore statekv.Store
	Cloud          cloud.API
	Workers        worker.Commander
	// Connect makes the network of a life: server answers the calls of the others, and
	// greeter says what this one is.
	Connect func(server *rpc.Server, greeter *peer.Service) Network
}

// New returns a controller that reaches the outside systems over the network.
func New(settings *config.Settings, pol *policy.Policy) *Controller {
	return Assemble(settings, pol, ExternalSystems{
		StateStore:     statekv.NewClient(settings.StateAddress, 0.75*settings.StateLimits.RequestsPerSecond, settings.StateLimits.SharedWriteBudget(), max(settings.Controllers, len(settings.Hosts()))),
		MigrationStore: statekv.NewClient(settings.StateAddress, 0.05*settings.StateLimits.RequestsPerSecond, 2*rollout.MigrationWriteShare*settings.StateLimits.WritesPerSecond, 1),
		Cloud:          cloud.NewClient(settings.CloudAddress, 0.8*settings.CloudRequestsPerSecond),
		Workers:        worker.NewClient(),
		Connect: func(server *rpc.Server, greeter *peer.Service) Network {
			addresses := map[string]string{}
			for _, p := range settings.Peers {
				addresses[p.Host] = p.Address
			}
			return overTCP{peer.New(settings.Host, addresses, server, greeter), settings.PeerListenAddress, server}
		},
	})
}

// Assemble returns a controller with the given outside.
func Assemble(settings *config.Settings, pol *policy.Policy, out ExternalSystems) *Controller {
	c := &Controller{settings: settings, policy: pol, catalogue: &cloud.Catalogue{},
		store: out.StateStore, moves: out.MigrationStore, cloud: out.Cloud, workers: out.Workers, connect: out.Connect}
	c.gateway = gateway.New(settings, c.store, c.catalogue, c.pauses.totals)
	return c
}

// overTCP is the network over TCP.
type overTCP struct {
	*peer.Network
	address string
	server  *rpc.Server
}

func (o overTCP) Listen() (func(ctx context.Context), error) {
	ln, err := net.Listen("tcp4", o.address)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	return func(ctx context.Context) { peer.Serve(ctx, ln, o.server) }, nil
}

// HandleRequest answers a request without a network, for stories.
func (c *Controller) HandleRequest(r *http.Request) (*http.Response, error) {
	return c.gateway.HandleRequest(r)
}

// Run serves until ctx ends. When the state lease is lost, all roles are: the
// controller then begins a new life without ending the process.
func (c *Controller) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp4", c.settings.ListenAddress)
	if err != nil {
		return fmt.Errorf("listening for users and workers: %w", err)
	}
	go c.pauses.watch(ctx)
	go c.RunSessions(ctx)
	return c.gateway.Serve(ctx, ln)
}

// RunSessions begins one life after the other until ctx ends.
func (c *Controller) RunSessions(ctx context.Context) {
	told := ""
	for ctx.Err() == nil {
		err := c.live(ctx, recovery.NewTimeline(time.Now()))
		c.gateway.SetComponents(nil)
		pause := 300 * time.Millisecond
		if err != nil && ctx.Err() == nil {
			if told != err.Error() || !rollout.IsJoinRejected(err) {
				slog.Info("controller session ended", "err", err)
			}
			told = err.Error()
		}
		if rollout.IsJoinRejected(err) {
			// Not ready, with the reason, until the level is another one.
			c.gateway.SetNotReadyReason(err.Error())
			pause = 2 * time.Second
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// live runs one life: from registration until the state lease is lost.
func (c *Controller) live(parent context.Context, clock *recovery.Timeline) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var (
		ag *clusteragent.Agent
		pl *scheduler.Scheduler
		st *autoscaler.Leader
	)
	mirror := statekv.NewMirror(c.store, []string{statekv.ClusterPrefix, job.RecordPrefix, job.SpecFragmentPrefix}, statekv.RootPrefix, c.settings.WatchTimeout(), c.settings.MinWatchInterval(), func(events []statekv.Event) {
		if events == nil {
			pl.Resync()
			return
		}
		for _, e := range events {
			if strings.HasPrefix(e.Key(), job.RecordPrefix) {
				pl.OnJobEvent(e)
			} else if slot, ok := strings.CutPrefix(e.Set, statekv.JobShardPrefix); ok {
				ag.OnJobShardMoved(slot)
			} else if machine, ok := strings.CutPrefix(e.Delete, statekv.MachinePrefix); ok {
				ag.OnMachineRemoved(machine)
			} else {
				c.gateway.OnTombstoneEvent(e)
			}
		}
	})
	mirror.Parse, mirror.Track = parseKey, clusteragent.IsCancellation
	pipes := dag.NewTracker(mirror, c.takes, c.gateway.CachedTombstone)
	mirror.OnApply = func(events []statekv.Event) {
		pipes.OnEvents(events)
		if ag != nil { // what is read before there are machines is in the mirror
			ag.OnWatchEvents(events)
		}
	}
	if err := mirror.Load(ctx); err != nil {
		return fmt.Errorf("reading the fleet's keys: %w", err)
	}
	if kv, ok := mirror.Get(statekv.MachineTypesKey); ok && len(c.catalogue.Types()) == 0 {
		var types []cloud.MachineType
		if json.Unmarshal(kv.Value, &types) == nil {
			c.catalogue.Set(types)
		}
	}
	caps := rollout.LocalCapabilities()
	reg, err := rollout.NewRegistration(mirror, caps)
	if err != nil {
		return err
	}
	member, err := statekv.OpenSession(ctx, c.store, mirror, c.settings.Host, nodeTTL, reg)
	if err != nil {
		return err
	}
	c.gateway.SetNotReadyReason("")
	clock.Record(recovery.StepRegistered)
	slog.Info("controller session started", "host", member.Host, "instance", member.Incarnation)

	server := rpc.NewServer()
	greeter := peer.NewService(c.settings.Host, rollout.BuildVersion, map[string]any{"Agent": (*clusteragent.Service)(nil), "Placer": (*scheduler.Service)(nil), "Steward": (*autoscaler.Service)(nil)})
	network := c.connect(server, greeter)
	defer network.Close()
	ag = clusteragent.New(c.settings, c.store, mirror, member, c.workers, c.catalogue.Types)
	pl = scheduler.New(c.settings, c.policy, c.store, mirror, member, network, c.catalogue.Types, pipes)
	pl.RecoveryTimeline = clock
	st = autoscaler.New(c.settings, c.policy, mirror, member, network, c.cloud, c.catalogue)
	for name, service := range map[string]any{"Agent": clusteragent.NewService(ag), "Placer": scheduler.NewService(pl), "Steward": autoscaler.NewService(st), "Peer": greeter} {
		if err := server.RegisterName(name, service); err != nil {
			return fmt.Errorf("registering %s: %w", name, err)
		}
	}
	gate := rollout.NewVersionGate(c.settings.Hosts(), c.policy, mirror, member, c.store, st.Epoch)
	mover := rollout.NewMigrator(c.moves, mirror, member, st.Epoch, c.settings.StateLimits.MaxTxnOps, rollout.MigrationWriteShare*c.settings.StateLimits.WritesPerSecond)
	feed := changefeed.New(network, mirror, c.settings.Hosts(), func() uint64 { return max(pl.HighestEpoch(), st.Epoch()) }, func(entries []agentapi.MachineEntry) {
		pl.OnEntries(entries)
		st.OnEntries(entries)
	})
	ag.LastEntry, ag.AcknowledgedUntil = feed.LastEntry, feed.AcknowledgedUntil
	sweeper := &tombstone.GarbageCollector{Store: c.store, Mirror: mirror, Member: member, LeaderEpoch: st.Epoch, TxnOps: c.settings.StateLimits.MaxTxnOps, Interval: sweepEvery}
	serve, err := network.Listen()
	if err != nil {
		return err
	}
	var duties sync.WaitGroup
	duties.Go(func() { mirror.Run(ctx) })
	duties.Go(func() { c.share(ctx, member) })
	duties.Go(func() { c.runBudget(ctx, member, network, pl.LeaderHost) })
	duties.Go(func() { serve(ctx) })
	lost := make(chan error, 1)
	duties.Go(func() { lost <- member.KeepAlive(ctx) })
	if err := mirror.Wait(ctx, member.Incarnation); err != nil {
		return err
	}
	duties.Go(func() { ag.Run(ctx) })
	duties.Go(func() { feed.Run(ctx) })
	duties.Go(func() { pl.Run(ctx, feed) })
	duties.Go(func() { st.Run(ctx, feed) })
	duties.Go(func() { gate.Run(ctx) })
	duties.Go(func() { mover.Run(ctx) })
	duties.Go(func() { sweeper.Run(ctx) })
	duties.Go(func() { pipes.Run(ctx, c.gateway.ReadTombstone) })
	life := &gateway.Components{Session: member, Mirror: mirror, Agent: ag, Scheduler: pl, Leader: st, Feed: feed, VersionGate: gate, ClusterVersion: rollout.NewVersionReader(mirror), DependencyTracker: pipes, Peers: network, RecoveryTimeline: clock}
	if counts, ok := network.(interface{ Traffic() peer.Traffic }); ok {
		life.PeerTraffic = counts.Traffic
	}
	c.gateway.SetComponents(life)
	err = <-lost
	c.gateway.SetComponents(nil)
	cancel()
	duties.Wait()
	return err
}

// parseKey reads what the mirror keeps and follows, once for all who look at it.
func parseKey(key string, value json.RawMessage) any {
	if change := tombstone.ParseChange(key, value); change != nil {
		return change
	}
	return shard.ParseValue(key, value)
}

// sweepEvery is how often the steward looks for keys that jobs have left behind.
const sweepEvery = time.Minute

// stageOverhead is about what passes between the end of a job and the start of those
// that wait for it, the image and the run itself left aside: its record is written, the
// others see that, and look for places.
const stageOverhead = 3 * time.Second

// takes is about how long a job takes once it is ready.
func (c *Controller) takes(spec *job.Spec) time.Duration {
	return config.Seconds(spec.EstimateS) + spec.FetchTime(c.catalogue.Types()) + stageOverhead
}

// budgetedStore is a store whose changes follow a budget that all controllers share.
type budgetedStore interface{ WriteBudget() *statekv.WriteBudget }

// How often a controller tells the steward how many changes it would make: often while it
// needs more than its part, so that it is lent more soon, and else so that its promise to use
// less goes on.
const (
	budgetBusy = 200 * time.Millisecond
	budgetRest = 500 * time.Millisecond
)

// runBudget tells the steward what this session needs of the changes that the state service
// takes, and takes what is lent.
func (c *Controller) runBudget(ctx context.Context, member *statekv.Session, network peer.Caller, stewardHost func() string) {
	store, ok := c.store.(budgetedStore)
	if !ok {
		return
	}
	writes := store.WriteBudget()
	writes.SetSession(time.Now(), member.HoldsLease)
	defer writes.SetSession(time.Time{}, nil)
	for ctx.Err() == nil {
		pause := budgetRest
		if host := stewardHost(); host != "" {
			sent := time.Now()
			report := writes.Report(member.Host, sent)
			if !report.Promises {
				pause = budgetBusy
			}
			var grant budget.Grant
			cctx, cancel := context.WithTimeout(ctx, budget.LoanDuration)
			if err := network.Call(cctx, host, "Steward.Budget", report, &grant); err == nil {
				writes.ApplyGrant(grant, sent)
			} else {
				slog.Debug("write budget request failed", "err", err)
			}
			cancel()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// share divides the requests that the state service allows among the controllers that live:
// those that take over a dead one's machines need its share for it.
func (c *Controller) share(ctx context.Context, member *statekv.Session) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		// Half of the controllers are counted in any case: those that come
		// back do so together.
		c.store.SetControllerCount(max(len(member.AliveHosts()), (c.settings.Controllers+1)/2))
	}
}
