package scheduler

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"robinstack/internal/changefeed"
	"robinstack/internal/job"
	"robinstack/internal/quota"
	"robinstack/internal/recovery"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// slotState is a slot that this controller holds. One that was another's has jobs
// of which tasks may run that nobody here knows of: on machines that have not
// been confirmed by their owner since the slot was taken.
type slotState struct {
	epoch   uint64
	takenAt time.Time
	settled bool // every machine has been confirmed
	// open are the machines that have not, by what decides which jobs they may
	// have; kinds counts them. No machine is added later: one whose first key is
	// younger than the epoch has an owner that knows the epoch.
	open   map[string]kind
	kinds  map[kind]int
	toldAt time.Time // when the log last said what it waits for
}

// kind is what never changes about a machine and rules jobs out.
type kind struct {
	typeName, zone string
	spot           bool
}

func (s *slotState) confirm(machine string) {
	k, ok := s.open[machine]
	if !ok {
		return
	}
	delete(s.open, machine)
	if s.kinds[k]--; s.kinds[k] == 0 {
		delete(s.kinds, k)
	}
}

// mayStart reports whether tasks of the job that are not located can be
// started: not before every machine that may have one of them from an earlier
// placer has been confirmed. A machine whose type, zone or kind the job does not
// allow, or on which its tasks have no room, cannot: every owner checks that
// before it sends a start (agent.Commit).
func (p *Scheduler) mayStart(j *jobState) bool {
	s := p.slots[j.slot]
	switch {
	case s == nil:
		return false
	case j.fresh || s.settled:
		return true
	}
	types := p.types()
	for k := range s.kinds {
		t, known := types[k.typeName]
		if j.spec.AllowsMachine(k.typeName, k.zone, k.spot) && (!known || j.spec.FitsIn(job.Capacity(t))) {
			return false
		}
	}
	return true
}

// holdSlots takes slots whose placer's life is over, and a new one if this
// controller has none; then it checks whether those taken have settled.
func (p *Scheduler) holdSlots(ctx context.Context) {
	if !p.member.HoldsLease() {
		return
	}
	p.mu.Lock()
	none := p.home == ""
	for id, s := range p.slots {
		kv, ok := p.mirror.Get(statekv.JobShardPrefix + id)
		if h, err := statekv.HolderOf(kv); ok && kv.Rev > s.epoch && err == nil && h != p.member.Holder {
			p.member.Abort(fmt.Errorf("slot %s was taken by %s", id, h.Host))
		}
	}
	p.mu.Unlock()
	if none { // first, for users wait for it
		p.takeHome(ctx)
	}
	p.takeSlots(ctx)
	p.settleSlots(ctx)
}

func (p *Scheduler) takeHome(ctx context.Context) {
	tctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	id := fmt.Sprintf("%s.%d", p.member.Host, p.member.Incarnation)
	epoch, err := p.member.Acquire(tctx, statekv.Role{Key: statekv.JobShardPrefix + id, Value: p.member.Holder})
	if err != nil || p.mirror.Wait(tctx, epoch) != nil {
		slog.Debug("job shard creation failed", "job_shard", id, "err", err)
		return
	}
	p.mu.Lock()
	p.slots[id] = &slotState{epoch: epoch, takenAt: time.Now(), settled: true}
	p.home = id
	p.mu.Unlock()
	slog.Info("job shard acquired", "job_shard", id, "epoch", epoch)
}

// takeSlots takes, all together, the slots that fall to this controller.
func (p *Scheduler) takeSlots(ctx context.Context) {
	heirs := p.member.Successors(p.settings.Hosts())
	var roles []statekv.Role
	ours := map[string]uint64{}
	for _, kv := range p.mirror.Dir(statekv.JobShardPrefix) {
		id := strings.TrimPrefix(kv.Key, statekv.JobShardPrefix)
		h, err := statekv.HolderOf(kv)
		p.mu.Lock()
		held := p.slots[id] != nil
		p.mu.Unlock()
		switch {
		case err != nil:
			p.mirror.ReportUndecodable(kv.Key, err)
		case held:
		case h == p.member.Holder:
			ours[kv.Key] = kv.Rev // taken before, and the answer was lost
		case !p.member.Alive(h) && heir(id, h.Host, heirs) == p.member.Host:
			roles = append(roles, statekv.Role{Key: kv.Key, ExpectedRev: kv.Rev, PreviousHolder: h, Value: p.member.Holder})
		}
	}
	tctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	taken, err := p.member.AcquireAll(tctx, roles, p.settings.StateLimits.MaxTxnOps)
	if err != nil {
		slog.Debug("job shard acquisition failed", "err", err)
	}
	maps.Copy(taken, ours)
	if len(taken) > 0 {
		p.adopt(ctx, taken)
	}
}

// heir is who takes a slot over: its own controller if it is back, else one of
// the others, another for each slot.
func heir(slot, host string, hosts []string) string {
	if slices.Contains(hosts, host) || len(hosts) == 0 {
		return host
	}
	h := fnv.New32a()
	h.Write([]byte(slot))
	return hosts[int(h.Sum32()>>1)%len(hosts)]
}

// adopt takes up the unfinished jobs of slots that were others', given by key with
// their epochs.
func (p *Scheduler) adopt(ctx context.Context, taken map[string]uint64) {
	slots, latest := map[string]*slotState{}, uint64(0)
	for key, epoch := range taken {
		slots[strings.TrimPrefix(key, statekv.JobShardPrefix)] = &slotState{epoch: epoch, takenAt: time.Now()}
		latest = max(latest, epoch)
	}
	// From then on the mirror has every record that the earlier placers wrote,
	// and every machine to which their starts can have been sent.
	if p.mirror.Wait(ctx, latest) != nil {
		return
	}
	for _, kv := range p.mirror.Dir(statekv.MachinePrefix) {
		name := strings.TrimPrefix(kv.Key, statekv.MachinePrefix)
		var k kind
		if key := shard.ParseMachineRecord(kv); key != nil {
			k = kind{key.Type, key.Zone, key.Spot}
		}
		for _, s := range slots {
			if s.open == nil {
				s.open, s.kinds = map[string]kind{}, map[kind]int{}
			}
			s.open[name] = k
			s.kinds[k]++
		}
	}
	for err := p.loadSlots(ctx, slots); err != nil; err = p.loadSlots(ctx, slots) {
		slog.Warn("job shard load failed", "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
	p.mu.Lock()
	for id, s := range slots {
		p.slots[id] = s
	}
	jobs := map[string]int{}
	for _, j := range p.jobs {
		jobs[j.slot]++
	}
	p.mu.Unlock()
	for id, s := range slots {
		slog.Info("job shard acquired", "job_shard", id, "epoch", s.epoch, "jobs", jobs[id], "machines", len(s.open))
	}
	// Tasks that the feed has shown already are located now.
	if p.feed != nil {
		p.feed.PollNow()
		p.OnEntries(p.feed.Entries())
	}
}

// loadSlots takes up the unfinished jobs of slots that were others'.
func (p *Scheduler) loadSlots(ctx context.Context, slots map[string]*slotState) error {
	for _, kv := range p.mirror.Dir(job.RecordPrefix) {
		rec, err := job.ParseRecord(kv.Value)
		if err == nil && slots[rec.JobShard] == nil {
			continue
		}
		if err == nil {
			err = rec.JoinSpec(p.mirror.Get)
		}
		if err != nil {
			p.mirror.ReportUndecodable(kv.Key, err)
			continue
		}
		rec.KeepUnknownFields(kv.Value)
		if err := p.load(ctx, rec, kv.Rev, false); err != nil {
			return err
		}
	}
	return nil
}

// settleSlots checks which machines have shown all that earlier placers may
// have left on them; a slot settles when every machine has.
func (p *Scheduler) settleSlots(ctx context.Context) {
	p.mu.Lock()
	names := map[string]bool{}
	for _, s := range p.slots {
		for name := range s.open {
			names[name] = true
		}
	}
	p.mu.Unlock()
	if p.feed == nil {
		return
	}
	upTo, why := map[string]uint64{}, map[string]string{}
	for name := range names {
		kv, ok := p.mirror.Get(statekv.MachinePrefix + name)
		if !ok {
			// Its key is removed only when its tasks are proven gone.
			upTo[name] = changefeed.AllEpochs
			continue
		}
		upTo[name], why[name] = p.feed.ConfirmedEpoch(kv)
	}
	now := time.Now()
	confirmed := map[string]*slotState{}
	p.mu.Lock()
	for id, s := range p.slots {
		if s.settled {
			continue
		}
		one := ""
		for name := range s.open {
			if rev, checked := upTo[name]; checked && rev >= s.epoch {
				s.confirm(name)
			} else {
				one = name
			}
		}
		if one == "" {
			confirmed[id] = s
		} else if now.Sub(s.toldAt) > 5*time.Second && now.Sub(s.takenAt) > time.Second {
			s.toldAt = now
			slog.Info("job shard reconciliation pending", "job_shard", id, "machines", len(s.open), "machine", one, "reason", why[one])
		}
	}
	p.mu.Unlock()
	if len(confirmed) == 0 {
		if len(names) > 0 {
			p.wake() // some jobs may not have to wait any longer
		}
		return
	}
	p.OnEntries(p.feed.Entries())
	for id, s := range confirmed {
		p.mu.Lock()
		s.settled, s.open, s.kinds = true, nil, nil
		p.mu.Unlock()
		slog.Info("job shard reconciled", "job_shard", id, "elapsed", now.Sub(s.takenAt).Round(time.Millisecond))
		p.tellSettled(ctx, id, s.epoch)
	}
	p.RecoveryTimeline.Record(recovery.StepReconciled)
	p.wake()
}

// tellSettled tells the steward that what earlier placers of the slot were
// permitted to start and did not is not going to be started.
func (p *Scheduler) tellSettled(ctx context.Context, id string, epoch uint64) {
	cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := p.permits(cctx, quota.Request{Slot: id, Epoch: epoch, Settled: true}); err != nil {
		slog.Debug("job shard reconciliation report to leader failed", "err", err)
	}
}

// dropSlots removes the keys of slots without jobs. Nothing can be added to them:
// whoever took a slot puts no new jobs into it, and what its earlier placers wrote
// late carries the condition that the key has their revision. Otherwise every
// failure of a controller would leave a slot behind for good.
func (p *Scheduler) dropSlots(ctx context.Context) {
	if !p.member.HoldsLease() {
		return
	}
	p.forgetSlots()
	p.mu.Lock()
	used := map[string]bool{p.home: true}
	for _, j := range p.jobs {
		used[j.slot] = true
	}
	var ids []string
	var when []statekv.Compare
	var then []statekv.Op
	for id, s := range p.slots {
		if s.settled && !used[id] && len(then) < p.store.MaxTxnOps(min(maxFlushes, p.settings.StateLimits.MaxTxnOps)) {
			ids = append(ids, id)
			when = append(when, statekv.Compare{Key: statekv.JobShardPrefix + id, Rev: s.epoch})
			then = append(then, statekv.Op{Delete: statekv.JobShardPrefix + id})
		}
	}
	p.mu.Unlock()
	if len(ids) == 0 || !p.store.Allow(statekv.ClassMaintenance, len(ids)) {
		return
	}
	tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	rev, err := p.member.Write(tctx, when, then)
	if err != nil || p.mirror.Wait(tctx, rev) != nil {
		// If they were removed after all, the mirror will show it.
		slog.Debug("empty job shard removal failed", "job_shards", ids, "err", err)
		return
	}
	p.forgetSlots()
}

// forgetSlots drops the slots whose keys have been removed.
func (p *Scheduler) forgetSlots() {
	rev := p.mirror.Rev()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.slots {
		if _, ok := p.mirror.Get(statekv.JobShardPrefix + id); !ok && rev >= s.epoch {
			delete(p.slots, id)
		}
	}
}
