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
	// readTimeout limits the read of one tombstone. readRetryDelay is the pause after a read that
	// failed.
	readTimeout    = 2 * time.Second
	readRetryDelay = 300 * time.Millisecond

	// damagedRetryDelay is the time after which a damaged tombstone is read again, since an
	// operator may have restored it.
	damagedRetryDelay = 20 * time.Second
)

// Mirror is the part of a mirror that a Tracker needs. *statekv.Mirror implements it.
type Mirror interface {
	Get(key string) (statekv.KV, bool)
	Dir(prefix string) []statekv.KV
	ReportUndecodable(key string, err error)
}

// Tracker maintains, for one session of a controller, the snapshot from which dependent jobs are
// evaluated: the open jobs with dependencies, of all job shards, and the tombstones of these
// dependencies. The mirror passes each change to the tracker before it reports the revision of that
// change as seen. It is safe for concurrent use.
type Tracker struct {
	mirror          Mirror
	estimate        func(*job.Spec) time.Duration
	cachedTombstone func(id string) (tombstone.Tombstone, bool)

	mu                  sync.Mutex // guards the fields below
	nodes               map[string]*Node
	dependents          map[string]int // number of nodes that depend on a job
	tombstones          map[string]tombstone.Tombstone
	pendingReads        map[string]bool      // dependencies whose tombstones are to be read
	damagedReadAt       map[string]time.Time // when a damaged tombstone was last read
	generation          uint64
	urgencies           map[string]Urgency // inherited, as of urgenciesGeneration; nil: not computed yet
	urgenciesGeneration uint64
	readRequested       chan struct{}
}

// NewTracker returns a tracker without jobs. estimate returns how long a job takes, approximately,
// once it is ready. cachedTombstone returns tombstones that other components have read.
func NewTracker(
	mirror Mirror, estimate func(*job.Spec) time.Duration, cachedTombstone func(string) (tombstone.Tombstone, bool),
) *Tracker {
	t := &Tracker{
		mirror:          mirror,
		estimate:        estimate,
		cachedTombstone: cachedTombstone,
		tombstones:      map[string]tombstone.Tombstone{},
		readRequested:   make(chan struct{}, 1),
	}
	t.reset()
	return t
}

// reset discards all state except the tombstones, which never change. The caller must hold t.mu or
// be the only goroutine that can access t.
func (t *Tracker) reset() {
	t.nodes = map[string]*Node{}
	t.dependents = map[string]int{}
	t.pendingReads = map[string]bool{}
	t.damagedReadAt = map[string]time.Time{}
}

// OnEvents applies changes. A nil slice means that changes were missed and that all records must be
// loaded again. OnEvents performs no I/O.
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
			t.removeJob(id)
		default:
			t.addJob(id, e.Value)
		}
	}
	// The deletion of a job's record and the write of its tombstone have the same revision and may
	// come in either order. Tombstones are therefore applied after all records.
	for _, e := range events {
		if c, ok := tombstone.ChangeOf(e); ok && c.Err == nil && t.dependents[c.ID] > 0 {
			t.addTombstone(c.ID, c.Tombstone)
		}
	}
}

// reload loads all records again. The caller must hold t.mu.
func (t *Tracker) reload() {
	t.generation++
	t.reset()
	for _, kv := range t.mirror.Dir(job.RecordPrefix) {
		t.addJob(kv.Key[len(job.RecordPrefix):], kv.Value)
	}
	for id := range t.tombstones {
		if t.dependents[id] == 0 {
			delete(t.tombstones, id)
		}
	}
}

// addTombstone stores the tombstone of a job. The caller must hold t.mu.
func (t *Tracker) addTombstone(id string, ts tombstone.Tombstone) {
	t.tombstones[id] = ts
	delete(t.pendingReads, id)
	delete(t.damagedReadAt, id)
	t.generation++
}

// addJob adds the job of a record, if it has dependencies. The caller must hold t.mu.
func (t *Tracker) addJob(id string, raw json.RawMessage) {
	if t.nodes[id] != nil || !job.MayHaveDependencies(raw) {
		return // most jobs have none, and a job's dependencies never change
	}
	n, err := t.parseNode(id, raw)
	if err != nil {
		t.mirror.ReportUndecodable(job.RecordKey(id), err)
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
		if ts, ok := t.cachedTombstone(dependency); ok {
			t.addTombstone(dependency, ts)
		}
	}
}

// parseNode decodes a record and the fragments of its spec.
func (t *Tracker) parseNode(id string, raw json.RawMessage) (*Node, error) {
	record, err := job.ParseRecord(raw)
	if err != nil {
		return nil, err
	}
	if err := record.JoinSpec(t.mirror.Get); err != nil {
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

// removeJob removes a job whose record was deleted. The caller must hold t.mu.
func (t *Tracker) removeJob(id string) {
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
			delete(t.pendingReads, dependency)
			delete(t.damagedReadAt, dependency)
		}
	}
}

// lockedSnapshot is the Snapshot of a tracker whose mutex is held.
type lockedSnapshot struct{ *Tracker }

func (s lockedSnapshot) OpenJob(id string) (*Node, bool) {
	if n := s.nodes[id]; n != nil {
		return n, true
	}
	_, ok := s.mirror.Get(job.RecordKey(id))
	return &Node{ID: id}, ok
}

func (s lockedSnapshot) Tombstone(id string) (tombstone.Tombstone, bool) {
	if ts, ok := s.tombstones[id]; ok {
		return ts, true
	}
	if ts, ok := s.cachedTombstone(id); ok && s.dependents[id] > 0 {
		s.addTombstone(id, ts)
		return ts, true
	}
	return tombstone.Tombstone{}, false
}

// Evaluate returns the state of an open job. ok is false if the job is not open or has no
// dependencies. Missing tombstones are read in the background.
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
		readAt, damaged := t.damagedReadAt[dependency]
		if !damaged {
			result.MissingTombstones = append(result.MissingTombstones, dependency)
		} else {
			result.DamagedTombstones = append(result.DamagedTombstones, dependency)
		}
		if !damaged || time.Since(readAt) >= damagedRetryDelay {
			t.requestRead(dependency)
		}
	}
	return result, true
}

// requestRead requests a background read of a tombstone, if an open job depends on it. The caller
// must hold t.mu.
func (t *Tracker) requestRead(id string) {
	if t.dependents[id] == 0 || t.pendingReads[id] {
		return
	}
	t.pendingReads[id] = true
	select {
	case t.readRequested <- struct{}{}:
	default: // a signal is already pending
	}
}

// Generation returns the number of changes so far. While it stays the same, so does the result of
// every evaluation.
func (t *Tracker) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// Urgency returns the rank and the deadline that a job inherits from the jobs that depend on it. ok
// is false if it inherits none.
func (t *Tracker) Urgency(id string) (u Urgency, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dependents[id] == 0 {
		return Urgency{}, false
	}
	if t.urgencies == nil || t.urgenciesGeneration != t.generation {
		t.urgenciesGeneration = t.generation
		t.urgencies = PropagateUrgency(lockedSnapshot{t}, t.nodes)
	}
	u, ok = t.urgencies[id]
	return u, ok
}

// Run reads the requested tombstones one after the other until ctx ends. A tombstone is kept for as
// long as an open job depends on it.
func (t *Tracker) Run(ctx context.Context, read func(context.Context, string) (tombstone.Tombstone, error)) {
	for ctx.Err() == nil {
		id, ok := t.nextPendingRead()
		if !ok {
			select {
			case <-ctx.Done():
			case <-t.readRequested:
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

// nextPendingRead returns any one of the jobs whose tombstones are to be read.
func (t *Tracker) nextPendingRead() (id string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.pendingReads {
		return id, true
	}
	return "", false
}

// readTombstone reads one tombstone and reports whether it succeeded.
func (t *Tracker) readTombstone(
	ctx context.Context, id string, read func(context.Context, string) (tombstone.Tombstone, error),
) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ts, err := read(ctx, id)
	t.recordRead(id, ts, err)
	switch {
	case err == nil:
		return true
	case errors.Is(err, statekv.ErrNotFound):
		// The job was open until a moment ago, or its tombstone is being written. The mirror will
		// deliver the tombstone.
		slog.Debug("dependency record missing", "job", id)
	case errors.Is(err, statekv.ErrRejected), errors.Is(err, statekv.ErrOutcomeUnknown), ctx.Err() != nil:
		slog.Debug("dependency record read failed", "job", id, "err", err)
	default:
		// Jobs that depend on this one wait until an operator has restored the tombstone.
		t.mirror.ReportUndecodable(tombstone.Key(id), err)
		t.recordDamaged(id)
	}
	return false
}

// recordRead stores the result of a read. If the read failed and the tombstone is still needed, the
// next evaluation requests it again.
func (t *Tracker) recordRead(id string, ts tombstone.Tombstone, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pendingReads, id)
	if err == nil && t.dependents[id] > 0 {
		t.addTombstone(id, ts)
	}
}

// recordDamaged stores that the tombstone of a job was found to be damaged.
func (t *Tracker) recordDamaged(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dependents[id] > 0 {
		t.damagedReadAt[id] = time.Now()
	}
}
