package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// Service is the net/rpc service that other controllers call, registered as "Placer". The
// names of its methods and of the fields of its messages are the wire format (gob).
type Service struct{ scheduler *Scheduler }

// NewService returns the net/rpc service of a scheduler.
func NewService(scheduler *Scheduler) *Service { return &Service{scheduler: scheduler} }

// CountsReply has the numbers of a job that users are shown.
type CountsReply struct {
	Done, Running int
}

// Counts returns a job's finished and running tasks.
func (s *Service) Counts(id string, reply *CountsReply) error {
	reply.Done, reply.Running, _ = s.scheduler.Counts(id)
	return nil
}

// WaitingJob is a job with tasks that wait, and why they do.
type WaitingJob struct {
	Job   string  `json:"job"`
	Class string  `json:"class"`
	Team  string  `json:"team"`
	Tasks int     `json:"tasks_waiting"`
	AgeS  float64 `json:"age_s"`

	// Of a job with dependencies: when it could start, since its submission, if it can;
	// and the rank and the time to its deadline that it is treated as having.
	ReadyS *float64 `json:"ready_s,omitempty"`
	Rank   string   `json:"treated_as_rank,omitempty"`
	LeftS  *float64 `json:"treated_as_left_s,omitempty"`

	Why string `json:"why"`
}

// Queue lists at most n waiting jobs, the oldest first.
func (s *Service) Queue(n int, reply *[]WaitingJob) error {
	waiting := append(*reply, s.scheduler.waitingJobs()...)
	slices.SortFunc(waiting, func(a, b WaitingJob) int { return int(b.AgeS - a.AgeS) })
	*reply = waiting[:min(n, len(waiting))]
	return nil
}

// Counts returns a job's finished and running tasks, if it is in a job shard held here.
func (s *Scheduler) Counts(id string) (done, running int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.doneCount, j.countRunning(), true
}

// waitingJobs lists the unfinished jobs with tasks that wait, in no order.
func (s *Scheduler) waitingJobs() []WaitingJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []WaitingJob
	for _, j := range s.jobs {
		if waiting := j.countWaiting(); waiting > 0 && !j.isFinished() {
			list = append(list, s.describeWaiting(j, waiting))
		}
	}
	return list
}

// describeWaiting describes a job of which so many tasks wait. The mutex is held.
func (s *Scheduler) describeWaiting(j *jobState, waiting int) WaitingJob {
	described := WaitingJob{
		Job:   j.spec.ID,
		Class: j.spec.Class,
		Team:  j.spec.Team,
		Tasks: waiting,
		AgeS:  time.Since(j.submittedAt).Seconds(),
		Why:   s.whyWaiting(j, waiting),
	}
	if j.effective != j.spec {
		described.Rank = j.effective.Rank
		if j.effective.DeadlineS != nil {
			left := *j.effective.DeadlineS - time.Since(j.readyAt).Seconds()
			described.LeftS = &left
		}
	}
	if len(j.spec.WaitsOn) > 0 && j.phase != jobBlocked {
		ready := j.readyAt.Sub(j.submittedAt).Seconds()
		described.ReadyS = &ready
	}
	return described
}

// whyWaiting says why tasks of a job wait. The mutex is held.
func (s *Scheduler) whyWaiting(j *jobState, waiting int) string {
	switch {
	case j.phase == jobBlocked:
		return j.describeDependencies()
	case !s.mayPlace(j):
		return "its last placer has gone; machines are being checked for its tasks"
	case j.failures.jobAtFault:
		return fmt.Sprintf("it failed on every one of %d machines; tried again seldom, one task at a time",
			len(j.failures.failedOn))
	case j.failures.consecutive > 0 && time.Now().Before(j.nextTry):
		return "its tasks failed; trying elsewhere shortly"
	case j.isGang() && waiting < len(j.tasks):
		return "tasks of its last attempt are still on machines"
	case j.placing:
		return "being placed"
	case j.tries > 0 && s.settings.HasQuota(j.spec.Team):
		return "no machine with room, or its team is at its limit"
	case j.tries > 0:
		return "no machine with room"
	}
	return "in the queue"
}
