package audit

import (
	"strings"
	"time"

	"robinstack/internal/logline"
)

// record evaluates a line, whose message and keys have their current names. Lines with other
// messages are ignored.
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
	case logline.TaskCommitted, logline.JobCompleted, logline.JobCancelled, logline.JobDependenciesSatisfied,
		logline.JobCancelledByDependency:
		l.recordJobEvent(at, message, fields)
	}
	return nil
}

func (l *Log) recordPrice(at time.Time, fields map[string]string) error {
	r := &numberReader{fields: fields}
	p := price{at, r.number("hourly"), r.number("spot")}
	capacity := r.resources()
	if r.err != nil {
		return r.err
	}
	typeName := fields["type"]
	l.capacity[typeName] = capacity
	l.prices[typeName] = append(l.prices[typeName], p)
	return nil
}

// machine returns the record of the named machine, and creates it if the machine is new.
func (l *Log) machine(name string) *machine {
	if l.machines[name] == nil {
		l.machines[name] = &machine{}
	}
	return l.machines[name]
}

// setPool sets the type, zone and spot flag of the machine.
func (m *machine) setPool(fields map[string]string) {
	m.typeName, m.zone, m.spot = fields["type"], fields["zone"], fields["spot"] == "true"
}

// parseList parses a list in the format of slog: [a b c].
func parseList(list string) []string { return strings.Fields(strings.Trim(list, "[]")) }

func (l *Log) recordScaleOut(at time.Time, fields map[string]string) {
	for _, name := range parseList(fields["machines"]) {
		m := l.machine(name)
		m.setPool(fields)
		m.scaledOutAt = at
	}
}

func (l *Log) recordScaleIn(at time.Time, fields map[string]string) {
	for _, name := range parseList(fields["machines"]) {
		if m := l.machine(name); m.scaledInAt.IsZero() {
			m.scaledInAt = at
		}
	}
}

func (l *Log) recordRegistration(at time.Time, fields map[string]string) {
	m := l.machine(fields["machine"])
	m.setPool(fields)
	setEarliest(&m.registeredAt, at)
}

func (l *Log) recordUnresponsive(at time.Time, fields map[string]string) error {
	r := &numberReader{fields: fields}
	l.machine(fields["machine"]).unresponsiveSince = at.Add(-r.seconds("duration_s"))
	return r.err
}

// recordTaskRun records an attempt that has ended on its machine or has been handed over to another
// owner.
func (l *Log) recordTaskRun(at time.Time, fields map[string]string) error {
	r := &numberReader{fields: fields}
	run := taskRun{job: jobIDOf(fields["task"]), end: at, resources: r.resources()}
	for phase, key := range phaseKeys {
		run.durations[phase] = r.seconds(key)
	}
	run.useful = usefulTime(
		run.durations[running], fields["cause"], fields["checkpointed"] == "true", r.seconds("checkpoint_interval_s"))
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

// Values of the cause key of logline.TaskFinished.
const (
	causeDone       = "done"
	causeHandedOver = "handed over" // the attempt continues under another owner of the machine
)

// usefulTime returns how much of an attempt's run time contributed to a result: all of it if the
// task completed, wrote a checkpoint when it was stopped, or continues under another owner;
// otherwise the time up to its last checkpoint. Checkpoints are written at multiples of interval; 0
// means none.
func usefulTime(run time.Duration, cause string, checkpointed bool, interval time.Duration) time.Duration {
	switch {
	case cause == causeDone || cause == causeHandedOver || checkpointed:
		return run
	case interval > 0:
		return run / interval * interval
	}
	return 0
}

// setEarliest sets t to at if t is zero or later than at.
func setEarliest(t *time.Time, at time.Time) {
	if t.IsZero() || at.Before(*t) {
		*t = at
	}
}
