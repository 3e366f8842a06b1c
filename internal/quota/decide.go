package quota

import (
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

// Snapshot is what a decision about grants goes by.
type Snapshot struct {
	Teams        map[string]config.Team
	Usage        map[string]job.Resources // held and granted, by team
	Unattributed job.Resources            // held by nobody knows which team: it may be any
	Reservations *Reservations
	Now          time.Time
}

// Decide returns, in the order of the requests, which of them the teams' quotas have free
// capacity for. It changes nothing; earlier requests go first.
func Decide(requests []GrantRequest, snapshot *Snapshot) []bool {
	granted := make([]bool, len(requests))
	added := map[string]job.Resources{}
	for i, request := range requests {
		total := added[request.Team].AddScaled(request.Need, 1)
		kept := snapshot.Reservations.keptFrom(request, snapshot.Now)
		if !snapshot.allows(request.Team, total, kept) {
			continue
		}
		added[request.Team] = total
		granted[i] = true
	}
	return granted
}

// CanStart reports whether a reservation is held and its team's quota has free capacity for
// all that its job needs.
func CanStart(reservation *Reservation, snapshot *Snapshot) bool {
	return snapshot.Reservations.holder(reservation.Team) == reservation.Job &&
		snapshot.allows(reservation.Team, reservation.Need, job.Resources{})
}

// allows reports whether a team's quota admits an addition beside what is kept for another
// of its jobs, also if all that is unattributed is the team's.
func (s *Snapshot) allows(team string, addition, kept job.Resources) bool {
	total := s.Usage[team].AddScaled(addition, 1).AddScaled(s.Unattributed, 1).AddScaled(kept, 1)
	limits := s.Teams[team]
	if limits.CPUQuota > 0 && total.CPUs > limits.CPUQuota {
		return false
	}
	return limits.GPUQuota <= 0 || total.GPUs <= limits.GPUQuota
}
