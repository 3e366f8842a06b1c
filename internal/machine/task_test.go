package machine

import (
	"testing"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// The time of a task is booked on what it has been doing, whatever the order of its states and
// however often a heartbeat repeats one.
func TestTransitionsBookTimeOnThePhaseThatEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	ref := agentapi.TaskRef{Job: "wk-1"}
	task := NewReserved(KeyOf(ref), ref, "s", &job.Spec{}, now)
	steps := []struct {
		next  TaskState
		after time.Duration
	}{
		{Starting, 5 * time.Second}, // reserved for 5 s: booked on nothing
		{Fetching, 1 * time.Second},
		{AwaitingGang, 10 * time.Second},
		{Running, 3 * time.Second},
		{Running, 20 * time.Second},
		{Checkpointing, 20 * time.Second},
		{Running, 2 * time.Second},
		{Exited, 7 * time.Second},
		{Exited, 100 * time.Second}, // booked on nothing
	}
	for _, step := range steps {
		now = now.Add(step.after)
		task.transition(step.next, now)
	}
	want := [phaseCount]time.Duration{
		fetchPhase: 11 * time.Second, gangWaitPhase: 3 * time.Second,
		runPhase: 47 * time.Second, checkpointPhase: 2 * time.Second,
	}
	if task.phases.spent != want {
		t.Errorf("booked %v, wanted %v", task.phases.spent, want)
	}
}

// A start without an answer is given up only when a heartbeat without the task shows the raised
// token, and is not sent again meanwhile.
func TestUnansweredStartIsGivenUpOnceFenced(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Identity{Name: "m1", Address: "m1"}, 1, 1, now)
	beat := func(sequence uint64, token uint64) {
		now = now.Add(time.Second)
		m.Apply(&worker.Heartbeat{Machine: "m1", WorkerEpoch: 1, Sequence: sequence, FencingToken: token}, now, 0)
	}
	beat(1, m.Ownership.Token())
	ref := agentapi.TaskRef{Job: "wk-1", Attempt: 1}
	task := NewReserved(KeyOf(ref), ref, "s", &job.Spec{}, now)
	m.AddTask(KeyOf(ref), task)
	result := m.Start(task, now)
	sent := m.Ownership.Token()
	if got := m.DirectCommands(now); len(got) != 1 {
		t.Fatalf("commands %v", got)
	}
	m.CommandUnanswered(sent, now)
	if got := <-result; got != agentapi.Unresolved {
		t.Fatalf("result %q", got)
	}
	beat(2, sent)
	if m.Task(KeyOf(ref)) == nil || len(m.DirectCommands(now)) != 0 || !m.CommandDue(now) {
		t.Fatal("given up or sent again while a copy may start it")
	}
	beat(3, m.Ownership.Token())
	if m.Task(KeyOf(ref)) != nil || m.CommandDue(now) {
		t.Fatal("not given up although every copy is dead")
	}
}
