package machine

import (
	"testing"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// startedMachine returns a reconciled machine to which the starts of two tasks are to be sent.
func startedMachine(now time.Time) *Machine {
	m := New(Identity{Name: "m1"}, 1, 1, now)
	m.Apply(&worker.Heartbeat{WorkerEpoch: 1, Sequence: 1, FencingToken: m.Ownership.Token()}, now, 0)
	for index := range 2 {
		ref := agentapi.TaskRef{Job: "wk-1", Index: index, Attempt: 1}
		m.AddTask(KeyOf(ref), NewReserved(KeyOf(ref), ref, "s", &job.Spec{ID: "wk-1", Tasks: 2}, now))
	}
	return m
}

// countCommands returns the number of commands with the operation.
func countCommands(commands []worker.Command, op string) (n int) {
	for _, c := range commands {
		if c.Op == op {
			n++
		}
	}
	return n
}

// Invariant ran_twice: a late copy of an unanswered start arrives after the worker has forgotten the attempt.
func TestAttemptIsForgottenOnlyOnceNoCopyOfItsStartCanArrive(t *testing.T) {
	now := time.Unix(1000, 0)
	m := startedMachine(now)
	key := AttemptKey{"wk-1/0", 1}
	m.Start(m.Task(key), now)
	sentToken := m.Ownership.Token()
	if n := countCommands(m.DirectCommands(now), worker.OpStart); n != 1 {
		t.Fatalf("got %d starts, want 1", n)
	}
	m.HandleUnansweredCommand(sentToken, now)
	heartbeat := worker.Heartbeat{WorkerEpoch: 1, Sequence: 2, FencingToken: sentToken, Tasks: []worker.Task{
		{ID: "wk-1/0", Attempt: 1, State: worker.TaskExited, Cause: worker.CauseNoCapacity}}}
	m.Apply(&heartbeat, now, 0)
	if n := countCommands(m.AnswerCommands(now), worker.OpForget); n != 0 {
		t.Errorf("got %d forgets while a copy of the start may arrive, want none", n)
	}
	heartbeat.Sequence, heartbeat.FencingToken = 3, m.Ownership.Token()
	m.Apply(&heartbeat, now, 0)
	if n := countCommands(m.AnswerCommands(now), worker.OpForget); n != 1 {
		t.Errorf("got %d forgets once the worker has shown the raised token, want 1", n)
	}
}

// Invariant ran_twice: two starts are in flight of which the outcome of one is not known.
func TestNoStartIsSentWhileACommandIsUnanswered(t *testing.T) {
	now := time.Unix(1000, 0)
	m := startedMachine(now)
	m.Start(m.Task(AttemptKey{"wk-1/0", 1}), now)
	m.DirectCommands(now)
	m.HandleUnansweredCommand(m.Ownership.Token(), now)
	m.Start(m.Task(AttemptKey{"wk-1/1", 1}), now)
	if n := countCommands(m.DirectCommands(now), worker.OpStart); n != 0 {
		t.Errorf("got %d starts after an unanswered command, want none", n)
	}
	m.Apply(&worker.Heartbeat{WorkerEpoch: 1, Sequence: 2, FencingToken: m.Ownership.Token()}, now, 0)
	if n := countCommands(m.DirectCommands(now), worker.OpStart); n != 1 {
		t.Errorf("got %d starts once the worker has shown the raised token, want 1", n)
	}
}
