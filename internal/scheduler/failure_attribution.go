package scheduler

import (
	"time"

	"robinstack/internal/job"
)

// A failed task is attributed to its machine or to its job. A job of which anything has
// succeeded is sound, so its failures are the machines'. A job that failed on several
// machines and succeeded on none was submitted with a mistake: it must cost neither the
// fleet's capacity nor the machines' good standing. This file decides only; it calls
// nobody and reads no clock.

const (
	// jobFaultMachines is on how many machines a job must have failed before it, rather
	// than they, is at fault; where it failed on one of them again, two are enough.
	jobFaultMachines = 3

	// avoidDuration is how long a job keeps away from machines on which it failed. Where
	// there are few, it has to be tried there again.
	avoidDuration = 40 * time.Second

	// maxAvoided bounds the machines that a job keeps away from, the latest ones.
	maxAvoided = 6

	// maxBackoff is how long a job that fails on every machine waits at most between two
	// tries.
	maxBackoff = time.Minute

	// maxBackoffDoublings is after how many failures in a row the pause, of a second at
	// first, is not doubled any more: it is maxBackoff by then.
	maxBackoffDoublings = 6

	// maxRecordedFailures is from how many failures in a row on their number is not
	// recorded any more: the pause between two tries does not grow beyond that.
	maxRecordedFailures = 6
)

// attribution says what a failure of a job without any success is attributed to.
type attribution uint8

const (
	// faultUndecided: too few machines have failed it to tell.
	faultUndecided attribution = iota
	// jobFoundAtFault: with this failure it is the job.
	jobFoundAtFault
	// jobKnownAtFault: it was the job before already.
	jobKnownAtFault
)

// failureHistory is what is known of a job's failures. All but the machines to avoid counts
// since any task of it succeeded.
type failureHistory struct {
	avoid      []string // machines on which it failed lately, oldest first
	avoidUntil time.Time

	failedOn    map[string]bool // machines on which it failed
	consecutive int             // failures that count for the backoff
	jobAtFault  bool            // it fails on every machine, as far as known
	unrecorded  bool            // to be written into the job's record
}

// avoidMachine keeps the job away from a machine for some time.
func (f *failureHistory) avoidMachine(machine string, now time.Time) {
	f.avoid = append(f.avoid, machine)
	if len(f.avoid) > maxAvoided {
		f.avoid = f.avoid[1:]
	}
	f.avoidUntil = now.Add(avoidDuration)
}

// avoided returns the machines to keep away from.
func (f *failureHistory) avoided(now time.Time) []string {
	if now.After(f.avoidUntil) {
		f.avoid = nil
	}
	return f.avoid
}

// attribute takes up a failure on a machine, of a job without any success.
func (f *failureHistory) attribute(machine string) attribution {
	if f.failedOn == nil {
		f.failedOn = map[string]bool{}
	}
	again := f.failedOn[machine]
	f.failedOn[machine] = true
	if !again || f.jobAtFault {
		f.consecutive++
	}
	switch {
	case f.jobAtFault:
		return jobKnownAtFault
	case len(f.failedOn) >= jobFaultMachines || len(f.failedOn) > 1 && again:
		f.jobAtFault = true
		return jobFoundAtFault
	}
	return faultUndecided
}

// clear forgets the failures: a task of the job has succeeded. The machines are avoided
// for their time all the same.
func (f *failureHistory) clear() {
	f.failedOn, f.consecutive, f.jobAtFault = nil, 0, false
}

// restore takes up what an earlier scheduler recorded.
func (f *failureHistory) restore(recorded *job.FailureHistory, now time.Time) {
	f.failedOn = map[string]bool{}
	for _, machine := range recorded.Machines {
		f.failedOn[machine] = true
		f.avoid = append(f.avoid, machine)
	}
	f.avoidUntil = now.Add(avoidDuration)
	f.consecutive, f.jobAtFault = recorded.Consecutive, recorded.Suspected
}

// backoff is the pause before the next try.
func (f *failureHistory) backoff() time.Duration {
	doublings := min(max(0, f.consecutive), maxBackoffDoublings)
	return min(maxBackoff, time.Second<<doublings)
}
