package clusteragent

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"robinstack/internal/logline"
	"robinstack/internal/worker"
)

const (
	// unreconciledCommandTimeout bounds the wait for the reply to a command to a machine that is
	// not reconciled, and unreconciledRetryDelay is the delay before the next command. With the
	// client's own timeout of 2 s and a delay of a second, no command would be repeated before the
	// machine counts as unresponsive, so the loss of one message would cost all tasks on it.
	unreconciledCommandTimeout = 700 * time.Millisecond
	unreconciledRetryDelay     = 150 * time.Millisecond
	// unresponsiveRetryDelay is the delay before the next command to an unresponsive machine. With
	// unreconciledRetryDelay, four in five machines of a zone that is cut off would have a command
	// in flight, and so a connection open, at any time.
	unresponsiveRetryDelay = 2 * time.Second
	// commandRetryDelay is the delay before the next command to any other machine after a command
	// failed.
	commandRetryDelay = time.Second
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
type commandBatch struct {
	sentAt time.Time
	// Under which ownership the message is sent, and how recent this controller's view of the state
	// service is, for the log.
	ownershipRev   uint64
	stateRev       uint64
	stateFreshAsOf time.Time
	address        string
	token          uint64
	epoch          uint64
	commands       []worker.Command
	timeout        time.Duration // 0: the client's own timeout
	retryDelay     time.Duration // delay before the next message if this one gets no reply
}

// sendDueCommands sends the due commands and applies the machine state in the reply. It reports
// whether more commands are to be sent at once.
func (a *Agent) sendDueCommands(ctx context.Context, m *ownedMachine) bool {
	batch, due := a.nextCommands(m)
	if !due {
		return false
	}
	if batch.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, batch.timeout)
		defer cancel()
	}
	batch.logStarts(m.Name)
	state, executed, err := a.workers.Send(ctx, batch.address, batch.token, batch.epoch, batch.commands)

	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.owns(m) {
		return false
	}
	m.SetCommandInFlight(false)
	if err != nil {
		a.handleCommandFailure(m, &batch, err)
		return false
	}
	return a.handleCommandReply(m, &batch, state, executed)
}

// nextCommands returns the commands that are due, if there are any and this controller may send them
// now. They count as sent.
func (a *Agent) nextCommands(m *ownedMachine) (batch commandBatch, due bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// Read the clock only with a.mu held: a process short of CPU time may wait for the mutex until
	// after the end of the lease grace period.
	now := time.Now()
	if a.denial(m, sendCommands, now) != "" || now.Before(m.retryAt) || !m.CommandDue(now) {
		return batch, false
	}
	commands := m.DirectCommands(now)
	a.countForgets(commands)
	if len(commands) == 0 && !m.Ownership.AwaitsToken() {
		return batch, false
	}
	m.SetCommandInFlight(true)
	batch = commandBatch{
		sentAt: now, ownershipRev: m.Ownership.Rev, stateRev: a.mirror.Rev(), stateFreshAsOf: a.mirror.FreshAsOf(),
		address: m.Address, token: m.Ownership.Token(), epoch: max(m.Liveness.Epoch(), 1),
		commands: commands, retryDelay: commandRetryDelay,
	}
	if !m.Ownership.Reconciled() {
		batch.timeout, batch.retryDelay = unreconciledCommandTimeout, unreconciledRetryDelay
	}
	if m.Liveness.Unresponsive() {
		batch.retryDelay = unresponsiveRetryDelay
	}
	return batch, true
}

// attemptsOf lists the attempts that commands of one operation name, as task:attempt.
func attemptsOf(commands []worker.Command, operation string) (attempts []string) {
	for _, c := range commands {
		if c.Op == operation {
			attempts = append(attempts, c.Task+":"+strconv.FormatUint(c.Attempt, 10))
		}
	}
	return attempts
}

// countForgets counts the forgets among commands that are sent. The caller must hold a.mu.
func (a *Agent) countForgets(commands []worker.Command) {
	for _, c := range commands {
		if c.Op == worker.OpForget {
			a.counters.Forgets++
		}
	}
}

// logStarts logs, in one line for each message that starts tasks, which ones it starts on a machine and
// under which right: ownership revision, fencing token and worker epoch.
func (b *commandBatch) logStarts(machineName string) {
	tasks := attemptsOf(b.commands, worker.OpStart)
	if len(tasks) == 0 {
		return
	}
	slog.Info(logline.TaskStartsSent, "tasks", strings.Join(tasks, " "), "machine", machineName,
		"revision", b.ownershipRev, "token", b.token, "epoch", b.epoch,
		"state_revision", b.stateRev, "state_age", b.sentAt.Sub(b.stateFreshAsOf).Round(time.Millisecond))
}

// handleCommandFailure records that a message got no reply. The message may still arrive; raising
// the token makes it harmless as soon as a heartbeat shows the raised token. The caller must hold
// a.mu.
func (a *Agent) handleCommandFailure(m *ownedMachine, batch *commandBatch, err error) {
	slog.Debug("command outcome unknown", "machine", m.Name, "token", batch.token, "err", err)
	lostBefore := m.Liveness.CommandsLost(batch.sentAt)
	m.HandleUnansweredCommand(batch.token, batch.sentAt)
	if !lostBefore && m.Liveness.CommandsLost(time.Now()) && !m.Liveness.Unresponsive() {
		slog.Info("machine commands undeliverable",
			"machine", m.Name, "failed_commands", m.Liveness.UnansweredCommands())
		a.changes.markChanged(m)
	}
	m.retryAt = time.Now().Add(batch.retryDelay)
}

// handleCommandReply applies the machine state in the reply to a message, and reports whether more
// commands are to be sent at once. The caller must hold a.mu.
func (a *Agent) handleCommandReply(m *ownedMachine, batch *commandBatch, state *worker.Heartbeat, executed bool) bool {
	if state.Machine != m.Name || state.Address != m.Address {
		a.logMalformed(state, "received as the reply of machine "+m.Name)
		m.retryAt = time.Now().Add(commandRetryDelay)
		return false
	}
	if m.Liveness.RecordCommandResponse() {
		a.changes.markChanged(m)
	}
	if !executed {
		a.counters.RejectedCommands++
		slog.Info("commands rejected by worker", "machine", m.Name, "token", batch.token, "epoch", batch.epoch,
			"seen_token", state.FencingToken, "worker_epoch", state.WorkerEpoch, "commands", len(batch.commands))
	}
	if state.FencingToken > m.Ownership.Token() {
		a.release(m)
		return false
	}
	a.applyHeartbeat(m, state, time.Now())
	if executed {
		m.FenceUnlistedStart(batch.token)
	}
	if !executed && state.WorkerEpoch == batch.epoch {
		m.retryAt = time.Now().Add(commandRetryDelay)
		return false
	}
	return true
}
