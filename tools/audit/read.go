// Package audit splits what the machines of a fleet cost by what they did with
// their time, from the logs of the controllers alone. It owns no state of the
// service and may touch none: it reads lines and adds up.
//
// The messages that it goes by are the constants of package logline, which the
// writers of the lines use too. Lines of the former version are read as well: each
// line gets its current names once, when it is read. A line has the time of day of
// its controller, which may be off by the bound in the settings; so a part is as
// exact as that.
package audit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"robinstack/internal/logline"
)

// Phases of a task on its machine, in their order.
const (
	fetching = iota
	gathering
	running
	saving
	phases
)

// span is what one attempt at a task did on a machine, as one owner saw it.
type span struct {
	job    string
	end    time.Time
	spent  [phases]time.Duration
	need   map[string]float64 // cpus, gpus, mem_gb
	useful time.Duration      // of what it ran: what counts in the end
}

// machine is a machine from its rental to its return.
type machine struct {
	name             string
	typeName         string
	zone             string
	spot             bool
	rented, up, gone time.Time
	silent           time.Time
	spans            []span
}

// price is what a type costs an hour from a moment on.
type price struct {
	at           time.Time
	hourly, spot float64
}

// Problem is a line that could not be used.
type Problem struct {
	Line   int
	Reason string
}

func (p Problem) String() string { return fmt.Sprintf("line %d: %s", p.Line, p.Reason) }

// Log is what was read from the logs of a fleet.
type Log struct {
	machines    map[string]*machine
	prices      map[string][]price
	capacity    map[string]map[string]float64
	jobs        map[string]*submission
	first, last time.Time

	Lines        int       // lines of controllers that were read
	Unrecognized int       // lines that are none, such as those of a wrapper around them
	Problems     []Problem // lines of controllers that are cut or make no sense
}

// longestLine bounds a line; longer ones are reported and left out.
const longestLine = 1 << 20

// Read reads logs as the controllers write them, one after the other or mixed, with
// or without something before the time in each line. Lines that are cut are listed
// as problems, and the rest is used. The error is the reader's, if any.
func Read(r io.Reader) (*Log, error) {
	l := &Log{machines: map[string]*machine{}, prices: map[string][]price{}, jobs: map[string]*submission{}, capacity: map[string]map[string]float64{}}
	in := bufio.NewReaderSize(r, longestLine)
	for n := 1; ; n++ {
		line, err := in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			l.problem(n, "is longer than a mebibyte")
			for err == bufio.ErrBufferFull {
				_, err = in.ReadSlice('\n')
			}
			line = nil
		}
		l.line(n, line, err == io.EOF)
		if err == io.EOF {
			return l, nil
		}
		if err != nil {
			return l, fmt.Errorf("reading the log after line %d: %w", n, err)
		}
	}
}

func (l *Log) problem(n int, format string, args ...any) {
	l.Problems = append(l.Problems, Problem{n, fmt.Sprintf(format, args...)})
}

func (l *Log) line(n int, line []byte, last bool) {
	line = bytes.TrimSpace(line)
	start := bytes.Index(line, []byte("time="))
	if start < 0 {
		if len(line) > 0 {
			l.Unrecognized++
		}
		return
	}
	f, err := fields(line[start:])
	if err != nil {
		if last {
			err = fmt.Errorf("%w (the log ends here)", err)
		}
		l.problem(n, "%v", err)
		return
	}
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil {
		l.problem(n, "time: %q is no time", f["time"])
		return
	}
	l.Lines++
	if l.first.IsZero() || at.Before(l.first) {
		l.first = at
	}
	if at.After(l.last) {
		l.last = at
	}
	message, attributes := logline.Current(f["msg"], f)
	if err := l.take(at, message, attributes); err != nil {
		l.problem(n, "msg=%q: %v", f["msg"], err) // as the line has it, to be found there
	}
}

func fields(line []byte) (map[string]string, error) {
	d := logfmt.NewDecoder(bytes.NewReader(line))
	out := map[string]string{}
	for d.ScanRecord() {
		for d.ScanKeyval() {
			out[string(d.Key())] = string(d.Value())
		}
	}
	if err := d.Err(); err != nil {
		return nil, fmt.Errorf("is cut or no log line: %w", err)
	}
	return out, nil
}

// values reads numbers out of a line's fields; the first that is missing or none
// is the error.
type values struct {
	f   map[string]string
	err error
}

func (v *values) number(key string) float64 {
	s, ok := v.f[key]
	x, err := strconv.ParseFloat(s, 64)
	switch {
	case v.err != nil:
	case !ok:
		v.err = fmt.Errorf("%s: is missing", key)
	case err != nil || x < 0:
		v.err = fmt.Errorf("%s: %q is no amount", key, s)
	}
	return x
}

func (v *values) seconds(key string) time.Duration {
	return time.Duration(v.number(key) * float64(time.Second))
}

func (l *Log) machine(name string) *machine {
	if l.machines[name] == nil {
		l.machines[name] = &machine{name: name}
	}
	return l.machines[name]
}

// names reads a list as slog writes it: [a b c].
func names(list string) []string { return strings.Fields(strings.Trim(list, "[]")) }

// take books a line, given under its current names.
func (l *Log) take(at time.Time, message string, f map[string]string) error {
	v := &values{f: f}
	switch message {
	case logline.MachineTypePrice:
		p := price{at, v.number("hourly"), v.number("spot")}
		room := map[string]float64{"cpus": v.number("cpus"), "gpus": v.number("gpus"), "mem_gb": v.number("mem_gb")}
		if v.err != nil {
			return v.err
		}
		l.capacity[f["type"]] = room
		l.prices[f["type"]] = append(l.prices[f["type"]], p)
	case logline.ScaledOut:
		for _, name := range names(f["machines"]) {
			m := l.machine(name)
			m.typeName, m.zone, m.spot = f["type"], f["zone"], f["spot"] == "true"
			m.rented = at
		}
	case logline.MachineRegistered:
		m := l.machine(f["machine"])
		m.typeName, m.zone, m.spot = f["type"], f["zone"], f["spot"] == "true"
		if m.up.IsZero() || at.Before(m.up) {
			m.up = at
		}
	case logline.ScaledIn:
		for _, name := range names(f["machines"]) {
			if m := l.machine(name); m.gone.IsZero() {
				m.gone = at
			}
		}
	case logline.JobAccepted:
		return l.accepted(at, f)
	case logline.TaskCommitted, logline.JobCompleted, logline.JobCancelled, logline.JobReady, logline.JobWithdrawn:
		l.follow(at, message, f)
	case logline.MachineUnresponsive:
		l.machine(f["machine"]).silent = at.Add(-v.seconds("duration_s"))
		return v.err
	case logline.TaskFinished:
		s := span{job: jobOf(f["task"]), end: at, need: map[string]float64{"cpus": v.number("cpus"), "gpus": v.number("gpus"), "mem_gb": v.number("mem_gb")}}
		for k, key := range [phases]string{"fetch_s", "gang_wait_s", "run_s", "checkpoint_s"} {
			s.spent[k] = v.seconds(key)
		}
		s.useful = useful(s.spent[running], f["cause"], f["checkpointed"] == "true", v.seconds("checkpoint_interval_s"))
		if v.err != nil {
			return v.err
		}
		m := l.machine(f["machine"])
		m.spans = append(m.spans, s)
		l.began(&s)
		l.ran(&s, f["cause"])
	}
	return nil
}

// useful is how much of a run counts in the end: all of it if the task completed,
// saved when it was stopped or goes on under another owner; else what its
// checkpoints hold, which are at multiples of their interval.
func useful(run time.Duration, cause string, saved bool, every time.Duration) time.Duration {
	switch {
	case cause == "done" || cause == "handed over" || saved:
		return run
	case every > 0:
		return run / every * every
	}
	return 0
}
