// Package changefeed watches what the agents of all controllers know about their machines.
// It owns the latest entry of every machine and how far each agent is known to have caught
// up, both guarded by the mutex of Feed, which is never held over a call. It may import the
// messages of agents, the keys of ownership, the mirror and the caller of peers.
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
	// longPoll is how long an agent waits for changes before it answers a watch.
	longPoll = 2 * time.Second
	// caughtUpPoll is that where the question is only whether it has caught up.
	caughtUpPoll = 100 * time.Millisecond
	// watchTimeout is how long a watch may take in all.
	watchTimeout = 4 * time.Second
	// retryPause is the time until the next watch after one that failed.
	retryPause = 400 * time.Millisecond
	// recentAnswer is how lately an agent must have answered to count as reachable.
	recentAnswer = 4 * time.Second
)

// Feed watches what all agents know about their machines. It serves to track
// tasks that were placed, not to place them: that goes by sampling.
type Feed struct {
	call     peer.Caller
	mirror   *statekv.Mirror
	hosts    []string
	minRev   func() uint64
	onChange func([]agentapi.MachineEntry)

	mu      sync.Mutex
	entries map[string]agentapi.MachineEntry
	acks    map[string]ack
	pollNow chan struct{} // closed and replaced to have all agents asked anew
}

// ack says up to which state revision an agent is known to have caught up.
type ack struct {
	incarnation uint64
	rev         uint64
	stateOK     bool
	answeredAt  time.Time

	// When askedAt was, no cancellation that the agent had acknowledged, and no machine that
	// it had taken, was of a later revision than coveredRev; 0: it has not said.
	coveredRev uint64
	askedAt    time.Time
}

// New returns a feed; minRev is the highest epoch that the agents must
// know of before they answer, onChange gets every change.
func New(
	call peer.Caller, mirror *statekv.Mirror, hosts []string,
	minRev func() uint64, onChange func([]agentapi.MachineEntry),
) *Feed {
	return &Feed{
		call: call, mirror: mirror, hosts: hosts, minRev: minRev, onChange: onChange,
		entries: map[string]agentapi.MachineEntry{}, acks: map[string]ack{}, pollNow: make(chan struct{}),
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

// PollNow has all agents asked anew, for minRev has grown: where nothing changes, a
// question that is under way would be answered 2 s later, and only the next one
// says that the agent knows of the new epoch.
func (f *Feed) PollNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.pollNow)
	f.pollNow = make(chan struct{})
}

func (f *Feed) pollNowChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pollNow
}

// watchHost watches one agent until ctx ends.
func (f *Feed) watchHost(ctx context.Context, host string) {
	var incarnation, since, asked uint64
	for ctx.Err() == nil {
		pollNow := f.pollNowChannel()
		req := agentapi.WatchRequest{Instance: incarnation, Since: since, MinRev: f.minRev(), Wait: longPoll}
		if req.MinRev > asked {
			req.Wait, asked = caughtUpPoll, req.MinRev
		}
		sent := time.Now()
		reply, err := f.watch(ctx, host, &req, pollNow)
		switch {
		case err == nil:
			incarnation, since = reply.Instance, reply.Ver
			f.onChange(f.apply(host, &req, reply, sent))
		case isClosed(pollNow):
			// It was given up for that: the next one asks anew.
		default:
			slog.Debug("machine state watch failed", "host", host, "err", err)
			f.noteFailure(host)
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
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

// watch asks an agent for changes; the question is given up when pollNow is closed.
func (f *Feed) watch(
	ctx context.Context, host string, req *agentapi.WatchRequest, pollNow <-chan struct{},
) (*agentapi.WatchReply, error) {
	cctx, cancel := context.WithTimeout(ctx, watchTimeout)
	var interrupter sync.WaitGroup
	interrupter.Go(func() {
		select {
		case <-pollNow:
			cancel()
		case <-cctx.Done():
		}
	})
	var reply agentapi.WatchReply
	err := f.call.Call(cctx, host, "Agent.Watch", *req, &reply)
	cancel()
	interrupter.Wait()
	return &reply, err
}

// noteFailure notes that an agent did not answer.
func (f *Feed) noteFailure(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.acks[host]
	a.stateOK = false
	f.acks[host] = a
}

// apply takes in an agent's answer to a watch that was sent at a time, and returns the entries
// that are new.
func (f *Feed) apply(
	host string, req *agentapi.WatchRequest, reply *agentapi.WatchReply, sent time.Time,
) (changed []agentapi.MachineEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := ack{
		incarnation: reply.Instance, rev: req.MinRev, stateOK: reply.StateOK, answeredAt: time.Now(),
		coveredRev: reply.Seen, askedAt: sent,
	}
	if reply.More {
		// Not all of it is here yet, so nothing is confirmed by it.
		known.rev = 0
		if old := f.acks[host]; old.incarnation == reply.Instance {
			known.rev = min(old.rev, req.MinRev)
		}
	}
	f.acks[host] = known
	for _, e := range reply.Entries {
		if old, ok := f.entries[e.Machine]; ok && !newer(&e, &old) {
			continue
		}
		e.Received = time.Now()
		f.entries[e.Machine] = e
		changed = append(changed, e)
	}
	return changed
}

// newer reports whether an entry is later than another one of the same machine.
func newer(e, old *agentapi.MachineEntry) bool {
	return e.Rev > old.Rev || e.Rev == old.Rev && e.Ver > old.Ver
}

// Entries returns all machines that are not gone, as last shown. Machines
// whose key has been removed are dropped: their tasks are proven gone.
func (f *Feed) Entries() []agentapi.MachineEntry {
	rev := f.mirror.Rev()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]agentapi.MachineEntry, 0, len(f.entries))
	for name, e := range f.entries {
		if _, ok := f.mirror.Get(statekv.MachinePrefix + name); e.Gone || !ok && rev > e.Rev {
			delete(f.entries, name)
			continue
		}
		out = append(out, e)
	}
	return out
}

// OwnerHost returns the host that a machine's latest entry came from.
func (f *Feed) OwnerHost(machine string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[machine]
	return e.Host, ok && !e.Gone
}

// LastEntry returns a machine's latest entry, so that what is known of a machine
// survives its owner.
func (f *Feed) LastEntry(machine string) agentapi.MachineEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[machine]
}

// AllEpochs is the revision up to which a machine that is no more counts as confirmed.
const AllEpochs = ^uint64(0)

// ConfirmedEpoch returns the epoch up to which a machine is confirmed, or 0 and why
// it is not: everything that may run on it, according to its key, is in the latest
// entry, and its owner refuses commits that were sent under earlier epochs.
func (f *Feed) ConfirmedEpoch(kv statekv.KV) (epoch uint64, why string) {
	holder, rev := shard.OwnerOf(f.mirror, kv)
	f.mu.Lock()
	defer f.mu.Unlock()
	e, known := f.entries[kv.Key[len(statekv.MachinePrefix):]]
	a := f.acks[holder.Host]
	switch {
	case holder.Host == "":
		return 0, "it has no owner"
	case !known:
		return 0, "its owner " + holder.Host + " has not shown it"
	case e.Rev != rev:
		return 0, fmt.Sprintf(
			"the entry by %s is of revision %d, ownership by %s of %d", e.Host, e.Rev, holder.Host, rev)
	case a.incarnation != holder.Incarnation:
		return 0, "its owner " + holder.Host + " has begun a new session"
	case !e.Reconciled():
		return 0, "it has not answered its owner " + holder.Host
	}
	return a.rev, "its owner " + holder.Host + " has not caught up"
}

// AcknowledgedUntil is a moment up to which no controller had acknowledged a cancellation later
// than rev to a user, or taken a machine from another; the zero time if one of them, this one
// included, has not said so. One that does not answer may have acknowledged whatever it likes,
// also if its session seems to be over.
func (f *Feed) AcknowledgedUntil(rev uint64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var earliest time.Time
	for _, host := range f.hosts {
		a := f.acks[host]
		if a.coveredRev == 0 || a.coveredRev > rev {
			return time.Time{}
		}
		if earliest.IsZero() || a.askedAt.Before(earliest) {
			earliest = a.askedAt
		}
	}
	return earliest
}

// PeerCounts counts the other agents that answered lately, and those of them that reach the
// state service by their own word.
func (f *Feed) PeerCounts(self string) (reachable, served int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host, a := range f.acks {
		if host == self || time.Since(a.answeredAt) >= recentAnswer {
			continue
		}
		reachable++
		if a.stateOK {
			served++
		}
	}
	return reachable, served
}
