package machine

import (
	"log/slog"
	"time"

	"robinstack/internal/logline"
	"robinstack/internal/worker"
)

// Serial tells which of two messages of a worker is the newer one.
//
// Each heartbeat has a number of its own, and a worker has one under way at a time. So one
// that is not beyond the latest that came is a copy: its worker has had its answer, or has
// given it up, and drops any that is given now.
type Serial struct{ epoch, sequence uint64 }

// SerialOf is the serial of a heartbeat.
func SerialOf(r *worker.Heartbeat) Serial { return Serial{r.WorkerEpoch, r.Sequence} }

// Before reports whether o is newer.
func (s Serial) Before(o Serial) bool {
	return o.epoch > s.epoch || o.epoch == s.epoch && o.sequence > s.sequence
}

// How far a worker's numbers may go on from the last ones known: ten years of two heartbeats
// a second, and epochs of some seconds each. What is beyond them, or goes where a number
// cannot, is a mistake and must not make all later heartbeats old.
const (
	maxSequenceStep = 1 << 30
	maxEpochStep    = 1 << 24
)

// A machine that sends heartbeats while commands do not reach it gets nothing new after the
// first one without an answer (Ownership.Unfenced). After commandsLostAfter in a row, over
// commandsLostFor at least, it counts as unresponsive for all who ask whether it serves:
// nothing can be placed there.
const (
	commandsLostAfter = 3
	commandsLostFor   = 5 * time.Second
)

// Liveness is what gets through between a machine and its owner, each way.
type Liveness struct {
	// LastContact is when the latest state came, by a heartbeat or the answer to a command.
	LastContact time.Time

	lastHeartbeat time.Time // when the latest came here, or the ownership began

	// unresponsive: no state has come for too long.
	unresponsive bool
	// heartbeatsLost: commands reach the machine, and its heartbeats do not come.
	//
	// Such a machine answers each command, and loses all its tasks whenever its lease runs
	// out: no answer to a command renews that. After two thirds of a lease without a
	// heartbeat it counts as unresponsive too, for all who ask whether it serves: what began
	// there now would soon be killed. Workers that look for their owner after a change find
	// it long before.
	heartbeatsLost bool

	latest          Serial // of all that came
	latestHeartbeat Serial // of the heartbeats that came here, answers to commands left aside
	unanswered      int    // commands in a row that had no answer
	unansweredSince time.Time
}

// Epoch is the worker's present epoch, 0 if none is known.
func (l *Liveness) Epoch() uint64 { return l.latest.epoch }

// Unresponsive reports whether no state has come from the machine for too long.
func (l *Liveness) Unresponsive() bool { return l.unresponsive }

// Responsive reports whether the machine may get work: its state comes, and its heartbeats do.
func (l *Liveness) Responsive() bool { return !l.unresponsive && !l.heartbeatsLost }

// CommandsLost reports whether commands do not reach the machine although its heartbeats come.
func (l *Liveness) CommandsLost(now time.Time) bool {
	return l.unanswered >= commandsLostAfter && now.Sub(l.unansweredSince) >= commandsLostFor
}

// Unanswered is the number of commands in a row that had no answer.
func (l *Liveness) Unanswered() int { return l.unanswered }

// NoteUnanswered notes that a command had no answer.
func (l *Liveness) NoteUnanswered(now time.Time) {
	if l.unanswered == 0 {
		l.unansweredSince = now
	}
	l.unanswered++
}

// NoteCommandAnswered notes that commands get through, and returns whether they did not
// before.
func (l *Liveness) NoteCommandAnswered() (changed bool) {
	changed = l.unanswered > 0
	l.unanswered = 0
	return changed
}

// Duplicate reports whether a heartbeat is a copy of one that came before.
func (l *Liveness) Duplicate(r *worker.Heartbeat) bool { return !l.latestHeartbeat.Before(SerialOf(r)) }

// IsLatestHeartbeat reports whether no later heartbeat has come here.
func (l *Liveness) IsLatestHeartbeat(r *worker.Heartbeat) bool {
	return l.latestHeartbeat == SerialOf(r)
}

// AcceptHeartbeat makes a heartbeat the latest that came here.
func (l *Liveness) AcceptHeartbeat(r *worker.Heartbeat) { l.latestHeartbeat = SerialOf(r) }

// NoteHeartbeat notes that a heartbeat came here that is no copy, and returns whether they
// were lost before.
func (l *Liveness) NoteHeartbeat(now time.Time) (changed bool) {
	l.lastHeartbeat = now
	changed = l.heartbeatsLost
	l.heartbeatsLost = false
	return changed
}

// outOfRange says why the numbers of a heartbeat cannot be the worker's, or "".
func (l *Liveness) outOfRange(r *worker.Heartbeat) string {
	latest := max(l.latest.sequence, l.latestHeartbeat.sequence)
	if r.WorkerEpoch > l.latest.epoch+maxEpochStep || r.Sequence > latest+maxSequenceStep {
		return "its numbers are out of range"
	}
	return ""
}

// LivenessLimits are the times after which a machine counts as out of contact.
type LivenessLimits struct {
	Heartbeat    time.Duration // without a heartbeat
	Quiet        time.Duration // without any state
	Unreconciled time.Duration // without any state of a machine that is being asked all the time
}

// CheckLiveness notices that heartbeats, or any state, have stopped to come, and returns whether
// that has changed.
func (m *Machine) CheckLiveness(now time.Time, limits LivenessLimits) (changed bool) {
	l := &m.Liveness
	sinceContact, sinceHeartbeat := now.Sub(l.LastContact), now.Sub(l.lastHeartbeat)
	quiet := sinceContact > m.quietLimit(limits)
	if !l.heartbeatsLost && m.Ownership.reconciled && sinceHeartbeat > limits.Heartbeat {
		l.heartbeatsLost, changed = true, true
		if !l.unresponsive && !quiet {
			slog.Info("machine heartbeats missing", "machine", m.Name, "duration_s", seconds(sinceHeartbeat))
		}
	}
	if !l.unresponsive && quiet {
		l.unresponsive, changed = true, true
		slog.Info(logline.MachineUnresponsive, "machine", m.Name, "duration_s", seconds(sinceContact))
	}
	return changed
}

// quietLimit is how long the machine may show nothing before it counts as unresponsive.
func (m *Machine) quietLimit(limits LivenessLimits) time.Duration {
	if m.Ownership.reconciled || m.Liveness.latestHeartbeat != (Serial{}) {
		return limits.Quiet
	}
	// It is being asked all the time, and job shards wait for its answer. One that sends
	// heartbeats here is alive, and is reconciled by the answers to them where commands do
	// not reach it.
	return min(limits.Quiet, limits.Unreconciled)
}
