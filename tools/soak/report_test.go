package soak

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/config"
)

// A failed run can be played again only if its schedule follows from the seed alone.
func TestScheduleFollowsFromSeed(t *testing.T) {
	first, again := Schedule(7, time.Minute, 3), Schedule(7, time.Minute, 3)
	if !reflect.DeepEqual(first, again) || len(first) < 10 {
		t.Errorf("got schedules of %d and %d faults, want the same with at least 10", len(first), len(again))
	}
	if reflect.DeepEqual(first, Schedule(8, time.Minute, 3)) {
		t.Error("two seeds have the same schedule")
	}
	overlapping, kinds := 0, map[string]bool{}
	for seed := range uint64(20) {
		leaderKillFaults := 0
		for i, f := range Schedule(seed, time.Minute, 3) {
			kinds[f.Kind] = true
			if f.Kind == leaderKills.name {
				leaderKillFaults++
			}
			for _, other := range Schedule(seed, time.Minute, 3)[:i] {
				if other.At+other.For > f.At {
					overlapping++
				}
			}
		}
		if leaderKillFaults < 2 {
			t.Errorf("seed %d kills leaders %d times in a minute, want at least twice", seed, leaderKillFaults)
		}
	}
	if len(kinds) != len(faultKinds) || overlapping < 100 {
		t.Errorf("20 seeds draw %d of %d kinds and %d overlaps, want all and at least 100", len(kinds), len(faultKinds), overlapping)
	}
}

// activeReport returns the report of a run that has done enough and found nothing.
func activeReport(t *testing.T) *Report {
	return &Report{
		Options: Options{Duration: time.Minute, Machines: 40, LogDirectory: t.TempDir()}, LogDirectory: t.TempDir(),
		Starts: 1000, Cancelled: 10, LeaderChanges: 2,
		Schedule: []InjectedFault{{Affected: 1}, {Affected: 1}, {Affected: 1}, {Affected: 1}, {Affected: 1}, {Affected: 1}},
	}
}

// Each kind of violation that the history does not see must fail the run.
func TestReportFindsPlantedViolations(t *testing.T) {
	for want, plant := range map[string]func(r *Report){
		"":                      func(*Report) {},
		"task starts":           func(r *Report) { r.Starts = 3 },
		"faults in effect":      func(r *Report) { r.Schedule[0].Affected = 0 },
		"cancelled jobs":        func(r *Report) { r.Cancelled = 1 },
		"changes of the leader": func(r *Report) { r.LeaderChanges = 1 },
		"invariant violated": func(r *Report) {
			writeLog(t, r, `time=2026-01-01T00:00:00Z level=ERROR msg="invariant violated" task=wk-1/0`)
		},
		"panic: slice bounds": func(r *Report) { writeLog(t, r, "panic: slice bounds out of range") },
	} {
		r := activeReport(t)
		plant(r)
		r.addLogViolations()
		r.checkActivity()
		found := strings.Join(r.Violations, "; ")
		if r.Failed() != (want != "") || !strings.Contains(found, want) {
			t.Errorf("planted %q: got violations %q", want, found)
		}
	}
}

func writeLog(t *testing.T, r *Report, line string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(r.LogDirectory, "host-0.log"), []byte(line+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A failed run must leave one timeline of the logs and the history, in order of time.
func TestTimelineMergesLogsAndHistory(t *testing.T) {
	r := activeReport(t)
	r.Violations = []string{"ran_twice"}
	history := emulator.NewHistory(&config.Settings{})
	history.RecordFault("a fault begins")
	at := history.StartTime().UTC()
	writeLog(t, r, "time="+at.Add(time.Second).Format(time.RFC3339Nano)+" msg=later\n  a continued line\n"+
		"time="+at.Add(-time.Second).Format(time.RFC3339Nano)+" msg=earlier")
	if err := r.finish(history); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(r.Timeline)
	if err != nil {
		t.Fatal(err)
	}
	position := -1
	for _, want := range []string{"msg=earlier", "a fault begins", "msg=later", "a continued line"} {
		if i := strings.Index(string(raw), want); i <= position {
			t.Fatalf("%q is missing or out of order in\n%s", want, raw)
		} else {
			position = i
		}
	}
}

// Guards against options that start a run which cannot mean anything, and errors that do not name the option.
func TestOptionsAreCheckedByName(t *testing.T) {
	valid := Options{Duration: time.Minute, Controllers: 3, Machines: 40, LogLevel: "info"}
	for name, change := range map[string]func(o *Options){
		"":            func(*Options) {},
		"duration":    func(o *Options) { o.Duration = time.Second },
		"controllers": func(o *Options) { o.Controllers = 1 },
		"machines":    func(o *Options) { o.Machines = 100_000 },
		"level":       func(o *Options) { o.LogLevel = "loud" },
	} {
		o := valid
		change(&o)
		if err := o.Check(); (err != nil) != (name != "") || err != nil && !strings.Contains(err.Error(), name) {
			t.Errorf("%q: got error %v", name, err)
		}
	}
}
