package clusteragent

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// HeartbeatReply is the reply to a worker's heartbeat: commands, or the controller to contact
// instead.
type HeartbeatReply struct {
	Accepted   bool // this controller accepts the heartbeat, and Answer is valid
	Answer     worker.HeartbeatResponse
	RedirectTo string // host of the controller to report to; "" if unknown
	Malformed  string // why the heartbeat is malformed; "" if it is not
}

const (
	// ownerWaitTimeout bounds how long a heartbeat waits for the next owner of its machine.
	ownerWaitTimeout = 1500 * time.Millisecond
	// claimWaitTimeout bounds how long a heartbeat waits for the claim of its machine. The worker
	// gives up after 4 s.
	claimWaitTimeout = 3 * time.Second
)

// Heartbeat handles a worker's heartbeat and returns the reply.
func (a *Agent) Heartbeat(ctx context.Context, r *worker.Heartbeat) HeartbeatReply {
	now := time.Now()
	if reply, owned := a.answerOwned(r); owned {
		return reply
	}
	// If the session of the machine's owner has just ended, wait for the takeover by the successor.
	for deadline := time.Now().Add(ownerWaitTimeout); ; {
		rev := a.mirror.Rev()
		if reply, done := a.answerUnowned(ctx, r, now); done {
			return reply
		}
		waitCtx, cancel := context.WithDeadline(ctx, deadline)
		err := a.mirror.Wait(waitCtx, rev+1)
		cancel()
		if err != nil {
			return HeartbeatReply{}
		}
	}
}

// answerUnowned answers a heartbeat of a machine that this controller does not manage: it claims or
// adopts the machine, or redirects the worker to the owner. done is false if the owner is not
// alive.
func (a *Agent) answerUnowned(
	ctx context.Context, r *worker.Heartbeat, now time.Time,
) (reply HeartbeatReply, done bool) {
	kv, exists := a.mirror.Get(statekv.MachinePrefix + r.Machine)
	holder, ownershipRev := shard.OwnerOf(a.mirror, kv)
	switch {
	case !exists && a.isTombstoned(r.Machine, now):
		return HeartbeatReply{}, true // late copy from a deregistered machine: not answered
	case !exists:
		if host := a.redirectToZone(r, now); host != "" {
			return HeartbeatReply{RedirectTo: host}, true
		}
		return a.claimAndAnswer(ctx, r, 0), true
	case holder == a.session.Holder:
		if !a.adoptMachine(kv) {
			return a.claimAndAnswer(ctx, r, kv.Rev), true
		}
		reply, _ = a.answerOwned(r)
		return reply, true
	case a.session.Alive(holder):
		if a.recordMisdirectedHeartbeat(r, ownershipRev, now) {
			return a.claimAndAnswer(ctx, r, kv.Rev), true
		}
		return HeartbeatReply{RedirectTo: holder.Host}, true
	}
	return HeartbeatReply{}, false
}

// claimAndAnswer claims the machine that sent a heartbeat and answers the heartbeat after the
// attempt.
func (a *Agent) claimAndAnswer(ctx context.Context, r *worker.Heartbeat, replacesRev uint64) HeartbeatReply {
	key := shard.MachineRecord{Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	done := a.enqueueClaim(r.Machine, key, replacesRev)
	if done == nil {
		return HeartbeatReply{}
	}
	select {
	case <-done:
	case <-time.After(claimWaitTimeout):
	case <-ctx.Done():
	}
	reply, _ := a.answerOwned(r)
	return reply
}

// answerOwned answers a heartbeat of a machine that this controller manages. owned is false if it
// does not manage the machine.
func (a *Agent) answerOwned(r *worker.Heartbeat) (reply HeartbeatReply, owned bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// Read the clock only with a.mu held: in a process short of CPU time, a heartbeat may wait for
	// the mutex for seconds, while later heartbeats of the same worker are answered.
	now := time.Now()
	m := a.machines[r.Machine]
	if m == nil {
		return HeartbeatReply{}, false
	}
	if reply, rejected := a.rejectHeartbeat(m, r, now); rejected {
		return reply, true
	}
	m.Liveness.AcceptHeartbeat(r)
	a.applyHeartbeat(m, r, now)
	if len(a.unverifiedTasks(m)) > 0 {
		a.verifyTasks(m)
		// verifyTasks releases a.mu while it waits, so the preconditions have to be checked again.
		now = time.Now()
		if a.denial(m, answerHeartbeat, now) != "" || !m.Liveness.IsLatestHeartbeat(r) {
			return HeartbeatReply{}, true
		}
	}
	m.Ownership.RecordAnswer(now)
	if m.CommandDue(now) {
		m.wakeSender()
	}
	return HeartbeatReply{Accepted: true, Answer: a.heartbeatAnswer(m, now)}, true
}

// heartbeatAnswer returns the answer to a heartbeat and records the forgets in it. The caller must hold
// a.mu.
func (a *Agent) heartbeatAnswer(m *ownedMachine, now time.Time) worker.HeartbeatResponse {
	tokenBefore := m.Ownership.Token()
	// A worker sends a heartbeat for a raised token once per half of its lease. Without the session's
	// lease, that one is left to solicitHeartbeats.
	answer := m.HeartbeatAnswer(now, a.session.HoldsLease())
	a.countForgets(answer.Commands)
	if answer.FencingToken != tokenBefore {
		a.counters.TokenRaises++
		slog.Info("fencing token raised for forgets", "machine", m.Name, "token", answer.FencingToken,
			"previous_token", tokenBefore, "epoch", m.Liveness.Epoch(),
			"tasks", strings.Join(attemptsOf(answer.Commands, worker.OpForget), " "))
	}
	return answer
}

// rejectHeartbeat returns the reply to a heartbeat that must not renew the worker's lease here.
// rejected is false if the heartbeat can be accepted. The caller must hold a.mu.
func (a *Agent) rejectHeartbeat(
	m *ownedMachine, r *worker.Heartbeat, now time.Time,
) (reply HeartbeatReply, rejected bool) {
	if a.machineDenial(m, answerHeartbeat) != "" {
		return HeartbeatReply{}, true
	}
	if why := m.MalformedReason(r); why != "" {
		a.logMalformed(r, why)
		return HeartbeatReply{Malformed: why}, true
	}
	if m.Liveness.IsDuplicate(r) {
		// An empty reply to a duplicate renews no lease, and no command counts as sent with it. If
		// the worker is in fact still waiting for the reply to this heartbeat, a reply without the
		// due commands, or one after the lease grace period, would wrongly renew its lease.
		return HeartbeatReply{}, true
	}
	if m.Liveness.OfEndedEpoch(r) {
		return HeartbeatReply{}, true // a delayed copy, which proves nothing and must renew no lease
	}
	if m.Liveness.RecordHeartbeat(now) {
		a.changes.markChanged(m)
	}
	if r.FencingToken > m.Ownership.Token() {
		// The worker has seen a successor's token. It would drop a reply with the token of this
		// controller and keep reporting here until its lease runs out.
		a.release(m)
		return HeartbeatReply{RedirectTo: a.ownerHostOf(r.Machine)}, true
	}
	if a.controllerDenial(answerHeartbeat, now) != "" {
		return HeartbeatReply{}, true
	}
	if !a.stillOwned(m) {
		// The successor relies on this controller to stop answering, even if its lease grace period
		// goes on.
		a.release(m)
		return HeartbeatReply{RedirectTo: a.ownerHostOf(r.Machine)}, true
	}
	return HeartbeatReply{}, false
}

// applyHeartbeat applies a heartbeat, or the reply to a command, to the machine's state. If anything
// changed, it also notifies the watchers. The caller must hold a.mu.
func (a *Agent) applyHeartbeat(m *ownedMachine, r *worker.Heartbeat, now time.Time) {
	if !m.Apply(r, now) {
		return
	}
	m.TrackFetches(now, a.types()[m.Type], &a.contention)
	a.changes.markChanged(m)
	a.requestLookups(m)
}

// maxMalformedLogged bounds the record of machines whose rejected heartbeats have been logged.
const maxMalformedLogged = 1000

// logMalformed logs a rejected heartbeat, once per machine. The caller must hold a.mu.
func (a *Agent) logMalformed(r *worker.Heartbeat, why string) {
	if a.malformed[r.Machine] {
		return
	}
	if len(a.malformed) > maxMalformedLogged {
		clear(a.malformed)
	}
	a.malformed[r.Machine] = true
	slog.Warn("heartbeat rejected", "machine", r.Machine, "reason", why, "address", r.Address,
		"epoch", r.WorkerEpoch, "sequence", r.Sequence)
}

// ownerHostOf returns the host of the machine's owner if that is another controller that is alive,
// or "".
func (a *Agent) ownerHostOf(name string) string {
	kv, ok := a.mirror.Get(statekv.MachinePrefix + name)
	holder, _ := shard.OwnerOf(a.mirror, kv)
	if !ok || holder.Host == a.session.Host || !a.session.Alive(holder) {
		return ""
	}
	return holder.Host
}
