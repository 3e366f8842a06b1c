package leader

import (
	"errors"
	"time"

	"robinstack/internal/autoscaler"
	"robinstack/internal/budget"
	"robinstack/internal/quota"
)

var errNotLeader = errors.New("controller is not the leader or does not hold its lease")

// Service is the net/rpc service "Steward", which schedulers and controllers on all hosts call. Its
// method names are part of the protocol and must not change.
type Service struct{ leader *Leader }

// NewService returns the net/rpc service of l.
func NewService(l *Leader) *Service { return &Service{leader: l} }

// Permit grants the requested tasks that fit the quotas of their teams. A grant is valid until a
// machine shows the task or the scheduler releases the grant.
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
		return nil // the capacity of unconfirmed machines is unknown
	}
	snapshot := l.quotaSnapshot(time.Now())
	if request.Reserve != nil {
		l.reservations.Reserve(*request.Reserve, snapshot.Now)
		reply.Reserved = quota.CanStart(request.Reserve, snapshot)
	}
	reply.Granted = quota.DecideGrants(request.Wants, snapshot)
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

// Budget answers a controller's report of the writes to the state service that it needs, with its
// share of the write budget.
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

// Demand records what a controller's jobs need. A controller that is not the leader records it too,
// because it may become the leader next.
func (s *Service) Demand(request autoscaler.DemandRequest, _ *struct{}) error {
	l := s.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demand.Record(request, time.Now())
	return nil
}

// Overdue returns, by pool, the machines whose provisioning takes longer than usual in that pool.
func (s *Service) Overdue(_ struct{}, reply *[]autoscaler.OverduePool) error {
	l := s.leader
	now := time.Now()
	types := l.catalogue.Types()
	l.mu.Lock()
	defer l.mu.Unlock()
	*reply = l.fleet.OverduePools(types, now)
	return nil
}
