package scheduler

import (
	"context"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// lateRefusal is an owner that answers "refused" after its entry has shown the attempt as ended.
type lateRefusal struct {
	beforeAnswer func()
	machines     []string // that commits have asked for
}

func (o *lateRefusal) Call(_ context.Context, _, _ string, args, reply any) error {
	o.machines = append(o.machines, args.(agentapi.CommitRequest).Machine)
	o.beforeAnswer()
	reply.(*agentapi.CommitReply).Verdicts = []string{agentapi.Refused}
	return nil
}

// Invariant ran_twice: an owner of an earlier build refuses an attempt after its entry has shown it.
func TestAttemptThatAnEntryHasShownIsTriedOnNoFurtherCandidate(t *testing.T) {
	owner := &lateRefusal{}
	s := &Scheduler{peers: owner, settings: &config.Settings{}, placedOn: map[string]map[agentapi.TaskRef]bool{}}
	spec := job.Spec{ID: "wk-1", Shape: job.Array, Tasks: 1}
	j := &jobState{spec: &spec, tasks: make([]taskState, 1)}
	owner.beforeAnswer = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.resetTask(j, 0)
	}
	j.tasks[0].beginAttempt(1, "a")
	candidates := []agentapi.Candidate{{Machine: "a1", Zone: "a", Fits: 1}, {Machine: "a2", Zone: "a", Fits: 1}}
	s.multiBind(t.Context(), j, agentapi.CommitRequest{}, []*binding{{ref: j.ref(0), candidates: candidates}})
	if len(owner.machines) != 1 {
		t.Errorf("got commits to %v, want one to a1 only", owner.machines)
	}
}

// Invariant ran_twice: a task on a machine that the mirror does not show yet counts as gone with the machine's key.
func TestMachineThatTheMirrorDoesNotShowYetIsNotRemoved(t *testing.T) {
	state := emulator.NewStateService()
	if _, err := state.Txn(t.Context(), nil, []statekv.Op{{Set: statekv.ClusterVersionKey, Value: struct{}{}}}); err != nil {
		t.Fatal(err)
	}
	mirror := statekv.NewMirror(state, []string{statekv.ClusterPrefix}, statekv.RootPrefix, time.Second, 0, nil)
	if err := mirror.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	s := &Scheduler{
		mirror: mirror, settings: &config.Settings{}, jobs: map[string]*jobState{},
		placedOn: map[string]map[agentapi.TaskRef]bool{}, wakeUp: make(chan struct{}, 1),
	}
	j := &jobState{spec: &job.Spec{ID: "wk-1", Shape: job.Array, Tasks: 2}, tasks: make([]taskState, 2)}
	s.jobs["wk-1"] = j
	for index, ownerRev := range []uint64{mirror.Rev() + 1, mirror.Rev() - 1} {
		j.tasks[index].beginAttempt(uint64(index+1), "a")
		j.tasks[index].markPlaced("m1", "a", ownerRev, 1)
		s.addPlacedAttempt("m1", j.ref(index))
	}
	s.handleRemovedMachines()
	if !j.tasks[0].onMachine() || j.tasks[1].onMachine() {
		t.Errorf("got tasks on their machine %t and %t, want only the one of a later ownership than the mirror's revision",
			j.tasks[0].onMachine(), j.tasks[1].onMachine())
	}
}
