package clusteragent

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/worker"
)

const (
	// unreconciledCommandTimeout bounds the wait for the reply to a command to a machine that is
	// not reconciled, and unreconciledRetryDelay is the delay before the next command. With the
	// client's own timeout of 2 s and a delay of a second, no command would be repeated before the
	// machine counts as unresponsive, so the loss of one message would cost all tasks on it.
	unreconciledTimeout = 700 * time.Millisecond
	unreconciledPause   = 150 * time.Millisecond
	// unresponsiveRetryDelay is the delay for unresponsive machines. With unreconciledRetryDelay,
	// four in five machines of a zone that is cut off would have a command in flight, and so a
	// connection open, at any time.
	unresponsivePause = 2 * time.Second
	// commandRetryDelay is the delay before the next command after one that failed.
	retryPause = time.Second
)

// sendCommands sends commands to the worker of one machine, one at a time, until ctx ends or the
// machine is released or deregistered.
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

// commandBatch is a message with commands that is about to be sent to a worker.
type outgoing struct {
	address  string
	token    uint64
	epoch    uint64
	commands []worker.Command
	timeout  time.Duration // 0: the client's own timeout
	pause    time.Duration // delay before the next message if this one gets no reply
}

// sendDueCommands sends the due commands and applies the machine state in the reply. It reports
// whether more commands are to be sent at once.
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

// nextCommands returns the commands that are due, if there are any and sending is allowed at now.
// They count as sent.
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

// handleCommandFailure records that a message got no reply. The message may still arrive; raising
// the token makes it harmless as soon as a heartbeat shows the raised token. The caller must hold
// a.mu.
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

// handleCommandReply applies the machine state in the reply to a message, and reports whether more
// commands are to be sent at once. The caller must hold a.mu.
func (a *Agent) commandAnswered(m *ownedMachine, out *outgoing, state *worker.Heartbeat, executed bool) bool {
	if state.Machine != m.Name || state.Address != m.Address {
		a.logMalformed(state, "received as the reply of machine "+m.Name)
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
	var executedToken uint64
	if executed {
		executedToken = out.token
	}
	if !a.applyHeartbeat(m, state, time.Now(), executedToken) && executed {
		m.FenceOvertakenStart(out.token)
	}
	if !executed && state.WorkerEpoch == out.epoch {
		m.retryAt = time.Now().Add(retryPause)
		return false
	}
	return true
}
