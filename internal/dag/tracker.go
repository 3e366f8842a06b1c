package dag

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// Keys are the mirrored keys.
type Keys interface {
	Get(key string) (statekv.KV, bool)
	Dir(prefix string) []statekv.KV
	ReportUndecodable(key string, err error)
}

// Tracker keeps, for one life of a controller, the snapshot by which waiting jobs are
// judged: the open jobs that name others, of all slots, and the final records of those
// that they name. The mirror tells it each change before it says that it has seen it.
type Tracker struct {
	keys  Keys
	takes func(*job.Spec) time.Duration
	known func(id string) (tombstone.Tombstone, bool) // final records that somebody here has read

	mu         sync.Mutex
	nodes      map[string]*Node
	after      map[string]int // how many nodes name a job
	tombstones map[string]tombstone.Tombstone
	unread     map[string]bool      // named jobs whose final records are wanted
	bad        map[string]time.Time // since when their final records are known to be damaged
	changes    uint64
	urgent     map[string]Urgency // as of urgentAt; nil: never worked out
	urgentAt   uint64
	wake       chan struct{}
}

// NewTracker returns a tracker; takes tells about how long a job takes once it is ready,
// known looks up final records that have been read anyway.
func NewTracker(keys Keys, takes func(*job.Spec) time.Duration, known func(string) (tombstone.Tombstone, bool)) *Tracker {
	t := &Tracker{keys: keys, takes: takes, known: known, wake: make(chan struct{}, 1)}
	t.reset()
	return t
}

func (t *Tracker) reset() {
	if t.tombstones == nil {
		t.tombstones = map[string]tombstone.Tombstone{}
	}
	t.nodes, t.after, t.unread, t.bad = map[string]*Node{}, map[string]int{}, map[string]bool{}, map[string]time.Time{}
}

// OnWatchEvents takes note of changes; nil says that some were missed. It does no I/O.
func (t *Tracker) OnEvents(events []statekv.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if events == nil {
		t.changes++
		t.reset()
		for _, kv := range t.keys.Dir(job.RecordPrefix) {
			t.opened(kv.Key[len(job.RecordPrefix):], kv.Value)
		}
		for id := range t.tombstones {
			if t.after[id] == 0 {
				delete(t.tombstones, id)
			}
		}
		return
	}
	for _, e := range events {
		if id, ok := strings.CutPrefix(e.Key(), job.RecordPrefix); ok {
			if e.Delete != "" {
				t.closed(id)
			} else {
				t.opened(id, e.Value)
			}
		}
	}
	// A job's end and its final record come with one revision, in either order.
	for _, e := range events {
		if c, ok := tombstone.ChangeOf(e); ok && c.Err == nil && t.after[c.ID] > 0 {
			t.settle(c.ID, c.Tombstone)
		}
	}
}

func (t *Tracker) settle(id string, r tombstone.Tombstone) {
	t.tombstones[id] = r
	delete(t.unread, id)
	delete(t.bad, id)
	t.changes++
}

func (t *Tracker) opened(id string, raw json.RawMessage) {
	if t.nodes[id] != nil || !job.MayHaveDependencies(raw) {
		return // most name none; and what a job waits for never changes
	}
	rec, err := job.ParseRecord(raw)
	if err == nil {
		err = rec.JoinSpec(t.keys.Get)
	}
	if err != nil {
		t.keys.ReportUndecodable(job.RecordKey(id), err)
		return
	}
	if len(rec.Spec.WaitsOn) == 0 {
		return
	}
	n := &Node{ID: id, Dependencies: rec.Spec.WaitsOn, Rank: rec.Spec.Rank, EstimatedDuration: t.takes(&rec.Spec)}
	if due := rec.Spec.RelativeDeadline(); rec.Spec.DeadlineS != nil {
		n.Deadline = rec.SubmittedAt().Add(due)
	}
	t.nodes[id] = n
	t.changes++
	for _, p := range n.Dependencies {
		t.after[p]++
		if _, ok := t.tombstones[p]; ok {
			continue
		}
		if r, ok := t.known(p); ok {
			t.settle(p, r)
		}
	}
}

func (t *Tracker) closed(id string) {
	if t.after[id] > 0 {
		t.changes++
	}
	n := t.nodes[id]
	if n == nil {
		return
	}
	t.changes++
	delete(t.nodes, id)
	for _, p := range n.Dependencies {
		if t.after[p]--; t.after[p] == 0 {
			delete(t.after, p)
			delete(t.tombstones, p)
			delete(t.unread, p)
			delete(t.bad, p)
		}
	}
}

// snapshot is the tracker with its mutex held.
type snapshot struct{ *Tracker }

func (s snapshot) OpenJob(id string) (*Node, bool) {
	if n := s.nodes[id]; n != nil {
		return n, true
	}
	_, ok := s.keys.Get(job.RecordKey(id))
	return &Node{ID: id}, ok
}

func (s snapshot) Tombstone(id string) (tombstone.Tombstone, bool) {
	if r, ok := s.tombstones[id]; ok {
		return r, true
	}
	if r, ok := s.known(id); ok && s.after[id] > 0 {
		s.settle(id, r)
		return r, true
	}
	return tombstone.Tombstone{}, false
}

// Evaluate tells what an open job has come to; ok is false for one that names no others.
// Final records that it lacks are read soon.
func (t *Tracker) Evaluate(id string) (v Result, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.nodes[id]
	if n == nil {
		return v, false
	}
	v = Evaluate(snapshot{t}, n)
	all := v.MissingTombstones
	v.MissingTombstones = nil
	for _, p := range all {
		if since, bad := t.bad[p]; bad {
			if v.DamagedTombstones = append(v.DamagedTombstones, p); time.Since(since) < tryBadAgain {
				continue
			}
		} else {
			v.MissingTombstones = append(v.MissingTombstones, p)
		}
		if t.after[p] > 0 && !t.unread[p] {
			t.unread[p] = true
			select {
			case t.wake <- struct{}{}:
			default:
			}
		}
	}
	return v, true
}

// Generation counts the changes; while it stays the same so does every verdict.
func (t *Tracker) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Urgency is what a job is treated as having, by those that need it; ok is false if
// nobody does.
func (t *Tracker) Urgency(id string) (u Urgency, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.after[id] == 0 {
		return u, false
	}
	if t.urgent == nil || t.urgentAt != t.changes {
		t.urgentAt = t.changes
		t.urgent = PropagateUrgency(snapshot{t}, t.nodes)
	}
	u, ok = t.urgent[id]
	return u, ok
}

// tryBadAgain is after how long a damaged record is read again: a person may have
// written it back.
const tryBadAgain = 20 * time.Second

// readPause is the pause after a final record could not be read.
const readPause = 300 * time.Millisecond

// Run reads the final records that are wanted until ctx ends, one after the other.
// What is read is kept for as long as anybody open names the job.
func (t *Tracker) Run(ctx context.Context, read func(context.Context, string) (tombstone.Tombstone, error)) {
	for ctx.Err() == nil {
		t.mu.Lock()
		id := ""
		for id = range t.unread {
			break
		}
		t.mu.Unlock()
		if id == "" {
			select {
			case <-ctx.Done():
			case <-t.wake:
			}
			continue
		}
		rctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		r, err := read(rctx, id)
		t.mu.Lock()
		delete(t.unread, id) // if it is still wanted, the next verdict says so
		if err == nil && t.after[id] > 0 {
			t.settle(id, r)
		}
		t.mu.Unlock()
		if err == nil {
			cancel()
			continue
		}
		switch {
		case errors.Is(err, statekv.ErrNotFound):
			// It was open until a moment ago, or its record is being written: the
			// mirror will show it.
			slog.Debug("dependency record missing", "job", id)
		case errors.Is(err, statekv.ErrRejected) || errors.Is(err, statekv.ErrOutcomeUnknown) || rctx.Err() != nil:
			slog.Debug("dependency record read failed", "job", id, "err", err)
		default:
			// What waits for it goes on waiting, until a person has seen to it.
			t.keys.ReportUndecodable(tombstone.Key(id), err)
			t.mu.Lock()
			if t.after[id] > 0 {
				t.bad[id] = time.Now()
			}
			t.mu.Unlock()
		}
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(readPause):
		}
	}
}
