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

// userLoad simulates users who submit, query and cancel jobs during the rollouts, and checks each
// response against the earlier ones. mu guards the fields below it and must not be held during
// requests to controllers.
type userLoad struct {
	cluster *Cluster
	plan    RolloutPlan
	client  *Client

	// dependentSubmissions counts submissions in progress of jobs with dependencies.
	dependentSubmissions sync.WaitGroup

	mu                   sync.Mutex
	dependenciesAllowed  bool // all controllers run a build that supports dependencies
	jobs                 map[string]*observedJob
	recent               []string // IDs of the jobs accepted last, from which new jobs choose dependencies
	submissions          int
	dependentJobs        int // accepted jobs with dependencies
	abandonedSubmissions int // not accepted within submitTimeout
	slowSubmissions      int // accepted after more than slowSubmissionThreshold
	slowestSubmission    time.Duration
	violations           []string
}

// observedJob is an accepted job as the responses to its user have reported it.
type observedJob struct {
	tasks           int
	finalStatus     string // "": not reported as finished
	cancelRequested bool
	dependencies    []string

	// dependencyCancelledAt is when a user was told that a direct or indirect dependency of the job
	// is cancelled; zero: no user was.
	dependencyCancelledAt time.Time
}

const (
	// maxRecentJobs bounds the jobs accepted last from which new jobs choose dependencies.
	maxRecentJobs = 12
	// maxDependencies bounds the dependencies of a job.
	maxDependencies = 3
	// One in jobsPerGang jobs is a gang, of at most maxGangTasks tasks.
	jobsPerGang  = 4
	maxGangTasks = 3
	// queriesPerCancellation: one in this many requests about an unfinished job cancels it.
	queriesPerCancellation = 60
)

// Timing of the users' requests.
const (
	submitTimeout           = time.Minute // time after which a user abandons a submission
	submitInterval          = 300 * time.Millisecond
	slowSubmissionThreshold = time.Second
	queryInterval           = 50 * time.Millisecond
)

func newUserLoad(c *Cluster, plan RolloutPlan) *userLoad {
	return &userLoad{cluster: c, plan: plan, client: NewClient(), jobs: map[string]*observedJob{}}
}

// address returns the address of a random controller.
func (u *userLoad) address() string {
	return u.cluster.ControllerAddress(rand.IntN(u.cluster.options.Controllers))
}

// recordViolation records a violated invariant. The caller must hold u.mu.
func (u *userLoad) recordViolation(format string, args ...any) {
	u.violations = append(u.violations, fmt.Sprintf(format, args...))
}

// run submits and queries jobs until ctx ends, and returns once all its requests are complete.
func (u *userLoad) run(ctx context.Context) {
	var goroutines sync.WaitGroup
	startRepeating := func(mean time.Duration, action func()) {
		goroutines.Go(func() {
			for ctx.Err() == nil {
				goroutines.Go(action)
				time.Sleep(time.Duration(float64(mean) * (0.5 + rand.Float64())))
			}
		})
	}
	jobsPerSecond := float64(u.plan.RunningTasks) / (u.plan.MeanTasksPerJob * u.plan.MeanTaskSeconds)
	startRepeating(time.Duration(float64(time.Second)/jobsPerSecond), func() { u.submit(ctx) })
	startRepeating(queryInterval, func() { u.queryRandomJobs(ctx) })
	goroutines.Wait()
}

// queryRandomJobs queries or cancels a random unfinished job, and queries a random finished one.
func (u *userLoad) queryRandomJobs(ctx context.Context) {
	unfinished, finished := u.jobsByCompletion()
	if len(unfinished) > 0 {
		kind := queryRequest
		if rand.IntN(queriesPerCancellation) == 0 {
			kind = cancelRequest
		}
		u.requestAndCheck(ctx, randomElement(unfinished), kind)
	}
	if len(finished) > 0 {
		u.requestAndCheck(ctx, randomElement(finished), queryRequest)
	}
}

// jobsByCompletion lists the accepted jobs in any order: those not reported as finished, and those
// reported as done or cancelled.
func (u *userLoad) jobsByCompletion() (unfinished, finished []string) {
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

// submission is a job to be submitted, with its request body.
type submission struct {
	id           string
	tasks        int
	dependencies []string
	body         map[string]any
}

// nextSubmission returns a random job to submit. A job with dependencies is counted in
// u.dependentSubmissions.
func (u *userLoad) nextSubmission() submission {
	u.mu.Lock()
	u.submissions++
	n := u.submissions
	s := submission{id: fmt.Sprintf("wk-%08d", n), dependencies: u.chooseDependencies()}
	u.mu.Unlock()
	shape := job.Array
	s.tasks = 1 + rand.IntN(int(2*u.plan.MeanTasksPerJob))
	if n%jobsPerGang == 0 {
		shape, s.tasks = job.Gang, 1+rand.IntN(maxGangTasks)
	}
	s.body = NewSubmission(s.id, shape, "", s.tasks, 1, u.plan.MeanTaskSeconds*(0.25+1.5*rand.Float64()))
	if len(s.dependencies) > 0 {
		s.body["waits_on"] = s.dependencies
	}
	return s
}

// chooseDependencies returns random dependencies for the next job; about half of the jobs have
// none. A job with dependencies is counted in u.dependentSubmissions. The caller must hold u.mu.
func (u *userLoad) chooseDependencies() (dependencies []string) {
	if !u.dependenciesAllowed || len(u.recent) == 0 || rand.IntN(2) == 0 {
		return nil
	}
	for range 1 + rand.IntN(maxDependencies) {
		if id := randomElement(u.recent); !slices.Contains(dependencies, id) {
			dependencies = append(dependencies, id)
		}
	}
	u.dependentSubmissions.Add(1)
	return dependencies
}

// allowDependencies lets new jobs have dependencies from now on.
func (u *userLoad) allowDependencies() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dependenciesAllowed = true
}

// forbidDependencies makes new jobs have no dependencies, and waits until no submission of a job
// with dependencies is in progress.
func (u *userLoad) forbidDependencies() {
	u.mu.Lock()
	u.dependenciesAllowed = false
	u.mu.Unlock()
	u.dependentSubmissions.Wait()
}

// maySubmit reports whether the job may be submitted: it has no dependencies, or dependencies are
// allowed.
func (u *userLoad) maySubmit(s *submission) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(s.dependencies) == 0 || u.dependenciesAllowed
}

// submit submits a new job, and repeats the request until it is answered as accepted or invalid,
// for up to submitTimeout.
func (u *userLoad) submit(ctx context.Context) {
	s := u.nextSubmission()
	if len(s.dependencies) > 0 {
		defer u.dependentSubmissions.Done()
	}
	startedAt := time.Now()
	for time.Since(startedAt) < submitTimeout && ctx.Err() == nil && u.maySubmit(&s) {
		r, err := u.client.Submit(ctx, u.address(), s.body)
		switch {
		case err == nil && r.isAccepted():
			u.recordAccepted(&s, time.Since(startedAt))
			return
		case err == nil && r.isInvalid():
			u.recordInvalid(&s, r.Code)
			return
		}
		time.Sleep(submitInterval)
	}
	if ctx.Err() == nil && u.maySubmit(&s) {
		u.recordAbandoned()
	}
}

func (u *userLoad) recordAccepted(s *submission, latency time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	j := &observedJob{tasks: s.tasks, dependencies: s.dependencies}
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
	u.slowestSubmission = max(u.slowestSubmission, latency)
	if latency > slowSubmissionThreshold {
		u.slowSubmissions++
	}
}

func (u *userLoad) recordInvalid(s *submission, code int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordViolation("forgotten: submission of %s returned HTTP %d", s.id, code)
}

func (u *userLoad) recordAbandoned() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.abandonedSubmissions++
}

// dependencyTasks lists the tasks that must have completed before the given task starts.
func (u *userLoad) dependencyTasks(task string) (tasks []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	id, _, _ := strings.Cut(task, "/")
	j := u.jobs[id]
	if j == nil {
		return nil // the user has not received the acceptance yet
	}
	for _, dependency := range j.dependencies {
		for k := range u.jobs[dependency].tasks {
			tasks = append(tasks, job.TaskID(dependency, k))
		}
	}
	return tasks
}

// requestKind is the kind of a user's request about an accepted job.
type requestKind int

const (
	queryRequest requestKind = iota
	cancelRequest
)

// requestAndCheck queries or cancels a job, and checks the response against earlier responses.
func (u *userLoad) requestAndCheck(ctx context.Context, id string, kind requestKind) {
	u.mu.Lock()
	j := u.jobs[id]
	finalBefore := j.finalStatus
	j.cancelRequested = j.cancelRequested || kind == cancelRequest
	u.mu.Unlock()
	requestedAt := time.Now()
	var r Response
	var err error
	if kind == cancelRequest {
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
		u.recordViolation("forgotten: request for accepted job %s returned HTTP 404", id)
	case finalBefore != "" && r.Status != finalBefore:
		u.recordViolation("went_back: %s changed from %s to %s", id, finalBefore, r.Status)
	case r.Status == job.Done && finalBefore == "":
		u.checkCompleted(id, j)
		j.finalStatus = r.Status
	case r.Status == job.Cancelled:
		u.recordCancelled(id, j, kind)
	default:
		u.checkActive(id, j, requestedAt, r.Status)
	}
}

// checkCompleted checks that all tasks of a job reported as done have completed. The caller must
// hold u.mu.
func (u *userLoad) checkCompleted(id string, j *observedJob) {
	for k := range j.tasks {
		if task := job.TaskID(id, k); !u.cluster.Cloud.TaskCompleted(task) {
			u.recordViolation("not_done: %s is reported as done, but task %s has not completed", id, task)
		}
	}
}

// recordCancelled records that a job is reported as cancelled. It is a violation if neither the job
// nor a dependency was cancelled. The caller must hold u.mu.
func (u *userLoad) recordCancelled(id string, j *observedJob, kind requestKind) {
	if !j.cancelRequested && j.dependencyCancelledAt.IsZero() {
		u.recordViolation("went_back: %s is reported as cancelled, but no user cancelled it", id)
		return
	}
	j.finalStatus = job.Cancelled
	if kind == cancelRequest {
		u.markDependents(id)
	}
}

// markDependents records the time of a reported cancellation in all jobs that depend on the
// cancelled job, directly or indirectly. The caller must hold u.mu.
func (u *userLoad) markDependents(id string) {
	for dependent, j := range u.jobs {
		if j.dependencyCancelledAt.IsZero() && slices.Contains(j.dependencies, id) {
			j.dependencyCancelledAt = time.Now()
			u.markDependents(dependent)
		}
	}
}

// checkActive checks a job that is not reported as cancelled. It is a violation if a user was told
// more than cancellationDeadline before the request that a dependency is cancelled. The caller must
// hold u.mu.
func (u *userLoad) checkActive(id string, j *observedJob, requestedAt time.Time, status string) {
	if j.dependencyCancelledAt.IsZero() {
		return
	}
	if after := requestedAt.Sub(j.dependencyCancelledAt); after > cancellationDeadline {
		u.recordViolation("orphaned: %s is reported as %s %v after a dependency was cancelled",
			id, status, after.Round(time.Second))
	}
}
