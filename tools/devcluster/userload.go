package devcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"robinstack/internal/job"
)

// userLoad is users that submit, ask and cancel for as long as rollouts go on, and remember
// what they were told. Its mutex guards all fields below it, and is never held while a
// controller is asked.
type userLoad struct {
	cluster *Cluster
	plan    RolloutPlan
	client  *Client

	// dependentSubmissions are those under way of jobs that wait for others.
	dependentSubmissions sync.WaitGroup

	mu                  sync.Mutex
	dependenciesAllowed bool // all controllers know them
	jobs                map[string]*knownJob
	recent              []string // jobs accepted last, of which new ones name some
	submissions         int
	dependentJobs       int // accepted
	givenUp             int // submissions that were not accepted in their time
	slowSubmissions     int // accepted after more than slowSubmission
	slowestSubmission   time.Duration
	violations          []string
}

// knownJob is what a user was told of a job.
type knownJob struct {
	tasks           int
	finalStatus     string // "": it goes on as far as its user knows
	cancelRequested bool
	dependencies    []string

	// dependencyCancelledAt is when its user was told that one that it depends on is
	// cancelled; zero: none is.
	dependencyCancelledAt time.Time
}

const (
	// maxRecentJobs is of how many jobs accepted last some are named by new ones.
	maxRecentJobs = 12
	// maxDependencies is how many of them a new one names at most.
	maxDependencies = 3
	// gangEvery: one in so many jobs is a gang, of at most maxGangTasks tasks.
	gangEvery    = 4
	maxGangTasks = 3
	// cancelEvery: one in so many queries is a cancellation instead.
	cancelEvery = 60
)

// How users submit and ask.
const (
	submitTimeout  = time.Minute // after which they give up
	submitInterval = 300 * time.Millisecond
	slowSubmission = time.Second
	queryInterval  = 50 * time.Millisecond
)

func newUserLoad(c *Cluster, plan RolloutPlan) *userLoad {
	return &userLoad{cluster: c, plan: plan, client: NewClient(), jobs: map[string]*knownJob{}}
}

// address is that of any controller.
func (u *userLoad) address() string {
	return u.cluster.ControllerAddress(rand.IntN(u.cluster.options.Controllers))
}

// violate notes that a rule was broken. The mutex is held.
func (u *userLoad) violate(format string, args ...any) {
	u.violations = append(u.violations, fmt.Sprintf(format, args...))
}

// run has users come and ask until ctx ends, and returns once all have gone.
func (u *userLoad) run(ctx context.Context) {
	var users sync.WaitGroup
	every := func(mean time.Duration, do func()) {
		users.Go(func() {
			for ctx.Err() == nil {
				users.Go(do)
				time.Sleep(time.Duration(float64(mean) * (0.5 + rand.Float64())))
			}
		})
	}
	jobsPerSecond := float64(u.plan.RunningTasks) / (u.plan.MeanTasks * u.plan.MeanSeconds)
	every(time.Duration(float64(time.Second)/jobsPerSecond), func() { u.submit(ctx) })
	every(queryInterval, func() { u.queryAny(ctx) })
	users.Wait()
}

// queryAny asks about a job that goes on, or cancels it, and about one that is over.
func (u *userLoad) queryAny(ctx context.Context) {
	unfinished, finished := u.unfinishedAndFinished()
	if len(unfinished) > 0 {
		kind := query
		if rand.IntN(cancelEvery) == 0 {
			kind = cancellation
		}
		u.exchange(ctx, drawOne(unfinished), kind)
	}
	if len(finished) > 0 {
		u.exchange(ctx, drawOne(finished), query)
	}
}

// unfinishedAndFinished lists the jobs that go on as far as their users know, and those that
// are over, in any order.
func (u *userLoad) unfinishedAndFinished() (unfinished, finished []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, j := range u.jobs {
		if j.finalStatus == "" {
			unfinished = append(unfinished, id)
		} else {
			finished = append(finished, id)
		}
	}
	return unfinished, finished
}

// submission is a job that a user submits.
type submission struct {
	id           string
	tasks        int
	dependencies []string
	body         map[string]any
}

// drawSubmission draws the next job. If it depends on others, it counts as under way.
func (u *userLoad) drawSubmission() submission {
	u.mu.Lock()
	u.submissions++
	n := u.submissions
	s := submission{id: fmt.Sprintf("wk-%08d", n), dependencies: u.drawDependencies()}
	u.mu.Unlock()
	shape := job.Array
	s.tasks = 1 + rand.IntN(int(2*u.plan.MeanTasks))
	if n%gangEvery == 0 {
		shape, s.tasks = job.Gang, 1+rand.IntN(maxGangTasks)
	}
	s.body = NewSubmission(s.id, shape, "", s.tasks, 1, u.plan.MeanSeconds*(0.25+1.5*rand.Float64()))
	if len(s.dependencies) > 0 {
		s.body["waits_on"] = s.dependencies
	}
	return s
}

// drawDependencies draws jobs that the next one is to wait for: none for about half. The
// mutex is held.
func (u *userLoad) drawDependencies() (dependencies []string) {
	if !u.dependenciesAllowed || len(u.recent) == 0 || rand.IntN(2) == 0 {
		return nil
	}
	for range 1 + rand.IntN(maxDependencies) {
		if id := drawOne(u.recent); !slices.Contains(dependencies, id) {
			dependencies = append(dependencies, id)
		}
	}
	u.dependentSubmissions.Add(1)
	return dependencies
}

// allowDependencies has new jobs wait for others from now on.
func (u *userLoad) allowDependencies() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dependenciesAllowed = true
}

// forbidDependencies has no new job wait for others, and waits until no such submission is
// under way.
func (u *userLoad) forbidDependencies() {
	u.mu.Lock()
	u.dependenciesAllowed = false
	u.mu.Unlock()
	u.dependentSubmissions.Wait()
}

// maySubmit reports whether a job may be submitted, by what it depends on.
func (u *userLoad) maySubmit(s *submission) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(s.dependencies) == 0 || u.dependenciesAllowed
}

// submit submits one job, as often as it takes, for up to submitTimeout.
func (u *userLoad) submit(ctx context.Context) {
	s := u.drawSubmission()
	if len(s.dependencies) > 0 {
		defer u.dependentSubmissions.Done()
	}
	began := time.Now()
	for time.Since(began) < submitTimeout && ctx.Err() == nil && u.maySubmit(&s) {
		r, err := u.client.Submit(ctx, u.address(), s.body)
		switch {
		case err == nil && r.isAccepted():
			u.recordAccepted(&s, time.Since(began))
			return
		case err == nil && r.isInvalid():
			u.recordInvalid(&s, r.Code)
			return
		}
		time.Sleep(submitInterval)
	}
	if ctx.Err() == nil && u.maySubmit(&s) {
		u.recordGivenUp()
	}
}

func (u *userLoad) recordAccepted(s *submission, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	j := &knownJob{tasks: s.tasks, dependencies: s.dependencies}
	u.jobs[s.id] = j
	u.recent = append(u.recent, s.id)
	if len(u.recent) > maxRecentJobs {
		u.recent = u.recent[1:]
	}
	if len(s.dependencies) > 0 {
		u.dependentJobs++
	}
	for _, id := range s.dependencies {
		d := u.jobs[id]
		if d.cancelRequested && d.finalStatus == job.Cancelled || !d.dependencyCancelledAt.IsZero() {
			j.dependencyCancelledAt = time.Now()
		}
	}
	u.slowestSubmission = max(u.slowestSubmission, took)
	if took > slowSubmission {
		u.slowSubmissions++
	}
}

func (u *userLoad) recordInvalid(s *submission, code int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.violate("forgotten: a submission of %s answers %d", s.id, code)
}

func (u *userLoad) recordGivenUp() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.givenUp++
}

// dependencyTasks lists the tasks that have to be completed before one starts.
func (u *userLoad) dependencyTasks(task string) (tasks []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	id, _, _ := strings.Cut(task, "/")
	j := u.jobs[id]
	if j == nil {
		return nil // its acceptance is on its way to its user
	}
	for _, dependency := range j.dependencies {
		for k := range u.jobs[dependency].tasks {
			tasks = append(tasks, job.TaskID(dependency, k))
		}
	}
	return tasks
}

// requestKind is what a user asks about a job that was accepted.
type requestKind int

const (
	query requestKind = iota
	cancellation
)

// exchange asks about a job, or cancels it, and holds the answer against earlier ones.
func (u *userLoad) exchange(ctx context.Context, id string, kind requestKind) {
	u.mu.Lock()
	j := u.jobs[id]
	finalBefore := j.finalStatus
	j.cancelRequested = j.cancelRequested || kind == cancellation
	u.mu.Unlock()
	asked := time.Now()
	var r Response
	var err error
	if kind == cancellation {
		r, err = u.client.Cancel(ctx, u.address(), id)
	} else {
		r, err = u.client.Query(ctx, u.address(), id)
	}
	if err != nil || r.Code != http.StatusOK && r.Code != http.StatusNotFound {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case r.Code == http.StatusNotFound:
		u.violate("forgotten: %s answers 404", id)
	case finalBefore != "" && r.Status != finalBefore:
		u.violate("went_back: %s was %s and is %s", id, finalBefore, r.Status)
	case r.Status == job.Done && finalBefore == "":
		u.checkCompleted(id, j)
		j.finalStatus = r.Status
	case r.Status == job.Cancelled:
		u.recordCancelled(id, j, kind)
	default:
		u.checkActive(id, j, asked, r.Status)
	}
}

// checkCompleted holds it against the tasks that a job is told as done. The mutex is held.
func (u *userLoad) checkCompleted(id string, j *knownJob) {
	for k := range j.tasks {
		if task := job.TaskID(id, k); !u.cluster.Cloud.TaskCompleted(task) {
			u.violate("not_done: %s is called done before %s is", id, task)
		}
	}
}

// recordCancelled notes that a job is told as cancelled. The mutex is held.
func (u *userLoad) recordCancelled(id string, j *knownJob, kind requestKind) {
	if !j.cancelRequested && j.dependencyCancelledAt.IsZero() {
		u.violate("went_back: %s is called cancelled and nobody cancelled it", id)
		return
	}
	j.finalStatus = job.Cancelled
	if kind == cancellation {
		u.markDependents(id)
	}
}

// markDependents notes that a user was told of a cancellation, for all jobs that depend on
// the cancelled one. The mutex is held.
func (u *userLoad) markDependents(id string) {
	for dependent, j := range u.jobs {
		if j.dependencyCancelledAt.IsZero() && slices.Contains(j.dependencies, id) {
			j.dependencyCancelledAt = time.Now()
			u.markDependents(dependent)
		}
	}
}

// checkActive holds a status that is no cancellation against those that the job depends on.
// The mutex is held.
func (u *userLoad) checkActive(id string, j *knownJob, asked time.Time, status string) {
	if j.dependencyCancelledAt.IsZero() {
		return
	}
	if after := asked.Sub(j.dependencyCancelledAt); after > cancellationDeadline {
		u.violate("orphaned: %s is called %s %v after a job before it was cancelled",
			id, status, after.Round(time.Second))
	}
}
