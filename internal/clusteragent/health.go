package clusteragent

import (
	"time"

	"robinstack/internal/agentapi"
)

// Health returns the state of this controller's paths and its marked machines.
func (s *Service) Health(_ struct{}, reply *agentapi.Health) error {
	a := s.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Host, reply.StateOK, reply.Marked = a.member.Host, a.member.HoldsLease(), []agentapi.QuarantinedMachine{}
	for _, m := range a.machines {
		if m.gone || m.removing {
			continue
		}
		reply.Owned++
		if now.Sub(m.lastHeartbeat) < 2*a.settings.Workers.HeartbeatInterval {
			reply.Heard++
		}
		mark := agentapi.QuarantinedMachine{Machine: m.name}
		switch {
		case m.quarantined:
			mark.Why = "faulty: jobs failed here that run well elsewhere"
			for id := range m.attributedFailures {
				mark.Jobs = append(mark.Jobs, id)
			}
		case m.suspected(now):
			mark.Why = "in doubt: jobs failed here, and it is not known yet whose fault it was"
			for id := range m.unattributedFailures {
				mark.Jobs = append(mark.Jobs, id)
			}
		default:
			continue
		}
		reply.Marked = append(reply.Marked, mark)
	}
	return nil
}
