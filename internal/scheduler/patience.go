package scheduler

import (
	"time"

	"robinstack/internal/job"
)

// Where the fleet is full, tasks end all over it many times a second, and the room
// that comes free next is as good for a job as the one that it is offered, but for
// the image: to fetch it can take half as long as the task runs. So a job lets
// rooms without its image go by for a moment, and jobs behind it with other images
// take them. Nothing is left empty for longer than one job's patience.

const (
	// patienceShare is the part of the time a fetch takes that a job is patient for.
	patienceShare = 0.12
	// gangPatience is that for a gang: none of it runs before the slowest fetch is over.
	gangPatience = 0.4
	// patientGangs is the size up to which gangs wait for machines that all have the image.
	patientGangs = 4
	// fetchDoubt is how much longer than its rate says the slowest of a gang's
	// fetches may take, and assembly what passes besides until it runs.
	fetchDoubt = 1.4
	assembly   = 3 * time.Second
	// coldDoubt is that where it would be a pity rather than a loss.
	coldDoubt = 1.15
	// clearing is about how long it takes until cleared machines are free.
	clearing = 8 * time.Second
	// patiencePause is the time between two tries.
	patiencePause = 250 * time.Millisecond
)

// patient reports whether the job lets rooms without its image go by, for some
// time from the first that it was offered.
func (p *Scheduler) patient(j *jobState, n int, scarce bool) bool {
	fetch := p.fetchTime(j.spec)
	most, slack := time.Duration(patienceShare*float64(fetch)), time.Duration(0)
	if j.spec.Shape == job.Gang {
		if n > patientGangs {
			return false
		}
		slack = p.aimSlack(j, fetch)
		most = min(time.Duration(gangPatience*float64(fetch)), slack)
	} else if !scarce {
		return false
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.patientTill.IsZero() {
		j.patientTill, j.patientMost = now.Add(most), now.Add(slack)
	}
	// Machines that are being cleared because they have the image are worth more
	// patience, as far as the aims leave it.
	return now.Before(j.patientTill) || j.clearNear && now.Before(j.clearUntil) && now.Before(j.patientMost)
}

// coldIsLate reports whether a gang that has to fetch its image would start too
// late by the tightest of the users' aims for its class, and one for which
// machines with the image are cleared would not.
func (p *Scheduler) coldIsLate(j *jobState) bool {
	left := p.timeLeft(j)
	return left > clearing && left < time.Duration(coldDoubt*float64(p.fetchTime(j.spec)))
}

// fetchTime is how long the job's image usually takes, by the slowest machine type
// that it may use.
func (p *Scheduler) fetchTime(spec *job.Spec) time.Duration {
	return spec.FetchTime(p.types())
}

// aimSlack is how long a gang that has to fetch its image may wait and still start
// by the tightest of the users' aims for its class that it would probably meet if it
// began to fetch now; 0 if waiting would put that at risk.
func (p *Scheduler) aimSlack(j *jobState, fetch time.Duration) time.Duration {
	age := time.Since(j.from)
	tightest := time.Duration(0)
	for _, within := range j.aims {
		if within-age >= fetch {
			tightest = within - age
			break
		}
	}
	return max(0, tightest-time.Duration(fetchDoubt*float64(fetch))-assembly)
}
