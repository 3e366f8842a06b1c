package statekv

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"
)

// Mirror is a local replica of the keys under some prefixes. It also passes on all changes under a
// wider prefix. Its data may be out of date when it is read; Rev returns its revision. A Mirror is
// safe for concurrent use.
type Mirror struct {
	store    Store
	prefixes []string      // prefixes of the keys that are kept
	watched  string        // prefix of the changes that are passed on
	block    time.Duration // longest time that a watch waits at the service
	pause    time.Duration // shortest time between two watches, each of which counts as a request
	onEvents func([]Event)

	// Parse decodes the value of a kept key or a change once, for all readers of the key and all
	// consumers of the change. If it returns an error, the value cannot be decoded for that reason.
	// If Parse is nil, nothing is decoded. Set it before Load.
	Parse func(key string, value json.RawMessage) any

	// OnApply is called with each batch of changes, and with nil after a full load, before the
	// mirror publishes the revision. Whoever waits for the revision therefore finds the changes
	// processed. OnApply must not do I/O. Set it before Load.
	OnApply func([]Event)

	// IsTracked reports whether TrackedRev counts a change. If IsTracked is nil, none is counted.
	// Set it before Load.
	IsTracked func(Event) bool

	undecodable undecodableKeys

	// mu guards the fields below.
	mu                  sync.Mutex
	dirs                directories
	rev                 uint64
	trackedRev          uint64        // revision of the latest change for which IsTracked returns true
	freshAsOf           time.Time     // when the latest successful load or watch was sent
	loaded              bool          // whether rev and dirs have been loaded from the store
	advanced            chan struct{} // closed and replaced whenever rev advances
	pendingBarrier      *barrier      // barrier that new callers of ReadIndex join, nil if there is none
	requestingRevisions bool          // whether requestRevisions is running
}

// NewMirror returns a mirror of the keys under prefixes. Its watches cover all changes under
// watched, wait at the service for at most block, and start at least pause apart. onEvents is
// called from one goroutine, with each batch of changes after the first load, and with nil after a
// reload because of a gap in the watch.
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

// Get returns the mirrored value of a key.
func (m *Mirror) Get(key string) (KV, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dirs.get(key)
}

// Dir returns the mirrored keys directly under a prefix that ends with a slash, in no particular
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

// Rev returns the revision up to which the mirror is complete.
func (m *Mirror) Rev() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rev
}

// TrackedRev returns the revision of the latest change for which IsTracked returns true, among the
// changes that the mirror shows. It advances atomically with the mirrored keys.
func (m *Mirror) TrackedRev() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.trackedRev
}

// FreshAsOf returns a time at which the mirror was known to be complete.
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

// advance publishes a revision and wakes waiting goroutines. The caller must hold m.mu.
func (m *Mirror) advance(rev uint64) {
	m.rev = rev
	close(m.advanced)
	m.advanced = make(chan struct{})
}

// directories holds keys by directory, which is the part of the key up to its last slash, and by
// key.
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
