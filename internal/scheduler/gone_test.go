package scheduler

import (
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/config"
	"robinstack/internal/invariant"
	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// Guards against a task that is given up, and so started again elsewhere, without a proof that it is gone.
func TestTaskIsKeptWithoutProof(t *testing.T) {
	s := &Scheduler{settings: &config.Settings{}, placedOn: map[string]map[agentapi.TaskRef]bool{}, wakeUp: make(chan struct{}, 1)}
	j := &jobState{spec: &job.Spec{ID: "wk-1", Shape: job.Array, Tasks: 2}, tasks: make([]taskState, 2)}
	j.tasks[0].beginAttempt(7, "a")
	j.tasks[0].markPlaced("m1", "a", 3, 1)
	s.onTaskLost(j, 0, "")
	if j.tasks[0].status != taskPlaced || invariant.Reset() != 1 {
		t.Errorf("without a proof: got status %d, want the task kept and one violation", j.tasks[0].status)
	}
	j.tasks[1].beginAttempt(8, "a")
	s.onTaskLost(j, 1, startAbandoned)
	if j.tasks[1].status != taskCommitting || invariant.Reset() != 1 {
		t.Errorf("while its commit is in progress: got status %d, want the task kept and one violation", j.tasks[1].status)
	}
	s.onTaskLost(j, 0, unlistedByOwner)
	if j.tasks[0].status != taskPending || invariant.Reset() != 0 {
		t.Errorf("with a proof: got status %d, want the task pending and no violation", j.tasks[0].status)
	}
}

// Guards against a second attempt that is not reported, and against outdated knowledge that is reported as one.
func TestSecondAttemptIsReportedUnlessKnowledgeIsOlder(t *testing.T) {
	held := &jobShard{epoch: 5, reconciled: true}
	state := emulator.NewStateService()
	ops := []statekv.Op{{Set: statekv.MachineShardPrefix + "h.1", Value: shard.Record{}}}
	for _, machine := range []string{"m1", "m2"} {
		ops = append(ops, statekv.Op{Set: statekv.MachinePrefix + machine, Value: shard.MachineRecord{Shard: "h.1"}})
	}
	rev, err := state.Txn(t.Context(), nil, ops)
	if err != nil {
		t.Fatal(err)
	}
	mirror := statekv.NewMirror(state, []string{statekv.ClusterPrefix}, statekv.RootPrefix, time.Second, 0, nil)
	if err := mirror.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	s := &Scheduler{mirror: mirror, shards: map[string]*jobShard{"s": held}}
	j := &jobState{spec: &job.Spec{ID: "wk-1", Shape: job.Array, Tasks: 1}, shardID: "s", tasks: make([]taskState, 1)}
	j.tasks[0].beginAttempt(5<<epochAttemptBits+2, "a")
	j.tasks[0].markPlaced("m1", "a", rev, 1)
	for _, c := range []struct {
		machine    string
		rev        uint64
		attempt    uint64
		reconciled bool
		violations int64
	}{
		{"m2", rev, 5<<epochAttemptBits + 1, true, 1},
		{"m2", rev, 4<<epochAttemptBits + 9, true, 1},
		{"m2", rev, 5<<epochAttemptBits + 1, false, 0},
		{"m2", rev, 6<<epochAttemptBits + 1, true, 0},
		{"m2", rev - 1, 5<<epochAttemptBits + 1, true, 0},
		{"deleted", rev, 5<<epochAttemptBits + 1, true, 0},
	} {
		entry := agentapi.MachineEntry{Machine: c.machine, Rev: c.rev, Ver: 1, Settled: c.reconciled}
		s.checkSecondAttempt(&entry, &agentapi.TaskEntry{TaskRef: agentapi.TaskRef{Job: "wk-1", Attempt: c.attempt}}, j)
		if got := invariant.Reset(); got != c.violations {
			t.Errorf("%+v: got %d violations", c, got)
		}
	}
	held.reconciled = false
	entry := agentapi.MachineEntry{Machine: "m2", Rev: rev, Ver: 1, Settled: true}
	s.checkSecondAttempt(&entry, &agentapi.TaskEntry{TaskRef: agentapi.TaskRef{Job: "wk-1", Attempt: 5<<epochAttemptBits + 1}}, j)
	if got := invariant.Reset(); got != 0 {
		t.Errorf("before the job shard is reconciled: got %d violations, want none", got)
	}
}
