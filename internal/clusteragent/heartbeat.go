package clusteragent

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// HeartbeatReply is the answer to a worker's heartbeat: commands, or where to send it instead.
type HeartbeatReply struct {
	Owner      bool // Answer holds
	Answer     worker.HeartbeatResponse
	RedirectTo string // controller to report to, if known
	Malformed  string // why it is malformed
}

const (
	// ownerWait is how long a heartbeat waits for its machine's next owner.
	ownerWait = 1500 * time.Millisecond
	// claimWait is how long it waits for a claim: the worker gives up after 4 s.
	claimWait = 3 * time.Second
)

// Heartbeat takes a worker's heartbeat.
func (a *Agent) Heartbeat(ctx context.Context, r *worker.Heartbeat) HeartbeatReply {
	now := time.Now()
	if reply, owned := a.answerOwned(r); owned {
		return reply
	}
	// A machine of an owner whose session has just ended gets a new one at once.
	for deadline := time.Now().Add(ownerWait); ; {
		rev := a.mirror.Rev()
		if reply, done := a.answerUnowned(ctx, r, now); done {
			return reply
		}
		wctx, cancel := context.WithDeadline(ctx, deadline)
		err := a.mirror.Wait(wctx, rev+1)
		cancel()
		if err != nil {
			return HeartbeatReply{}
		}
	}
}

// answerUnowned answers a heartbeat of a machine that this controller does not look after: it
// claims or adopts the machine, or names its owner. done is false while the machine's owner is
// not alive.
func (a *Agent) answerUnowned(
	ctx context.Context, r *worker.Heartbeat, now time.Time,
) (reply HeartbeatReply, done bool) {
	kv, exists := a.mirror.Get(statekv.MachinePrefix + r.Machine)
	holder, ownedRev := shard.OwnerOf(a.mirror, kv)
	switch {
	case !exists && a.isTombstoned(r.Machine, now):
		return HeartbeatReply{}, true // a late copy: nobody answers for it any more
	case !exists:
		if host := a.redirectToZone(r, now); host != "" {
			return HeartbeatReply{RedirectTo: host}, true
		}
		return a.claimAndAnswer(ctx, r, 0), true
	case holder == a.session.Holder:
		if !a.adopt(kv) {
			return a.claimAndAnswer(ctx, r, kv.Rev), true
		}
		reply, _ = a.answerOwned(r)
		return reply, true
	case a.session.Alive(holder):
		if a.countStrayVisit(r, ownedRev, now) {
			return a.claimAndAnswer(ctx, r, kv.Rev), true
		}
		return HeartbeatReply{RedirectTo: holder.Host}, true
	}
	return HeartbeatReply{}, false
}

// claimAndAnswer claims the machine that sent a heartbeat and answers once it is owned.
func (a *Agent) claimAndAnswer(ctx context.Context, r *worker.Heartbeat, replacesRev uint64) HeartbeatReply {
	key := shard.MachineRecord{Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	done := a.enqueueClaim(r.Machine, key, replacesRev)
	if done == nil {
		return HeartbeatReply{}
	}
	select {
	case <-done:
	case <-time.After(claimWait):
	case <-ctx.Done():
	}
	reply, _ := a.answerOwned(r)
	return reply
}

// answerOwned answers a heartbeat of a machine that this controller looks after; owned is false
// where it does not.
func (a *Agent) answerOwned(r *worker.Heartbeat) (reply HeartbeatReply, owned bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// Not before: in a starved process a heartbeat may have waited here for seconds,
	// while others of the same worker were answered.
	now := time.Now()
	m := a.machines[r.Machine]
	if m == nil {
		return HeartbeatReply{}, false
	}
	if reply, rejected := a.rejectHeartbeat(m, r, now); rejected {
		return reply, true
	}
	m.Liveness.AcceptHeartbeat(r)
	a.applyHeartbeat(m, r, now, 0)
	if len(a.unverifiedTasks(m)) > 0 {
		a.verifyTasks(m)
		// Meanwhile much may have come.
		now = time.Now()
		if !a.owns(m) || !m.Operational() || !m.Liveness.IsLatestHeartbeat(r) || !a.mayAnswer(now) {
			return HeartbeatReply{}, true
		}
	}
	m.Ownership.NoteAnswer(now)
	if m.CommandDue(now) {
		m.wake()
	}
	answer := worker.HeartbeatResponse{FencingToken: m.Ownership.Token(), Commands: m.AnswerCommands(now)}
	return HeartbeatReply{Owner: true, Answer: answer}, true
}

// rejectHeartbeat returns the answer to a heartbeat that renews no lease here. The mutex is
// held.
func (a *Agent) rejectHeartbeat(
	m *ownedMachine, r *worker.Heartbeat, now time.Time,
) (reply HeartbeatReply, rejected bool) {
	if !m.Operational() {
		return HeartbeatReply{}, true
	}
	if why := m.Malformed(r); why != "" {
		a.logMalformed(r, why)
		return HeartbeatReply{Malformed: why}, true
	}
	if m.Liveness.Duplicate(r) {
		// A copy, however late: it renews nothing, and commands would be taken for sent.
		// Should it be a worker's present heartbeat after all, an answer without the
		// commands that are due, or after the lease grace period, would renew its lease.
		return HeartbeatReply{}, true
	}
	if m.Liveness.NoteHeartbeat(now) {
		a.changes.mark(m)
	}
	if r.FencingToken > m.Ownership.Token() {
		// The worker has seen a successor's token: an answer with ours would
		// be dropped and keep the worker here while its lease runs out.
		a.release(m)
		return HeartbeatReply{RedirectTo: a.ownerHostOf(r.Machine)}, true
	}
	if !a.mayAnswer(now) {
		return HeartbeatReply{}, true
	}
	if !a.stillOurs(m) {
		// Its successor counts on us to stop, whatever else keeps us answering.
		a.release(m)
		return HeartbeatReply{RedirectTo: a.ownerHostOf(r.Machine)}, true
	}
	return HeartbeatReply{}, false
}

// applyHeartbeat takes a heartbeat, or the answer to a command, into what is known of the
// machine and returns whether anything changed; then those who watch it are told. The mutex is
// held.
func (a *Agent) applyHeartbeat(m *ownedMachine, r *worker.Heartbeat, now time.Time, executed uint64) bool {
	if !m.Apply(r, now, executed) {
		return false
	}
	m.TrackFetches(now, a.types()[m.Type], &a.contention)
	a.changes.mark(m)
	a.lookUpJobs(m)
	return true
}

// maxMalformedLogged bounds the machines whose rejected heartbeats are remembered.
const maxMalformedLogged = 1000

// logMalformed logs a heartbeat that cannot be, once for each machine. The mutex is held.
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

// ownerHostOf returns the living owner of a machine, or "" if it is not another controller.
func (a *Agent) ownerHostOf(name string) string {
	kv, ok := a.mirror.Get(statekv.MachinePrefix + name)
	holder, _ := shard.OwnerOf(a.mirror, kv)
	if !ok || holder.Host == a.session.Host || !a.session.Alive(holder) {
		return ""
	}
	return holder.Host
}

// stillOurs reports whether a machine is ours by the keys that the mirror shows. While this
// controller is certain of its lease that is looked after all the time (reconcileOwnership).
func (a *Agent) stillOurs(m *ownedMachine) bool {
	if a.session.HoldsLease() {
		return true
	}
	kv, ok := a.mirror.Get(statekv.MachinePrefix + m.Name)
	holder, rev := shard.OwnerOf(a.mirror, kv)
	return ok && holder == a.session.Holder && rev <= m.Ownership.Rev
}
