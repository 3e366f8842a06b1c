package audit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/logline"
)

// NamedLog is the log of one controller.
type NamedLog struct {
	Name string // for the output, such as the path
	io.Reader
}

// FollowedLine is a line that concerns a followed task.
type FollowedLine struct {
	At   time.Time
	Log  string // name of the log
	Text string // the line without its time
}

// followMargin is the time before a task's first line and after its last one for which lines about
// its machines and controllers are shown.
const followMargin = 30 * time.Second

// contextMessages are messages that concern all tasks: who leads and owns, and what controllers saw of
// the state service.
var contextMessages = map[string]bool{
	"controller session started": true, "controller session ended": true, "leader elected": true,
	"job shard acquired": true, "job shard reconciled": true, "job shard reconciliation pending": true,
	"quota ledger reconciled": true, "machine shard acquired": true, "process paused": true,
	"state mirror loaded": true, "heartbeats solicited": true,
}

// parsedLine is a line of a log with its fields under their current names.
type parsedLine struct {
	FollowedLine
	message string
	fields  map[string]string
}

// Follow returns, in order of time, the lines of all controllers that concern a task: those that name
// it or its job, those about the machines that it was or may have been on, and those about who led
// and owned meanwhile.
func Follow(logs []NamedLog, task string) ([]FollowedLine, error) {
	jobID, _, valid := job.SplitTaskID(task)
	if !valid {
		return nil, fmt.Errorf("%q is not the name of a task, such as wk-000412/3", task)
	}
	var lines []parsedLine
	for i := range logs {
		parsed, err := parseLog(&logs[i])
		if err != nil {
			return nil, err
		}
		lines = append(lines, parsed...)
	}
	slices.SortStableFunc(lines, func(a, b parsedLine) int { return a.At.Compare(b.At) })
	return selectLines(lines, task, jobID), nil
}

// selectLines returns the lines, which are in order of time, that concern the task.
func selectLines(lines []parsedLine, task, jobID string) (followed []FollowedLine) {
	machines := map[string]bool{}
	var first, last time.Time
	for i := range lines {
		l := &lines[i]
		if !l.names(task, jobID) {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		if machine := l.fields["machine"]; machine != "" {
			machines[machine] = true
		}
	}
	for i := range lines {
		l := &lines[i]
		inTime := !l.At.Before(first.Add(-followMargin)) && !l.At.After(last.Add(followMargin))
		aboutMachine := machines[l.fields["machine"]] && l.fields["task"] == "" && l.fields["tasks"] == ""
		if l.names(task, jobID) || inTime && !first.IsZero() && (aboutMachine || contextMessages[l.message]) {
			followed = append(followed, l.FollowedLine)
		}
	}
	return followed
}

// names reports whether the line names the task or its job.
func (l *parsedLine) names(task, jobID string) bool {
	started := l.message == logline.TaskStartsSent && strings.Contains(l.fields["tasks"], task+":")
	return l.fields["task"] == task || l.fields["job"] == jobID || started
}

// parseLog reads the lines that a controller wrote, and skips all others.
func parseLog(log *NamedLog) (parsed []parsedLine, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		start := bytes.Index(lines.Bytes(), []byte("time="))
		if start < 0 {
			continue
		}
		text := string(lines.Bytes()[start:])
		fields, err := parseFields([]byte(text))
		if err != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			continue
		}
		_, text, _ = strings.Cut(text, " ")
		message, attributes := logline.Current(fields["msg"], fields)
		parsed = append(parsed, parsedLine{FollowedLine{at, log.Name, text}, message, attributes})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading %s: %w", log.Name, err)
	}
	return parsed, nil
}
