package scheduler_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/clusteragent"
	"robinstack/internal/config"
	"robinstack/internal/dag"
	"robinstack/internal/job"
	"robinstack/internal/peer"
	"robinstack/internal/policy"
	"robinstack/internal/quota"
	"robinstack/internal/scheduler"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// hosts are the hosts of the controllers that a test may start.
var hosts = []string{"host-0", "host-1"}

// testCluster is a cluster of up to two controllers without a network: calls go directly to the
// net/rpc services. Time is the virtual time of a synctest bubble.
type testCluster struct {
	t           *testing.T
	ctx         context.Context
	state       *emulator.StateService
	workers     *emulator.Workers
	mu          sync.Mutex
	controllers map[string]*testController
	machines    []*emulator.Worker
	endpoints   map[*emulator.Worker]string // host to which each worker sends its heartbeats

	objectives  []config.Objective
	grantsLeft  int    // remaining quota grants of the team "full", in tasks
	stateLimits [2]int // maximum bytes of a value and operations of a transaction; zero: the defaults
	dropsStops  bool   // requests to stop or forget tasks are dropped

	txnAnswerDelay time.Duration // time from a transaction until a scheduler gets its answer

	watchDelay time.Duration // time from a change of the state service until a controller gets it
	entryDelay time.Duration // time from the receipt of machine entries until the scheduler gets them
	delayedBy  string        // host whose entries are delayed; "": all

	commitAnswerDelay time.Duration // time from the answer to a commit until the scheduler gets it

	commitLoss  commitLoss // what is lost of the next commits
	lossesLeft  int        // number of commits that are still to be lost
	released    int        // number of released quota grants
	resolutions int        // number of requests to resolve commits
}

// commitLoss says which message of a commit is lost.
type commitLoss int

const (
	nothingLost commitLoss = iota
	requestLost
	answerLost
)

// testController is one session of a controller with its components.
type testController struct {
	host      string
	agent     *clusteragent.Agent
	service   *clusteragent.Service
	scheduler *scheduler.Scheduler
	session   *statekv.Session
	mirror    *statekv.Mirror
	stop      context.CancelFunc
	up        bool
}

// runScenario runs a test on a cluster of two machines in two zones.
func runScenario(t *testing.T, test func(cluster *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cluster := &testCluster{
			t:           t,
			ctx:         ctx,
			state:       emulator.NewStateService(),
			workers:     emulator.NewWorkers(),
			controllers: map[string]*testController{},
			endpoints:   map[*emulator.Worker]string{},
		}
		defer func() { cancel(); time.Sleep(10 * time.Second); synctest.Wait() }()
		cluster.machines = []*emulator.Worker{
			cluster.workers.Add("m1", "box", "a"),
			cluster.workers.Add("m2", "box", "b"),
		}
		test(cluster)
	})
}

// settings returns the settings of one controller of the cluster.
func (cluster *testCluster) settings(host string) *config.Settings {
	settings := &config.Settings{
		Host:       host,
		Peers:      []config.Peer{{Host: otherHost(host)}},
		Teams:      map[string]config.Team{"t": {Name: "t"}, "full": {Name: "full", CPUQuota: 100}},
		Zones:      []string{"a", "b"},
		Objectives: cluster.objectives,
		Workers: config.WorkerTiming{
			HeartbeatInterval:    3 * time.Second,
			LeaseDuration:        30 * time.Second,
			GangWaitTimeout:      45 * time.Second,
			CancellationDeadline: 60 * time.Second,
		},
		StateLimits: config.StateLimits{
			RequestsPerSecond: 100,
			WritesPerSecond:   50,
			MaxValueBytes:     8192,
			MaxTxnOps:         24,
		},
	}
	if cluster.stateLimits[0] > 0 {
		settings.StateLimits.MaxValueBytes = cluster.stateLimits[0]
		settings.StateLimits.MaxTxnOps = cluster.stateLimits[1]
	}
	return settings
}

// machineTypes returns the machine types that the cloud offers, by name.
func machineTypes() map[string]cloud.MachineType {
	return map[string]cloud.MachineType{
		"box": {Name: "box", CPUs: 8, GPUs: 2, MemoryGB: 64, FetchGBPerS: 0.1},
	}
}

// start opens a session of a controller and runs its components.
func (cluster *testCluster) start(host string) *testController {
	cluster.t.Helper()
	settings := cluster.settings(host)
	ctx, stop := context.WithCancel(cluster.ctx)
	controller := &testController{host: host, stop: stop, up: true}
	mirror := statekv.NewMirror(delayedAnswers{cluster.state, cluster},
		[]string{statekv.ClusterPrefix, job.RecordPrefix, job.SpecFragmentPrefix}, statekv.RootPrefix,
		time.Second, 0,
		func(events []statekv.Event) {
			for _, e := range events {
				controller.scheduler.OnJobEvent(e)
			}
		})
	controller.mirror = mirror
	dependencies := dag.NewTracker(mirror,
		func(*job.Spec) time.Duration { return 10 * time.Second },
		func(string) (tombstone.Tombstone, bool) { return tombstone.Tombstone{}, false })
	mirror.OnApply = dependencies.OnEvents
	if err := mirror.Load(ctx); err != nil {
		cluster.t.Fatal(err)
	}
	session, err := statekv.OpenSession(ctx, delayedAnswers{cluster.state, cluster}, mirror, host, 4*time.Second, statekv.Registration{})
	if err != nil {
		cluster.t.Fatal(err)
	}
	controller.session = session
	controller.agent = clusteragent.New(settings, cluster.state, mirror, session, cluster.workers, machineTypes)
	controller.service = clusteragent.NewService(controller.agent)
	controller.scheduler = scheduler.New(
		settings, policy.Default(), delayedAnswers{cluster.state, cluster}, mirror, session, cluster, machineTypes, dependencies)
	feed := changefeed.New(
		cluster, mirror, hosts, controller.scheduler.HighestEpoch,
		func(entries []agentapi.MachineEntry) {
			if len(entries) > 0 && (cluster.delayedBy == "" || cluster.delayedBy == entries[0].Host) {
				time.Sleep(cluster.entryDelay)
			}
			controller.scheduler.OnEntries(entries)
		})
	cluster.mu.Lock()
	cluster.controllers[host] = controller
	cluster.mu.Unlock()
	go mirror.Run(ctx)
	go func() { _ = session.KeepAlive(ctx) }() // it ends when ctx does
	go controller.agent.Run(ctx)
	go feed.Run(ctx)
	go controller.scheduler.Run(ctx, feed)
	go dependencies.Run(ctx, func(ctx context.Context, id string) (tombstone.Tombstone, error) {
		return tombstone.Read(ctx, cluster.state, []statekv.Compare{session.Fence()}, id)
	})
	return controller
}

// delayedAnswers delays the answers of transactions, which the state service applies at once, and of watches.
type delayedAnswers struct {
	statekv.Store
	cluster *testCluster
}

func (s delayedAnswers) Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	rev, err := s.Store.Txn(ctx, when, then)
	time.Sleep(s.cluster.txnAnswerDelay)
	return rev, err
}

func (s delayedAnswers) Watch(
	ctx context.Context, prefix string, since uint64, block time.Duration,
) (statekv.WatchResponse, error) {
	response, err := s.Store.Watch(ctx, prefix, since, block)
	time.Sleep(s.cluster.watchDelay)
	return response, err
}

// crash stops a controller and immediately revokes the state lease with the given ID.
func (cluster *testCluster) crash(controller *testController, lease uint64) {
	cluster.mu.Lock()
	controller.up = false
	cluster.mu.Unlock()
	controller.stop()
	synctest.Wait()
	if err := cluster.state.Revoke(cluster.ctx, lease); err != nil {
		cluster.t.Fatal(err)
	}
}

// controller returns the running controller of a host, or nil.
func (cluster *testCluster) controller(host string) *testController {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if controller := cluster.controllers[host]; controller != nil && controller.up {
		return controller
	}
	return nil
}

// otherHost returns the host of the other controller.
func otherHost(host string) string {
	if host == "host-0" {
		return "host-1"
	}
	return "host-0"
}

// advance lets time pass. Once a second every worker sends a heartbeat.
func (cluster *testCluster) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for _, machine := range cluster.machines {
			// A worker keeps its controller while that controller owns the machine, and otherwise
			// tries the other one.
			host := cluster.endpoints[machine]
			for range 3 {
				controller := cluster.controller(host)
				if controller == nil {
					host = otherHost(host)
					continue
				}
				heartbeat := cluster.workers.NextHeartbeat(machine)
				reply := controller.agent.Heartbeat(cluster.ctx, &heartbeat)
				if reply.Accepted {
					cluster.workers.DeliverHeartbeatResponse(machine, reply.Answer)
					break
				}
				host = otherHost(host)
			}
			cluster.endpoints[machine] = host
		}
	}
}

// Call implements peer.Caller for all controllers.
func (cluster *testCluster) Call(ctx context.Context, host, method string, args, reply any) error {
	done := make(chan error, 1)
	go func() { done <- cluster.dispatch(host, method, args, reply) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dispatch calls a net/rpc method of the controller on the host.
func (cluster *testCluster) dispatch(host, method string, args, reply any) error {
	controller := cluster.controller(host)
	if controller == nil {
		return errors.New("connection refused")
	}
	switch method {
	case "Agent.Sample":
		return controller.service.Sample(args.(agentapi.Request), reply.(*agentapi.SampleReply))
	case "Agent.Clearable":
		return controller.service.Clearable(args.(agentapi.Request), reply.(*agentapi.SampleReply))
	case "Agent.Clear":
		return controller.service.Clear(args.(agentapi.CommitRequest), reply.(*agentapi.CommitReply))
	case "Steward.Permit":
		cluster.grantQuota(controller, args.(quota.Request), reply.(*quota.Reply))
		return nil
	case "Agent.Gatherable":
		return controller.service.Gatherable(args.(agentapi.Request), reply.(*agentapi.SampleReply))
	case "Agent.Gather":
		return controller.service.Gather(args.(agentapi.CommitRequest), reply.(*agentapi.CommitReply))
	case "Agent.Commit":
		return cluster.commit(controller, args.(agentapi.CommitRequest), reply.(*agentapi.CommitReply))
	case "Agent.Stop":
		if cluster.dropsStops {
			return nil // as if the owner had received it just before its crash
		}
		return controller.service.Stop(args.(agentapi.StopRequest), &struct{}{})
	case "Agent.Judge":
		return controller.service.Judge(args.([]agentapi.Attribution), &struct{}{})
	case "Agent.Void":
		cluster.mu.Lock()
		cluster.resolutions++
		cluster.mu.Unlock()
		return controller.service.Void(args.(agentapi.ResolveRequest), reply.(*agentapi.ResolveReply))
	case "Agent.Watch":
		return controller.service.Watch(args.(agentapi.WatchRequest), reply.(*agentapi.WatchReply))
	}
	return fmt.Errorf("no method %s", method)
}

// commit forwards a commit, unless its request or its response is to be lost.
func (cluster *testCluster) commit(
	controller *testController, request agentapi.CommitRequest, reply *agentapi.CommitReply,
) error {
	cluster.mu.Lock()
	loss := nothingLost
	if cluster.lossesLeft > 0 {
		cluster.lossesLeft--
		loss = cluster.commitLoss
	}
	cluster.mu.Unlock()
	switch loss {
	case requestLost:
		return peer.ErrNoAnswer
	case answerLost:
		if err := controller.service.Commit(request, &agentapi.CommitReply{}); err != nil {
			return err
		}
		return peer.ErrNoAnswer
	}
	err := controller.service.Commit(request, reply)
	time.Sleep(cluster.commitAnswerDelay)
	return err
}

// grantQuota answers as a leader that knows one quota: the team "full" has grantsLeft tasks left.
func (cluster *testCluster) grantQuota(controller *testController, message quota.Request, reply *quota.Reply) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.released += len(message.Release)
	for _, request := range message.Wants {
		granted := request.Team != "full" || cluster.grantsLeft > 0
		if granted && request.Team == "full" && !message.Probe {
			cluster.grantsLeft--
		}
		reply.Granted = append(reply.Granted, granted)
	}
	kv, _ := controller.mirror.Get(statekv.LeaderKey)
	reply.Epoch = kv.Rev
}
