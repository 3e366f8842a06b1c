package audit

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"robinstack/tools/console"
)

// DeadlineOutcome counts the deadlines that the jobs of a class met, and the deadlines that another
// queue order could have met with the same GPU time.
type DeadlineOutcome struct {
	Class      string `json:"class"`
	Jobs       int    `json:"jobs_completed"` // completed jobs with a deadline; the work of uncompleted jobs is unknown
	Met        int    `json:"deadlines_kept"`
	Achievable int    `json:"deadlines_another_order_keeps"`
}

// DeadlineOutcomes compares, for each class with deadlines, the deadlines that were met with those
// that an ideal queue order meets: one that knows all run times in advance and spends no time on
// image fetches or checkpoints. Deadlines beyond that number were missed for lack of machines, not
// because of the queue order.
//
// The ideal order is approximated as follows. Jobs are selected in ascending order of their work,
// as long as earliest-deadline-first execution meets the deadlines of all selected jobs. Time
// advances in steps of one second. In each second the jobs share the GPUs that tasks of the class
// held in that second of the log, and a job uses at most the GPUs of all its tasks.
func (l *Log) DeadlineOutcomes() []DeadlineOutcome {
	byClass := map[string][]*jobRecord{}
	for _, j := range l.jobs {
		if j.completedTasks == j.tasks && !j.deadline.IsZero() {
			byClass[j.class] = append(byClass[j.class], j)
		}
	}
	var out []DeadlineOutcome
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		jobs := byClass[class]
		o := DeadlineOutcome{Class: class, Jobs: len(jobs)}
		for _, j := range jobs {
			if !j.lastCompletion.After(j.deadline) {
				o.Met++
			}
		}
		o.Achievable = countAchievableDeadlines(jobs, l.gpusBySecond(class), l.firstLineAt)
		out = append(out, o)
	}
	return out
}

// gpusBySecond returns the mean number of GPUs that tasks of a class held in each second of the
// log.
func (l *Log) gpusBySecond(class string) []float64 {
	gpus := make([]float64, max(0, int(l.lastLineAt.Sub(l.firstLineAt).Seconds()))+2)
	for _, m := range l.machines {
		for k := range m.runs {
			run := &m.runs[k]
			if j := l.jobs[run.job]; j != nil && j.class == class {
				l.addGPUTime(gpus, run)
			}
		}
	}
	return gpus
}

// addGPUTime adds the GPU seconds of a task run to each second of the log.
func (l *Log) addGPUTime(gpus []float64, run *taskRun) {
	start := run.start()
	first, last := max(0, int(start.Sub(l.firstLineAt).Seconds())), int(run.end.Sub(l.firstLineAt).Seconds())
	for second := first; second <= last && second < len(gpus); second++ {
		from := l.firstLineAt.Add(time.Duration(second) * time.Second)
		to := from.Add(time.Second)
		if start.After(from) {
			from = start
		}
		if run.end.Before(to) {
			to = run.end
		}
		gpus[second] += run.resources.GPUs * max(0, to.Sub(from).Seconds())
	}
}

// countAchievableDeadlines selects jobs in ascending order of their work while all selected jobs
// can meet their deadlines, and returns how many were selected.
func countAchievableDeadlines(jobs []*jobRecord, gpus []float64, origin time.Time) int {
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b *jobRecord) int {
		return cmp.Or(cmp.Compare(a.workGPUS, b.workGPUS), cmp.Compare(a.id, b.id))
	})
	var selected []*jobRecord
	for _, j := range jobs {
		if j.acceptedAt.Add(j.longestRun).After(j.deadline) {
			continue
		}
		candidate := append(slices.Clone(selected), j)
		slices.SortFunc(candidate, func(a, b *jobRecord) int {
			return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.id, b.id))
		})
		if meetsAllDeadlines(candidate, gpus, origin) {
			selected = candidate
		}
	}
	return len(selected)
}

// workTolerance is the remaining work, in GPU seconds, that counts as a rounding error.
const workTolerance = 1e-6

// meetsAllDeadlines reports whether all jobs meet their deadlines if the GPUs of each second since
// origin go to the jobs in the given order. The jobs must be sorted by deadline.
func meetsAllDeadlines(jobs []*jobRecord, gpus []float64, origin time.Time) bool {
	remaining := make([]float64, len(jobs))
	for k, j := range jobs {
		remaining[k] = j.workGPUS
	}
	for second, free := range gpus {
		for k, j := range jobs {
			if remaining[k] <= 0 || int(j.acceptedAt.Sub(origin).Seconds()) > second {
				continue
			}
			if int(j.deadline.Sub(origin).Seconds()) <= second {
				return false
			}
			allocated := min(free, remaining[k], float64(j.tasks)*j.gpus)
			remaining[k] -= allocated
			if free -= allocated; free <= 0 {
				break
			}
		}
	}
	return !slices.ContainsFunc(remaining, func(work float64) bool { return work > workTolerance })
}

// PrintDeadlineOutcomes writes the outcomes as a table.
func PrintDeadlineOutcomes(w io.Writer, outcomes []DeadlineOutcome) error {
	var rows strings.Builder
	fmt.Fprintln(&rows, "\nclass\tjobs with a deadline\tkept\tanother order keeps")
	for _, o := range outcomes {
		share := func(n int) float64 { return float64(n) / float64(o.Jobs) }
		fmt.Fprintf(&rows, "%s\t%d\t%d (%.2f)\t%d (%.2f)\n",
			o.Class, o.Jobs, o.Met, share(o.Met), o.Achievable, share(o.Achievable))
	}
	return console.WriteTable(w, rows.String(), 0)
}
