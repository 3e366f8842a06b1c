// Package job defines jobs as users submit them and as the state service stores them: the spec of a
// job, the record of an unfinished job with its completed tasks, and the keys under which these are
// stored.
//
// The package holds no state. Its types are plain values. Two of them have to be guarded by their
// owner: a TaskBitmap shares its words with its copies, and a Record is changed in place.
//
// The package may import cloud, config and statekv. Tombstones, the records of finished jobs, are
// in package tombstone.
package job

import (
	"regexp"
	"strconv"
	"strings"
)

// Shapes of jobs. The tasks of an array are independent, the tasks of a gang start together, and
// the tasks of a service run until the job is cancelled.
const (
	Array   = "sweep"
	Gang    = "gang"
	Service = "standing"
)

// Statuses of jobs, as reported to users.
const (
	Queued    = "queued"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"
)

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// LowestPriority is the priority of jobs that never preempt other jobs.
const LowestPriority = 0

// priorityByRank maps ranks to priorities. Jobs with a higher priority are scheduled first.
var priorityByRank = map[string]int{"production": 3, "high": 2, "normal": 1, "best_effort": LowestPriority}

// PriorityOfRank returns the priority of a rank. An unknown rank has priority -1, below all others.
func PriorityOfRank(rank string) int {
	if priority, ok := priorityByRank[rank]; ok {
		return priority
	}
	return -1
}

var idPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidID reports whether id has the form of a job id.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// TaskID returns the id under which workers know a task.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }

// SplitTaskID splits a task id into the job id and the task index. ok reports whether taskID is a
// valid task id.
func SplitTaskID(taskID string) (jobID string, index int, ok bool) {
	jobID, suffix, found := strings.Cut(taskID, "/")
	index, err := strconv.Atoi(suffix)
	return jobID, index, found && err == nil && index >= 0 && ValidID(jobID)
}
