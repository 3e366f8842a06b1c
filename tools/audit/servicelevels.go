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

// SLOMultiples are the multiples of an objective's time limit at which completed jobs are counted.
var SLOMultiples = [...]float64{1, 1.5, 2}

// ServiceLevel summarizes the jobs of a class or a team.
type ServiceLevel struct {
	Name         string   `json:"name"`
	Jobs         int      `json:"jobs"`      // accepted jobs that are neither in Cancelled nor in Waiting
	Cancelled    int      `json:"cancelled"` // by their users or by a dependency
	Waiting      int      `json:"waiting"`   // for dependencies at the end of the log
	Started      int      `json:"started"`   // jobs of which at least one task has started
	Done         int      `json:"done"`
	Tasks        int      `json:"tasks"`
	TasksDone    int      `json:"tasks_done"`
	DoneBy       [3]Ratio `json:"done_by"`        // within each of SLOMultiples
	LongestWaitS float64  `json:"longest_wait_s"` // until the first start or the end of the log

	// The largest jobs are the tenth of Jobs with the most tasks, but at least one job, and all
	// other jobs with as many tasks as the smallest of these. A job started in time if its first
	// task started within LargestJobsStartLimit after the job became eligible. A job that has not
	// started and has not waited for longer than that is left out of LargestJobsStartedInTime.
	LargestJobsStarted       Ratio   `json:"largest_started"`
	LargestJobsStartedInTime Ratio   `json:"largest_begun_in_time"`
	LargestJobsMinTasks      int     `json:"largest_from_tasks"`
	LargestJobsLongestWaitS  float64 `json:"largest_longest_wait_s"`

	countedJobs []*jobRecord // the jobs counted in Jobs; nil after summarizeLargestJobs
}

// LargestJobsStartLimit is the time after which a start of one of the largest jobs is late.
const LargestJobsStartLimit = 4 * time.Minute

// largestJobsDivisor: one in this many jobs is among the largest.
const largestJobsDivisor = 10

// Ratio is a count out of a total.
type Ratio struct {
	Total int `json:"of"`
	Count int `json:"kept"`
}

func (r Ratio) String() string {
	if r.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", r.share())
}

// share returns Count divided by Total, or 1 if Total is 0.
func (r Ratio) share() float64 {
	if r.Total == 0 {
		return 1
	}
	return float64(r.Count) / float64(r.Total)
}

func (r *Ratio) add(counted bool) {
	r.Total++
	if counted {
		r.Count++
	}
}

// ServiceLevels summarizes the jobs of each class and of each team. objective returns the tightest
// time limit from submission to completion that the users' objectives set for a class and a
// deadline (0: no deadline), or 0 for no limit. A job is counted in DoneBy for a multiple if it is
// done, or if the multiple of its limit has passed by the end of the log.
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
		levelFor(byClass, j.class).add(j, limit, l.lastLineAt)
		levelFor(byTeam, j.team).add(j, limit, l.lastLineAt)
	}
	return summarizeLevels(byClass, l.lastLineAt), summarizeLevels(byTeam, l.lastLineAt)
}

func levelFor(levels map[string]*ServiceLevel, name string) *ServiceLevel {
	if levels[name] == nil {
		levels[name] = &ServiceLevel{Name: name}
	}
	return levels[name]
}

// summarizeLevels returns the levels sorted by name, with their largest jobs summarized as of end,
// the end of the log.
func summarizeLevels(levels map[string]*ServiceLevel, end time.Time) (out []ServiceLevel) {
	for _, name := range slices.Sorted(maps.Keys(levels)) {
		levels[name].summarizeLargestJobs(end)
		out = append(out, *levels[name])
	}
	return out
}

// add counts a job whose time limit is limit (0: none), as of end, the end of the log.
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
	s.countedJobs = append(s.countedJobs, j)
	s.Tasks += j.tasks
	s.TasksDone += min(j.completedTasks, j.tasks)
	if !j.startedAt.IsZero() {
		s.Started++
	}
	s.LongestWaitS = max(s.LongestWaitS, j.waitTime(eligible, end).Seconds())
	done := !j.completedAt.IsZero()
	if done {
		s.Done++
	}
	if limit == 0 {
		return
	}
	for k, multiple := range SLOMultiples {
		dueAt := j.acceptedAt.Add(time.Duration(multiple * float64(limit)))
		if done || dueAt.Before(end) {
			s.DoneBy[k].add(done && !j.completedAt.After(dueAt))
		}
	}
}

// waitResolution is the unit to which wait times are rounded.
const waitResolution = 100 * time.Millisecond

// waitTime returns how long the job waited from when it became eligible to its first start, or to
// end if it has not started.
func (j *jobRecord) waitTime(eligible, end time.Time) time.Duration {
	if !j.startedAt.IsZero() {
		end = j.startedAt
	}
	return max(0, end.Sub(eligible).Round(waitResolution))
}

// summarizeLargestJobs computes the figures of the largest jobs as of end, the end of the log.
func (s *ServiceLevel) summarizeLargestJobs(end time.Time) {
	if len(s.countedJobs) == 0 {
		return
	}
	slices.SortFunc(s.countedJobs, func(a, b *jobRecord) int { return b.tasks - a.tasks })
	s.LargestJobsMinTasks = s.countedJobs[(len(s.countedJobs)-1)/largestJobsDivisor].tasks
	for _, j := range s.countedJobs {
		if j.tasks < s.LargestJobsMinTasks {
			break
		}
		eligible, _ := j.eligibleAt()
		wait, started := j.waitTime(eligible, end), !j.startedAt.IsZero()
		s.LargestJobsLongestWaitS = max(s.LargestJobsLongestWaitS, wait.Seconds())
		s.LargestJobsStarted.add(started)
		if started || wait > LargestJobsStartLimit {
			s.LargestJobsStartedInTime.add(started && wait <= LargestJobsStartLimit)
		}
	}
	s.countedJobs = nil
}

// compareByAttainment orders levels by the share of jobs done within the first of SLOMultiples,
// lowest first.
func compareByAttainment(a, b ServiceLevel) int {
	return cmp.Or(cmp.Compare(a.DoneBy[0].share(), b.DoneBy[0].share()), cmp.Compare(a.Name, b.Name))
}

// PrintServiceLevels writes the classes and the teams as tables, lowest attainment first.
func PrintServiceLevels(w io.Writer, classes, teams []ServiceLevel) error {
	var rows strings.Builder
	writeLevelRows(&rows, "class", classes)
	writeLevelRows(&rows, "team", teams)
	return console.WriteTable(w, rows.String(), 0)
}

func writeLevelRows(rows *strings.Builder, heading string, levels []ServiceLevel) {
	slices.SortFunc(levels, compareByAttainment)
	fmt.Fprintf(rows, "%s\tjobs\tcancelled\tstarted\tdone\ttasks done", heading)
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
			s.LongestWaitS, s.LargestJobsStarted.Total, s.LargestJobsMinTasks,
			s.LargestJobsStarted, s.LargestJobsStartedInTime, s.LargestJobsLongestWaitS)
	}
}
