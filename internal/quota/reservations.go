package quota

import (
	"time"

	"robinstack/internal/job"
)

// ReservationDuration is how long quota is reserved for a job after the last request of its
// scheduler, which repeats the request about every second.
const ReservationDuration = 4 * time.Second

// Reservations reserves free quota of each team for one job, so that small jobs do not take each
// GPU or CPU that becomes free from a job that waits for all it needs. It is not safe for
// concurrent use.
type Reservations struct {
	byTeam map[string]heldReservation
}

type heldReservation struct {
	Reservation
	until time.Time
}

// NewReservations returns Reservations without any job.
func NewReservations() *Reservations {
	return &Reservations{byTeam: map[string]heldReservation{}}
}

// Reserve reserves quota of a team for the requested job, unless another job of the team holds a
// reservation that has not expired and became ready to start no later. A team has one reservation
// at a time, so that no two jobs each hold a part of what the other needs.
func (r *Reservations) Reserve(requested Reservation, now time.Time) {
	held, ok := r.byTeam[requested.Team]
	otherHolds := ok && held.Job != requested.Job && now.Before(held.until)
	if otherHolds && held.Since <= requested.Since {
		return
	}
	r.byTeam[requested.Team] = heldReservation{requested, now.Add(ReservationDuration)}
}

// latestHolder returns the job of the team's latest reservation, which may have expired.
func (r *Reservations) latestHolder(team string) string { return r.byTeam[team].Job }

// reservedFromOthers returns the resources that a reservation of another job of the same team
// withholds from the request.
func (r *Reservations) reservedFromOthers(request GrantRequest, now time.Time) job.Resources {
	held, ok := r.byTeam[request.Team]
	if !ok || held.Job == request.Ref.Job || !now.Before(held.until) {
		return job.Resources{}
	}
	return held.Need
}
