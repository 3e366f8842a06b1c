// Package leader is the elected role that decides how much each team may hold and how
// many machines the fleet has. One controller at a time is leader; it never picks a
// machine for a task.
package leader

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/autoscaler"
	"robinstack/internal/budget"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/peer"
	"robinstack/internal/policy"
	"robinstack/internal/quota"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// Leader is the role on this controller, whether it holds it or not.
type Leader struct {
	settings  *config.Settings
	policy    *policy.Policy
	mirror    *statekv.Mirror
	member    *statekv.Session
	call      peer.Caller
	cloud     cloud.API
	catalogue *cloud.Catalogue
	feed      *changefeed.Feed

	mu      sync.Mutex
	epoch   uint64 // 0: not steward
	cleared map[string]bool
	kept    map[string]reserved // by team
	settled bool
	ledger  ledger
	demand  map[string]demandAt
	fleet   fleet

	budget      *budget.Allocator // of this epoch
	budgetBegan time.Time

	retell chan []string // deleted machines of whose end their owners may not know
}

type demandAt struct {
	jobs []autoscaler.Demand
	at   time.Time
}

// New returns a steward that does not hold the role yet.
func New(settings *config.Settings, pol *policy.Policy, mirror *statekv.Mirror, member *statekv.Session, call peer.Caller, api cloud.API, catalogue *cloud.Catalogue) *Leader {
	return &Leader{settings: settings, policy: pol, mirror: mirror, member: member, call: call, cloud: api, catalogue: catalogue,
		ledger: newLedger(), kept: map[string]reserved{}, demand: map[string]demandAt{}, fleet: newFleet(), retell: make(chan []string)}
}

// Epoch is the steward epoch if this controller is steward, or 0.
func (s *Leader) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Run takes the role when it is free and does its duties until ctx ends.
func (s *Leader) Run(ctx context.Context, feed *changefeed.Feed) {
	s.mu.Lock()
	s.feed = feed
	s.mu.Unlock()
	var duties sync.WaitGroup
	duties.Go(func() { s.runList(ctx) })
	duties.Go(func() { s.runFleet(ctx) })
	duties.Go(func() { s.runRetelling(ctx) })
	tick := time.NewTicker(300 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		s.hold(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	duties.Wait()
}

func (s *Leader) hold(ctx context.Context) {
	kv, ok := s.mirror.Get(statekv.LeaderKey)
	h, err := statekv.HolderOf(kv)
	var later *statekv.SchemaError
	if ok && errors.As(err, &later) {
		s.mirror.ReportUndecodable(kv.Key, err)
		return
	}
	if ok && h != s.member.Holder && s.member.Alive(h) {
		s.mu.Lock()
		s.epoch = 0
		s.mu.Unlock()
		return
	}
	if !ok || h != s.member.Holder {
		if !s.member.HoldsLease() {
			return
		}
		tctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		rev, err := s.member.Acquire(tctx, statekv.Role{Key: statekv.LeaderKey, ExpectedRev: kv.Rev, PreviousHolder: h, Value: s.member.Holder})
		if err != nil || s.mirror.Wait(tctx, rev) != nil {
			return
		}
		s.begin(rev)
	} else if s.Epoch() != kv.Rev {
		// Our taking had no answer and was carried out all the same: by the key this
		// life is steward, and nobody else will be while it goes on.
		s.begin(kv.Rev)
	}
	s.settle()
}

// begin takes up the role under its key's revision.
func (s *Leader) begin(epoch uint64) {
	s.mu.Lock()
	s.epoch, s.settled, s.cleared = epoch, false, map[string]bool{}
	s.ledger.clearPermits()
	s.fleet = newFleet()
	s.budget, s.budgetBegan = budget.NewAllocator(epoch, s.settings.StateLimits.SharedWriteBudget(), s.settings.Hosts()), time.Now()
	s.mu.Unlock()
	s.feed.PollNow()
	slog.Info("leader elected", "epoch", epoch)
}

// settle checks which machines have shown all that was started under earlier
// stewards; the ledger counts from the moment all have.
func (s *Leader) settle() {
	s.mu.Lock()
	epoch, settled := s.epoch, s.settled
	s.mu.Unlock()
	if epoch == 0 || settled {
		return
	}
	left := 0
	for _, kv := range s.mirror.Dir(statekv.MachinePrefix) {
		name := strings.TrimPrefix(kv.Key, statekv.MachinePrefix)
		upTo, _ := s.feed.ConfirmedEpoch(kv)
		s.mu.Lock()
		if upTo >= epoch {
			s.cleared[name] = true
		}
		if !s.cleared[name] {
			left++
		}
		s.mu.Unlock()
	}
	if left > 0 {
		return
	}
	s.OnEntries(s.feed.Entries())
	s.mu.Lock()
	s.settled = true
	s.mu.Unlock()
	slog.Info("quota ledger reconciled")
}

// OnEntries keeps the ledger of what is on the machines.
func (s *Leader) OnEntries(entries []agentapi.MachineEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range entries {
		s.ledger.onEntry(&entries[i])
	}
}

// usage is what each team holds or is permitted to start. What may be on
// machines without anyone knowing comes extra, in blank: of a machine that has
// not shown all that earlier stewards permitted, or has a task of an unknown
// team, that is as much as it can hold, and it may be any team's.
func (s *Leader) usage() (use map[string]job.Need, blank job.Need) {
	if s.settled && len(s.ledger.dark) == 0 {
		return s.ledger.sums, blank
	}
	types := s.catalogue.Types()
	for _, kv := range s.mirror.Dir(statekv.MachinePrefix) {
		name := strings.TrimPrefix(kv.Key, statekv.MachinePrefix)
		if s.ledger.dark[name] || !s.settled && !s.cleared[name] {
			if key := shard.ParseMachineRecord(kv); key != nil {
				blank = blank.AddScaled(job.Capacity(types[key.Type]), 1)
			}
		}
	}
	return s.ledger.sums, blank
}

// reserveFor is how long room below a limit is kept for a job after its placer asked for
// it last; it asks about every second.
const reserveFor = 4 * time.Second

// reserved is the job of a team for which room is kept.
type reserved struct {
	quota.Reservation
	until time.Time
}

// reserve keeps a team's room for the job that could start earliest of those that asked
// lately: one at a time, so that none waits for another.
func (s *Leader) reserve(r quota.Reservation, now time.Time) {
	if was, ok := s.kept[r.Team]; ok && was.Job != r.Job && now.Before(was.until) && was.Since <= r.Since {
		return
	}
	s.kept[r.Team] = reserved{r, now.Add(reserveFor)}
}

// reservedFor is what is kept from a task of another job of the team.
func (s *Leader) reservedFor(w quota.GrantRequest, now time.Time) job.Need {
	was, ok := s.kept[w.Team]
	if !ok || was.Job == w.Ref.Job || !now.Before(was.until) {
		return job.Need{}
	}
	return was.Need
}

// within reports whether a team may use so much.
func (s *Leader) within(name string, use job.Need) bool {
	team := s.settings.Teams[name]
	return !(team.CPUQuota > 0 && use.CPUs > team.CPUQuota || team.GPUQuota > 0 && use.GPUs > team.GPUQuota)
}

var errNotSteward = errors.New("not steward")

// Service is what placers call.
type Service struct{ steward *Leader }

// NewService returns the net/rpc service of a steward.
func NewService(s *Leader) *Service { return &Service{steward: s} }

// Permit grants what the teams' limits leave room for. A permit stands until
// the task has shown up on a machine or the placer gives it back.
func (v *Service) Permit(r quota.Request, reply *quota.Reply) error {
	s := v.steward
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || !s.member.HoldsLease() {
		return errNotSteward
	}
	for _, ref := range r.Release {
		s.ledger.release(ref)
	}
	if r.Settled {
		s.ledger.releaseSlot(r.Slot, r.Epoch)
	}
	reply.Epoch = s.epoch
	reply.Granted = make([]bool, len(r.Wants))
	use, blank := s.usage()
	if len(s.catalogue.Types()) == 0 {
		return nil
	}
	if r.Reserve != nil {
		s.reserve(*r.Reserve, time.Now())
		reply.Reserved = s.kept[r.Reserve.Team].Job == r.Reserve.Job && s.within(r.Reserve.Team, use[r.Reserve.Team].AddScaled(r.Reserve.Need, 1).AddScaled(blank, 1))
	}
	added := map[string]job.Need{}
	for i, w := range r.Wants {
		total := added[w.Team].AddScaled(w.Need, 1)
		most := use[w.Team].AddScaled(total, 1).AddScaled(blank, 1).AddScaled(s.reservedFor(w, time.Now()), 1)
		if !s.within(w.Team, most) {
			continue
		}
		added[w.Team] = total
		reply.Granted[i] = true
	}
	for i, w := range r.Wants {
		if reply.Granted[i] && !r.Probe {
			s.ledger.grant(w.Ref, permit{account: account{team: w.Team, need: w.Need}, slot: r.Slot, epoch: r.Epoch})
		}
	}
	return nil
}

// Budget answers a controller's report of how many changes of the state service it needs.
func (v *Service) Budget(r budget.DemandReport, reply *budget.Grant) error {
	s := v.steward
	sessions := budget.SessionView{Alive: map[string]bool{}, Age: time.Since(s.mirror.FreshAsOf())}
	for _, host := range s.member.AliveHosts() {
		sessions.Alive[host] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || s.budget == nil || !s.member.HoldsLease() {
		return errNotSteward
	}
	*reply = s.budget.Allocate(r, sessions, time.Since(s.budgetBegan))
	return nil
}

// Demand takes note of what a controller's jobs need.
func (v *Service) Demand(r autoscaler.DemandRequest, _ *struct{}) error {
	s := v.steward
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand[r.Host] = demandAt{jobs: r.Jobs, at: time.Now()}
	return nil
}

// TeamUsage is what a team holds, for the status page.
func (s *Leader) TeamUsage() (use map[string]job.Need, steward bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use, _ = s.usage()
	return maps.Clone(use), s.epoch != 0
}
