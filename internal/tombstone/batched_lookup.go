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
	// maxQueued bounds the lookups that wait: at the smallest share of the deployments, 6.7
	// requests a second of 15 jobs each, the last is answered after 30 s.
	maxQueued = 3000

	// maxWait is for how long a caller waits. What would take longer is rejected, and is
	// looked up all the same, so that the next lookup of a finished job finds the answer.
	maxWait = 500 * time.Millisecond

	// allowPause is how long the worker waits before it asks again whether it may send a
	// request, and maxAllowAttempts after how many times it goes on without.
	allowPause       = 20 * time.Millisecond
	maxAllowAttempts = 50

	// batchTimeout bounds all requests of one batch.
	batchTimeout = 2 * time.Second
)

// BatchedLookup looks up jobs that have no record: they are finished, or nobody ever
// submitted them. However many lookups come, each is answered in the order of coming, and
// the requests stay within their share: one transaction without changes sorts out those
// that were never submitted, many at a time, and only the others are read. It is safe for
// concurrent use.
type BatchedLookup struct {
	store           lookupStore
	maxCompares     int // of one transaction
	requestInterval time.Duration

	mu      sync.Mutex
	queue   []*pendingLookup
	byID    map[string]*pendingLookup // those in the queue
	working bool                      // a worker goroutine runs
}

type lookupStore interface {
	Store
	Allow(class statekv.RequestClass, n int) bool
}

// pendingLookup is a lookup for all who want it; done is closed once the others are set.
type pendingLookup struct {
	id        string
	done      chan struct{}
	tombstone Tombstone
	err       error
}

// NewBatchedLookup returns a lookup whose transactions have up to maxCompares compares and
// whose share allows so many requests a second.
func NewBatchedLookup(store lookupStore, maxCompares int, requestsPerSecond float64) *BatchedLookup {
	return &BatchedLookup{
		store:           store,
		maxCompares:     maxCompares,
		requestInterval: time.Duration(float64(time.Second) / max(1, requestsPerSecond)),
		byID:            map[string]*pendingLookup{},
	}
}

// ErrBusy says that too many lookups wait.
var ErrBusy = fmt.Errorf("%w: too many questions about jobs that are over or unknown", statekv.ErrRejected)

// Lookup returns the tombstone of a job; statekv.ErrNotFound says that it had none at some
// moment since the call: see Read. fence returns the compare of the caller's session, and
// whether there is a session. Whatever is found goes to found, also when nobody waits for it
// any more.
func (l *BatchedLookup) Lookup(
	ctx context.Context, fence func() (statekv.Compare, bool), id string, found func(string, Tombstone),
) (Tombstone, error) {
	//nolint:contextcheck // the worker answers many callers and has to outlive each
	lookup, queued := l.enqueue(id, fence, found)
	if lookup == nil || l.waitFor(queued) > maxWait {
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

// enqueue returns the lookup of a job, new or one that waits already, and the length of the
// queue; nil if that is full. It starts a worker unless one runs, which ends by itself once
// the queue is empty.
func (l *BatchedLookup) enqueue(
	id string, fence func() (statekv.Compare, bool), found func(string, Tombstone),
) (lookup *pendingLookup, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lookup = l.byID[id]
	if lookup == nil {
		if len(l.queue) >= maxQueued {
			return nil, len(l.queue)
		}
		lookup = &pendingLookup{id: id, done: make(chan struct{})}
		l.byID[id], l.queue = lookup, append(l.queue, lookup)
	}
	if !l.working {
		l.working = true
		go l.work(fence, found)
	}
	return lookup, len(l.queue)
}

// waitFor estimates how long the last of so many lookups waits.
func (l *BatchedLookup) waitFor(queued int) time.Duration {
	return time.Duration(queued/l.batchSize()) * l.requestInterval
}

// batchSize is how many jobs one transaction looks for, beside the fence.
func (l *BatchedLookup) batchSize() int { return max(1, (l.maxCompares-1)/len(AbsentCompares(""))) }

// work answers the lookups in their order until there are none.
func (l *BatchedLookup) work(fence func() (statekv.Compare, bool), found func(string, Tombstone)) {
	for {
		// First the permission, then the batch: more may have come meanwhile.
		l.awaitAllowed()
		batch := l.nextBatch()
		if len(batch) == 0 {
			return
		}
		l.answer(batch, fence, found)
	}
}

// awaitAllowed waits until the share allows a request.
func (l *BatchedLookup) awaitAllowed() {
	for attempts := 0; !l.store.Allow(statekv.ClassLookup, 1) && attempts < maxAllowAttempts; attempts++ {
		time.Sleep(allowPause)
	}
}

// nextBatch takes the first lookups from the queue; with none, the worker has to end.
func (l *BatchedLookup) nextBatch() []*pendingLookup {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(l.batchSize(), len(l.queue))
	batch := slices.Clone(l.queue[:n])
	l.queue = slices.Delete(l.queue, 0, n)
	for _, lookup := range batch {
		delete(l.byID, lookup.id) // who asks from now on needs a later answer
	}
	l.working = n > 0
	return batch
}

// finish answers one lookup.
func (p *pendingLookup) finish(t Tombstone, err error, found func(string, Tombstone)) {
	p.tombstone, p.err = t, err
	if err == nil {
		found(p.id, t)
	}
	close(p.done)
}

// answer answers the lookups of a batch.
func (l *BatchedLookup) answer(
	batch []*pendingLookup, fence func() (statekv.Compare, bool), found func(string, Tombstone),
) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	session, alive := fence()
	if !alive {
		for _, lookup := range batch {
			lookup.finish(Tombstone{}, fmt.Errorf("%w: starting", statekv.ErrRejected), found)
		}
		return
	}
	present, missing, err := PartitionByPresence(ctx, l.store, session, idsOf(batch), AbsentCompares)
	for _, lookup := range batch {
		switch {
		case err != nil:
			lookup.finish(Tombstone{}, err, found)
		case slices.Contains(missing, lookup.id):
			lookup.finish(Tombstone{}, statekv.ErrNotFound, found)
		case slices.Contains(present, lookup.id):
			t, err := Read(ctx, l.store, []statekv.Compare{session}, lookup.id)
			lookup.finish(t, err, found)
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
