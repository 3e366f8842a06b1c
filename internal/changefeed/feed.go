// Package changefeed watches the machine states of the agents of all controllers. It holds the
// latest entry of every machine, and the state revision up to which each agent is known to have
// caught up. Feed.mu guards both and is never held over a call. The package may import the agents'
// messages, the ownership keys, the mirror and the peer client.
package changefeed

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/peer"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

const (
	// longPollTimeout is how long an agent waits for changes before it answers a watch.
	longPollTimeout = 2 * time.Second
	// catchUpPollTimeout is how long an agent waits if the watch only asks whether the agent has
	// caught up.
	catchUpPollTimeout = 100 * time.Millisecond
	// watchTimeout bounds one watch call.
	watchTimeout = 4 * time.Second
	// retryInterval is the time until the next watch after a failed one.
	retryInterval = 400 * time.Millisecond
	// reachableTimeout is how recently an agent must have answered to count as reachable.
	reachableTimeout = 4 * time.Second
)

// Feed watches the machine states of all agents. It serves to track placed tasks, not to place
// them: placement uses sampling.
type Feed struct {
	peers    peer.Caller
	mirror   *statekv.Mirror
	hosts    []string
	minRev   func() uint64
	onChange func([]agentapi.MachineEntry)

	mu      sync.Mutex
	entries map[string]agentapi.MachineEntry
	agents  map[string]agentState
	pollNow chan struct{} // closed and replaced to interrupt the watches in flight
}

// agentState is what an agent's answers to watches show, such as the revision up to which the agent
// is known to have caught up with the state service.
type agentState struct {
	incarnation  uint64
	confirmedRev uint64
	stateOK      bool
	answeredAt   time.Time

	// At watchSentAt, no cancellation that the agent had acknowledged, and no machine that it had
	// taken over, had a revision later than coveredRev. 0: the agent has not reported one.
	coveredRev  uint64
	watchSentAt time.Time
}

// New returns a feed. minRev returns the highest epoch that the agents must have seen before they
// answer, and onChange receives every changed entry.
func New(
	peers peer.Caller, mirror *statekv.Mirror, hosts []string,
	minRev func() uint64, onChange func([]agentapi.MachineEntry),
) *Feed {
	return &Feed{
		peers: peers, mirror: mirror, hosts: hosts, minRev: minRev, onChange: onChange,
		entries: map[string]agentapi.MachineEntry{}, agents: map[string]agentState{}, pollNow: make(chan struct{}),
	}
}

// Run watches all agents until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var watches sync.WaitGroup
	for _, h := range f.hosts {
		watches.Go(func() { f.watchHost(ctx, h) })
	}
	watches.Wait()
}

// PollNow interrupts the watches in flight, so that all agents are asked again with the present
// minRev. Without it, a watch in flight is answered up to 2 s later if nothing changes, and only
// the next one confirms that the agent has seen the new epoch.
func (f *Feed) PollNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.pollNow)
	f.pollNow = make(chan struct{})
}

func (f *Feed) pollNowSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pollNow
}

// watchHost watches one agent until ctx ends.
func (f *Feed) watchHost(ctx context.Context, host string) {
	var incarnation, since, requestedRev uint64
	for ctx.Err() == nil {
		pollNow := f.pollNowSignal()
		req := agentapi.WatchRequest{Instance: incarnation, Since: since, MinRev: f.minRev(), Wait: longPollTimeout}
		if req.MinRev > requestedRev {
			req.Wait, requestedRev = catchUpPollTimeout, req.MinRev
		}
		sentAt := time.Now()
		reply, err := f.watch(ctx, host, &req, pollNow)
		switch {
		case err == nil:
			incarnation, since = reply.Instance, reply.Ver
			f.onChange(f.apply(host, &req, reply, sentAt))
		case isClosed(pollNow):
			// PollNow interrupted the watch: the next one has the new minRev.
		default:
			slog.Debug("machine state watch failed", "host", host, "err", err)
			f.recordFailure(host)
			select {
			case <-ctx.Done():
			case <-time.After(retryInterval):
			}
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// watch asks an agent for changes. The call is cancelled when pollNow is closed.
func (f *Feed) watch(
	ctx context.Context, host string, req *agentapi.WatchRequest, pollNow <-chan struct{},
) (*agentapi.WatchReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	var canceller sync.WaitGroup
	canceller.Go(func() {
		select {
		case <-pollNow:
			cancel()
		case <-callCtx.Done():
		}
	})
	var reply agentapi.WatchReply
	err := f.peers.Call(callCtx, host, "Agent.Watch", *req, &reply)
	cancel()
	canceller.Wait()
	return &reply, err
}

// recordFailure records that an agent did not answer a watch.
func (f *Feed) recordFailure(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.agents[host]
	state.stateOK = false
	f.agents[host] = state
}

// apply stores an agent's answer to a watch that was sent at the given time, and returns the
// entries that changed.
func (f *Feed) apply(
	host string, req *agentapi.WatchRequest, reply *agentapi.WatchReply, sentAt time.Time,
) (changed []agentapi.MachineEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := agentState{
		incarnation: reply.Instance, confirmedRev: req.MinRev, stateOK: reply.StateOK, answeredAt: time.Now(),
		coveredRev: reply.Seen, watchSentAt: sentAt,
	}
	if reply.More {
		// The answer is incomplete, so it confirms nothing new.
		state.confirmedRev = 0
		if previous := f.agents[host]; previous.incarnation == reply.Instance {
			state.confirmedRev = min(previous.confirmedRev, req.MinRev)
		}
	}
	f.agents[host] = state
	for _, e := range reply.Entries {
		if previous, ok := f.entries[e.Machine]; ok && !previous.Version().Before(e.Version()) {
			continue
		}
		e.Received = time.Now()
		f.entries[e.Machine] = e
		changed = append(changed, e)
	}
	return changed
}

// Entries returns the latest entries of all registered machines. It drops machines whose key has
// been removed: their tasks are proven to have ended.
func (f *Feed) Entries() []agentapi.MachineEntry {
	rev := f.mirror.Rev()
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := make([]agentapi.MachineEntry, 0, len(f.entries))
	for name, e := range f.entries {
		if _, ok := f.mirror.Get(statekv.MachinePrefix + name); e.Gone || !ok && rev > e.Rev {
			delete(f.entries, name)
			continue
		}
		entries = append(entries, e)
	}
	return entries
}

// OwnerHost returns the host that reported a machine's latest entry, and whether there is such an
// entry.
func (f *Feed) OwnerHost(machine string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[machine]
	return e.Host, ok && !e.Gone
}

// GroupByOwner groups items by the host that reported the latest entry of each item's machine. Items
// of machines without an owner are left out.
func GroupByOwner[T any](f *Feed, items []T, machineOf func(*T) string) map[string][]T {
	byHost := map[string][]T{}
	for i := range items {
		if host, ok := f.OwnerHost(machineOf(&items[i])); ok {
			byHost[host] = append(byHost[host], items[i])
		}
	}
	return byHost
}

// LastEntry returns a machine's latest entry. A new owner restores from it what the former owner
// knew of the machine.
func (f *Feed) LastEntry(machine string) agentapi.MachineEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[machine]
}

// AllEpochs is the epoch up to which a machine that has been deregistered counts as confirmed.
const AllEpochs = ^uint64(0)

// Confirmation says up to which epoch a machine is confirmed: Entry lists everything that may run on
// the machine under its present ownership, and the owner refuses commits sent under earlier epochs.
//
// The feed publishes an entry before its consumers have applied it. A consumer must therefore apply
// Entry itself before it relies on Epoch, within the same critical section.
type Confirmation struct {
	Epoch  uint64                // 0: not confirmed
	Entry  agentapi.MachineEntry // the entry that confirms the machine; valid if Epoch is neither 0 nor AllEpochs
	Reason string                // why the machine is not confirmed up to a later epoch
}

// Confirm returns the confirmation of the machine with key kv.
func (f *Feed) Confirm(kv statekv.KV) Confirmation {
	holder, rev := shard.OwnerOf(f.mirror, kv)
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, known := f.entries[kv.Key[len(statekv.MachinePrefix):]]
	state := f.agents[holder.Host]
	switch {
	case holder.Host == "":
		return Confirmation{Reason: "machine has no owner"}
	case !known:
		return Confirmation{Reason: "owner " + holder.Host + " has not reported the machine"}
	case entry.Rev != rev:
		return Confirmation{Reason: fmt.Sprintf(
			"latest entry is from %s at ownership revision %d; the owner is %s at revision %d",
			entry.Host, entry.Rev, holder.Host, rev)}
	case state.incarnation != holder.Incarnation:
		return Confirmation{Reason: "owner " + holder.Host + " has opened a new session"}
	case !entry.Reconciled():
		return Confirmation{Reason: "machine is not reconciled with its owner " + holder.Host}
	}
	return Confirmation{
		Epoch:  state.confirmedRev,
		Entry:  entry,
		Reason: "owner " + holder.Host + " has not caught up with the state service",
	}
}

// AcknowledgedUntil returns a time up to which no controller had acknowledged to a user a
// cancellation later than rev, or had taken over a machine later than rev. It returns the zero time
// if this is unknown for any controller, including this one. A controller that does not answer may
// have acknowledged any cancellation since its last answer, even if its session appears to have
// ended.
func (f *Feed) AcknowledgedUntil(rev uint64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var earliest time.Time
	for _, host := range f.hosts {
		state := f.agents[host]
		if state.coveredRev == 0 || state.coveredRev > rev {
			return time.Time{}
		}
		if earliest.IsZero() || state.watchSentAt.Before(earliest) {
			earliest = state.watchSentAt
		}
	}
	return earliest
}

// PeerCounts counts the other agents that answered recently, and how many of these reported that
// they reach the state service.
func (f *Feed) PeerCounts(self string) (reachable, stateOK int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host, state := range f.agents {
		if host == self || time.Since(state.answeredAt) >= reachableTimeout {
			continue
		}
		reachable++
		if state.stateOK {
			stateOK++
		}
	}
	return reachable, stateOK
}
