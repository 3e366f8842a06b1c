package clusteragent

import (
	"time"

	"robinstack/internal/agentapi"
)

// Service is what other controllers, and this one's scheduler and leader, call by net/rpc. The
// names of its methods are the wire format.
type Service struct{ agent *Agent }

// NewService returns the net/rpc service of an agent.
func NewService(a *Agent) *Service { return &Service{agent: a} }

// Judge takes what schedulers found out about tasks that failed.
func (s *Service) Judge(attributions []agentapi.Attribution, _ *struct{}) error {
	a := s.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range attributions {
		if m := a.machines[attributions[i].Machine]; m != nil && !m.Deregistered() {
			m.AttributeFailure(&attributions[i], now)
			a.changes.mark(m)
		}
	}
	return nil
}

// Health returns the state of this controller's paths and its quarantined machines.
func (s *Service) Health(_ struct{}, reply *agentapi.Health) error {
	a := s.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Host, reply.StateOK, reply.Marked = a.session.Host, a.session.HoldsLease(), []agentapi.QuarantinedMachine{}
	for _, m := range a.machines {
		if !m.Operational() {
			continue
		}
		reply.Owned++
		if now.Sub(m.Liveness.LastContact) < 2*a.settings.Workers.HeartbeatInterval {
			reply.Heard++
		}
		if mark, marked := m.quarantineMark(now); marked {
			reply.Marked = append(reply.Marked, mark)
		}
	}
	return nil
}

// quarantineMark says why the machine gets no tasks for its failures, if so.
func (m *ownedMachine) quarantineMark(now time.Time) (mark agentapi.QuarantinedMachine, marked bool) {
	switch {
	case m.Quarantine.Active:
		return agentapi.QuarantinedMachine{
			Machine: m.Name,
			Why:     "faulty: jobs failed here that run well elsewhere",
			Jobs:    m.Quarantine.AttributedJobs(),
		}, true
	case m.Quarantine.Suspected(now):
		return agentapi.QuarantinedMachine{
			Machine: m.Name,
			Why:     "in doubt: jobs failed here, and it is not known yet whose fault it was",
			Jobs:    m.Quarantine.UnattributedJobs(),
		}, true
	}
	return mark, false
}
