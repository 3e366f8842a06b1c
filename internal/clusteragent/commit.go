package clusteragent

import (
	"context"
	"fmt"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/machine"
	"robinstack/internal/statekv"
)

const (
	// gangReservationTimeout bounds how long capacity is reserved for a gang that is being
	// assembled.
	gangReservationTimeout = 10 * time.Second
	// startTimeout bounds how long a commit waits for heartbeats to list its tasks.
	startTimeout = 3 * time.Second
)

// Commit checks a commit against the latest state and the reservations of the machine, reserves
// capacity for its tasks and sends the start commands (the commit pipeline of the Vela paper).
func (s *Service) Commit(r agentapi.CommitRequest, reply *agentapi.CommitReply) error {
	reply.Verdicts = make([]string, len(r.Refs))
	starts := make([]<-chan string, len(r.Refs)) // nil for tasks that are not being started
	ctx := s.agent.reserveAndStart(&r, reply, starts)
	awaitStarts(ctx, starts, reply.Verdicts)
	return nil
}

// reserveAndStart checks a commit, reserves capacity for its tasks and has them started. It fills
// in the reply except for the results of the starts: these arrive on the channels that it stores in
// starts. It returns the context that bounds the wait for them.
func (a *Agent) reserveAndStart(
	r *agentapi.CommitRequest, reply *agentapi.CommitReply, starts []<-chan string,
) context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	m := a.machines[r.Machine]
	if reply.Why = a.commitConflict(m, r, now); reply.Why != "" {
		a.counters.Conflicts++
		for i := range r.Refs {
			reply.Verdicts[i] = a.refuse(r, r.Refs[i])
		}
		return a.ctx
	}
	a.counters.Commits++
	startQueued := false
	for i, ref := range r.Refs {
		t, why := a.reserveTask(m, r, ref, now)
		switch {
		case t == nil:
			reply.Why, reply.Verdicts[i] = why, a.refuse(r, ref)
		case t.State() != machine.Reserved:
			// The request was repeated: the machine's entry shows the outcome.
			reply.Verdicts[i] = agentapi.Unresolved
		case r.Hold:
			t.SetReservationExpiry(now.Add(gangReservationTimeout))
			reply.Verdicts[i] = agentapi.Held
		default:
			a.decided.add(r.Machine, ref, attemptDecision{attemptStarted, r.Rev})
			starts[i] = m.Start(t, now)
			startQueued = true
		}
	}
	if startQueued {
		a.changes.markChanged(m)
		m.wakeSender()
	}
	// An entry of this or a later version without the task proves that the task is gone.
	reply.Ver, reply.Rev = a.changes.version, m.Ownership.Rev
	return a.ctx
}

// refuse records that an attempt of a commit is refused, so that a copy of the commit is refused too, and
// returns the result. An attempt that was started before is unresolved: the request was repeated, or a
// copy of it arrives late, and the machine's entry shows the outcome. The refusal of a reservation needs
// no record, because a reservation expires. The caller must hold a.mu.
func (a *Agent) refuse(r *agentapi.CommitRequest, ref agentapi.TaskRef) (result string) {
	if a.decided.get(r.Machine, ref).kind == attemptStarted {
		return agentapi.Unresolved
	}
	if !r.Hold {
		a.decided.add(r.Machine, ref, attemptDecision{attemptRefused, r.Rev})
	}
	return agentapi.Refused
}

// commitConflict returns why no task of a commit can be started, or "". The caller must hold a.mu.
func (a *Agent) commitConflict(m *ownedMachine, r *agentapi.CommitRequest, now time.Time) string {
	if m == nil || m.Ownership.Rev != r.Rev {
		return "machine is not owned by this controller under the requested revision"
	}
	if why := a.denial(m, startTasks, now); why != "" {
		return why
	}
	switch {
	case !a.isLatestEpoch(statekv.JobShardPrefix+r.Slot, r.Epoch):
		return "scheduler epoch is older than the job shard's latest"
	case a.settings.HasQuota(r.Spec.Team) && !a.isLatestEpoch(statekv.LeaderKey, r.StewardEpoch):
		return "quota grant is not from the latest leader epoch"
	case a.isFinished(r.Spec.ID, r.JobRev):
		return "job is finished"
	}
	return a.ineligibleReason(m, &r.Request, now)
}

// reserveTask returns the task of an attempt. If the attempt is new, it adds the task to the
// machine and thereby reserves capacity. It returns nil and the reason if the attempt is refused.
// The caller must hold a.mu.
func (a *Agent) reserveTask(
	m *ownedMachine, r *agentapi.CommitRequest, ref agentapi.TaskRef, now time.Time,
) (t *machine.Task, why string) {
	key := machine.KeyOf(ref)
	t = m.Task(key)
	decided := a.decided.get(r.Machine, ref).kind
	if decided == attemptRefused || decided == attemptStarted && t == nil {
		a.counters.RepeatedCommits++
		return nil, "attempt was refused, abandoned or started before"
	}
	if t != nil {
		return t, ""
	}
	if n, _ := a.countFits(m, r.Spec.Need); n == 0 {
		a.counters.Conflicts++
		return nil, "not enough free capacity on the machine"
	}
	if a.contention.Contended(m.Machine, &r.Spec) {
		a.counters.Conflicts++
		return nil, "machine is fetching other images"
	}
	spec := r.Spec
	t = machine.NewReserved(key, ref, r.Slot, &spec, now.Add(-r.Age))
	m.AddTask(key, t)
	return t, ""
}

// awaitStarts waits for the results of starts. A start without a result within startTimeout counts
// as unresolved.
func awaitStarts(ctx context.Context, starts []<-chan string, results []string) {
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	expired := false
	for i, start := range starts {
		if start == nil {
			continue
		}
		if !expired {
			select {
			case results[i] = <-start:
				continue
			case <-timeout.C:
			case <-ctx.Done():
			}
			expired = true
		}
		results[i] = agentapi.Unresolved
		select {
		case results[i] = <-start:
		default:
		}
	}
}

// isLatestEpoch reports whether, as far as the mirror shows, epoch is the latest revision of a
// role's key: the mirror shows neither a later revision nor the removal of the key. An agent
// answers the watch of a new holder only after its mirror shows the new epoch; after that answer,
// commits under the earlier epoch are refused here.
func (a *Agent) isLatestEpoch(key string, epoch uint64) bool {
	kv, ok := a.mirror.Get(key)
	return ok && kv.Rev <= epoch || !ok && epoch > a.mirror.Rev()
}

// Stop stops tasks, or has the worker forget tasks that have ended.
func (s *Service) Stop(r agentapi.StopRequest, _ *struct{}) error {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, item := range r.Items {
		m := a.machines[item.Machine]
		if m == nil {
			continue
		}
		key := machine.KeyOf(item.TaskRef)
		t := m.Task(key)
		if t == nil {
			continue
		}
		switch {
		case m.Withdraw(key, time.Now()):
			a.changes.markChanged(m)
		case item.Forget:
			t.RequestForget()
		default:
			t.RequestStop(item.Grace)
		}
		m.wakeSender()
	}
	return nil
}

// Void resolves commits that were sent but not answered: tasks that are not yet on the machine will
// never be started by them. Only the owner to which a commit was sent can resolve it: a later
// session of the same controller does not know the task, which may be running.
func (s *Service) Void(r agentapi.ResolveRequest, reply *agentapi.ResolveReply) error {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.machines[r.Machine]
	if m == nil || m.Ownership.Rev != r.Rev || m.Deregistered() {
		return fmt.Errorf("machine %s is not owned by this controller under revision %d", r.Machine, r.Rev)
	}
	reply.Present = make([]bool, len(r.Refs))
	for i, ref := range r.Refs {
		key := machine.KeyOf(ref)
		if m.Task(key) != nil {
			reply.Present[i] = !m.WithdrawReserved(key, time.Now())
		}
		if !reply.Present[i] {
			a.decided.add(r.Machine, ref, attemptDecision{attemptRefused, r.Rev})
		}
	}
	reply.Ver = a.changes.version
	return nil
}
