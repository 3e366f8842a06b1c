// Package clusteragent looks after the machines that a controller owns: it answers
// sampling requests, commits tasks with reserve-lock-check, passes commands to
// the workers and keeps track of what their reports show.
package clusteragent

import (
	"container/list"
	"context"
	"log/slog"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/logline"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// Agent owns machines. Its mutex guards all its state and is never held over I/O.
type Agent struct {
	settings *config.Settings
	store    statekv.Store
	mirror   *statekv.Mirror
	member   *statekv.Session
	workers  worker.Commander
	types    func() map[string]cloud.MachineType

	// LastEntry tells what an earlier owner showed of a machine.
	LastEntry func(machine string) agentapi.MachineEntry

	// AcknowledgedUntil is Feed.AcknowledgedUntil, nil: nobody can tell.
	AcknowledgedUntil func(rev uint64) time.Time

	claimQueue   chan machineClaim
	lookupWanted chan struct{}

	mu                  sync.Mutex
	ctx                 context.Context
	machines            map[string]*machine
	resolvedAttempts    map[agentapi.TaskRef]time.Time
	unreadJobs          map[string]bool          // jobs whose records have to be read
	lookupDone          chan struct{}            // closed and replaced when some were
	cancelledJobs       map[string]time.Time     // jobs whose cancellation was seen
	acknowledgedRev     uint64                   // see seen
	malformedLogged     map[string]bool          // machines whose reports were refused, to log it once
	tombstones          map[string]time.Time     // machines whose keys were removed lately
	heldShardRevs       map[string]uint64        // shards held, with their keys' revisions
	intakeShards        []string                 // those that take new machines
	claimsPending       map[string]bool          // machines in the queue of claims
	releasedRevs        map[string]uint64        // machines given up, with the revision of our ownership
	visits              map[string]strayVisits   // workers that keep coming though their owner lives
	shardSightings      map[string]shardSighting // shards as seen last, and since when
	missingIntake       map[int]bool             // places for which there was no home shard when a machine came
	shardGenerations    map[int]int              // how often this life had to make a shard for each place
	heartbeatsSolicited bool                     // whether the workers were, in the present outage
	redirectedAt        map[string]time.Time
	machinesPerZone     map[string]int  // machines of the fleet, by zone
	capacityIndex       *capacityIndex  // the machines by what is free on them
	fetchContention     fetchContention // what fetches side by side cost
	fairShare           fairShare       // what classes have of the machines
	inspectionTurn      int             // which of turns parts of the machines is inspected
	changeOrder         list.List       // of *machine, in the order of their last changes
	version             uint64
	changed             chan struct{}
	counters            Counters
}

// Counters count what the paper's mechanisms did.
type Counters struct {
	Samples, Drawn, Exhausted, Commits, Conflicts uint64
}

// New returns an agent without machines.
func New(settings *config.Settings, store statekv.Store, mirror *statekv.Mirror, member *statekv.Session, workers worker.Commander, types func() map[string]cloud.MachineType) *Agent {
	return &Agent{
		settings: settings, store: store, mirror: mirror, member: member, workers: workers, types: types,
		claimQueue: make(chan machineClaim, 256), lookupWanted: make(chan struct{}, 1),
		machines: map[string]*machine{}, resolvedAttempts: map[agentapi.TaskRef]time.Time{}, unreadJobs: map[string]bool{}, lookupDone: make(chan struct{}), cancelledJobs: map[string]time.Time{}, malformedLogged: map[string]bool{}, tombstones: map[string]time.Time{}, claimsPending: map[string]bool{}, releasedRevs: map[string]uint64{}, visits: map[string]strayVisits{}, shardSightings: map[string]shardSighting{}, shardGenerations: map[int]int{}, missingIntake: map[int]bool{}, redirectedAt: map[string]time.Time{}, capacityIndex: newCapacityIndex(), changed: make(chan struct{}),
	}
}

// Run looks after the machines until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	var duties sync.WaitGroup
	duties.Go(func() { a.runClaims(ctx) })
	duties.Go(func() { a.runLookups(ctx) })
	duties.Go(func() { a.runKeyRemoval(ctx) })
	duties.Go(func() { a.runShardOwnership(ctx) })
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		a.inspect(time.Now())
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	duties.Wait()
}

// markChanged marks a machine as changed for the watchers.
func (a *Agent) markChanged(m *machine) {
	a.version++
	m.version = a.version
	if m.changeElement == nil {
		m.changeElement = a.changeOrder.PushBack(m)
	} else {
		a.changeOrder.MoveToBack(m.changeElement)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

func (m *machine) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// mayAnswer reports whether this controller may still act for its machines:
// a successor counts on it to fall silent in time.
func (a *Agent) mayAnswer(now time.Time) bool { return a.leaseGraceLeft(now) > 0 }

// leaseGraceLeft is how much longer it may, if it does not reach the state service again.
func (a *Agent) leaseGraceLeft(now time.Time) time.Duration {
	known := a.member.LastRenewal()
	if fresh := a.mirror.FreshAsOf(); fresh.Before(known) {
		known = fresh
	}
	hold := a.settings.LeaseGracePeriod()
	if left := hold - now.Sub(known); left > hold*3/4 || a.AcknowledgedUntil == nil {
		return left
	}
	// In an outage that all meet nobody can tell a user anything new, and they all say so.
	if told := a.AcknowledgedUntil(a.mirror.Rev()); told.After(known) {
		known = told
	}
	return hold - now.Sub(known)
}

// solicitBefore is how long before the end of the hold time the workers are asked to
// report once more.
const solicitBefore = 1500 * time.Millisecond

// solicitHeartbeats raises the tokens of all machines when the hold time is about to end: a
// worker that sees a higher token reports within half a second, so that its lease
// counts from the end of the hold time, and not from up to a report's interval
// before. An outage of the state service or a cut of the zone may be over by then.
func (a *Agent) solicitHeartbeats(now time.Time) {
	left := a.leaseGraceLeft(now)
	if left > solicitBefore || left <= 0 || a.member.HoldsLease() {
		a.heartbeatsSolicited = a.heartbeatsSolicited && left <= solicitBefore
		return
	}
	if a.heartbeatsSolicited {
		return
	}
	a.heartbeatsSolicited = true
	n := 0
	for _, m := range a.machines {
		if !m.gone && !m.removing && m.reconciled && !m.unresponsive {
			m.tokenCounter++
			m.wake()
			n++
		}
	}
	slog.Info("heartbeats solicited", "machines", n)
}

// HeartbeatReply is the answer to a worker's report: orders, or where to report instead.
type HeartbeatReply struct {
	Owner      bool
	Answer     worker.HeartbeatResponse
	RedirectTo string // controller to report to, if known
	Malformed  string // why it is malformed
}

// Heartbeat takes a worker's report.
func (a *Agent) Heartbeat(ctx context.Context, r *worker.Heartbeat) HeartbeatReply {
	now := time.Now()
	if reply, owned := a.answerOwned(r); owned {
		return reply
	}
	// A machine of an owner whose life has just ended gets a new one at once.
	for wait := time.Now().Add(ownerWait); ; {
		rev := a.mirror.Rev()
		kv, exists := a.mirror.Get(statekv.MachinePrefix + r.Machine)
		holder, owned := shard.OwnerOf(a.mirror, kv)
		switch {
		case !exists && a.isTombstoned(r, now):
			return HeartbeatReply{} // a late copy: nobody answers for it any more
		case !exists:
			if home := a.redirectToZone(r, now); home != "" {
				return HeartbeatReply{RedirectTo: home}
			}
			return a.claimAndAnswer(ctx, r, 0)
		case holder == a.member.Holder:
			if !a.adopt(kv) {
				return a.claimAndAnswer(ctx, r, kv.Rev)
			}
			reply, _ := a.answerOwned(r)
			return reply
		case a.member.Alive(holder):
			if a.countStrayVisit(r, owned, now) {
				return a.claimAndAnswer(ctx, r, kv.Rev)
			}
			return HeartbeatReply{RedirectTo: holder.Host}
		}
		wctx, cancel := context.WithDeadline(ctx, wait)
		err := a.mirror.Wait(wctx, rev+1)
		cancel()
		if err != nil {
			return HeartbeatReply{}
		}
	}
}

// ownerWait is how long a report waits for its machine's next owner, and
// claimWait how long for a claim: the worker gives up after 4 s.
const (
	ownerWait = 1500 * time.Millisecond
	claimWait = 3 * time.Second
)

// claimAndAnswer claims the machine that reported and answers once it is owned.
func (a *Agent) claimAndAnswer(ctx context.Context, r *worker.Heartbeat, seen uint64) HeartbeatReply {
	done := a.enqueueClaim(r.Machine, shard.MachineRecord{Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, seen)
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

// applyHeartbeat takes a report into what is known of the machine and returns whether anything
// changed; then those who follow it are told.
func (a *Agent) applyHeartbeat(m *machine, r *worker.Heartbeat, now time.Time, executed uint64) bool {
	if !m.apply(r, now, executed) {
		return false
	}
	m.trackFetches(now, a.types()[m.typeName], &a.fetchContention)
	a.markChanged(m)
	a.lookUpJobs(m)
	return true
}

func (a *Agent) answerOwned(r *worker.Heartbeat) (HeartbeatReply, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// Not before: in a starved process a report may have waited here for seconds,
	// while others of the same worker were answered.
	now := time.Now()
	m := a.machines[r.Machine]
	if m == nil {
		return HeartbeatReply{}, false
	}
	if m.gone || m.removing {
		return HeartbeatReply{}, true
	}
	if odd := m.malformed(r); odd != "" {
		a.logMalformed(r, odd)
		return HeartbeatReply{Malformed: odd}, true
	}
	if !m.latestArrival.before(serialOf(r)) {
		// A copy, however late: it renews nothing, and orders would be taken for sent.
		// Should it be a worker's present report after all, an answer without the
		// orders that are due, or after the hold time, would renew its lease.
		return HeartbeatReply{}, true
	}
	if m.lastArrival = now; m.heartbeatsLost {
		m.heartbeatsLost = false
		a.markChanged(m)
	}
	if r.FencingToken > m.token() {
		// The worker has seen a successor's token: an answer with ours would
		// be dropped and keep the worker here while its lease runs out.
		a.release(m)
		return HeartbeatReply{RedirectTo: a.ownerHostOf(r.Machine)}, true
	}
	if !a.mayAnswer(now) {
		return HeartbeatReply{}, true
	}
	if !a.stillOurs(m) {
		// Its successor counts on us to fall silent, whatever else keeps us answering.
		a.release(m)
		return HeartbeatReply{RedirectTo: a.ownerHostOf(r.Machine)}, true
	}
	m.latestArrival = serialOf(r)
	a.applyHeartbeat(m, r, now, 0)
	if len(a.unverifiedTasks(m)) > 0 {
		a.verifyTasks(m)
		// Meanwhile much may have come.
		if now = time.Now(); a.machines[m.name] != m || m.gone || m.removing || m.latestArrival != serialOf(r) || !a.mayAnswer(now) {
			return HeartbeatReply{}, true
		}
	}
	m.noteAnswer(now)
	m.heartbeatAnswered = true
	if m.commandDue(now) {
		m.wake()
	}
	return HeartbeatReply{Owner: true, Answer: worker.HeartbeatResponse{FencingToken: m.token(), Commands: m.dueCommands(now, false)}}, true
}

// logMalformed logs a report that cannot be, once for each machine. The mutex is held.
func (a *Agent) logMalformed(r *worker.Heartbeat, why string) {
	if a.malformedLogged[r.Machine] {
		return
	}
	if len(a.malformedLogged) > 1000 {
		clear(a.malformedLogged)
	}
	a.malformedLogged[r.Machine] = true
	slog.Warn("heartbeat rejected", "machine", r.Machine, "reason", why, "address", r.Address, "epoch", r.WorkerEpoch, "sequence", r.Sequence)
}

func (a *Agent) ownerHostOf(name string) string {
	kv, ok := a.mirror.Get(statekv.MachinePrefix + name)
	holder, _ := shard.OwnerOf(a.mirror, kv)
	if !ok || holder.Host == a.member.Host || !a.member.Alive(holder) {
		return ""
	}
	return holder.Host
}

// release gives up a machine that a successor owns.
func (a *Agent) release(m *machine) {
	if a.machines[m.name] != m {
		return
	}
	slog.Info("machine ownership lost", "machine", m.name)
	for _, t := range m.tasks {
		t.resolve(agentapi.Unresolved)
		if t.listed && t.state != worker.TaskExited {
			m.logFinished(t, time.Now(), "handed over")
		}
	}
	a.releasedRevs[m.name] = m.ownershipRev
	if !m.gone { // a deleted machine whose late report another controller met has stopped already
		close(m.stopped)
	}
	delete(a.machines, m.name)
	a.capacityIndex.remove(m)
}

const (
	// unreconciledQuiet is how long a machine may leave its new owner's commands
	// unanswered before it counts as silent: a command that its worker gets is
	// answered within milliseconds, and one that is lost is sent again by then.
	unreconciledQuiet = 1600 * time.Millisecond
	// unreconciledTimeout is how long such a command waits for its answer, and
	// unreconciledPause the time until the next: with the client's own 2 s and a pause of
	// a second none would be sent again before the machine counts as silent, and the
	// loss of one message would cost all that runs there.
	unreconciledTimeout = 700 * time.Millisecond
	unreconciledPause   = 150 * time.Millisecond
	// unresponsivePause is that once it counts as silent. Of a zone that is cut off, four
	// machines in five would be in a try at any moment, with a connection each.
	unresponsivePause = 2 * time.Second
)

// endedRecheckAfter is how long an ended task may stay on its machine before it is looked
// up whether its job is over. Recording what ended takes a few seconds at most
// while the state service answers.
const endedRecheckAfter = 20 * time.Second

// inspectionTurns is how many looks it takes until each machine has been inspected; those of
// which something is urgent are at each.
const inspectionTurns = 4

// inspect does what time brings: reservations expire, silent machines are
// noticed, and tasks of unreachable workers are gone once their lease ran out.
func (a *Agent) inspect(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for ref, at := range a.resolvedAttempts {
		if now.Sub(at) > 15*time.Minute {
			delete(a.resolvedAttempts, ref)
		}
	}
	a.solicitHeartbeats(now)
	a.inspectionTurn = (a.inspectionTurn + 1) % inspectionTurns
	for name, m := range a.machines {
		if m.reconciled && !m.unresponsive && m.inspectionTurn != a.inspectionTurn {
			continue // the next time: of such a machine nothing is urgent
		}
		if m.gone {
			if now.Sub(m.lastHeartbeat) > 2*time.Minute {
				delete(a.machines, name)
				a.capacityIndex.remove(m)
			}
			continue
		}
		if m.removing {
			continue // deleted: only its key is left
		}
		changed := false
		quiet := 2*a.settings.Workers.HeartbeatInterval + 2*time.Second
		if !m.reconciled && m.latestArrival == (heartbeatSerial{}) {
			// It is being asked all the time, and slots wait for its answer. One that
			// reports here is alive, and settles by the answers to its reports where
			// commands do not reach it.
			quiet = min(quiet, unreconciledQuiet)
		}
		if !m.heartbeatsLost && m.reconciled && now.Sub(m.lastArrival) > a.settings.Workers.LeaseDuration*2/3 {
			m.heartbeatsLost, changed = true, true
			if !m.unresponsive && now.Sub(m.lastHeartbeat) <= quiet {
				slog.Info("machine heartbeats missing", "machine", m.name, "duration_s", seconds(now.Sub(m.lastArrival)))
			}
		}
		if !m.unresponsive && now.Sub(m.lastHeartbeat) > quiet {
			m.unresponsive, changed = true, true
			slog.Info(logline.MachineUnresponsive, "machine", m.name, "duration_s", seconds(now.Sub(m.lastHeartbeat)))
		}
		expired := now.Sub(m.lastAnswerBound) > a.settings.WorkerLeaseExpiry()
		for k, t := range m.tasks {
			if t.state == worker.TaskExited && !t.forgetRequested && now.Sub(t.endedAt) > endedRecheckAfter {
				// The word to forget it may have gone to an earlier owner. Its
				// job's record tells; until it is gone, the machine is not idle.
				t.endedAt, t.verifyJob = now, true
				a.unreadJobs[t.ref.Job] = true
				a.triggerLookup()
			}
			if t.state == stateReserved && now.After(t.reservedUntil) || expired {
				t.resolve(agentapi.Refused)
				m.removeTask(k)
				changed = true
			}
		}
		if expired && !m.reconciled {
			// Nobody can have answered this worker for longer than its lease:
			// whatever it ran for the earlier owner has ended. Late commands
			// are dead too, for the worker has moved on to its next session.
			m.reconciled, changed = true, true
		}
		if changed {
			a.markChanged(m)
		}
		if !m.reconciled || m.commandDue(now) {
			m.wake()
		}
	}
}

// sendCommands sends the commands of one machine, one at a time.
func (a *Agent) sendCommands(ctx context.Context, m *machine) {
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

// sendDueCommands sends the commands that are due and takes the report that answers
// them. It returns whether there is more to send at once.
func (a *Agent) sendDueCommands(ctx context.Context, m *machine) bool {
	now := time.Now()
	a.mu.Lock()
	if m.gone || m.removing || a.machines[m.name] != m || now.Before(m.retryAt) || !a.mayAnswer(now) {
		a.mu.Unlock()
		return false
	}
	if !m.commandDue(now) {
		a.mu.Unlock()
		return false
	}
	orders := m.dueCommands(now, true)
	if len(orders) == 0 && !m.unfenced() {
		a.mu.Unlock()
		return false
	}
	address, token, session := m.address, m.token(), max(m.workerEpoch, 1)
	pause := time.Second
	if !m.reconciled {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, unreconciledTimeout)
		defer cancel()
		pause = unreconciledPause
	}
	if m.unresponsive {
		pause = unresponsivePause
	}
	a.mu.Unlock()

	report, executed, err := a.workers.Send(ctx, address, token, session, orders)

	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machines[m.name] != m {
		return false
	}
	if err != nil {
		// The commands may still arrive. A raised token makes them harmless
		// as soon as a report shows it.
		slog.Debug("command outcome unknown", "machine", m.name, "err", err)
		m.tokenCounter++
		was := m.commandsLost(now)
		if m.noteUnanswered(now); !was && m.commandsLost(time.Now()) && !m.unresponsive {
			slog.Info("machine commands undeliverable", "machine", m.name, "failed_commands", m.unansweredCommands)
			a.markChanged(m)
		}
		for _, t := range m.tasks {
			if t.startSent && t.startToken == token {
				t.fenceToken = m.token()
				if !t.listed {
					t.resolve(agentapi.Unresolved)
				}
			}
		}
		m.retryAt = time.Now().Add(pause)
		return false
	}
	if report.Machine != m.name || report.Address != m.address {
		a.logMalformed(report, "it answers for machine "+m.name)
		m.retryAt = time.Now().Add(time.Second)
		return false
	}
	if m.unansweredCommands > 0 {
		m.unansweredCommands = 0
		a.markChanged(m)
	}
	if report.FencingToken > m.token() {
		a.release(m)
		return false
	}
	var proof uint64
	if executed {
		proof = token
	}
	if !a.applyHeartbeat(m, report, time.Now(), proof) && executed {
		// A later report overtook this answer; the next one decides.
		for _, t := range m.tasks {
			if t.startSent && !t.listed && t.startToken == token {
				m.tokenCounter++
				break
			}
		}
	}
	if !executed && report.WorkerEpoch == session {
		m.retryAt = time.Now().Add(time.Second)
		return false
	}
	return true
}
