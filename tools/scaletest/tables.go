package scaletest

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// WriteTables writes the tables of docs/CAPACITY.md from the results of a sweep.
func (s *SweepResult) WriteTables(out io.Writer) error {
	var tables strings.Builder
	s.writePoints(&tables)
	s.writeCosts(&tables)
	s.writeServiceLevels(&tables)
	_, err := io.WriteString(out, tables.String())
	return err
}

// writePoints writes a table of the measured costs at each point.
func (s *SweepResult) writePoints(out *strings.Builder) {
	fmt.Fprintf(out, "Measured points (%s, machines/controllers):\n\n| role | what |", s.Profile)
	for _, p := range s.Points {
		fmt.Fprintf(out, " %d/%d |", p.Machines, p.Controllers)
	}
	fmt.Fprint(out, "\n| --- | --- |"+strings.Repeat(" --- |", len(s.Points))+"\n")
	for _, c := range costs() {
		fmt.Fprintf(out, "| %s | %s |", c.role, c.label())
		for _, p := range s.Points {
			fmt.Fprintf(out, " %s |", formatFigure(c.measure(p.Result)))
		}
		fmt.Fprintln(out)
	}
}

// writeCosts writes a table of the fitted slopes of each cost, the predicted cost at the planned
// size, and the limit there.
func (s *SweepResult) writeCosts(out *strings.Builder) {
	fmt.Fprintf(out, "\nSlopes, and what they come to at %d machines and %d controllers:\n\n",
		s.Planned.Machines, s.Planned.Controllers)
	fmt.Fprint(out, "| role | what | slopes | R² | worst miss | planned size | limit | share | carried by |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, c := range costs() {
		f, ok := fitCost(s.Points, c.measure, c.terms)
		if !ok {
			fmt.Fprintf(out, "| %s | %s | too few points | | | | | | %s |\n", c.role, c.label(), c.mechanism)
			continue
		}
		planned, limit, share := f.predict(s.Planned.Machines, s.Planned.Controllers), "", ""
		if limitValue := c.limit(s.Limits); limitValue > 0 {
			limit, share = formatFigure(limitValue), fmt.Sprintf("%.2f", planned/limitValue)
		}
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			c.role, c.label(), f.formatSlopes(), f.formatRSquared(), formatFigure(f.MaxResidual), formatFigure(planned),
			limit, share, c.mechanism)
	}
}

// writeServiceLevels writes a table of the latencies, rates and counts of lost tasks and violations
// at each point.
func (s *SweepResult) writeServiceLevels(out *strings.Builder) {
	fmt.Fprint(out, "\nHow work fared:\n\n"+
		"| machines/controllers | half, nine tenths, all registered after | urgent started within 3 s | urgent p99 |"+
		" other p50, p99 | submissions p99 | starts a second, best 10 s | killed by leases | started again |"+
		" workers late p99 | rules broken |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, p := range s.Points {
		load, registered := &p.Result.Load, p.Result.Registered
		fmt.Fprintf(out, "| %d/%d | %.0f, %.0f, %.0f s | %.3f of %d | %.2f s |",
			p.Machines, p.Controllers, registered.Half, registered.NineTenths, registered.All,
			load.UrgentStart.ShareWithin3S, load.UrgentStart.Count, load.UrgentStart.P99)
		fmt.Fprintf(out, " %.2f, %.2f s | %.2f s | %.0f | %d | %d | %.3f s | %d |\n",
			load.OtherStart.P50, load.OtherStart.P99, load.Submissions.P99, load.MaxMeanStartsOver10S,
			load.TasksKilledByLeaseExpiry, load.TaskRestarts, load.WorkerLateness.P99, len(load.Violations))
	}
}

// formatSlopes lists the slope of each term.
func (f *Fit) formatSlopes() string {
	var slopes []string
	for k, name := range f.Terms {
		if name != fixedTerm.name {
			name = "a " + name
		}
		slopes = append(slopes, fmt.Sprintf("%s %s", formatFigure(f.Slopes[k]), name))
	}
	return strings.Join(slopes, ", ")
}

// formatRSquared formats the share of the points' variance that the fit explains. It returns "" if
// the points do not vary.
func (f *Fit) formatRSquared() string {
	if math.IsNaN(f.RSquared) {
		return ""
	}
	return fmt.Sprintf("%.2f", f.RSquared)
}

// minIntegerFigure is the magnitude from which on figures are written without decimals.
const minIntegerFigure = 1000

// formatFigure formats a number with three significant digits, or as an integer from
// minIntegerFigure on.
func formatFigure(v float64) string {
	if math.Abs(v) >= minIntegerFigure {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
