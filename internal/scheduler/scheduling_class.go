package scheduler

import (
	"time"

	"robinstack/internal/job"
)

// scarceDuration is for how long capacity counts as scarce after a sample that saw all
// machines.
const scarceDuration = 2 * time.Second

// classKey stands for what a job asks of machines: if one such found no capacity, those
// behind it in the queue that ask for the same need not try just now.
type classKey struct {
	need    job.Resources
	spot    bool
	oneZone bool
	tasks   int // of a gang
	zone    string
	team    string
}

// schedulingClass is shared by all jobs with the same key. While capacity for it is scarce
// they are placed one after the other and pause together: side by side all would get some
// of what comes free, and as a job is done with its last task, few would be done in time.
type schedulingClass struct {
	fullUntil   time.Time // none of them found capacity
	scarceUntil time.Time // a sample saw all machines lately
	placements  int       // at work
}

// classKeyOf returns the key of a job's class.
func classKeyOf(spec *job.Spec) classKey {
	need := spec.Need
	if need.GPUs > 0 {
		need.CPUs, need.MemoryGB = 0, 0 // GPUs are what runs out
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

// classFor returns the class of a job's tasks. The mutex is held.
func (s *Scheduler) classFor(spec *job.Spec) *schedulingClass {
	key := classKeyOf(spec)
	if s.classes[key] == nil {
		s.classes[key] = &schedulingClass{}
	}
	return s.classes[key]
}

// dropUnusedClasses forgets the classes that no job has any more.
func (s *Scheduler) dropUnusedClasses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.classes)
	for _, j := range s.jobs {
		s.classes[classKeyOf(j.spec)] = j.class
	}
}

// waitsForClass reports whether an array has to wait until another job of its class is
// placed.
func (j *jobState) waitsForClass(now time.Time) bool {
	return j.spec.Shape == job.Array && j.class.placements > 0 && now.Before(j.class.scarceUntil)
}
