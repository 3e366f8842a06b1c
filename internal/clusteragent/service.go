package clusteragent

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// Service is what other controllers, and this one's placer and steward, call.
type Service struct{ agent *Agent }

// NewService returns the net/rpc service of an agent.
func NewService(a *Agent) *Service { return &Service{agent: a} }

// Commit reserves room for tasks on a machine, checks the latest report and
// the reservations, and sends the starts (the paper's commit pipeline).
func (s *Service) Commit(r agentapi.CommitRequest, reply *agentapi.CommitReply) error {
	a := s.agent
	now := time.Now()
	reply.Verdicts = make([]string, len(r.Refs))
	for i := range reply.Verdicts {
		reply.Verdicts[i] = agentapi.Refused
	}
	waits := make([]chan string, len(r.Refs))

	a.mu.Lock()
	m := a.machines[r.Machine]
	switch {
	case m == nil || m.ownershipRev != r.Rev:
		reply.Why = "machine is not owned here"
	case !a.member.HoldsLease():
		reply.Why = "owner is not certain of its lease"
	case !a.isLatestEpoch(statekv.JobShardPrefix+r.Slot, r.Epoch):
		reply.Why = "placer is not the slot's latest"
	case a.settings.HasQuota(r.Spec.Team) && !a.isLatestEpoch(statekv.LeaderKey, r.StewardEpoch):
		reply.Why = "permit is not from the latest steward"
	case a.isFinished(r.Spec.ID, r.JobRev):
		reply.Why = "job is over"
	default:
		reply.Why = a.ineligible(m, &r.Request, now)
	}
	if reply.Why != "" {
		a.counters.Conflicts++
		a.mu.Unlock()
		return nil
	}
	a.counters.Commits++
	sending := false
	for i, ref := range r.Refs {
		key := attemptKey{job.TaskID(ref.Job, ref.Index), ref.Attempt}
		t := m.tasks[key]
		if _, void := a.resolvedAttempts[ref]; void {
			reply.Why = "attempt was given up"
			continue
		}
		if t == nil {
			if n, _ := a.countFits(m, r.Spec.Need); n == 0 {
				reply.Why = "no room left"
				a.counters.Conflicts++
				continue
			}
			if a.fetchContended(m, &r.Request) {
				reply.Why = "machine fetches other images"
				a.counters.Conflicts++
				continue
			}
			spec := r.Spec
			t = &task{ref: ref, id: key.taskID, jobShard: r.Slot, spec: &spec, submittedAt: now.Add(-r.Age), state: stateReserved}
			m.addTask(key, t)
		}
		if t.state != stateReserved {
			// A repeated request: the entry shows what became of it.
			reply.Verdicts[i] = agentapi.Unresolved
			continue
		}
		if r.Hold {
			t.reservedUntil = now.Add(10 * time.Second)
			reply.Verdicts[i] = agentapi.Held
			continue
		}
		m.reservedUntil = time.Time{}
		t.state, t.bookedUntil = agentapi.Starting, now
		t.startResult = make(chan string, 1)
		waits[i] = t.startResult
		sending = true
	}
	if sending {
		m.idleSince = time.Time{}
		a.markChanged(m)
		m.wake()
	}
	// From this version on, an entry without the task proves it gone.
	reply.Ver, reply.Rev = a.version, m.ownershipRev
	ctx := a.ctx
	a.mu.Unlock()

	timeout := time.NewTimer(3 * time.Second)
	defer timeout.Stop()
	expired := false
	for i, w := range waits {
		if w == nil {
			continue
		}
		if !expired {
			select {
			case reply.Verdicts[i] = <-w:
				continue
			case <-timeout.C:
			case <-ctx.Done():
			}
			expired = true
		}
		reply.Verdicts[i] = agentapi.Unresolved
		select {
		case reply.Verdicts[i] = <-w:
		default:
		}
	}
	return nil
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
		key := attemptKey{job.TaskID(item.Job, item.Index), item.Attempt}
		t := m.tasks[key]
		if t == nil {
			continue
		}
		switch {
		case t.state == stateReserved:
			m.removeTask(key)
			a.markChanged(m)
		case t.state == agentapi.Starting && !t.startSent:
			t.resolve(agentapi.Refused)
			m.removeTask(key)
			a.markChanged(m)
		case item.Forget:
			t.forgetRequested = true
		case !t.stopRequested || item.Grace < t.stopGrace:
			t.stopRequested, t.stopGrace, t.stopFirstSent, t.stopLastSent = true, item.Grace, time.Time{}, time.Time{}
		}
		m.wake()
	}
	return nil
}

// Judge takes what placers found out about tasks that failed.
func (s *Service) Judge(verdicts []agentapi.Attribution, _ *struct{}) error {
	a := s.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range verdicts {
		if m := a.machines[verdicts[i].Machine]; m != nil && !m.gone {
			m.attributeFailure(&verdicts[i], now)
			a.markChanged(m)
		}
	}
	return nil
}

// Void makes commits harmless that were sent but not answered, unless the task
// is on the machine already. Only the owner that the commit went to can say so:
// to a later life of the same controller the task is unknown although it may run.
func (s *Service) Void(r agentapi.ResolveRequest, reply *agentapi.ResolveReply) error {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.machines[r.Machine]
	if m == nil || m.ownershipRev != r.Rev || m.gone {
		return errors.New("machine is not owned here under that revision")
	}
	reply.Present = make([]bool, len(r.Refs))
	for i, ref := range r.Refs {
		key := attemptKey{job.TaskID(ref.Job, ref.Index), ref.Attempt}
		if t := m.tasks[key]; t != nil {
			if t.state == stateReserved {
				m.removeTask(key)
			} else {
				reply.Present[i] = true
			}
		}
		if !reply.Present[i] {
			a.resolvedAttempts[ref] = time.Now()
		}
	}
	reply.Ver = a.version
	return nil
}

// Watch returns the machines that changed, at once or as soon as some do.
func (s *Service) Watch(r agentapi.WatchRequest, reply *agentapi.WatchReply) error {
	a := s.agent
	ctx, cancel := context.WithTimeout(a.runContext(), r.Wait)
	defer cancel()
	if a.mirror.Wait(ctx, r.MinRev) != nil {
		return errors.New("agent has not caught up with the state service")
	}
	since, first := r.Since, false
	if r.Instance != a.member.Incarnation {
		since, first = 0, true
	}
	for {
		a.mu.Lock()
		changed := a.changed
		// Only the first answer of a life comes at once whatever there is: an
		// agent without machines must not be asked in a tight loop.
		if a.version > since || first || ctx.Err() != nil {
			now := time.Now()
			reply.Host, reply.Instance, reply.Ver = a.member.Host, a.member.Incarnation, a.version
			reply.StateOK, reply.Seen = a.member.HoldsLease(), a.coveredRev()
			moved := a.changedSince(since)
			if len(moved) > maxWatchEntries {
				// The next answer goes on from the last of these.
				moved = moved[:maxWatchEntries]
				reply.Ver, reply.More = moved[maxWatchEntries-1].version, true
			}
			for _, m := range moved {
				reply.Entries = append(reply.Entries, m.entry(a.member.Host, now))
			}
			a.mu.Unlock()
			return nil
		}
		a.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
			// Changes come in groups: a short pause saves answers.
			time.Sleep(watchCoalesce)
		}
	}
}

// maxWatchEntries bounds the entries of one answer.
const maxWatchEntries = 300

// watchCoalesce gathers changes: a machine that changes several times goes out once.
const watchCoalesce = 60 * time.Millisecond

// changedSince returns the machines that changed after a version, the earliest
// changes first. It looks only at those.
func (a *Agent) changedSince(since uint64) []*machine {
	var moved []*machine
	for at := a.changeOrder.Back(); at != nil; {
		m, before := at.Value.(*machine), at.Prev()
		if a.machines[m.name] != m {
			a.changeOrder.Remove(at) // given up or gone since
		} else if m.version <= since {
			break
		} else {
			moved = append(moved, m)
		}
		at = before
	}
	slices.Reverse(moved)
	return moved
}

func (a *Agent) runContext() context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil {
		return context.Background()
	}
	return a.ctx
}

func (m *machine) entry(host string, now time.Time) agentapi.MachineEntry {
	e := agentapi.MachineEntry{Machine: m.name, Host: host, Rev: m.ownershipRev, Ver: m.version, Type: m.typeName, Zone: m.zone, Spot: m.spot,
		Settled: m.reconciled, Draining: m.draining || m.removing, Silent: !m.responsive() || m.commandsLost(now), Faulty: m.quarantined, Gone: m.gone, Notice: !m.reclaimAt.IsZero()}
	if !m.idleSince.IsZero() {
		e.Idle = max(time.Millisecond, now.Sub(m.idleSince))
	}
	for id := range m.attributedFailures {
		e.Blamed = append(e.Blamed, id)
	}
	for image := range m.images {
		e.Images = append(e.Images, image)
	}
	for _, t := range m.tasks {
		if t.state == stateReserved {
			continue
		}
		te := agentapi.TaskEntry{TaskRef: t.ref, Slot: t.jobShard, State: t.state, Cause: t.cause, Saved: t.checkpointed}
		if t.spec != nil {
			te.Known, te.Team, te.Need = true, t.spec.Team, t.spec.Need
		}
		e.Tasks = append(e.Tasks, te)
	}
	return e
}

// Drain closes machines without tasks to new ones, or opens them again.
func (s *Service) Drain(r agentapi.MachinesRequest, reply *agentapi.MachinesReply) error {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range r.Names {
		m := a.machines[name]
		if m == nil || m.gone {
			continue
		}
		busy := false
		for _, t := range m.tasks {
			busy = busy || t.occupies()
		}
		if r.On && busy && m.responsive() && !m.quarantined {
			continue
		}
		m.draining = r.On
		a.markChanged(m)
		reply.Names = append(reply.Names, name)
	}
	return nil
}

// Removed tells the agent that the cloud has deleted machines: their tasks are
// gone. Their keys follow when the state service has room for it.
func (s *Service) Removed(r agentapi.MachinesRequest, reply *agentapi.MachinesReply) error {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range r.Names {
		m := a.machines[name]
		if m == nil || m.gone || m.removing {
			continue
		}
		m.removing, m.reconciled = true, true
		for k, t := range m.tasks {
			t.resolve(agentapi.Refused)
			m.removeTask(k)
		}
		a.markChanged(m)
		reply.Names = append(reply.Names, name)
	}
	return nil
}

// runKeyRemoval removes the keys of deleted machines, many at a time.
func (a *Agent) runKeyRemoval(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var batch []*machine
		a.mu.Lock()
		for _, m := range a.machines {
			if m.removing && !m.gone && len(batch) < a.store.MaxTxnOps(min(8, a.settings.StateLimits.MaxTxnOps)) {
				batch = append(batch, m)
			}
		}
		a.mu.Unlock()
		if len(batch) == 0 || !a.store.Allow(statekv.ClassMaintenance, len(batch)) {
			continue
		}
		err := a.removeMachineKeys(ctx, batch)
		if statekv.IsConflict(err) {
			// One of them has another owner by now: each for itself.
			for _, m := range batch {
				if err = a.removeMachineKeys(ctx, []*machine{m}); statekv.IsConflict(err) {
					a.markGone([]*machine{m})
				}
			}
		}
		if err != nil && !statekv.IsConflict(err) {
			slog.Debug("machine key removal failed", "machines", len(batch), "err", err)
		}
	}
}

func (a *Agent) removeMachineKeys(ctx context.Context, batch []*machine) error {
	var when []statekv.Compare
	var then []statekv.Op
	for _, m := range batch {
		when = append(when, statekv.Compare{Key: statekv.MachinePrefix + m.name, Rev: m.keyRev})
		then = append(then, statekv.Op{Delete: statekv.MachinePrefix + m.name})
	}
	tctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	_, err := a.member.Write(tctx, when, then)
	if err == nil {
		a.markGone(batch)
	}
	return err
}

func (a *Agent) markGone(batch []*machine) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range batch {
		if a.machines[m.name] == m && !m.gone {
			m.gone, m.lastHeartbeat = true, time.Now()
			close(m.stopped)
			a.markChanged(m)
		}
	}
	slog.Info("machines deregistered", "machines", len(batch), "first", batch[0].name)
}

// Snapshot returns the agent's counters and machines.
func (a *Agent) Snapshot() (Counters, []agentapi.MachineEntry) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var entries []agentapi.MachineEntry
	for _, m := range a.machines {
		if !m.gone {
			entries = append(entries, m.entry(a.member.Host, now))
		}
	}
	return a.counters, entries
}

// Counters returns the agent's counters.
func (a *Agent) Counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counters
}

var _ worker.Commander = (*worker.Client)(nil)
