// Package audit evaluates the logs of the controllers. From these logs alone it splits the cost of
// the machines by what the machines spent their time on, and reports how many jobs met their
// objectives and deadlines. It keeps no state of the service and must not access any. A Log is not
// safe for concurrent use. The package may import console and packages that only define data (job,
// logline).
//
// The messages that audit evaluates are constants of package logline, which the code that logs them
// uses as well. Lines of the previous version are accepted: their messages and keys are replaced
// with the current names when a line is read. The time of a line comes from the clock of the
// controller that wrote it and may be off by the bound in the settings, which limits the accuracy
// of all results.
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

// Problem is a line that could not be evaluated.
type Problem struct {
	Line   int
	Reason string
}

func (p Problem) String() string { return fmt.Sprintf("line %d: %s", p.Line, p.Reason) }

// Log is the content of the controllers' logs.
type Log struct {
	machines                map[string]*machine
	prices                  map[string][]price       // by machine type, in the order of the lines
	capacity                map[string]job.Resources // by machine type
	jobs                    map[string]*jobRecord
	firstLineAt, lastLineAt time.Time // earliest and latest time of all lines

	Lines        int       // parsed lines of controllers, including those with messages that are not evaluated
	Unrecognized int       // non-empty lines that no controller wrote, such as those of a wrapper script
	Problems     []Problem // lines of controllers that are truncated or malformed
}

// price is the hourly price of a machine type from a point in time.
type price struct {
	validFrom      time.Time
	onDemand, spot float64
}

// maxLineBytes bounds the length of a line. Longer lines are reported as problems and skipped.
const maxLineBytes = 1 << 20

// Read reads the controllers' logs, concatenated or interleaved. Each line may have a prefix before
// its time. Malformed lines are listed in Problems, and all others are evaluated. The error is that
// of r.
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
			l.addProblem(n, "is longer than %d bytes", maxLineBytes)
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
			return l, fmt.Errorf("reading line %d of the log: %w", n, err)
		}
	}
}

func (l *Log) addProblem(n int, format string, args ...any) {
	l.Problems = append(l.Problems, Problem{n, fmt.Sprintf(format, args...)})
}

// readLine evaluates line number n. atEnd says that it is the last line.
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
			err = fmt.Errorf("%w (last line of the log)", err)
		}
		l.addProblem(n, "%v", err)
		return
	}
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		l.addProblem(n, "time: %q is not a valid time", fields["time"])
		return
	}
	l.Lines++
	if l.firstLineAt.IsZero() || at.Before(l.firstLineAt) {
		l.firstLineAt = at
	}
	if at.After(l.lastLineAt) {
		l.lastLineAt = at
	}
	message, attributes := logline.Current(fields["msg"], fields)
	if err := l.record(at, message, attributes); err != nil {
		l.addProblem(n, "msg=%q: %v", fields["msg"], err) // the original message, so that it can be found in the log
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
		return nil, fmt.Errorf("is truncated or not a log line: %w", err)
	}
	return out, nil
}

// numberReader reads numbers from the fields of a line. err is the first error: a missing field or
// an invalid number.
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
		r.err = fmt.Errorf("%s: missing", key)
	case err != nil || x < 0:
		r.err = fmt.Errorf("%s: got %q, want a non-negative number", key, s)
	}
	return x
}

func (r *numberReader) seconds(key string) time.Duration {
	return time.Duration(r.number(key) * float64(time.Second))
}

// resources reads the resources of a task or the capacity of a machine type.
func (r *numberReader) resources() job.Resources {
	return job.Resources{CPUs: r.number("cpus"), GPUs: r.number("gpus"), MemoryGB: r.number("mem_gb")}
}
