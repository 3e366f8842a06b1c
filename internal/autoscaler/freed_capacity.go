package autoscaler

import (
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// freedCapacityForecast is the capacity, in GPU equivalents, that running tasks of job arrays free
// over time. A job whose deadline is far enough away waits for that capacity instead of new
// machines.
type freedCapacityForecast struct {
	freedPerSecond float64 // capacity that is freed per second
	reserved       float64 // capacity that is already set aside for waiting jobs
	growing        bool    // whether the backlog grows: later jobs will need the capacity that is freed later
	provisioningS  float64 // seconds that a machine takes to come up
	fetchGBPerS    float64 // rate at which a machine fetches images, 0 if unknown
}

const (
	// forecastShare is the fraction of the expected capacity that the plan counts on. Some of the
	// capacity goes to gangs, and estimates are inexact.
	forecastShare = 0.8
	// imageMissShare is the fraction of the image fetch time that tasks wait on average. Some
	// machines already have the image.
	imageMissShare = 0.5
	// estimateMargin is the assumed ratio of a task's duration to its user's estimate.
	estimateMargin = 1.2
	// lateDeadlineShare is the fraction of DeadlineS by which a job may be late if it will miss its
	// deadline in any case.
	lateDeadlineShare = 0.5
	// lateSlackS is how many seconds a job may wait for freed capacity if it will be later than
	// lateDeadlineShare allows.
	lateSlackS = 60
	// cpusPerGPU is the number of CPUs that count as one GPU equivalent, for tasks without GPUs.
	cpusPerGPU = 8
	// minGPUEquivalents avoids a division by zero for tasks that need neither CPUs nor GPUs.
	minGPUEquivalents = 1e-3
)

// newFreedCapacityForecast returns an empty forecast with the longest provisioning time and the
// lowest fetch rate of all machine types.
func newFreedCapacityForecast(types map[string]cloud.MachineType) freedCapacityForecast {
	var f freedCapacityForecast
	for _, m := range types {
		f.provisioningS = max(f.provisioningS, m.ProvisioningS)
		if m.FetchGBPerS > 0 && (f.fetchGBPerS == 0 || m.FetchGBPerS < f.fetchGBPerS) {
			f.fetchGBPerS = m.FetchGBPerS
		}
	}
	return f
}

// fetchS returns the average time in seconds that the job's tasks wait for their image.
func (f *freedCapacityForecast) fetchS(spec *job.Spec) float64 {
	if f.fetchGBPerS == 0 {
		return 0
	}
	return imageMissShare * spec.ImageGB / f.fetchGBPerS
}

// gpuEquivalents returns the size of a task in GPU equivalents: its GPUs or, if it needs none, its
// CPUs divided by cpusPerGPU.
func gpuEquivalents(need job.Resources) float64 {
	if need.GPUs > 0 {
		return need.GPUs
	}
	return need.CPUs / cpusPerGPU
}

// add adds the capacity that a job's running tasks free per second.
func (f *freedCapacityForecast) add(d *Demand) {
	if d.Spec.Shape != job.Array || d.Spec.EstimateS <= 0 {
		return
	}
	f.freedPerSecond += float64(d.Running) * gpuEquivalents(d.Spec.Need) / (d.Spec.EstimateS + f.fetchS(&d.Spec))
}

// appliesTo reports whether a job's tasks can wait for capacity that running tasks free: the job is
// an array with a deadline and an estimate.
func (f *freedCapacityForecast) appliesTo(d *Demand) bool {
	return d.Spec.Shape == job.Array && d.Spec.DeadlineS != nil && d.Spec.EstimateS > 0
}

// freedDuringProvisioning returns the capacity that is freed before a machine that is requested now
// is ready.
func (f *freedCapacityForecast) freedDuringProvisioning() float64 {
	return forecastShare * f.freedPerSecond * f.provisioningS
}

// reserve sets freed capacity aside for a job and returns how many of the given number of tasks can
// wait for it.
func (f *freedCapacityForecast) reserve(d *Demand, tasks int) int {
	if !f.appliesTo(d) {
		return 0
	}
	size := gpuEquivalents(d.Spec.Need)
	free := forecastShare*f.freedPerSecond*f.slackS(d) - f.reserved
	reserved := min(tasks, int(free/max(size, minGPUEquivalents)))
	if reserved <= 0 {
		return 0
	}
	f.reserved += float64(reserved) * size
	return reserved
}

// slackS returns how many seconds a job's tasks may wait for freed capacity.
func (f *freedCapacityForecast) slackS(d *Demand) float64 {
	fetch := f.fetchS(&d.Spec)
	slack := *d.Spec.DeadlineS - d.AgeS - estimateMargin*d.Spec.EstimateS - fetch
	if slack < f.provisioningS {
		// A machine requested now would be ready too late. Finishing up to lateDeadlineShare after
		// the deadline is better than never; for a job that would be later than that, scaling out
		// gains nothing.
		slack += lateDeadlineShare * *d.Spec.DeadlineS
	}
	if slack < f.provisioningS {
		slack = lateSlackS
	}
	if f.growing {
		slack = min(slack, f.provisioningS+fetch) // a machine requested now is ready by then
	}
	return slack
}

const (
	// provisioningAllowance is the part of the time to the deadline that is kept for a machine to
	// come up.
	provisioningAllowance = time.Minute
	// roundMargin is the assumed ratio of a task's duration to its user's estimate where tasks run
	// one after the other. The estimate may be too low by half.
	roundMargin = 1.3
	// roundOverheadS is the time in seconds between two consecutive tasks on the same capacity.
	roundOverheadS = 10
)

// roundsBeforeDeadline returns how many of a job's tasks can run one after the other on the same
// capacity before the deadline. It returns 1 for jobs without a deadline or estimate, whose tasks
// all run at the same time.
func roundsBeforeDeadline(d *Demand) int {
	if d.Spec.DeadlineS == nil || d.Spec.EstimateS <= 0 {
		return 1
	}
	left := *d.Spec.DeadlineS - d.AgeS - provisioningAllowance.Seconds()
	return max(1, int(left/(roundMargin*d.Spec.EstimateS+roundOverheadS)))
}

// concurrentTasks returns how many of a job's waiting tasks have to run at the same time.
func concurrentTasks(d *Demand) int {
	r := roundsBeforeDeadline(d)
	return (d.Waiting + r - 1) / r
}
