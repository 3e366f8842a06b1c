// Package controller puts the parts of a controller together.
package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"robinstack/agent"
	"robinstack/cloud"
	"robinstack/config"
	"robinstack/ended"
	"robinstack/gateway"
	"robinstack/job"
	"robinstack/peer"
	"robinstack/pipeline"
	"robinstack/placer"
	"robinstack/policy"
	"robinstack/rollout"
	"robinstack/serving"
	"robinstack/statekv"
	"robinstack/steward"
	"robinstack/worker"
)

// nodeTTL is how long the state service keeps a controller that does not renew.
const nodeTTL = 4 * time.Second

// Controller is one controller process.
type Controller struct {
	settings  *config.Settings
	policy    *policy.Policy
	store     *statekv.Client
	moves     *statekv.Client // for moves of stored values, beside what controllers share
	cloud     cloud.API
	workers   worker.Commander
	catalogue *cloud.Catalogue
	gateway   *gateway.Gateway
	pauses    pauses
}

// New returns a controller that reaches the outside systems over the network.
func New(settings *config.Settings, pol *policy.Policy) *Controller {
	c := &Controller{
		settings: settings, policy: pol, catalogue: &cloud.Catalogue{},
		store:   statekv.NewClient(settings.StateAddress, 0.75*settings.State.RPS, 0.9*settings.State.WriteRPS, settings.Controllers),
		moves:   statekv.NewClient(settings.StateAddress, 0.05*settings.State.RPS, 2*rollout.MoveShare*settings.State.WriteRPS, 1),
		cloud:   cloud.NewClient(settings.CloudAddress, 0.8*settings.CloudRPS),
		workers: worker.NewClient(),
	}
	c.gateway = gateway.New(settings, c.store, c.catalogue, c.pauses.totals)
	return c
}

// Run serves until ctx ends. When the state lease is lost, all roles are: the
// controller then begins a new life without ending the process.
func (c *Controller) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp4", c.settings.Listen)
	if err != nil {
		return fmt.Errorf("listening for users and workers: %w", err)
	}
	go c.pauses.watch(ctx)
	go func() {
		told := ""
		for ctx.Err() == nil {
			err := c.live(ctx, serving.NewClock(time.Now()))
			c.gateway.SetLife(nil)
			pause := 300 * time.Millisecond
			if err != nil && ctx.Err() == nil {
				if told != err.Error() || !rollout.IsRefused(err) {
					slog.Info("life ended", "err", err)
				}
				told = err.Error()
			}
			if rollout.IsRefused(err) {
				// Not ready, with the reason, until the level is another one.
				c.gateway.SetWaiting(err.Error())
				pause = 2 * time.Second
			}
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}()
	return c.gateway.Serve(ctx, ln)
}

// live runs one life: from registration until the state lease is lost.
func (c *Controller) live(parent context.Context, clock *serving.Clock) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var (
		ag *agent.Agent
		pl *placer.Placer
		st *steward.Steward
	)
	mirror := statekv.NewMirror(c.store, []string{statekv.FleetPrefix, job.OpenPrefix, job.PiecePrefix}, statekv.RootPrefix, c.settings.WatchTime(), c.settings.WatchPause(), func(events []statekv.Event) {
		if events == nil {
			pl.Recheck()
			return
		}
		for _, e := range events {
			if strings.HasPrefix(e.Key(), job.OpenPrefix) {
				pl.OnJobEvent(e)
			} else if slot, ok := strings.CutPrefix(e.Set, statekv.SlotPrefix); ok {
				ag.SlotMoved(slot)
			} else if machine, ok := strings.CutPrefix(e.Delete, statekv.MachinePrefix); ok {
				ag.OnRemoved(machine)
			} else {
				c.gateway.OnEnded(e.Set, e.Value)
			}
		}
	})
	mirror.Parse = agent.ParseKey
	pipes := pipeline.NewTracker(mirror, c.takes, c.gateway.Final)
	mirror.First = pipes.OnEvents
	if err := mirror.Load(ctx); err != nil {
		return fmt.Errorf("reading the fleet's keys: %w", err)
	}
	if kv, ok := mirror.Get(statekv.TypesKey); ok && len(c.catalogue.Types()) == 0 {
		var types []cloud.MachineType
		if json.Unmarshal(kv.Value, &types) == nil {
			c.catalogue.Set(types)
		}
	}
	caps := rollout.OurCaps()
	reg, err := rollout.Register(mirror, caps)
	if err != nil {
		return err
	}
	member, err := statekv.Join(ctx, c.store, mirror, c.settings.Host, nodeTTL, reg)
	if err != nil {
		return err
	}
	c.gateway.SetWaiting("")
	clock.Mark(serving.Life)
	slog.Info("life begun", "host", member.Host, "instance", member.Instance)

	server := rpc.NewServer()
	addresses := map[string]string{}
	for _, p := range c.settings.Peers {
		addresses[p.Host] = p.Address
	}
	greeter := peer.NewService(c.settings.Host, rollout.Build, map[string]any{"Agent": (*agent.Service)(nil), "Placer": (*placer.Service)(nil), "Steward": (*steward.Service)(nil)})
	network := peer.New(c.settings.Host, addresses, server, greeter)
	defer network.Close()
	ag = agent.New(c.settings, c.store, mirror, member, c.workers, c.catalogue.Types)
	pl = placer.New(c.settings, c.policy, c.store, mirror, member, network, c.catalogue.Types, pipes)
	pl.Clock = clock
	st = steward.New(c.settings, c.policy, mirror, member, network, c.cloud, c.catalogue)
	for name, service := range map[string]any{"Agent": agent.NewService(ag), "Placer": placer.NewService(pl), "Steward": steward.NewService(st), "Peer": greeter} {
		if err := server.RegisterName(name, service); err != nil {
			return fmt.Errorf("registering %s: %w", name, err)
		}
	}
	gate := rollout.NewGate(c.settings.Hosts(), c.policy, mirror, member, c.store, st.Epoch)
	mover := rollout.NewMover(c.moves, mirror, member, st.Epoch, c.settings.State.TxnOps, rollout.MoveShare*c.settings.State.WriteRPS)
	feed := agent.NewFeed(network, mirror, c.settings.Hosts(), func() uint64 { return max(pl.Epoch(), st.Epoch()) }, func(entries []agent.Entry) {
		pl.OnEntries(entries)
		st.OnEntries(entries)
	})
	ag.Known = feed.Known
	sweeper := &ended.Sweeper{Store: c.store, Mirror: mirror, Member: member, Steward: st.Epoch, Ops: c.settings.State.TxnOps, Every: sweepEvery}
	ln, err := net.Listen("tcp4", c.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	var duties sync.WaitGroup
	duties.Go(func() { mirror.Run(ctx) })
	duties.Go(func() { c.share(ctx, member) })
	duties.Go(func() { peer.Serve(ctx, ln, server) })
	lost := make(chan error, 1)
	duties.Go(func() { lost <- member.Keep(ctx) })
	if err := mirror.Wait(ctx, member.Instance); err != nil {
		return err
	}
	duties.Go(func() { ag.Run(ctx) })
	duties.Go(func() { feed.Run(ctx) })
	duties.Go(func() { pl.Run(ctx, feed) })
	duties.Go(func() { st.Run(ctx, feed) })
	duties.Go(func() { gate.Run(ctx) })
	duties.Go(func() { mover.Run(ctx) })
	duties.Go(func() { sweeper.Run(ctx) })
	duties.Go(func() { pipes.Run(ctx, c.gateway.ReadEnded) })
	c.gateway.SetLife(&gateway.Life{Member: member, Mirror: mirror, Agent: ag, Placer: pl, Steward: st, Feed: feed, Gate: gate, Levels: rollout.NewReader(mirror), Pipes: pipes, Call: network, Clock: clock})
	err = <-lost
	c.gateway.SetLife(nil)
	cancel()
	duties.Wait()
	return err
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

// share divides what the state service allows among the controllers that live:
// those that take over a dead one's machines need its share for it.
func (c *Controller) share(ctx context.Context, member *statekv.Member) {
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
		c.store.Share(max(len(member.AliveHosts()), (c.settings.Controllers+1)/2))
	}
}
