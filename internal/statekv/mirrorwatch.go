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

// watchRetryDelay is how long to wait after a watch that failed.
const watchRetryDelay = 300 * time.Millisecond

// Load reads the kept keys anew.
func (m *Mirror) Load(ctx context.Context) error {
	sent := time.Now()
	dirs, rev, err := m.readAll(ctx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.dirs = dirs
	m.trackedRev = max(m.trackedRev, rev) // any of the changes up to now may have been one
	m.mu.Unlock()
	if m.OnApply != nil {
		m.OnApply(nil)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshAsOf, m.loaded = sent, true
	m.advance(rev)
	return nil
}

// readAll lists the kept keys, and returns the revision from which to watch. Later pages may be
// newer; watching from the first page's revision applies their changes again, which is harmless.
// An empty store's revision is 0: that counts too, or the changes until the next page would
// never be seen.
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

// Run watches the changes until ctx ends. Load must have succeeded before.
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

// pauseFor waits, or until ctx ends.
func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// apply takes over what a watch returned that was sent at some time, and only then counts the
// revision as seen.
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
		if m.Track != nil && m.Track(e) {
			m.trackedRev = max(m.trackedRev, e.Rev)
		}
		key := e.Key()
		if !m.keeps(key) {
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

// keeps reports whether a key is under one of the mirror's prefixes.
func (m *Mirror) keeps(key string) bool {
	return slices.ContainsFunc(m.prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// put stores a key whose value was parsed in dirs.
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
