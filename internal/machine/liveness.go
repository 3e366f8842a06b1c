package machine

import (
	"log/slog"
	"time"

	"robinstack/internal/logline"
	"robinstack/internal/worker"
)

// MessageSequence orders the messages of a worker by worker epoch and sequence number.
//
// Each heartbeat has its own sequence number, and a worker has one heartbeat in flight at a time. A
// heartbeat that is not newer than the latest received one is therefore a duplicate: the worker has
// already received the answer or stopped waiting for it, and drops any later answer.
type MessageSequence struct{ epoch, sequence uint64 }

// MessageSequenceOf returns the epoch and sequence number of a heartbeat.
func MessageSequenceOf(r *worker.Heartbeat) MessageSequence {
	return MessageSequence{r.WorkerEpoch, r.Sequence}
}

// Before reports whether o is newer than s.
func (s MessageSequence) Before(o MessageSequence) bool {
	return o.epoch > s.epoch || o.epoch == s.epoch && o.sequence > s.sequence
}

// Limits on how far a worker's sequence number and epoch may be ahead of the latest known ones.
// They allow for ten years of two heartbeats a second, or of epochs of some seconds each. A higher
// number, for example one at the end of the range of the type, is a fault: if it were accepted, all
// later heartbeats would count as outdated.
const (
	maxSequenceStep = 1 << 30
	maxEpochStep    = 1 << 24
)

// A machine whose heartbeats arrive but whose commands get no response is sent no new starts
// after the first unanswered command (Ownership.Unfenced). After commandsLostThreshold unanswered
// commands in a row, over at least commandsLostMinDuration, its entry shows it as unresponsive,
// because no task can be placed there.
const (
	commandsLostThreshold   = 3
	commandsLostMinDuration = 5 * time.Second
)

// Liveness tracks whether heartbeats and commands get through between a machine and its owner.
type Liveness struct {
	// LastContact is the time of the latest state, which came with a heartbeat or with the response
	// to a command.
	LastContact time.Time

	lastHeartbeat time.Time // time of the latest heartbeat to this owner, or of the start of the ownership

	// unresponsive reports whether no state has arrived within the contact timeout.
	unresponsive bool
	// heartbeatsLost reports whether the machine responds to commands while its heartbeats do not
	// arrive.
	//
	// Responses to commands do not renew the worker lease, so such a machine loses all its tasks
	// whenever the lease expires. After two thirds of a lease without a heartbeat, its entry shows
	// it as unresponsive too, because tasks started there would soon be killed. After a change of
	// ownership, workers find their new owner long before that.
	heartbeatsLost bool

	latest          MessageSequence // of all heartbeats and responses to commands
	latestHeartbeat MessageSequence // of the heartbeats sent to this owner, without responses to commands
	endedEpoch      uint64          // latest worker epoch whose lease is known to have expired; 0: none
	unanswered      int             // consecutive commands without a response
	unansweredSince time.Time
}

// Epoch returns the current worker epoch, or 0 if none is known.
func (l *Liveness) Epoch() uint64 { return l.latest.epoch }

// Unresponsive reports whether no state has arrived from the machine within the contact timeout.
func (l *Liveness) Unresponsive() bool { return l.unresponsive }

// Responsive reports whether both states and heartbeats arrive, so that the machine may get tasks.
func (l *Liveness) Responsive() bool { return !l.unresponsive && !l.heartbeatsLost }

// CommandsLost reports whether repeated commands to the machine have had no response.
func (l *Liveness) CommandsLost(now time.Time) bool {
	return l.unanswered >= commandsLostThreshold && now.Sub(l.unansweredSince) >= commandsLostMinDuration
}

// UnansweredCommands returns the number of consecutive commands without a response.
func (l *Liveness) UnansweredCommands() int { return l.unanswered }

// RecordUnansweredCommand records that a command had no response.
func (l *Liveness) RecordUnansweredCommand(now time.Time) {
	if l.unanswered == 0 {
		l.unansweredSince = now
	}
	l.unanswered++
}

// RecordCommandResponse records that commands reach the machine, and reports whether the previous
// command had no response.
func (l *Liveness) RecordCommandResponse() (changed bool) {
	changed = l.unanswered > 0
	l.unanswered = 0
	return changed
}

// IsDuplicate reports whether a heartbeat is not newer than the latest one sent to this owner.
func (l *Liveness) IsDuplicate(r *worker.Heartbeat) bool {
	return !l.latestHeartbeat.Before(MessageSequenceOf(r))
}

// IsLatestHeartbeat reports whether no later heartbeat to this owner has arrived.
func (l *Liveness) IsLatestHeartbeat(r *worker.Heartbeat) bool {
	return l.latestHeartbeat == MessageSequenceOf(r)
}

// OfEndedEpoch reports whether a heartbeat or the response to a command is from a worker epoch whose
// lease is known to have expired. Such a message was delayed: the tasks that it lists are gone.
func (l *Liveness) OfEndedEpoch(r *worker.Heartbeat) bool { return r.WorkerEpoch <= l.endedEpoch }

// AcceptHeartbeat records a heartbeat as the latest one sent to this owner.
func (l *Liveness) AcceptHeartbeat(r *worker.Heartbeat) { l.latestHeartbeat = MessageSequenceOf(r) }

// RecordHeartbeat records the arrival of a heartbeat that is not a duplicate, and reports whether
// heartbeats were lost before.
func (l *Liveness) RecordHeartbeat(now time.Time) (changed bool) {
	l.lastHeartbeat = now
	changed = l.heartbeatsLost
	l.heartbeatsLost = false
	return changed
}

// outOfRange returns why the epoch or sequence number of a heartbeat cannot be valid, or "".
func (l *Liveness) outOfRange(r *worker.Heartbeat) string {
	latest := max(l.latest.sequence, l.latestHeartbeat.sequence)
	if r.WorkerEpoch > l.latest.epoch+maxEpochStep || r.Sequence > latest+maxSequenceStep {
		return "its numbers are out of range"
	}
	return ""
}

// LivenessTimeouts holds the timeouts after which a machine counts as out of contact.
type LivenessTimeouts struct {
	Heartbeat           time.Duration // time without a heartbeat after which heartbeats count as lost
	Contact             time.Duration // time without any state after which a machine counts as unresponsive
	UnreconciledContact time.Duration // the same for an unreconciled machine, which is sent commands continuously
}

// CheckLiveness detects that heartbeats are lost or that the machine is unresponsive, and reports
// whether either has begun.
func (m *Machine) CheckLiveness(now time.Time, timeouts LivenessTimeouts) (changed bool) {
	l := &m.Liveness
	sinceContact, sinceHeartbeat := now.Sub(l.LastContact), now.Sub(l.lastHeartbeat)
	contactLost := sinceContact > m.contactTimeout(timeouts)
	if !l.heartbeatsLost && m.Ownership.reconciled && sinceHeartbeat > timeouts.Heartbeat {
		l.heartbeatsLost, changed = true, true
		if !l.unresponsive && !contactLost {
			slog.Info("machine heartbeats missing", "machine", m.Name, "duration_s", seconds(sinceHeartbeat))
		}
	}
	if !l.unresponsive && contactLost {
		l.unresponsive, changed = true, true
		slog.Info(logline.MachineUnresponsive, "machine", m.Name, "duration_s", seconds(sinceContact))
	}
	return changed
}

// contactTimeout returns the time without any state after which the machine counts as unresponsive.
func (m *Machine) contactTimeout(timeouts LivenessTimeouts) time.Duration {
	if m.Ownership.reconciled || m.Liveness.latestHeartbeat != (MessageSequence{}) {
		return timeouts.Contact
	}
	// The owner sends commands to an unreconciled machine continuously, and the reconciliation of
	// job shards waits for its response, so the shorter timeout applies. It does not apply to a
	// machine whose heartbeats arrive here: that machine is alive, and if commands do not reach it,
	// the answers to its heartbeats reconcile it.
	return min(timeouts.Contact, timeouts.UnreconciledContact)
}
