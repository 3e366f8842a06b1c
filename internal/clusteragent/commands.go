package clusteragent

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/worker"
)

const (
	// unreconciledTimeout is how long a command to a machine that is not reconciled waits
	// for its answer, and unreconciledPause the time until the next: with the client's own
	// 2 s and a pause of a second none would be sent again before the machine counts as
	// unresponsive, and the loss of one message would cost all that runs there.
	unreconciledTimeout = 700 * time.Millisecond
	unreconciledPause   = 150 * time.Millisecond
	// unresponsivePause is that once it counts as unresponsive. Of a zone that is cut off,
	// four machines in five would be in a try at any moment, with a connection each.
	unresponsivePause = 2 * time.Second
	// retryPause is the time until the next command after one that failed.
	retryPause = time.Second
)

// sendCommands sends the commands of one machine, one at a time.
func (a *Agent) sendCommands(ctx context.Context, m *ownedMachine) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.stopped:
			return
		case <-m.wakeup:
		}
		for a.sendDueCommands(ctx, m) {
		}
	}
}

// outgoing is a command that is about to be sent.
type outgoing struct {
	address  string
	token    uint64
	epoch    uint64
	commands []worker.Command
	timeout  time.Duration // 0: the client's own
	pause    time.Duration // until the next try if it has no answer
}

// sendDueCommands sends the commands that are due and takes the state that answers
// them. It returns whether there is more to send at once.
func (a *Agent) sendDueCommands(ctx context.Context, m *ownedMachine) bool {
	now := time.Now()
	out, due := a.nextCommand(m, now)
	if !due {
		return false
	}
	if out.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, out.timeout)
		defer cancel()
	}
	state, executed, err := a.workers.Send(ctx, out.address, out.token, out.epoch, out.commands)

	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.owns(m) {
		return false
	}
	if err != nil {
		a.commandUnanswered(m, &out, now, err)
		return false
	}
	return a.commandAnswered(m, &out, state, executed)
}

// nextCommand returns the command that is due, if one is and may be sent. What it holds counts
// as sent.
func (a *Agent) nextCommand(m *ownedMachine, now time.Time) (out outgoing, due bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !m.Operational() || !a.owns(m) || now.Before(m.retryAt) || !a.mayAnswer(now) {
		return out, false
	}
	if !m.CommandDue(now) {
		return out, false
	}
	commands := m.DirectCommands(now)
	if len(commands) == 0 && !m.Ownership.Unfenced() {
		return out, false
	}
	out = outgoing{
		address: m.Address, token: m.Ownership.Token(), epoch: max(m.Liveness.Epoch(), 1),
		commands: commands, pause: retryPause,
	}
	if !m.Ownership.Reconciled() {
		out.timeout, out.pause = unreconciledTimeout, unreconciledPause
	}
	if m.Liveness.Unresponsive() {
		out.pause = unresponsivePause
	}
	return out, true
}

// commandUnanswered takes in that a command had no answer: it may still arrive. A raised token
// makes it harmless as soon as a heartbeat shows it. The mutex is held.
func (a *Agent) commandUnanswered(m *ownedMachine, out *outgoing, sent time.Time, err error) {
	slog.Debug("command outcome unknown", "machine", m.Name, "err", err)
	lostBefore := m.Liveness.CommandsLost(sent)
	m.CommandUnanswered(out.token, sent)
	if !lostBefore && m.Liveness.CommandsLost(time.Now()) && !m.Liveness.Unresponsive() {
		slog.Info("machine commands undeliverable", "machine", m.Name, "failed_commands", m.Liveness.Unanswered())
		a.changes.mark(m)
	}
	m.retryAt = time.Now().Add(out.pause)
}

// commandAnswered takes in the state that answers a command, and returns whether there is more
// to send at once. The mutex is held.
func (a *Agent) commandAnswered(m *ownedMachine, out *outgoing, state *worker.Heartbeat, executed bool) bool {
	if state.Machine != m.Name || state.Address != m.Address {
		a.logMalformed(state, "it answers for machine "+m.Name)
		m.retryAt = time.Now().Add(retryPause)
		return false
	}
	if m.Liveness.NoteCommandAnswered() {
		a.changes.mark(m)
	}
	if state.FencingToken > m.Ownership.Token() {
		a.release(m)
		return false
	}
	var proof uint64
	if executed {
		proof = out.token
	}
	if !a.applyHeartbeat(m, state, time.Now(), proof) && executed {
		m.FenceOvertakenStart(out.token)
	}
	if !executed && state.WorkerEpoch == out.epoch {
		m.retryAt = time.Now().Add(retryPause)
		return false
	}
	return true
}
