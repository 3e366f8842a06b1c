package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/changefeed"
	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// singleEntryAgent answers the first watch with one entry, and leaves later ones unanswered.
type singleEntryAgent struct {
	reply    agentapi.WatchReply
	reported chan struct{} // the first watch is answered when it is closed; nil: at once
	answered bool
}

func (a *singleEntryAgent) Call(ctx context.Context, _, _ string, _, reply any) error {
	if a.answered {
		<-ctx.Done()
		return ctx.Err()
	}
	a.answered = true
	if a.reported != nil {
		<-a.reported
	}
	*reply.(*agentapi.WatchReply) = a.reply
	return nil
}

// Invariant quota: a busy process confirms a machine before the ledger has its entry.
func TestQuotaCountsTasksOfConfirmedMachineWhoseEntryIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(10 * time.Second); synctest.Wait() }()
		l, state := newLeader(t, ctx)
		owner := statekv.Holder{Host: "host-9", Incarnation: 7}
		rev, err := state.Txn(ctx, nil, []statekv.Op{
			{Set: statekv.MachineShardPrefix + "host-9.1.0", Value: shard.Record{Holder: owner}},
			{Set: statekv.MachinePrefix + "m2", Value: shard.MachineRecord{Shard: "host-9.1.0", Type: "box", Zone: "a"}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.mirror.Load(ctx); err != nil {
			t.Fatal(err)
		}
		agent := &singleEntryAgent{reply: agentapi.WatchReply{Host: owner.Host, Instance: owner.Incarnation, Ver: 1,
			Entries: []agentapi.MachineEntry{{Machine: "m1", Host: owner.Host, Rev: rev, Ver: 1, Settled: true,
				Tasks: []agentapi.TaskEntry{{TaskRef: agentapi.TaskRef{Job: "wk-9", Attempt: 1}, State: "running",
					Known: true, Team: "t", Need: job.Resources{GPUs: 8}}}}}}}
		busy := func([]agentapi.MachineEntry) { time.Sleep(time.Second) }
		l.feed = changefeed.New(agent, l.mirror, []string{owner.Host}, l.Epoch, busy)
		go l.feed.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		l.reconcileLedger()
		if !l.confirmed["m1"] || l.confirmed["m2"] {
			t.Fatalf("got machines %v confirmed, want only m1", l.confirmed)
		}
		if requestGrant(t, l, 0, 2) {
			t.Error("got a grant for 2 of 10 GPUs while m1 runs tasks with 8 and the unconfirmed m2 may hold 8")
		}
	})
}

// Invariant quota: a plan whose list of machines is older than the ledger must not drop the tasks of machines since then.
func TestPlanKeepsTasksOfMachinesReportedSince(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l, _ := newLeader(t, ctx)
	reported := make(chan struct{})
	agent := &singleEntryAgent{reported: reported, reply: agentapi.WatchReply{Host: "host-9", Instance: 7, Ver: 1,
		Entries: []agentapi.MachineEntry{{Machine: "m1", Host: "host-9", Rev: 2, Ver: 1, Settled: true,
			Tasks: []agentapi.TaskEntry{{TaskRef: agentapi.TaskRef{Job: "wk-9", Attempt: 1}, State: "running",
				Known: true, Team: "t", Need: job.Resources{GPUs: 8}}}}}}}
	l.feed = changefeed.New(agent, l.mirror, []string{"host-9"}, func() uint64 { return 0 }, func([]agentapi.MachineEntry) {})
	go l.feed.Run(ctx)
	planned := make(chan struct{})
	l.mu.Lock()
	go func() {
		l.plan(time.Now())
		close(planned)
	}()
	time.Sleep(50 * time.Millisecond) // until the plan waits for l.mu
	close(reported)
	for _, known := l.feed.OwnerHost("m1"); !known; _, known = l.feed.OwnerHost("m1") {
		time.Sleep(time.Millisecond)
	}
	entry := l.feed.LastEntry("m1")
	l.applyEntry(&entry)
	l.mu.Unlock()
	<-planned
	if usage, _ := l.TeamUsage(); usage["t"].GPUs != 8 {
		t.Errorf("got %v GPUs in use after the plan, want 8", usage["t"].GPUs)
	}
}

// Guards against versions of deleted machines that are kept for as long as the session lasts.
func TestVersionsOfDeletedMachinesAreDropped(t *testing.T) {
	l, _ := newLeader(t, t.Context())
	l.OnEntries([]agentapi.MachineEntry{{Machine: "m1", Rev: 2, Ver: 1}, {Machine: "m2", Rev: 2, Ver: 2}})
	l.OnEntries([]agentapi.MachineEntry{{Machine: "m1", Rev: 2, Ver: 3, Gone: true}})
	if len(l.appliedEntries) != 1 {
		t.Errorf("after m1 is deregistered: got versions %v, want that of m2", l.appliedEntries)
	}
	l.plan(time.Now()) // the feed has no entry of m2
	if len(l.appliedEntries) != 0 {
		t.Errorf("after a plan without m2: got versions %v, want none", l.appliedEntries)
	}
}
