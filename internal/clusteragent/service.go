package clusteragent

import (
	"time"

	"robinstack/internal/agentapi"
)

// Service is the net/rpc service that other controllers, and the scheduler and leader of this one,
// call. Its method names are part of the wire format.
type Service struct{ agent *Agent }

// NewService returns the net/rpc service of an agent.
func NewService(a *Agent) *Service { return &Service{agent: a} }

// Judge records the failure attributions of schedulers on the machines concerned.
func (s *Service) Judge(attributions []agentapi.Attribution, _ *struct{}) error {
	a := s.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range attributions {
		if m := a.machines[attributions[i].Machine]; m != nil && !m.Deregistered() {
			m.AttributeFailure(&attributions[i], now)
			a.changes.markChanged(m)
		}
	}
	return nil
}

// Health reports the state of this controller's connections and its quarantined and suspected
// machines.
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
		if status, restricted := m.quarantineStatus(now); restricted {
			reply.Marked = append(reply.Marked, status)
		}
	}
	return nil
}

// quarantineStatus returns why the machine gets no new tasks if that is due to failures of tasks.
func (m *ownedMachine) quarantineStatus(now time.Time) (status agentapi.QuarantinedMachine, restricted bool) {
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
			Jobs:    m.Quarantine.FailedJobs(),
		}, true
	}
	return status, false
}
