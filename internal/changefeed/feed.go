// Package changefeed follows what the agents of all controllers know about their machines.
// It owns the latest entry of every machine and how far each agent is known to have caught
// up, both guarded by the mutex of Feed.
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

// Feed follows what all agents know about their machines. It serves to track
// tasks that were placed, not to place them: that goes by sampling.
type Feed struct {
	call   peer.Caller
	mirror *statekv.Mirror
	hosts  []string
	minRev func() uint64
	onNews func([]agentapi.MachineEntry)

	mu      sync.Mutex
	entries map[string]agentapi.MachineEntry
	acks    map[string]ack
	hurry   chan struct{} // closed and replaced to have all agents asked anew
}

// ack says up to which state revision an agent is known to have caught up.
type ack struct {
	instance uint64
	rev      uint64
	stateOK  bool
	at       time.Time
	seen     uint64    // no cancellation that it had told, and no machine that it had taken,
	asked    time.Time // when this was asked was of a later revision
}

// New returns a feed; minRev is the highest epoch that the agents must
// know of before they answer, onNews gets every change.
func New(call peer.Caller, mirror *statekv.Mirror, hosts []string, minRev func() uint64, onNews func([]agentapi.MachineEntry)) *Feed {
	return &Feed{call: call, mirror: mirror, hosts: hosts, minRev: minRev, onNews: onNews, entries: map[string]agentapi.MachineEntry{}, acks: map[string]ack{}, hurry: make(chan struct{})}
}

// Run follows all agents until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for _, h := range f.hosts {
		duties.Go(func() { f.followHost(ctx, h) })
	}
	duties.Wait()
}

// PollNow has all agents asked anew, for minRev has grown: where nothing changes, a
// question that is under way would be answered 2 s later, and only the next one
// says that the agent knows of the new epoch.
func (f *Feed) PollNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.hurry)
	f.hurry = make(chan struct{})
}

// soon is how long an agent takes to answer at once that it has caught up.
const soon = 100 * time.Millisecond

func (f *Feed) followHost(ctx context.Context, host string) {
	var instance, since, asked uint64
	for ctx.Err() == nil {
		f.mu.Lock()
		hurry := f.hurry
		f.mu.Unlock()
		req := agentapi.WatchRequest{Instance: instance, Since: since, MinRev: f.minRev(), Wait: 2 * time.Second}
		if req.MinRev > asked {
			req.Wait, asked = soon, req.MinRev
		}
		var reply agentapi.WatchReply
		sent := time.Now()
		cctx, cancel := context.WithTimeout(ctx, 4*time.Second)
		go func() {
			select {
			case <-hurry:
				cancel()
			case <-cctx.Done():
			}
		}()
		err := f.call.Call(cctx, host, "Agent.Watch", req, &reply)
		cancel()
		select {
		case <-hurry:
			if err != nil {
				continue
			}
		default:
		}
		if err != nil {
			slog.Debug("machine state watch failed", "host", host, "err", err)
			f.mu.Lock()
			a := f.acks[host]
			a.stateOK = false
			f.acks[host] = a
			f.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(400 * time.Millisecond):
			}
			continue
		}
		instance, since = reply.Instance, reply.Ver
		var news []agentapi.MachineEntry
		f.mu.Lock()
		known := ack{instance: reply.Instance, rev: req.MinRev, stateOK: reply.StateOK, at: time.Now(), seen: reply.Seen, asked: sent}
		if reply.More {
			// Not all of it is here yet, so nothing is confirmed by it.
			known.rev = 0
			if old := f.acks[host]; old.instance == reply.Instance {
				known.rev = min(old.rev, req.MinRev)
			}
		}
		f.acks[host] = known
		for _, e := range reply.Entries {
			old, ok := f.entries[e.Machine]
			if ok && (old.Rev > e.Rev || old.Rev == e.Rev && old.Ver >= e.Ver) {
				continue
			}
			e.Received = time.Now()
			f.entries[e.Machine] = e
			news = append(news, e)
		}
		f.mu.Unlock()
		f.onNews(news)
	}
}

// Entries returns all machines that are not gone, as last heard of. Machines
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

// OwnerOf returns the host that a machine's latest entry came from.
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
		return 0, fmt.Sprintf("the entry by %s is of revision %d, ownership by %s of %d", e.Host, e.Rev, holder.Host, rev)
	case a.instance != holder.Incarnation:
		return 0, "its owner " + holder.Host + " has begun a new life"
	case !e.Settled:
		return 0, "it has not answered its owner " + holder.Host
	}
	return a.rev, "its owner " + holder.Host + " has not caught up"
}

// AcknowledgedUntil is a moment up to which no controller had told a user of a cancellation later
// than rev, or taken a machine from another; the zero time if one of them, this one included, has not said so. One that does not
// answer may have told whatever it likes, also if its life seems to be over.
func (f *Feed) AcknowledgedUntil(rev uint64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var least time.Time
	for _, host := range f.hosts {
		a := f.acks[host]
		if a.seen == 0 || a.seen > rev {
			return time.Time{}
		}
		if least.IsZero() || a.asked.Before(least) {
			least = a.asked
		}
	}
	return least
}

// PeerCounts counts the other agents that were heard lately, and those of them that the state
// service serves by their own word.
func (f *Feed) PeerCounts(self string) (heard, served int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host, a := range f.acks {
		if host == self || time.Since(a.at) >= 4*time.Second {
			continue
		}
		heard++
		if a.stateOK {
			served++
		}
	}
	return heard, served
}
