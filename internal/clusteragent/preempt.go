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

// preemptionHold is how long a machine stays reserved for the preempting job after the preempted
// tasks have had their time to save.
const preemptionHold = 10 * time.Second

// findVictims selects the tasks to preempt so that one task of the request fits on m. Victims are
// tasks of job arrays of lower priority, those with the lowest cost first. ok is false if
// preemption is not allowed now or does not free enough capacity. cost is in GPU-seconds: the work
// lost, the expected lateness cost, and the time to fetch the image if the machine does not have
// it. The caller must hold a.mu.
func (a *Agent) findVictims(
	m *ownedMachine, r *agentapi.Request, now time.Time,
) (victims []*machine.Task, cost float64, ok bool) {
	machineType, known := a.types()[m.Type]
	hasImage := m.Images.Has(r.Spec.Image)
	if !known || r.Near && !hasImage || !startOverdue(r, machineType) || a.manyClaimsPending() {
		return nil, 0, false
	}
	if a.ineligibleReason(m, r, now) != "" {
		return nil, 0, false
	}
	free, known := m.FreeCapacity(job.Capacity(machineType))
	if !known {
		return nil, 0, false
	}
	options, free := a.potentialVictims(m, r, free, now)
	victims, free = selectVictims(options, &r.Spec, free)
	for _, task := range victims {
		cost += task.PreemptionLoss(now)
	}
	cost += a.totalLatenessCost(victims, now)
	if !hasImage && machineType.FetchGBPerS > 0 {
		cost += r.Spec.ImageGB / machineType.FetchGBPerS * max(r.Spec.GPUs, 1)
	}
	return victims, cost, r.Spec.FitsIn(free)
}

// potentialVictims returns the tasks on m that may be preempted for the request, the cheapest
// first, and the free capacity of m once the tasks that are already being stopped have ended.
func (a *Agent) potentialVictims(
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
			costs[t] = t.PreemptionLoss(now) + a.expectedLatenessCost(t, now)
		}
	}
	options = slices.SortedFunc(maps.Keys(costs), func(x, y *machine.Task) int {
		return cmp.Or(cmp.Compare(costs[x], costs[y]), cmp.Compare(x.ID, y.ID))
	})
	return options, free
}

// selectVictims selects from options, in order, as many tasks as have to be preempted for one task
// of spec to fit, and returns the capacity that is free once the victims have ended.
func selectVictims(
	options []*machine.Task, spec *job.Spec, free job.Resources,
) (victims []*machine.Task, remaining job.Resources) {
	n := 0
	for ; n < len(options) && !spec.FitsIn(free); n++ {
		free = free.AddScaled(options[n].Spec.Need, 1)
	}
	// Spare victims that turn out to be unnecessary: small tasks are the cheapest to stop, so they
	// are selected first, but free the least capacity.
	for k := n - 1; k >= 0; k-- {
		if without := free.AddScaled(options[k].Spec.Need, -1); spec.FitsIn(without) {
			free = without
			continue
		}
		victims = append(victims, options[k])
	}
	return victims, free
}

const (
	// Preemption is suspended while the number of pending claims exceeds both minPendingClaims and
	// one per pendingClaimsDivisor owned machines. In a large cluster a few are always pending.
	minPendingClaims     = 2
	pendingClaimsDivisor = 20
)

// manyClaimsPending reports whether many of the machines that report to this controller wait to be
// claimed, as when a cluster starts. These machines will soon provide capacity; tasks preempted now
// would be placed again on the few machines that are registered already and be preempted again. The
// caller must hold a.mu.
func (a *Agent) manyClaimsPending() bool {
	return len(a.claims.pending) > max(minPendingClaims, len(a.machines)/pendingClaimsDivisor)
}

// startOverdue reports whether capacity for the job has to be freed now for it to meet its start
// deadline. If there is time left, gangs that finish free the capacity without any loss of work.
func startOverdue(r *agentapi.Request, t cloud.MachineType) bool {
	return r.Left <= preemptionTime(r, t)
}

// fetchTimeFactor allows for image fetches that are slower than the rate of the machine type.
const fetchTimeFactor = 1.5

// preemptionTime estimates the time from a preemption on a machine until the job's tasks run there.
func preemptionTime(r *agentapi.Request, t cloud.MachineType) time.Duration {
	fetchTime := time.Duration(0)
	if t.FetchGBPerS > 0 {
		fetchTime = time.Duration(fetchTimeFactor * r.Spec.ImageGB / t.FetchGBPerS * float64(time.Second))
	}
	return fetchTime + 2*preemptionHold
}

// A job finishes with its last task, so preemption selects victims such that few jobs become late.
// When a fifth of all tasks of job arrays were preempted, spread over all jobs, nearly every job
// was late: on the busy day of the kuopio-fleet workload, the class label-read met 0.35 of its
// deadlines, although its GPU time would have sufficed for 0.97 in another order.
const (
	// latenessPenalty is the cost of a job becoming late, in GPU-seconds.
	latenessPenalty = 300.0
	// typicalRequeueTime is the usual time until a preempted task runs again. maxRequeueTime is an
	// upper estimate, for a full cluster in which the task has to wait for capacity again.
	typicalRequeueTime = 50 * time.Second
	maxRequeueTime     = 3 * typicalRequeueTime
	// smallJobTasks is the number of tasks of a job above which the cost of preempting one of them
	// decreases. The more tasks a job has, the more likely it is that other owners, which decide
	// independently, preempt some of them too. With this weight all owners prefer the same jobs,
	// and more jobs are spared.
	smallJobTasks = 8.0
)

// expectedLatenessCost returns the expected lateness cost, in GPU-seconds, of preempting a task. It
// is 0 if there is enough time to run the task again, or if the job has already missed all its
// targets.
func (a *Agent) expectedLatenessCost(t *machine.Task, now time.Time) float64 {
	remaining := config.Seconds(t.Spec.EstimateS)
	if t.State() == machine.Running {
		remaining = max(0, remaining-now.Sub(t.RunningSince()))
	}
	deadlines := t.Deadlines(func(spec *job.Spec) []time.Duration {
		return a.settings.CompletionTargets(spec.Class, spec.DeadlineS)
	})
	for missedTargets, deadline := range deadlines {
		if slack := deadline - now.Sub(t.ReadyOrSubmittedAt()) - remaining; slack >= 0 {
			risk := min(1, max(0, (maxRequeueTime-slack).Seconds()/(maxRequeueTime-typicalRequeueTime).Seconds()))
			sizeFactor := smallJobTasks / max(smallJobTasks, float64(t.Spec.Tasks))
			return risk * latenessPenalty / float64(missedTargets+1) * sizeFactor
		}
	}
	return 0
}

// totalLatenessCost returns the expected lateness cost of preempting the tasks. It counts each job
// once, with its most expensive task: a job finishes with its last task, so preempting two of its
// tasks makes it no later than preempting one.
func (a *Agent) totalLatenessCost(tasks []*machine.Task, now time.Time) float64 {
	costByJob := map[string]float64{}
	for _, t := range tasks {
		costByJob[t.Ref.Job] = max(costByJob[t.Ref.Job], a.expectedLatenessCost(t, now))
	}
	total := 0.0
	for _, cost := range costByJob {
		total += cost
	}
	return total
}

// Clearable lists the machines on which preempting tasks of lower priority would free enough
// capacity for a task of the request. The score is the negative cost of the preemption.
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
	machines := a.shuffledMachines()
	target := sampleTarget(&r, len(machines))
	foundCapacity := newCapacityCount(&r)
	var found []agentapi.Candidate
	for _, m := range machines {
		if len(found) >= target && foundCapacity.sufficient() {
			break
		}
		if _, cost, ok := a.findVictims(m, &r, now); ok {
			foundCapacity.add(m.Zone, 1)
			c := a.candidate(m, 1)
			c.Score = -cost
			found = append(found, c)
		}
	}
	reply.Candidates = bestCandidates(found, &r)
	return nil
}

// shuffledMachines returns the owned machines in random order. The caller must hold a.mu.
func (a *Agent) shuffledMachines() []*ownedMachine {
	machines := make([]*ownedMachine, 0, len(a.machines))
	for _, m := range a.machines {
		if !m.Deregistered() {
			machines = append(machines, m)
		}
	}
	shuffle(machines)
	return machines
}

// Clear preempts tasks of lower priority on a machine and reserves the machine for the request's
// job.
func (s *Service) Clear(r agentapi.CommitRequest, reply *agentapi.CommitReply) error {
	a := s.agent
	a.reserveMachine(&r, reply, func(m *ownedMachine, now time.Time) (hold time.Duration, ok bool) {
		return a.preempt(m, &r.Request, now)
	})
	return nil
}

// preempt stops tasks on m so that the request's need fits, and returns how long the machine has to
// be reserved for the job. The caller must hold a.mu.
func (a *Agent) preempt(m *ownedMachine, r *agentapi.Request, now time.Time) (hold time.Duration, ok bool) {
	victims, cost, ok := a.findVictims(m, r, now)
	if !ok {
		return 0, false
	}
	longestGrace := time.Duration(0)
	for _, t := range victims {
		longestGrace = max(longestGrace, t.Preempt())
	}
	m.wakeSender()
	if len(victims) > 0 {
		slog.Info("preempting tasks for gang", "machine", m.Name, "job", r.Spec.ID,
			"preempted", len(victims), "cost", cost)
	}
	return longestGrace + preemptionHold, true
}
