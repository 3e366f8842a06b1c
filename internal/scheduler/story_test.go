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
	"robinstack/internal/policy"
	"robinstack/internal/quota"
	"robinstack/internal/scheduler"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// world is a service of two controllers without a network: calls go straight
// to the services.
type world struct {
	t       *testing.T
	ctx     context.Context
	state   *emulator.StateService
	workers *emulator.Workers
	mu      sync.Mutex
	nodes   map[string]*node
	boxes   []*emulator.Worker
	homes   map[*emulator.Worker]string // the node that each reports to

	objectives []config.Objective
	full       int    // tasks that the limit of team full leaves room for
	limits     [2]int // of values and of transactions, or those of before
	forgetful  bool   // words to stop or forget tasks get lost
}

type node struct {
	host   string
	agent  *clusteragent.Agent
	svc    *clusteragent.Service
	placer *scheduler.Scheduler
	member *statekv.Session
	mirror *statekv.Mirror
	stop   context.CancelFunc
	up     bool
}

// node returns a controller that is up, or nil.
func (w *world) node(host string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := w.nodes[host]; n != nil && n.up {
		return n
	}
	return nil
}

// Call is the agent.Caller of all nodes.
func (w *world) Call(ctx context.Context, host, method string, args, reply any) error {
	done := make(chan error, 1)
	go func() { done <- w.serve(host, method, args, reply) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *world) serve(host, method string, args, reply any) error {
	n := w.node(host)
	if n == nil {
		return errors.New("connection refused")
	}
	switch method {
	case "Agent.Sample":
		return n.svc.Sample(args.(agentapi.Request), reply.(*agentapi.SampleReply))
	case "Agent.Clearable":
		return n.svc.Clearable(args.(agentapi.Request), reply.(*agentapi.SampleReply))
	case "Agent.Clear":
		return n.svc.Clear(args.(agentapi.CommitRequest), reply.(*agentapi.CommitReply))
	case "Steward.Permit":
		// A steward with one limit: team full may have so many tasks on machines.
		r, out := args.(quota.Request), reply.(*quota.Reply)
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, want := range r.Wants {
			ok := want.Team != "full" || w.full > 0
			if ok && want.Team == "full" && !r.Probe {
				w.full--
			}
			out.Granted = append(out.Granted, ok)
		}
		kv, _ := n.mirror.Get(statekv.LeaderKey)
		out.Epoch = kv.Rev
		return nil
	case "Agent.Gatherable":
		return n.svc.Gatherable(args.(agentapi.Request), reply.(*agentapi.SampleReply))
	case "Agent.Gather":
		return n.svc.Gather(args.(agentapi.CommitRequest), reply.(*agentapi.CommitReply))
	case "Agent.Commit":
		return n.svc.Commit(args.(agentapi.CommitRequest), reply.(*agentapi.CommitReply))
	case "Agent.Stop":
		if w.forgetful {
			return nil // it went to an owner that was about to end
		}
		return n.svc.Stop(args.(agentapi.StopRequest), &struct{}{})
	case "Agent.Judge":
		return n.svc.Judge(args.([]agentapi.Attribution), &struct{}{})
	case "Agent.Void":
		return n.svc.Void(args.(agentapi.ResolveRequest), reply.(*agentapi.ResolveReply))
	case "Agent.Watch":
		return n.svc.Watch(args.(agentapi.WatchRequest), reply.(*agentapi.WatchReply))
	}
	return fmt.Errorf("no method %s", method)
}

func other(host string) string {
	if host == "host-0" {
		return "host-1"
	}
	return "host-0"
}

func (w *world) start(host string) *node {
	w.t.Helper()
	settings := &config.Settings{Host: host, Peers: []config.Peer{{Host: other(host)}}, Teams: map[string]config.Team{"t": {Name: "t"}, "full": {Name: "full", CPUQuota: 100}}, Zones: []string{"a", "b"}, Objectives: w.objectives,
		Workers:     config.WorkerTiming{HeartbeatInterval: 3 * time.Second, LeaseDuration: 30 * time.Second, GangWaitTimeout: 45 * time.Second, CancellationDeadline: 60 * time.Second},
		StateLimits: config.StateLimits{RequestsPerSecond: 100, WritesPerSecond: 50, MaxValueBytes: 8192, MaxTxnOps: 24}}
	if w.limits[0] > 0 {
		settings.StateLimits.MaxValueBytes, settings.StateLimits.MaxTxnOps = w.limits[0], w.limits[1]
	}
	ctx, stop := context.WithCancel(w.ctx)
	n := &node{host: host, stop: stop, up: true}
	mirror := statekv.NewMirror(w.state, []string{statekv.ClusterPrefix, job.RecordPrefix, job.SpecFragmentPrefix}, statekv.RootPrefix, time.Second, 0, func(events []statekv.Event) {
		for _, e := range events {
			n.placer.OnJobEvent(e)
		}
	})
	n.mirror = mirror
	pipes := dag.NewTracker(mirror, func(*job.Spec) time.Duration { return 10 * time.Second }, func(string) (tombstone.Tombstone, bool) { return tombstone.Tombstone{}, false })
	mirror.OnApply = pipes.OnEvents
	if err := mirror.Load(ctx); err != nil {
		w.t.Fatal(err)
	}
	var err error
	if n.member, err = statekv.OpenSession(ctx, w.state, mirror, host, 4*time.Second, statekv.Registration{}); err != nil {
		w.t.Fatal(err)
	}
	types := map[string]cloud.MachineType{"box": {Name: "box", CPUs: 8, GPUs: 2, MemoryGB: 64, FetchGBPerS: 0.1}}
	n.agent = clusteragent.New(settings, w.state, mirror, n.member, w.workers, func() map[string]cloud.MachineType { return types })
	n.svc = clusteragent.NewService(n.agent)
	n.placer = scheduler.New(settings, policy.Default(), w.state, mirror, n.member, w, func() map[string]cloud.MachineType { return types }, pipes)
	feed := changefeed.New(w, mirror, []string{"host-0", "host-1"}, n.placer.HighestEpoch, n.placer.OnEntries)
	w.mu.Lock()
	w.nodes[host] = n
	w.mu.Unlock()
	go mirror.Run(ctx)
	go func() { _ = n.member.KeepAlive(ctx) }()
	go n.agent.Run(ctx)
	go feed.Run(ctx)
	go n.placer.Run(ctx, feed)
	go pipes.Run(ctx, func(ctx context.Context, id string) (tombstone.Tombstone, error) {
		return tombstone.Read(ctx, w.state, []statekv.Compare{n.member.Fence()}, id)
	})
	return n
}

// crash ends a node's life; its state lease runs out at once.
func (w *world) crash(n *node, lease uint64) {
	w.mu.Lock()
	n.up = false
	w.mu.Unlock()
	n.stop()
	synctest.Wait()
	if err := w.state.Revoke(w.ctx, lease); err != nil {
		w.t.Fatal(err)
	}
}

// run lets time pass, with every worker reporting to whoever answers.
func (w *world) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for _, box := range w.boxes {
			// A worker stays with the node that answers and goes where it is sent.
			host := w.homes[box]
			for range 3 {
				n := w.node(host)
				if n == nil {
					host = other(host)
					continue
				}
				r := w.workers.NextHeartbeat(box)
				reply := n.agent.Heartbeat(w.ctx, &r)
				if reply.Owner {
					w.workers.DeliverAnswer(box, reply.Answer)
					break
				}
				host = other(host)
			}
			w.homes[box] = host
		}
	}
}

// queue lists the jobs of a node that wait, as its status does.
func (n *node) queue(w *world) map[string]scheduler.WaitingJob {
	w.t.Helper()
	var list []scheduler.WaitingJob
	if err := scheduler.NewService(n.placer).Queue(10_000, &list); err != nil {
		w.t.Fatal(err)
	}
	out := map[string]scheduler.WaitingJob{}
	for _, q := range list {
		out[q.Job] = q
	}
	return out
}

func (w *world) submit(n *node, spec job.Spec) {
	w.t.Helper()
	slot, _, ok := n.placer.OwnJobShard()
	if !ok {
		w.t.Fatal("no slot")
	}
	rec := &job.Record{Spec: spec, JobShard: slot, SubmittedMS: time.Now().UnixMilli()}
	rev, err := n.member.Write(w.ctx, []statekv.Compare{{Key: job.RecordKey(spec.ID)}}, []statekv.Op{{Set: job.RecordKey(spec.ID), Value: rec}})
	if err != nil {
		w.t.Fatal(err)
	}
	n.placer.OnJobAccepted(rec, rev)
}

func (w *world) final(id string) string {
	f, err := tombstone.Read(w.ctx, w.state, nil, id)
	if err != nil {
		return ""
	}
	return f.Status
}

// starts counts how often each task was started, and tasks counts those that
// are on machines.
func (w *world) starts() map[string]int {
	out := map[string]int{}
	w.workers.WithLock(func() {
		for _, b := range w.boxes {
			for _, s := range b.Started {
				out[s]++
			}
		}
	})
	return out
}

func (w *world) tasks() (n int) {
	w.workers.WithLock(func() {
		for _, b := range w.boxes {
			n += len(b.Heartbeat.Tasks)
		}
	})
	return n
}

func (w *world) endAll(cause string) {
	var ids []string
	w.workers.WithLock(func() {
		for _, b := range w.boxes {
			for _, t := range b.Heartbeat.Tasks {
				ids = append(ids, t.ID)
			}
		}
	})
	for _, b := range w.boxes {
		for _, id := range ids {
			w.workers.EndTask(b, id, cause)
		}
	}
}

func spec(id, shape string, tasks int, gpus float64) job.Spec {
	return job.Spec{ID: id, Class: "c", Team: "t", Shape: shape, Rank: "normal", Tasks: tasks, Need: job.Need{CPUs: 1, GPUs: gpus, MemoryGB: 1}, Image: "i", Spot: true}
}

func story(t *testing.T, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &world{t: t, ctx: ctx, state: emulator.NewStateService(), workers: emulator.NewWorkers(), nodes: map[string]*node{}, homes: map[*emulator.Worker]string{}}
		defer func() { cancel(); time.Sleep(10 * time.Second); synctest.Wait() }()
		w.boxes = []*emulator.Worker{w.workers.Add("m1", "box", "a"), w.workers.Add("m2", "box", "b")}
		f(w)
	})
}

// Guards against not_done and ran_twice: more tasks than places, each started
// once; done is recorded when all are, and only then are they forgotten.
func TestArrayRunsToItsEnd(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 6, 1))
		w.run(4 * time.Second)
		if got := len(w.starts()); got != 4 {
			t.Fatalf("%d tasks started on four places", got)
		}
		w.endAll(worker.CauseDone)
		w.run(5 * time.Second)
		if w.final("wk-1") != "" {
			t.Fatal("called done with two tasks left")
		}
		w.endAll(worker.CauseDone)
		w.run(5 * time.Second)
		if w.final("wk-1") != job.Done {
			t.Fatal("not recorded as done")
		}
		for task, n := range w.starts() {
			if n != 1 {
				t.Errorf("%s was started %d times", task, n)
			}
		}
		if w.tasks() != 0 {
			t.Error("ended tasks were not forgotten")
		}
	})
}

// Guards against ran_cancelled and went_back: any controller may write the
// cancellation; the placer stops the tasks and starts no more of them.
func TestCancelledJobStops(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 6, 1))
		w.run(4 * time.Second)
		if _, err := w.state.Txn(w.ctx, nil, []statekv.Op{{Delete: job.RecordKey("wk-1")}, tombstone.WriteOps("wk-1", tombstone.Tombstone{Status: job.Cancelled, Tasks: 6}, tombstone.LegacyOnly)[0]}); err != nil {
			t.Fatal(err)
		}
		w.run(6 * time.Second)
		if w.tasks() != 0 || len(w.starts()) != 4 || w.final("wk-1") != job.Cancelled {
			t.Fatalf("%d tasks on machines, %d started, %s", w.tasks(), len(w.starts()), w.final("wk-1"))
		}
	})
}

// Guards against ran_twice and forgotten: when the placer that also owned the
// machines crashes, another adopts its jobs and machines; what runs goes on,
// and only what never started is started.
func TestCrashedPlacersJobsAreAdopted(t *testing.T) {
	story(t, func(w *world) {
		a := w.start("host-0")
		w.run(3 * time.Second)
		w.start("host-1")
		w.run(2 * time.Second)
		w.submit(a, spec("wk-1", job.Array, 6, 1))
		w.run(4 * time.Second)
		w.crash(a, 1)
		w.run(8 * time.Second)
		w.endAll(worker.CauseDone)
		w.run(6 * time.Second)
		w.endAll(worker.CauseDone)
		w.run(6 * time.Second)
		if w.final("wk-1") != job.Done {
			t.Fatal("the adopted job did not finish")
		}
		for task, n := range w.starts() {
			if n != 1 {
				t.Errorf("%s was started %d times", task, n)
			}
		}
	})
}

// Guards against ran_twice: a worker that cannot be reached keeps its task's
// place until its lease has run out, and only then is the task started again.
func TestTaskOfASilentMachineWaitsForTheLease(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 1, 2))
		w.run(3 * time.Second)
		lost, other := w.boxes[0], w.boxes[1]
		w.workers.WithLock(func() {
			if len(lost.Started) == 0 {
				lost, other = other, lost
			}
			lost.HoldCommands = true
		})
		w.boxes = []*emulator.Worker{other}
		w.run(25 * time.Second)
		if len(w.starts()) != 0 {
			t.Fatal("started elsewhere while it may still run")
		}
		w.run(15 * time.Second)
		if w.starts()["wk-1/0"] != 1 {
			t.Fatal("not started again after the lease")
		}
	})
}

// A gang starts as a whole or not at all, and a lost member stops the others
// before the gang starts anew.
func TestGangIsAllOrNothing(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 1, 1))
		w.run(3 * time.Second)
		w.submit(n, spec("wk-2", job.Gang, 2, 2))
		w.run(5 * time.Second)
		if s := w.starts(); s["wk-2/0"]+s["wk-2/1"] != 0 {
			t.Fatalf("part of the gang started: %v", s)
		}
		w.endAll(worker.CauseDone)
		w.run(5 * time.Second)
		if s := w.starts(); s["wk-2/0"] != 1 || s["wk-2/1"] != 1 {
			t.Fatalf("the gang did not start: %v", s)
		}
		w.workers.EndTask(w.boxes[0], "wk-2/0", worker.CauseFailed)
		w.workers.EndTask(w.boxes[0], "wk-2/1", worker.CauseFailed)
		w.run(2 * time.Second)
		if got := w.tasks(); got > 1 {
			t.Fatalf("%d tasks of a broken gang left", got)
		}
	})
}

// A job that fails on every machine is tried more and more rarely.
func TestJobThatAlwaysFailsDoesNotBurnTheFleet(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 1, 1))
		for range 60 {
			w.run(time.Second)
			w.endAll(worker.CauseFailed)
		}
		if got := w.starts()["wk-1/0"]; got < 2 || got > 8 {
			t.Fatalf("%d tries in a minute", got)
		}
	})
}

// Jobs submitted with a mistake fail on every machine: two of them had every
// machine they touched marked as faulty for good. They must cost the machines
// nothing, be tried one task at a time, and leave the room to others; a machine
// on which only jobs fail that run well elsewhere is found all the same.
func TestBrokenJobsDoNotCostMachines(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.boxes = append(w.boxes, w.workers.Add("m3", "box", "a"))
		w.run(5 * time.Second)
		for _, id := range []string{"wk-1", "wk-2"} {
			w.submit(n, spec(id, job.Array, 6, 1))
			w.run(2 * time.Second)
			w.endAll(worker.CauseFailed)
			w.run(2 * time.Second)
			w.endAll(worker.CauseFailed)
		}
		w.run(10 * time.Second)
		if got := w.tasks(); got > 2 {
			t.Fatalf("%d tasks of jobs that fail everywhere are on machines", got)
		}
		w.submit(n, spec("wk-3", job.Array, 6, 1))
		w.run(3 * time.Second)
		_, entries := n.agent.Snapshot()
		for _, e := range entries {
			if e.Faulty {
				t.Fatalf("%s is marked as faulty", e.Machine)
			}
		}
		if got := len(w.starts()); got < 6 {
			t.Fatalf("only %d different tasks were started", got)
		}
		started := 0
		for k := range 6 {
			started += w.starts()[fmt.Sprintf("wk-3/%d", k)]
		}
		if started < 4 {
			t.Fatalf("%d tasks of the job that is well were started: broken ones keep its room", started)
		}
		bad := w.boxes[0]
		var failing []string
		w.workers.WithLock(func() {
			for _, x := range bad.Heartbeat.Tasks {
				failing = append(failing, x.ID)
			}
		})
		for _, id := range failing {
			w.workers.EndTask(bad, id, worker.CauseFailed)
		}
		w.run(2 * time.Second)
		w.endAll(worker.CauseDone)
		w.run(3 * time.Second)
		_, entries = n.agent.Snapshot()
		for _, e := range entries {
			if e.Faulty != (e.Machine == bad.Heartbeat.Machine) {
				t.Fatalf("%s: faulty is %v", e.Machine, e.Faulty)
			}
		}
	})
}

// What a controller that stood still past its lease had under way, and sends when it
// goes on as if nothing had happened, has no effect: not a commit at a peer, not a
// command to a worker, not a write. Guards against ran_twice and went_back.
func TestControllerThatStoodStillDoesNoHarm(t *testing.T) {
	story(t, func(w *world) {
		frozen := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(frozen, spec("wk-1", job.Array, 2, 1))
		w.run(2 * time.Second)
		slot, epoch, _ := frozen.placer.OwnJobShard()
		var token uint64
		w.workers.WithLock(func() { token = w.boxes[0].Heartbeat.FencingToken })
		n := w.start("host-1")
		w.run(2 * time.Second)
		w.mu.Lock()
		frozen.up = false
		w.mu.Unlock()
		if err := w.state.Revoke(w.ctx, 1); err != nil {
			t.Fatal(err)
		}
		w.run(12 * time.Second)
		before := w.tasks()

		_, entries := n.agent.Snapshot()
		commit := agentapi.CommitRequest{Machine: "m1", Refs: []agentapi.TaskRef{{Job: "wk-1", Index: 1, Attempt: epoch<<20 + 99}}}
		for _, e := range entries {
			if e.Machine == "m1" {
				commit.Rev = e.Rev
			}
		}
		commit.Spec, commit.Slot, commit.Epoch = spec("wk-1", job.Array, 2, 0), slot, epoch
		var reply agentapi.CommitReply
		if err := n.svc.Commit(commit, &reply); err != nil || commit.Rev == 0 || reply.Verdicts[0] != agentapi.Refused {
			t.Errorf("a commit under the old epoch: %+v %v", reply, err)
		}
		if _, done, _ := w.workers.Send(w.ctx, "m1", token, 1, []worker.Command{worker.StartCommand("wk-1/1", 7)}); done {
			t.Error("a command under the old token was carried out")
		}
		if _, err := frozen.member.Write(w.ctx, nil, []statekv.Op{{Delete: job.RecordKey("wk-1")}}); !statekv.IsConflict(err) {
			t.Errorf("a write of the old life: %v", err)
		}
		w.run(3 * time.Second)
		if w.tasks() != before {
			t.Errorf("%d tasks on machines, %d before", w.tasks(), before)
		}
	})
}

// A machine's key is removed once all on it is proven gone. If its owner dies
// before its last entry has gone round, the placer must see it from the key: the
// job waited for ever.
func TestTasksOfARemovedMachineStartAgain(t *testing.T) {
	story(t, func(w *world) {
		owner := w.start("host-0")
		w.run(3 * time.Second)
		n := w.start("host-1")
		w.run(2 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 1, 1))
		w.run(2 * time.Second)
		left, gone := w.boxes[0], w.boxes[1]
		if len(left.Started) > 0 {
			left, gone = gone, left
		}
		if len(gone.Started) != 1 {
			t.Fatal("not started")
		}
		w.boxes = []*emulator.Worker{left}
		if _, err := w.state.Txn(w.ctx, nil, []statekv.Op{{Delete: statekv.MachinePrefix + gone.Heartbeat.Machine}}); err != nil {
			t.Fatal(err)
		}
		w.crash(owner, 1)
		w.run(10 * time.Second)
		if len(left.Started) != 1 {
			t.Fatal("the task was not started on the other machine")
		}
	})
}

// A gang that must be in one zone has room made there also when every zone has
// some room but none enough: it waited for as long as that lasted.
func TestGangInOneZoneHasRoomMade(t *testing.T) {
	story(t, func(w *world) {
		w.boxes = append(w.boxes, w.workers.Add("m3", "box", "a"))
		n := w.start("host-0")
		w.run(3 * time.Second)
		small := spec("wk-1", job.Array, 2, 1)
		zone := "a"
		small.Zone = &zone
		w.submit(n, small)
		w.run(4 * time.Second)
		gang := spec("wk-2", job.Gang, 2, 2)
		gang.OneZone, gang.Rank = true, "high"
		w.submit(n, gang)
		w.run(15 * time.Second)
		if got := w.starts(); got["wk-2/0"] != 1 || got["wk-2/1"] != 1 {
			t.Fatalf("the gang was not started: %v", got)
		}
	})
}

// Guards against ran_twice: an entry that its owner has not confirmed yet does
// not prove a task gone, not even under the ownership that it was committed to.
func TestUnconfirmedEntryProvesNothing(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 1, 1))
		w.run(2 * time.Second)
		_, entries := n.agent.Snapshot()
		for _, e := range entries {
			n.placer.OnEntries([]agentapi.MachineEntry{{Machine: e.Machine, Host: e.Host, Rev: e.Rev, Ver: e.Ver + 1000, Type: "box", Zone: e.Zone}})
		}
		w.run(4 * time.Second)
		if got := w.starts()["wk-1/0"]; got != 1 {
			t.Fatalf("started %d times", got)
		}
	})
}

// Half of the machines of a fleet that had run gangs were never returned: members
// that were reported while the gang's end was being written were forgotten by nobody,
// and with an ended task a machine does not count as idle.
func TestMembersThatEndApartAreAllForgotten(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Gang, 2, 2))
		w.run(4 * time.Second)
		w.state.SetTxnLatency(1500 * time.Millisecond)
		for i, box := range w.boxes {
			for k := range 2 {
				w.workers.EndTask(box, job.TaskID("wk-1", k), worker.CauseDone)
			}
			if i == 0 {
				w.run(time.Second)
			}
		}
		w.run(8 * time.Second)
		if w.final("wk-1") != job.Done || w.tasks() != 0 {
			t.Fatalf("%q, with %d ended tasks on machines", w.final("wk-1"), w.tasks())
		}
	})
}

// The word to forget an ended task may get lost with the owner that it was sent
// to; the job's record tells the next one.
func TestEndedTasksOfJobsThatAreOverAreForgotten(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 2, 1))
		w.run(4 * time.Second)
		w.endAll(worker.CauseDone)
		w.forgetful = true
		w.run(10 * time.Second)
		w.forgetful = false
		if w.final("wk-1") != job.Done || w.tasks() != 2 {
			t.Fatalf("%q, with %d tasks on machines", w.final("wk-1"), w.tasks())
		}
		w.run(30 * time.Second)
		if w.tasks() != 0 {
			t.Fatalf("%d ended tasks of a job that is over stay on machines", w.tasks())
		}
	})
}

// Jobs whose needs differed a little paused each for itself, and took in turns what
// came free: all got some places, and few were done by their deadlines.
func TestScarceRoomGoesToTheFirstInTheQueue(t *testing.T) {
	story(t, func(w *world) {
		n := w.start("host-0")
		w.run(3 * time.Second)
		w.submit(n, spec("wk-1", job.Array, 4, 1))
		w.run(4 * time.Second)
		second := spec("wk-3", job.Array, 3, 1)
		second.CPUs = 2
		w.submit(n, spec("wk-2", job.Array, 3, 1))
		time.Sleep(400 * time.Millisecond)
		w.submit(n, second)
		for k := range 3 {
			time.Sleep(800 * time.Millisecond)
			for _, box := range w.boxes {
				w.workers.EndTask(box, job.TaskID("wk-1", k), worker.CauseDone)
			}
			w.run(2 * time.Second)
		}
		w.run(3 * time.Second)
		if a, b := w.startsOf("wk-2"), w.startsOf("wk-3"); a != 3 || b != 0 {
			t.Fatalf("%d of 3 tasks of the first started, %d of the second", a, b)
		}
	})
}
