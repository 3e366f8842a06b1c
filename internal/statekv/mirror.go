package statekv

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Mirror keeps a copy of the keys under some prefixes and passes on the changes
// of a wider one. What it holds is old by the time it is read; the revision
// says how old.
type Mirror struct {
	store  Store
	keep   []string // prefixes of the keys that are kept
	follow string   // prefix of the changes that are followed
	block  time.Duration
	pause  time.Duration // least time between two watches: each counts as a request
	onNews func([]Event)

	// Parse reads the value of a kept key or of a change once, so that those who look
	// through many keys, and all who follow, need not; nil reads nothing. An error in its
	// place says why the value cannot be read. Set it before Load.
	Parse func(key string, value json.RawMessage) any

	// OnApply gets every change, and nil when all was read anew, before the revision counts
	// as seen: who waits for that finds it taken note of. It must do no I/O. Set it
	// before Load.
	OnApply func([]Event)

	// Track picks changes; nil picks none. Set it before Load.
	Track func(Event) bool

	badMu sync.Mutex
	bad   map[string]string // why a key's value cannot be read

	mu     sync.Mutex
	rev    uint64
	marked uint64                   // of the latest change that Marks picks
	dirs   map[string]map[string]KV // by the key's part up to the last slash
	fresh  time.Time                // when the request that last showed the present was sent
	loaded bool
	moved  chan struct{} // closed and replaced whenever rev grows
	sync   *barrier      // the next one, that those who come now wait for
	busy   bool          // whether one is under way
}

// barrier is a question for the state service's revision that all who came
// before it was asked share.
type barrier struct {
	done chan struct{}
	rev  uint64
	err  error
}

// NewMirror returns a mirror whose watches wait for at most block and are at
// least pause apart; onNews, called from one goroutine, gets every change after
// the first load and, after a gap in the watch, nil.
func NewMirror(store Store, keep []string, follow string, block, pause time.Duration, onNews func([]Event)) *Mirror {
	return &Mirror{store: store, keep: keep, follow: follow, block: block, pause: pause, onNews: onNews, dirs: map[string]map[string]KV{}, bad: map[string]string{}, moved: make(chan struct{})}
}

// mostBad bounds the unreadable keys that are kept in mind.
const mostBad = 100

// ReportUndecodable notes that the value of a key cannot be read, and logs it once. The key
// is left as it is, for whoever wrote it can read it, or a person has to see it.
func (m *Mirror) ReportUndecodable(key string, err error) {
	m.badMu.Lock()
	defer m.badMu.Unlock()
	if _, known := m.bad[key]; known || len(m.bad) >= mostBad {
		return
	}
	m.bad[key] = err.Error()
	slog.Error("stored value undecodable, kept unchanged", "key", key, "err", err)
}

// Undecodable lists the keys whose values cannot be read, with the reason.
func (m *Mirror) Undecodable() map[string]string {
	m.badMu.Lock()
	defer m.badMu.Unlock()
	return maps.Clone(m.bad)
}

func (m *Mirror) readable(key string) {
	m.badMu.Lock()
	defer m.badMu.Unlock()
	delete(m.bad, key)
}

func dirOf(key string) string { return key[:strings.LastIndexByte(key, '/')+1] }

// put stores a key whose value was read in dirs.
func (m *Mirror) put(dirs map[string]map[string]KV, kv KV) {
	if err, ok := kv.Parsed.(error); ok {
		m.ReportUndecodable(kv.Key, err)
	}
	dir := dirOf(kv.Key)
	if dirs[dir] == nil {
		dirs[dir] = map[string]KV{}
	}
	dirs[dir][kv.Key] = kv
}

func (m *Mirror) parse(key string, value json.RawMessage) any {
	if m.Parse == nil {
		return nil
	}
	return m.Parse(key, value)
}

// Load reads the kept keys anew.
func (m *Mirror) Load(ctx context.Context) error {
	sent := time.Now()
	dirs := map[string]map[string]KV{}
	var rev uint64
	first := true
	for _, prefix := range m.keep {
		for after, more := "", true; more; {
			p, err := m.store.List(ctx, prefix, after)
			if err != nil {
				return err
			}
			if first {
				// Later pages may be newer; following from the first page's
				// revision applies their changes again, which is harmless. An
				// empty store's revision is 0: that counts too, or the changes
				// until the next page would never be seen.
				rev, first = p.Rev, false
			}
			for _, kv := range p.Items {
				kv.Parsed = m.parse(kv.Key, kv.Value)
				m.put(dirs, kv)
				after = kv.Key
			}
			more = p.More && len(p.Items) > 0
		}
	}
	m.mu.Lock()
	m.dirs = dirs
	m.marked = max(m.marked, rev) // any of those up to now may have been one
	m.mu.Unlock()
	if m.OnApply != nil {
		m.OnApply(nil)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rev, m.fresh, m.loaded = rev, sent, true
	close(m.moved)
	m.moved = make(chan struct{})
	return nil
}

// Run follows the changes until ctx ends. Load must have succeeded before.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		since := m.rev
		m.mu.Unlock()
		sent := time.Now()
		news, err := m.store.Watch(ctx, m.follow, since, m.block)
		if errors.Is(err, ErrCompacted) {
			if err = m.Load(ctx); err == nil {
				m.onNews(nil)
				continue
			}
		}
		if err != nil {
			slog.Debug("state watch failed", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			continue
		}
		m.apply(news, sent)
		if len(news.Events) > 0 {
			m.onNews(news.Events)
		}
		select {
		case <-ctx.Done():
		case <-time.After(m.pause - time.Since(sent)):
		}
	}
}

func (m *Mirror) apply(news WatchResponse, sent time.Time) {
	for k := range news.Events {
		if e := &news.Events[k]; e.Set != "" {
			e.Parsed = m.parse(e.Set, e.Value)
		}
	}
	m.applyEvents(news.Events)
	if m.OnApply != nil && len(news.Events) > 0 {
		m.OnApply(news.Events)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fresh = sent
	if news.Rev > m.rev {
		m.rev = news.Rev
		close(m.moved)
		m.moved = make(chan struct{})
	}
}

func (m *Mirror) applyEvents(events []Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if m.Track != nil && m.Track(e) {
			m.marked = max(m.marked, e.Rev)
		}
		key := e.Key()
		if !m.keeps(key) || m.dirs[dirOf(key)][key].Rev >= e.Rev {
			continue
		}
		m.readable(key)
		if e.Set != "" {
			m.put(m.dirs, KV{Key: key, Value: e.Value, Rev: e.Rev, Parsed: e.Parsed})
		} else {
			dir := dirOf(key)
			if delete(m.dirs[dir], key); len(m.dirs[dir]) == 0 {
				delete(m.dirs, dir)
			}
		}
	}
}

func (m *Mirror) keeps(key string) bool {
	return slices.ContainsFunc(m.keep, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// ReadIndex returns once the mirror shows all that was so when it was called: what the
// mirror shows then is a linearizable read. However many ask, one request at a time goes
// to the state service.
func (m *Mirror) ReadIndex(ctx context.Context) error {
	m.mu.Lock()
	if m.sync == nil {
		m.sync = &barrier{done: make(chan struct{})}
	}
	b := m.sync
	if !m.busy {
		m.busy = true
		go m.ask()
	}
	m.mu.Unlock()
	select {
	case <-b.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if b.err != nil {
		return b.err
	}
	return m.Wait(ctx, b.rev)
}

// ask asks for the revision for as long as somebody waits.
func (m *Mirror) ask() {
	for {
		m.mu.Lock()
		b := m.sync
		m.sync, m.busy = nil, b != nil
		m.mu.Unlock()
		if b == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		p, err := m.store.List(ctx, SessionPrefix, "")
		cancel()
		b.rev, b.err = p.Rev, err
		close(b.done)
		time.Sleep(m.pause / 2) // those who come meanwhile share the next one
	}
}

// Get returns a key as last seen.
func (m *Mirror) Get(key string) (KV, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.dirs[dirOf(key)][key]
	return kv, ok
}

// Dir returns the keys directly under a prefix that ends with a slash, as last
// seen.
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

// TrackedRev is the revision of the latest change, among those that can be seen here, that
// Marks picks; it is counted at the very moment at which the change can be seen.
func (m *Mirror) TrackedRev() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.marked
}

// FreshAsOf is a moment at which the mirror was known to be complete.
func (m *Mirror) FreshAsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fresh
}

// Wait blocks until the mirror is complete up to rev.
func (m *Mirror) Wait(ctx context.Context, rev uint64) error {
	for {
		m.mu.Lock()
		done, moved := m.loaded && m.rev >= rev, m.moved
		m.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-moved:
		}
	}
}
