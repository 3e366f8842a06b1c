// Package agent looks after the machines that a controller owns: it answers
// sampling requests, commits tasks with reserve-lock-check, passes commands to
// the workers and keeps track of what their reports show.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"log/slog"
	"strings"
	"sync"
	"time"

	"robinstack/cloud"
	"robinstack/config"
	"robinstack/job"
	"robinstack/statekv"
	"robinstack/worker"
)

// MachineKey is what a machine's key in the state service holds.
type MachineKey struct {
	statekv.Holder
	Address string `json:"address"`
	Type    string `json:"type"`
	Zone    string `json:"zone"`
	Spot    bool   `json:"spot"`
}

// ParseKey reads a machine's key for the mirror, once for all who look at it.
func ParseKey(key string, value json.RawMessage) any {
	var k MachineKey
	if !strings.HasPrefix(key, statekv.MachinePrefix) || json.Unmarshal(value, &k) != nil {
		return nil
	}
	return &k
}

// KeyOf returns what a machine's key holds, or nil if it cannot be read.
func KeyOf(kv statekv.KV) *MachineKey {
	if k, ok := kv.Parsed.(*MachineKey); ok {
		return k
	}
	k, _ := ParseKey(kv.Key, kv.Value).(*MachineKey)
	return k
}

// Agent owns machines. Its mutex guards all its state and is never held over I/O.
type Agent struct {
	settings *config.Settings
	store    statekv.Store
	mirror   *statekv.Mirror
	member   *statekv.Member
	workers  worker.Commander
	types    func() map[string]cloud.MachineType

	// Images tells what an earlier owner knew of a machine's images.
	Images func(machine string) []string

	claims chan claim
	learns chan struct{}

	mu       sync.Mutex
	ctx      context.Context
	machines map[string]*machine
	voided   map[TaskRef]time.Time
	unread   map[string]bool  // jobs whose records have to be read
	visits   map[string]visit // workers that keep coming though their owner lives
	ver      uint64
	changed  chan struct{}
	counters Counters
}

// Counters count what the paper's mechanisms did.
type Counters struct {
	Samples, Drawn, Exhausted, Commits, Conflicts uint64
}

type visit struct {
	count int
	last  time.Time
}

type claim struct {
	name string
	key  MachineKey
	seen uint64 // revision of the key that the claim replaces
	done chan struct{}
}

// New returns an agent without machines.
func New(settings *config.Settings, store statekv.Store, mirror *statekv.Mirror, member *statekv.Member, workers worker.Commander, types func() map[string]cloud.MachineType) *Agent {
	return &Agent{
		settings: settings, store: store, mirror: mirror, member: member, workers: workers, types: types,
		claims: make(chan claim, 256), learns: make(chan struct{}, 1),
		machines: map[string]*machine{}, voided: map[TaskRef]time.Time{}, unread: map[string]bool{}, visits: map[string]visit{}, changed: make(chan struct{}),
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
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		a.inspect(time.Now())
		a.adoptOrphans()
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
func (a *Agent) answering(now time.Time) bool {
	hold := a.settings.HoldTime()
	return now.Sub(a.member.Renewed()) < hold && now.Sub(a.mirror.Fresh()) < hold
}

// Reply is the answer to a worker's report: orders, or where to report instead.
type Reply struct {
	Owner  bool
	Answer worker.Answer
	Home   string // controller to report to, if known
}

// Report takes a worker's report.
func (a *Agent) Report(ctx context.Context, r *worker.Report) Reply {
	now := time.Now()
	if reply, owned := a.ownReport(r, now); owned {
		return reply
	}
	kv, exists := a.mirror.Get(statekv.MachinePrefix + r.Machine)
	if exists {
		if key := KeyOf(kv); key != nil && key.Holder != a.member.Holder && a.member.Alive(key.Holder) && !a.cannotReach(r.Machine, now) {
			return Reply{Home: key.Host}
		}
	}
	c := claim{name: r.Machine, seen: kv.Rev, done: make(chan struct{}),
		key: MachineKey{Holder: a.member.Holder, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}}
	select {
	case a.claims <- c:
	default:
		return Reply{}
	}
	select {
	case <-c.done:
	case <-time.After(2500 * time.Millisecond):
	case <-ctx.Done():
	}
	reply, _ := a.ownReport(r, time.Now())
	return reply
}

// cannotReach notes that a worker came although its owner is alive, and says
// whether it has come so often that it plainly cannot reach that owner.
func (a *Agent) cannotReach(name string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.visits[name]
	if now.Sub(v.last) > 15*time.Second {
		v.count = 0
	}
	v.count++
	v.last = now
	if len(a.visits) > 4096 {
		clear(a.visits)
	}
	a.visits[name] = v
	if v.count < 3 {
		return false
	}
	delete(a.visits, name)
	return true
}

func (a *Agent) ownReport(r *worker.Report, now time.Time) (Reply, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.machines[r.Machine]
	if m == nil {
		return Reply{}, false
	}
	if m.gone || m.removing {
		return Reply{}, true
	}
	if r.Token > m.token() {
		// The worker has seen a successor's token: an answer with ours would
		// be dropped and keep the worker here while its lease runs out.
		a.release(m)
		return Reply{Home: a.homeOf(r.Machine)}, true
	}
	if !a.answering(now) {
		return Reply{}, true
	}
	if m.apply(r, now, 0) {
		a.touch(m)
		a.wantLearning(m)
	}
	m.answerEnd = now
	if m.pressing(now) {
		m.wake()
	}
	return Reply{Owner: true, Answer: worker.Answer{Token: m.token(), Orders: m.orders(now, false)}}, true
}

func (a *Agent) homeOf(name string) string {
	kv, ok := a.mirror.Get(statekv.MachinePrefix + name)
	if !ok {
		return ""
	}
	if key := KeyOf(kv); key != nil && key.Host != a.member.Host && a.member.Alive(key.Holder) {
		return key.Host
	}
	return ""
}

// release gives up a machine that a successor owns.
func (a *Agent) release(m *machine) {
	if a.machines[m.name] != m {
		return
	}
	slog.Info("machine has a new owner", "machine", m.name)
	for _, t := range m.tasks {
		t.settle(Unsettled)
	}
	if !m.gone { // a deleted machine whose late report another controller met has stopped already
		close(m.quit)
	}
	delete(a.machines, m.name)
}

// adoptOrphans claims machines whose owner's life is over. The survivors share
// them by hash; whoever is first in the state service wins in any case.
func (a *Agent) adoptOrphans() {
	hosts := a.member.AliveHosts()
	if !a.member.Certain() || len(hosts) == 0 {
		return
	}
	for _, kv := range a.mirror.Dir(statekv.MachinePrefix) {
		known := KeyOf(kv)
		if known == nil {
			continue
		}
		key := *known
		name := kv.Key[len(statekv.MachinePrefix):]
		a.mu.Lock()
		m := a.machines[name]
		if m != nil && kv.Rev > m.rev {
			a.release(m)
		}
		a.mu.Unlock()
		mine := key.Holder == a.member.Holder
		if m != nil || !mine && a.member.Alive(key.Holder) {
			continue
		}
		h := fnv.New32a()
		h.Write([]byte(name))
		// A key of ours without a machine is a claim whose answer was lost: if
		// its worker never came again, nobody else would look after it.
		if !mine && hosts[int(h.Sum32()%uint32(len(hosts)))] != a.member.Host {
			continue
		}
		key.Holder = a.member.Holder
		select {
		case a.claims <- claim{name: name, key: key, seen: kv.Rev, done: make(chan struct{})}:
		default:
		}
	}
}

// runClaims writes claims in groups, as many as one transaction may hold.
func (a *Agent) runClaims(ctx context.Context) {
	for {
		var batch []claim
		select {
		case <-ctx.Done():
			return
		case c := <-a.claims:
			batch = append(batch, c)
		}
		for len(batch) < a.settings.State.TxnOps && len(a.claims) > 0 {
			batch = append(batch, <-a.claims)
		}
		for !a.store.Room(statekv.Claims, len(batch)) && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
		a.claimBatch(ctx, batch)
		for _, c := range batch {
			close(c.done)
		}
	}
}

func (a *Agent) claimBatch(ctx context.Context, batch []claim) {
	for len(batch) > 0 && ctx.Err() == nil {
		var when []statekv.Cond
		var then []statekv.Op
		var wanted []claim
		seen := map[string]bool{}
		a.mu.Lock()
		for _, c := range batch {
			if m := a.machines[c.name]; m == nil && !seen[c.name] {
				seen[c.name] = true
				wanted = append(wanted, c)
				when = append(when, statekv.Cond{Key: statekv.MachinePrefix + c.name, Rev: c.seen})
				then = append(then, statekv.Op{Set: statekv.MachinePrefix + c.name, Value: c.key})
			}
		}
		a.mu.Unlock()
		if len(wanted) == 0 {
			return
		}
		tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		rev, err := a.member.Write(tctx, when, then)
		cancel()
		if err == nil {
			a.own(wanted, rev)
			return
		}
		slog.Debug("claiming machines", "err", err)
		if !statekv.IsConflict(err) {
			return
		}
		// Some were claimed by others, or by a write of ours whose answer was
		// lost: look each of them up and keep the rest.
		batch = nil // the caller's slice stays as it is: it closes every claim once
		for _, c := range wanted {
			kv, err := a.store.Get(ctx, statekv.MachinePrefix+c.name)
			var key *MachineKey
			if err == nil {
				key = KeyOf(kv)
			}
			switch {
			case key != nil && key.Holder == a.member.Holder:
				a.own([]claim{c}, kv.Rev)
			case err == nil && kv.Rev == c.seen, err == statekv.ErrNotFound && c.seen == 0:
				batch = append(batch, c)
			}
		}
		if len(batch) == len(wanted) {
			return // our own condition failed: this life is over
		}
	}
}

func (a *Agent) own(claims []claim, rev uint64) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range claims {
		if old := a.machines[c.name]; old != nil {
			continue
		}
		m := &machine{name: c.name, address: c.key.Address, typeName: c.key.Type, zone: c.key.Zone, spot: c.key.Spot, rev: rev,
			tasks: map[taskKey]*task{}, images: map[string]time.Time{}, failures: map[string]time.Time{},
			heard: now, answerEnd: now, kick: make(chan struct{}, 1), quit: make(chan struct{})}
		if a.Images != nil {
			for _, image := range a.Images(c.name) {
				m.images[image] = now
			}
		}
		if c.seen != 0 {
			// The earlier owner may go on answering for its hold time.
			m.answerEnd = now.Add(a.settings.HoldTime())
		}
		a.machines[c.name] = m
		a.touch(m)
		go a.runMachine(a.ctx, m)
		m.wake()
		slog.Info("machine owned", "machine", m.name, "type", m.typeName, "zone", m.zone, "spot", m.spot, "rev", rev, "taken_over", c.seen != 0)
	}
}

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
	for name, m := range a.machines {
		if m.gone {
			if now.Sub(m.heard) > 2*time.Minute {
				delete(a.machines, name)
			}
			continue
		}
		if m.removing {
			continue // deleted: only its key is left
		}
		changed := false
		if !m.silent && now.Sub(m.heard) > 2*a.settings.Workers.Report+2*time.Second {
			m.silent, changed = true, true
			slog.Info("machine is silent", "machine", m.name)
		}
		expired := now.Sub(m.answerEnd) > a.settings.GoneAfter()
		for k, t := range m.tasks {
			if t.state == stateHeld && now.After(t.holdUntil) || expired {
				t.settle(Refused)
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
	a.mu.Unlock()

	report, executed, err := a.workers.Command(ctx, address, token, session, orders)

	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machines[m.name] != m {
		return false
	}
	if err != nil {
		// The commands may still arrive. A raised token makes them harmless
		// as soon as a report shows it.
		slog.Debug("command unanswered", "machine", m.name, "err", err)
		m.counter++
		for _, t := range m.tasks {
			if t.sent && t.sentToken == token {
				t.fence = m.token()
				if !t.seen {
					t.settle(Unsettled)
				}
			}
		}
		m.retryAt = time.Now().Add(time.Second)
		return false
	}
	if report.Machine != m.name {
		return false
	}
	if report.Token > m.token() {
		a.release(m)
		return false
	}
	var proof uint64
	if executed {
		proof = token
	}
	if m.apply(report, time.Now(), proof) {
		a.touch(m)
		a.wantLearning(m)
	} else if executed {
		// A later report overtook this answer; the next one decides.
		for _, t := range m.tasks {
			if t.sent && !t.seen && t.sentToken == token {
				m.counter++
				break
			}
		}
	}
	if !executed && report.Session == session {
		m.retryAt = time.Now().Add(time.Second)
		return false
	}
	return true
}

// wantLearning has the records read of jobs whose tasks m turned out to have.
func (a *Agent) wantLearning(m *machine) {
	for _, t := range m.tasks {
		if t.verify {
			a.unread[t.ref.Job] = true
		}
	}
	a.learnSoon()
}

func (a *Agent) learnSoon() {
	if len(a.unread) == 0 {
		return
	}
	select {
	case a.learns <- struct{}{}:
	default:
	}
}

// manyUnread is from how many jobs on all open records are listed, many to a
// request, instead of being read one by one.
const manyUnread = 6

// runLearning reads the records of jobs whose tasks were found on machines, or
// whose placer changed: what is over is stopped, the rest gets its needs.
func (a *Agent) runLearning(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.learns:
		}
		a.mu.Lock()
		ids := a.unread
		a.unread = map[string]bool{}
		a.mu.Unlock()
		err := a.learn(ctx, ids)
		pause := 100 * time.Millisecond // reports come in groups
		if err != nil {
			slog.Debug("reading jobs' records", "jobs", len(ids), "err", err)
			pause = time.Second
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		a.mu.Lock()
		if err != nil {
			for id := range ids {
				a.unread[id] = true
			}
		}
		a.learnSoon()
		a.mu.Unlock()
	}
}

// learn reads records and takes what was read out of ids.
func (a *Agent) learn(ctx context.Context, ids map[string]bool) error {
	found := map[string]*job.Record{}
	for after, more := "", len(ids) >= manyUnread; more; {
		page, err := a.store.List(ctx, job.OpenPrefix, after)
		if err != nil {
			return err
		}
		for _, kv := range page.Items {
			after = kv.Key
			if id := strings.TrimPrefix(kv.Key, job.OpenPrefix); ids[id] {
				rec, err := job.ParseRecord(kv.Value)
				if err != nil {
					return err
				}
				found[id] = rec
			}
		}
		more = page.More && len(page.Items) > 0
	}
	a.learned(found)
	for id := range found {
		delete(ids, id)
	}
	// What the list did not have is over, or came since: read it by itself.
	for id := range ids {
		kv, err := a.store.Get(ctx, job.OpenKey(id))
		var rec *job.Record
		if err == nil {
			rec, err = job.ParseRecord(kv.Value)
		}
		if err != nil && !errors.Is(err, statekv.ErrNotFound) {
			return err
		}
		a.learned(map[string]*job.Record{id: rec})
		delete(ids, id)
	}
	return nil
}

// learned takes in records; nil stands for a job that is over.
func (a *Agent) learned(records map[string]*job.Record) {
	if len(records) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.machines {
		changed := false
		for _, t := range m.tasks {
			rec, read := records[t.ref.Job]
			if !read || !t.verify {
				continue
			}
			t.verify, changed = false, true
			if rec == nil {
				t.stop, t.forget = true, true
				t.spec = &job.Spec{}
			} else {
				t.spec, t.slot = &rec.Spec, rec.Slot
			}
		}
		if changed {
			m.summed = false
			m.wake()
			a.touch(m)
		}
	}
}

// SlotMoved has the tasks of a slot checked against their records: its earlier
// placer may have left tasks of jobs that are over.
func (a *Agent) SlotMoved(slot string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.machines {
		for _, t := range m.tasks {
			if t.slot == slot {
				t.verify = true
				a.unread[t.ref.Job] = true
			}
		}
	}
	a.learnSoon()
}
