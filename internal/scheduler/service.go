package scheduler

import (
	"fmt"
	"slices"
	"time"

	"robinstack/internal/job"
)

// Service is what other controllers ask a placer.
type Service struct{ placer *Scheduler }

// NewService returns the net/rpc service of a placer.
func NewService(p *Scheduler) *Service { return &Service{placer: p} }

// CountsReply has the numbers of a job that are on display.
type CountsReply struct {
	Done, Running int
}

// Counts returns a job's finished and running tasks.
func (s *Service) Counts(id string, reply *CountsReply) error {
	reply.Done, reply.Running, _ = s.placer.Counts(id)
	return nil
}

// WaitingJob is a job with tasks that wait, and why they do.
type WaitingJob struct {
	Job   string  `json:"job"`
	Class string  `json:"class"`
	Team  string  `json:"team"`
	Tasks int     `json:"tasks_waiting"`
	AgeS  float64 `json:"age_s"`

	// Of a job in a pipeline: when it could start, since its submission, if it can; and
	// the rank and the time to its deadline that it is treated as having.
	ReadyS *float64 `json:"ready_s,omitempty"`
	Rank   string   `json:"treated_as_rank,omitempty"`
	LeftS  *float64 `json:"treated_as_left_s,omitempty"`

	Why string `json:"why"`
}

// Queue lists at most n waiting jobs, the oldest first.
func (s *Service) Queue(n int, reply *[]WaitingJob) error {
	p := s.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if w := j.waiting(); w > 0 && j.over == "" {
			item := WaitingJob{Job: j.spec.ID, Class: j.spec.Class, Team: j.spec.Team, Tasks: w, AgeS: time.Since(j.submitted).Seconds(), Why: p.why(j, w)}
			if j.as != j.spec {
				item.Rank = j.as.Rank
				if j.as.DeadlineS != nil {
					left := *j.as.DeadlineS - time.Since(j.from).Seconds()
					item.LeftS = &left
				}
			}
			if ready := j.from.Sub(j.submitted).Seconds(); len(j.spec.WaitsOn) > 0 && !j.waits {
				item.ReadyS = &ready
			}
			*reply = append(*reply, item)
		}
	}
	slices.SortFunc(*reply, func(a, b WaitingJob) int { return int(b.AgeS - a.AgeS) })
	*reply = (*reply)[:min(n, len(*reply))]
	return nil
}

func (p *Scheduler) why(j *jobState, waiting int) string {
	switch {
	case j.waits:
		return j.waitsFor()
	case !p.mayStart(j):
		return "its last placer has gone; machines are being checked for its tasks"
	case j.suspect:
		return fmt.Sprintf("it failed on every one of %d machines; tried again seldom, one task at a time", len(j.failedOn))
	case j.failures > 0 && time.Now().Before(j.nextTry):
		return "its tasks failed; trying elsewhere shortly"
	case j.spec.Shape == job.Gang && waiting < len(j.tasks):
		return "tasks of its last attempt are still on machines"
	case j.busy:
		return "being placed"
	case j.tries > 0 && p.settings.HasQuota(j.spec.Team):
		return "no machine with room, or its team is at its limit"
	case j.tries > 0:
		return "no machine with room"
	}
	return "in the queue"
}

// Counters returns the counters.
func (p *Scheduler) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// LeaderHost returns the steward's host, or "".
func (p *Scheduler) LeaderHost() string {
	host, _ := p.stewardHost()
	return host
}
