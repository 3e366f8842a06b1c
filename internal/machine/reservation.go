package machine

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// Reservation keeps a machine for one job: either tasks were preempted for that job, or it holds a
// backfill reservation for capacity as it becomes free. The zero value reserves for no job.
type Reservation struct {
	job        string
	until      time.Time
	readySince time.Time // when the job became ready to start
}

// Reserve keeps the machine for the request's job for the duration d.
func (r *Reservation) Reserve(req *agentapi.Request, now time.Time, d time.Duration) {
	r.job, r.until, r.readySince = req.Spec.ID, now.Add(d), now.Add(-req.Age)
}

// HeldBy reports whether the machine is reserved for the job.
func (r *Reservation) HeldBy(jobID string, now time.Time) bool {
	return r.job == jobID && now.Before(r.until)
}

// HeldByOther reports whether the machine is reserved for another job.
func (r *Reservation) HeldByOther(jobID string, now time.Time) bool {
	return r.job != jobID && now.Before(r.until)
}

// OutrankedBy reports whether the request's job may take over the reservation for a backfill
// reservation of its own, because it became ready to start before the job that holds the machine.
func (r *Reservation) OutrankedBy(req *agentapi.Request, now time.Time) bool {
	return now.Add(-req.Age).Before(r.readySince)
}

// gangHoldDuration is how long a machine that a gang has left is held for other gangs. If gangs
// arrive every few seconds, the next gang uses it. Without the hold, job arrays would fill the
// machine at once and be preempted again for that gang.
const gangHoldDuration = 8 * time.Second

// noGang is the priority that stands for the absence of gangs.
const noGang = -1

// GangHold holds a machine that a gang has just left for other gangs.
type GangHold struct {
	until    time.Time
	priority int // of the gang that left
}

// Excludes reports whether a job of the given priority must not use the machine because it is held
// for gangs.
func (g *GangHold) Excludes(priority int, now time.Time) bool {
	return priority < g.priority && now.Before(g.until)
}

// highestGangPriority returns the highest priority of the gangs on the machine, or noGang.
func (m *Machine) highestGangPriority() int {
	highest := noGang
	for _, t := range m.tasks {
		if t.Occupies() && t.Spec != nil && t.Spec.Shape == job.Gang {
			highest = max(highest, t.Spec.Priority())
		}
	}
	return highest
}
