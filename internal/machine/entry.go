package machine

import (
	"time"

	"robinstack/internal/agentapi"
)

// minReportedIdle is the shortest idle time in an entry of an idle machine, because 0 means that
// the machine is not idle.
const minReportedIdle = time.Millisecond

// Entry returns the machine's entry for watchers. host is the owner's host, version the agent's
// version of the machine's latest change.
func (m *Machine) Entry(host string, version uint64, now time.Time) agentapi.MachineEntry {
	e := agentapi.MachineEntry{
		Machine: m.Name, Host: host, Rev: m.Ownership.Rev, Ver: version,
		Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Settled:  m.Ownership.reconciled,
		Draining: m.lifecycle >= Draining,
		Silent:   !m.Liveness.Responsive() || m.Liveness.CommandsLost(now),
		Faulty:   m.Quarantine.Active,
		Blamed:   m.Quarantine.AttributedJobs(),
		Gone:     m.Deregistered(),
		Notice:   !m.reclaimAt.IsZero(),
	}
	if !m.idleSince.IsZero() {
		e.Idle = max(minReportedIdle, now.Sub(m.idleSince))
	}
	for image := range m.Images.present {
		e.Images = append(e.Images, image)
	}
	for _, t := range m.tasks {
		if t.state != Reserved {
			e.Tasks = append(e.Tasks, t.entry())
		}
	}
	return e
}

func (t *Task) entry() agentapi.TaskEntry {
	e := agentapi.TaskEntry{
		TaskRef: t.Ref, Slot: t.JobShard, State: string(t.state), Cause: t.cause, Saved: t.checkpointed,
	}
	if t.Spec != nil {
		e.Known, e.Team, e.Need = true, t.Spec.Team, t.Spec.Need
	}
	return e
}
