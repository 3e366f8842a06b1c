package clusteragent_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/clusteragent"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

var types = map[string]cloud.MachineType{"box": {Name: "box", CPUs: 8, GPUs: 2, MemoryGB: 64}}

// cancelDeadline is the cancellation time; a scenario may shorten it.
var cancelDeadline = 60 * time.Second

func settings() *config.Settings {
	return &config.Settings{Host: "host-0", Teams: map[string]config.Team{},
		Workers:     config.WorkerTiming{HeartbeatInterval: 3 * time.Second, LeaseDuration: 30 * time.Second, GangWaitTimeout: 45 * time.Second, GangPeerTimeout: 5 * time.Second, CancellationDeadline: cancelDeadline},
		StateLimits: config.StateLimits{RequestsPerSecond: 100, WritesPerSecond: 50, MaxValueBytes: 8192, MaxTxnOps: 24}}
}

// node is one controller's agent with its view of the state service.
type node struct {
	agent   *clusteragent.Agent
	service *clusteragent.Service
	session *statekv.Session
	mirror  *statekv.Mirror
	stop    context.CancelFunc
}

func startNode(t *testing.T, ctx context.Context, host string, state *emulator.StateService, workers *emulator.Workers) *node {
	t.Helper()
	return startNodeWith(t, ctx, settings(), host, state, workers)
}

// startNodeInZone starts one of three controllers in two zones, host-1 in b.
func startNodeInZone(t *testing.T, ctx context.Context, host, zone string, state *emulator.StateService, workers *emulator.Workers, setup ...func(*clusteragent.Agent)) *node {
	t.Helper()
	s := settings()
	s.Host, s.Zone, s.Zones = host, zone, []string{"a", "b"}
	for _, p := range []config.Peer{{Host: "host-0", Zone: "a"}, {Host: "host-1", Zone: "b"}, {Host: "host-2", Zone: "a"}} {
		if p.Host != host {
			s.Peers = append(s.Peers, p)
		}
	}
	return startNodeWith(t, ctx, s, host, state, workers, setup...)
}

func startNodeWith(t testing.TB, ctx context.Context, settings *config.Settings, host string, state statekv.Store, workers *emulator.Workers, setup ...func(*clusteragent.Agent)) *node {
	t.Helper()
	ctx, stop := context.WithCancel(ctx)
	mirror := statekv.NewMirror(state, []string{statekv.ClusterPrefix, job.RecordPrefix}, statekv.RootPrefix, settings.WatchTimeout(), 0, func([]statekv.Event) {})
	if err := mirror.Load(ctx); err != nil {
		t.Fatal(err)
	}
	member, err := statekv.OpenSession(ctx, state, mirror, host, 4*time.Second, statekv.Registration{})
	if err != nil {
		t.Fatal(err)
	}
	a := clusteragent.New(settings, state, mirror, member, workers, func() map[string]cloud.MachineType { return types })
	for _, f := range setup {
		f(a)
	}
	go mirror.Run(ctx)
	go func() { _ = member.KeepAlive(ctx) }()
	go a.Run(ctx)
	if err := mirror.Wait(ctx, member.Incarnation); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // its shards are made
	return &node{agent: a, service: clusteragent.NewService(a), session: member, mirror: mirror, stop: stop}
}

// sendHeartbeat has a worker send a heartbeat to n and take the answer.
func (n *node) sendHeartbeat(workers *emulator.Workers, w *emulator.Worker) clusteragent.HeartbeatReply {
	r := workers.NextHeartbeat(w)
	reply := n.agent.Heartbeat(context.Background(), &r)
	if reply.Owner {
		workers.DeliverAnswer(w, reply.Answer)
	}
	return reply
}

func (n *node) entries() map[string]agentapi.MachineEntry {
	out := map[string]agentapi.MachineEntry{}
	_, list := n.agent.Snapshot()
	for _, e := range list {
		out[e.Machine] = e
	}
	return out
}

func (n *node) commit(t *testing.T, machine, jobShard string, epoch uint64, index int, attempt uint64) string {
	t.Helper()
	req := agentapi.CommitRequest{Machine: machine, Rev: n.entries()[machine].Rev, Refs: []agentapi.TaskRef{{Job: "wk-1", Index: index, Attempt: attempt}}}
	req.Spec = job.Spec{ID: "wk-1", Shape: job.Array, Rank: "normal", Tasks: 9, Need: job.Need{CPUs: 1, GPUs: 1, MemoryGB: 1}}
	req.Slot, req.Epoch = jobShard, epoch
	var reply agentapi.CommitReply
	if err := n.service.Commit(req, &reply); err != nil {
		t.Fatal(err)
	}
	return reply.Verdicts[0]
}

func taskCount(workers *emulator.Workers, w *emulator.Worker) (n int) {
	workers.WithLock(func() { n = len(w.Heartbeat.Tasks) })
	return n
}

func runScenario(t *testing.T, f func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); synctest.Wait() }()
		f(t, ctx, emulator.NewStateService(), emulator.NewWorkers())
	})
}

func takeJobShard(t testing.TB, n *node, name string, seen uint64) uint64 {
	t.Helper()
	rev, err := n.session.Acquire(context.Background(), statekv.Role{Key: statekv.JobShardPrefix + name, ExpectedRev: seen, Value: n.session.Holder})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.mirror.Wait(context.Background(), rev); err != nil {
		t.Fatal(err)
	}
	return rev
}
