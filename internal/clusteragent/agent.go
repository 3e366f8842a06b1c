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

	claims chan claim
	learns chan struct{}

	mu       sync.Mutex
	ctx      context.Context
	machines map[string]*machine
	voided   map[agentapi.TaskRef]time.Time
	unread   map[string]bool      // jobs whose records have to be read
	learnt   chan struct{}        // closed and replaced when some were
	over     map[string]time.Time // jobs whose cancellation was seen
	told     uint64               // see seen
	odd      map[string]bool      // machines whose reports were refused, to log it once
	buried   map[string]time.Time // machines whose keys were removed lately
	shards   map[string]uint64    // shards held, with their keys' revisions
	home     []string             // those that take new machines
	claiming map[string]bool      // machines in the queue of claims
	released map[string]uint64    // machines given up, with the revision of our ownership
	visits   map[string]visit     // workers that keep coming though their owner lives
	shardsAt map[string]sight     // shards as seen last, and since when
	homeless map[int]bool         // places for which there was no home shard when a machine came
	gens     map[int]int          // how often this life had to make a shard for each place
	calledIn bool                 // whether the workers were, in the present outage
	sent     map[string]time.Time
	zoneSize map[string]int // machines of the fleet, by zone
	rooms    *rooms         // the machines by what is free on them
	sharing  sharing        // what fetches side by side cost
	parts    parts          // what classes have of the machines
	turn     int            // which of turns parts of the machines is inspected
	latest   list.List      // of *machine, in the order of their last changes
	ver      uint64
	changed  chan struct{}
	counters Counters
}

// Counters count what the paper's mechanisms did.
type Counters struct {
	Samples, Drawn, Exhausted, Commits, Conflicts uint64
}

// New returns an agent without machines.
func New(settings *config.Settings, store statekv.Store, mirror *statekv.Mirror, member *statekv.Session, workers worker.Commander, types func() map[string]cloud.MachineType) *Agent {
	return &Agent{
		settings: settings, store: store, mirror: mirror, member: member, workers: workers, types: types,
		claims: make(chan claim, 256), learns: make(chan struct{}, 1),
		machines: map[string]*machine{}, voided: map[agentapi.TaskRef]time.Time{}, unread: map[string]bool{}, learnt: make(chan struct{}), over: map[string]time.Time{}, odd: map[string]bool{}, buried: map[string]time.Time{}, claiming: map[string]bool{}, released: map[string]uint64{}, visits: map[string]visit{}, shardsAt: map[string]sight{}, gens: map[int]int{}, homeless: map[int]bool{}, sent: map[string]time.Time{}, rooms: newRooms(), changed: make(chan struct{}),
	}
}

// Run looks after the machines until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	var duties sync.WaitGroup
	duties.Go(func() { a.runClaims(ctx) })
	duties.Go(func() { a.runLearning(ctx) })
	duties.Go(func() { a.runRemovals(ctx) })
	duties.Go(func() { a.runShards(ctx) })
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

// touch marks a machine as changed for the watchers.
func (a *Agent) touch(m *machine) {
	a.ver++
	m.ver = a.ver
	if m.place == nil {
		m.place = a.latest.PushBack(m)
	} else {
		a.latest.MoveToBack(m.place)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

func (m *machine) wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// answering reports whether this controller may still act for its machines:
// a successor counts on it to fall silent in time.
func (a *Agent) answering(now time.Time) bool { return a.holdLeft(now) > 0 }

// holdLeft is how much longer it may, if it does not reach the state service again.
func (a *Agent) holdLeft(now time.Time) time.Duration {
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

// lastCall is how long before the end of the hold time the workers are asked to
// report once more.
const lastCall = 1500 * time.Millisecond

// callIn raises the tokens of all machines when the hold time is about to end: a
// worker that sees a higher token reports within half a second, so that its lease
// counts from the end of the hold time, and not from up to a report's interval
// before. An outage of the state service or a cut of the zone may be over by then.
func (a *Agent) callIn(now time.Time) {
	left := a.holdLeft(now)
	if left > lastCall || left <= 0 || a.member.HoldsLease() {
		a.calledIn = a.calledIn && left <= lastCall
		return
	}
	if a.calledIn {
		return
	}
	a.calledIn = true
	n := 0
	for _, m := range a.machines {
		if !m.gone && !m.removing && m.settled && !m.silent {
			m.counter++
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
	if reply, owned := a.ownReport(r); owned {
		return reply
	}
	// A machine of an owner whose life has just ended gets a new one at once.
	for wait := time.Now().Add(ownerWait); ; {
		rev := a.mirror.Rev()
		kv, exists := a.mirror.Get(statekv.MachinePrefix + r.Machine)
		holder, owned := shard.OwnerOf(a.mirror, kv)
		switch {
		case !exists && a.isBuried(r, now):
			return HeartbeatReply{} // a late copy: nobody answers for it any more
		case !exists:
			if home := a.zoneOwner(r, now); home != "" {
				return HeartbeatReply{RedirectTo: home}
			}
			return a.claimFor(ctx, r, 0)
		case holder == a.member.Holder:
			if !a.takeUp(kv) {
				return a.claimFor(ctx, r, kv.Rev)
			}
			reply, _ := a.ownReport(r)
			return reply
		case a.member.Alive(holder):
			if a.cannotReach(r, owned, now) {
				return a.claimFor(ctx, r, kv.Rev)
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

// claimFor claims the machine that reported and answers once it is owned.
func (a *Agent) claimFor(ctx context.Context, r *worker.Heartbeat, seen uint64) HeartbeatReply {
	done := a.claim(r.Machine, shard.MachineRecord{Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, seen)
	if done == nil {
		return HeartbeatReply{}
	}
	select {
	case <-done:
	case <-time.After(claimWait):
	case <-ctx.Done():
	}
	reply, _ := a.ownReport(r)
	return reply
}

// apply takes a report into what is known of the machine and returns whether anything
// changed; then those who follow it are told.
func (a *Agent) apply(m *machine, r *worker.Heartbeat, now time.Time, executed uint64) bool {
	if !m.apply(r, now, executed) {
		return false
	}
	m.follow(now, a.types()[m.typeName], &a.sharing)
	a.touch(m)
	a.wantLearning(m)
	return true
}

func (a *Agent) ownReport(r *worker.Heartbeat) (HeartbeatReply, bool) {
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
	if odd := m.odd(r); odd != "" {
		a.tellOdd(r, odd)
		return HeartbeatReply{Malformed: odd}, true
	}
	if !m.reported.before(serialOf(r)) {
		// A copy, however late: it renews nothing, and orders would be taken for sent.
		// Should it be a worker's present report after all, an answer without the
		// orders that are due, or after the hold time, would renew its lease.
		return HeartbeatReply{}, true
	}
	if m.toldAt = now; m.mute {
		m.mute = false
		a.touch(m)
	}
	if r.FencingToken > m.token() {
		// The worker has seen a successor's token: an answer with ours would
		// be dropped and keep the worker here while its lease runs out.
		a.release(m)
		return HeartbeatReply{RedirectTo: a.homeOf(r.Machine)}, true
	}
	if !a.answering(now) {
		return HeartbeatReply{}, true
	}
	if !a.stillOurs(m) {
		// Its successor counts on us to fall silent, whatever else keeps us answering.
		a.release(m)
		return HeartbeatReply{RedirectTo: a.homeOf(r.Machine)}, true
	}
	m.reported = serialOf(r)
	a.apply(m, r, now, 0)
	if len(a.doubtful(m)) > 0 {
		a.settleDoubt(m)
		// Meanwhile much may have come.
		if now = time.Now(); a.machines[m.name] != m || m.gone || m.removing || m.reported != serialOf(r) || !a.answering(now) {
			return HeartbeatReply{}, true
		}
	}
	m.answered(now)
	m.leased = true
	if m.pressing(now) {
		m.wake()
	}
	return HeartbeatReply{Owner: true, Answer: worker.HeartbeatResponse{FencingToken: m.token(), Commands: m.orders(now, false)}}, true
}

// tellOdd logs a report that cannot be, once for each machine. The mutex is held.
func (a *Agent) tellOdd(r *worker.Heartbeat, why string) {
	if a.odd[r.Machine] {
		return
	}
	if len(a.odd) > 1000 {
		clear(a.odd)
	}
	a.odd[r.Machine] = true
	slog.Warn("heartbeat rejected", "machine", r.Machine, "reason", why, "address", r.Address, "epoch", r.WorkerEpoch, "sequence", r.Sequence)
}

func (a *Agent) homeOf(name string) string {
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
		t.settle(agentapi.Unresolved)
		if t.seen && t.state != worker.TaskExited {
			m.over(t, time.Now(), "handed over")
		}
	}
	a.released[m.name] = m.rev
	if !m.gone { // a deleted machine whose late report another controller met has stopped already
		close(m.quit)
	}
	delete(a.machines, m.name)
	a.rooms.remove(m)
}

const (
	// unsettledQuiet is how long a machine may leave its new owner's commands
	// unanswered before it counts as silent: a command that its worker gets is
	// answered within milliseconds, and one that is lost is sent again by then.
	unsettledQuiet = 1600 * time.Millisecond
	// unsettledTry is how long such a command waits for its answer, and
	// unsettledPause the time until the next: with the client's own 2 s and a pause of
	// a second none would be sent again before the machine counts as silent, and the
	// loss of one message would cost all that runs there.
	unsettledTry   = 700 * time.Millisecond
	unsettledPause = 150 * time.Millisecond
	// silentPause is that once it counts as silent. Of a zone that is cut off, four
	// machines in five would be in a try at any moment, with a connection each.
	silentPause = 2 * time.Second
)

// longEnded is how long an ended task may stay on its machine before it is looked
// up whether its job is over. Recording what ended takes a few seconds at most
// while the state service answers.
const longEnded = 20 * time.Second

// turns is how many looks it takes until each machine has been inspected; those of
// which something is urgent are at each.
const turns = 4

// inspect does what time brings: reservations expire, silent machines are
// noticed, and tasks of unreachable workers are gone once their lease ran out.
func (a *Agent) inspect(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for ref, at := range a.voided {
		if now.Sub(at) > 15*time.Minute {
			delete(a.voided, ref)
		}
	}
	a.callIn(now)
	a.turn = (a.turn + 1) % turns
	for name, m := range a.machines {
		if m.settled && !m.silent && m.turn != a.turn {
			continue // the next time: of such a machine nothing is urgent
		}
		if m.gone {
			if now.Sub(m.heard) > 2*time.Minute {
				delete(a.machines, name)
				a.rooms.remove(m)
			}
			continue
		}
		if m.removing {
			continue // deleted: only its key is left
		}
		changed := false
		quiet := 2*a.settings.Workers.HeartbeatInterval + 2*time.Second
		if !m.settled && m.reported == (serial{}) {
			// It is being asked all the time, and slots wait for its answer. One that
			// reports here is alive, and settles by the answers to its reports where
			// commands do not reach it.
			quiet = min(quiet, unsettledQuiet)
		}
		if !m.mute && m.settled && now.Sub(m.toldAt) > a.settings.Workers.LeaseDuration*2/3 {
			m.mute, changed = true, true
			if !m.silent && now.Sub(m.heard) <= quiet {
				slog.Info("machine heartbeats missing", "machine", m.name, "duration_s", seconds(now.Sub(m.toldAt)))
			}
		}
		if !m.silent && now.Sub(m.heard) > quiet {
			m.silent, changed = true, true
			slog.Info(logline.MachineUnresponsive, "machine", m.name, "duration_s", seconds(now.Sub(m.heard)))
		}
		expired := now.Sub(m.answerEnd) > a.settings.WorkerLeaseExpiry()
		for k, t := range m.tasks {
			if t.state == worker.TaskExited && !t.forget && now.Sub(t.endedAt) > longEnded {
				// The word to forget it may have gone to an earlier owner. Its
				// job's record tells; until it is gone, the machine is not idle.
				t.endedAt, t.verify = now, true
				a.unread[t.ref.Job] = true
				a.learnSoon()
			}
			if t.state == stateHeld && now.After(t.holdUntil) || expired {
				t.settle(agentapi.Refused)
				m.drop(k)
				changed = true
			}
		}
		if expired && !m.settled {
			// Nobody can have answered this worker for longer than its lease:
			// whatever it ran for the earlier owner has ended. Late commands
			// are dead too, for the worker has moved on to its next session.
			m.settled, changed = true, true
		}
		if changed {
			a.touch(m)
		}
		if !m.settled || m.pressing(now) {
			m.wake()
		}
	}
}

// runMachine sends the commands of one machine, one at a time.
func (a *Agent) runMachine(ctx context.Context, m *machine) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.quit:
			return
		case <-m.kick:
		}
		for a.exchange(ctx, m) {
		}
	}
}

// exchange sends the commands that are due and takes the report that answers
// them. It returns whether there is more to send at once.
func (a *Agent) exchange(ctx context.Context, m *machine) bool {
	now := time.Now()
	a.mu.Lock()
	if m.gone || m.removing || a.machines[m.name] != m || now.Before(m.retryAt) || !a.answering(now) {
		a.mu.Unlock()
		return false
	}
	if !m.pressing(now) {
		a.mu.Unlock()
		return false
	}
	orders := m.orders(now, true)
	if len(orders) == 0 && !m.unfenced() {
		a.mu.Unlock()
		return false
	}
	address, token, session := m.address, m.token(), max(m.session, 1)
	pause := time.Second
	if !m.settled {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, unsettledTry)
		defer cancel()
		pause = unsettledPause
	}
	if m.silent {
		pause = silentPause
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
		m.counter++
		was := m.deaf(now)
		if m.unheard(now); !was && m.deaf(time.Now()) && !m.silent {
			slog.Info("machine commands undeliverable", "machine", m.name, "failed_commands", m.lost)
			a.touch(m)
		}
		for _, t := range m.tasks {
			if t.sent && t.sentToken == token {
				t.fence = m.token()
				if !t.seen {
					t.settle(agentapi.Unresolved)
				}
			}
		}
		m.retryAt = time.Now().Add(pause)
		return false
	}
	if report.Machine != m.name || report.Address != m.address {
		a.tellOdd(report, "it answers for machine "+m.name)
		m.retryAt = time.Now().Add(time.Second)
		return false
	}
	if m.lost > 0 {
		m.lost = 0
		a.touch(m)
	}
	if report.FencingToken > m.token() {
		a.release(m)
		return false
	}
	var proof uint64
	if executed {
		proof = token
	}
	if !a.apply(m, report, time.Now(), proof) && executed {
		// A later report overtook this answer; the next one decides.
		for _, t := range m.tasks {
			if t.sent && !t.seen && t.sentToken == token {
				m.counter++
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
