package clusteragent

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// preemptionHold is how long a cleared machine stays reserved for the job it was
// cleared for, beyond the time its tasks need to save.
const preemptionHold = 10 * time.Second

// victims picks the tasks to stop so that the request's need fits on m: tasks
// of arrays of lower priority, those first that lose least. ok is false where
// that does not make room. The cost is in GPU-seconds:
// of work lost, and of fetching the image where the machine does not have it.
func (a *Agent) victims(m *machine, r *agentapi.Request, now time.Time) (stop []*task, cost float64, ok bool) {
	t, known := a.types()[m.typeName]
	if _, has := m.images[r.Spec.Image]; !known || r.Near && !has || !a.overdueForPreemption(r, t) || a.manyClaimsPending() || a.ineligible(m, r, now) != "" {
		return nil, 0, false
	}
	free, known := m.freeCapacity(job.Capacity(t))
	if !known {
		return nil, 0, false
	}
	type option struct {
		t    *task
		cost float64
	}
	var options []option
	for _, t := range m.tasks {
		switch {
		case !t.occupies() || t.state == stateReserved || t.state == agentapi.Starting:
		case t.stopRequested:
			free = free.AddScaled(t.spec.Need, 1)
		case t.spec.Shape == job.Array && t.spec.Priority() < r.Spec.Priority() && !a.protectedByFairShare(t, r, m, now):
			options = append(options, option{t, t.preemptionLoss(now) + a.lateness(t, now)})
		}
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.t.id, b.t.id))
	})
	n := 0
	for ; n < len(options) && !r.Spec.FitsIn(free); n++ {
		free = free.AddScaled(options[n].t.spec.Need, 1)
	}
	// What was picked early may turn out not to be in the way: small tasks are
	// the cheapest to stop, and make the least room.
	for k := n - 1; k >= 0; k-- {
		o := options[k]
		if without := free.AddScaled(o.t.spec.Need, -1); r.Spec.FitsIn(without) {
			free = without
			continue
		}
		stop = append(stop, o.t)
		cost += o.t.preemptionLoss(now)
	}
	// A job is late with its last task: two of its tasks stopped are no worse than one.
	late := map[string]float64{}
	for _, t := range stop {
		late[t.ref.Job] = max(late[t.ref.Job], a.lateness(t, now))
	}
	for _, l := range late {
		cost += l
	}
	if _, has := m.images[r.Spec.Image]; !has && t.FetchGBPerS > 0 {
		cost += r.Spec.ImageGB / t.FetchGBPerS * max(r.Spec.GPUs, 1)
	}
	return stop, cost, r.Spec.FitsIn(free)
}

// manyClaimsPending reports whether many of the machines that report here wait to be written into a
// shard, as when a fleet begins: those will have room, and what is stopped for gangs on the
// few that are registered would be placed there again and stopped again. The mutex is held.
func (a *Agent) manyClaimsPending() bool {
	return len(a.claimsPending) > max(minPendingClaims, len(a.machines)/pendingClaimsPart)
}

// So many claims wait at any time in a large fleet, and so large a part of the machines.
const (
	minPendingClaims  = 2
	pendingClaimsPart = 20
)

// overdueForPreemption reports whether a job that waits for room needs it made now to start
// by the users' aim: with time left, gangs that end make room for nothing.
func (a *Agent) overdueForPreemption(r *agentapi.Request, t cloud.MachineType) bool {
	return r.Left <= preemptionTime(r, t)
}

// preemptionTime is about how long it takes from room being made on a machine until the
// job's tasks run there.
func preemptionTime(r *agentapi.Request, t cloud.MachineType) time.Duration {
	fetch := time.Duration(0)
	if t.FetchGBPerS > 0 {
		fetch = time.Duration(1.5 * r.Spec.ImageGB / t.FetchGBPerS * float64(time.Second))
	}
	return fetch + 2*preemptionHold
}

// preemptionLoss is what stopping the task costs, in GPU-seconds.
func (t *task) preemptionLoss(now time.Time) float64 {
	lost := 0.0
	switch {
	case t.spec.CanCheckpoint():
		lost = t.spec.SaveS
	case t.state == worker.TaskRunning:
		lost = now.Sub(t.runningSince).Seconds()
	}
	return lost * max(t.spec.GPUs, 1)
}

// A job is done with its last task. Where a fifth of all tasks of arrays were stopped,
// spread over all jobs, nearly every job was late: with the GPU time that label-read had
// on kuopio-fleet's busy day another order could have kept 0.97 of its deadlines, and
// 0.35 were. So what is stopped is sought where few jobs become late by it.
const (
	// latenessCost is what a job that becomes late counts for, in GPU-seconds.
	latenessCost = 300.0
	// requeueTime is about how long a task that was stopped takes until it runs again, and
	// safe how long it takes at most: in a full fleet it waits for a place once more.
	requeueTime    = 50 * time.Second
	requeueTimeMax = 3 * requeueTime
	// smallJobTasks is the size of a job beyond which one task of it is worth less: the
	// more tasks a job has, the more likely it is that others are stopped too, by
	// owners that do not know of each other. All prefer the same jobs this way, and of
	// those that are spared there are more.
	smallJobTasks = 8.0
)

// lateness is what the task's job may lose by its being stopped: nothing if there is
// time enough to run it again, or if the job is too late for all limits already.
func (a *Agent) lateness(t *task, now time.Time) float64 {
	rest := config.Seconds(t.spec.EstimateS)
	if t.state == worker.TaskRunning {
		rest = max(0, rest-now.Sub(t.runningSince))
	}
	if t.sloLimits == nil {
		t.sloLimits = a.settings.CompletionTargets(t.spec.Class, t.spec.DeadlineS)
	}
	for k, limit := range t.sloLimits {
		if slack := limit - now.Sub(t.submittedAt) - rest; slack >= 0 {
			risk := min(1, max(0, (requeueTimeMax-slack).Seconds()/(requeueTimeMax-requeueTime).Seconds()))
			return risk * latenessCost / float64(k+1) * smallJobTasks / max(smallJobTasks, float64(t.spec.Tasks))
		}
	}
	return 0
}

// Clearable lists the machines on which stopping tasks of lower priority would
// make room; the less that loses, the higher the score.
func (s *Service) Clearable(r agentapi.Request, reply *agentapi.SampleReply) error {
	a := s.agent
	now := time.Now()
	hurries := false
	for _, t := range a.types() {
		hurries = hurries || a.overdueForPreemption(&r, t)
	}
	if !hurries {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	pool := a.shuffledMachines()
	wanted := sampleTarget(&r, len(pool))
	room := newCapacityCount(&r)
	var found []agentapi.Candidate
	for _, m := range pool {
		if len(found) >= wanted && room.enough() {
			break
		}
		if _, cost, ok := a.victims(m, &r, now); ok {
			room.add(m.zone, 1)
			found = append(found, agentapi.Candidate{Machine: m.name, Host: a.member.Host, Rev: m.ownershipRev, Zone: m.zone, Fits: 1, Score: -cost})
		}
	}
	reply.Candidates = bestCandidates(found, &r)
	return nil
}

// reservable returns the machine that a placer asks to have kept for a job, or nil where it
// or this owner is not the latest. The mutex is held.
func (a *Agent) reservable(r *agentapi.CommitRequest) *machine {
	m := a.machines[r.Machine]
	if m == nil || m.ownershipRev != r.Rev || !a.member.HoldsLease() || !a.isLatestEpoch(statekv.JobShardPrefix+r.Slot, r.Epoch) {
		return nil
	}
	return m
}

// Clear stops tasks of lower priority on a machine and keeps it for the job.
func (s *Service) Clear(r agentapi.CommitRequest, reply *agentapi.CommitReply) error {
	a := s.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Verdicts = []string{agentapi.Refused}
	m := a.reservable(&r)
	if m == nil {
		return nil
	}
	stop, cost, ok := a.victims(m, &r.Request, now)
	if !ok {
		return nil
	}
	longest := time.Duration(0)
	for _, t := range stop {
		t.stopRequested, t.stopGrace = true, 0
		if t.spec.CanCheckpoint() {
			t.stopGrace = t.spec.CheckpointDuration() + time.Second
		}
		longest = max(longest, t.stopGrace)
	}
	m.reserveFor(&r.Request, now, longest+preemptionHold)
	m.wake()
	reply.Verdicts[0] = agentapi.Held
	if len(stop) == 0 {
		return nil // only kept
	}
	slog.Info("preempting tasks for gang", "machine", m.name, "job", r.Spec.ID, "preempted", len(stop), "cost", cost)
	return nil
}
