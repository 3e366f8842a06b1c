package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"robinstack/emulator"
	"robinstack/internal/logline"
	"robinstack/tools/console"
)

// InjectedFault is a fault with what it affected: processes, connections, requests or machines.
type InjectedFault struct {
	Fault
	Affected int
}

// Report is the outcome of a run.
type Report struct {
	Seed          uint64
	Options       Options
	Schedule      []InjectedFault
	Starts        int
	Restarts      int
	Cancelled     int // jobs that users were told are cancelled
	LeaderChanges int
	Violations    []string
	LogDirectory  string
	Timeline      string // file with the merged timeline; "" if the run did not fail
}

// FaultsInEffect returns the number of faults that affected anything.
func (r *Report) FaultsInEffect() (n int) {
	for i := range r.Schedule {
		if r.Schedule[i].Affected > 0 {
			n++
		}
	}
	return n
}

// Failed reports whether the run found a violation.
func (r *Report) Failed() bool { return len(r.Violations) > 0 }

// fillReport adds what the history and the observation of the processes show.
func (c *cluster) fillReport(r *Report) {
	r.Starts, r.Restarts, r.Cancelled = c.history.TaskStarts(), c.history.TaskRestarts(), c.history.CancelledJobs()
	r.Violations = append(r.Violations, c.history.Violations()...)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.LeaderChanges = c.leaders
	for _, exit := range c.exited {
		r.Violations = append(r.Violations, "exit: "+exit)
	}
}

// Activity that a run must reach for each ten seconds of its duration and, for starts, each ten
// machines. A run below this shows nothing.
const (
	activityPeriod     = 10 * time.Second
	activityMachines   = 10
	minStartsPerPeriod = 2
	minFaultsPerPeriod = 1
	minCancelledPerMin = 2
	minLeaders         = 1 // the first one; and one more for each minute
)

// checkActivity records a violation if the run hardly exercised the service.
func (r *Report) checkActivity() {
	periods := int(r.Options.Duration / activityPeriod)
	for _, activity := range []struct {
		name      string
		got, want int
	}{
		{"task starts", r.Starts, minStartsPerPeriod * periods * max(1, r.Options.Machines/activityMachines)},
		{"faults in effect", r.FaultsInEffect(), minFaultsPerPeriod * periods},
		{"cancelled jobs", r.Cancelled, minCancelledPerMin * int(r.Options.Duration/time.Minute)},
		{"changes of the leader", r.LeaderChanges, minLeaders + int(r.Options.Duration/time.Minute)},
	} {
		if activity.got < activity.want {
			r.Violations = append(r.Violations, fmt.Sprintf(
				"inactive: %d %s, want at least %d", activity.got, activity.name, activity.want))
		}
	}
}

// logMarks are the parts of log lines that are violations by themselves, or void the run.
var logMarks = []string{fmt.Sprintf("msg=%q", logline.InvariantViolated), "panic:", "fatal error:", "DATA RACE",
	"address already in use"}

// maxLoggedViolations bounds the violations taken from one log.
const maxLoggedViolations = 20

// addLogViolations adds the violations that the controllers' logs show.
func (r *Report) addLogViolations() {
	for _, path := range r.logFiles() {
		found := 0
		err := readLines(path, func(line string) {
			marked := slices.ContainsFunc(logMarks, func(mark string) bool { return strings.Contains(line, mark) })
			if marked && found < maxLoggedViolations {
				found++
				r.Violations = append(r.Violations, "log of "+filepath.Base(path)+": "+line)
			}
		})
		if err != nil {
			r.Violations = append(r.Violations, "log: "+err.Error())
		}
	}
}

func (r *Report) logFiles() []string {
	files, err := filepath.Glob(filepath.Join(r.LogDirectory, "host-*.log"))
	if err != nil {
		return nil
	}
	return files
}

// maxLogLineBytes bounds one line of a log.
const maxLogLineBytes = 1 << 20

func readLines(path string, do func(line string)) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("reading a log: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		do(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("reading %s: %w", path, err)
	}
	return nil
}

// finish writes the timeline of a failed run, and removes the temporary logs of any other.
func (r *Report) finish(history *emulator.History) error {
	if r.Failed() {
		return r.writeTimeline(history)
	}
	if r.Options.LogDirectory == "" {
		return os.RemoveAll(r.LogDirectory)
	}
	return nil
}

// fileMode is the mode of the files that a run writes.
const fileMode = 0o644

// timelineEntry is one line of the merged timeline.
type timelineEntry struct {
	at   time.Time
	text string
}

// writeTimeline writes one timeline of the controllers' logs and the history, in order of time.
func (r *Report) writeTimeline(history *emulator.History) error {
	var entries []timelineEntry
	for _, event := range history.TraceEvents() {
		entries = append(entries, timelineEntry{event.At, "history " + event.Text})
	}
	if at := history.FirstViolationAt(); !at.IsZero() {
		entries = append(entries, timelineEntry{at, "history FIRST VIOLATION: " + r.Violations[0]})
	}
	var errs []error
	for _, path := range r.logFiles() {
		host := strings.TrimSuffix(filepath.Base(path), ".log")
		last := history.StartTime()
		errs = append(errs, readLines(path, func(line string) {
			if at, ok := timeOfLine(line); ok {
				last = at
			}
			entries = append(entries, timelineEntry{last, host + " " + line})
		}))
	}
	slices.SortStableFunc(entries, func(a, b timelineEntry) int { return a.at.Compare(b.at) })
	var out strings.Builder
	for _, entry := range entries {
		fmt.Fprintf(&out, "%s %s\n", entry.at.UTC().Format("15:04:05.000"), entry.text)
	}
	r.Timeline = filepath.Join(r.LogDirectory, "timeline.log")
	errs = append(errs, os.WriteFile(r.Timeline, []byte(out.String()), fileMode))
	return errors.Join(errs...)
}

// timeOfLine returns the time of a line of a controller's log.
func timeOfLine(line string) (at time.Time, ok bool) {
	text, found := strings.CutPrefix(line, "time=")
	if !found {
		return at, false
	}
	text, _, _ = strings.Cut(text, " ")
	at, err := time.Parse(time.RFC3339Nano, text)
	return at, err == nil
}

// Violations shown of one run, and lines of the timeline before and after the first of them.
const (
	maxShownViolations  = 15
	shownTimelineBefore = 60
	shownTimelineAfter  = 10
)

// Print writes the report of a failed run: the violations, the faults, the timeline around the first
// violation, and the command that plays the schedule again.
func (r *Report) Print(out io.Writer) {
	console.Printf(out, "seed %d failed: %d violations\n", r.Seed, len(r.Violations))
	for _, v := range r.Violations[:min(maxShownViolations, len(r.Violations))] {
		console.Printf(out, "  %s\n", v)
	}
	console.Printf(out, "faults:\n")
	for i := range r.Schedule {
		f := &r.Schedule[i]
		console.Printf(out, "  %8.3f s %v; affected %d\n", f.At.Seconds(), &f.Fault, f.Affected)
	}
	r.printTimelineExcerpt(out)
	o := &r.Options
	console.Printf(out, "again: robinstack soak --seed %d --duration %v --controllers %d --machines %d --level %s "+
		"--cores %v --repeat-calls=%t --logs DIR\n"+
		"(the faults are the same; how the processes interleave is not)\nlogs: %s\n",
		r.Seed, o.Duration, o.Controllers, o.Machines, o.LogLevel, o.Cores, o.RepeatCalls, r.LogDirectory)
}

func (r *Report) printTimelineExcerpt(out io.Writer) {
	var lines []string
	first := -1
	err := readLines(r.Timeline, func(line string) {
		if strings.Contains(line, "history FIRST VIOLATION") {
			first = len(lines)
		}
		lines = append(lines, line)
	})
	if err != nil || first < 0 {
		return
	}
	console.Printf(out, "timeline around the first violation (whole: %s):\n", r.Timeline)
	for _, line := range lines[max(0, first-shownTimelineBefore):min(len(lines), first+shownTimelineAfter)] {
		console.Printf(out, "  %s\n", line)
	}
}

// PrintTable writes one row for each report.
func PrintTable(out io.Writer, reports []*Report) error {
	rows := "seed\tcontrollers\tmachines\tfaults\tin effect\tstarts\trestarts\tcancelled\t" +
		"leader changes\tviolations\t\n"
	for _, r := range reports {
		rows += fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			r.Seed, r.Options.Controllers, r.Options.Machines, len(r.Schedule), r.FaultsInEffect(), r.Starts,
			r.Restarts, r.Cancelled, r.LeaderChanges, len(r.Violations))
	}
	return console.WriteTable(out, rows, console.AlignRight)
}
