package machine

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// Reservation keeps a machine for one job, for which tasks were preempted or whose capacity
// is reserved as it comes free. The zero value keeps it for nobody.
type Reservation struct {
	job   string
	until time.Time
	since time.Time // since when that job could start
}

// Reserve keeps the machine for the request's job.
func (r *Reservation) Reserve(req *agentapi.Request, now time.Time, d time.Duration) {
	r.job, r.until, r.since = req.Spec.ID, now.Add(d), now.Add(-req.Age)
}

// HeldBy reports whether the machine is kept for the job.
func (r *Reservation) HeldBy(jobID string, now time.Time) bool {
	return r.job == jobID && now.Before(r.until)
}

// HeldByOther reports whether the machine is kept for another job.
func (r *Reservation) HeldByOther(jobID string, now time.Time) bool {
	return r.job != jobID && now.Before(r.until)
}

// OutrankedBy reports whether a job that reserves capacity as it comes free may have a machine
// that is kept for another: that one could start later.
func (r *Reservation) OutrankedBy(req *agentapi.Request, now time.Time) bool {
	return now.Add(-req.Age).Before(r.since)
}

// gangHoldTime is how long a machine that a gang has left is kept for other gangs.
// Where gangs come every few seconds the next takes it; otherwise arrays would
// fill it at once and be stopped again for that gang.
const gangHoldTime = 8 * time.Second

// noGang is the priority where there is no gang.
const noGang = -1

// GangHold keeps a machine that a gang has just left for the next one, for a moment.
type GangHold struct {
	until    time.Time
	priority int // of the gang that left
}

// Excludes reports whether a job of that priority has to leave the machine to gangs.
func (g *GangHold) Excludes(priority int, now time.Time) bool {
	return priority < g.priority && now.Before(g.until)
}

// gangPriority is the highest priority of the gangs on the machine, or noGang.
func (m *Machine) gangPriority() int {
	highest := noGang
	for _, t := range m.tasks {
		if t.Occupies() && t.Spec != nil && t.Spec.Shape == job.Gang {
			highest = max(highest, t.Spec.Priority())
		}
	}
	return highest
}
