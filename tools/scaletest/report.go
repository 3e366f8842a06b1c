package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

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

	Registered registration `json:"registered_s"`

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

// readStatus reads a controller's status page; nil: it does not answer.
func readStatus(ctx context.Context, address string) *gateway.Status {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status.json", nil)
	if err != nil {
		return nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var s gateway.Status
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&s) != nil {
		return nil
	}
	return &s
}

// sumUp gathers what this process has measured.
func (r *Run) sumUp() *Result {
	p := r.profile
	out := &Result{Profile: p.Name, Machines: p.Machines(), Teams: p.Teams.Count, ControllerCount: p.Controllers.Count, DurationS: p.Duration, WarmupS: p.Warmup, Registered: r.registered,
		StateService: StateServiceResult{Requests: r.rates.Requests.Load(), Renewals: r.rates.Renewals.Load(), Watches: r.rates.Watches.Load(), Changes: r.rates.Changes.Load(), Refused: r.rates.Refused.Load(), MaxKeys: r.keysMost, MaxBytes: r.bytesMost},
		Workers:      r.loadMeter.result(), Sampler: r.selfMeter.result(), MaxTotalMemoryMB: r.sumMost}
	for _, t := range p.Types {
		out.Accelerators += int(t.GPUs) * t.Count
	}
	if p.Configuration.PerDay > 0 {
		out.Unsupported = append(out.Unsupported, fmt.Sprintf("%.0f configuration changes a day", p.Configuration.PerDay))
	}
	if len(p.Regions) > 1 {
		out.Unsupported = append(out.Unsupported, fmt.Sprintf("%d regions: their %d zones are zones of one fleet", len(p.Regions), len(p.Zones())))
	}
	owned, steward := r.owned(), r.steward()
	for k, n := range r.nodes {
		out.Controllers = append(out.Controllers, ControllerResult{Host: n.Host, Zone: n.Zone, Leader: n.Host == steward, Usage: r.meters[k].result(), Owned: owned[n.Host]})
	}
	return out
}

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
		c.Samples, c.Requeues, c.RefusedQueries = s.SchedulerCounters.Samples, s.SchedulerCounters.Requeues, s.RefusedQueries
		c.Commits, c.Conflicts = s.AgentCounters.Commits, s.AgentCounters.Conflicts
	}
}

// mean is the mean over those controllers for which want is true, and how many these are.
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

func anyone(*ControllerResult) bool      { return true }
func steward(c *ControllerResult) bool   { return c.Leader }
func noSteward(c *ControllerResult) bool { return !c.Leader }

// sumCalls counts calls of a method over all controllers.
func (r *Result) sumCalls(method string) (n uint64) {
	for k := range r.Controllers {
		n += r.Controllers[k].Calls[method]
	}
	return n
}

// perSecond divides by the run's time.
func (r *Result) perSecond(n float64) float64 { return n / float64(max(1, r.DurationS)) }

// Print writes the result for people.
func (r *Result) Print(out io.Writer) {
	l := &r.Load
	fmt.Fprintf(out, "%s: %d machines (%d accelerators), %d controllers, %d teams, %d s of which %d s warm-up\n", r.Profile, r.Machines, r.Accelerators, r.ControllerCount, r.Teams, r.DurationS, r.WarmupS)
	fmt.Fprintf(out, "registered: half after %.0f s, nine tenths after %.0f s, all after %.0f s (0: not within the run)\n", r.Registered.Half, r.Registered.Most, r.Registered.All)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "role\tcores mean\tmost\tmemory MB\tfiles\twhat passes a second")
	mean := func(want func(*ControllerResult) bool, name string) {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t%.1f samples, %.1f commits, %.1f reports, %.1f submissions, %.1f queries\n", name,
			r.mean(want, func(c *ControllerResult) float64 { return c.MeanCores }), r.mean(want, func(c *ControllerResult) float64 { return c.MaxCores }),
			r.mean(want, func(c *ControllerResult) float64 { return c.MaxMemoryMB }), r.mean(want, func(c *ControllerResult) float64 { return float64(c.MaxOpenFiles) }),
			r.perSecond(r.mean(want, func(c *ControllerResult) float64 { return float64(c.Samples) })), r.perSecond(r.mean(want, func(c *ControllerResult) float64 { return float64(c.Commits) })),
			r.perSecond(r.mean(want, func(c *ControllerResult) float64 { return float64(c.Answers["report"]) })), r.perSecond(r.mean(want, func(c *ControllerResult) float64 { return float64(c.Answers["submission"]) })),
			r.perSecond(r.mean(want, func(c *ControllerResult) float64 { return float64(c.Answers["query"]) })))
	}
	mean(steward, "controller with the steward's role")
	mean(noSteward, "other controllers, mean")
	link := r.mean(anyone, func(c *ControllerResult) float64 { return float64(c.SentBytes + c.ReceivedBytes) }) * float64(r.ControllerCount)
	fmt.Fprintf(table, "links between controllers\t\t\t\t\t%.0f bytes, %.1f Agent.Watch, %.1f Agent.Sample, %.1f Agent.Commit, %.1f Steward.Permit\n", r.perSecond(link),
		r.perSecond(float64(r.sumCalls("Agent.Watch"))), r.perSecond(float64(r.sumCalls("Agent.Sample"))), r.perSecond(float64(r.sumCalls("Agent.Commit"))), r.perSecond(float64(r.sumCalls("Steward.Permit"))))
	fmt.Fprintf(table, "state service (stand-in, with the sampler)\t%.3f\t%.3f\t%.0f\t%d\t%.1f requests (%.1f watches, %.1f renewals), %.1f changes; %d refused; %d keys, %d bytes\n", r.Sampler.MeanCores, r.Sampler.MaxCores, r.Sampler.MaxMemoryMB, r.Sampler.MaxOpenFiles,
		r.perSecond(float64(r.StateService.Requests)), r.perSecond(float64(r.StateService.Watches)), r.perSecond(float64(r.StateService.Renewals)), r.perSecond(float64(r.StateService.Changes)), r.StateService.Refused, r.StateService.MaxKeys, r.StateService.MaxBytes)
	fmt.Fprintf(table, "workers and users (one process)\t%.3f\t%.3f\t%.0f\t%d\t%.1f reports, %.1f commands, %.0f bytes for each worker\n", r.Workers.MeanCores, r.Workers.MaxCores, r.Workers.MaxMemoryMB, r.Workers.MaxOpenFiles,
		r.perSecond(float64(l.Heartbeats)), r.perSecond(float64(l.Commands)), r.perSecond(float64(l.WorkerBytes))/float64(max(1, r.Machines)))
	_ = table.Flush()
	fmt.Fprintf(out, "task starts: %d, %d in the best second, %.0f a second over the best 10 s; at most %d tasks running\n", l.TaskStarts, l.MaxStartsPerSecond, l.MaxMeanStartsOver10S, l.MaxRunningTasks)
	printLatency(out, "urgent work started", l.UrgentStart)
	printLatency(out, "other work started", l.OtherStart)
	for _, c := range l.Classes {
		printLatency(out, fmt.Sprintf("  %s (%d jobs)", c.Class, c.Jobs), c.Start)
	}
	printLatency(out, "submissions accepted", l.Submissions)
	fmt.Fprintf(out, "jobs: %d submitted, %d accepted, %d given up by users, %d done, %d cancelled\n", l.Submitted, l.Accepted, l.GivenUp, l.Done, l.Cancelled)
	fmt.Fprintf(out, "lost: %d starts of tasks that had been started before, %d tasks killed by leases; quota overshoot %.1f accelerators\n", l.TaskRestarts, l.TasksKilledByLeaseExpiry, l.MaxQuotaOvershoot)
	printLatency(out, "lateness of the workers", l.WorkerLateness)
	printLatency(out, "lateness of the users", l.UserLateness)
	fmt.Fprintf(out, "memory of all processes: %.0f MB at most\n", r.MaxTotalMemoryMB)
	for _, what := range r.Unsupported {
		fmt.Fprintf(out, "stated, and carried by nothing: %s\n", what)
	}
	fmt.Fprintf(out, "rules broken: %d\n", len(l.Violations))
	for _, b := range l.Violations[:min(10, len(l.Violations))] {
		fmt.Fprintln(out, "  "+b)
	}
}

func printLatency(out io.Writer, what string, l Latency) {
	fmt.Fprintf(out, "%s: %d, p50 %.3f s, p90 %.3f s, p99 %.3f s, most %.3f s, %.3f of them within 3 s\n", what, l.Count, l.P50, l.P90, l.P99, l.Max, l.ShareWithin)
}
