package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// maxCachedTombstones bounds the tombstone cache; beyond it, arbitrary entries are evicted.
const maxCachedTombstones = 20_000

// tombstoneCache holds tombstones that were read or written recently. What a tombstone says never
// changes, so entries do not become stale. The zero value is an empty cache.
type tombstoneCache struct {
	mu      sync.Mutex // guards entries
	entries map[string]tombstone.Tombstone
}

func (c *tombstoneCache) get(id string) (tombstone.Tombstone, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	final, ok := c.entries[id]
	return final, ok
}

func (c *tombstoneCache) put(id string, final tombstone.Tombstone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[string]tombstone.Tombstone{}
	}
	for evicted := range c.entries {
		if len(c.entries) < maxCachedTombstones {
			break
		}
		delete(c.entries, evicted)
	}
	c.entries[id] = final
}

// CachedTombstone returns the tombstone of a finished job if it is in the cache.
func (g *Gateway) CachedTombstone(id string) (tombstone.Tombstone, bool) { return g.tombstones.get(id) }

// OnTombstoneEvent caches the tombstone that an event writes, and logs one that cannot be decoded.
// Other events are ignored.
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

// ReadTombstone reads the tombstone of a finished job. The error is statekv.ErrNotFound if there is
// none, which only a controller with a session can establish: see tombstone.Read.
func (g *Gateway) ReadTombstone(ctx context.Context, id string) (tombstone.Tombstone, error) {
	fence, ok := g.sessionFence()
	if !ok {
		return tombstone.Tombstone{}, errNoSession
	}
	return tombstone.Read(ctx, g.store, []statekv.Compare{fence}, id)
}

// errNoSession is returned for requests that only a controller with a session can answer.
var errNoSession = fmt.Errorf("%w: this controller has no session", statekv.ErrRejected)
