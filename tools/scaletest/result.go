package scaletest

import (
	"fmt"

	"robinstack/internal/gateway"
)

// Result holds the measurements of a run.
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
	LoadProcess      Usage              `json:"workers_and_users_process"`
	SamplerProcess   Usage              `json:"state_service_and_sampler_process"`
	MaxTotalMemoryMB float64            `json:"memory_mb_of_all_most"`
	Load             LoadResult         `json:"load"`
	Unsupported      []string           `json:"stated_and_carried_by_nothing"`
}

// ControllerResult holds the resource use and the counters of one controller.
type ControllerResult struct {
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Leader bool   `json:"steward"`
	Usage
	OwnedMachines  int               `json:"machines_owned"`
	Answers        map[string]int64  `json:"answers"` // by kind of request
	Calls          map[string]uint64 `json:"calls"`   // RPC calls to other controllers, by method
	SentBytes      uint64            `json:"bytes_sent"`
	ReceivedBytes  uint64            `json:"bytes_received"`
	Samples        uint64            `json:"samples"`
	Commits        uint64            `json:"commits"`
	Conflicts      uint64            `json:"conflicts"`
	Requeues       uint64            `json:"requeues"`
	RefusedQueries int64             `json:"queries_refused"`
}

// StateServiceResult holds the request counts of the state service and the maximum size of its
// data.
type StateServiceResult struct {
	Requests uint64 `json:"requests"`
	Renewals uint64 `json:"lease_renewals"`
	Watches  uint64 `json:"watches"`
	Changes  uint64 `json:"changes"`
	Refused  uint64 `json:"refused"`
	MaxKeys  int    `json:"keys_most"`
	MaxBytes int    `json:"bytes_most"`
}

// registrationTimes holds the times, in seconds from the start, at which half, 90 % and all of the
// initial number of machines were registered in the state service. A time is 0 if the run ended
// before.
type registrationTimes struct {
	Half       float64
	NineTenths float64 `json:"Most"`
	All        float64
}

// record takes the number of machines that are registered (keys) at the time at, in seconds from the
// start, and stores this time for each share that is reached for the first time.
func (t *registrationTimes) record(keys, machines int, at float64) {
	for _, milestone := range []struct {
		reached *float64
		share   float64
	}{{&t.Half, 0.5}, {&t.NineTenths, 0.9}, {&t.All, 1}} {
		if *milestone.reached == 0 && float64(keys) >= milestone.share*float64(machines) {
			*milestone.reached = at
		}
	}
}

// newResult returns a result that holds only the parameters of the profile.
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

// addStatus copies the counters of the controllers' status pages into the result.
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
		c.RefusedQueries = s.RejectedQueries
		c.Commits, c.Conflicts = s.AgentCounters.Commits, s.AgentCounters.Conflicts
	}
}

// mean returns the mean of value over the controllers for which include is true, or 0 if there are
// none.
func (r *Result) mean(include func(c *ControllerResult) bool, value func(c *ControllerResult) float64) float64 {
	sum, n := 0.0, 0
	for k := range r.Controllers {
		if include(&r.Controllers[k]) {
			sum += value(&r.Controllers[k])
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

// linkBytes returns the bytes sent and received by all controllers on links between controllers.
// Each byte is counted at both ends.
func (r *Result) linkBytes() float64 {
	bytes := func(c *ControllerResult) float64 { return float64(c.SentBytes + c.ReceivedBytes) }
	return float64(r.ControllerCount) * r.mean(anyController, bytes)
}

// calls returns the number of calls of an RPC method by all controllers.
func (r *Result) calls(method string) (n uint64) {
	for k := range r.Controllers {
		n += r.Controllers[k].Calls[method]
	}
	return n
}

// perSecond divides a count by the duration of the run, warm-up included.
func (r *Result) perSecond(n float64) float64 { return n / float64(max(1, r.DurationS)) }
