package scaletest

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// WriteTables writes the tables of docs/CAPACITY.md from a sweep.
func (s *SweepResult) WriteTables(out io.Writer) error {
	var tables strings.Builder
	s.writePoints(&tables)
	s.writeCosts(&tables)
	s.writeServiceLevels(&tables)
	_, err := io.WriteString(out, tables.String())
	return err
}

// writePoints lists each measured point of each cost.
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

// writeCosts lists the slope of each cost, what it comes to at the planned size, and the
// limit there.
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
		planned, limit, share := f.at(s.Planned.Machines, s.Planned.Controllers), "", ""
		if most := c.limit(s.Limits); most > 0 {
			limit, share = formatFigure(most), fmt.Sprintf("%.2f", planned/most)
		}
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			c.role, c.label(), f.formatSlopes(), f.formatRSquared(), formatFigure(f.MaxResidual), formatFigure(planned),
			limit, share, c.mechanism)
	}
}

// writeServiceLevels lists how work fared at each point.
func (s *SweepResult) writeServiceLevels(out *strings.Builder) {
	fmt.Fprint(out, "\nHow work fared:\n\n"+
		"| machines/controllers | half, nine tenths, all registered after | urgent started within 3 s | urgent p99 |"+
		" other p50, p99 | submissions p99 | starts a second, best 10 s | killed by leases | started again |"+
		" workers late p99 | rules broken |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, p := range s.Points {
		l, g := &p.Result.Load, p.Result.Registered
		fmt.Fprintf(out, "| %d/%d | %.0f, %.0f, %.0f s | %.3f of %d | %.2f s |",
			p.Machines, p.Controllers, g.Half, g.NineTenths, g.All, l.UrgentStart.ShareWithin, l.UrgentStart.Count,
			l.UrgentStart.P99)
		fmt.Fprintf(out, " %.2f, %.2f s | %.2f s | %.0f | %d | %d | %.3f s | %d |\n",
			l.OtherStart.P50, l.OtherStart.P99, l.Submissions.P99, l.MaxMeanStartsOver10S, l.TasksKilledByLeaseExpiry,
			l.TaskRestarts, l.WorkerLateness.P99, len(l.Violations))
	}
}

// formatSlopes lists what each term adds.
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

// formatRSquared is how much of the points' variance the fit explains; nothing where they do
// not vary.
func (f *Fit) formatRSquared() string {
	if math.IsNaN(f.RSquared) {
		return ""
	}
	return fmt.Sprintf("%.2f", f.RSquared)
}

// wholeFrom is from where on figures are written without decimals.
const wholeFrom = 1000

// formatFigure writes a number with three digits that count.
func formatFigure(v float64) string {
	if math.Abs(v) >= wholeFrom {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
