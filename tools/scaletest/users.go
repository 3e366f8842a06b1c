package scaletest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// Users simulates the users of a run. The users submit jobs at the rates of the profile, regardless
// of the response times of the service, poll the status of their jobs as the protocol states, and
// cancel some of them. mu guards lastJobNumber and the counts of jobs, and must not be held during
// requests to controllers.
type Users struct {
	profile   *Profile
	addresses []string // of the controllers
	history   *emulator.History
	cloud     *emulator.SimulatedCloud
	startTime time.Time
	http      *http.Client

	submitLateness *histogram // delay of submissions after their scheduled times
	acceptLatency  *histogram // from the first submission attempt to acceptance

	mu            sync.Mutex
	lastJobNumber int
	submitted     map[string]int // by class
	accepted      int
	givenUp       int
	done          int
	cancelled     int
	open          int // jobs whose users still submit or poll them
}

// Timeouts and intervals that the protocol states for users.
const (
	submitTimeout  = 5 * time.Second // per attempt
	submitInterval = time.Second
	maxSubmitTime  = time.Minute // no attempt starts later than this after the first
	pollInterval   = 5 * time.Second
	pollTimeout    = 2 * time.Second
)

const (
	// maxOpenJobs bounds the number of jobs that are open at once, as the host has no capacity for
	// more. Jobs that arrive beyond it are not submitted.
	maxOpenJobs = 20_000
	// maxSendAttempts is the number of times that a request is sent until a controller answers.
	maxSendAttempts = 3
	// maxIdleConnectionsPerController bounds the idle HTTP connections kept to one controller.
	maxIdleConnectionsPerController = 128
	// imageGB is the size of every container image.
	imageGB = 1
)

// NewUsers returns users who reach the controllers at the given addresses, by host.
func NewUsers(
	p *Profile, controllers map[string]string, history *emulator.History, cloud *emulator.SimulatedCloud,
) *Users {
	return &Users{
		profile:        p,
		addresses:      slices.Sorted(maps.Values(controllers)),
		history:        history,
		cloud:          cloud,
		http:           &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnectionsPerController}},
		submitLateness: newHistogram(),
		acceptLatency:  newHistogram(),
		submitted:      map[string]int{},
	}
}

// arrival is the scheduled submission of one job.
type arrival struct {
	at    time.Duration // since the start of the run
	class *JobClass
}

// arrivals draws the submission times of all jobs from the seed of the profile, in ascending order.
// Jobs of a class arrive as a Poisson process, with an optional burst.
func (p *Profile) arrivals() []arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	var out []arrival
	for k := range p.Jobs {
		c := &p.Jobs[k]
		for at := 0.0; c.PerSecond > 0; {
			if at += rng.ExpFloat64() / c.PerSecond; at >= float64(p.Duration) {
				break
			}
			out = append(out, arrival{seconds(at), c})
		}
		for range c.Burst {
			out = append(out, arrival{seconds(c.BurstAt + rng.Float64()), c})
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// Run submits jobs at their scheduled times, which count from the first call of Run or from
// startTime, and returns after the last submission has begun or when ctx is done. Users follow
// their jobs until these are finished or ctx is done.
func (u *Users) Run(ctx context.Context) {
	if u.startTime.IsZero() {
		u.startTime = time.Now()
	}
	for _, a := range u.profile.arrivals() {
		due := u.startTime.Add(a.at)
		if !emulator.Sleep(ctx, time.Until(due)) {
			return
		}
		u.submitLateness.add(time.Since(due))
		if spec, ok := u.drawJob(a.class); ok {
			cancelAfter := time.Duration(0)
			if rand.Float64() < a.class.Cancelled {
				cancelAfter = seconds(rand.Float64() * a.class.Run)
			}
			go u.followJob(ctx, spec, cancelAfter)
		}
	}
}

// drawJob draws a job of a class and registers it with the history and the simulated cloud. It
// returns false if maxOpenJobs are open.
func (u *Users) drawJob(c *JobClass) (spec job.Spec, ok bool) {
	id, ok := u.registerJob(c)
	if !ok {
		return spec, false
	}
	spec = job.Spec{
		ID:        id,
		Class:     c.Name,
		Team:      teamName(rand.IntN(u.profile.Teams.Count)),
		Shape:     c.Shape,
		Rank:      c.Rank,
		Tasks:     c.Tasks[rand.IntN(len(c.Tasks))],
		Need:      job.Resources{CPUs: c.CPUs, GPUs: c.GPUs, MemoryGB: c.MemoryGB},
		Image:     c.drawImage(),
		ImageGB:   imageGB,
		OneZone:   c.OneZone,
		Spread:    c.Spread,
		EstimateS: c.Run,

		CheckpointS: c.CheckpointS,
		SaveS:       c.SaveS,
		WaitsOn:     u.drawDependencies(c.WaitsOn),
	}
	if spec.Shape == job.Service {
		spec.EstimateS = 0
	}
	u.history.RecordSubmission(spec)
	u.cloud.SetRunTimes(spec.ID, seconds(c.Run*(0.5+rand.Float64())), 0)
	return spec, true
}

// drawImage draws one of the images of the class. Its name is padded to the length that the class
// states.
func (c *JobClass) drawImage() string {
	image := fmt.Sprintf("%s-%d", c.Name, rand.IntN(c.Images))
	return image + strings.Repeat("-", max(0, c.ImageBytes-len(image)))
}

// recentDependencies is the number of jobs accepted last from which dependencies are drawn.
const recentDependencies = 200

// drawDependencies draws up to limit jobs that have been accepted and are no services.
func (u *Users) drawDependencies(limit int) (dependencies []string) {
	if limit == 0 {
		return nil
	}
	ids := u.history.AcceptedJobIDs()
	ids = ids[max(0, len(ids)-recentDependencies):]
	for range rand.IntN(limit + 1) {
		if len(ids) == 0 {
			break
		}
		id := ids[rand.IntN(len(ids))]
		spec, _ := u.history.SubmittedSpec(id)
		if spec.Shape != job.Service && !slices.Contains(dependencies, id) {
			dependencies = append(dependencies, id)
		}
	}
	return dependencies
}

// Query asks for the status of a job and records the response.
func (u *Users) Query(ctx context.Context, id string) {
	u.sendAndRecord(ctx, id, newStatusQuery(id))
}

// Cancel requests the cancellation of a job and records the response.
func (u *Users) Cancel(ctx context.Context, id string) {
	u.history.RecordCancelRequest(id)
	u.sendAndRecord(ctx, id, newCancellation(id))
}

// Resubmit repeats the submission of a job and records the response.
func (u *Users) Resubmit(ctx context.Context, spec *job.Spec) {
	u.sendAndRecord(ctx, spec.ID, newSubmission(spec))
}

// registerJob counts a new job of a class as submitted and open, and returns its ID. It returns
// false if maxOpenJobs are open.
func (u *Users) registerJob(c *JobClass) (id string, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= maxOpenJobs {
		return "", false
	}
	u.lastJobNumber++
	u.open++
	u.submitted[c.Name]++
	return fmt.Sprintf("wk-%d", u.lastJobNumber), true
}

// request is a user's HTTP request about a job. kind is a request kind of
// emulator.History.RecordResponse.
type request struct {
	kind, method, path string
	body               any
	timeout            time.Duration
}

func newSubmission(spec *job.Spec) request {
	return request{
		kind: "submit", method: http.MethodPost, path: "/submissions", body: spec, timeout: submitTimeout,
	}
}

func newStatusQuery(id string) request {
	return request{kind: "query", method: http.MethodGet, path: "/submissions/" + id, timeout: pollTimeout}
}

func newCancellation(id string) request {
	path := "/submissions/" + id + "/abort"
	return request{kind: "cancel", method: http.MethodPost, path: path, timeout: pollTimeout}
}

// followJob submits a job and polls its status until it is done or cancelled. If cancelAfter is not
// zero, it waits for that time and then sends cancellations in place of status queries.
func (u *Users) followJob(ctx context.Context, spec job.Spec, cancelAfter time.Duration) {
	defer u.addToCounter(&u.open, -1)
	if !u.submit(ctx, &spec) {
		u.addToCounter(&u.givenUp, 1)
		return
	}
	u.addToCounter(&u.accepted, 1)
	poll := newStatusQuery(spec.ID)
	if cancelAfter > 0 && emulator.Sleep(ctx, cancelAfter) {
		poll = newCancellation(spec.ID)
	}
	for emulator.Sleep(ctx, time.Duration(float64(pollInterval)*(0.8+0.4*rand.Float64()))) {
		if poll.kind == "cancel" {
			u.history.RecordCancelRequest(spec.ID)
		}
		code, status := u.sendAndRecord(ctx, spec.ID, poll)
		switch {
		case ctx.Err() != nil:
			return
		case code == http.StatusOK && status == job.Done:
			u.addToCounter(&u.done, 1)
			return
		case code == http.StatusOK && status == job.Cancelled:
			u.addToCounter(&u.cancelled, 1)
			return
		}
	}
}

// submit submits a job until it is accepted, rejected as invalid, or maxSubmitTime is over, and
// reports whether it was accepted.
func (u *Users) submit(ctx context.Context, spec *job.Spec) bool {
	submission := newSubmission(spec)
	began := time.Now()
	for time.Since(began) < maxSubmitTime && ctx.Err() == nil {
		code, _ := u.sendAndRecord(ctx, spec.ID, submission)
		if ctx.Err() != nil {
			return false
		}
		switch code {
		case http.StatusOK, http.StatusCreated:
			u.acceptLatency.add(time.Since(began))
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		emulator.Sleep(ctx, submitInterval)
	}
	return false
}

// sendAndRecord sends a request about a job and records the response in the history, unless the run
// has ended meanwhile. Code 0 means that there was no response.
func (u *Users) sendAndRecord(ctx context.Context, id string, r request) (code int, status string) {
	requestedAt := u.history.NextRequestTime()
	code, status = u.send(ctx, r)
	if ctx.Err() == nil {
		u.history.RecordResponse(r.kind, id, requestedAt, code, status)
	}
	return code, status
}

// send sends a request to a random controller, as a load balancer would choose one. If the request
// fails without a response, it is sent again to a controller drawn anew.
func (u *Users) send(ctx context.Context, r request) (code int, status string) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	var body []byte
	if r.body != nil {
		var err error
		if body, err = json.Marshal(r.body); err != nil {
			return 0, ""
		}
	}
	for range maxSendAttempts {
		url := "http://" + u.addresses[rand.IntN(len(u.addresses))] + r.path
		request, err := http.NewRequestWithContext(ctx, r.method, url, bytes.NewReader(body))
		if err != nil {
			return 0, ""
		}
		response, err := u.http.Do(request)
		if err != nil {
			continue
		}
		return readJobStatus(response)
	}
	return 0, ""
}

// readJobStatus reads the status code and the job status from a response and closes its body.
func readJobStatus(response *http.Response) (code int, status string) {
	defer func() { _ = response.Body.Close() }() // an error after reading has no effect
	var answer struct {
		Status string `json:"status"`
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	_ = json.Unmarshal(raw, &answer) // a body that is not a job status leaves status empty
	return response.StatusCode, answer.Status
}

func (u *Users) addToCounter(counter *int, delta int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*counter += delta
}

// openJobs returns the number of jobs that are open.
func (u *Users) openJobs() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// addResults copies the counts and latencies of the users into a result, and returns the number of
// submitted jobs of each class.
func (u *Users) addResults(r *LoadResult) (submitted map[string]int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, n := range u.submitted {
		r.Submitted += n
	}
	r.Accepted, r.GivenUp, r.Done, r.Cancelled = u.accepted, u.givenUp, u.done, u.cancelled
	r.Submissions, r.UserLateness = u.acceptLatency.latency(), u.submitLateness.latency()
	return maps.Clone(u.submitted)
}
