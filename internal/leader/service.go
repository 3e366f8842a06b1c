package leader

import (
	"errors"
	"time"

	"robinstack/internal/autoscaler"
	"robinstack/internal/budget"
	"robinstack/internal/quota"
)

var errNotLeader = errors.New("not the leader")

// Service is the net/rpc service "Steward", which the schedulers and controllers of all
// hosts call. Its methods are on the wire and keep their names.
type Service struct{ leader *Leader }

// NewService returns the net/rpc service of a leader.
func NewService(l *Leader) *Service { return &Service{leader: l} }

// Permit grants what the teams' quotas have free capacity for. A grant stands until the
// task has shown up on a machine or the scheduler releases it.
func (s *Service) Permit(request quota.Request, reply *quota.Reply) error {
	l := s.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 || !l.session.HoldsLease() {
		return errNotLeader
	}
	for _, ref := range request.Release {
		l.ledger.Release(ref)
	}
	if request.Settled {
		l.ledger.ReleaseJobShard(request.Slot, request.Epoch)
	}
	reply.Epoch = l.epoch
	reply.Granted = make([]bool, len(request.Wants))
	if len(l.catalogue.Types()) == 0 {
		return nil // what unknown machines may hold is not known
	}
	snapshot := l.quotaSnapshot(time.Now())
	if request.Reserve != nil {
		l.reservations.Reserve(*request.Reserve, snapshot.Now)
		reply.Reserved = quota.CanStart(request.Reserve, snapshot)
	}
	reply.Granted = quota.Decide(request.Wants, snapshot)
	if request.Probe {
		return nil
	}
	for i, granted := range reply.Granted {
		if granted {
			l.ledger.Grant(request.Wants[i], request.Slot, request.Epoch)
		}
	}
	return nil
}

// Budget answers a controller's report of how many changes of the state service it needs.
func (s *Service) Budget(report budget.DemandReport, reply *budget.Grant) error {
	l := s.leader
	sessions := budget.SessionView{Alive: map[string]bool{}, Age: time.Since(l.mirror.FreshAsOf())}
	for _, host := range l.session.AliveHosts() {
		sessions.Alive[host] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 || l.budget == nil || !l.session.HoldsLease() {
		return errNotLeader
	}
	*reply = l.budget.Allocate(report, sessions, time.Since(l.budgetStarted))
	return nil
}

// Demand takes note of what a controller's jobs need, also where another controller leads:
// this one may be next.
func (s *Service) Demand(request autoscaler.DemandRequest, _ *struct{}) error {
	l := s.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demand.Record(request, time.Now())
	return nil
}

// Overdue lists, by pool, machines whose provisioning takes longer than is usual there.
func (s *Service) Overdue(_ struct{}, reply *[]autoscaler.OverduePool) error {
	l := s.leader
	now := time.Now()
	types := l.catalogue.Types()
	l.mu.Lock()
	defer l.mu.Unlock()
	*reply = l.fleet.OverduePools(types, now)
	return nil
}
