package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// maxTombstones bounds the cache of final answers.
const maxTombstones = 20_000

// tombstoneCache keeps the tombstones that were read or written lately: answers that never change
// any more. The zero value is empty.
type tombstoneCache struct {
	mu      sync.Mutex // guards entries
	entries map[string]tombstone.Tombstone
}

func (t *tombstoneCache) get(id string) (tombstone.Tombstone, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	final, ok := t.entries[id]
	return final, ok
}

func (t *tombstoneCache) put(id string, final tombstone.Tombstone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = map[string]tombstone.Tombstone{}
	}
	for evicted := range t.entries {
		if len(t.entries) < maxTombstones {
			break
		}
		delete(t.entries, evicted)
	}
	t.entries[id] = final
}

// CachedTombstone returns the tombstone of a finished job, if it was read here lately.
func (g *Gateway) CachedTombstone(id string) (tombstone.Tombstone, bool) { return g.tombstones.get(id) }

// OnTombstoneEvent keeps the answer for a finished job, if an event is the writing of its
// tombstone.
func (g *Gateway) OnTombstoneEvent(event statekv.Event) {
	change, ok := tombstone.ChangeOf(event)
	switch {
	case !ok:
	case change.Err != nil:
		slog.Error("stored value undecodable, kept unchanged", "key", event.Set, "err", change.Err)
	default:
		g.tombstones.put(change.ID, change.Tombstone)
	}
}

// ReadTombstone reads the tombstone of a finished job. Only a controller whose session goes on can
// know that there is none: see tombstone.Read. Its error is statekv.ErrNotFound then.
func (g *Gateway) ReadTombstone(ctx context.Context, id string) (tombstone.Tombstone, error) {
	fence, ok := g.sessionFence()
	if !ok {
		return tombstone.Tombstone{}, errNoSession
	}
	return tombstone.Read(ctx, g.store, []statekv.Compare{fence}, id)
}

// errNoSession is returned for what only a controller with a session can know.
var errNoSession = fmt.Errorf("%w: starting", statekv.ErrRejected)
