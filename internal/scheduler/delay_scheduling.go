package scheduler

import (
	"time"
)

// Where the fleet is full, tasks end all over it many times a second, and the capacity that
// comes free next is as good for a job as what it is offered, but for the image: to fetch
// it can take half as long as the task runs. So a job lets machines without its image go by
// for a moment (delay scheduling), and jobs behind it with other images take them. Nothing
// is left empty for longer than one job's delay.

const (
	// arrayDelayShare is the part of the time a fetch takes that an array waits for.
	arrayDelayShare = 0.12

	// gangDelayShare is that for a gang: none of it runs before the slowest fetch is over.
	gangDelayShare = 0.4

	// maxDelayedGangTasks is the size up to which gangs wait for machines that all have
	// the image.
	maxDelayedGangTasks = 4

	// slowestFetchFactor is how much longer than its rate says the slowest of a gang's
	// fetches may take, and gangStartMargin what passes besides until it runs.
	slowestFetchFactor = 1.4
	gangStartMargin    = 3 * time.Second

	// lateFetchFactor is that factor where a late start would be a pity rather than a loss.
	lateFetchFactor = 1.15

	// preemptionDuration is about how long it takes until preempted machines are free.
	preemptionDuration = 8 * time.Second

	// delayRetryInterval is the time between two tries of a job that waits for its image.
	delayRetryInterval = 250 * time.Millisecond
)

// imageDelay is for how long a job lets machines without its image go by. It is set when
// it is first offered such.
type imageDelay struct {
	until    time.Time
	maxUntil time.Time // while machines that have the image are preempted for it
}

// imageDelayBounds are the bounds of a delay, from when it begins.
type imageDelayBounds struct {
	usual, max time.Duration
}

// delayForImage returns for how long a job, of which so many tasks need a machine, may let
// machines without its image go by, and false if it takes them at once. Fetch is how long
// its image usually takes; slack is what the service-level objectives leave (startSlack).
func (j *jobState) delayForImage(tasks int, scarce bool, fetch, slack time.Duration) (imageDelayBounds, bool) {
	if !j.isGang() {
		return imageDelayBounds{usual: scale(arrayDelayShare, fetch)}, scarce
	}
	bounds := imageDelayBounds{usual: min(scale(gangDelayShare, fetch), slack), max: slack}
	return bounds, tasks <= maxDelayedGangTasks
}

// waits reports whether the job lets machines without its image go by at the time. Machines
// that are preempted because they have the image are worth a longer delay, as far as the
// objectives leave it.
func (d *imageDelay) waits(bounds imageDelayBounds, p *preemption, now time.Time) bool {
	if d.until.IsZero() {
		d.until, d.maxUntil = now.Add(bounds.usual), now.Add(bounds.max)
	}
	if now.Before(d.until) {
		return true
	}
	return p.scope == machinesWithImage && now.Before(p.until) && now.Before(d.maxUntil)
}

// startSlack is how long a gang that has to fetch its image may wait and still start by the
// tightest of the service-level objectives for its class that it would probably meet if it
// began to fetch now; 0 if waiting would put that at risk.
func startSlack(startWithin []time.Duration, age, fetch time.Duration) time.Duration {
	tightest := time.Duration(0)
	for _, within := range startWithin {
		if within-age >= fetch {
			tightest = within - age
			break
		}
	}
	return max(0, tightest-scale(slowestFetchFactor, fetch)-gangStartMargin)
}

// timeToStart is how long the job's tasks may wait yet by the tightest of the service-level
// objectives for its class, and 0 if there is none.
func (j *jobState) timeToStart(now time.Time) time.Duration {
	if len(j.startWithin) == 0 {
		return 0
	}
	return max(0, j.startWithin[0]-now.Sub(j.readyAt))
}

// fetchMissesObjective reports whether a gang that has to fetch its image would start too
// late by the tightest of the service-level objectives for its class, and one for which
// machines with the image are preempted would not.
func (j *jobState) fetchMissesObjective(fetch time.Duration, now time.Time) bool {
	left := j.timeToStart(now)
	return left > preemptionDuration && left < scale(lateFetchFactor, fetch)
}

// scale multiplies a duration.
func scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}
