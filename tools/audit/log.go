// Package audit splits what the machines of a cluster cost by what they did with their
// time, and works out what became of jobs and deadlines, from the logs of the controllers
// alone. It owns no state of the service and may touch none: it reads lines and adds up. A
// Log is for one goroutine. It may import packages that only describe (job, logline) and
// console.
//
// The messages that it goes by are the constants of package logline, which the writers of
// the lines use too. Lines of the former version are read as well: each line gets its
// current names once, when it is read. A line has the time of day of its controller, which
// may be off by the bound in the settings; so each share is as exact as that.
package audit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"

	"robinstack/internal/job"
	"robinstack/internal/logline"
)

// Problem is a line that could not be used.
type Problem struct {
	Line   int
	Reason string
}

func (p Problem) String() string { return fmt.Sprintf("line %d: %s", p.Line, p.Reason) }

// Log is what was read from the logs of a cluster.
type Log struct {
	machines    map[string]*machine
	prices      map[string][]price       // by machine type, in the order of the lines
	capacity    map[string]job.Resources // by machine type
	jobs        map[string]*jobRecord
	first, last time.Time // of the lines

	Lines        int       // lines of controllers that were read
	Unrecognized int       // lines that are none, such as those of a wrapper around them
	Problems     []Problem // lines of controllers that are cut or make no sense
}

// price is what a machine type costs an hour from a moment on.
type price struct {
	at             time.Time
	onDemand, spot float64
}

// maxLineBytes bounds a line; longer ones are reported and left out.
const maxLineBytes = 1 << 20

// Read reads logs as the controllers write them, one after the other or mixed, with or
// without something before the time in each line. Lines that are cut are listed as
// problems, and the rest is used. The error is the reader's, if any.
func Read(r io.Reader) (*Log, error) {
	l := &Log{
		machines: map[string]*machine{},
		prices:   map[string][]price{},
		capacity: map[string]job.Resources{},
		jobs:     map[string]*jobRecord{},
	}
	in := bufio.NewReaderSize(r, maxLineBytes)
	for n := 1; ; n++ {
		line, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			l.addProblem(n, "is longer than a mebibyte")
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = in.ReadSlice('\n')
			}
			line = nil
		}
		atEnd := errors.Is(err, io.EOF)
		l.readLine(n, line, atEnd)
		if atEnd {
			return l, nil
		}
		if err != nil {
			return l, fmt.Errorf("reading the log after line %d: %w", n, err)
		}
	}
}

func (l *Log) addProblem(n int, format string, args ...any) {
	l.Problems = append(l.Problems, Problem{n, fmt.Sprintf(format, args...)})
}

// readLine reads the nth line; atEnd tells that nothing comes after it.
func (l *Log) readLine(n int, line []byte, atEnd bool) {
	line = bytes.TrimSpace(line)
	start := bytes.Index(line, []byte("time="))
	if start < 0 {
		if len(line) > 0 {
			l.Unrecognized++
		}
		return
	}
	fields, err := parseFields(line[start:])
	if err != nil {
		if atEnd {
			err = fmt.Errorf("%w (the log ends here)", err)
		}
		l.addProblem(n, "%v", err)
		return
	}
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		l.addProblem(n, "time: %q is no time", fields["time"])
		return
	}
	l.Lines++
	if l.first.IsZero() || at.Before(l.first) {
		l.first = at
	}
	if at.After(l.last) {
		l.last = at
	}
	message, attributes := logline.Current(fields["msg"], fields)
	if err := l.record(at, message, attributes); err != nil {
		l.addProblem(n, "msg=%q: %v", fields["msg"], err) // as the line has it, to be found there
	}
}

func parseFields(line []byte) (map[string]string, error) {
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

// numberReader reads numbers out of a line's fields; the first that is missing or none is
// the error.
type numberReader struct {
	fields map[string]string
	err    error
}

func (r *numberReader) number(key string) float64 {
	s, ok := r.fields[key]
	x, err := strconv.ParseFloat(s, 64)
	switch {
	case r.err != nil:
	case !ok:
		r.err = fmt.Errorf("%s: is missing", key)
	case err != nil || x < 0:
		r.err = fmt.Errorf("%s: %q is no amount", key, s)
	}
	return x
}

func (r *numberReader) seconds(key string) time.Duration {
	return time.Duration(r.number(key) * float64(time.Second))
}

// need reads what a task takes of its machine, or a machine has.
func (r *numberReader) need() job.Resources {
	return job.Resources{CPUs: r.number("cpus"), GPUs: r.number("gpus"), MemoryGB: r.number("mem_gb")}
}
