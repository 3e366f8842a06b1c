package clusteragent

import (
	"container/list"
	"context"
	"errors"
	"slices"
	"time"

	"robinstack/internal/agentapi"
)

// changeLog keeps the machines in the order of their last changes, so that a watch looks only
// at those that changed.
type changeLog struct {
	version uint64
	order   list.List     // of *ownedMachine
	changed chan struct{} // closed and replaced with every change
}

// changeMark is a machine's place in the change log.
type changeMark struct {
	version uint64
	element *list.Element
}

func newChangeLog() changeLog { return changeLog{changed: make(chan struct{})} }

// mark marks a machine as changed for the watchers.
func (l *changeLog) mark(m *ownedMachine) {
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

// since returns the machines that changed after a version, the earliest changes first. It
// looks only at those, and drops those that are not owned any more.
func (l *changeLog) since(version uint64, owned func(*ownedMachine) bool) []*ownedMachine {
	var changed []*ownedMachine
	for at := l.order.Back(); at != nil; {
		m, before := at.Value.(*ownedMachine), at.Prev()
		if !owned(m) {
			l.order.Remove(at)
			at = before
			continue
		}
		if m.change.version <= version {
			break
		}
		changed = append(changed, m)
		at = before
	}
	slices.Reverse(changed)
	return changed
}

const (
	// maxWatchEntries bounds the entries of one answer.
	maxWatchEntries = 300
	// watchCoalesce gathers changes: a machine that changes several times goes out once.
	watchCoalesce = 60 * time.Millisecond
)

// errNotCaughtUp says that the agent does not know yet of what a watch asks it to know.
var errNotCaughtUp = errors.New("agent has not caught up with the state service")

// Watch returns the machines that changed, at once or as soon as some do.
func (s *Service) Watch(r agentapi.WatchRequest, reply *agentapi.WatchReply) error {
	a := s.agent
	ctx, cancel := context.WithTimeout(a.runContext(), r.Wait)
	defer cancel()
	if a.mirror.Wait(ctx, r.MinRev) != nil {
		return errNotCaughtUp
	}
	since, first := r.Since, false
	if r.Instance != a.session.Incarnation {
		since, first = 0, true
	}
	for {
		a.mu.Lock()
		changed := a.changes.changed
		// Only the first answer of a session comes at once whatever there is: an
		// agent without machines must not be asked in a tight loop.
		if a.changes.version > since || first || ctx.Err() != nil {
			a.showChanges(since, reply)
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

// showChanges answers a watch with the machines that changed after a version. The mutex is
// held.
func (a *Agent) showChanges(since uint64, reply *agentapi.WatchReply) {
	now := time.Now()
	reply.Host, reply.Instance, reply.Ver = a.session.Host, a.session.Incarnation, a.changes.version
	reply.StateOK, reply.Seen = a.session.HoldsLease(), a.coveredRev()
	changed := a.changes.since(since, a.owns)
	if len(changed) > maxWatchEntries {
		// The next answer goes on from the last of these.
		changed = changed[:maxWatchEntries]
		reply.Ver, reply.More = changed[maxWatchEntries-1].change.version, true
	}
	for _, m := range changed {
		reply.Entries = append(reply.Entries, m.entry(a.session.Host, now))
	}
}
