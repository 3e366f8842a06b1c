package scaletest

import (
	"context"
	"fmt"
	"math"
)

// Point is the result at one size of a sweep.
type Point struct {
	Machines    int     `json:"machines"`
	Controllers int     `json:"controllers"`
	Result      *Result `json:"result"`
}

// SweepResult holds the measurements of a sweep.
type SweepResult struct {
	Profile string  `json:"profile"`
	Planned Size    `json:"planned"` // size in the profile, for which costs are predicted
	Limits  Limits  `json:"limits"`
	Points  []Point `json:"points"`
}

// Size is the size of a cluster.
type Size struct {
	Machines    int `json:"machines"`
	Controllers int `json:"controllers"`
}

// Limits holds the resource limits of a controller and the rate limits of the state service.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
	RPS      float64 `json:"state_rps"`
	WriteRPS float64 `json:"state_write_rps"`
}

// ScaledTo returns the profile scaled to another size. The job rate per machine stays the same.
// Faults and bursts are left out, and the sweep's duration and warm-up apply if it states a
// duration.
func (p *Profile) ScaledTo(size Size) *Profile {
	scaled := *p
	factor := float64(size.Machines) / float64(p.Machines())
	scaled.Name = fmt.Sprintf("%s at %d machines and %d controllers", p.Name, size.Machines, size.Controllers)
	scaled.Controllers.Count = size.Controllers
	scaled.Faults = nil
	scaled.Types, scaled.Jobs = nil, nil
	if p.Sweep.Duration > 0 {
		scaled.Duration, scaled.Warmup = p.Sweep.Duration, p.Sweep.Warmup
	}
	for _, t := range p.Types {
		t.Count = int(math.Round(float64(t.Count) * factor))
		scaled.Types = append(scaled.Types, t)
	}
	for _, c := range p.Jobs {
		c.PerSecond *= factor
		c.Burst = 0
		scaled.Jobs = append(scaled.Jobs, c)
	}
	return &scaled
}

// RunSweep runs all sizes of a profile's sweep, one after the other. After each size it calls
// report with the results so far.
func RunSweep(ctx context.Context, p *Profile, o Options, report func(*SweepResult) error) error {
	if len(p.Sweep.Workers) == 0 || len(p.Sweep.Controllers) == 0 {
		return fmt.Errorf("%w: sweep: workers and controllers must each list at least one size", ErrInvalidProfile)
	}
	sweep := &SweepResult{Profile: p.Name, Planned: Size{p.Machines(), p.Controllers.Count}, Limits: p.limits()}
	for _, machines := range p.Sweep.Workers {
		for _, controllers := range p.Sweep.Controllers {
			point, err := runPoint(ctx, p.ScaledTo(Size{machines, controllers}), o)
			if err != nil {
				return err
			}
			sweep.Points = append(sweep.Points, point)
			if err := report(sweep); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Profile) limits() Limits {
	return Limits{
		Cores:    p.Controllers.Cores,
		MemoryMB: p.Controllers.MemoryMB,
		Sockets:  float64(p.Controllers.Sockets),
		RPS:      p.State.RPS,
		WriteRPS: p.State.WriteRPS,
	}
}

// runPoint runs one size and prints its result.
func runPoint(ctx context.Context, p *Profile, o Options) (Point, error) {
	result, err := RunProfile(ctx, p, o)
	if err == nil && o.Output != nil {
		err = result.Print(o.Output)
	}
	if err != nil {
		return Point{}, fmt.Errorf("%s: %w", p.Name, err)
	}
	return Point{p.Machines(), p.Controllers.Count, result}, nil
}
