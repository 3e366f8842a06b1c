package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/clusteragent"
	"robinstack/internal/config"
	"robinstack/internal/dag"
	"robinstack/internal/gateway"
	"robinstack/internal/job"
	"robinstack/internal/leader"
	"robinstack/internal/peer"
	"robinstack/internal/recovery"
	"robinstack/internal/rollout"
	"robinstack/internal/scheduler"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

const (
	// sessionTTL is the time to live of the session lease: the state service ends the session of a
	// controller that has not renewed its lease for this long.
	sessionTTL = 4 * time.Second
	// garbageCollectionInterval is how often the leader looks for keys left behind by finished
	// jobs.
	garbageCollectionInterval = time.Minute
	// dependencyStageOverhead is the approximate time between the completion of a job and the start
	// of its dependents, without image fetch and run time: the job record is written, the other
	// controllers see it, and their schedulers find machines.
	dependencyStageOverhead = 3 * time.Second
)

// session holds the components of one session, which lasts from the registration in the state
// service until the session lease is lost. The fields are set once, in the order of runSession,
// before the goroutines that read them start.
type session struct {
	controller *Controller
	timeline   *recovery.Timeline

	mirror       *statekv.Mirror
	dependencies *dag.Tracker
	state        *statekv.Session
	server       *rpc.Server
	network      Network
	agent        *clusteragent.Agent
	scheduler    *scheduler.Scheduler
	leader       *leader.Leader
	feed         *changefeed.Feed
	versionGate  *rollout.VersionGate
	migrator     *rollout.Migrator
	collector    *tombstone.GarbageCollector

	goroutines sync.WaitGroup
}

// runSession runs one session, from the registration until the session lease is lost, and returns
// the reason why it ended.
func (c *Controller) runSession(parent context.Context, timeline *recovery.Timeline) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	s := &session{controller: c, timeline: timeline}
	if err := s.open(ctx); err != nil {
		return err
	}
	handshake := s.createNetwork()
	defer s.network.Close()
	s.buildRoles()
	if err := s.registerServices(handshake); err != nil {
		return err
	}
	s.buildMaintenance()
	servePeers, err := s.network.Listen()
	if err != nil {
		return err
	}
	defer s.shutdown(cancel)
	leaseLost := s.startInfrastructure(ctx, servePeers)
	// No role may act on a mirror that does not yet include this session's own registration.
	if err := s.mirror.Wait(ctx, s.state.Incarnation); err != nil {
		return err
	}
	s.startRoles(ctx)
	c.gateway.SetComponents(s.gatewayComponents())
	err = <-leaseLost
	c.gateway.SetComponents(nil)
	return err
}

// shutdown stops the components and waits for their main loops. Requests that are still in flight
// finish in the background, so that the next session does not wait for unresponsive machines and
// peers.
func (s *session) shutdown(cancel context.CancelFunc) {
	cancel()
	s.goroutines.Wait()
	s.controller.requestsInFlight.Go(s.agent.Wait)
	s.controller.requestsInFlight.Go(s.scheduler.Wait)
}

// open reads the keys of the cluster and registers this session in the state service.
func (s *session) open(ctx context.Context) error {
	c := s.controller
	s.mirror = statekv.NewMirror(
		c.store,
		[]string{statekv.ClusterPrefix, job.RecordPrefix, job.SpecFragmentPrefix},
		statekv.RootPrefix,
		c.settings.WatchTimeout(),
		c.settings.MinWatchInterval(),
		s.onWatchEvents,
	)
	s.mirror.Parse, s.mirror.IsTracked = parseValue, clusteragent.IsCancellation
	s.dependencies = dag.NewTracker(s.mirror, c.estimatedDuration, c.gateway.CachedTombstone)
	s.mirror.OnApply = s.onApply
	if err := s.mirror.Load(ctx); err != nil {
		return fmt.Errorf("reading the cluster's keys: %w", err)
	}
	s.seedCatalogue()
	registration, err := rollout.NewRegistration(s.mirror, rollout.LocalCapabilities())
	if err != nil {
		return err
	}
	s.state, err = statekv.OpenSession(ctx, c.store, s.mirror, c.settings.Host, sessionTTL, registration)
	if err != nil {
		return err
	}
	c.gateway.SetNotReadyReason("")
	s.timeline.Record(recovery.StepRegistered)
	slog.Info("controller session started", "host", s.state.Host, "instance", s.state.Incarnation)
	return nil
}

// onWatchEvents passes each change to the component that handles it. events is nil if changes were
// missed and the mirror has read all keys again.
func (s *session) onWatchEvents(events []statekv.Event) {
	if events == nil {
		s.scheduler.Resync()
		return
	}
	for _, event := range events {
		if strings.HasPrefix(event.Key(), job.RecordPrefix) {
			s.scheduler.OnJobEvent(event)
		} else if jobShard, ok := strings.CutPrefix(event.Set, statekv.JobShardPrefix); ok {
			s.agent.OnJobShardMoved(jobShard)
		} else if machine, ok := strings.CutPrefix(event.Delete, statekv.MachinePrefix); ok {
			s.agent.OnMachineRemoved(machine)
		} else {
			s.controller.gateway.OnTombstoneEvent(event)
		}
	}
}

// onApply passes changes to the components that must know them before readers of the mirror can see
// them.
func (s *session) onApply(events []statekv.Event) {
	s.dependencies.OnEvents(events)
	if s.agent != nil { // earlier changes are in the mirror when the agent is created
		s.agent.OnWatchEvents(events)
	}
}

// seedCatalogue loads the machine types that a leader has stored, unless the catalogue already has
// types from the cloud. Submissions can then be checked before the cloud answers.
func (s *session) seedCatalogue() {
	catalogue := s.controller.catalogue
	stored, ok := s.mirror.Get(statekv.MachineTypesKey)
	if !ok || len(catalogue.Types()) > 0 {
		return
	}
	var types []cloud.MachineType
	if json.Unmarshal(stored.Value, &types) == nil {
		catalogue.Set(types)
	}
}

// createNetwork creates the network of this session. The caller must register the returned
// handshake service.
func (s *session) createNetwork() *peer.Service {
	c := s.controller
	s.server = rpc.NewServer()
	handshake := peer.NewService(c.settings.Host, rollout.BuildVersion, map[string]any{
		"Agent":   (*clusteragent.Service)(nil),
		"Placer":  (*scheduler.Service)(nil),
		"Steward": (*leader.Service)(nil),
	})
	s.network = c.newNetwork(s.server, handshake)
	return handshake
}

// buildRoles creates the cluster agent, the scheduler and the leader component.
func (s *session) buildRoles() {
	c, types := s.controller, s.controller.catalogue.Types
	s.agent = clusteragent.New(c.settings, c.store, s.mirror, s.state, c.workers, types)
	s.scheduler = scheduler.New(c.settings, c.policy, c.store, s.mirror, s.state, s.network, types, s.dependencies)
	s.scheduler.RecoveryTimeline = s.timeline
	s.leader = leader.New(c.settings, c.policy, s.mirror, s.state, s.network, c.cloud, c.catalogue)
}

// registerServices makes the components callable by other controllers. The service names are part
// of the wire format between controllers.
func (s *session) registerServices(handshake *peer.Service) error {
	for name, service := range map[string]any{
		"Agent":   clusteragent.NewService(s.agent),
		"Placer":  scheduler.NewService(s.scheduler),
		"Steward": leader.NewService(s.leader),
		"Peer":    handshake,
	} {
		if err := s.server.RegisterName(name, service); err != nil {
			return fmt.Errorf("registering %s: %w", name, err)
		}
	}
	return nil
}

// buildMaintenance creates the components that depend on the roles: the change feed of machines,
// the version gate, the migrator and the garbage collector.
func (s *session) buildMaintenance() {
	c, limits := s.controller, s.controller.settings.StateLimits
	hosts := c.settings.Hosts()
	s.versionGate = rollout.NewVersionGate(hosts, c.policy, s.mirror, s.state, c.store, s.leader.Epoch)
	s.migrator = rollout.NewMigrator(
		c.migrationStore,
		s.mirror,
		s.state,
		s.leader.Epoch,
		limits.MaxTxnOps,
		rollout.MigrationWriteShare*limits.WritesPerSecond,
	)
	s.feed = changefeed.New(s.network, s.mirror, hosts, s.highestEpoch, s.onMachineEntries)
	s.agent.LastEntry, s.agent.AcknowledgedUntil = s.feed.LastEntry, s.feed.AcknowledgedUntil
	s.collector = &tombstone.GarbageCollector{
		Store:       c.store,
		Mirror:      s.mirror,
		Session:     s.state,
		LeaderEpoch: s.leader.Epoch,
		MaxTxnOps:   limits.MaxTxnOps,
		Interval:    garbageCollectionInterval,
	}
}

// highestEpoch returns the highest epoch among the roles that read the change feed.
func (s *session) highestEpoch() uint64 { return max(s.scheduler.HighestEpoch(), s.leader.Epoch()) }

// onMachineEntries passes changes of machines to the roles that read the change feed.
func (s *session) onMachineEntries(entries []agentapi.MachineEntry) {
	s.scheduler.OnEntries(entries)
	s.leader.OnEntries(entries)
}

// startInfrastructure starts the goroutines that answer peers and that keep the mirror, the session
// lease and the shares of the state service's limits up to date. The returned channel receives the
// reason why the session has to end.
func (s *session) startInfrastructure(ctx context.Context, servePeers func(context.Context)) <-chan error {
	c := s.controller
	s.goroutines.Go(func() { s.mirror.Run(ctx) })
	s.goroutines.Go(func() { c.divideRequestLimit(ctx, s.state) })
	s.goroutines.Go(func() { c.shareWriteBudget(ctx, s.state, s.network, s.scheduler.LeaderHost) })
	s.goroutines.Go(func() { servePeers(ctx) })
	leaseLost := make(chan error, 1)
	s.goroutines.Go(func() { leaseLost <- s.state.KeepAlive(ctx) })
	return leaseLost
}

// startRoles starts the components that act on the cluster.
func (s *session) startRoles(ctx context.Context) {
	s.goroutines.Go(func() { s.agent.Run(ctx) })
	s.goroutines.Go(func() { s.feed.Run(ctx) })
	s.goroutines.Go(func() { s.scheduler.Run(ctx, s.feed) })
	s.goroutines.Go(func() { s.leader.Run(ctx, s.feed) })
	s.goroutines.Go(func() { s.versionGate.Run(ctx) })
	s.goroutines.Go(func() { s.migrator.Run(ctx) })
	s.goroutines.Go(func() { s.collector.Run(ctx) })
	s.goroutines.Go(func() { s.dependencies.Run(ctx, s.controller.gateway.ReadTombstone) })
}

// gatewayComponents returns the components that the gateway uses to serve requests during this
// session.
func (s *session) gatewayComponents() *gateway.Components {
	components := &gateway.Components{
		Session:           s.state,
		Mirror:            s.mirror,
		Agent:             s.agent,
		Scheduler:         s.scheduler,
		Feed:              s.feed,
		VersionGate:       s.versionGate,
		ClusterVersion:    rollout.NewVersionReader(s.mirror),
		DependencyTracker: s.dependencies,
		Peers:             s.network,
		RecoveryTimeline:  s.timeline,
	}
	if network, ok := s.network.(interface{ Traffic() peer.Traffic }); ok {
		components.PeerTraffic = network.Traffic
	}
	return components
}

// parseValue decodes the value of a mirrored key or of a watched change, so that it is decoded once
// for all readers.
func parseValue(key string, value json.RawMessage) any {
	if change := tombstone.ParseChange(key, value); change != nil {
		return change
	}
	return shard.ParseValue(key, value)
}

// estimatedDuration returns the approximate time that a job takes once its dependencies are
// satisfied.
func (c *Controller) estimatedDuration(spec *job.Spec) time.Duration {
	return config.Seconds(spec.EstimateS) + spec.FetchTime(c.catalogue.Types()) + dependencyStageOverhead
}
