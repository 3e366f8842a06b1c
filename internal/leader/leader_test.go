package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/policy"
	"robinstack/internal/quota"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

func testSettings() *config.Settings {
	return &config.Settings{Host: "host-0", CloudListLag: 4 * time.Second,
		Teams:       map[string]config.Team{"t": {Name: "t", GPUQuota: 10}},
		Workers:     config.WorkerTiming{HeartbeatInterval: 3 * time.Second, LeaseDuration: 30 * time.Second, CancellationDeadline: 60 * time.Second},
		StateLimits: config.StateLimits{RequestsPerSecond: 100, WritesPerSecond: 50, MaxValueBytes: 8192, MaxTxnOps: 24}}
}

// newLeader returns the leader of epoch 99 and its state service. The cluster has one machine,
// which is not confirmed.
func newLeader(t testing.TB, ctx context.Context) (*Leader, *emulator.StateService) {
	t.Helper()
	state := emulator.NewStateService()
	machine := shard.MachineRecord{Shard: "host-9.1.0", Type: "box", Zone: "a"}
	if _, err := state.Txn(ctx, nil, []statekv.Op{{Set: statekv.MachinePrefix + "m1", Value: machine}}); err != nil {
		t.Fatal(err)
	}
	mirror := statekv.NewMirror(state, []string{statekv.ClusterPrefix, job.RecordPrefix}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
	if err := mirror.Load(ctx); err != nil {
		t.Fatal(err)
	}
	session, err := statekv.OpenSession(ctx, state, mirror, "host-0", 4*time.Second, statekv.Registration{})
	if err != nil {
		t.Fatal(err)
	}
	types := &cloud.Catalogue{}
	types.Set([]cloud.MachineType{{Name: "box", CPUs: 64, GPUs: 8, MemoryGB: 512, OnDemandPrice: 10, SpotPrice: 4, ProvisioningS: 30, Zones: []string{"a"}}})
	l := New(testSettings(), policy.Default(), mirror, session, nil, nil, types)
	l.feed = changefeed.New(nil, mirror, nil, nil, nil)
	l.epoch, l.confirmed = 99, map[string]bool{}
	return l, state
}

// requestGrant requests a grant for a task of the team with a quota, and reports whether it is
// granted.
func requestGrant(t *testing.T, l *Leader, index, gpus int, release ...agentapi.TaskRef) bool {
	t.Helper()
	var reply quota.Reply
	request := quota.GrantRequest{Ref: agentapi.TaskRef{Job: "wk-1", Index: index, Attempt: 1}, Team: "t", Need: job.Resources{GPUs: float64(gpus)}}
	if err := NewService(l).Permit(quota.Request{Slot: "s", Epoch: 1, Wants: []quota.GrantRequest{request}, Release: release}, &reply); err != nil {
		t.Fatal(err)
	}
	return reply.Granted[0]
}

// Guards against exceeding a quota after a change of leader. Grants, tasks and the full capacity of
// unconfirmed machines count together against the quota. A new leader still grants what is left
// while a machine stays unresponsive.
func TestQuotaCountsGrantsAndUnconfirmedMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newLeader(t, t.Context())
		if requestGrant(t, l, 0, 3) {
			t.Fatal("got a grant for 3 GPUs while an unconfirmed machine may hold 8 of 10")
		}
		if !requestGrant(t, l, 0, 2) || requestGrant(t, l, 1, 1) {
			t.Fatal("want exactly 2 GPUs granted next to the 8 of the unconfirmed machine")
		}
		l.confirmed["m1"] = true
		if !requestGrant(t, l, 1, 8) || requestGrant(t, l, 2, 1) {
			t.Fatal("want 8 GPUs granted next to the unused grant of 2, and no more")
		}
		if !requestGrant(t, l, 2, 1, agentapi.TaskRef{Job: "wk-1", Index: 0, Attempt: 1}) {
			t.Fatal("got no grant after an unused grant was released")
		}
	})
}

// Guards against exceeding a quota after a change of a machine's owner: a task counts until the new
// owner's reconciled entry proves it gone.
func TestTaskOfUnreconciledMachineCountsAgainstQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newLeader(t, t.Context())
		l.reconciled = true
		task := agentapi.TaskEntry{TaskRef: agentapi.TaskRef{Job: "wk-2", Attempt: 1}, Team: "t", Need: job.Resources{GPUs: 8}, Known: true, State: worker.TaskRunning}
		l.OnEntries([]agentapi.MachineEntry{{Machine: "m1", Settled: true, Tasks: []agentapi.TaskEntry{task}}})
		l.OnEntries([]agentapi.MachineEntry{{Machine: "m1", Settled: false}})
		if requestGrant(t, l, 0, 3) {
			t.Fatal("got a grant although the unreconciled machine may still run the task")
		}
		l.OnEntries([]agentapi.MachineEntry{{Machine: "m1", Settled: true}})
		if !requestGrant(t, l, 0, 3) {
			t.Fatal("got no grant although the task is proven gone")
		}
	})
}
