package tombstone

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"robinstack/internal/statekv"
)

// BatchedLookup answers questions about jobs that have no open record: they are over, or nobody
// ever submitted them. However many come, each has its turn in the order of coming, and
// the requests stay within their share: one transaction without changes sorts out those
// that were never submitted, many at a time, and only the others are read.
type BatchedLookup struct {
	store finderStore
	conds int // conditions of one transaction
	each  time.Duration

	mu      sync.Mutex
	queue   []*lookup
	wanted  map[string]*lookup // those that have not been begun
	working bool
}

type finderStore interface {
	Store
	Allow(kind statekv.RequestClass, n int) bool
}

type lookup struct {
	id   string
	done chan struct{}
	r    Tombstone
	err  error
}

// mostQueued bounds the questions that wait: at the smallest share of the deployments,
// 6.7 requests a second of 15 jobs each, the last has its turn after 30 s. longestWait
// is for how long somebody waits: what would take longer is refused, and is looked up
// all the same, so that the next question about a job that is over finds the answer.
const (
	mostQueued  = 3000
	longestWait = 500 * time.Millisecond
)

// NewBatchedLookup returns a finder whose transactions have up to so many conditions and whose
// share allows so many requests a second.
func NewBatchedLookup(store finderStore, conds int, perSecond float64) *BatchedLookup {
	return &BatchedLookup{store: store, conds: conds, each: time.Duration(float64(time.Second) / max(1, perSecond)), wanted: map[string]*lookup{}}
}

// ErrBusy says that too many questions wait.
var ErrBusy = fmt.Errorf("%w: too many questions about jobs that are over or unknown", statekv.ErrRejected)

// Lookup returns the record of a job that is over; statekv.ErrNotFound says that it was
// not over at some moment since the call: see Read. Whatever is found goes to found,
// also when nobody waits for it any more.
func (f *BatchedLookup) Lookup(ctx context.Context, fence func() (statekv.Compare, bool), id string, found func(string, Tombstone)) (Tombstone, error) {
	f.mu.Lock()
	l := f.wanted[id]
	if l == nil {
		if len(f.queue) >= mostQueued {
			f.mu.Unlock()
			return Tombstone{}, ErrBusy
		}
		l = &lookup{id: id, done: make(chan struct{})}
		f.wanted[id], f.queue = l, append(f.queue, l)
	}
	long := time.Duration(len(f.queue)/f.group())*f.each > longestWait
	if !f.working {
		f.working = true
		go f.work(fence, found)
	}
	f.mu.Unlock()
	if long {
		return Tombstone{}, ErrBusy
	}
	timer := time.NewTimer(longestWait)
	defer timer.Stop()
	select {
	case <-l.done:
		return l.r, l.err
	case <-timer.C:
		return Tombstone{}, ErrBusy
	case <-ctx.Done():
		return Tombstone{}, fmt.Errorf("%w: %w", ErrBusy, ctx.Err())
	}
}

// group is how many jobs one transaction looks for.
func (f *BatchedLookup) group() int { return max(1, (f.conds-1)/len(AbsentCompares(""))) }

// work takes the questions in their order until there are none.
func (f *BatchedLookup) work(fence func() (statekv.Compare, bool), found func(string, Tombstone)) {
	for {
		// First the turn, then who has it: more may have come meanwhile.
		for tries := 0; !f.store.Allow(statekv.ClassLookup, 1) && tries < mostTries; tries++ {
			time.Sleep(turnPause)
		}
		f.mu.Lock()
		n := min(f.group(), len(f.queue))
		group := slices.Clone(f.queue[:n])
		f.queue = slices.Delete(f.queue, 0, n)
		for _, l := range group {
			delete(f.wanted, l.id) // who asks from now on needs a later answer
		}
		f.working = n > 0
		f.mu.Unlock()
		if n == 0 {
			return
		}
		f.answer(group, fence, found)
	}
}

// turnPause is how long a worker waits before it asks again whether it has a turn, and
// mostTries after how many times it goes on without.
const (
	turnPause = 20 * time.Millisecond
	mostTries = 50
)

func (f *BatchedLookup) answer(group []*lookup, fence func() (statekv.Compare, bool), found func(string, Tombstone)) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	finish := func(l *lookup, r Tombstone, err error) {
		if l.r, l.err = r, err; err == nil {
			found(l.id, r)
		}
		close(l.done)
	}
	own, lives := fence()
	if !lives {
		for _, l := range group {
			finish(l, Tombstone{}, fmt.Errorf("%w: starting", statekv.ErrRejected))
		}
		return
	}
	known, unknown, err := PartitionByPresence(ctx, f.store, own, ids(group), AbsentCompares)
	for _, l := range group {
		switch {
		case err != nil:
			finish(l, Tombstone{}, err)
		case slices.Contains(unknown, l.id):
			finish(l, Tombstone{}, statekv.ErrNotFound)
		case slices.Contains(known, l.id):
			r, err := Read(ctx, f.store, []statekv.Compare{own}, l.id)
			finish(l, r, err)
		}
	}
}

func ids(group []*lookup) (out []string) {
	for _, l := range group {
		out = append(out, l.id)
	}
	return out
}

// PartitionByPresence tells the jobs for which a condition of absent does not hold from those for which
// all do, each at some moment since the call at which the fence held, with few
// transactions without changes.
func PartitionByPresence(ctx context.Context, store Store, fence statekv.Compare, ids []string, absent func(id string) []statekv.Compare) (there, absentOnes []string, err error) {
	for len(ids) > 0 {
		when := []statekv.Compare{fence}
		for _, id := range ids {
			when = append(when, absent(id)...)
		}
		_, err := store.Txn(ctx, when, nil)
		if err == nil {
			return there, ids, nil
		}
		var conflict *statekv.ConflictError
		if !errors.As(err, &conflict) {
			return there, nil, err
		}
		var left []string
		for _, id := range ids {
			if slices.ContainsFunc(absent(id), func(c statekv.Compare) bool { return slices.Contains(conflict.Failed, c.Key) }) {
				there = append(there, id)
			} else {
				left = append(left, id)
			}
		}
		if len(left) == len(ids) {
			return there, nil, fmt.Errorf("%w: this life is over", statekv.ErrRejected)
		}
		ids = left
	}
	return there, nil, nil
}
