package statekv

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"
)

// Mirror is a read replica of the keys under some prefixes, and passes on the changes under a
// wider one. What it holds is old by the time it is read; the revision says how old. It may be
// used from many goroutines.
type Mirror struct {
	store    Store
	prefixes []string // of the keys that are kept
	watched  string   // prefix of the changes that are passed on
	block    time.Duration
	pause    time.Duration // least time between two watches: each counts as a request
	onEvents func([]Event)

	// Parse reads the value of a kept key or of a change once, so that those who look through
	// many keys, and all consumers of changes, need not; nil reads nothing. An error in its
	// place says why the value cannot be decoded. Set it before Load.
	Parse func(key string, value json.RawMessage) any

	// OnApply gets every change, and nil when all was read anew, before the revision counts as
	// seen: who waits for that finds the change taken note of. It must do no I/O. Set it before
	// Load.
	OnApply func([]Event)

	// Track picks the changes whose latest revision TrackedRev returns; nil picks none. Set it
	// before Load.
	Track func(Event) bool

	undecodable undecodableKeys

	mu          sync.Mutex
	dirs        directories
	rev         uint64
	trackedRev  uint64        // of the latest change that Track picks
	freshAsOf   time.Time     // when the request that last showed the present was sent
	loaded      bool          // whether rev and dirs are those of the store
	advanced    chan struct{} // closed and replaced whenever rev grows
	nextBarrier *barrier      // that those who come now wait for; nil: nobody waits
	asking      bool          // whether askRevision runs
}

// NewMirror returns a mirror of the keys under prefixes, whose watches of the changes under
// watched wait for at most block and are at least pause apart. onEvents, called from one
// goroutine, gets every change after the first load and, after a gap in the watch, nil.
func NewMirror(
	store Store, prefixes []string, watched string, block, pause time.Duration, onEvents func([]Event),
) *Mirror {
	return &Mirror{
		store:       store,
		prefixes:    prefixes,
		watched:     watched,
		block:       block,
		pause:       pause,
		onEvents:    onEvents,
		undecodable: undecodableKeys{reasons: map[string]string{}},
		dirs:        directories{},
		advanced:    make(chan struct{}),
	}
}

// Get returns a key as last seen.
func (m *Mirror) Get(key string) (KV, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dirs.get(key)
}

// Dir returns the keys directly under a prefix that ends with a slash, as last seen, in no
// order.
func (m *Mirror) Dir(prefix string) []KV {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]KV, 0, len(m.dirs[prefix]))
	for _, kv := range m.dirs[prefix] {
		out = append(out, kv)
	}
	return out
}

// Rev is the revision up to which the mirror is complete.
func (m *Mirror) Rev() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rev
}

// TrackedRev is the revision of the latest change, among those that can be seen here, that Track
// picks; it is counted at the very moment at which the change can be seen.
func (m *Mirror) TrackedRev() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.trackedRev
}

// FreshAsOf is a moment at which the mirror was known to be complete.
func (m *Mirror) FreshAsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.freshAsOf
}

// Wait blocks until the mirror is complete up to rev.
func (m *Mirror) Wait(ctx context.Context, rev uint64) error {
	for {
		m.mu.Lock()
		complete, advanced := m.loaded && m.rev >= rev, m.advanced
		m.mu.Unlock()
		if complete {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-advanced:
		}
	}
}

// advance publishes a revision. The caller holds the mutex.
func (m *Mirror) advance(rev uint64) {
	m.rev = rev
	close(m.advanced)
	m.advanced = make(chan struct{})
}

// directories holds keys by directory, the key's part up to the last slash, and by key.
type directories map[string]map[string]KV

func directoryOf(key string) string { return key[:strings.LastIndexByte(key, '/')+1] }

func (d directories) get(key string) (KV, bool) {
	kv, ok := d[directoryOf(key)][key]
	return kv, ok
}

func (d directories) put(kv KV) {
	directory := directoryOf(kv.Key)
	if d[directory] == nil {
		d[directory] = map[string]KV{}
	}
	d[directory][kv.Key] = kv
}

func (d directories) remove(key string) {
	directory := directoryOf(key)
	delete(d[directory], key)
	if len(d[directory]) == 0 {
		delete(d, directory)
	}
}
