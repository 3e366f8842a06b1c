package scaletest

import (
	"math"
	"strings"
	"testing"
	"time"
)

// measured is a point whose processor time is a sum of known slopes.
func measured(machines, controllers int) Point {
	r := &Result{Machines: machines, ControllerCount: controllers, DurationS: 10}
	own := float64(machines) / float64(controllers)
	for k := range controllers {
		c := ControllerResult{Leader: k == 0, Usage: Usage{MeanCores: 0.0102 + 0.0002*own + 0.00003*float64(machines)}, SentBytes: uint64(machines) * 100}
		if c.Leader {
			c.MeanCores += 0.002 + 0.00001*float64(machines)
		}
		r.Controllers = append(r.Controllers, c)
	}
	return Point{machines, controllers, r}
}

func sweep() *SweepResult {
	s := &SweepResult{Profile: "test", Planned: Size{3000, 16}, Limits: Limits{Cores: 0.25, MemoryMB: 300, Sockets: 3000, RPS: 200, WriteRPS: 80}}
	for _, machines := range []int{500, 1000, 2000} {
		for _, controllers := range []int{3, 7} {
			s.Points = append(s.Points, measured(machines, controllers))
		}
	}
	return s
}

// The fit finds the slopes from which the points were made, and costs that are a product.
func TestFitFindsSlopes(t *testing.T) {
	s := sweep()
	for _, c := range []struct {
		quantity func(r *Result) float64
		terms    []term
		slopes   []float64
	}{
		{func(r *Result) float64 {
			return r.mean(isFollower, meanCores)
		}, byOwnedAndMachine, []float64{0.0102, 0.0002, 0.00003}},
		{func(r *Result) float64 { return float64(r.ControllerCount) * float64(r.Machines) * 7 }, byPair, []float64{0, 7}},
	} {
		f, ok := fitCost(s.Points, c.quantity, c.terms)
		if !ok || f.RSquared < 0.999999 {
			t.Fatalf("%v, %v", f, ok)
		}
		for k, slope := range c.slopes {
			if math.Abs(f.Slopes[k]-slope) > 1e-9 {
				t.Errorf("%s: %v where %v was put in", f.Terms[k], f.Slopes[k], slope)
			}
		}
	}
	if _, ok := fitCost(s.Points[:2], func(*Result) float64 { return 1 }, byOwnedAndMachine); ok {
		t.Error("two points do not tell three slopes")
	}
}

// The tables have a row for each cost with its figure at the planned size and the share of
// its limit.
func TestTablesOfASweep(t *testing.T) {
	var out strings.Builder
	if err := sweep().WriteTables(&out); err != nil {
		t.Fatal(err)
	}
	planned := 0.0102 + 0.0002*3000/16 + 0.00003*3000
	for _, want := range []string{"500/3", "2000/7", "| " + formatFigure(planned) + " | 0.25 | 0.55 |", "a machine of the fleet"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("there is no %q in\n%s", want, out.String())
		}
	}
}

// The times at which so many machines were registered are those of the first look that
// showed them.
func TestRegistrationNotesFirstTimes(t *testing.T) {
	var g registrationTimes
	for at, keys := range []int{0, 40, 60, 95, 100, 100} {
		g.note(keys, 100, float64(at))
	}
	if g != (registrationTimes{Half: 2, NineTenths: 3, All: 4}) {
		t.Errorf("%+v", g)
	}
}

// Times are summed up with the share within the time that urgent work may take.
func TestHistogramOfTimes(t *testing.T) {
	h := newHistogram()
	for k := range 100 {
		h.add(time.Duration(k+1) * 50 * time.Millisecond)
	}
	l := h.latency()
	if l.Count != 100 || math.Abs(l.P50-2.5) > 0.01 || math.Abs(l.Max-5) > 0.01 || math.Abs(l.ShareWithin-0.6) > 0.011 {
		t.Errorf("%+v", l)
	}
}
