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

const (
	// readTimeout bounds the read of one tombstone, and readRetryDelay is the pause after
	// one that failed.
	readTimeout    = 2 * time.Second
	readRetryDelay = 300 * time.Millisecond

	// damagedRetryDelay is after how long a damaged tombstone is read again: an operator may
	// have restored it.
	damagedRetryDelay = 20 * time.Second
)

// Keys are the mirrored keys; *statekv.Mirror implements it.
type Keys interface {
	Get(key string) (statekv.KV, bool)
	Dir(prefix string) []statekv.KV
	ReportUndecodable(key string, err error)
}

// Tracker keeps, for one session of a controller, the snapshot by which dependent jobs are
// evaluated: the open jobs with dependencies, of all job shards, and the tombstones of
// those dependencies. The mirror passes each change to it before it says that it has seen
// it. It is safe for concurrent use.
type Tracker struct {
	keys     Keys
	estimate func(*job.Spec) time.Duration
	cached   func(id string) (tombstone.Tombstone, bool)

	mu            sync.Mutex
	nodes         map[string]*Node
	dependents    map[string]int // how many nodes depend on a job
	tombstones    map[string]tombstone.Tombstone
	wanted        map[string]bool      // dependencies whose tombstones are to be read
	damaged       map[string]time.Time // since when their tombstones are known to be damaged
	generation    uint64
	urgencies     map[string]Urgency // as of urgenciesAt; nil: never worked out
	urgenciesAt   uint64
	wantedChanged chan struct{}
}

// NewTracker returns a tracker. estimate returns about how long a job takes once it is
// ready; cached returns tombstones that another component has read.
func NewTracker(
	keys Keys, estimate func(*job.Spec) time.Duration, cached func(string) (tombstone.Tombstone, bool),
) *Tracker {
	t := &Tracker{
		keys:          keys,
		estimate:      estimate,
		cached:        cached,
		tombstones:    map[string]tombstone.Tombstone{},
		wantedChanged: make(chan struct{}, 1),
	}
	t.reset()
	return t
}

// reset forgets all but the tombstones, which never change.
func (t *Tracker) reset() {
	t.nodes = map[string]*Node{}
	t.dependents = map[string]int{}
	t.wanted = map[string]bool{}
	t.damaged = map[string]time.Time{}
}

// OnEvents takes in changes; nil says that some were missed. It does no I/O.
func (t *Tracker) OnEvents(events []statekv.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if events == nil {
		t.reload()
		return
	}
	for _, e := range events {
		id, ok := strings.CutPrefix(e.Key(), job.RecordPrefix)
		switch {
		case !ok:
		case e.Delete != "":
			t.closeJob(id)
		default:
			t.openJob(id, e.Value)
		}
	}
	// The deletion of a job's record and its tombstone have the same revision, in either
	// order.
	for _, e := range events {
		if c, ok := tombstone.ChangeOf(e); ok && c.Err == nil && t.dependents[c.ID] > 0 {
			t.addTombstone(c.ID, c.Tombstone)
		}
	}
}

// reload reads all records anew. t.mu is held.
func (t *Tracker) reload() {
	t.generation++
	t.reset()
	for _, kv := range t.keys.Dir(job.RecordPrefix) {
		t.openJob(kv.Key[len(job.RecordPrefix):], kv.Value)
	}
	for id := range t.tombstones {
		if t.dependents[id] == 0 {
			delete(t.tombstones, id)
		}
	}
}

// addTombstone takes in a tombstone. t.mu is held.
func (t *Tracker) addTombstone(id string, stone tombstone.Tombstone) {
	t.tombstones[id] = stone
	delete(t.wanted, id)
	delete(t.damaged, id)
	t.generation++
}

// openJob takes in a record. t.mu is held.
func (t *Tracker) openJob(id string, raw json.RawMessage) {
	if t.nodes[id] != nil || !job.MayHaveDependencies(raw) {
		return // most have none; and a job's dependencies never change
	}
	n, err := t.parseNode(id, raw)
	if err != nil {
		t.keys.ReportUndecodable(job.RecordKey(id), err)
		return
	}
	if len(n.Dependencies) == 0 {
		return
	}
	t.nodes[id] = n
	t.generation++
	for _, dependency := range n.Dependencies {
		t.dependents[dependency]++
		if _, ok := t.tombstones[dependency]; ok {
			continue
		}
		if stone, ok := t.cached(dependency); ok {
			t.addTombstone(dependency, stone)
		}
	}
}

// parseNode decodes a record, with its spec fragments.
func (t *Tracker) parseNode(id string, raw json.RawMessage) (*Node, error) {
	record, err := job.ParseRecord(raw)
	if err != nil {
		return nil, err
	}
	if err := record.JoinSpec(t.keys.Get); err != nil {
		return nil, err
	}
	spec := &record.Spec
	n := &Node{ID: id, Dependencies: spec.WaitsOn, Rank: spec.Rank}
	if len(n.Dependencies) == 0 {
		return n, nil
	}
	n.EstimatedDuration = t.estimate(spec)
	if spec.DeadlineS != nil {
		n.Deadline = record.SubmittedAt().Add(spec.RelativeDeadline())
	}
	return n, nil
}

// closeJob takes in that a record was deleted. t.mu is held.
func (t *Tracker) closeJob(id string) {
	if t.dependents[id] > 0 {
		t.generation++
	}
	n := t.nodes[id]
	if n == nil {
		return
	}
	t.generation++
	delete(t.nodes, id)
	for _, dependency := range n.Dependencies {
		t.dependents[dependency]--
		if t.dependents[dependency] == 0 {
			delete(t.dependents, dependency)
			delete(t.tombstones, dependency)
			delete(t.wanted, dependency)
			delete(t.damaged, dependency)
		}
	}
}

// lockedSnapshot is the tracker as a Snapshot, while its mutex is held.
type lockedSnapshot struct{ *Tracker }

func (s lockedSnapshot) OpenJob(id string) (*Node, bool) {
	if n := s.nodes[id]; n != nil {
		return n, true
	}
	_, ok := s.keys.Get(job.RecordKey(id))
	return &Node{ID: id}, ok
}

func (s lockedSnapshot) Tombstone(id string) (tombstone.Tombstone, bool) {
	if stone, ok := s.tombstones[id]; ok {
		return stone, true
	}
	if stone, ok := s.cached(id); ok && s.dependents[id] > 0 {
		s.addTombstone(id, stone)
		return stone, true
	}
	return tombstone.Tombstone{}, false
}

// Evaluate returns what an open job has come to; ok is false for one without dependencies.
// Tombstones that it lacks are read soon.
func (t *Tracker) Evaluate(id string) (result Result, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.nodes[id]
	if n == nil {
		return Result{}, false
	}
	result = Evaluate(lockedSnapshot{t}, n)
	missing := result.MissingTombstones
	result.MissingTombstones = nil
	for _, dependency := range missing {
		since, damaged := t.damaged[dependency]
		if !damaged {
			result.MissingTombstones = append(result.MissingTombstones, dependency)
		} else {
			result.DamagedTombstones = append(result.DamagedTombstones, dependency)
		}
		if !damaged || time.Since(since) >= damagedRetryDelay {
			t.want(dependency)
		}
	}
	return result, true
}

// want has a tombstone read, if an open job depends on it. t.mu is held.
func (t *Tracker) want(id string) {
	if t.dependents[id] == 0 || t.wanted[id] {
		return
	}
	t.wanted[id] = true
	select {
	case t.wantedChanged <- struct{}{}:
	default: // the signal is pending already
	}
}

// Generation counts the changes; while it stays the same so does every result.
func (t *Tracker) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// Urgency is what a job is treated as having, by those that depend on it; ok is false if
// none does.
func (t *Tracker) Urgency(id string) (u Urgency, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dependents[id] == 0 {
		return Urgency{}, false
	}
	if t.urgencies == nil || t.urgenciesAt != t.generation {
		t.urgenciesAt = t.generation
		t.urgencies = PropagateUrgency(lockedSnapshot{t}, t.nodes)
	}
	u, ok = t.urgencies[id]
	return u, ok
}

// Run reads the tombstones that are wanted until ctx ends, one after the other. What is
// read is kept for as long as any open job depends on it.
func (t *Tracker) Run(ctx context.Context, read func(context.Context, string) (tombstone.Tombstone, error)) {
	for ctx.Err() == nil {
		id, ok := t.nextWanted()
		if !ok {
			select {
			case <-ctx.Done():
			case <-t.wantedChanged:
			}
			continue
		}
		if t.readTombstone(ctx, id, read) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(readRetryDelay):
		}
	}
}

// nextWanted returns any of the wanted tombstones.
func (t *Tracker) nextWanted() (id string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.wanted {
		return id, true
	}
	return "", false
}

// readTombstone reads one tombstone and reports whether it was read.
func (t *Tracker) readTombstone(
	ctx context.Context, id string, read func(context.Context, string) (tombstone.Tombstone, error),
) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stone, err := read(ctx, id)
	t.noteRead(id, stone, err)
	switch {
	case err == nil:
		return true
	case errors.Is(err, statekv.ErrNotFound):
		// The job was open until a moment ago, or its tombstone is being written: the mirror
		// will show it.
		slog.Debug("dependency record missing", "job", id)
	case errors.Is(err, statekv.ErrRejected), errors.Is(err, statekv.ErrOutcomeUnknown), ctx.Err() != nil:
		slog.Debug("dependency record read failed", "job", id, "err", err)
	default:
		// What depends on it goes on waiting, until an operator has restored it.
		t.keys.ReportUndecodable(tombstone.Key(id), err)
		t.noteDamaged(id)
	}
	return false
}

// noteRead takes in the end of a read: if the tombstone is still wanted, the next
// evaluation says so.
func (t *Tracker) noteRead(id string, stone tombstone.Tombstone, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.wanted, id)
	if err == nil && t.dependents[id] > 0 {
		t.addTombstone(id, stone)
	}
}

func (t *Tracker) noteDamaged(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dependents[id] > 0 {
		t.damaged[id] = time.Now()
	}
}
