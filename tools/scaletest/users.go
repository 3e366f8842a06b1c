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
// protocol says, and cancel some.
type users struct {
	profile   *Profile
	addresses []string
	history   *emulator.History
	fleet     *emulator.SimulatedCloud
	begun     time.Time
	http      *http.Client
	lateness  *histogram // of submissions against their times
	answers   *histogram // from the first attempt to submit to its acceptance

	mu        sync.Mutex
	ids       int
	submitted map[string]int // by class
	accepted  int
	givenUp   int
	done      int
	cancelled int
	running   int // jobs whose users wait
}

// What the protocol says of users.
const (
	submitTime   = 5 * time.Second
	submitAgain  = time.Second
	submitFor    = time.Minute
	pollEvery    = 5 * time.Second
	pollTime     = 2 * time.Second
	mostOpenJobs = 20_000 // users of a run; more do not fit
)

func newUsers(p *Profile, controllers map[string]string, history *emulator.History, fleet *emulator.SimulatedCloud) *users {
	return &users{profile: p, addresses: slices.Sorted(maps.Values(controllers)), history: history, fleet: fleet,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}, lateness: newHistogram(), answers: newHistogram(), submitted: map[string]int{}}
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

func (u *users) run(ctx context.Context) {
	for _, a := range u.profile.arrivals() {
		due := u.begun.Add(a.at)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		u.lateness.add(time.Since(due))
		spec, ok := u.draw(a.class)
		if ok {
			go u.see(ctx, spec, rand.Float64() < a.class.Cancelled)
		}
	}
}

// draw makes a job of a class.
func (u *users) draw(c *JobClass) (spec job.Spec, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= mostOpenJobs {
		return spec, false
	}
	u.ids++
	u.running++
	u.submitted[c.Name]++
	spec = job.Spec{ID: fmt.Sprintf("wk-%d", u.ids), Class: c.Name, Team: fmt.Sprintf("team-%02d", rand.IntN(u.profile.Teams.Count)), Shape: c.Shape, Rank: c.Rank,
		Tasks: c.Tasks[rand.IntN(len(c.Tasks))], Need: job.Need{CPUs: c.CPUs, GPUs: c.GPUs, MemoryGB: c.MemoryGB},
		Image: fmt.Sprintf("%s-%d", c.Name, rand.IntN(c.Images)), ImageGB: 1, OneZone: c.OneZone, EstimateS: c.Run}
	u.history.RecordSubmission(spec)
	u.fleet.SetRunTimes(spec.ID, seconds(c.Run*(0.5+rand.Float64())), 0)
	return spec, true
}

// see submits a job and stays with it until it is over.
func (u *users) see(ctx context.Context, spec job.Spec, cancels bool) {
	defer u.count(&u.running, -1)
	if !u.submit(ctx, spec) {
		u.count(&u.givenUp, 1)
		return
	}
	u.count(&u.accepted, 1)
	if cancels {
		cancels = u.sleep(ctx, time.Duration(rand.Float64()*spec.EstimateS*float64(time.Second)))
	}
	for u.sleep(ctx, time.Duration(float64(pollEvery)*(0.8+0.4*rand.Float64()))) {
		verb, method, path := "query", http.MethodGet, "/submissions/"+spec.ID
		if cancels {
			verb, method, path = "cancel", http.MethodPost, "/submissions/"+spec.ID+"/abort"
			u.history.RecordCancelRequest(spec.ID)
		}
		asked := u.history.StampRequest()
		code, status := u.call(ctx, method, path, nil, pollTime)
		if ctx.Err() != nil {
			return
		}
		u.history.RecordResponse(verb, spec.ID, asked, code, status)
		switch {
		case code == http.StatusOK && status == job.Done:
			u.count(&u.done, 1)
			return
		case code == http.StatusOK && status == job.Cancelled:
			u.count(&u.cancelled, 1)
			return
		}
	}
}

func (u *users) submit(ctx context.Context, spec job.Spec) bool {
	began := time.Now()
	for time.Since(began) < submitFor && ctx.Err() == nil {
		asked := u.history.StampRequest()
		code, status := u.call(ctx, http.MethodPost, "/submissions", spec, submitTime)
		if ctx.Err() != nil {
			return false
		}
		u.history.RecordResponse("submit", spec.ID, asked, code, status)
		switch code {
		case http.StatusOK, http.StatusCreated:
			u.answers.add(time.Since(began))
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		u.sleep(ctx, submitAgain)
	}
	return false
}

// call asks a controller drawn from all, as a load balancer would choose one, and tries
// another where it cannot connect.
func (u *users) call(ctx context.Context, method, path string, body any, within time.Duration) (code int, status string) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	for range 3 {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+u.addresses[rand.IntN(len(u.addresses))]+path, bytes.NewReader(raw))
		if err != nil {
			return 0, ""
		}
		response, err := u.http.Do(request)
		if err != nil {
			continue
		}
		defer response.Body.Close()
		var answer struct {
			Status string `json:"status"`
		}
		answered, err := io.ReadAll(response.Body)
		if err != nil {
			return 0, ""
		}
		_ = json.Unmarshal(answered, &answer)
		return response.StatusCode, answer.Status
	}
	return 0, ""
}

func (u *users) sleep(ctx context.Context, d time.Duration) bool {
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

// open counts the jobs whose users wait for their end.
func (u *users) open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// sum adds what users saw to a result.
func (u *users) sum(r *LoadResult) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, n := range u.submitted {
		r.Submitted += n
	}
	r.Accepted, r.GivenUp, r.Done, r.Cancelled = u.accepted, u.givenUp, u.done, u.cancelled
	r.Submissions, r.UserLateness = u.answers.latency(), u.lateness.latency()
}
