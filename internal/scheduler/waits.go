package scheduler

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"robinstack/internal/dag"
	"robinstack/internal/job"
	"robinstack/internal/logline"
)

// lookAgain is how often the jobs that wait for others are looked at although nothing
// was heard: a final record that could not be read is asked for again.
const lookAgain = time.Second

// lookAtWaits takes up what has become of the jobs that wait for others, and how urgent
// those are that others wait for. The mutex is held.
func (p *Scheduler) lookAtWaits(now time.Time) {
	changes := p.pipes.Generation()
	if changes == p.looked && now.Sub(p.lookedAt) < lookAgain {
		return
	}
	p.looked, p.lookedAt = changes, now
	for id, j := range p.jobs {
		if j.over != "" {
			continue
		}
		if j.waits {
			p.follow(id, j, now)
		}
		// Also when nobody needs it any more: the one that did was cancelled.
		if u, _ := p.pipes.Urgency(id); u != j.urgency {
			p.treatAs(j, u)
		}
	}
}

// follow takes up the verdict on a job that waits for others.
func (p *Scheduler) follow(id string, j *jobState, now time.Time) {
	v, known := p.pipes.Evaluate(id)
	if !known {
		return // its record has not been seen yet
	}
	j.verdict = v
	switch v.State {
	case dag.Ready:
		j.waits = false
		if j.from = v.ReadySince; j.from.IsZero() || j.from.After(now) {
			j.from = now
		}
		if j.from.Before(j.submitted) {
			j.from = j.submitted
		}
		p.treatAs(j, j.urgency)
		slog.Info(logline.JobReady, "job", id, "elapsed", j.from.Sub(j.submitted).Round(time.Millisecond))
	case dag.Cancelled:
		// Nothing of it has ever run: what it waits for cannot become done any more.
		j.over = job.Cancelled
		slog.Info(logline.JobWithdrawn, "job", id, "dependency", v.CancelledBy)
	}
}

// treatAs sets the rank and the deadline that the job is treated as having: its own or,
// where that is more urgent, what those that need it hand to it. Its deadline counts
// from when it could start, as its age does.
func (p *Scheduler) treatAs(j *jobState, u dag.Urgency) {
	j.urgency = u
	as := *j.spec
	if job.PriorityOfRank(u.Rank) > as.Priority() {
		as.Rank = u.Rank
	}
	due := u.Deadline
	if own := j.submitted.Add(as.RelativeDeadline()); as.DeadlineS != nil && (due.IsZero() || own.Before(due)) {
		due = own
	}
	if !due.IsZero() {
		left := due.Sub(j.from).Seconds()
		as.DeadlineS = &left
	}
	j.as = &as
	j.limits = p.settings.CompletionTargets(as.Class, as.DeadlineS)
}

// mostShown bounds the jobs that the status names for one that waits for them.
const mostShown = 5

func (j *jobState) waitsFor() string {
	names := slices.Concat(j.verdict.WaitingOn, j.verdict.MissingTombstones, j.verdict.DamagedTombstones)
	if len(names) == 0 {
		return "waits for others; its record is being read"
	}
	more := ""
	if len(names) > mostShown {
		more = fmt.Sprintf(" and %d more", len(names)-mostShown)
		names = names[:mostShown]
	}
	return "waits for " + strings.Join(names, ", ") + more
}
