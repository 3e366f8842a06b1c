package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// Service is the net/rpc service of a scheduler, registered as "Placer". The names of its methods
// and of the fields of its messages are the wire format (gob).
type Service struct{ scheduler *Scheduler }

// NewService returns the net/rpc service of a scheduler.
func NewService(scheduler *Scheduler) *Service { return &Service{scheduler: scheduler} }

// CountsReply has the task counts of a job that are shown to users.
type CountsReply struct {
	Done, Running int
}

// Counts returns the numbers of completed and running tasks of a job.
func (s *Service) Counts(id string, reply *CountsReply) error {
	reply.Done, reply.Running, _ = s.scheduler.Counts(id)
	return nil
}

// WaitingJob describes a job with pending tasks and the reason why they wait.
type WaitingJob struct {
	Job   string  `json:"job"`
	Class string  `json:"class"`
	Team  string  `json:"team"`
	Tasks int     `json:"tasks_waiting"`
	AgeS  float64 `json:"age_s"`

	// ReadyS is set for a runnable job with dependencies: the time from its submission until it
	// became ready. Rank and LeftS are set where dependencies between jobs affect the urgency of
	// the job: its effective rank and the time left until its effective deadline.
	ReadyS *float64 `json:"ready_s,omitempty"`
	Rank   string   `json:"treated_as_rank,omitempty"`
	LeftS  *float64 `json:"treated_as_left_s,omitempty"`

	Why string `json:"why"`
}

// Queue lists at most n waiting jobs, oldest first.
func (s *Service) Queue(n int, reply *[]WaitingJob) error {
	jobs := append(*reply, s.scheduler.waitingJobs()...)
	slices.SortFunc(jobs, func(a, b WaitingJob) int { return int(b.AgeS - a.AgeS) })
	*reply = jobs[:min(n, len(jobs))]
	return nil
}

// Counts returns the numbers of completed and running tasks of a job. ok is false if the job is in
// no job shard of this controller.
func (s *Scheduler) Counts(id string) (done, running int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.doneCount, j.countRunning(), true
}

// waitingJobs lists the unfinished jobs with pending tasks, in no particular order.
func (s *Scheduler) waitingJobs() []WaitingJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []WaitingJob
	for _, j := range s.jobs {
		if pending := j.countPending(); pending > 0 && !j.isFinished() {
			list = append(list, s.describeWaiting(j, pending))
		}
	}
	return list
}

// describeWaiting describes a job with the given number of pending tasks. The caller must hold
// s.mu.
func (s *Scheduler) describeWaiting(j *jobState, pending int) WaitingJob {
	result := WaitingJob{
		Job:   j.spec.ID,
		Class: j.spec.Class,
		Team:  j.spec.Team,
		Tasks: pending,
		AgeS:  time.Since(j.submittedAt).Seconds(),
		Why:   s.waitReason(j, pending),
	}
	if j.effective != j.spec {
		result.Rank = j.effective.Rank
		if j.effective.DeadlineS != nil {
			remaining := *j.effective.DeadlineS - time.Since(j.readyAt).Seconds()
			result.LeftS = &remaining
		}
	}
	if len(j.spec.WaitsOn) > 0 && j.phase != jobBlocked {
		ready := j.readyAt.Sub(j.submittedAt).Seconds()
		result.ReadyS = &ready
	}
	return result
}

// waitReason returns the reason why the pending tasks of a job wait. The caller must hold s.mu.
func (s *Scheduler) waitReason(j *jobState, pending int) string {
	switch {
	case j.phase == jobBlocked:
		return j.describeDependencies()
	case !s.canPlace(j):
		return "its last placer has gone; machines are being checked for its tasks"
	case j.failures.jobAtFault:
		return fmt.Sprintf("it failed on every one of %d machines; tried again seldom, one task at a time",
			len(j.failures.failedOn))
	case j.failures.consecutive > 0 && time.Now().Before(j.nextPlacementAt):
		return "its tasks failed; trying elsewhere shortly"
	case j.isGang() && pending < len(j.tasks):
		return "tasks of its last attempt are still on machines"
	case j.placing:
		return "being placed"
	case j.failedPlacements > 0 && s.settings.HasQuota(j.spec.Team):
		return "no machine with room, or its team is at its limit"
	case j.failedPlacements > 0:
		return "no machine with room"
	}
	return "in the queue"
}
