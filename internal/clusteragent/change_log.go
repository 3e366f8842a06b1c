package clusteragent

import (
	"container/list"
	"context"
	"fmt"
	"slices"
	"time"

	"robinstack/internal/agentapi"
)

// changeLog orders the machines by their last change, so that a watch examines only those that
// changed.
type changeLog struct {
	version uint64
	order   list.List     // elements are *ownedMachine, the latest change last
	changed chan struct{} // closed and replaced on every change
}

// changePosition is the position of a machine in the change log.
type changePosition struct {
	version uint64
	element *list.Element
}

func newChangeLog() changeLog { return changeLog{changed: make(chan struct{})} }

// markChanged moves a machine to the end of the log with a new version and wakes the watchers.
func (l *changeLog) markChanged(m *ownedMachine) {
	l.version++
	m.change.version = l.version
	if m.change.element == nil {
		m.change.element = l.order.PushBack(m)
	} else {
		l.order.MoveToBack(m.change.element)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// since returns the machines that changed after the given version, the earliest change first. It
// removes machines that are no longer owned from the part of the log that it examines.
func (l *changeLog) since(version uint64, owned func(*ownedMachine) bool) []*ownedMachine {
	var changed []*ownedMachine
	for element := l.order.Back(); element != nil; {
		m, previous := element.Value.(*ownedMachine), element.Prev()
		if !owned(m) {
			l.order.Remove(element)
			element = previous
			continue
		}
		if m.change.version <= version {
			break
		}
		changed = append(changed, m)
		element = previous
	}
	slices.Reverse(changed)
	return changed
}

const (
	// maxWatchEntries bounds the number of entries in one reply to a watch.
	maxWatchEntries = 300
	// watchCoalescingDelay is the delay before a reply in which further changes are collected, so
	// that a machine that changes several times is sent once.
	watchCoalescingDelay = 60 * time.Millisecond
)

// Watch returns the machines that changed since a version, as soon as there are any.
func (s *Service) Watch(r agentapi.WatchRequest, reply *agentapi.WatchReply) error {
	a := s.agent
	ctx, cancel := context.WithTimeout(a.runContext(), r.Wait)
	defer cancel()
	if a.mirror.Wait(ctx, r.MinRev) != nil {
		return fmt.Errorf("agent's mirror has not reached state revision %d", r.MinRev)
	}
	since, newSession := r.Since, false
	if r.Instance != a.session.Incarnation {
		since, newSession = 0, true
	}
	for {
		a.mu.Lock()
		changed := a.changes.changed
		// The first reply of a session is sent at once, even without changes. Later ones wait for a
		// change or the timeout: otherwise watchers of an agent without machines would poll in a
		// tight loop.
		if a.changes.version > since || newSession || ctx.Err() != nil {
			a.fillWatchReply(since, reply)
			a.mu.Unlock()
			return nil
		}
		a.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
			// Changes come in bursts; a short delay reduces the number of replies.
			time.Sleep(watchCoalescingDelay)
		}
	}
}

// fillWatchReply fills in the reply to a watch with the machines that changed after a version. The
// caller must hold a.mu.
func (a *Agent) fillWatchReply(since uint64, reply *agentapi.WatchReply) {
	now := time.Now()
	reply.Host, reply.Instance, reply.Ver = a.session.Host, a.session.Incarnation, a.changes.version
	reply.StateOK, reply.Seen = a.session.HoldsLease(), a.coveredRev()
	changed := a.changes.since(since, a.owns)
	if len(changed) > maxWatchEntries {
		// The next request continues after the last of these entries.
		changed = changed[:maxWatchEntries]
		reply.Ver, reply.More = changed[maxWatchEntries-1].change.version, true
	}
	for _, m := range changed {
		reply.Entries = append(reply.Entries, m.entry(a.session.Host, now))
	}
}
