package scaletest

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// cost is a row of the capacity tables.
type cost struct {
	role, name, unit string
	of               func(r *Result) float64
	terms            []term
	limit            func(l Limits) float64 // nil: none is set
	carries          string                 // the mechanism that carries it
}

func noLimit(Limits) float64 { return 0 }

// costs lists what is measured of each role, what it grows with and what carries it.
func costs() []cost {
	perSecond := func(of func(r *Result) float64) func(r *Result) float64 {
		return func(r *Result) float64 { return r.perSecond(of(r)) }
	}
	others := func(of func(c *ControllerResult) float64) func(r *Result) float64 {
		return func(r *Result) float64 { return r.mean(noSteward, of) }
	}
	calls := func(method string) func(r *Result) float64 {
		return perSecond(func(r *Result) float64 { return float64(r.sumCalls(method)) })
	}
	return []cost{
		{"controller (placer, machine owner, gateway)", "processor time", "cores", others(func(c *ControllerResult) float64 { return c.MeanCores }), []term{fixed, owned, followed}, func(l Limits) float64 { return l.Cores }, "machines divided among controllers by shards; samples answered from memory"},
		{"controller (placer, machine owner, gateway)", "processor time, worst second", "cores", others(func(c *ControllerResult) float64 { return c.MaxCores }), []term{fixed, owned, followed}, func(l Limits) float64 { return l.Cores }, "the same; a second beyond the share is worked off later"},
		{"controller (placer, machine owner, gateway)", "memory", "MB", others(func(c *ControllerResult) float64 { return c.MaxMemoryMB }), []term{fixed, owned, followed}, func(l Limits) float64 { return l.MemoryMB }, "entries of all machines; the collector's limit at 0.6 of the quota"},
		{"controller (placer, machine owner, gateway)", "open files", "", others(func(c *ControllerResult) float64 { return float64(c.MaxOpenFiles) }), []term{fixed, owned, controller}, func(l Limits) float64 { return l.Sockets }, "one connection from each owned worker; those for commands close after 3 s"},
		{"steward, beyond that", "processor time", "cores", func(r *Result) float64 {
			get := func(c *ControllerResult) float64 { return c.MeanCores }
			return r.mean(steward, get) - r.mean(noSteward, get)
		}, []term{fixed, followed}, func(l Limits) float64 { return l.Cores }, "one steward: ledger of permits, plan of the fleet"},
		{"steward", "permits", "calls/s", calls("Steward.Permit"), []term{fixed, followed}, noLimit, "one steward answers all"},
		{"links between controllers", "all bytes", "bytes/s", perSecond(func(r *Result) float64 {
			return float64(r.ControllerCount) * r.mean(anyone, func(c *ControllerResult) float64 { return float64(c.SentBytes + c.ReceivedBytes) })
		}), []term{fixed, pairs}, noLimit, "each controller follows every machine's entry"},
		{"links between controllers", "feeds", "calls/s", calls("Agent.Watch"), []term{fixed, pairs}, noLimit, "long polls, at most 300 entries each"},
		{"links between controllers", "samples", "calls/s", calls("Agent.Sample"), []term{fixed, pairs}, noLimit, "every owner is asked for each placement (C_p is 1)"},
		{"links between controllers", "commits", "calls/s", calls("Agent.Commit"), []term{fixed, followed}, noLimit, "one for each job and machine"},
		{"state service", "requests", "requests/s", perSecond(func(r *Result) float64 { return float64(r.StateService.Requests) }), []term{fixed, followed, controller}, func(l Limits) float64 { return l.RPS }, "shared watches and reads; a paced client in each controller"},
		{"state service", "changes", "changes/s", perSecond(func(r *Result) float64 { return float64(r.StateService.Changes) }), []term{fixed, followed, controller}, func(l Limits) float64 { return l.WriteRPS }, "shares of the write limit; jobs, ends and registrations only, nothing for a start"},
		{"state service", "keys", "", func(r *Result) float64 { return float64(r.StateService.MaxKeys) }, []term{fixed, followed, controller}, noLimit, "one for each machine and open job"},
		{"state service", "bytes kept", "bytes", func(r *Result) float64 { return float64(r.StateService.MaxBytes) }, []term{fixed, followed, controller}, noLimit, "values of some hundred bytes"},
		{"workers' process", "processor time", "cores", func(r *Result) float64 { return r.Workers.MeanCores }, []term{fixed, followed}, noLimit, "hollow workers; users and the cloud are the fixed part and grow with them"},
		{"workers' process", "memory", "MB", func(r *Result) float64 { return r.Workers.MaxMemoryMB }, []term{fixed, followed}, noLimit, "hollow workers"},
		{"worker", "traffic, HTTP headers included", "bytes/s each", func(r *Result) float64 {
			return r.perSecond(float64(r.Load.WorkerBytes)) / float64(r.Machines)
		}, []term{fixed, followed}, func(Limits) float64 { return workerBytes }, "reports each 6 s and after changes; commands"},
	}
}

// workerBytes is what a worker may spend on traffic, in bytes a second: the operators' 2 KB.
const workerBytes = 2000

// WriteTables writes the tables of docs/CAPACITY.md from a sweep.
func (s *SweepResult) WriteTables(out io.Writer) {
	s.pointsTable(out)
	s.costsTable(out)
	s.serviceTable(out)
}

// pointsTable lists each measured point of each cost.
func (s *SweepResult) pointsTable(out io.Writer) {
	fmt.Fprintf(out, "Measured points (%s, machines/controllers):\n\n| role | what |", s.Profile)
	for _, p := range s.Points {
		fmt.Fprintf(out, " %d/%d |", p.Machines, p.Controllers)
	}
	fmt.Fprint(out, "\n| --- | --- |"+strings.Repeat(" --- |", len(s.Points))+"\n")
	for _, c := range costs() {
		fmt.Fprintf(out, "| %s | %s |", c.role, named(c))
		for _, p := range s.Points {
			fmt.Fprintf(out, " %s |", figure(c.of(p.Result)))
		}
		fmt.Fprintln(out)
	}
}

// costsTable lists the slope of each cost, what it comes to at the planned size, and the
// limit there.
func (s *SweepResult) costsTable(out io.Writer) {
	fmt.Fprintf(out, "\nSlopes, and what they come to at %d machines and %d controllers:\n\n| role | what | slopes | R² | worst miss | planned size | limit | share | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", s.Planned.Machines, s.Planned.Controllers)
	for _, c := range costs() {
		f, ok := fit(s.Points, c.of, c.terms)
		if !ok {
			fmt.Fprintf(out, "| %s | %s | too few points | | | | | | %s |\n", c.role, named(c), c.carries)
			continue
		}
		var slopes []string
		for k, name := range f.Terms {
			slopes = append(slopes, fmt.Sprintf("%s %s", figure(f.Slopes[k]), perTerm(name)))
		}
		planned, limit, share := f.at(s.Planned.Machines, s.Planned.Controllers), "", ""
		if most := c.limit(s.Limits); most > 0 {
			limit, share = figure(most), fmt.Sprintf("%.2f", planned/most)
		}
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", c.role, named(c), strings.Join(slopes, ", "), rSquared(f), figure(f.MaxResidual), figure(planned), limit, share, c.carries)
	}
}

// serviceTable lists how work fared at each point.
func (s *SweepResult) serviceTable(out io.Writer) {
	fmt.Fprint(out, "\nHow work fared:\n\n| machines/controllers | half, nine tenths, all registered after | urgent started within 3 s | urgent p99 | other p50, p99 | submissions p99 | starts a second, best 10 s | killed by leases | started again | workers late p99 | rules broken |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, p := range s.Points {
		l, g := &p.Result.Load, p.Result.Registered
		fmt.Fprintf(out, "| %d/%d | %.0f, %.0f, %.0f s | %.3f of %d | %.2f s | %.2f, %.2f s | %.2f s | %.0f | %d | %d | %.3f s | %d |\n", p.Machines, p.Controllers, g.Half, g.Most, g.All, l.UrgentStart.ShareWithin, l.UrgentStart.Count, l.UrgentStart.P99,
			l.OtherStart.P50, l.OtherStart.P99, l.Submissions.P99, l.MaxMeanStartsOver10S, l.TasksKilledByLeaseExpiry, l.TaskRestarts, l.WorkerLateness.P99, len(l.Violations))
	}
}

func named(c cost) string {
	if c.unit == "" {
		return c.name
	}
	return c.name + " (" + c.unit + ")"
}

// rSquared is how much of the points' variance the fit explains; nothing where they do not
// vary.
func rSquared(f *Fit) string {
	if math.IsNaN(f.RSquared) {
		return ""
	}
	return fmt.Sprintf("%.2f", f.RSquared)
}

func perTerm(name string) string {
	if name == fixed.name {
		return name
	}
	return "a " + name
}

// figure writes a number with three digits that count.
func figure(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
