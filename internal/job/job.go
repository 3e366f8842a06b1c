// Package job describes jobs as users submit them and as the state service keeps them:
// specs, the records of unfinished jobs with their completed tasks, and the keys of all
// these.
//
// It holds no state and needs no guard: its types are values, except that TaskBitmap
// shares its words among copies and, like Record, is guarded by whoever owns it.
//
// It may import cloud, config and statekv. Tombstones, the records of finished jobs, are
// in package tombstone.
package job

import (
	"regexp"
	"strconv"
	"strings"
)

// Shapes of jobs: independent tasks, tasks that start together, and tasks that run until
// the job is cancelled.
const (
	Array   = "sweep"
	Gang    = "gang"
	Service = "standing"
)

// Statuses of jobs, as users see them.
const (
	Queued    = "queued"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"
)

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// LowestPriority is the priority that preempts nobody.
const LowestPriority = 0

// priorities orders the ranks; higher goes first.
var priorities = map[string]int{"production": 3, "high": 2, "normal": 1, "best_effort": LowestPriority}

// PriorityOfRank returns the priority of a rank; what is no rank comes last, with -1.
func PriorityOfRank(rank string) int {
	if priority, ok := priorities[rank]; ok {
		return priority
	}
	return -1
}

var idPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidID reports whether id has the form of a job id.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// TaskID names a task for the workers.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }

// SplitTaskID is the reverse of TaskID; ok is false where task is no task id.
func SplitTaskID(task string) (jobID string, index int, ok bool) {
	jobID, tail, found := strings.Cut(task, "/")
	index, err := strconv.Atoi(tail)
	return jobID, index, found && err == nil && index >= 0 && ValidID(jobID)
}
