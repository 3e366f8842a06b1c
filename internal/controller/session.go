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
	// sessionTTL is how long the state service keeps a controller that does not renew its lease.
	sessionTTL = 4 * time.Second
	// garbageCollectionInterval is how often the leader looks for keys that jobs left behind.
	garbageCollectionInterval = time.Minute
	// dependencyStageOverhead is about what passes between the end of a job and the start of its
	// dependents, the image and the run itself left aside: its record is written, the other
	// controllers see that, and look for machines.
	dependencyStageOverhead = 3 * time.Second
)

// session holds the components of one session, from its registration in the state service until
// its lease is lost. The fields are set once, in the order of runSession, before the goroutines
// that read them start.
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

	duties sync.WaitGroup
}

// runSession runs one session: from registration until the session lease is lost.
func (c *Controller) runSession(parent context.Context, timeline *recovery.Timeline) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	s := &session{controller: c, timeline: timeline}
	if err := s.open(ctx); err != nil {
		return err
	}
	handshake := s.connect()
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
	defer s.end(cancel)
	leaseLost := s.startKeepingUp(ctx, servePeers)
	// No role acts on a view that is older than this session's own registration.
	if err := s.mirror.Wait(ctx, s.state.Incarnation); err != nil {
		return err
	}
	s.startRoles(ctx)
	c.gateway.SetComponents(s.gatewayComponents())
	err = <-leaseLost
	c.gateway.SetComponents(nil)
	return err
}

// end ends the components and waits for their duties. What these have sent and what has no
// answer yet is left to end by itself: the next session does not wait for machines and peers
// that do not answer.
func (s *session) end(cancel context.CancelFunc) {
	cancel()
	s.duties.Wait()
	s.controller.unanswered.Go(s.agent.Wait)
	s.controller.unanswered.Go(s.scheduler.Wait)
}

// open reads the cluster's keys and registers this session in the state service.
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
	s.mirror.Parse, s.mirror.Track = parseValue, clusteragent.IsCancellation
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

// onWatchEvents hands each change to the component that it concerns; nil means that changes
// were missed and the keys were read again.
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

// onApply shows each change to the components that have to know it before anybody can read it
// from the mirror.
func (s *session) onApply(events []statekv.Event) {
	s.dependencies.OnEvents(events)
	if s.agent != nil { // what is read before the agent exists it finds in the mirror
		s.agent.OnWatchEvents(events)
	}
}

// seedCatalogue takes the machine types that a leader has stored, if the cloud has not named
// any to this process yet: submissions can be decided before the cloud answers.
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

// connect makes the network of this session. The returned handshake is still to be registered.
func (s *session) connect() *peer.Service {
	c := s.controller
	s.server = rpc.NewServer()
	handshake := peer.NewService(c.settings.Host, rollout.BuildVersion, map[string]any{
		"Agent":   (*clusteragent.Service)(nil),
		"Placer":  (*scheduler.Service)(nil),
		"Steward": (*leader.Service)(nil),
	})
	s.network = c.connect(s.server, handshake)
	return handshake
}

// buildRoles makes the components that own machines, job shards and the leader's role.
func (s *session) buildRoles() {
	c, types := s.controller, s.controller.catalogue.Types
	s.agent = clusteragent.New(c.settings, c.store, s.mirror, s.state, c.workers, types)
	s.scheduler = scheduler.New(c.settings, c.policy, c.store, s.mirror, s.state, s.network, types, s.dependencies)
	s.scheduler.RecoveryTimeline = s.timeline
	s.leader = leader.New(c.settings, c.policy, s.mirror, s.state, s.network, c.cloud, c.catalogue)
}

// registerServices makes the components reachable for other controllers. The names are the
// wire format of the calls between controllers.
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

// buildMaintenance makes the components that follow the roles: the change feed of machines, the
// version gate, the migrator and the garbage collector.
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
		TxnOps:      limits.MaxTxnOps,
		Interval:    garbageCollectionInterval,
	}
}

// highestEpoch is the highest epoch of the roles that read the change feed.
func (s *session) highestEpoch() uint64 { return max(s.scheduler.HighestEpoch(), s.leader.Epoch()) }

// onMachineEntries hands changes of machines to the roles that read the change feed.
func (s *session) onMachineEntries(entries []agentapi.MachineEntry) {
	s.scheduler.OnEntries(entries)
	s.leader.OnEntries(entries)
}

// startKeepingUp starts what keeps the view of the state service, the session lease and the
// shares of the state service's limits current. The channel gets the reason why the lease ended.
func (s *session) startKeepingUp(ctx context.Context, servePeers func(context.Context)) <-chan error {
	c := s.controller
	s.duties.Go(func() { s.mirror.Run(ctx) })
	s.duties.Go(func() { c.divideRequestLimit(ctx, s.state) })
	s.duties.Go(func() { c.shareWriteBudget(ctx, s.state, s.network, s.scheduler.LeaderHost) })
	s.duties.Go(func() { servePeers(ctx) })
	leaseLost := make(chan error, 1)
	s.duties.Go(func() { leaseLost <- s.state.KeepAlive(ctx) })
	return leaseLost
}

// startRoles starts the components that act on the cluster.
func (s *session) startRoles(ctx context.Context) {
	s.duties.Go(func() { s.agent.Run(ctx) })
	s.duties.Go(func() { s.feed.Run(ctx) })
	s.duties.Go(func() { s.scheduler.Run(ctx, s.feed) })
	s.duties.Go(func() { s.leader.Run(ctx, s.feed) })
	s.duties.Go(func() { s.versionGate.Run(ctx) })
	s.duties.Go(func() { s.migrator.Run(ctx) })
	s.duties.Go(func() { s.collector.Run(ctx) })
	s.duties.Go(func() { s.dependencies.Run(ctx, s.controller.gateway.ReadTombstone) })
}

// gatewayComponents is what the gateway serves requests with during this session.
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

// parseValue decodes what the mirror keeps and watches, once for all who read it.
func parseValue(key string, value json.RawMessage) any {
	if change := tombstone.ParseChange(key, value); change != nil {
		return change
	}
	return shard.ParseValue(key, value)
}

// estimatedDuration is about how long a job takes once it is ready.
func (c *Controller) estimatedDuration(spec *job.Spec) time.Duration {
	return config.Seconds(spec.EstimateS) + spec.FetchTime(c.catalogue.Types()) + dependencyStageOverhead
}
