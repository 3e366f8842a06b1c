package leader

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/autoscaler"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// fleet is what the steward knows of rented machines.
type fleet struct {
	booting   map[string]boot
	listed    map[string]time.Time // when a list showed it first
	last      map[string]cloud.Machine
	lastAt    time.Time
	lastName  string             // the machine created last that the last list shows
	shut      map[pool]time.Time // pools that refused, until when
	limits    map[pool]int       // machines to ask those for, once it is over
	silent    map[string]time.Time
	deleted   map[string]time.Time
	toldOwner map[string]time.Time // when the owner of a deleted machine was told again
	requests  int
	gangs     map[string]gangClass    // classes of gangs seen lately
	retry     []cloud.ScaleOutRequest // rentals without an answer, to be repeated under their names
	resumAt   time.Time
	toldAt    time.Time             // when the log last had the totals
	told      map[string][2]float64 // prices that the log has, by type
	lows      map[pool]*lowWater    // idle machines of each pool
	uses      map[pool]*uses        // those that got work lately
	backlog   backlog
	boots     bootWatch
	mute      int      // machines that have not answered their new owners
	untold    []string // deleted machines of whose end their owners do not know
}

// gangClass is a class of gangs for which room is kept ready.
type gangClass struct {
	spec job.Spec
	seen time.Time
}

// warmFor is how long after its last job a class of gangs has room kept ready.
const warmFor = 2 * time.Minute

type boot struct {
	pool
	since time.Time
	ours  bool // rented under this epoch, so since is exact
}

func newFleet() fleet {
	return fleet{booting: map[string]boot{}, listed: map[string]time.Time{}, last: map[string]cloud.Machine{}, shut: map[pool]time.Time{}, limits: map[pool]int{},
		gangs: map[string]gangClass{}, lows: map[pool]*lowWater{}, uses: map[pool]*uses{}, silent: map[string]time.Time{}, deleted: map[string]time.Time{}, toldOwner: map[string]time.Time{}, told: map[string][2]float64{}}
}

// runList reads the cloud's list and prices from time to time.
func (s *Leader) runCloudReads(ctx context.Context) {
	var typesAt time.Time
	for ctx.Err() == nil {
		if len(s.catalogue.Types()) == 0 || s.Epoch() != 0 && time.Since(typesAt) > 20*time.Second {
			if types, err := s.cloud.MachineTypes(ctx); err != nil {
				slog.Debug("machine types read failed", "err", err)
			} else if len(types) > 0 {
				typesAt = time.Now()
				s.catalogue.Set(types)
				s.tellPrices(types)
				s.keepTypes(ctx, types)
			}
		}
		if s.Epoch() != 0 {
			if machines, err := s.cloud.Machines(ctx); err != nil {
				slog.Debug("machine list read failed", "err", err)
			} else {
				s.onList(machines, time.Now())
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(2500 * time.Millisecond):
		}
	}
}

// tellPrices logs the prices that have changed, for the audit.
func (s *Leader) tellPrices(types []cloud.MachineType) {
	for _, t := range types {
		s.mu.Lock()
		told := s.epoch == 0 || s.fleet.told[t.Name] == [2]float64{t.OnDemandPrice, t.SpotPrice}
		if !told {
			s.fleet.told[t.Name] = [2]float64{t.OnDemandPrice, t.SpotPrice}
		}
		s.mu.Unlock()
		if !told {
			slog.Info(logline.MachineTypePrice, "type", t.Name, "hourly", t.OnDemandPrice, "spot", t.SpotPrice, "cpus", t.CPUs, "gpus", t.GPUs, "mem_gb", t.MemoryGB)
		}
	}
}

// keepTypes stores the types once, for controllers that start while the cloud
// does not answer.
func (s *Leader) keepTypes(ctx context.Context, types []cloud.MachineType) {
	if _, ok := s.mirror.Get(statekv.MachineTypesKey); ok || s.Epoch() == 0 {
		return
	}
	if raw, err := json.Marshal(types); err != nil || len(raw) > s.settings.StateLimits.MaxValueBytes {
		return
	}
	// Once: a copy that is carried out late must not bring back what was then.
	if _, err := s.session.Write(ctx, []statekv.Compare{{Key: statekv.MachineTypesKey}}, []statekv.Op{{Set: statekv.MachineTypesKey, Value: types}}); err != nil {
		slog.Debug("machine types write failed", "err", err)
	}
}

func (s *Leader) onList(machines []cloud.Machine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.fleet
	f.last, f.lastAt, f.lastName = map[string]cloud.Machine{}, now, ""
	for _, m := range machines {
		f.last[m.Name] = m
		f.lastName = max(f.lastName, m.Name)
		if f.listed[m.Name].IsZero() {
			f.listed[m.Name] = now
		}
		if _, known := f.booting[m.Name]; !known && f.deleted[m.Name].IsZero() && m.Status != "failed" {
			f.booting[m.Name] = boot{pool: pool{m.Type, m.Zone, m.Spot}, since: now.Add(-time.Duration(m.AgeS * float64(time.Second)))}
		}
	}
	// A machine that was listed stays so until it is gone; a list may be older
	// than the one before, so this counts only some time after the first.
	for name := range f.booting {
		if at := f.listed[name]; !at.IsZero() && now.Sub(at) > 3*s.settings.CloudListLag {
			if _, ok := f.last[name]; !ok {
				delete(f.booting, name)
			}
		}
	}
}

// cameUp notes that a machine is up, and how long that took.
func (f *fleet) cameUp(name string, now time.Time) {
	if b, ok := f.booting[name]; ok {
		if b.ours {
			f.boots.note(b.pool, now.Sub(b.since), now)
		}
		delete(f.booting, name)
	}
}

// A rental may ask for at most maxHire machines; maxRentals are at work at a
// time, which leaves room for lists and returns within the cloud's limit.
const (
	maxHire    = 50
	maxRentals = 6
)

// probe is how many machines a pool that refused is asked for the next time:
// calls for many more would find it as empty and keep others from being asked.
const probe = 2

func (f *fleet) refuse(p pool, now time.Time) {
	f.shut[p] = now.Add(10 * time.Second)
	f.limits[p] = probe
}

// poolLimit is how many machines a pool may be asked for now.
func (f *fleet) poolLimit(p pool, now time.Time) int {
	switch n := f.limits[p]; {
	case now.Before(f.shut[p]):
		return 0
	case n > 0:
		return n
	}
	return maxRentals * maxHire
}

const (
	planEvery = time.Second
	// planMute is the pause while machines do not answer their new owners: jobs wait
	// for each of them.
	planMute = 300 * time.Millisecond
)

// runFleet rents and returns machines while this controller is steward.
func (s *Leader) runScaling(ctx context.Context) {
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.Epoch() == 0 || !s.session.HoldsLease() || len(s.catalogue.Types()) == 0 {
			continue
		}
		rentals, returns, deletes := s.planFleet(time.Now())
		var calls sync.WaitGroup
		for _, r := range rentals {
			calls.Go(func() { s.rent(ctx, r) })
		}
		calls.Wait()
		s.mu.Lock()
		untold := s.fleet.untold
		tick.Reset(planEvery)
		if s.fleet.mute > 0 {
			tick.Reset(planMute)
		}
		s.mu.Unlock()
		select {
		case s.unacknowledged <- untold:
		default: // the former ones are still being told
		}
		s.giveBack(ctx, returns)
		s.remove(ctx, deletes)
	}
}

// planFleet decides what to rent, what idle machines to return, and which
// machines are lost and have to be deleted.
func (s *Leader) planFleet(now time.Time) (rentals []cloud.ScaleOutRequest, returns, deletes []string) {
	types := s.catalogue.Types()
	entries := s.feed.Entries()
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.fleet
	seen := s.takeStock(entries, types, now)
	f.forgetDeleted(now)
	s.settleLedger(seen.present, now)
	deletes = seen.lost
	bins := append(seen.bins, s.bootingBins(types, now, &deletes)...)
	demands, turn := s.demands(types, now)
	rentals = s.rentals(types, demands, bins, turn, now)
	if now.Sub(f.toldAt) > 10*time.Second {
		f.toldAt = now
		s.tellFleet(bins, demands, len(entries), len(f.booting))
	}
	return rentals, append(seen.emptied, s.spare(bins, seen.idle, now)...), deletes
}

// stock is what the plan sees of the machines that have owners.
type stock struct {
	bins    []*bin // those that serve
	idle    map[string]time.Duration
	present map[string]bool
	emptied []string // those to be returned that have no tasks any more
	lost    []string // those that will not come back
}

// takeStock goes through all machines that have owners. The mutex is held.
func (s *Leader) takeStock(entries []agentapi.MachineEntry, types map[string]cloud.MachineType, now time.Time) *stock {
	f := &s.fleet
	out := &stock{idle: map[string]time.Duration{}, present: map[string]bool{}}
	f.mute, f.untold = 0, nil
	for i := range entries {
		if entries[i].Silent && !entries[i].Settled {
			f.mute++
		}
	}
	for i := range entries {
		e := &entries[i]
		out.present[e.Machine] = true
		f.cameUp(e.Machine, now)
		if !f.deleted[e.Machine].IsZero() {
			if f.mayNotKnow(e.Machine, now) {
				f.untold = append(f.untold, e.Machine)
			}
			continue
		}
		if lost := s.isLost(e, now); lost != "" {
			slog.Info("machine lost", "machine", e.Machine, "reason", lost)
			out.lost = append(out.lost, e.Machine)
			continue
		}
		out.add(e, types, now)
	}
	return out
}

// add takes a machine that is neither deleted nor lost.
func (k *stock) add(e *agentapi.MachineEntry, types map[string]cloud.MachineType, now time.Time) {
	t, ok := types[e.Type]
	if !ok || e.Silent || e.Notice {
		return
	}
	if e.Faulty || e.Draining {
		if len(e.Tasks) == 0 {
			k.emptied = append(k.emptied, e.Machine)
		}
		return
	}
	b := &bin{name: e.Machine, typeName: e.Type, zone: e.Zone, spot: e.Spot, free: job.Capacity(t), empty: len(e.Tasks) == 0}
	for _, t := range e.Tasks {
		if t.State != worker.TaskExited {
			b.free = b.free.AddScaled(t.Need, -1)
		}
	}
	if d := e.IdleFor(now); d > 0 {
		k.idle[e.Machine] = d
	}
	k.bins = append(k.bins, b)
}

// deletedFor is how long the steward remembers that it has deleted a machine.
const deletedFor = 10 * time.Minute

// forgetDeleted forgets machines that were deleted long ago.
func (f *fleet) forgetDeleted(now time.Time) {
	for name, at := range f.deleted {
		if now.Sub(at) > deletedFor {
			delete(f.deleted, name)
			delete(f.toldOwner, name)
			delete(f.listed, name)
			delete(f.silent, name)
		}
	}
}

// settleLedger drops machines that are gone from the ledger, and adds it up anew from time
// to time. The mutex is held.
func (s *Leader) settleLedger(present map[string]bool, now time.Time) {
	s.ledger.RetainMachines(present)
	if now.Sub(s.fleet.resumAt) > 10*time.Second {
		s.fleet.resumAt = now
		s.ledger.Recompute()
	}
}

// demandAge is how long what a controller said of its jobs counts.
const demandAge = 15 * time.Second

// demands lists what waits, within the teams' limits and with the room that is kept ready,
// and what running tasks will leave. The mutex is held.
func (s *Leader) demands(types map[string]cloud.MachineType, now time.Time) ([]autoscaler.Demand, turnover) {
	f := &s.fleet
	var out []autoscaler.Demand
	turn := newTurnover(types)
	for host, d := range s.demand {
		if now.Sub(d.at) > demandAge {
			delete(s.demand, host)
			continue
		}
		for _, j := range d.jobs {
			if j.Spec.Shape == job.Gang && j.Spec.Priority() > job.LowestPriority {
				f.gangs[j.Spec.Class] = gangClass{j.Spec, now}
			}
			turn.add(&j)
			if j.Waiting > 0 {
				out = append(out, j)
			}
		}
	}
	out = s.withinLimits(out)
	turn.growing = f.backlog.grows(now) && f.backlog.last() > turn.beforeBoot()
	return append(out, s.warmDemand(now)...), turn
}

// rentals lists the requests for machines to make now, those without an answer first. The
// mutex is held.
func (s *Leader) rentals(types map[string]cloud.MachineType, demands []autoscaler.Demand, bins []*bin, turn turnover, now time.Time) []cloud.ScaleOutRequest {
	f := &s.fleet
	out := f.retry
	f.retry = nil
	onOffer := offers(types, func(p pool) int { return f.poolLimit(p, now) })
	rent, over := packing(demands, bins, turn, onOffer, maxRentals*maxHire)
	f.backlog.add(now, over, backlogSpan)
	for _, o := range onOffer {
		n := rent[o.pool]
		// What a repeated rental may bring yet is not rented once more.
		for _, r := range out {
			if o.pool == (pool{r.Type, r.Zone, r.Spot}) {
				n -= r.Count
			}
		}
		for ; n > 0 && len(out) < maxRentals; n -= maxHire {
			f.requests++
			out = append(out, cloud.ScaleOutRequest{RequestID: fmt.Sprintf("r-%d-%d", s.epoch, f.requests), Type: o.typeName, Zone: o.zone, Spot: o.spot, Count: min(n, maxHire)})
		}
	}
	return out
}

// tellAgainAfter is how long the owner of a deleted machine has to remove its key before it
// is told once more.
const tellAgainAfter = 2 * time.Second

// mayNotKnow reports whether the owner of a deleted machine, whose key is still there, is to
// be told now. It may have taken the machine over, or claimed it anew by a late write, after
// its former owner was told; what it shows, draining included, may be what it took over.
func (f *fleet) mayNotKnow(machine string, now time.Time) bool {
	last := f.toldOwner[machine]
	if last.IsZero() {
		last = f.deleted[machine]
	}
	if now.Sub(last) <= tellAgainAfter {
		return false
	}
	f.toldOwner[machine] = now
	return true
}

// tellFleet logs the totals that renting and returning go by.
func (s *Leader) tellFleet(bins []*bin, demands []autoscaler.Demand, machines, booting int) {
	empty, planned, waiting := 0, 0, 0
	free := 0.0
	for _, b := range bins {
		free += b.free.GPUs
		if b.empty {
			empty++
			if b.used {
				planned++
			}
		}
	}
	for _, d := range demands {
		waiting += d.Waiting
	}
	slog.Info("cluster summary", "machines", machines, "provisioning", booting, "idle", empty, "idle_reserved", planned, "free_gpus", free, "tasks_pending", waiting)
}

// spare names the machines to return. In a large fleet each machine gets a task
// now and then, so that none is idle for long although many are at any moment:
// of a pool, as many are spare as were idle all the time, whichever they were.
// Those that have been idle longest go.
func (s *Leader) spare(bins []*bin, idle map[string]time.Duration, now time.Time) []string {
	names, present := map[pool][]string{}, map[string]bool{}
	for _, b := range bins {
		present[b.name] = true
		p := pool{b.typeName, b.zone, b.spot}
		if _, known := names[p]; !known {
			names[p] = nil
		}
		if _, ok := idle[b.name]; ok && !b.used {
			names[p] = append(names[p], b.name)
		}
	}
	var out []string
	for p, idlers := range names {
		low := s.fleet.lows[p]
		if low == nil {
			low = &lowWater{}
			s.fleet.lows[p] = low
		}
		n := low.add(now, len(idlers), s.policy.ScaleInIdleTime)
		slices.SortFunc(idlers, func(a, b string) int {
			return cmp.Or(cmp.Compare(idle[b], idle[a]), cmp.Compare(a, b))
		})
		if s.fleet.uses[p] == nil {
			s.fleet.uses[p] = &uses{}
		}
		keep := s.fleet.uses[p].look(now, idlers, present)
		soon := time.Duration(soonShare * float64(s.policy.ScaleInIdleTime))
		for n < len(idlers)-keep && idle[idlers[n]] >= soon {
			n++
		}
		out = append(out, idlers[:n]...)
		low.lower(n)
	}
	for p := range s.fleet.lows {
		if _, known := names[p]; !known {
			delete(s.fleet.lows, p)
			delete(s.fleet.uses, p)
		}
	}
	return out
}

// backlog remembers how much found no room lately.
type backlog struct{ window[float64] }

// backlogSpan is the time over which a backlog is compared with itself.
const backlogSpan = 20 * time.Second

func (b *backlog) last() float64 {
	if len(b.values) == 0 {
		return 0
	}
	return b.values[len(b.values)-1]
}

// grows reports whether it is clearly more than some time ago.
func (b *backlog) grows(now time.Time) bool {
	return len(b.times) > 0 && now.Sub(b.times[0]) >= backlogSpan && b.last() > 1.2*b.values[0]
}

// lowWater tells how many there were at least during a span of time.
type lowWater struct{ window[int] }

// add takes note of a count and returns the least over the span, or 0 as long
// as it has not been watched for that time.
func (l *lowWater) add(now time.Time, n int, span time.Duration) int {
	if !l.window.add(now, n, span) {
		return 0
	}
	return slices.Min(l.values)
}

// lower takes those that are returned out of what was counted.
func (l *lowWater) lower(n int) {
	for i := range l.values {
		l.values[i] = max(0, l.values[i]-n)
	}
}

// warmDemand asks for room for the next gangs: of whole machines there is
// seldom one free by chance, and a boot takes longer than they are to wait.
func (s *Leader) warmDemand(now time.Time) []autoscaler.Demand {
	var out []autoscaler.Demand
	for class, g := range s.fleet.gangs {
		if now.Sub(g.seen) > warmFor {
			delete(s.fleet.gangs, class)
			continue
		}
		g.spec.Rank = "best_effort" // behind all that really waits
		g.spec.DeadlineS = nil
		out = append(out, autoscaler.Demand{Spec: g.spec, Waiting: s.policy.WarmTasksPerGangClass, Warm: true})
	}
	return out
}

// withinLimits cuts the demand down to what the teams' limits let run.
func (s *Leader) withinLimits(demands []autoscaler.Demand) []autoscaler.Demand {
	use := s.ledger.Usage()
	use = maps.Clone(use)
	for i := range demands {
		d := &demands[i]
		team, limited := s.settings.Teams[d.Spec.Team], s.settings.HasQuota(d.Spec.Team)
		if !limited {
			continue
		}
		const none = 1e18
		room := job.Need{CPUs: none, GPUs: none, MemoryGB: none}
		if team.CPUQuota > 0 {
			room.CPUs = team.CPUQuota - use[d.Spec.Team].CPUs
		}
		if team.GPUQuota > 0 {
			room.GPUs = team.GPUQuota - use[d.Spec.Team].GPUs
		}
		d.Waiting = min(d.Waiting, d.Spec.CountIn(room))
		use[d.Spec.Team] = use[d.Spec.Team].AddScaled(d.Spec.Need, float64(d.Waiting))
	}
	return demands
}

// muteDoubt is how long machines are left alone that do not answer their new
// owners, where they are more than a few: their owner may be slow to begin.
const muteDoubt = 3 * time.Second

// isLost says why a machine will not come back, or nothing.
func (s *Leader) isLost(e *agentapi.MachineEntry, now time.Time) string {
	f := &s.fleet
	if !e.Silent {
		delete(f.silent, e.Machine)
		return ""
	}
	if f.silent[e.Machine].IsZero() {
		f.silent[e.Machine] = now
	}
	listed, ok := f.last[e.Machine]
	switch {
	case ok && listed.Status == "failed":
		return "failed"
	case e.Notice:
		return "taken on notice"
	case !e.Settled && (f.mute <= max(2, s.ledger.MachineCount()/50) || f.mute <= s.ledger.MachineCount()/20 && now.Sub(f.silent[e.Machine]) > muteDoubt):
		// Jobs of a placer that died wait until it is known what runs there;
		// deleting a machine is the fastest proof. If many do not answer, it is
		// rather their owner or a zone that is cut off, and their work goes on.
		return "does not answer its new owner"
	case !ok && now.Sub(f.lastAt) < 10*time.Second && (e.Machine < f.lastName || !f.listed[e.Machine].IsZero() || now.Sub(f.silent[e.Machine]) > 2*s.settings.CloudListLag+2*time.Second):
		// It has an owner, so it was up before it fell silent. A list that shows
		// a machine created later, or has shown this one, or is younger than
		// lists may lag, would show it if it were still there.
		return "no longer listed"
	case now.Sub(f.silent[e.Machine]) > s.settings.WorkerLeaseExpiry()+replacing(s.catalogue.Types()[e.Type]):
		return "silent for longer than replacing it takes"
	}
	return ""
}

// replacing is how long it takes, at the upper end of what is usual, until a
// machine rented in place of a silent one serves: boots take up to half as long
// again as their type's, and then images are fetched. A machine that is cut off or
// hangs has lost its tasks when its lease is over, and they run elsewhere; but it
// comes back with its images. Waiting for it as long as replacing it would take
// costs at most twice what would have been best. One that died is found out by the
// cloud's list long before.
func replacing(t cloud.MachineType) time.Duration { return 2 * t.ProvisioningTime() }
