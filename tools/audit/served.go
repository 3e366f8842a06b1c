package audit

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"robinstack/internal/logline"
)

// SLOMultiples are the multiples of what its aims ask by which a job is looked for.
var SLOMultiples = [...]float64{1, 1.5, 2}

// ServiceLevel is what became of the jobs of a class or a team.
type ServiceLevel struct {
	Name         string   `json:"name"`
	Jobs         int      `json:"jobs"`      // accepted, without those that their users cancelled
	Cancelled    int      `json:"cancelled"` // by their users, or with one before them
	Waiting      int      `json:"waiting"`   // for other jobs when the log ends; not among Jobs
	Started      int      `json:"started"`   // with at least one task on a machine
	Done         int      `json:"done"`
	Tasks        int      `json:"tasks"`
	TasksDone    int      `json:"tasks_done"`
	DoneBy       [3]Ratio `json:"done_by"`        // by each of Times
	LongestWaitS float64  `json:"longest_wait_s"` // from when it could start until the first start, or until the log's end

	// The largest jobs are the tenth with the most tasks, at least one, and any as large
	// as the smallest of those. Begun are those that had a task on a machine within
	// LargestStartLimit of when they could start, of those for which that has passed.
	Largest              Ratio   `json:"largest_started"`
	LargestStartedInTime Ratio   `json:"largest_begun_in_time"`
	LargestMinTasks      int     `json:"largest_from_tasks"`
	LargestLongestWaitS  float64 `json:"largest_longest_wait_s"`
	sized                []*submission
}

// LargestStartLimit is the time within which the largest jobs have to begin.
const LargestStartLimit = 4 * time.Minute

// Ratio is how many of so many.
type Ratio struct {
	Of   int `json:"of"`
	Kept int `json:"kept"`
}

func (p Ratio) String() string {
	if p.Of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(p.Kept)/float64(p.Of))
}

// ServiceLevels tells for each class and each team what became of its jobs. Aim returns how
// long after its submission a job should be done by the users' tightest aim, given
// its class and deadline (0: none); 0 is none. A job counts towards a reading once
// its time for it has passed by the log's end, or it is done.
func (l *Log) ServiceLevels(aim func(class string, due time.Duration) time.Duration) (classes, teams []ServiceLevel) {
	byClass, byTeam := map[string]*ServiceLevel{}, map[string]*ServiceLevel{}
	of := func(m map[string]*ServiceLevel, name string) *ServiceLevel {
		if m[name] == nil {
			m[name] = &ServiceLevel{Name: name}
		}
		return m[name]
	}
	for _, s := range l.jobs {
		var due time.Duration
		if !s.due.IsZero() {
			due = s.due.Sub(s.at)
		}
		limit := aim(s.class, due)
		for _, v := range []*ServiceLevel{of(byClass, s.class), of(byTeam, s.team)} {
			v.add(s, limit, l.last)
		}
	}
	list := func(m map[string]*ServiceLevel) (out []ServiceLevel) {
		for _, name := range slices.Sorted(maps.Keys(m)) {
			m[name].largest(l.last)
			out = append(out, *m[name])
		}
		return out
	}
	return list(byClass), list(byTeam)
}

func (v *ServiceLevel) add(s *submission, limit time.Duration, end time.Time) {
	if !s.cancelled.IsZero() {
		v.Cancelled++
		return
	}
	ready, ok := s.from()
	if !ok {
		v.Waiting++
		return
	}
	v.Jobs++
	v.sized = append(v.sized, s)
	v.Tasks += s.tasks
	v.TasksDone += min(s.done, s.tasks)
	if !s.started.IsZero() {
		v.Started++
	}
	v.LongestWaitS = max(v.LongestWaitS, s.waited(ready, end).Seconds())
	if !s.complete.IsZero() {
		v.Done++
	}
	for k, times := range SLOMultiples {
		by := s.at.Add(time.Duration(times * float64(limit)))
		switch {
		case limit == 0:
		case !s.complete.IsZero() && !s.complete.After(by):
			v.DoneBy[k].Of++
			v.DoneBy[k].Kept++
		case !s.complete.IsZero() || by.Before(end):
			v.DoneBy[k].Of++
		}
	}
}

// waited is how long a job waited for its first start since it could.
func (s *submission) waited(ready, end time.Time) time.Duration {
	if !s.started.IsZero() {
		end = s.started
	}
	return max(0, end.Sub(ready).Round(100*time.Millisecond))
}

// largest tells what became of the largest jobs.
func (v *ServiceLevel) largest(end time.Time) {
	if len(v.sized) == 0 {
		return
	}
	slices.SortFunc(v.sized, func(a, b *submission) int { return b.tasks - a.tasks })
	v.LargestMinTasks = v.sized[(len(v.sized)-1)/10].tasks
	for _, s := range v.sized {
		if s.tasks < v.LargestMinTasks {
			break
		}
		ready, _ := s.from()
		wait := s.waited(ready, end)
		v.LargestLongestWaitS = max(v.LargestLongestWaitS, wait.Seconds())
		v.Largest.Of++
		if !s.started.IsZero() {
			v.Largest.Kept++
		}
		switch {
		case !s.started.IsZero() && wait <= LargestStartLimit:
			v.LargestStartedInTime.Of++
			v.LargestStartedInTime.Kept++
		case !s.started.IsZero() || wait > LargestStartLimit:
			v.LargestStartedInTime.Of++
		}
	}
	v.sized = nil
}

// worst orders the least served first, by the tightest reading.
func worst(a, b ServiceLevel) int {
	share := func(p Ratio) float64 {
		if p.Of == 0 {
			return 1
		}
		return float64(p.Kept) / float64(p.Of)
	}
	return cmp.Or(cmp.Compare(share(a.DoneBy[0]), share(b.DoneBy[0])), cmp.Compare(a.Name, b.Name))
}

// PrintServiceLevels writes classes and teams as a table, the least served first.
func PrintServiceLevels(w io.Writer, classes, teams []ServiceLevel) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for k, list := range [][]ServiceLevel{classes, teams} {
		slices.SortFunc(list, worst)
		fmt.Fprintf(t, "%s\tjobs\tcancelled\tstarted\tdone\ttasks done", [...]string{"class", "team"}[k])
		for _, times := range SLOMultiples {
			fmt.Fprintf(t, "\tby %g times its aim", times)
		}
		fmt.Fprintln(t, "\tlongest wait\tlargest, tasks\tstarted\tbegun in 4 min\tlongest wait")
		for _, v := range list {
			fmt.Fprintf(t, "%s\t%d\t%d\t%v\t%v\t%v\t%v\t%v\t%v\t%.1f s\t%d of %d\t%v\t%v\t%.1f s\n", v.Name, v.Jobs, v.Cancelled, Ratio{v.Jobs, v.Started}, Ratio{v.Jobs, v.Done},
				Ratio{v.Tasks, v.TasksDone}, v.DoneBy[0], v.DoneBy[1], v.DoneBy[2], v.LongestWaitS,
				v.Largest.Of, v.LargestMinTasks, v.Largest, v.LargestStartedInTime, v.LargestLongestWaitS)
		}
	}
	return t.Flush()
}

// follow takes what a line says of a job's course.
func (l *Log) follow(at time.Time, message string, f map[string]string) {
	id := f["job"]
	if id == "" {
		id = jobOf(f["task"])
	}
	s := l.jobs[id]
	if s == nil {
		return
	}
	switch message {
	case logline.TaskCommitted:
		first(&s.started, at)
	case logline.JobCompleted:
		first(&s.complete, at)
	case logline.JobCancelled, logline.JobWithdrawn:
		first(&s.cancelled, at)
	case logline.JobReady:
		first(&s.ready, at)
	}
}

// began books the start of a task that has ended: of a commit that its owner answered
// too late there is no line of its own.
func (l *Log) began(s *span) {
	job := l.jobs[s.job]
	if job == nil {
		return
	}
	at := s.end
	for _, d := range s.spent {
		at = at.Add(-d)
	}
	first(&job.started, at)
}

// first keeps the earlier of two moments.
func first(t *time.Time, at time.Time) {
	if t.IsZero() || at.Before(*t) {
		*t = at
	}
}
