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
	Profile     string `json:"profile"`
	Machines    int    `json:"machines"`
	Accelerator int    `json:"accelerators"`
	Teams       int    `json:"teams"`
	Count       int    `json:"controllers"`
	Duration    int    `json:"duration_s"`
	Warmup      int    `json:"warmup_s"`

	Registered registration `json:"registered_s"`

	Controllers []ControllerResult `json:"each_controller"`
	Status      []*gateway.Status  `json:"-"`
	Service     ServiceResult      `json:"state_service"`
	Workers     Usage              `json:"workers_and_users_process"`
	Self        Usage              `json:"state_service_and_sampler_process"`
	MemoryMB    float64            `json:"memory_mb_of_all_most"`
	Load        LoadResult         `json:"load"`
	Uncarried   []string           `json:"stated_and_carried_by_nothing"`
}

// ControllerResult is what one controller used and did.
type ControllerResult struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Steward bool   `json:"steward"`
	Usage
	Owned    int               `json:"machines_owned"`
	Answers  map[string]int64  `json:"answers"` // by kind of request
	Calls    map[string]uint64 `json:"calls"`   // to controllers, by method
	Sent     uint64            `json:"bytes_sent"`
	Received uint64            `json:"bytes_received"`
	Samples  uint64            `json:"samples"`
	Commits  uint64            `json:"commits"`
	Conflict uint64            `json:"conflicts"`
	Requeues uint64            `json:"requeues"`
	Refused  int64             `json:"queries_refused"`
}

// ServiceResult is what the state service was asked and keeps.
type ServiceResult struct {
	Requests uint64 `json:"requests"`
	Renewals uint64 `json:"lease_renewals"`
	Watches  uint64 `json:"watches"`
	Changes  uint64 `json:"changes"`
	Refused  uint64 `json:"refused"`
	Keys     int    `json:"keys_most"`
	Bytes    int    `json:"bytes_most"`
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
	out := &Result{Profile: p.Name, Machines: p.Machines(), Teams: p.Teams.Count, Count: p.Controllers.Count, Duration: p.Duration, Warmup: p.Warmup, Registered: r.registered,
		Service: ServiceResult{Requests: r.rates.Requests.Load(), Renewals: r.rates.Renewals.Load(), Watches: r.rates.Watches.Load(), Changes: r.rates.Changes.Load(), Refused: r.rates.Refused.Load(), Keys: r.keysMost, Bytes: r.bytesMost},
		Workers: r.loadMeter.result(), Self: r.selfMeter.result(), MemoryMB: r.sumMost}
	for _, t := range p.Types {
		out.Accelerator += int(t.GPUs) * t.Count
	}
	if p.Configuration.PerDay > 0 {
		out.Uncarried = append(out.Uncarried, fmt.Sprintf("%.0f configuration changes a day", p.Configuration.PerDay))
	}
	if len(p.Regions) > 1 {
		out.Uncarried = append(out.Uncarried, fmt.Sprintf("%d regions: their %d zones are zones of one fleet", len(p.Regions), len(p.Zones())))
	}
	owned, steward := r.owned(), r.steward()
	for k, n := range r.nodes {
		out.Controllers = append(out.Controllers, ControllerResult{Host: n.Host, Zone: n.Zone, Steward: n.Host == steward, Usage: r.meters[k].result(), Owned: owned[n.Host]})
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
		c.Calls, c.Sent, c.Received = s.PeerTraffic.Calls, s.PeerTraffic.Sent, s.PeerTraffic.Received
		c.Samples, c.Requeues, c.Refused = s.SchedulerCounters.Samples, s.SchedulerCounters.Requeues, s.RefusedQueries
		c.Commits, c.Conflict = s.AgentCounters.Commits, s.AgentCounters.Conflicts
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
func steward(c *ControllerResult) bool   { return c.Steward }
func noSteward(c *ControllerResult) bool { return !c.Steward }

// sumCalls counts calls of a method over all controllers.
func (r *Result) sumCalls(method string) (n uint64) {
	for k := range r.Controllers {
		n += r.Controllers[k].Calls[method]
	}
	return n
}

// perSecond divides by the run's time.
func (r *Result) perSecond(n float64) float64 { return n / float64(max(1, r.Duration)) }

// Print writes the result for people.
func (r *Result) Print(out io.Writer) {
	l := &r.Load
	fmt.Fprintf(out, "%s: %d machines (%d accelerators), %d controllers, %d teams, %d s of which %d s warm-up\n", r.Profile, r.Machines, r.Accelerator, r.Count, r.Teams, r.Duration, r.Warmup)
	fmt.Fprintf(out, "registered: half after %.0f s, nine tenths after %.0f s, all after %.0f s (0: not within the run)\n", r.Registered.Half, r.Registered.Most, r.Registered.All)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "role\tcores mean\tmost\tmemory MB\tfiles\twhat passes a second")
	mean := func(want func(*ControllerResult) bool, name string) {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t%.1f samples, %.1f commits, %.1f reports, %.1f submissions, %.1f queries\n", name,
			r.mean(want, func(c *ControllerResult) float64 { return c.Cores }), r.mean(want, func(c *ControllerResult) float64 { return c.CoresMost }),
			r.mean(want, func(c *ControllerResult) float64 { return c.MemoryMB }), r.mean(want, func(c *ControllerResult) float64 { return float64(c.Files) }),
			r.perSecond(r.mean(want, func(c *ControllerResult) float64 { return float64(c.Samples) })), r.perSecond(r.mean(want, func(c *ControllerResult) float64 { return float64(c.Commits) })),
			r.perSecond(r.mean(want, func(c *ControllerResult) float64 { return float64(c.Answers["report"]) })), r.perSecond(r.mean(want, func(c *ControllerResult) float64 { return float64(c.Answers["submission"]) })),
			r.perSecond(r.mean(want, func(c *ControllerResult) float64 { return float64(c.Answers["query"]) })))
	}
	mean(steward, "controller with the steward's role")
	mean(noSteward, "other controllers, mean")
	link := r.mean(anyone, func(c *ControllerResult) float64 { return float64(c.Sent + c.Received) }) * float64(r.Count)
	fmt.Fprintf(table, "links between controllers\t\t\t\t\t%.0f bytes, %.1f Agent.Watch, %.1f Agent.Sample, %.1f Agent.Commit, %.1f Steward.Permit\n", r.perSecond(link),
		r.perSecond(float64(r.sumCalls("Agent.Watch"))), r.perSecond(float64(r.sumCalls("Agent.Sample"))), r.perSecond(float64(r.sumCalls("Agent.Commit"))), r.perSecond(float64(r.sumCalls("Steward.Permit"))))
	fmt.Fprintf(table, "state service (stand-in, with the sampler)\t%.3f\t%.3f\t%.0f\t%d\t%.1f requests (%.1f watches, %.1f renewals), %.1f changes; %d refused; %d keys, %d bytes\n", r.Self.Cores, r.Self.CoresMost, r.Self.MemoryMB, r.Self.Files,
		r.perSecond(float64(r.Service.Requests)), r.perSecond(float64(r.Service.Watches)), r.perSecond(float64(r.Service.Renewals)), r.perSecond(float64(r.Service.Changes)), r.Service.Refused, r.Service.Keys, r.Service.Bytes)
	fmt.Fprintf(table, "workers and users (one process)\t%.3f\t%.3f\t%.0f\t%d\t%.1f reports, %.1f commands, %.0f bytes for each worker\n", r.Workers.Cores, r.Workers.CoresMost, r.Workers.MemoryMB, r.Workers.Files,
		r.perSecond(float64(l.Reports)), r.perSecond(float64(l.Commands)), r.perSecond(float64(l.WorkerBytes))/float64(max(1, r.Machines)))
	_ = table.Flush()
	fmt.Fprintf(out, "task starts: %d, %d in the best second, %.0f a second over the best 10 s; at most %d tasks running\n", l.Starts, l.PeakStarts, l.BestTenS, l.MostRunning)
	printLatency(out, "urgent work started", l.Urgent)
	printLatency(out, "other work started", l.Other)
	for _, c := range l.Classes {
		printLatency(out, fmt.Sprintf("  %s (%d jobs)", c.Class, c.Jobs), c.Start)
	}
	printLatency(out, "submissions accepted", l.Submissions)
	fmt.Fprintf(out, "jobs: %d submitted, %d accepted, %d given up by users, %d done, %d cancelled\n", l.Submitted, l.Accepted, l.GivenUp, l.Done, l.Cancelled)
	fmt.Fprintf(out, "lost: %d starts of tasks that had been started before, %d tasks killed by leases; quota overshoot %.1f accelerators\n", l.StartedAgain, l.KilledByLease, l.Overshoot)
	printLatency(out, "lateness of the workers", l.WorkerLateness)
	printLatency(out, "lateness of the users", l.UserLateness)
	fmt.Fprintf(out, "memory of all processes: %.0f MB at most\n", r.MemoryMB)
	for _, what := range r.Uncarried {
		fmt.Fprintf(out, "stated, and carried by nothing: %s\n", what)
	}
	fmt.Fprintf(out, "rules broken: %d\n", len(l.Broken))
	for _, b := range l.Broken[:min(10, len(l.Broken))] {
		fmt.Fprintln(out, "  "+b)
	}
}

func printLatency(out io.Writer, what string, l Latency) {
	fmt.Fprintf(out, "%s: %d, p50 %.3f s, p90 %.3f s, p99 %.3f s, most %.3f s, %.3f of them within 3 s\n", what, l.Count, l.P50, l.P90, l.P99, l.Most, l.Within)
}
