package quota

import (
	"time"

	"robinstack/internal/job"
)

// ReservationDuration is how long capacity below a quota is kept for a job after its
// scheduler asked for it last; it asks about every second.
const ReservationDuration = 4 * time.Second

// Reservations keeps, for each team, capacity below its quota for one job, so that small
// jobs do not take each bit that comes free from one that waits for all it needs. It is
// not safe for concurrent use.
type Reservations struct {
	byTeam map[string]heldReservation
}

type heldReservation struct {
	Reservation
	until time.Time
}

// NewReservations returns an empty set of reservations.
func NewReservations() *Reservations {
	return &Reservations{byTeam: map[string]heldReservation{}}
}

// Reserve keeps a team's capacity for the job that could start earliest of those that asked
// lately: one at a time, so that none waits for another.
func (r *Reservations) Reserve(requested Reservation, now time.Time) {
	held, ok := r.byTeam[requested.Team]
	otherHolds := ok && held.Job != requested.Job && now.Before(held.until)
	if otherHolds && held.Since <= requested.Since {
		return
	}
	r.byTeam[requested.Team] = heldReservation{requested, now.Add(ReservationDuration)}
}

// holder is the job for which a team's capacity was kept last.
func (r *Reservations) holder(team string) string { return r.byTeam[team].Job }

// keptFrom is what is kept from a task of another job of the team.
func (r *Reservations) keptFrom(request GrantRequest, now time.Time) job.Resources {
	held, ok := r.byTeam[request.Team]
	if !ok || held.Job == request.Ref.Job || !now.Before(held.until) {
		return job.Resources{}
	}
	return held.Need
}
