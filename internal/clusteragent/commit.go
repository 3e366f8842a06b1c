package clusteragent

import (
	"context"
	"errors"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/machine"
	"robinstack/internal/statekv"
)

const (
	// reservationTime is how long capacity is kept for a gang that is being assembled.
	reservationTime = 10 * time.Second
	// startWait is how long a commit waits for the workers to show its tasks.
	startWait = 3 * time.Second
	// resolvedFor is how long an attempt that was given up is refused.
	resolvedFor = 15 * time.Minute
)

// Commit reserves capacity for tasks on a machine, checks the latest state and
// the reservations, and sends the starts (the paper's commit pipeline).
func (s *Service) Commit(r agentapi.CommitRequest, reply *agentapi.CommitReply) error {
	reply.Verdicts = make([]string, len(r.Refs))
	for i := range reply.Verdicts {
		reply.Verdicts[i] = agentapi.Refused
	}
	starts := make([]<-chan string, len(r.Refs)) // nil: the task is not being started
	ctx := s.agent.reserveAndStart(&r, reply, starts)
	awaitStarts(ctx, starts, reply.Verdicts)
	return nil
}

// reserveAndStart checks a commit and reserves capacity for its tasks, and has them started.
// It fills in the reply, but for the results of the starts, which come by the channels that it
// sets in starts, and returns the context that bounds the wait for them.
func (a *Agent) reserveAndStart(
	r *agentapi.CommitRequest, reply *agentapi.CommitReply, starts []<-chan string,
) context.Context {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.machines[r.Machine]
	if reply.Why = a.commitConflict(m, r, now); reply.Why != "" {
		a.counters.Conflicts++
		return a.ctx
	}
	a.counters.Commits++
	sending := false
	for i, ref := range r.Refs {
		t, why := a.reserve(m, r, ref, now)
		switch {
		case t == nil:
			reply.Why = why
		case t.State() != machine.Reserved:
			// A repeated request: the entry shows what became of it.
			reply.Verdicts[i] = agentapi.Unresolved
		case r.Hold:
			t.KeepReserved(now.Add(reservationTime))
			reply.Verdicts[i] = agentapi.Held
		default:
			starts[i] = m.Start(t, now)
			sending = true
		}
	}
	if sending {
		a.changes.mark(m)
		m.wake()
	}
	// From this version on, an entry without the task proves it gone.
	reply.Ver, reply.Rev = a.changes.version, m.Ownership.Rev
	return a.ctx
}

// commitConflict says why nothing of a commit can be carried out, or "". The mutex is held.
func (a *Agent) commitConflict(m *ownedMachine, r *agentapi.CommitRequest, now time.Time) string {
	switch {
	case m == nil || m.Ownership.Rev != r.Rev:
		return "machine is not owned here"
	case !a.session.HoldsLease():
		return "owner is not certain of its lease"
	case !a.isLatestEpoch(statekv.JobShardPrefix+r.Slot, r.Epoch):
		return "scheduler is not the job shard's latest"
	case a.settings.HasQuota(r.Spec.Team) && !a.isLatestEpoch(statekv.LeaderKey, r.StewardEpoch):
		return "quota grant is not from the latest leader"
	case a.isFinished(r.Spec.ID, r.JobRev):
		return "job is finished"
	}
	return a.ineligible(m, &r.Request, now)
}

// reserve returns the task of an attempt, with capacity reserved for it if it is new, or nil
// and why it gets none. The mutex is held.
func (a *Agent) reserve(
	m *ownedMachine, r *agentapi.CommitRequest, ref agentapi.TaskRef, now time.Time,
) (t *machine.Task, why string) {
	if a.resolved.has(ref) {
		return nil, "attempt was given up"
	}
	key := machine.KeyOf(ref)
	if t := m.Task(key); t != nil {
		return t, ""
	}
	if n, _ := a.countFits(m, r.Spec.Need); n == 0 {
		a.counters.Conflicts++
		return nil, "no capacity left"
	}
	if a.contention.Contended(m.Machine, &r.Spec) {
		a.counters.Conflicts++
		return nil, "machine fetches other images"
	}
	spec := r.Spec
	t = machine.NewReserved(key, ref, r.Slot, &spec, now.Add(-r.Age))
	m.AddTask(key, t)
	return t, ""
}

// awaitStarts waits for the results of starts, and takes them for unresolved where none comes
// in time.
func awaitStarts(ctx context.Context, starts []<-chan string, results []string) {
	timeout := time.NewTimer(startWait)
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

// isLatestEpoch reports whether epoch is the latest revision of a role's key as far
// as known. An agent answers a new holder's watch only once it knows that
// holder's epoch, so after that no commit under the earlier one passes here.
func (a *Agent) isLatestEpoch(key string, epoch uint64) bool {
	kv, ok := a.mirror.Get(key)
	return ok && kv.Rev <= epoch || !ok && epoch > a.mirror.Rev()
}

// Stop asks for tasks to be stopped, or forgotten once they have ended.
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
			a.changes.mark(m)
		case item.Forget:
			t.RequestForget()
		default:
			t.RequestStop(item.Grace)
		}
		m.wake()
	}
	return nil
}

// errNotOwned refuses to resolve commits that went to another owner.
var errNotOwned = errors.New("machine is not owned here under that revision")

// Void makes commits harmless that were sent but not answered, unless the task
// is on the machine already. Only the owner that the commit went to can say so:
// to a later session of the same controller the task is unknown although it may run.
func (s *Service) Void(r agentapi.ResolveRequest, reply *agentapi.ResolveReply) error {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.machines[r.Machine]
	if m == nil || m.Ownership.Rev != r.Rev || m.Deregistered() {
		return errNotOwned
	}
	reply.Present = make([]bool, len(r.Refs))
	for i, ref := range r.Refs {
		key := machine.KeyOf(ref)
		if t := m.Task(key); t != nil {
			reply.Present[i] = t.State() != machine.Reserved
			if !reply.Present[i] {
				m.RemoveTask(key, time.Now())
			}
		}
		if !reply.Present[i] {
			a.resolved[ref] = time.Now()
		}
	}
	reply.Ver = a.changes.version
	return nil
}

// resolvedAttempts is the attempts that were given up, which must not be started any more, and
// since when. The agent's mutex guards it.
type resolvedAttempts map[agentapi.TaskRef]time.Time

func (r resolvedAttempts) has(ref agentapi.TaskRef) bool {
	_, ok := r[ref]
	return ok
}

func (r resolvedAttempts) expire(now time.Time) {
	for ref, at := range r {
		if now.Sub(at) > resolvedFor {
			delete(r, ref)
		}
	}
}
