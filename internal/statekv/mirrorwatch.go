package statekv

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"
)

// watchRetryDelay is the pause after a failed watch.
const watchRetryDelay = 300 * time.Millisecond

// Load reads all kept keys from the store.
func (m *Mirror) Load(ctx context.Context) error {
	sent := time.Now()
	dirs, rev, err := m.readAll(ctx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.dirs = dirs
	m.trackedRev = max(m.trackedRev, rev) // IsTracked may hold for any change up to rev
	m.mu.Unlock()
	if m.OnApply != nil {
		m.OnApply(nil)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshAsOf, m.loaded = sent, true
	m.advance(rev)
	slog.Info("state mirror loaded", "state_revision", rev, "elapsed", time.Since(sent).Round(time.Millisecond))
	return nil
}

// readAll lists the kept keys and returns the revision from which to watch. That is the revision of
// the first page. Later pages may be newer, and the watch then applies their changes again, which
// is harmless. Revision 0 of an empty store counts too; otherwise changes made between the first
// page and the next one would never be seen.
func (m *Mirror) readAll(ctx context.Context) (dirs directories, rev uint64, err error) {
	dirs = directories{}
	first := true
	for _, prefix := range m.prefixes {
		for after, more := "", true; more; {
			page, err := m.store.List(ctx, prefix, after)
			if err != nil {
				return nil, 0, err
			}
			if first {
				rev, first = page.Rev, false
			}
			for _, kv := range page.Items {
				kv.Parsed = m.parse(kv.Key, kv.Value)
				m.put(dirs, kv)
				after = kv.Key
			}
			more = page.More && len(page.Items) > 0
		}
	}
	return dirs, rev, nil
}

// Run watches for changes until ctx ends. Load must have succeeded before.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		since := m.Rev()
		sent := time.Now()
		response, err := m.store.Watch(ctx, m.watched, since, m.block)
		if errors.Is(err, ErrCompacted) {
			if err = m.Load(ctx); err == nil {
				m.onEvents(nil)
				continue
			}
		}
		if err != nil {
			slog.Debug("state watch failed", "err", err)
			pauseFor(ctx, watchRetryDelay)
			continue
		}
		m.apply(response, sent)
		if len(response.Events) > 0 {
			m.onEvents(response.Events)
		}
		pauseFor(ctx, m.pause-time.Since(sent))
	}
}

// pauseFor waits for d or until ctx ends.
func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// apply applies the response of a watch that was sent at the given time, and publishes the revision
// only after that.
func (m *Mirror) apply(response WatchResponse, sent time.Time) {
	for k := range response.Events {
		if e := &response.Events[k]; e.Set != "" {
			e.Parsed = m.parse(e.Set, e.Value)
		}
	}
	m.applyEvents(response.Events)
	if m.OnApply != nil && len(response.Events) > 0 {
		m.OnApply(response.Events)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshAsOf = sent
	if response.Rev > m.rev {
		m.advance(response.Rev)
	}
}

func (m *Mirror) applyEvents(events []Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if m.IsTracked != nil && m.IsTracked(e) {
			m.trackedRev = max(m.trackedRev, e.Rev)
		}
		key := e.Key()
		if !m.isKept(key) {
			continue
		}
		if known, _ := m.dirs.get(key); known.Rev >= e.Rev {
			continue
		}
		m.undecodable.remove(key)
		if e.Set == "" {
			m.dirs.remove(key)
			continue
		}
		m.put(m.dirs, KV{Key: key, Value: e.Value, Rev: e.Rev, Parsed: e.Parsed})
	}
}

// isKept reports whether a key is under one of the mirror's prefixes.
func (m *Mirror) isKept(key string) bool {
	return slices.ContainsFunc(m.prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// put adds a key to dirs, and reports the key if its value could not be decoded.
func (m *Mirror) put(dirs directories, kv KV) {
	if err, ok := kv.Parsed.(error); ok {
		m.ReportUndecodable(kv.Key, err)
	}
	dirs.put(kv)
}

func (m *Mirror) parse(key string, value json.RawMessage) any {
	if m.Parse == nil {
		return nil
	}
	return m.Parse(key, value)
}
