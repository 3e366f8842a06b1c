package scaletest

import (
	"errors"
	"os"
	"strings"
	"testing"
)

func read(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// The profiles of the repository are valid, and are of the sizes that they are named for.
func TestProfilesOfTheRepository(t *testing.T) {
	for path, machines := range map[string]int{"small": 40, "today": 1354, "planned": 3000} {
		p, err := Load("../../deploy/scale/" + path + ".toml")
		if err != nil {
			t.Error(err)
			continue
		}
		if p.Machines() != machines {
			t.Errorf("%s: %d machines", path, p.Machines())
		}
	}
}

// What is wrong in a profile is said with file, line and field.
func TestFaultsInAProfileNameLineAndField(t *testing.T) {
	small := read(t, "../../deploy/scale/small.toml")
	for _, c := range []struct{ was, is, says string }{
		{"count = 3", "count = 17", ":8: controllers.count: must be 1 to 16"},
		{"rps = 200.0", "rsp = 200.0", ":14: state.rsp: unknown field"},
		{"write_rps = 80.0", `write_rps = "much"`, ":15: state.write_rps:"},
		{`shape = "sweep"`, `shape = "row"`, `:64: jobs[1].shape: must be "sweep" or "gang"`},
		{"lease_s = 12.0", "lease_s = 1.0", ":25: workers.lease_s: must be above report_s"},
		{"warmup_s = 8", "", ":2: "}, // absent: valid, so nothing is said
		{`kind = "controller_fails"`, `kind = "flood"`, "faults[1].kind: must be one of"},
		{"[teams]\ncount = 8", "[teams]", ":44: teams.count: must be 1 to 1000"},
		{"seed = 1", "seed = ", ":5:"},
	} {
		path := t.TempDir() + "/p.toml"
		if err := os.WriteFile(path, []byte(strings.Replace(small, c.was, c.is, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		if c.is == "" {
			if err != nil {
				t.Errorf("without %q: %v", c.was, err)
			}
			continue
		}
		if !errors.Is(err, ErrProfile) || !strings.Contains(err.Error(), path+":") || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%q for %q: %v, not %q", c.is, c.was, err, c.says)
		}
	}
}

// What does not fit is refused with the figure.
func TestWhatDoesNotFitIsRefused(t *testing.T) {
	p, err := Load("../../deploy/scale/planned.toml")
	if err != nil {
		t.Fatal(err)
	}
	large := HostCapacity{MemoryMB: 12_000, Processes: 200, Files: 30_000}
	if err := p.CheckCapacity(large); err != nil {
		t.Errorf("on a machine with room: %v", err)
	}
	for says, shrink := range map[string]func(r *HostCapacity){
		"MB of memory are needed, 1000 MB": func(r *HostCapacity) { r.MemoryMB = 1000 },
		"18 processes are needed, 10":      func(r *HostCapacity) { r.Processes = 10 },
		"open files are needed in one":     func(r *HostCapacity) { r.Files = 1024 },
	} {
		room := large
		shrink(&room)
		if err := p.CheckCapacity(room); !errors.Is(err, ErrDoesNotFit) || !strings.Contains(err.Error(), says) {
			t.Errorf("%v, not %q", err, says)
		}
	}
}

// A profile at another size has as many jobs for each machine, and draws the same arrivals
// each time, at the rates that it states.
func TestProfileAtAnotherSize(t *testing.T) {
	p, err := Load("../../deploy/scale/planned.toml")
	if err != nil {
		t.Fatal(err)
	}
	half := p.ScaledTo(Size{1500, 7})
	if half.Machines() != 1500 || half.Controllers.Count != 7 || len(half.Faults) != 0 || half.Jobs[0].PerSecond != p.Jobs[0].PerSecond/2 {
		t.Errorf("%d machines, %d controllers, %v jobs a second", half.Machines(), half.Controllers.Count, half.Jobs[0].PerSecond)
	}
	first, again := p.arrivals(), p.arrivals()
	if len(first) != len(again) || first[0] != again[0] {
		t.Error("the same profile draws other arrivals")
	}
	rate := 0.0
	for _, c := range p.Jobs {
		rate += c.PerSecond
	}
	if expected := rate*float64(p.Duration) + 30; float64(len(first)) < 0.8*expected || float64(len(first)) > 1.2*expected {
		t.Errorf("%d arrivals where %.0f are expected", len(first), expected)
	}
}
