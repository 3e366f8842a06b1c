package scaletest

import (
	"fmt"
	"io"
	"strings"

	"robinstack/tools/console"
)

// Print writes the result as text.
func (r *Result) Print(out io.Writer) error {
	var text strings.Builder
	r.writeSize(&text)
	if err := console.WriteTable(&text, r.resourceRows(), 0); err != nil {
		return err
	}
	r.writeServiceLevels(&text)
	_, err := io.WriteString(out, text.String())
	return err
}

func (r *Result) writeSize(text *strings.Builder) {
	fmt.Fprintf(text, "%s: %d machines (%d accelerators), %d controllers, %d teams, %d s of which %d s warm-up\n",
		r.Profile, r.Machines, r.Accelerators, r.ControllerCount, r.Teams, r.DurationS, r.WarmupS)
	fmt.Fprintf(text, "registered: half after %.0f s, nine tenths after %.0f s, all after %.0f s "+
		"(0: not within the run)\n",
		r.Registered.Half, r.Registered.NineTenths, r.Registered.All)
}

// resourceRows returns a tab-separated table with the resource use and the request rates of each
// role.
func (r *Result) resourceRows() string {
	var rows strings.Builder
	fmt.Fprintln(&rows, "role\tcores mean\tmost\tmemory MB\tfiles\twhat passes a second")
	r.writeControllerRow(&rows, "controller with the steward's role", isLeader)
	r.writeControllerRow(&rows, "other controllers, mean", isFollower)
	calls := func(method string) float64 { return r.perSecond(float64(r.calls(method))) }
	fmt.Fprintf(&rows, "links between controllers\t\t\t\t\t%.0f bytes, %.1f %s, %.1f %s, %.1f %s, %.1f %s\n",
		r.perSecond(r.linkBytes()), calls(watchMethod), watchMethod, calls(sampleMethod), sampleMethod,
		calls(commitMethod), commitMethod, calls(quotaMethod), quotaMethod)
	s := &r.StateService
	writeUsage(&rows, "state service (stand-in, with the sampler)", &r.SamplerProcess)
	fmt.Fprintf(&rows, "%.1f requests (%.1f watches, %.1f renewals), %.1f changes; %d refused; %d keys, %d bytes\n",
		r.perSecond(float64(s.Requests)), r.perSecond(float64(s.Watches)), r.perSecond(float64(s.Renewals)),
		r.perSecond(float64(s.Changes)), s.Refused, s.MaxKeys, s.MaxBytes)
	l := &r.Load
	writeUsage(&rows, "workers and users (one process)", &r.LoadProcess)
	fmt.Fprintf(&rows, "%.1f reports, %.1f commands, %.0f bytes for each worker\n",
		r.perSecond(float64(l.Heartbeats)), r.perSecond(float64(l.Commands)),
		r.perSecond(float64(l.WorkerBytes))/float64(max(1, r.Machines)))
	return rows.String()
}

// writeUsage writes the resource columns of one process's row, without the end of the line.
func writeUsage(rows *strings.Builder, role string, u *Usage) {
	fmt.Fprintf(rows, "%s\t%.3f\t%.3f\t%.0f\t%d\t", role, u.MeanCores, u.MaxCores, u.MaxMemoryMB, u.MaxOpenFiles)
}

// writeControllerRow writes the row with the mean values of the controllers that include selects.
func (r *Result) writeControllerRow(rows *strings.Builder, role string, include func(*ControllerResult) bool) {
	fmt.Fprintf(rows, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t", role,
		r.mean(include, meanCores), r.mean(include, maxCores), r.mean(include, maxMemoryMB),
		r.mean(include, maxOpenFiles))
	answers := func(kind string) float64 {
		return r.perSecond(r.mean(include, func(c *ControllerResult) float64 { return float64(c.Answers[kind]) }))
	}
	fmt.Fprintf(rows, "%.1f samples, %.1f commits, %.1f reports, %.1f submissions, %.1f queries\n",
		r.perSecond(r.mean(include, func(c *ControllerResult) float64 { return float64(c.Samples) })),
		r.perSecond(r.mean(include, func(c *ControllerResult) float64 { return float64(c.Commits) })),
		answers(heartbeatAnswers), answers(submissionAnswers), answers(queryAnswers))
}

// maxPrintedViolations bounds the number of printed violations.
const maxPrintedViolations = 10

// writeServiceLevels writes the latencies, the job and task counts and the violations.
func (r *Result) writeServiceLevels(text *strings.Builder) {
	l := &r.Load
	fmt.Fprintf(text, "task starts: %d, %d in the best second, %.0f a second over the best 10 s; "+
		"at most %d tasks running\n", l.TaskStarts, l.MaxStartsPerSecond, l.MaxMeanStartsOver10S, l.MaxRunningTasks)
	writeLatency(text, "urgent work started", &l.UrgentStart)
	writeLatency(text, "other work started", &l.OtherStart)
	for k := range l.Classes {
		c := &l.Classes[k]
		writeLatency(text, fmt.Sprintf("  %s (%d jobs)", c.Class, c.Jobs), &c.Start)
	}
	writeLatency(text, "submissions accepted", &l.Submissions)
	fmt.Fprintf(text, "jobs: %d submitted, %d accepted, %d given up by users, %d done, %d cancelled\n",
		l.Submitted, l.Accepted, l.GivenUp, l.Done, l.Cancelled)
	fmt.Fprintf(text, "lost: %d starts of tasks that had been started before, %d tasks killed by leases; "+
		"quota overshoot %.1f accelerators\n", l.TaskRestarts, l.TasksKilledByLeaseExpiry, l.MaxQuotaOvershoot)
	writeLatency(text, "lateness of the workers", &l.WorkerLateness)
	writeLatency(text, "lateness of the users", &l.UserLateness)
	fmt.Fprintf(text, "memory of all processes: %.0f MB at most\n", r.MaxTotalMemoryMB)
	for _, unsupported := range r.Unsupported {
		fmt.Fprintf(text, "stated, and carried by nothing: %s\n", unsupported)
	}
	fmt.Fprintf(text, "rules broken: %d\n", len(l.Violations))
	for _, v := range l.Violations[:min(maxPrintedViolations, len(l.Violations))] {
		fmt.Fprintln(text, "  "+v)
	}
}

func writeLatency(text *strings.Builder, label string, l *Latency) {
	fmt.Fprintf(text, "%s: %d, p50 %.3f s, p90 %.3f s, p99 %.3f s, most %.3f s, %.3f of them within 3 s\n",
		label, l.Count, l.P50, l.P90, l.P99, l.Max, l.ShareWithin3S)
}
