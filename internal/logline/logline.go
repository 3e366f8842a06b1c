// Package logline holds the one table of log messages: their names in the former
// version, their names now, and the attribute keys that were renamed with them. It
// keeps no state and imports nothing of the module, so that any package may import it.
//
// Messages that a program reads are constants, used by the writer and the reader
// alike, so that the two cannot drift. All other messages are literals where they
// are written; the tests of this package compare them with the table.
package logline

import "maps"

// Messages that package audit reads.
const (
	// JobAccepted: a submission was stored and acknowledged.
	JobAccepted = "job accepted"
	// JobCancelled: a user cancelled the job.
	JobCancelled = "job cancelled"
	// JobReady: all dependencies of a job completed.
	JobReady = "job dependencies satisfied"
	// JobWithdrawn: a dependency of the job was cancelled, and the job with it.
	JobWithdrawn = "job cancelled by dependency"
	// JobCompleted: all tasks of a job completed.
	JobCompleted = "job completed"
	// TaskCommitted: a task was bound to a machine, with the result of the commit.
	TaskCommitted = "task committed"
	// MachineRegistered: a machine sent its first heartbeat.
	MachineRegistered = "machine registered"
	// MachineUnresponsive: heartbeats of a machine stopped.
	MachineUnresponsive = "machine unresponsive"
	// TaskFinished: a task is not on its machine any more, with the time of each phase.
	TaskFinished = "task finished on machine"
	// MachineTypePrice: the price and capacity of a machine type.
	MachineTypePrice = "machine type price"
	// ScaledOut: the cloud granted machines.
	ScaledOut = "scaled out"
	// ScaledIn: machines were deleted in the cloud.
	ScaledIn = "scaled in"
)

var byOldMessage = indexByOldMessage()

func indexByOldMessage() map[string]Rename {
	index := make(map[string]Rename, len(Renames))
	for _, rename := range Renames {
		index[rename.Old] = rename
	}
	return index
}

// Current returns the message and the attributes of a decoded line under their
// current names, whether the former version wrote the line or this one. It is
// idempotent, keeps values as they are, and does not change the given map.
func Current(message string, attributes map[string]string) (string, map[string]string) {
	rename, known := byOldMessage[message]
	if !known {
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
