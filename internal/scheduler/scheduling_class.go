package scheduler

import (
	"time"

	"robinstack/internal/job"
)

// scarceDuration is how long capacity counts as scarce after a sample that exhausted all machines.
const scarceDuration = 2 * time.Second

// classKey identifies the jobs with the same requirements on machines. When one of them finds no
// capacity, the others need not try until the pause of their scheduling class ends.
type classKey struct {
	need    job.Resources
	spot    bool
	oneZone bool
	tasks   int // number of tasks of a gang; 0 for other shapes
	zone    string
	team    string
}

// schedulingClass is the state shared by all jobs with the same key. While capacity is scarce,
// arrays of a class are placed one after another, and all its jobs pause together. Concurrent
// placements would give each job a part of the capacity that comes free; since a job finishes only
// with its last task, few jobs would finish in time.
type schedulingClass struct {
	pausedUntil      time.Time // end of the pause of all jobs of the class after one of them found no capacity
	scarceUntil      time.Time // capacity counts as scarce until then
	activePlacements int       // placements in progress
}

// classKeyOf returns the key of the job's scheduling class.
func classKeyOf(spec *job.Spec) classKey {
	need := spec.Need
	if need.GPUs > 0 {
		need.CPUs, need.MemoryGB = 0, 0 // GPUs are the scarce resource of jobs that use them
	}
	key := classKey{need: need, spot: spec.Spot, oneZone: spec.OneZone, team: spec.Team}
	if spec.Shape == job.Gang {
		key.tasks = spec.Tasks
	}
	if spec.Zone != nil {
		key.zone = *spec.Zone
	}
	return key
}

// classFor returns the scheduling class of the job and creates it if necessary. The caller must
// hold s.mu.
func (s *Scheduler) classFor(spec *job.Spec) *schedulingClass {
	key := classKeyOf(spec)
	if s.classes[key] == nil {
		s.classes[key] = &schedulingClass{}
	}
	return s.classes[key]
}

// dropUnusedClasses deletes the scheduling classes that no job uses.
func (s *Scheduler) dropUnusedClasses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.classes)
	for _, j := range s.jobs {
		s.classes[classKeyOf(j.spec)] = j.class
	}
}

// waitsForClass reports whether an array has to wait because another job of its class is being
// placed while capacity is scarce.
func (j *jobState) waitsForClass(now time.Time) bool {
	return j.spec.Shape == job.Array && j.class.activePlacements > 0 && now.Before(j.class.scarceUntil)
}
