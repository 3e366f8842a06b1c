// Package logline holds the table of all log messages. For each message it has the name in the
// former version of the program, the current name, and the attribute keys that were renamed. The
// package keeps no state and imports nothing of the module, so any package may import it.
//
// Messages that a program reads are constants, which the writer and the reader share, so that the
// two cannot diverge. All other messages are literals in the calls that log them; the tests of this
// package compare them with the table.
package logline

import "maps"

// Messages that package audit reads from the log.
const (
	// JobAccepted: a submission was stored and acknowledged.
	JobAccepted = "job accepted"
	// JobCancelled: a user cancelled the job.
	JobCancelled = "job cancelled"
	// JobDependenciesSatisfied: all dependencies of a job completed.
	JobDependenciesSatisfied = "job dependencies satisfied"
	// JobCancelledByDependency: the job was cancelled because one of its dependencies was.
	JobCancelledByDependency = "job cancelled by dependency"
	// JobCompleted: all tasks of a job completed.
	JobCompleted = "job completed"
	// TaskCommitted: a task was committed to a machine; the line has the result of the commit.
	TaskCommitted = "task committed"
	// MachineRegistered: a machine sent its first heartbeat.
	MachineRegistered = "machine registered"
	// MachineUnresponsive: a machine stopped sending heartbeats.
	MachineUnresponsive = "machine unresponsive"
	// TaskFinished: a task left its machine or its owner lost the machine; the line has the time of
	// each phase.
	TaskFinished = "task finished on machine"
	// TaskStartsSent: the owner of a machine sent its worker a message that starts tasks; the line lists
	// them as task:attempt.
	TaskStartsSent = "task starts sent"
	// InvariantViolated: a condition that the code relies on does not hold.
	InvariantViolated = "invariant violated"
	// MachineTypePrice: the price and capacity of a machine type.
	MachineTypePrice = "machine type price"
	// ScaledOut: the cloud granted machines.
	ScaledOut = "scaled out"
	// ScaledIn: machines were deleted in the cloud.
	ScaledIn = "scaled in"
)

var byFormerMessage = indexByFormerMessage()

func indexByFormerMessage() map[string]Rename {
	index := make(map[string]Rename, len(Renames))
	for _, rename := range Renames {
		index[rename.Old] = rename
	}
	return index
}

// Current returns the message and the attributes of a decoded log line under their current names,
// whether the former or the current version wrote the line. It is idempotent, keeps all values, and
// does not change the given map.
func Current(message string, attributes map[string]string) (string, map[string]string) {
	rename, found := byFormerMessage[message]
	if !found {
		return message, attributes
	}
	renamed := maps.Clone(attributes)
	for oldKey, newKey := range rename.Keys {
		value, present := attributes[oldKey]
		if !present {
			continue
		}
		delete(renamed, oldKey)
		renamed[newKey] = value
	}
	return rename.New, renamed
}
