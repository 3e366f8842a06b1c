package scaletest

import (
	"errors"
	"os"
	"strings"
	"testing"
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// The profiles in the repository must be valid and have the number of machines that they are meant
// for.
func TestRepositoryProfilesAreValid(t *testing.T) {
	for name, want := range map[string]int{"small": 40, "today": 1354, "planned": 3000} {
		p, err := LoadProfile("../../deploy/scale/" + name + ".toml")
		if err != nil {
			t.Error(err)
			continue
		}
		if p.Machines() != want {
			t.Errorf("%s: got %d machines, want %d", name, p.Machines(), want)
		}
	}
}

// An error in a profile must be reported with file, line and field.
func TestProfileErrorNamesLineAndField(t *testing.T) {
	small := readFile(t, "../../deploy/scale/small.toml")
	for _, c := range []struct{ from, to, want string }{
		{"count = 3", "count = 17", ":8: controllers.count: must be 1 to 16"},
		{"rps = 200.0", "rsp = 200.0", ":14: state.rsp: unknown field"},
		{"write_rps = 80.0", `write_rps = "much"`, ":15: state.write_rps:"},
		{`shape = "sweep"`, `shape = "row"`, `:64: jobs[1].shape: must be "sweep" or "gang"`},
		{"lease_s = 12.0", "lease_s = 1.0", ":25: workers.lease_s: must be above report_s"},
		{"warmup_s = 8", "", ":2: "}, // the field is optional: no error
		{`kind = "controller_fails"`, `kind = "flood"`, "faults[1].kind: must be one of"},
		{"[teams]\ncount = 8", "[teams]", ":44: teams.count: must be 1 to 1000"},
		{"seed = 1", "seed = ", ":5:"},
	} {
		path := t.TempDir() + "/p.toml"
		if err := os.WriteFile(path, []byte(strings.Replace(small, c.from, c.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadProfile(path)
		if c.to == "" {
			if err != nil {
				t.Errorf("without %q: got error %v, want none", c.from, err)
			}
			continue
		}
		if !errors.Is(err, ErrInvalidProfile) || !strings.Contains(err.Error(), path+":") ||
			!strings.Contains(err.Error(), c.want) {
			t.Errorf("%q in place of %q: got error %v, want an ErrInvalidProfile with %q", c.to, c.from, err, c.want)
		}
	}
}

// A run that exceeds the memory, the processes or the open files of the host must be rejected with
// the amounts.
func TestCheckCapacityRejectsOversizedRun(t *testing.T) {
	p, err := LoadProfile("../../deploy/scale/planned.toml")
	if err != nil {
		t.Fatal(err)
	}
	large := HostCapacity{MemoryMB: 12_000, Processes: 200, OpenFilesPerProcess: 30_000}
	if err := p.CheckCapacity(large); err != nil {
		t.Errorf("host with enough capacity: got error %v, want none", err)
	}
	for want, shrink := range map[string]func(r *HostCapacity){
		"MB of memory are needed, 1000 MB": func(r *HostCapacity) { r.MemoryMB = 1000 },
		"18 processes are needed, 10":      func(r *HostCapacity) { r.Processes = 10 },
		"open files are needed in one":     func(r *HostCapacity) { r.OpenFilesPerProcess = 1024 },
	} {
		reduced := large
		shrink(&reduced)
		if err := p.CheckCapacity(reduced); !errors.Is(err, ErrInsufficientCapacity) || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want an ErrInsufficientCapacity with %q", err, want)
		}
	}
}

// Scaling a profile must keep the job rate per machine and drop the faults. A profile must draw the
// same arrivals each time, and about as many as its rates and bursts state.
func TestScaledProfileAndArrivals(t *testing.T) {
	p, err := LoadProfile("../../deploy/scale/planned.toml")
	if err != nil {
		t.Fatal(err)
	}
	half := p.ScaledTo(Size{1500, 7})
	if half.Machines() != 1500 || half.Controllers.Count != 7 || len(half.Faults) != 0 ||
		half.Jobs[0].PerSecond != p.Jobs[0].PerSecond/2 {
		t.Errorf("scaled profile: got %d machines, %d controllers, %d faults, %v jobs/s, want 1500, 7, 0, %v",
			half.Machines(), half.Controllers.Count, len(half.Faults), half.Jobs[0].PerSecond, p.Jobs[0].PerSecond/2)
	}
	first, second := p.arrivals(), p.arrivals()
	if len(first) != len(second) || first[0] != second[0] {
		t.Errorf("two draws of arrivals differ: got %d and %d arrivals, want the same ones", len(first), len(second))
	}
	rate := 0.0
	for _, c := range p.Jobs {
		rate += c.PerSecond
	}
	if expected := rate*float64(p.Duration) + 30; float64(len(first)) < 0.8*expected ||
		float64(len(first)) > 1.2*expected {
		t.Errorf("got %d arrivals, want %.0f within 20 %%", len(first), expected)
	}
}
