package scheduler

import (
	"time"
)

// Delay scheduling for container images: a job passes over machines without its image for a short
// time, and jobs behind it with other images use them. When the cluster is full, tasks end on some
// machine many times a second, so the next capacity that comes free is as good as the capacity
// offered now, except that it may not need a fetch of the image. A fetch can take half as long as
// the task runs. No capacity stays unused for longer than the delay of one job.

const (
	// arrayDelayShare is the delay of an array as a share of the fetch time.
	arrayDelayShare = 0.12

	// gangDelayShare is the delay of a gang as a share of the fetch time. It is larger than that of
	// arrays because no member runs before the slowest fetch has ended.
	gangDelayShare = 0.4

	// maxDelayedGangTasks is the number of tasks up to which a gang waits for machines that all
	// have the image.
	maxDelayedGangTasks = 4

	// slowestFetchFactor is the ratio of the slowest image fetch among a gang's members to the
	// estimated fetch time. gangStartMargin is the additional time until the gang runs.
	slowestFetchFactor = 1.4
	gangStartMargin    = 3 * time.Second

	// lateFetchFactor times the estimated fetch time is the fetch time that a gang is assumed to
	// need when it decides whether to preempt tasks on machines that have its image. It is lower
	// than slowestFetchFactor because it is acceptable that a gang which did not preempt
	// occasionally starts late.
	lateFetchFactor = 1.15

	// preemptionDuration estimates the time from a preemption until the capacity is free.
	preemptionDuration = 8 * time.Second

	// delayRetryInterval is the time between two placements of a job that waits for its image.
	delayRetryInterval = 250 * time.Millisecond
)

// imageDelay limits how long a job passes over machines without its image. It is set when such a
// machine is first offered to the job.
type imageDelay struct {
	until    time.Time
	maxUntil time.Time // replaces until while tasks on machines with the image are being preempted for the job
}

// imageDelayBounds are the limits of a delay, counted from its start.
type imageDelayBounds struct {
	usual, max time.Duration
}

// delayBounds returns how long a job that needs machines for the given number of tasks may pass
// over machines without its image, and false if it must accept them at once. exhausted reports
// whether the sample exhausted all machines, fetch is the estimated fetch time of the image, and
// slack is the time that the start targets leave (see startSlack).
func (j *jobState) delayBounds(tasks int, exhausted bool, fetch, slack time.Duration) (imageDelayBounds, bool) {
	if !j.isGang() {
		return imageDelayBounds{usual: scaleDuration(arrayDelayShare, fetch)}, exhausted
	}
	bounds := imageDelayBounds{usual: min(scaleDuration(gangDelayShare, fetch), slack), max: slack}
	return bounds, tasks <= maxDelayedGangTasks
}

// shouldWait reports whether the job passes over machines without its image at the given time. The
// delay is longer, within the start targets, while tasks are being preempted on machines that have
// the image.
func (d *imageDelay) shouldWait(bounds imageDelayBounds, preempting *preemption, now time.Time) bool {
	if d.until.IsZero() {
		d.until, d.maxUntil = now.Add(bounds.usual), now.Add(bounds.max)
	}
	if now.Before(d.until) {
		return true
	}
	return preempting.scope == machinesWithImage && now.Before(preempting.until) && now.Before(d.maxUntil)
}

// startSlack returns how long a gang that has to fetch its image may wait and still meet a start
// target: the tightest target that it would meet, by the estimated fetch time, if the fetch began
// now. It returns 0 if waiting would risk missing that target. startTargets lists all targets
// in rising order.
func startSlack(startTargets []time.Duration, age, fetch time.Duration) time.Duration {
	remaining := time.Duration(0)
	for _, target := range startTargets {
		if target-age >= fetch {
			remaining = target - age
			break
		}
	}
	return max(0, remaining-scaleDuration(slowestFetchFactor, fetch)-gangStartMargin)
}

// timeToStartTarget returns the time left until the job's tightest start target; 0 if the target is
// missed or there is none.
func (j *jobState) timeToStartTarget(now time.Time) time.Duration {
	if len(j.startTargets) == 0 {
		return 0
	}
	return max(0, j.startTargets[0]-now.Sub(j.readyAt))
}

// fetchMissesStartTarget reports whether a gang would miss its tightest start target if it fetched
// its image, but could meet it by preempting tasks on machines that have the image.
func (j *jobState) fetchMissesStartTarget(fetch time.Duration, now time.Time) bool {
	remaining := j.timeToStartTarget(now)
	return remaining > preemptionDuration && remaining < scaleDuration(lateFetchFactor, fetch)
}

// scaleDuration multiplies a duration by a factor.
func scaleDuration(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}
