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

// SLOMultiples are the multiples of what its objective asks by which a job is looked for.
var SLOMultiples = [...]float64{1, 1.5, 2}

// ServiceLevel is what became of the jobs of a class or a team.
type ServiceLevel struct {
	Name         string   `json:"name"`
	Jobs         int      `json:"jobs"`      // accepted, without those that their users cancelled
	Cancelled    int      `json:"cancelled"` // by their users, or with one that they depend on
	Waiting      int      `json:"waiting"`   // for other jobs when the log ends; not among Jobs
	Started      int      `json:"started"`   // with at least one task on a machine
	Done         int      `json:"done"`
	Tasks        int      `json:"tasks"`
	TasksDone    int      `json:"tasks_done"`
	DoneBy       [3]Ratio `json:"done_by"`        // by each of SLOMultiples
	LongestWaitS float64  `json:"longest_wait_s"` // until the first start, or until the log's end

	// The largest jobs are the tenth with the most tasks, at least one, and any as large as
	// the smallest of those. Started in time are those that had a task on a machine within
	// LargestStartLimit of when they could start, of those for which that has passed.
	Largest              Ratio   `json:"largest_started"`
	LargestStartedInTime Ratio   `json:"largest_begun_in_time"`
	LargestMinTasks      int     `json:"largest_from_tasks"`
	LargestLongestWaitS  float64 `json:"largest_longest_wait_s"`

	counted []*jobRecord // those of Jobs, until the largest are summed up
}

// LargestStartLimit is the time within which the largest jobs have to begin.
const LargestStartLimit = 4 * time.Minute

// largestShare: the largest jobs are one in so many.
const largestShare = 10

// Ratio is how many of so many.
type Ratio struct {
	Of   int `json:"of"`
	Kept int `json:"kept"`
}

func (r Ratio) String() string {
	if r.Of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", r.share())
}

// share is 1 where there is none.
func (r Ratio) share() float64 {
	if r.Of == 0 {
		return 1
	}
	return float64(r.Kept) / float64(r.Of)
}

func (r *Ratio) add(kept bool) {
	r.Of++
	if kept {
		r.Kept++
	}
}

// ServiceLevels tells for each class and each team what became of its jobs. objective
// returns how long after its submission a job should be done by the users' tightest
// objective, given its class and deadline (0: none); 0 is none. A job counts towards a
// multiple once its time for it has passed by the log's end, or it is done.
func (l *Log) ServiceLevels(
	objective func(class string, deadline time.Duration) time.Duration,
) (classes, teams []ServiceLevel) {
	byClass, byTeam := map[string]*ServiceLevel{}, map[string]*ServiceLevel{}
	for _, j := range l.jobs {
		var deadline time.Duration
		if !j.deadline.IsZero() {
			deadline = j.deadline.Sub(j.acceptedAt)
		}
		limit := objective(j.class, deadline)
		levelOf(byClass, j.class).add(j, limit, l.last)
		levelOf(byTeam, j.team).add(j, limit, l.last)
	}
	return sumUpLevels(byClass, l.last), sumUpLevels(byTeam, l.last)
}

func levelOf(levels map[string]*ServiceLevel, name string) *ServiceLevel {
	if levels[name] == nil {
		levels[name] = &ServiceLevel{Name: name}
	}
	return levels[name]
}

// sumUpLevels lists the levels by their names, at the log's end.
func sumUpLevels(levels map[string]*ServiceLevel, end time.Time) (out []ServiceLevel) {
	for _, name := range slices.Sorted(maps.Keys(levels)) {
		levels[name].sumUpLargest(end)
		out = append(out, *levels[name])
	}
	return out
}

// add counts a job that should be done within limit (0: no objective), at the log's end.
func (s *ServiceLevel) add(j *jobRecord, limit time.Duration, end time.Time) {
	if !j.cancelledAt.IsZero() {
		s.Cancelled++
		return
	}
	eligible, ok := j.eligibleAt()
	if !ok {
		s.Waiting++
		return
	}
	s.Jobs++
	s.counted = append(s.counted, j)
	s.Tasks += j.tasks
	s.TasksDone += min(j.completedTasks, j.tasks)
	if !j.startedAt.IsZero() {
		s.Started++
	}
	s.LongestWaitS = max(s.LongestWaitS, j.waited(eligible, end).Seconds())
	done := !j.completedAt.IsZero()
	if done {
		s.Done++
	}
	if limit == 0 {
		return
	}
	for k, multiple := range SLOMultiples {
		by := j.acceptedAt.Add(time.Duration(multiple * float64(limit)))
		if done || by.Before(end) {
			s.DoneBy[k].add(done && !j.completedAt.After(by))
		}
	}
}

// waitResolution is how finely waits are told.
const waitResolution = 100 * time.Millisecond

// waited is how long a job waited for its first start since it could.
func (j *jobRecord) waited(eligible, end time.Time) time.Duration {
	if !j.startedAt.IsZero() {
		end = j.startedAt
	}
	return max(0, end.Sub(eligible).Round(waitResolution))
}

// sumUpLargest tells what became of the largest jobs.
func (s *ServiceLevel) sumUpLargest(end time.Time) {
	if len(s.counted) == 0 {
		return
	}
	slices.SortFunc(s.counted, func(a, b *jobRecord) int { return b.tasks - a.tasks })
	s.LargestMinTasks = s.counted[(len(s.counted)-1)/largestShare].tasks
	for _, j := range s.counted {
		if j.tasks < s.LargestMinTasks {
			break
		}
		eligible, _ := j.eligibleAt()
		wait, started := j.waited(eligible, end), !j.startedAt.IsZero()
		s.LargestLongestWaitS = max(s.LargestLongestWaitS, wait.Seconds())
		s.Largest.add(started)
		if started || wait > LargestStartLimit {
			s.LargestStartedInTime.add(started && wait <= LargestStartLimit)
		}
	}
	s.counted = nil
}

// leastServedFirst orders levels by the tightest multiple.
func leastServedFirst(a, b ServiceLevel) int {
	return cmp.Or(cmp.Compare(a.DoneBy[0].share(), b.DoneBy[0].share()), cmp.Compare(a.Name, b.Name))
}

// PrintServiceLevels writes classes and teams as a table, the least served first.
func PrintServiceLevels(w io.Writer, classes, teams []ServiceLevel) error {
	var rows strings.Builder
	writeLevelRows(&rows, "class", classes)
	writeLevelRows(&rows, "team", teams)
	return console.WriteTable(w, rows.String(), 0)
}

func writeLevelRows(rows *strings.Builder, what string, levels []ServiceLevel) {
	slices.SortFunc(levels, leastServedFirst)
	fmt.Fprintf(rows, "%s\tjobs\tcancelled\tstarted\tdone\ttasks done", what)
	for _, multiple := range SLOMultiples {
		fmt.Fprintf(rows, "\tby %g times its aim", multiple)
	}
	fmt.Fprintln(rows, "\tlongest wait\tlargest, tasks\tstarted\tbegun in 4 min\tlongest wait")
	for k := range levels {
		s := &levels[k]
		started, done, tasks := Ratio{s.Jobs, s.Started}, Ratio{s.Jobs, s.Done}, Ratio{s.Tasks, s.TasksDone}
		fmt.Fprintf(rows, "%s\t%d\t%d\t%v\t%v\t%v", s.Name, s.Jobs, s.Cancelled, started, done, tasks)
		for _, r := range s.DoneBy {
			fmt.Fprintf(rows, "\t%v", r)
		}
		fmt.Fprintf(rows, "\t%.1f s\t%d of %d\t%v\t%v\t%.1f s\n",
			s.LongestWaitS, s.Largest.Of, s.LargestMinTasks, s.Largest, s.LargestStartedInTime, s.LargestLongestWaitS)
	}
}
