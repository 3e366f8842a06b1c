package clusteragent_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/clusteragent"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

var types = map[string]cloud.MachineType{"box": {Name: "box", CPUs: 8, GPUs: 2, MemoryGB: 64}}

// cancelDeadline is the cancellation time; a story may shorten it.
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
	member  *statekv.Session
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
	return &node{agent: a, service: clusteragent.NewService(a), member: member, mirror: mirror, stop: stop}
}

// sendHeartbeat has a worker report to n and take the answer.
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

func (n *node) commit(t *testing.T, machine string, slot string, epoch uint64, index int, attempt uint64) string {
	t.Helper()
	req := agentapi.CommitRequest{Machine: machine, Rev: n.entries()[machine].Rev, Refs: []agentapi.TaskRef{{Job: "wk-1", Index: index, Attempt: attempt}}}
	req.Spec = job.Spec{ID: "wk-1", Shape: job.Array, Rank: "normal", Tasks: 9, Need: job.Need{CPUs: 1, GPUs: 1, MemoryGB: 1}}
	req.Slot, req.Epoch = slot, epoch
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
	rev, err := n.member.Acquire(context.Background(), statekv.Role{Key: statekv.JobShardPrefix + name, ExpectedRev: seen, Value: n.member.Holder})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.mirror.Wait(context.Background(), rev); err != nil {
		t.Fatal(err)
	}
	return rev
}

// A start whose command got no answer is neither repeated nor given up until
// the worker shows a token under which a late copy of it is dead. Guards
// against ran_twice.
func TestUnansweredStartIsFenced(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		workers.WithLock(func() { w.HoldCommands = true })
		if got := n.commit(t, "m1", "s", epoch, 0, 1); got != agentapi.Unresolved {
			t.Fatalf("verdict %q while the command is unanswered", got)
		}
		if len(n.entries()["m1"].Tasks) != 1 {
			t.Fatal("the task must keep its place while it may still start")
		}
		workers.WithLock(func() { w.HoldCommands = false })
		n.sendHeartbeat(workers, w)
		time.Sleep(3 * time.Second)
		n.sendHeartbeat(workers, w)
		if got := n.entries()["m1"].Tasks; len(got) != 0 {
			t.Fatalf("task %v is still booked after the worker showed the raised token without it", got)
		}
		workers.DeliverHeldCommands(w)
		if len(w.Started) != 0 {
			t.Fatalf("late command started %v", w.Started)
		}
	})
}

// A commit under an epoch older than the slot's latest is refused.
func TestCommitUnderStaleEpochIsRefused(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		old := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		latest := takeJobShard(t, n, "s", old)
		if got := n.commit(t, "m1", "s", old, 0, 1); got != agentapi.Refused {
			t.Fatalf("stale commit: %q", got)
		}
		if got := n.commit(t, "m1", "s", latest, 0, 2); got != agentapi.Started {
			t.Fatalf("latest commit: %q", got)
		}
	})
}

// When an owner's life ends, a survivor takes its machines, and the earlier
// owner's commands no longer pass at the worker.
func TestSuccessorTakesOverAndFencesFormerOwner(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		a, b := startNode(t, ctx, "host-0", state, workers), startNode(t, ctx, "host-1", state, workers)
		epoch := takeJobShard(t, a, "s", 0)
		w := workers.Add("m1", "box", "a")
		a.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		if _, err := state.Txn(ctx, nil, []statekv.Op{{Set: job.RecordKey("wk-1"), Value: job.Record{Spec: job.Spec{ID: "wk-1", Tasks: 9}, JobShard: "s"}}}); err != nil {
			t.Fatal(err)
		}
		if got := a.commit(t, "m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("verdict %q", got)
		}
		var oldToken uint64
		workers.WithLock(func() { oldToken = w.Heartbeat.FencingToken })
		a.stop()
		synctest.Wait()
		if err := state.Revoke(ctx, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		e, ok := b.entries()["m1"]
		if !ok || !e.Settled || len(e.Tasks) != 1 {
			t.Fatalf("survivor's entry: %+v (%v)", e, ok)
		}
		if _, done, _ := workers.Send(ctx, "m1", oldToken, 1, nil); done {
			t.Fatal("the dead owner's token still passes")
		}
	})
}

// The first command of a new owner is lost on the way. It was sent again only when the
// machine counted as silent already, and was deleted with all that ran there.
func TestLostCommandDoesNotMakeMachineUnresponsive(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		a, b := startNode(t, ctx, "host-0", state, workers), startNode(t, ctx, "host-1", state, workers)
		w := workers.Add("m1", "box", "a")
		a.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		workers.WithLock(func() { w.TimeOutNext = 1 })
		a.stop()
		synctest.Wait()
		if err := state.Revoke(ctx, 1); err != nil {
			t.Fatal(err)
		}
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if b.entries()["m1"].Silent {
				t.Fatal("the machine counts as silent")
			}
		}
		if !b.entries()["m1"].Settled {
			t.Fatal("the machine has not settled")
		}
	})
}

// Tasks found on a machine whose job is over, or was never known, are stopped
// and forgotten by the machine's new owner. Guards against ran_cancelled.
func TestTasksOfFinishedJobsAreStopped(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		w := workers.Add("m1", "box", "a")
		workers.WithLock(func() {
			w.Heartbeat.Tasks = []worker.Task{{ID: "wk-1/0", Attempt: 7, State: worker.TaskRunning}}
		})
		n.sendHeartbeat(workers, w)
		time.Sleep(3 * time.Second)
		n.sendHeartbeat(workers, w)
		if taskCount(workers, w) != 0 {
			t.Fatal("a task without a job goes on")
		}
	})
}

// Room that is reserved or may be taken by a start under way is not given twice.
func TestReservedCapacityIsNotGivenTwice(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		got := []string{n.commit(t, "m1", "s", epoch, 0, 1), n.commit(t, "m1", "s", epoch, 1, 2), n.commit(t, "m1", "s", epoch, 2, 3)}
		if got[0] != agentapi.Started || got[1] != agentapi.Started || got[2] != agentapi.Refused {
			t.Fatalf("verdicts %v on a machine with room for two", got)
		}
	})
}

// An ended task is forgotten only when that was asked for, which placers do
// once its end is durable.
func TestEndedTaskIsForgottenOnlyOnRequest(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		n.commit(t, "m1", "s", epoch, 0, 1)
		workers.EndTask(w, "wk-1/0", worker.CauseDone)
		n.sendHeartbeat(workers, w)
		time.Sleep(2 * time.Second)
		if taskCount(workers, w) != 1 {
			t.Fatal("forgotten before anyone asked")
		}
		if err := n.service.Stop(agentapi.StopRequest{Items: []agentapi.StopItem{{Machine: "m1", TaskRef: agentapi.TaskRef{Job: "wk-1", Attempt: 1}, Forget: true}}}, &struct{}{}); err != nil {
			t.Fatal(err)
		}
		n.sendHeartbeat(workers, w) // the answer takes it along: forgetting has time
		if taskCount(workers, w) != 0 {
			t.Fatal("not forgotten")
		}
	})
}

// An agent without machines must not answer a watch at once again and again:
// its own feed then asked in a loop that used up the processor.
func TestWatchWithoutMachinesBlocks(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		began := time.Now()
		var reply agentapi.WatchReply
		if err := n.service.Watch(agentapi.WatchRequest{Instance: n.member.Incarnation, Wait: 2 * time.Second}, &reply); err != nil {
			t.Fatal(err)
		}
		if time.Since(began) < 2*time.Second {
			t.Fatal("answered at once with nothing to say")
		}
	})
}

// Claims that meet a conflict, because another controller was faster for some
// of the machines, ended the process: the rest must be claimed.
func TestRemainingClaimsSurviveAConflict(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		w1, w2 := workers.Add("m1", "box", "a"), workers.Add("m2", "box", "a")
		state.SetOutage(false, true) // claims are written, but their answers are lost
		go n.sendHeartbeat(workers, w1)
		go n.sendHeartbeat(workers, w2)
		synctest.Wait()
		state.SetOutage(false, false)
		time.Sleep(3 * time.Second)
		n.sendHeartbeat(workers, w1)
		n.sendHeartbeat(workers, w2)
		if len(n.entries()) != 2 {
			t.Fatalf("machines %v", n.entries())
		}
	})
}

// A machine that was deleted and whose late report another controller met is
// given up once more: that must not end the process.
func TestDeletedMachineClaimedElsewhereIsReleased(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n, other := startNode(t, ctx, "host-0", state, workers), startNode(t, ctx, "host-1", state, workers)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		var reply agentapi.MachinesReply
		if err := n.service.Removed(agentapi.MachinesRequest{Names: []string{"m1"}}, &reply); err != nil || len(reply.Names) != 1 {
			t.Fatal(err, reply)
		}
		time.Sleep(time.Second)
		other.sendHeartbeat(workers, w)
		time.Sleep(2 * time.Second)
		if len(n.entries()) != 0 || len(other.entries()) != 1 {
			t.Fatal("the late report belongs to the other controller now")
		}
	})
}

// A worker that nobody can have answered for longer than its lease has ended
// its tasks; before that they keep their places.
func TestUnresponsiveMachineKeepsTasksUntilLeaseExpiry(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		n.commit(t, "m1", "s", epoch, 0, 1)
		n.sendHeartbeat(workers, w)
		workers.WithLock(func() { w.HoldCommands = true })
		time.Sleep(28 * time.Second)
		if e := n.entries()["m1"]; !e.Silent || len(e.Tasks) != 1 {
			t.Fatalf("within the lease: %+v", e)
		}
		time.Sleep(6 * time.Second)
		if e := n.entries()["m1"]; len(e.Tasks) != 0 {
			t.Fatalf("after the lease: %+v", e)
		}
	})
}

// A worker whose lease ran out begins a session with a lease of its own, whether
// anybody answers it or not. Controllers that answered commands but, for want of
// processor time, no reports, counted from the last report of the session before:
// they gave tasks up that went on running. Guards against ran_twice.
func TestNewWorkerEpochHasItsOwnLease(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		for range 2 {
			n.sendHeartbeat(workers, w)
			time.Sleep(time.Second)
		}
		workers.WithLock(func() { w.HoldCommands = true })
		n.commit(t, "m1", "s", epoch, 0, 1)
		time.Sleep(14 * time.Second) // after 20 s without a report it would get nothing new
		workers.WithLock(func() { w.HoldCommands, w.Heartbeat.WorkerEpoch, w.Heartbeat.Tasks = false, 2, nil })
		time.Sleep(3 * time.Second)
		if got := n.commit(t, "m1", "s", epoch, 1, 2); got != agentapi.Started {
			t.Fatalf("verdict %q", got)
		}
		time.Sleep(20 * time.Second) // beyond the lease of the first session, not of the second
		if e := n.entries()["m1"]; len(e.Tasks) != 1 {
			t.Fatalf("the task was given up within its session's lease: %+v", e)
		}
		time.Sleep(20 * time.Second)
		if e := n.entries()["m1"]; len(e.Tasks) != 0 {
			t.Fatalf("after the lease: %+v", e)
		}
	})
}

// Commands reach a machine, and its reports come no more: before its lease can be over it
// gets nothing new, however well it answers. Its next report opens it again.
func TestMachineWithLostHeartbeatsGetsNoNewTasks(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		for k := range 4 { // it is asked all the time, and answers
			if got := n.commit(t, "m1", "s", epoch, k, uint64(k+1)); got != agentapi.Started {
				t.Fatalf("verdict %q", got)
			}
			workers.WithLock(func() { w.Heartbeat.Tasks = nil })
			time.Sleep(6 * time.Second)
		}
		if e := n.entries()["m1"]; !e.Silent {
			t.Errorf("after 25 s without a report: %+v", e)
		}
		if got := n.commit(t, "m1", "s", epoch, 5, 6); got != agentapi.Refused {
			t.Errorf("verdict %q", got)
		}
		n.sendHeartbeat(workers, w)
		if got := n.commit(t, "m1", "s", epoch, 6, 7); got != agentapi.Started {
			t.Errorf("once it has reported: verdict %q", got)
		}
	})
}

// Tasks of arrays are stopped for a gang of higher priority, never for one of
// the same, and the machine is kept for that gang.
func TestPreemptionStopsOnlyLowerPriority(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		n.commit(t, "m1", "s", epoch, 0, 1)
		gang := agentapi.CommitRequest{Machine: "m1", Rev: n.entries()["m1"].Rev}
		gang.Slot, gang.Epoch = "s", epoch
		gang.Spec = job.Spec{ID: "wk-2", Shape: job.Gang, Rank: "normal", Tasks: 1, Need: job.Need{CPUs: 8, GPUs: 2, MemoryGB: 9}}
		var reply agentapi.CommitReply
		if err := n.service.Clear(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Refused {
			t.Fatalf("equal priority: %+v %v", reply, err)
		}
		gang.Spec.Rank = "high"
		if err := n.service.Clear(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Held {
			t.Fatalf("higher priority: %+v %v", reply, err)
		}
		time.Sleep(time.Second)
		n.sendHeartbeat(workers, w)
		if got := n.commit(t, "m1", "s", epoch, 1, 2); got != agentapi.Refused {
			t.Fatalf("another job got the cleared machine: %q", got)
		}
		gang.Refs = []agentapi.TaskRef{{Job: "wk-2", Attempt: 9}}
		if err := n.service.Stop(agentapi.StopRequest{Items: []agentapi.StopItem{{Machine: "m1", TaskRef: agentapi.TaskRef{Job: "wk-1", Attempt: 1}, Forget: true}}}, &struct{}{}); err != nil {
			t.Fatal(err)
		}
		if err := n.service.Commit(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Started {
			t.Fatalf("the gang: %+v %v", reply, err)
		}
	})
}

// Small tasks that are not in the gang's way go on: they were stopped first, being
// the cheapest to stop, and those that do not save began anew again and again.
func TestPreemptionSparesTasksThatNeedNotStop(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		for k, need := range []job.Need{{CPUs: 6, GPUs: 1}, {CPUs: 0.5}} {
			req := agentapi.CommitRequest{Machine: "m1", Rev: n.entries()["m1"].Rev, Refs: []agentapi.TaskRef{{Job: "wk-1", Index: k, Attempt: uint64(k + 1)}}}
			req.Spec = job.Spec{ID: "wk-1", Shape: job.Array, Rank: "normal", Tasks: 2, Need: need}
			req.Slot, req.Epoch = "s", epoch
			var reply agentapi.CommitReply
			if err := n.service.Commit(req, &reply); err != nil || reply.Verdicts[0] != agentapi.Started {
				t.Fatalf("%+v %v", reply, err)
			}
			time.Sleep(5 * time.Second)
			n.sendHeartbeat(workers, w)
		}
		gang := agentapi.CommitRequest{Machine: "m1", Rev: n.entries()["m1"].Rev}
		gang.Slot, gang.Epoch = "s", epoch
		gang.Spec = job.Spec{ID: "wk-2", Shape: job.Gang, Rank: "high", Tasks: 1, Need: job.Need{CPUs: 7, GPUs: 2}}
		var reply agentapi.CommitReply
		if err := n.service.Clear(gang, &reply); err != nil || reply.Verdicts[0] != agentapi.Held {
			t.Fatalf("%+v %v", reply, err)
		}
		time.Sleep(time.Second)
		n.sendHeartbeat(workers, w)
		for _, task := range n.entries()["m1"].Tasks {
			if (task.State == worker.TaskExited) != (task.Index == 0) {
				t.Fatalf("task %d: %s", task.Index, task.State)
			}
		}
	})
}

// A claim that was written although its answer was lost is taken up even if the
// worker never reports again: until somebody looks after the machine, no slot
// that is adopted can settle.
func TestClaimWithLostAnswerIsAdopted(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		w := workers.Add("m1", "box", "a")
		state.SetOutage(false, true)
		go n.sendHeartbeat(workers, w)
		synctest.Wait()
		state.SetOutage(false, false)
		time.Sleep(5 * time.Second)
		if e, ok := n.entries()["m1"]; !ok || !e.Settled {
			t.Fatalf("nobody looks after the machine: %+v", e)
		}
	})
}

// Where the cancellation time is hardly longer than the worker's lease, an owner
// whose lease is held must still answer every report: it took its own view of
// the fleet for outdated between two watches, and machines went from owner to
// owner for ever.
func TestOwnerAnswersWithShortLeaseGracePeriod(t *testing.T) {
	cancelDeadline = 33 * time.Second
	defer func() { cancelDeadline = 60 * time.Second }()
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		for i := range 40 {
			time.Sleep(300 * time.Millisecond)
			if !n.sendHeartbeat(workers, w).Owner {
				t.Fatalf("report %d was turned away", i)
			}
		}
	})
}

// A crash with a thousand machines held must not take a write for each: by the
// time those were made, workers' leases had run out and slots had waited for
// minutes. Their work goes on, and every machine is settled within seconds.
func TestFailoverOfThousandMachinesTakesFewWrites(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		a := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, a, "s", 0)
		before := state.Changes()
		var all []*emulator.Worker
		for i := range 1000 {
			all = append(all, workers.Add(fmt.Sprintf("m%d", i), "box", "a"))
			go a.sendHeartbeat(workers, all[i])
		}
		for range 3 { // more come at once than are let wait; those come again
			time.Sleep(5 * time.Second)
			owned := a.entries()
			for _, w := range all {
				if _, ok := owned[w.Heartbeat.Machine]; !ok {
					go a.sendHeartbeat(workers, w)
				}
			}
		}
		time.Sleep(5 * time.Second)
		if n := len(a.entries()); n != 1000 || state.Changes()-before != 1000 {
			t.Fatalf("%d machines after %d changes", n, state.Changes()-before)
		}
		if _, err := state.Txn(ctx, nil, []statekv.Op{{Set: job.RecordKey("wk-1"), Value: job.Record{Spec: job.Spec{ID: "wk-1", Tasks: 9}, JobShard: "s"}}}); err != nil {
			t.Fatal(err)
		}
		for _, w := range all {
			a.sendHeartbeat(workers, w)
		}
		if got := a.commit(t, "m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("verdict %q", got)
		}
		b := startNode(t, ctx, "host-1", state, workers)
		before = state.Changes()
		a.stop()
		synctest.Wait()
		if err := state.Revoke(ctx, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		settled := 0
		for _, e := range b.entries() {
			if e.Settled {
				settled++
			}
		}
		// The answers of a watch are bounded, and together complete.
		seen, since := map[string]bool{}, uint64(0)
		for more := true; more; {
			var reply agentapi.WatchReply
			if err := b.service.Watch(agentapi.WatchRequest{Instance: b.member.Incarnation, Since: since, Wait: time.Second}, &reply); err != nil {
				t.Fatal(err)
			}
			if since, more = reply.Ver, reply.More; len(reply.Entries) > 300 {
				t.Fatalf("%d entries in one answer", len(reply.Entries))
			}
			for _, e := range reply.Entries {
				seen[e.Machine] = true
			}
		}
		if len(seen) != 1000 {
			t.Fatalf("a watch showed %d machines", len(seen))
		}
		if n := state.Changes() - before; settled != 1000 || n > 20 || taskCount(workers, all[1]) != 1 {
			t.Fatalf("%d machines settled after %d changes; %d tasks on m1", settled, n, taskCount(workers, all[1]))
		}
	})
}

// A later life of the same controller does not know what its earlier life
// started: asked to void a commit, it must not say that the task never came.
// That had the task started a second time elsewhere (ran_twice).
func TestOnlyTheAskedOwnerResolvesACommit(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		rev := n.entries()["m1"].Rev
		if got := n.commit(t, "m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("verdict %q", got)
		}
		void := func(n *node) (reply agentapi.ResolveReply, err error) {
			err = n.service.Void(agentapi.ResolveRequest{Machine: "m1", Rev: rev, Refs: []agentapi.TaskRef{{Job: "wk-1", Attempt: 1}}}, &reply)
			return reply, err
		}
		if reply, err := void(n); err != nil || !reply.Present[0] {
			t.Fatal("the task is there", reply, err)
		}
		n.stop()
		synctest.Wait()
		if err := state.Revoke(ctx, 1); err != nil {
			t.Fatal(err)
		}
		workers.WithLock(func() { w.HoldCommands = true })
		if reply, err := void(startNode(t, ctx, "host-0", state, workers)); err == nil {
			t.Fatalf("the next life answered %v", reply)
		}
	})
}

// A machine that another controller claimed and lost again between two looks
// came back under a later revision; the entry under the earlier one was taken
// for unsettled for ever, and no slot that was adopted settled any more.
func TestReturningMachineIsAdoptedUnderNewRevision(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		other := statekv.Holder{Host: "host-9", Incarnation: 1} // dead by the time it is seen
		if _, err := state.Txn(ctx, nil, []statekv.Op{
			{Set: statekv.MachineShardPrefix + "host-9.1.0", Value: shard.Record{Holder: other}},
			{Set: statekv.MachinePrefix + "m1", Value: shard.MachineRecord{Shard: "host-9.1.0", Address: "m1", Type: "box", Zone: "a"}},
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		kv, _ := n.mirror.Get(statekv.MachinePrefix + "m1")
		_, rev := shard.OwnerOf(n.mirror, kv)
		if e := n.entries()["m1"]; e.Rev != rev || !e.Settled {
			t.Fatalf("owned under revision %d: %+v", rev, e)
		}
	})
}

// A machine that a gang has just left is kept for the next gang for a moment:
// arrays filled it at once and were stopped for that gang, their work lost.
func TestMachineIsHeldForGangsAfterAGangLeaves(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		gang := func(attempt uint64) string {
			req := agentapi.CommitRequest{Machine: "m1", Rev: n.entries()["m1"].Rev, Refs: []agentapi.TaskRef{{Job: "wk-2", Attempt: attempt}}}
			req.Spec = job.Spec{ID: "wk-2", Shape: job.Gang, Rank: "high", Tasks: 1, Need: job.Need{CPUs: 1, GPUs: 2, MemoryGB: 1}}
			req.Slot, req.Epoch = "s", epoch
			var reply agentapi.CommitReply
			if err := n.service.Commit(req, &reply); err != nil {
				t.Fatal(err)
			}
			return reply.Verdicts[0]
		}
		for attempt := uint64(1); attempt <= 2; attempt++ {
			if got := gang(attempt); got != agentapi.Started {
				t.Fatalf("gang, attempt %d: %q", attempt, got)
			}
			workers.EndTask(w, "wk-2/0", worker.CauseDone)
			n.sendHeartbeat(workers, w)
			if got := n.commit(t, "m1", "s", epoch, 0, 10+attempt); got != agentapi.Refused {
				t.Fatalf("array at once: %q", got)
			}
		}
		time.Sleep(9 * time.Second)
		n.sendHeartbeat(workers, w)
		if got := n.commit(t, "m1", "s", epoch, 0, 20); got != agentapi.Started {
			t.Fatalf("array later: %q", got)
		}
	})
}

// A worker that has seen a later token has a successor that the mirror does not
// show yet. Its machine, once given up, was taken up again under the same
// revision, without its tasks, and they were started elsewhere (ran_twice).
func TestReleasedMachineIsNotAdoptedUnderTheSameRevision(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		epoch := takeJobShard(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		if got := n.commit(t, "m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("verdict %q", got)
		}
		before := n.entries()["m1"].Rev
		workers.WithLock(func() { w.Heartbeat.FencingToken += 1 << 10 })
		n.sendHeartbeat(workers, w)
		for range 5 {
			if e, ok := n.entries()["m1"]; ok && e.Rev == before {
				t.Fatalf("taken up again: %+v", e)
			}
			time.Sleep(300 * time.Millisecond)
		}
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		if e := n.entries()["m1"]; e.Rev <= before || !e.Settled || len(e.Tasks) != 1 {
			t.Fatalf("claimed anew with what runs there: %+v", e)
		}
	})
}
