package tombstone

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"robinstack/internal/statekv"
)

const (
	// maxQueuedLookups limits the queue. At the lowest lookup rate of all deployments, 6.7 requests
	// a second for 15 jobs each, the last lookup of a full queue is answered after 30 s.
	maxQueuedLookups = 3000

	// maxWait limits how long a caller waits for a lookup. The caller then gets ErrBusy, but the
	// lookup stays in the queue, so that a tombstone that it finds is cached for the next caller.
	maxWait = 500 * time.Millisecond

	// allowRetryDelay is the pause before the worker asks again whether it may send a request.
	// After maxAllowAttempts it sends the request without permission.
	allowRetryDelay  = 20 * time.Millisecond
	maxAllowAttempts = 50

	// batchTimeout limits the total time of all requests of one batch.
	batchTimeout = 2 * time.Second
)

// BatchedLookup looks up jobs that have no record: they have finished or were never submitted. It
// answers lookups in the order of arrival and stays within its share of the request rate, however
// many lookups there are: one transaction without operations finds the jobs of a batch that were
// never submitted, and only the tombstones of the others are read. It is safe for concurrent use.
type BatchedLookup struct {
	store           lookupStore
	maxCompares     int // per transaction
	requestInterval time.Duration

	mu            sync.Mutex // guards the fields below
	queue         []*pendingLookup
	byID          map[string]*pendingLookup // the lookups in the queue, by job
	workerRunning bool                      // a worker goroutine is running
}

type lookupStore interface {
	Store
	Allow(class statekv.RequestClass, n int) bool
}

// pendingLookup is a lookup that is shared by all callers that want the same job. done is closed
// when tombstone and err are set.
type pendingLookup struct {
	id        string
	done      chan struct{}
	tombstone Tombstone
	err       error
}

// NewBatchedLookup returns a lookup whose transactions have at most maxCompares compares.
// requestsPerSecond is the rate at which the store allows lookup requests; waiting times are
// estimated from it.
func NewBatchedLookup(store lookupStore, maxCompares int, requestsPerSecond float64) *BatchedLookup {
	return &BatchedLookup{
		store:           store,
		maxCompares:     maxCompares,
		requestInterval: time.Duration(float64(time.Second) / max(1, requestsPerSecond)),
		byID:            map[string]*pendingLookup{},
	}
}

// ErrBusy means that a lookup was not answered in time, because too many lookups are queued or
// because the context of the caller ended.
var ErrBusy = fmt.Errorf("%w: too many lookups of finished or unknown jobs", statekv.ErrRejected)

// Lookup returns the tombstone of a job. statekv.ErrNotFound means that the job had none at some
// moment since the call; see Read. fence returns the compare of the caller's session, and whether
// there is a session. Every tombstone that is found is passed to onFound, even if no caller waits
// for it any more.
func (l *BatchedLookup) Lookup(
	ctx context.Context, fence func() (statekv.Compare, bool), id string, onFound func(string, Tombstone),
) (Tombstone, error) {
	//nolint:contextcheck // the worker answers many callers and has to outlive each
	lookup, queued := l.enqueue(id, fence, onFound)
	if lookup == nil || l.estimateWait(queued) > maxWait {
		return Tombstone{}, ErrBusy
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-lookup.done:
		return lookup.tombstone, lookup.err
	case <-timer.C:
		return Tombstone{}, ErrBusy
	case <-ctx.Done():
		return Tombstone{}, fmt.Errorf("%w: %w", ErrBusy, ctx.Err())
	}
}

// enqueue returns the pending lookup of a job and the length of the queue. If the job has no
// pending lookup, enqueue adds one; if the queue is full, the returned lookup is nil. enqueue
// starts a worker if none is running; the worker ends when the queue is empty.
func (l *BatchedLookup) enqueue(
	id string, fence func() (statekv.Compare, bool), onFound func(string, Tombstone),
) (lookup *pendingLookup, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lookup = l.byID[id]
	if lookup == nil {
		if len(l.queue) >= maxQueuedLookups {
			return nil, len(l.queue)
		}
		lookup = &pendingLookup{id: id, done: make(chan struct{})}
		l.byID[id], l.queue = lookup, append(l.queue, lookup)
	}
	if !l.workerRunning {
		l.workerRunning = true
		go l.runWorker(fence, onFound)
	}
	return lookup, len(l.queue)
}

// estimateWait estimates the waiting time of the last lookup in a queue of the given length.
func (l *BatchedLookup) estimateWait(queued int) time.Duration {
	return time.Duration(queued/l.batchSize()) * l.requestInterval
}

// batchSize returns the number of jobs that one transaction can check. One of its compares is the
// fence.
func (l *BatchedLookup) batchSize() int { return max(1, (l.maxCompares-1)/len(AbsentCompares(""))) }

// runWorker answers the queued lookups in order until the queue is empty.
func (l *BatchedLookup) runWorker(fence func() (statekv.Compare, bool), onFound func(string, Tombstone)) {
	for {
		// Take the batch only after the wait, so that lookups that arrive meanwhile join it.
		l.waitUntilAllowed()
		batch := l.nextBatch()
		if len(batch) == 0 {
			return
		}
		l.processBatch(batch, fence, onFound)
	}
}

// waitUntilAllowed waits until the store allows a lookup request, for at most maxAllowAttempts
// pauses.
func (l *BatchedLookup) waitUntilAllowed() {
	for attempts := 0; !l.store.Allow(statekv.ClassLookup, 1) && attempts < maxAllowAttempts; attempts++ {
		time.Sleep(allowRetryDelay)
	}
}

// nextBatch removes the first lookups from the queue and returns them. If there are none, the
// worker must end.
func (l *BatchedLookup) nextBatch() []*pendingLookup {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(l.batchSize(), len(l.queue))
	batch := slices.Clone(l.queue[:n])
	l.queue = slices.Delete(l.queue, 0, n)
	for _, lookup := range batch {
		delete(l.byID, lookup.id) // later callers need a newer result
	}
	l.workerRunning = n > 0
	return batch
}

// complete sets the result of a lookup and wakes its callers.
func (p *pendingLookup) complete(t Tombstone, err error, onFound func(string, Tombstone)) {
	p.tombstone, p.err = t, err
	if err == nil {
		onFound(p.id, t)
	}
	close(p.done)
}

// processBatch performs the lookups of a batch.
func (l *BatchedLookup) processBatch(
	batch []*pendingLookup, fence func() (statekv.Compare, bool), onFound func(string, Tombstone),
) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	sessionFence, ok := fence()
	if !ok {
		for _, lookup := range batch {
			lookup.complete(Tombstone{}, fmt.Errorf("%w: this controller has no session", statekv.ErrRejected), onFound)
		}
		return
	}
	present, missing, err := PartitionByPresence(ctx, l.store, sessionFence, idsOf(batch), AbsentCompares)
	for _, lookup := range batch {
		switch {
		case err != nil:
			lookup.complete(Tombstone{}, err, onFound)
		case slices.Contains(missing, lookup.id):
			lookup.complete(Tombstone{}, statekv.ErrNotFound, onFound)
		case slices.Contains(present, lookup.id):
			t, err := Read(ctx, l.store, []statekv.Compare{sessionFence}, lookup.id)
			lookup.complete(t, err, onFound)
		}
	}
}

func idsOf(batch []*pendingLookup) []string {
	var ids []string
	for _, lookup := range batch {
		ids = append(ids, lookup.id)
	}
	return ids
}
