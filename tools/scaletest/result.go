package scaletest

import (
	"fmt"

	"robinstack/internal/gateway"
)

// Result is what a run measured.
type Result struct {
	Profile         string `json:"profile"`
	Machines        int    `json:"machines"`
	Accelerators    int    `json:"accelerators"`
	Teams           int    `json:"teams"`
	ControllerCount int    `json:"controllers"`
	DurationS       int    `json:"duration_s"`
	WarmupS         int    `json:"warmup_s"`

	Registered registrationTimes `json:"registered_s"`

	Controllers      []ControllerResult `json:"each_controller"`
	Status           []*gateway.Status  `json:"-"`
	StateService     StateServiceResult `json:"state_service"`
	Workers          Usage              `json:"workers_and_users_process"`
	Sampler          Usage              `json:"state_service_and_sampler_process"`
	MaxTotalMemoryMB float64            `json:"memory_mb_of_all_most"`
	Load             LoadResult         `json:"load"`
	Unsupported      []string           `json:"stated_and_carried_by_nothing"`
}

// ControllerResult is what one controller used and did.
type ControllerResult struct {
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Leader bool   `json:"steward"`
	Usage
	Owned          int               `json:"machines_owned"`
	Answers        map[string]int64  `json:"answers"` // by kind of request
	Calls          map[string]uint64 `json:"calls"`   // to controllers, by method
	SentBytes      uint64            `json:"bytes_sent"`
	ReceivedBytes  uint64            `json:"bytes_received"`
	Samples        uint64            `json:"samples"`
	Commits        uint64            `json:"commits"`
	Conflicts      uint64            `json:"conflicts"`
	Requeues       uint64            `json:"requeues"`
	RefusedQueries int64             `json:"queries_refused"`
}

// StateServiceResult is what the state service was asked and keeps.
type StateServiceResult struct {
	Requests uint64 `json:"requests"`
	Renewals uint64 `json:"lease_renewals"`
	Watches  uint64 `json:"watches"`
	Changes  uint64 `json:"changes"`
	Refused  uint64 `json:"refused"`
	MaxKeys  int    `json:"keys_most"`
	MaxBytes int    `json:"bytes_most"`
}

// registrationTimes are when the machines that are there from the beginning had their keys,
// in seconds from the beginning; 0: not in this run.
type registrationTimes struct {
	Half       float64
	NineTenths float64 `json:"Most"`
	All        float64
}

// note takes the number of keys at a time.
func (t *registrationTimes) note(keys, machines int, at float64) {
	for _, step := range []struct {
		reached *float64
		share   float64
	}{{&t.Half, 0.5}, {&t.NineTenths, 0.9}, {&t.All, 1}} {
		if *step.reached == 0 && float64(keys) >= step.share*float64(machines) {
			*step.reached = at
		}
	}
}

// newResult is what the profile of a run states.
func newResult(p *Profile) *Result {
	r := &Result{
		Profile:         p.Name,
		Machines:        p.Machines(),
		Teams:           p.Teams.Count,
		ControllerCount: p.Controllers.Count,
		DurationS:       p.Duration,
		WarmupS:         p.Warmup,
	}
	for _, t := range p.Types {
		r.Accelerators += int(t.GPUs) * t.Count
	}
	if p.Configuration.PerDay > 0 {
		r.Unsupported = append(r.Unsupported, fmt.Sprintf("%.0f configuration changes a day", p.Configuration.PerDay))
	}
	if len(p.Regions) > 1 {
		r.Unsupported = append(r.Unsupported,
			fmt.Sprintf("%d regions: their %d zones are zones of one fleet", len(p.Regions), len(p.Zones())))
	}
	return r
}

// Kinds of requests in ControllerResult.Answers.
const (
	heartbeatAnswers  = "report"
	submissionAnswers = "submission"
	queryAnswers      = "query"
)

// addStatus adds what the controllers' status pages say.
func (r *Result) addStatus() {
	for k, s := range r.Status {
		if s == nil {
			continue
		}
		c := &r.Controllers[k]
		c.Answers = map[string]int64{}
		for _, l := range s.Latencies {
			c.Answers[l.Request] = l.Count
		}
		c.Calls, c.SentBytes, c.ReceivedBytes = s.PeerTraffic.Calls, s.PeerTraffic.Sent, s.PeerTraffic.Received
		c.Samples, c.Requeues = s.SchedulerCounters.Samples, s.SchedulerCounters.Requeues
		c.RefusedQueries = s.RefusedQueries
		c.Commits, c.Conflicts = s.AgentCounters.Commits, s.AgentCounters.Conflicts
	}
}

// mean is the mean over those controllers for which want is true; 0 if there is none.
func (r *Result) mean(want func(c *ControllerResult) bool, of func(c *ControllerResult) float64) float64 {
	sum, n := 0.0, 0
	for k := range r.Controllers {
		if want(&r.Controllers[k]) {
			sum += of(&r.Controllers[k])
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

func anyController(*ControllerResult) bool { return true }
func isLeader(c *ControllerResult) bool    { return c.Leader }
func isFollower(c *ControllerResult) bool  { return !c.Leader }

func meanCores(c *ControllerResult) float64    { return c.MeanCores }
func maxCores(c *ControllerResult) float64     { return c.MaxCores }
func maxMemoryMB(c *ControllerResult) float64  { return c.MaxMemoryMB }
func maxOpenFiles(c *ControllerResult) float64 { return float64(c.MaxOpenFiles) }

// linkBytes counts what passes between controllers, at both ends.
func (r *Result) linkBytes() float64 {
	bytes := func(c *ControllerResult) float64 { return float64(c.SentBytes + c.ReceivedBytes) }
	return float64(r.ControllerCount) * r.mean(anyController, bytes)
}

// calls counts calls of a method over all controllers.
func (r *Result) calls(method string) (n uint64) {
	for k := range r.Controllers {
		n += r.Controllers[k].Calls[method]
	}
	return n
}

// perSecond divides by the run's time.
func (r *Result) perSecond(n float64) float64 { return n / float64(max(1, r.DurationS)) }
