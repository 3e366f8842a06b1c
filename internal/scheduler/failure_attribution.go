package scheduler

import (
	"time"

	"robinstack/internal/job"
)

// A failed task is attributed to its machine or to its job. If any task of a job has completed, the
// job's failures are attributed to the machines. A job that failed on several machines without any
// completed task was submitted with a mistake; such a job must neither use up the cluster's
// capacity nor get machines quarantined. The code in this file only decides: it sends no messages
// and does not read the clock.

const (
	// jobFaultMachines is the number of machines on which a job must have failed before its
	// failures are attributed to the job. Two machines are enough if it failed again on one of
	// them.
	jobFaultMachines = 3

	// avoidDuration is how long a job is not placed on machines on which it failed. It is limited
	// because a job with few eligible machines has to be tried there again.
	avoidDuration = 40 * time.Second

	// refusalAvoidDuration is how long a job is not placed on machines whose workers had no room for its
	// tasks. Their owners count too much capacity as free, mostly for a moment.
	refusalAvoidDuration = 10 * time.Second

	// maxAvoided bounds the machines that a job avoids; the most recent ones are kept.
	maxAvoided = 6

	// maxBackoff is the maximum time between two attempts at a job that fails on every machine.
	maxBackoff = time.Minute

	// maxBackoffDoublings is the number of consecutive failures after which the backoff, which
	// starts at one second, is not doubled any more: it has reached maxBackoff by then.
	maxBackoffDoublings = 6

	// maxRecordedFailures is the number of consecutive failures after which further ones are not
	// recorded: the backoff does not grow beyond it.
	maxRecordedFailures = 6
)

// attribution is what a failure of a job without any completed task is attributed to.
type attribution uint8

const (
	// faultUndecided: the job has failed on too few machines to decide.
	faultUndecided attribution = iota
	// jobFoundAtFault: with this failure, the job is found to be at fault.
	jobFoundAtFault
	// jobKnownAtFault: the job was already at fault before this failure.
	jobKnownAtFault
)

// failureHistory holds the failures of a job. Except for the avoided machines, it covers the time
// since a task of the job last completed.
type failureHistory struct {
	avoidedMachines []string // machines of recent failures and of refused starts, oldest first
	avoidUntil      time.Time

	failedOn    map[string]bool // machines on which the job failed
	consecutive int             // failures that count for the backoff
	jobAtFault  bool            // the failures are attributed to the job
	unrecorded  bool            // the history has to be written into the job's record
}

// avoidMachine keeps the job off a machine for the given time, and off those that it avoids already
// for at least as long.
func (f *failureHistory) avoidMachine(machine string, duration time.Duration, now time.Time) {
	f.avoidedMachines = append(f.avoidedMachines, machine)
	if len(f.avoidedMachines) > maxAvoided {
		f.avoidedMachines = f.avoidedMachines[1:]
	}
	if until := now.Add(duration); until.After(f.avoidUntil) {
		f.avoidUntil = until
	}
}

// avoided returns the machines on which the job must not be placed now.
func (f *failureHistory) avoided(now time.Time) []string {
	if now.After(f.avoidUntil) {
		f.avoidedMachines = nil
	}
	return f.avoidedMachines
}

// attribute adds a failure on a machine, of a job without any completed task, and returns what the
// failure is attributed to.
func (f *failureHistory) attribute(machine string) attribution {
	if f.failedOn == nil {
		f.failedOn = map[string]bool{}
	}
	repeated := f.failedOn[machine]
	f.failedOn[machine] = true
	if !repeated || f.jobAtFault {
		f.consecutive++
	}
	switch {
	case f.jobAtFault:
		return jobKnownAtFault
	case len(f.failedOn) >= jobFaultMachines || len(f.failedOn) > 1 && repeated:
		f.jobAtFault = true
		return jobFoundAtFault
	}
	return faultUndecided
}

// clear drops the failures because a task of the job has completed. Machines are still avoided
// until avoidUntil.
func (f *failureHistory) clear() {
	f.failedOn, f.consecutive, f.jobAtFault = nil, 0, false
}

// restore sets the history to what an earlier scheduler recorded.
func (f *failureHistory) restore(recorded *job.FailureHistory, now time.Time) {
	f.failedOn = map[string]bool{}
	for _, machine := range recorded.Machines {
		f.failedOn[machine] = true
		f.avoidedMachines = append(f.avoidedMachines, machine)
	}
	f.avoidUntil = now.Add(avoidDuration)
	f.consecutive, f.jobAtFault = recorded.Consecutive, recorded.Suspected
}

// backoff returns the time to wait before the next attempt.
func (f *failureHistory) backoff() time.Duration {
	doublings := min(max(0, f.consecutive), maxBackoffDoublings)
	return min(maxBackoff, time.Second<<doublings)
}
