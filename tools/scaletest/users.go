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
	"sync"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// users submit jobs at a profile's rates, however the service fares, ask about them as the
// protocol says, and cancel some. Their mutex guards the counts, and is never held while a
// controller is asked.
type users struct {
	profile   *Profile
	addresses []string // of the controllers
	history   *emulator.History
	cloud     *emulator.SimulatedCloud
	startTime time.Time
	http      *http.Client

	submitLateness *histogram // of submissions against their times
	acceptTime     *histogram // from the first attempt to submit to its acceptance

	mu        sync.Mutex
	lastID    int
	submitted map[string]int // by class
	accepted  int
	givenUp   int
	done      int
	cancelled int
	open      int // jobs whose users wait for their end
}

// What the protocol says of users.
const (
	submitTimeout  = 5 * time.Second // of each attempt
	submitInterval = time.Second
	submitFor      = time.Minute // after which they give up
	pollInterval   = 5 * time.Second
	pollTimeout    = 2 * time.Second
)

const (
	// maxOpenJobs is of how many jobs users of a run wait for the end; more do not fit.
	maxOpenJobs = 20_000
	// maxConnectAttempts is how many controllers a request tries to connect to.
	maxConnectAttempts = 3
	// maxIdleConnections are kept to each controller.
	maxIdleConnections = 128
	// imageGB is how large every image is.
	imageGB = 1
)

func newUsers(
	p *Profile, controllers map[string]string, history *emulator.History, cloud *emulator.SimulatedCloud,
) *users {
	return &users{
		profile:        p,
		addresses:      slices.Sorted(maps.Values(controllers)),
		history:        history,
		cloud:          cloud,
		http:           &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		submitLateness: newHistogram(),
		acceptTime:     newHistogram(),
		submitted:      map[string]int{},
	}
}

// arrival is when a job of a class is to be submitted.
type arrival struct {
	at    time.Duration // from the beginning
	class *JobClass
}

// arrivals draws when jobs come, in order.
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

// run has jobs come at their times until ctx ends.
func (u *users) run(ctx context.Context) {
	for _, a := range u.profile.arrivals() {
		due := u.startTime.Add(a.at)
		if !sleep(ctx, time.Until(due)) {
			return
		}
		u.submitLateness.add(time.Since(due))
		if spec, ok := u.drawJob(a.class); ok {
			go u.followJob(ctx, spec, rand.Float64() < a.class.Cancelled)
		}
	}
}

// submitRandomJob makes a job of a class, unless too many are open.
func (u *users) drawJob(c *JobClass) (spec job.Spec, ok bool) {
	id, ok := u.nextID(c)
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
		Image:     fmt.Sprintf("%s-%d", c.Name, rand.IntN(c.Images)),
		ImageGB:   imageGB,
		OneZone:   c.OneZone,
		EstimateS: c.Run,
	}
	u.history.RecordSubmission(spec)
	u.cloud.SetRunTimes(spec.ID, seconds(c.Run*(0.5+rand.Float64())), 0)
	return spec, true
}

// nextID names the next job of a class, and counts it as open.
func (u *users) nextID(c *JobClass) (id string, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= maxOpenJobs {
		return "", false
	}
	u.lastID++
	u.open++
	u.submitted[c.Name]++
	return fmt.Sprintf("wk-%d", u.lastID), true
}

// request is what a user sends about a job; kind is as emulator.History takes it.
type request struct {
	kind, method, path string
	body               any
	timeout            time.Duration
}

func queryOf(id string) request {
	return request{kind: "query", method: http.MethodGet, path: "/submissions/" + id, timeout: pollTimeout}
}

func cancellationOf(id string) request {
	path := "/submissions/" + id + "/abort"
	return request{kind: "cancel", method: http.MethodPost, path: path, timeout: pollTimeout}
}

// followJob submits a job, and asks about it, or cancels it, until it is over.
func (u *users) followJob(ctx context.Context, spec job.Spec, cancels bool) {
	defer u.count(&u.open, -1)
	if !u.submit(ctx, &spec) {
		u.count(&u.givenUp, 1)
		return
	}
	u.count(&u.accepted, 1)
	poll := queryOf(spec.ID)
	if cancels && sleep(ctx, time.Duration(rand.Float64()*spec.EstimateS*float64(time.Second))) {
		poll = cancellationOf(spec.ID)
	}
	for sleep(ctx, time.Duration(float64(pollInterval)*(0.8+0.4*rand.Float64()))) {
		if poll.kind == "cancel" {
			u.history.RecordCancelRequest(spec.ID)
		}
		code, status := u.exchange(ctx, spec.ID, poll)
		switch {
		case ctx.Err() != nil:
			return
		case code == http.StatusOK && status == job.Done:
			u.count(&u.done, 1)
			return
		case code == http.StatusOK && status == job.Cancelled:
			u.count(&u.cancelled, 1)
			return
		}
	}
}

// submit submits a job again and again, and reports whether it was accepted.
func (u *users) submit(ctx context.Context, spec *job.Spec) bool {
	submission := request{
		kind: "submit", method: http.MethodPost, path: "/submissions", body: spec, timeout: submitTimeout,
	}
	began := time.Now()
	for time.Since(began) < submitFor && ctx.Err() == nil {
		code, _ := u.exchange(ctx, spec.ID, submission)
		if ctx.Err() != nil {
			return false
		}
		switch code {
		case http.StatusOK, http.StatusCreated:
			u.acceptTime.add(time.Since(began))
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		sleep(ctx, submitInterval)
	}
	return false
}

// exchange sends a request about a job and tells the history of its answer, unless the run
// has ended meanwhile. A code of 0 is no answer.
func (u *users) exchange(ctx context.Context, id string, r request) (code int, status string) {
	asked := u.history.StampRequest()
	code, status = u.send(ctx, r)
	if ctx.Err() == nil {
		u.history.RecordResponse(r.kind, id, asked, code, status)
	}
	return code, status
}

// send sends a request to a controller drawn from all, as a load balancer would choose one,
// and tries another where it cannot connect.
func (u *users) send(ctx context.Context, r request) (code int, status string) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	var body []byte
	if r.body != nil {
		var err error
		if body, err = json.Marshal(r.body); err != nil {
			return 0, ""
		}
	}
	for range maxConnectAttempts {
		url := "http://" + u.addresses[rand.IntN(len(u.addresses))] + r.path
		request, err := http.NewRequestWithContext(ctx, r.method, url, bytes.NewReader(body))
		if err != nil {
			return 0, ""
		}
		response, err := u.http.Do(request)
		if err != nil {
			continue
		}
		return readStatusOf(response)
	}
	return 0, ""
}

// readStatusOf reads the status of a job from an answer.
func readStatusOf(response *http.Response) (code int, status string) {
	defer func() { _ = response.Body.Close() }() // it has been read
	var answer struct {
		Status string `json:"status"`
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	_ = json.Unmarshal(raw, &answer) // an answer without a body of ours has its code alone
	return response.StatusCode, answer.Status
}

// sleep waits, and reports whether ctx did not end before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (u *users) count(what *int, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*what += n
}

// openJobs counts the jobs whose users wait for their end.
func (u *users) openJobs() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// addTo adds what users saw to a result, and returns how many jobs were submitted, by class.
func (u *users) addTo(r *LoadResult) (submitted map[string]int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, n := range u.submitted {
		r.Submitted += n
	}
	r.Accepted, r.GivenUp, r.Done, r.Cancelled = u.accepted, u.givenUp, u.done, u.cancelled
	r.Submissions, r.UserLateness = u.acceptTime.latency(), u.submitLateness.latency()
	return maps.Clone(u.submitted)
}
