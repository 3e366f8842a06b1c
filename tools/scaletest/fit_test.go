package scaletest

import (
	"math"
	"strings"
	"testing"
	"time"
)

// syntheticPoint returns a point whose processor time is a sum of known slopes.
func syntheticPoint(machines, controllers int) Point {
	r := &Result{Machines: machines, ControllerCount: controllers, DurationS: 10}
	ownedMachines := float64(machines) / float64(controllers)
	for k := range controllers {
		c := ControllerResult{
			Leader:    k == 0,
			Usage:     Usage{MeanCores: 0.0102 + 0.0002*ownedMachines + 0.00003*float64(machines)},
			SentBytes: uint64(machines) * 100,
		}
		if c.Leader {
			c.MeanCores += 0.002 + 0.00001*float64(machines)
		}
		r.Controllers = append(r.Controllers, c)
	}
	return Point{machines, controllers, r}
}

func syntheticSweep() *SweepResult {
	s := &SweepResult{
		Profile: "test",
		Planned: Size{3000, 16},
		Limits:  Limits{Cores: 0.25, MemoryMB: 300, Sockets: 3000, RPS: 200, WriteRPS: 80},
	}
	for _, machines := range []int{500, 1000, 2000} {
		for _, controllers := range []int{3, 7} {
			s.Points = append(s.Points, syntheticPoint(machines, controllers))
		}
	}
	return s
}

// A fit must recover the slopes from which its points were computed, also for a cost that is
// proportional to the product of machines and controllers, and must refuse fewer points than terms.
func TestFitRecoversKnownSlopes(t *testing.T) {
	s := syntheticSweep()
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
			t.Fatalf("fitCost: got %+v, %v, want a fit with R² of at least 0.999999", f, ok)
		}
		for k, slope := range c.slopes {
			if math.Abs(f.Slopes[k]-slope) > 1e-9 {
				t.Errorf("slope of %q: got %v, want %v", f.Terms[k], f.Slopes[k], slope)
			}
		}
	}
	if _, ok := fitCost(s.Points[:2], func(*Result) float64 { return 1 }, byOwnedAndMachine); ok {
		t.Error("fitCost with 2 points and 3 terms: got a fit, want none")
	}
}

// The tables must show each measured size, the fitted cost at the planned size, and its share of
// the limit.
func TestWriteTables(t *testing.T) {
	var out strings.Builder
	if err := syntheticSweep().WriteTables(&out); err != nil {
		t.Fatal(err)
	}
	planned := 0.0102 + 0.0002*3000/16 + 0.00003*3000
	for _, want := range []string{
		"500/3", "2000/7", "| " + formatFigure(planned) + " | 0.25 | 0.55 |", "a machine of the fleet",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the tables lack %q:\n%s", want, out.String())
		}
	}
}

// Each registration time must be that of the first sample that shows the required number of
// registered machines; later samples must not change it.
func TestRegistrationTimesRecordFirstCrossing(t *testing.T) {
	var times registrationTimes
	for at, keys := range []int{0, 40, 60, 95, 100, 100} {
		times.record(keys, 100, float64(at))
	}
	if times != (registrationTimes{Half: 2, NineTenths: 3, All: 4}) {
		t.Errorf("got %+v, want {Half:2 NineTenths:3 All:4}", times)
	}
}

// A histogram must report quantiles and the share of times within the start target of urgent jobs.
func TestHistogramLatency(t *testing.T) {
	h := newHistogram()
	for k := range 100 {
		h.add(time.Duration(k+1) * 50 * time.Millisecond)
	}
	l := h.latency()
	if l.Count != 100 || math.Abs(l.P50-2.5) > 0.01 || math.Abs(l.Max-5) > 0.01 ||
		math.Abs(l.ShareWithin3S-0.6) > 0.011 {
		t.Errorf("got %+v, want a count of 100, P50 of 2.5, maximum of 5, and share of 0.6 within 3 s", l)
	}
}
