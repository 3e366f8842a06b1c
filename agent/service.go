package agent

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"robinstack/cloud"
	"robinstack/job"
	"robinstack/statekv"
	"robinstack/worker"
)

// Service is what other controllers, and this one's placer and steward, call.
type Service struct{ agent *Agent }

// NewService returns the net/rpc service of an agent.
func NewService(a *Agent) *Service { return &Service{agent: a} }

// unfit says why tasks like these cannot be placed on m, or nothing. It is the
// Filter stage of sampling and the conflict check of the commit.
func (a *Agent) unfit(m *machine, r *Request, now time.Time) string {
	switch {
	case m.gone || m.removing || !m.settled:
		return "machine is not settled"
	case m.draining || m.faulty || !m.noticeAt.IsZero():
		return "machine is being emptied"
	case m.silent:
		return "machine is silent"
	case m.rev > a.mirror.Rev():
		return "machine was claimed just now"
	case !r.Spec.Allows(m.typeName, m.zone, m.spot):
		return "machine is not allowed for the job"
	case r.Zones != nil && !slices.Contains(r.Zones, m.zone):
		return "zone is not open to the job"
	case slices.Contains(r.Avoid, m.name):
		return "job failed here before"
	case m.claimedBy != r.Spec.ID && now.Before(m.claimedUntil):
		return "machine is being cleared for another job"
	}
	if _, failed := m.failures[r.Spec.ID]; failed {
		return "job failed here before"
	}
	return ""
}

// fits counts how many of the tasks have room on m.
func (a *Agent) fits(m *machine, need job.Need) (int, job.Need) {
	t, ok := a.types()[m.typeName]
	if !ok {
		return 0, job.Need{}
	}
	free, known := m.room(job.Capacity(t))
	if !known {
		return 0, job.Need{}
	}
	return need.Count(free), free
}

// Sample draws owned machines without replacement until the share wanted has
// passed the filters, and scores them (the paper's second sampling step).
func (s *Service) Sample(r Request, reply *Sample) error {
	a := s.agent
	now := time.Now()
	types := a.types()
	a.mu.Lock()
	defer a.mu.Unlock()
	pool := make([]*machine, 0, len(a.machines))
	for _, m := range a.machines {
		if !m.gone {
			pool = append(pool, m)
		}
	}
	rand.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	wanted := max(1, int(math.Ceil(r.Share*float64(len(pool)))))
	room := 0
	for _, m := range pool {
		if len(reply.Candidates) >= wanted && room >= r.Tasks {
			break
		}
		reply.Drawn++
		if a.unfit(m, &r, now) != "" {
			continue
		}
		n, free := a.fits(m, r.Spec.Need)
		if n == 0 {
			continue
		}
		room += n
		image := m.imageState(r.Spec.Image)
		reply.Candidates = append(reply.Candidates, Candidate{
			Machine: m.name, Host: a.member.Host, Rev: m.rev, Zone: m.zone, Fits: n,
			Score: score(job.Capacity(types[m.typeName]), free, r.Spec.Need, image, cheapness(types, &r.Spec, m.typeName, m.spot)),
		})
	}
	reply.Exhausted = len(reply.Candidates) < wanted
	a.counters.Samples++
	a.counters.Drawn += uint64(reply.Drawn)
	if reply.Exhausted {
		a.counters.Exhausted++
	}
	return nil
}

// score sums the Score plugins: the machine left fullest (0 to 100), the image
// already there (100) or on its way, and how cheap the place is (0 to 150). The last leaves
// dear machines idle, so that they are returned, and ordinary ones to jobs that
// may not use spot machines.
func score(capacity, free, need job.Need, image, cheap float64) float64 {
	left := free.Add(need, -1)
	full := 0.0
	for _, p := range [][2]float64{{left.CPUs, capacity.CPUs}, {left.GPUs, capacity.GPUs}, {left.MemoryGB, capacity.MemoryGB}} {
		if p[1] > 0 {
			full = max(full, 1-p[0]/p[1])
		}
	}
	return 100*full + 150*cheap + 100*image
}

// cheapness compares what a place for need costs on a machine with the least
// that it costs on any the job may use: 1 for the cheapest, towards 0 for dear.
func cheapness(types map[string]cloud.MachineType, spec *job.Spec, typeName string, spot bool) float64 {
	cost := func(t cloud.MachineType, spot bool) float64 {
		n := spec.Need.Count(job.Capacity(t))
		if n == 0 || t.HourlyPrice(spot) <= 0 {
			return math.Inf(1)
		}
		return t.HourlyPrice(spot) / float64(n)
	}
	least := math.Inf(1)
	for _, t := range types {
		if spec.AllowsType(t.Name) {
			least = min(least, cost(t, spec.Spot))
		}
	}
	if own := cost(types[typeName], spot); !math.IsInf(own, 1) && !math.IsInf(least, 1) {
		return min(1, least/own)
	}
	return 0
}

// Commit reserves room for tasks on a machine, checks the latest report and
// the reservations, and sends the starts (the paper's commit pipeline).
func (s *Service) Commit(r CommitRequest, reply *CommitReply) error {
	a := s.agent
	now := time.Now()
	reply.Verdicts = make([]string, len(r.Refs))
	for i := range reply.Verdicts {
		reply.Verdicts[i] = Refused
	}
	waits := make([]chan string, len(r.Refs))

	a.mu.Lock()
	m := a.machines[r.Machine]
	switch {
	case m == nil || m.rev != r.Rev:
		reply.Why = "machine is not owned here"
	case !a.member.Certain():
		reply.Why = "owner is not certain of its lease"
	case !a.current(statekv.SlotPrefix+r.Slot, r.Epoch):
		reply.Why = "placer is not the slot's latest"
	case a.settings.Limited(r.Spec.Team) && !a.current(statekv.StewardKey, r.StewardEpoch):
		reply.Why = "permit is not from the latest steward"
	default:
		reply.Why = a.unfit(m, &r.Request, now)
	}
	if reply.Why != "" {
		a.counters.Conflicts++
		a.mu.Unlock()
		return nil
	}
	a.counters.Commits++
	sending := false
	for i, ref := range r.Refs {
		key := taskKey{job.TaskID(ref.Job, ref.Index), ref.Attempt}
		t := m.tasks[key]
		if _, void := a.voided[ref]; void {
			reply.Why = "attempt was given up"
			continue
		}
		if t == nil {
			if n, _ := a.fits(m, r.Spec.Need); n == 0 {
				reply.Why = "no room left"
				a.counters.Conflicts++
				continue
			}
			spec := r.Spec
			t = &task{ref: ref, id: key.id, slot: r.Slot, spec: &spec, state: stateHeld}
			m.tasks[key] = t
		}
		if t.state != stateHeld {
			// A repeated request: the entry shows what became of it.
			reply.Verdicts[i] = Unsettled
			continue
		}
		if r.Hold {
			t.holdUntil = now.Add(10 * time.Second)
			reply.Verdicts[i] = Held
			continue
		}
		m.claimedUntil = time.Time{}
		t.state = Starting
		t.result = make(chan string, 1)
		waits[i] = t.result
		sending = true
	}
	if sending {
		m.idleSince = time.Time{}
		a.touch(m)
		m.wake()
	}
	// From this version on, an entry without the task proves it gone.
	reply.Ver, reply.Rev = a.ver, m.rev
	ctx := a.ctx
	a.mu.Unlock()

	timeout := time.NewTimer(3 * time.Second)
	defer timeout.Stop()
	expired := false
	for i, w := range waits {
		if w == nil {
			continue
		}
		if !expired {
			select {
			case reply.Verdicts[i] = <-w:
				continue
			case <-timeout.C:
			case <-ctx.Done():
			}
			expired = true
		}
		reply.Verdicts[i] = Unsettled
		select {
		case reply.Verdicts[i] = <-w:
		default:
		}
	}
	return nil
}

// current reports whether epoch is the latest revision of a role's key as far
// as known. An agent answers a new holder's watch only once it knows that
// holder's epoch, so after that no commit under the earlier one passes here.
func (a *Agent) current(key string, epoch uint64) bool {
	kv, ok := a.mirror.Get(key)
	return ok && kv.Rev <= epoch || !ok && epoch > a.mirror.Rev()
}

// Stop asks for tasks to be stopped, or forgotten once they have ended.
func (s *Service) Stop(r StopRequest, _ *struct{}) error {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, item := range r.Items {
		m := a.machines[item.Machine]
		if m == nil {
			continue
		}
		key := taskKey{job.TaskID(item.Job, item.Index), item.Attempt}
		t := m.tasks[key]
		if t == nil {
			continue
		}
		switch {
		case t.state == stateHeld:
			delete(m.tasks, key)
			a.touch(m)
		case t.state == Starting && !t.sent:
			t.settle(Refused)
			delete(m.tasks, key)
			a.touch(m)
		case item.Forget:
			t.forget = true
		case !t.stop || item.Grace < t.grace:
			t.stop, t.grace, t.stopSent = true, item.Grace, time.Time{}
		}
		m.wake()
	}
	return nil
}

// Void makes commits harmless that were sent but not answered, unless the task
// is on a machine already.
func (s *Service) Void(r VoidRequest, reply *VoidReply) error {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Present = make([]bool, len(r.Refs))
	for i, ref := range r.Refs {
		key := taskKey{job.TaskID(ref.Job, ref.Index), ref.Attempt}
		for _, m := range a.machines {
			if t := m.tasks[key]; t != nil {
				if t.state == stateHeld {
					delete(m.tasks, key)
				} else {
					reply.Present[i] = true
				}
			}
		}
		if !reply.Present[i] {
			a.voided[ref] = time.Now()
		}
	}
	reply.Ver = a.ver
	return nil
}

// Watch returns the machines that changed, at once or as soon as some do.
func (s *Service) Watch(r WatchRequest, reply *WatchReply) error {
	a := s.agent
	ctx, cancel := context.WithTimeout(a.runContext(), r.Wait)
	defer cancel()
	if a.mirror.Wait(ctx, r.MinRev) != nil {
		return errors.New("agent has not caught up with the state service")
	}
	since, first := r.Since, false
	if r.Instance != a.member.Instance {
		since, first = 0, true
	}
	for {
		a.mu.Lock()
		changed := a.changed
		// Only the first answer of a life comes at once whatever there is: an
		// agent without machines must not be asked in a tight loop.
		if a.ver > since || first || ctx.Err() != nil {
			now := time.Now()
			reply.Host, reply.Instance, reply.Ver = a.member.Host, a.member.Instance, a.ver
			reply.StateOK = a.member.Certain()
			for _, m := range a.machines {
				if m.ver > since {
					reply.Entries = append(reply.Entries, m.entry(a.member.Host, now))
				}
			}
			a.mu.Unlock()
			return nil
		}
		a.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
			// Changes come in groups: a short pause saves answers.
			time.Sleep(30 * time.Millisecond)
		}
	}
}

func (a *Agent) runContext() context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil {
		return context.Background()
	}
	return a.ctx
}

func (m *machine) entry(host string, now time.Time) Entry {
	e := Entry{Machine: m.name, Host: host, Rev: m.rev, Ver: m.ver, Type: m.typeName, Zone: m.zone, Spot: m.spot,
		Settled: m.settled, Draining: m.draining, Silent: m.silent, Faulty: m.faulty, Gone: m.gone, Notice: !m.noticeAt.IsZero()}
	if !m.idleSince.IsZero() {
		e.Idle = max(time.Millisecond, now.Sub(m.idleSince))
	}
	for image := range m.images {
		e.Images = append(e.Images, image)
	}
	for _, t := range m.tasks {
		if t.state == stateHeld {
			continue
		}
		te := TaskEntry{TaskRef: t.ref, Slot: t.slot, State: t.state, Cause: t.cause, Saved: t.saved}
		if t.spec != nil {
			te.Known, te.Team, te.Need = true, t.spec.Team, t.spec.Need
		}
		e.Tasks = append(e.Tasks, te)
	}
	return e
}

// Drain closes machines without tasks to new ones, or opens them again.
func (s *Service) Drain(r MachinesRequest, reply *MachinesReply) error {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range r.Names {
		m := a.machines[name]
		if m == nil || m.gone {
			continue
		}
		busy := false
		for _, t := range m.tasks {
			busy = busy || t.uses()
		}
		if r.On && busy && !m.silent && !m.faulty {
			continue
		}
		m.draining = r.On
		a.touch(m)
		reply.Names = append(reply.Names, name)
	}
	return nil
}

// Removed tells the agent that the cloud has deleted machines: their tasks are
// gone, and their keys with them.
func (s *Service) Removed(r MachinesRequest, reply *MachinesReply) error {
	a := s.agent
	var when []statekv.Cond
	var then []statekv.Op
	a.mu.Lock()
	for _, name := range r.Names {
		m := a.machines[name]
		if m == nil || m.gone {
			continue
		}
		m.removing = true
		for k, t := range m.tasks {
			t.settle(Refused)
			delete(m.tasks, k)
		}
		a.touch(m)
		when = append(when, statekv.Cond{Key: statekv.MachinePrefix + name, Rev: m.rev})
		then = append(then, statekv.Op{Delete: statekv.MachinePrefix + name})
		reply.Names = append(reply.Names, name)
	}
	a.mu.Unlock()
	for i, name := range reply.Names {
		ctx, cancel := context.WithTimeout(a.runContext(), 3*time.Second)
		_, err := a.member.Write(ctx, when[i:i+1], then[i:i+1])
		cancel()
		if err != nil && !statekv.IsConflict(err) {
			return err
		}
		a.mu.Lock()
		if m := a.machines[name]; m != nil && !m.gone {
			m.gone, m.heard = true, time.Now()
			close(m.quit)
			a.touch(m)
		}
		a.mu.Unlock()
		slog.Info("machine gone", "machine", name)
	}
	return nil
}

// Snapshot returns the agent's counters and machines, for the status page.
func (a *Agent) Snapshot() (Counters, []Entry) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var entries []Entry
	for _, m := range a.machines {
		if !m.gone {
			entries = append(entries, m.entry(a.member.Host, now))
		}
	}
	return a.counters, entries
}

var _ worker.Commander = (*worker.Client)(nil)
