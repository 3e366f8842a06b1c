package audit

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// submission is a job, as its acceptance and its course were logged.
type submission struct {
	id, class, team string
	tasks           int
	gpus            float64
	at, due         time.Time
	done            int
	work            float64       // GPU seconds of the runs that completed
	longest         time.Duration // of those runs
	last            time.Time     // when the last of them ended

	waits                               int       // jobs that it names
	ready, started, complete, cancelled time.Time // cancelled: by its user, or with one before it
}

// from is when the job could start, by its readiness if it waited for others; ok is
// false for one that waits still.
func (s *submission) from() (at time.Time, ok bool) {
	if s.waits == 0 {
		return s.at, true
	}
	return s.ready, !s.ready.IsZero()
}

// DeadlineOutcome is what the deadlines of a class became, and what another order could have
// made of them with the GPU time that the class had.
type DeadlineOutcome struct {
	Class      string `json:"class"`
	Jobs       int    `json:"jobs_completed"` // with a deadline; of others the work is not known
	Kept       int    `json:"deadlines_kept"`
	Achievable int    `json:"deadlines_another_order_keeps"`
}

// DeadlineOutcomes works out, for each class with deadlines, how many of them some order keeps
// that knows every run time beforehand and never fetches an image or saves: what is
// beyond that is lost to the machines there were, not to the order. Jobs are taken up
// from the smallest on, as long as serving the earliest deadline first still keeps
// all that were taken; a job gets at most all its tasks' GPUs at a time, and of the
// GPUs of the class what its tasks had at that moment, second by second.
func (l *Log) DeadlineOutcomes() []DeadlineOutcome {
	byClass := map[string][]*submission{}
	for _, s := range l.jobs {
		if s.done == s.tasks && !s.due.IsZero() {
			byClass[s.class] = append(byClass[s.class], s)
		}
	}
	var out []DeadlineOutcome
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		jobs := byClass[class]
		o := DeadlineOutcome{Class: class, Jobs: len(jobs)}
		for _, s := range jobs {
			if !s.last.After(s.due) {
				o.Kept++
			}
		}
		o.Achievable = most(jobs, l.had(class), l.first)
		out = append(out, o)
	}
	return out
}

// had returns how many GPUs tasks of a class had in each second of the log.
func (l *Log) had(class string) []float64 {
	gpus := make([]float64, max(0, int(l.last.Sub(l.first).Seconds()))+2)
	for _, m := range l.machines {
		for _, s := range m.spans {
			if job := l.jobs[s.job]; job == nil || job.class != class {
				continue
			}
			at := s.end
			for _, d := range s.spent {
				at = at.Add(-d)
			}
			for t := max(0, int(at.Sub(l.first).Seconds())); t <= int(s.end.Sub(l.first).Seconds()) && t < len(gpus); t++ {
				from, to := l.first.Add(time.Duration(t)*time.Second), l.first.Add(time.Duration(t+1)*time.Second)
				if at.After(from) {
					from = at
				}
				if s.end.Before(to) {
					to = s.end
				}
				gpus[t] += s.need["gpus"] * max(0, to.Sub(from).Seconds())
			}
		}
	}
	return gpus
}

// most is how many of the jobs are kept by taking them up from the smallest on.
func most(jobs []*submission, gpus []float64, origin time.Time) int {
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b *submission) int {
		return cmp.Or(cmp.Compare(a.work, b.work), cmp.Compare(a.id, b.id))
	})
	var taken []*submission
	for _, s := range jobs {
		if s.at.Add(s.longest).After(s.due) {
			continue
		}
		with := append(slices.Clone(taken), s)
		slices.SortFunc(with, func(a, b *submission) int {
			return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.id, b.id))
		})
		if keepsAll(with, gpus, origin) {
			taken = with
		}
	}
	return len(taken)
}

// keepsAll serves the jobs, which are in the order of their deadlines, second by
// second from origin on, and reports whether all are done in time.
func keepsAll(jobs []*submission, gpus []float64, origin time.Time) bool {
	left := make([]float64, len(jobs))
	for k, s := range jobs {
		left[k] = s.work
	}
	for t := range gpus {
		free := gpus[t]
		for k, s := range jobs {
			if left[k] <= 0 || int(s.at.Sub(origin).Seconds()) > t {
				continue
			}
			if int(s.due.Sub(origin).Seconds()) <= t {
				return false
			}
			n := min(free, left[k], float64(s.tasks)*s.gpus)
			left[k] -= n
			if free -= n; free <= 0 {
				break
			}
		}
	}
	return !slices.ContainsFunc(left, func(x float64) bool { return x > 1e-6 })
}

// PrintDeadlineOutcomes writes the orders as a table.
func PrintDeadlineOutcomes(w io.Writer, orders []DeadlineOutcome) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nclass\tjobs with a deadline\tkept\tanother order keeps")
	for _, o := range orders {
		fmt.Fprintf(t, "%s\t%d\t%d (%.2f)\t%d (%.2f)\n", o.Class, o.Jobs, o.Kept, float64(o.Kept)/float64(o.Jobs), o.Achievable, float64(o.Achievable)/float64(o.Jobs))
	}
	return t.Flush()
}

// accepted takes a job from the line of its acceptance.
func (l *Log) accepted(at time.Time, f map[string]string) error {
	if _, ok := f["deadline_s"]; !ok {
		return nil // written before deadlines were logged
	}
	v := &values{f: f}
	s := &submission{id: f["job"], class: f["class"], team: f["team"], tasks: int(v.number("tasks")), gpus: v.number("gpus"), at: at}
	if due := v.seconds("deadline_s"); due > 0 {
		s.due = at.Add(due)
	}
	if _, ok := f["dependencies"]; ok { // since there are pipelines
		s.waits = int(v.number("dependencies"))
	}
	if v.err == nil {
		l.jobs[s.id] = s
	}
	return v.err
}

// ran books a run that completed on its job.
func (l *Log) ran(s *span, cause string) {
	job := l.jobs[s.job]
	if job == nil || cause != "done" {
		return
	}
	job.done++
	job.work += s.need["gpus"] * s.spent[running].Seconds()
	job.longest = max(job.longest, s.spent[running])
	if s.end.After(job.last) {
		job.last = s.end
	}
}

// jobOf is the job of a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}
