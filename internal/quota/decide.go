package quota

import (
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

// Snapshot is the state that grant decisions are based on.
type Snapshot struct {
	Teams        map[string]config.Team
	Usage        map[string]job.Resources // resources that each team holds on machines or is granted
	Unattributed job.Resources            // may be held by any team: the team is not known
	Reservations *Reservations
	Now          time.Time
}

// DecideGrants returns, in the order of the requests, whether each can be granted. The quota of its
// team must have room for it, for the granted requests before it, and for the reservation of
// another job. DecideGrants does not change the snapshot.
func DecideGrants(requests []GrantRequest, snapshot *Snapshot) []bool {
	granted := make([]bool, len(requests))
	grantedByTeam := map[string]job.Resources{}
	for i, request := range requests {
		total := grantedByTeam[request.Team].AddScaled(request.Need, 1)
		reserved := snapshot.Reservations.reservedFromOthers(request, snapshot.Now)
		if !snapshot.fitsQuota(request.Team, total, reserved) {
			continue
		}
		grantedByTeam[request.Team] = total
		granted[i] = true
	}
	return granted
}

// CanStart reports whether the reservation's job holds the latest reservation of its team and the
// team's quota has room for all that the job needs.
func CanStart(reservation *Reservation, snapshot *Snapshot) bool {
	return snapshot.Reservations.latestHolder(reservation.Team) == reservation.Job &&
		snapshot.fitsQuota(reservation.Team, reservation.Need, job.Resources{})
}

// fitsQuota reports whether the team's quota has room for addition, next to what is reserved for
// another of its jobs. It counts all unattributed resources as the team's.
func (s *Snapshot) fitsQuota(team string, addition, reserved job.Resources) bool {
	total := s.Usage[team].AddScaled(addition, 1).AddScaled(s.Unattributed, 1).AddScaled(reserved, 1)
	limits := s.Teams[team]
	if limits.CPUQuota > 0 && total.CPUs > limits.CPUQuota {
		return false
	}
	return limits.GPUQuota <= 0 || total.GPUs <= limits.GPUQuota
}
