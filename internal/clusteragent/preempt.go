package clusteragent

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/machine"
)

// preemptionHold is how long a machine stays reserved for the job that tasks were preempted
// for, beyond the time those need to save.
const preemptionHold = 10 * time.Second

// victims picks the tasks to stop so that the request's need fits on m: tasks
// of arrays of lower priority, those first that lose least. ok is false where
// that does not make enough capacity free. The cost is in GPU-seconds:
// of work lost, and of fetching the image where the machine does not have it.
func (a *Agent) victims(
	m *ownedMachine, r *agentapi.Request, now time.Time,
) (stop []*machine.Task, cost float64, ok bool) {
	t, known := a.types()[m.Type]
	hasImage := m.Images.Has(r.Spec.Image)
	if !known || r.Near && !hasImage || !startOverdue(r, t) || a.manyClaimsPending() {
		return nil, 0, false
	}
	if a.ineligible(m, r, now) != "" {
		return nil, 0, false
	}
	free, known := m.FreeCapacity(job.Capacity(t))
	if !known {
		return nil, 0, false
	}
	options, free := a.victimOptions(m, r, free, now)
	stop, free = pickVictims(options, &r.Spec, free)
	for _, t := range stop {
		cost += t.PreemptionLoss(now)
	}
	cost += a.latenessOf(stop, now)
	if !hasImage && t.FetchGBPerS > 0 {
		cost += r.Spec.ImageGB / t.FetchGBPerS * max(r.Spec.GPUs, 1)
	}
	return stop, cost, r.Spec.FitsIn(free)
}

// victimOptions lists the tasks that may be stopped for the request, the cheapest first, and
// returns what is free with those gone that are being stopped.
func (a *Agent) victimOptions(
	m *ownedMachine, r *agentapi.Request, free job.Resources, now time.Time,
) (options []*machine.Task, freeSoon job.Resources) {
	costs := map[*machine.Task]float64{}
	for _, t := range m.Tasks() {
		switch {
		case !t.Active():
		case t.StopRequested():
			free = free.AddScaled(t.Spec.Need, 1)
		case t.Spec.Shape == job.Array && t.Spec.Priority() < r.Spec.Priority() &&
			!a.protectedByFairShare(t, r, m, now):
			costs[t] = t.PreemptionLoss(now) + a.lateness(t, now)
		}
	}
	options = slices.SortedFunc(maps.Keys(costs), func(x, y *machine.Task) int {
		return cmp.Or(cmp.Compare(costs[x], costs[y]), cmp.Compare(x.ID, y.ID))
	})
	return options, free
}

// pickVictims picks as many of the options, in their order, as the spec needs to fit, and
// returns what is free without them.
func pickVictims(
	options []*machine.Task, spec *job.Spec, free job.Resources,
) (stop []*machine.Task, left job.Resources) {
	n := 0
	for ; n < len(options) && !spec.FitsIn(free); n++ {
		free = free.AddScaled(options[n].Spec.Need, 1)
	}
	// What was picked early may turn out not to be in the way: small tasks are
	// the cheapest to stop, and free the least.
	for k := n - 1; k >= 0; k-- {
		if without := free.AddScaled(options[k].Spec.Need, -1); spec.FitsIn(without) {
			free = without
			continue
		}
		stop = append(stop, options[k])
	}
	return stop, free
}

const (
	// minPendingClaims wait at any time in a large fleet, and one in pendingClaimsPart of
	// the machines.
	minPendingClaims  = 2
	pendingClaimsPart = 20
)

// manyClaimsPending reports whether many of the machines that report here wait to be written
// into a shard, as when a fleet begins: those will have capacity, and what is stopped for
// gangs on the few that are registered would be placed there again and stopped again. The
// mutex is held.
func (a *Agent) manyClaimsPending() bool {
	return len(a.claims.pending) > max(minPendingClaims, len(a.machines)/pendingClaimsPart)
}

// startOverdue reports whether a job that waits for capacity needs it made now to start
// by its service-level objective: with time left, gangs that end make it for nothing.
func startOverdue(r *agentapi.Request, t cloud.MachineType) bool {
	return r.Left <= preemptionTime(r, t)
}

// fetchAllowance is how much longer a fetch may take than the machine type says.
const fetchAllowance = 1.5

// preemptionTime is about how long it takes from a preemption on a machine until the
// job's tasks run there.
func preemptionTime(r *agentapi.Request, t cloud.MachineType) time.Duration {
	fetch := time.Duration(0)
	if t.FetchGBPerS > 0 {
		fetch = time.Duration(fetchAllowance * r.Spec.ImageGB / t.FetchGBPerS * float64(time.Second))
	}
	return fetch + 2*preemptionHold
}

// A job is done with its last task. Where a fifth of all tasks of arrays were stopped,
// spread over all jobs, nearly every job was late: with the GPU time that label-read had
// on kuopio-fleet's busy day another order could have kept 0.97 of its deadlines, and
// 0.35 were. So what is stopped is sought where few jobs become late by it.
const (
	// latenessCost is what a job that becomes late counts for, in GPU-seconds.
	latenessCost = 300.0
	// requeueTime is about how long a task that was stopped takes until it runs again, and
	// requeueTimeMax how long it takes at most: in a full fleet it waits for a place once
	// more.
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
func (a *Agent) lateness(t *machine.Task, now time.Time) float64 {
	rest := config.Seconds(t.Spec.EstimateS)
	if t.State() == machine.Running {
		rest = max(0, rest-now.Sub(t.RunningSince()))
	}
	deadlines := t.Deadlines(func(spec *job.Spec) []time.Duration {
		return a.settings.CompletionTargets(spec.Class, spec.DeadlineS)
	})
	for k, deadline := range deadlines {
		if slack := deadline - now.Sub(t.Submitted()) - rest; slack >= 0 {
			risk := min(1, max(0, (requeueTimeMax-slack).Seconds()/(requeueTimeMax-requeueTime).Seconds()))
			size := smallJobTasks / max(smallJobTasks, float64(t.Spec.Tasks))
			return risk * latenessCost / float64(k+1) * size
		}
	}
	return 0
}

// latenessOf is what the tasks' jobs may lose. A job is late with its last task: two of its
// tasks stopped are no worse than one.
func (a *Agent) latenessOf(tasks []*machine.Task, now time.Time) float64 {
	late := map[string]float64{}
	for _, t := range tasks {
		late[t.Ref.Job] = max(late[t.Ref.Job], a.lateness(t, now))
	}
	total := 0.0
	for _, l := range late {
		total += l
	}
	return total
}

// Clearable lists the machines on which stopping tasks of lower priority would
// make enough capacity free; the less that loses, the higher the score.
func (s *Service) Clearable(r agentapi.Request, reply *agentapi.SampleReply) error {
	a := s.agent
	now := time.Now()
	overdue := false
	for _, t := range a.types() {
		overdue = overdue || startOverdue(&r, t)
	}
	if !overdue {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	pool := a.shuffledMachines()
	wanted := sampleTarget(&r, len(pool))
	capacity := newCapacityCount(&r)
	var found []agentapi.Candidate
	for _, m := range pool {
		if len(found) >= wanted && capacity.enough() {
			break
		}
		if _, cost, ok := a.victims(m, &r, now); ok {
			capacity.add(m.Zone, 1)
			c := a.candidate(m, 1)
			c.Score = -cost
			found = append(found, c)
		}
	}
	reply.Candidates = bestCandidates(found, &r)
	return nil
}

// shuffledMachines returns the owned machines in random order. The mutex is held.
func (a *Agent) shuffledMachines() []*ownedMachine {
	pool := make([]*ownedMachine, 0, len(a.machines))
	for _, m := range a.machines {
		if !m.Deregistered() {
			pool = append(pool, m)
		}
	}
	shuffle(pool)
	return pool
}

// Clear preempts tasks of lower priority on a machine and reserves it for the job.
func (s *Service) Clear(r agentapi.CommitRequest, reply *agentapi.CommitReply) error {
	a := s.agent
	a.reserveMachine(&r, reply, func(m *ownedMachine, now time.Time) (hold time.Duration, ok bool) {
		return a.preempt(m, &r.Request, now)
	})
	return nil
}

// preempt has tasks stopped on m so that the request's need fits, and returns how long the
// machine is to be reserved for its job. The mutex is held.
func (a *Agent) preempt(m *ownedMachine, r *agentapi.Request, now time.Time) (hold time.Duration, ok bool) {
	stop, cost, ok := a.victims(m, r, now)
	if !ok {
		return 0, false
	}
	longest := time.Duration(0)
	for _, t := range stop {
		longest = max(longest, t.Preempt())
	}
	m.wake()
	if len(stop) > 0 {
		slog.Info("preempting tasks for gang", "machine", m.Name, "job", r.Spec.ID,
			"preempted", len(stop), "cost", cost)
	}
	return longest + preemptionHold, true
}
