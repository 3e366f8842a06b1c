package autoscaler

import (
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// turnover is what running tasks of job arrays leave free in time: a job whose deadline is
// far enough off waits for that instead of for new machines.
type turnover struct {
	perSecond     float64 // size of the places that come free
	promised      float64 // size of the places that jobs wait for already
	growing       bool    // more and more waits: later jobs will need what comes free later
	provisioningS float64 // seconds that a machine takes to come up
	fetchGBPerS   float64 // at which a machine fetches images, 0 if unknown
}

const (
	// turnoverShare is the share of what should come free that is counted on: some goes to
	// gangs, and estimates are guesses.
	turnoverShare = 0.8
	// imageMissShare is the share of the time to fetch an image that tasks wait on average,
	// for some machines have it.
	imageMissShare = 0.5
	// estimateMargin is how many times its owner's estimate a task may take.
	estimateMargin = 1.2
	// lateShare is the share of the time to its deadline by which a job that is late in any
	// case may be later.
	lateShare = 0.5
	// lateSlackS is how many seconds a job that is hopelessly late may wait for places to
	// come free.
	lateSlackS = 60
	// cpusPerGPU is how many CPUs count as much as a GPU, for tasks that need none.
	cpusPerGPU = 8
	// minPlaceSize keeps the size of a place that needs neither from being zero.
	minPlaceSize = 1e-3
)

// newTurnover starts with the slowest of the types in every respect.
func newTurnover(types map[string]cloud.MachineType) turnover {
	var t turnover
	for _, m := range types {
		t.provisioningS = max(t.provisioningS, m.ProvisioningS)
		if m.FetchGBPerS > 0 && (t.fetchGBPerS == 0 || m.FetchGBPerS < t.fetchGBPerS) {
			t.fetchGBPerS = m.FetchGBPerS
		}
	}
	return t
}

// fetchS is the time in seconds that the job's tasks may wait for their image.
func (t *turnover) fetchS(spec *job.Spec) float64 {
	if t.fetchGBPerS == 0 {
		return 0
	}
	return imageMissShare * spec.ImageGB / t.fetchGBPerS
}

// placeSize compares places of different needs.
func placeSize(need job.Resources) float64 {
	if need.GPUs > 0 {
		return need.GPUs
	}
	return need.CPUs / cpusPerGPU
}

// add counts a job's running tasks.
func (t *turnover) add(d *Demand) {
	if d.Spec.Shape != job.Array || d.Spec.EstimateS <= 0 {
		return
	}
	t.perSecond += float64(d.Running) * placeSize(d.Spec.Need) / (d.Spec.EstimateS + t.fetchS(&d.Spec))
}

// canServe reports whether a job's tasks can wait for places that come free.
func (t *turnover) canServe(d *Demand) bool {
	return d.Spec.Shape == job.Array && d.Spec.DeadlineS != nil && d.Spec.EstimateS > 0
}

// beforeProvisioned is the size of what comes free before a machine requested now serves.
func (t *turnover) beforeProvisioned() float64 {
	return turnoverShare * t.perSecond * t.provisioningS
}

// promise sets places that come free aside for a job, and returns how many of so many tasks
// can wait for them.
func (t *turnover) promise(d *Demand, tasks int) int {
	if !t.canServe(d) {
		return 0
	}
	size := placeSize(d.Spec.Need)
	free := turnoverShare*t.perSecond*t.slackS(d) - t.promised
	promised := min(tasks, int(free/max(size, minPlaceSize)))
	if promised <= 0 {
		return 0
	}
	t.promised += float64(promised) * size
	return promised
}

// slackS is how many seconds a job's tasks may wait for places that come free.
func (t *turnover) slackS(d *Demand) float64 {
	fetch := t.fetchS(&d.Spec)
	slack := *d.Spec.DeadlineS - d.AgeS - estimateMargin*d.Spec.EstimateS - fetch
	if slack < t.provisioningS {
		// A machine requested now would come too late. Half the time over is better than
		// never; beyond that nothing is to be won by scaling out.
		slack += lateShare * *d.Spec.DeadlineS
	}
	if slack < t.provisioningS {
		slack = lateSlackS
	}
	if t.growing {
		slack = min(slack, t.provisioningS+fetch) // a machine requested now serves from then on
	}
	return slack
}

const (
	// provisioningAllowance is the time left for a machine to come up where tasks are to
	// run one after the other.
	provisioningAllowance = time.Minute
	// roundMargin is how many times its owner's estimate a task takes there; the estimate
	// may be too low by half.
	roundMargin = 1.3
	// roundOverheadS is the time in seconds between two tasks in one place.
	roundOverheadS = 10
)

// rounds is how many times over a place can serve a job's tasks before its deadline. Jobs
// without a deadline do not wait.
func rounds(d *Demand) int {
	if d.Spec.DeadlineS == nil || d.Spec.EstimateS <= 0 {
		return 1
	}
	left := *d.Spec.DeadlineS - d.AgeS - provisioningAllowance.Seconds()
	return max(1, int(left/(roundMargin*d.Spec.EstimateS+roundOverheadS)))
}

// concurrentTasks is how many of a job's waiting tasks need a place at the same time.
func concurrentTasks(d *Demand) int {
	r := rounds(d)
	return (d.Waiting + r - 1) / r
}
