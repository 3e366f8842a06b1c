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

// DeadlineOutcome is what the deadlines of a class became, and what another queue order
// could have made of them with the GPU time that the class had.
type DeadlineOutcome struct {
	Class      string `json:"class"`
	Jobs       int    `json:"jobs_completed"` // with a deadline; of others the work is not known
	Kept       int    `json:"deadlines_kept"`
	Achievable int    `json:"deadlines_another_order_keeps"`
}

// DeadlineOutcomes works out, for each class with deadlines, how many of them some order
// keeps that knows every run time beforehand and never fetches an image or saves: what is
// beyond that is lost to the machines there were, not to the order. Jobs are taken up from
// the smallest on, as long as serving the earliest deadline first still keeps all that were
// taken; a job gets at most all its tasks' GPUs at a time, and of the GPUs of the class
// what its tasks had at that moment, second by second.
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
				o.Kept++
			}
		}
		o.Achievable = achievableDeadlines(jobs, l.gpusBySecond(class), l.first)
		out = append(out, o)
	}
	return out
}

// gpusBySecond is how many GPUs tasks of a class had in each second of the log.
func (l *Log) gpusBySecond(class string) []float64 {
	gpus := make([]float64, max(0, int(l.last.Sub(l.first).Seconds()))+2)
	for _, m := range l.machines {
		for k := range m.runs {
			run := &m.runs[k]
			if j := l.jobs[run.job]; j != nil && j.class == class {
				l.addGPUs(gpus, run)
			}
		}
	}
	return gpus
}

// addGPUs adds what a run had in each second of the log.
func (l *Log) addGPUs(gpus []float64, run *taskRun) {
	start := run.start()
	first, last := max(0, int(start.Sub(l.first).Seconds())), int(run.end.Sub(l.first).Seconds())
	for second := first; second <= last && second < len(gpus); second++ {
		from := l.first.Add(time.Duration(second) * time.Second)
		to := from.Add(time.Second)
		if start.After(from) {
			from = start
		}
		if run.end.Before(to) {
			to = run.end
		}
		gpus[second] += run.need.GPUs * max(0, to.Sub(from).Seconds())
	}
}

// achievableDeadlines is how many of the jobs are kept by taking them up from the smallest
// on.
func achievableDeadlines(jobs []*jobRecord, gpus []float64, origin time.Time) int {
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b *jobRecord) int {
		return cmp.Or(cmp.Compare(a.workGPUS, b.workGPUS), cmp.Compare(a.id, b.id))
	})
	var taken []*jobRecord
	for _, j := range jobs {
		if j.acceptedAt.Add(j.longestRun).After(j.deadline) {
			continue
		}
		candidate := append(slices.Clone(taken), j)
		slices.SortFunc(candidate, func(a, b *jobRecord) int {
			return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.id, b.id))
		})
		if keepsAllDeadlines(candidate, gpus, origin) {
			taken = candidate
		}
	}
	return len(taken)
}

// workSlack is how much work, in GPU seconds, is a matter of rounding.
const workSlack = 1e-6

// keepsAllDeadlines serves the jobs, which are in the order of their deadlines, second by
// second from origin on, and reports whether all are done in time.
func keepsAllDeadlines(jobs []*jobRecord, gpus []float64, origin time.Time) bool {
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
			served := min(free, remaining[k], float64(j.tasks)*j.gpus)
			remaining[k] -= served
			if free -= served; free <= 0 {
				break
			}
		}
	}
	return !slices.ContainsFunc(remaining, func(work float64) bool { return work > workSlack })
}

// PrintDeadlineOutcomes writes the outcomes as a table.
func PrintDeadlineOutcomes(w io.Writer, outcomes []DeadlineOutcome) error {
	var rows strings.Builder
	fmt.Fprintln(&rows, "\nclass\tjobs with a deadline\tkept\tanother order keeps")
	for _, o := range outcomes {
		share := func(n int) float64 { return float64(n) / float64(o.Jobs) }
		fmt.Fprintf(&rows, "%s\t%d\t%d (%.2f)\t%d (%.2f)\n",
			o.Class, o.Jobs, o.Kept, share(o.Kept), o.Achievable, share(o.Achievable))
	}
	return console.WriteTable(w, rows.String(), 0)
}
