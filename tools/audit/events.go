package audit

import (
	"strings"
	"time"

	"robinstack/internal/logline"
)

// record books a line, given under its current names. Of other messages it takes nothing.
func (l *Log) record(at time.Time, message string, fields map[string]string) error {
	switch message {
	case logline.MachineTypePrice:
		return l.recordPrice(at, fields)
	case logline.ScaledOut:
		l.recordScaleOut(at, fields)
	case logline.ScaledIn:
		l.recordScaleIn(at, fields)
	case logline.MachineRegistered:
		l.recordRegistration(at, fields)
	case logline.MachineUnresponsive:
		return l.recordUnresponsive(at, fields)
	case logline.TaskFinished:
		return l.recordTaskRun(at, fields)
	case logline.JobAccepted:
		return l.recordAcceptance(at, fields)
	case logline.TaskCommitted, logline.JobCompleted, logline.JobCancelled, logline.JobReady, logline.JobWithdrawn:
		l.recordJobEvent(at, message, fields)
	}
	return nil
}

func (l *Log) recordPrice(at time.Time, fields map[string]string) error {
	r := &numberReader{fields: fields}
	p := price{at, r.number("hourly"), r.number("spot")}
	capacity := r.need()
	if r.err != nil {
		return r.err
	}
	typeName := fields["type"]
	l.capacity[typeName] = capacity
	l.prices[typeName] = append(l.prices[typeName], p)
	return nil
}

// machine returns a machine of which a line speaks.
func (l *Log) machine(name string) *machine {
	if l.machines[name] == nil {
		l.machines[name] = &machine{}
	}
	return l.machines[name]
}

// describe takes what kind of machine it is.
func (m *machine) describe(fields map[string]string) {
	m.typeName, m.zone, m.spot = fields["type"], fields["zone"], fields["spot"] == "true"
}

// parseList reads a list as slog writes it: [a b c].
func parseList(list string) []string { return strings.Fields(strings.Trim(list, "[]")) }

func (l *Log) recordScaleOut(at time.Time, fields map[string]string) {
	for _, name := range parseList(fields["machines"]) {
		m := l.machine(name)
		m.describe(fields)
		m.rentedAt = at
	}
}

func (l *Log) recordScaleIn(at time.Time, fields map[string]string) {
	for _, name := range parseList(fields["machines"]) {
		if m := l.machine(name); m.returnedAt.IsZero() {
			m.returnedAt = at
		}
	}
}

func (l *Log) recordRegistration(at time.Time, fields map[string]string) {
	m := l.machine(fields["machine"])
	m.describe(fields)
	keepEarlier(&m.registeredAt, at)
}

func (l *Log) recordUnresponsive(at time.Time, fields map[string]string) error {
	r := &numberReader{fields: fields}
	l.machine(fields["machine"]).unresponsiveSince = at.Add(-r.seconds("duration_s"))
	return r.err
}

// recordTaskRun books an attempt at a task that has ended on its machine.
func (l *Log) recordTaskRun(at time.Time, fields map[string]string) error {
	r := &numberReader{fields: fields}
	run := taskRun{job: jobOf(fields["task"]), end: at, need: r.need()}
	for phase, key := range phaseFields {
		run.spent[phase] = r.seconds(key)
	}
	run.useful = usefulTime(
		run.spent[running], fields["cause"], fields["checkpointed"] == "true", r.seconds("checkpoint_interval_s"))
	if r.err != nil {
		return r.err
	}
	m := l.machine(fields["machine"])
	m.runs = append(m.runs, run)
	if s := l.jobs[run.job]; s != nil {
		s.addRun(&run, fields["cause"])
	}
	return nil
}

// Causes of a task's end, as the lines have them.
const (
	causeDone       = "done"
	causeHandedOver = "handed over" // it goes on under another owner
)

// usefulTime is how much of a run counts in the end: all of it if the task completed, saved
// when it was stopped or goes on under another owner; else what its checkpoints hold, which
// are at multiples of their interval.
func usefulTime(run time.Duration, cause string, checkpointed bool, interval time.Duration) time.Duration {
	switch {
	case cause == causeDone || cause == causeHandedOver || checkpointed:
		return run
	case interval > 0:
		return run / interval * interval
	}
	return 0
}

// keepEarlier keeps the earlier of two moments; zero is none.
func keepEarlier(t *time.Time, at time.Time) {
	if t.IsZero() || at.Before(*t) {
		*t = at
	}
}
