package statekv

import (
	"context"
	"time"
)

// readIndexTimeout bounds the request for the service's revision.
const readIndexTimeout = 1500 * time.Millisecond

// barrier is a question for the state service's revision that all who came before it was asked
// share. rev and err are set before done is closed.
type barrier struct {
	done chan struct{}
	rev  uint64
	err  error
}

// ReadIndex returns once the mirror shows all that was so when it was called: what the mirror
// shows then is a linearizable read. However many ask, one request at a time goes to the state
// service.
func (m *Mirror) ReadIndex(ctx context.Context) error {
	b := m.joinBarrier() //nolint:contextcheck // the request is made for all who wait
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

// joinBarrier returns the barrier that the next request answers, and has that made. Whoever
// joins first starts it for all, so it has nothing of that caller's context.
func (m *Mirror) joinBarrier() *barrier {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nextBarrier == nil {
		m.nextBarrier = &barrier{done: make(chan struct{})}
	}
	if !m.asking {
		m.asking = true
		go m.askRevision(context.Background())
	}
	return m.nextBarrier
}

// askRevision asks for the revision for as long as somebody waits.
func (m *Mirror) askRevision(ctx context.Context) {
	for {
		b := m.takeBarrier()
		if b == nil {
			return
		}
		requestCtx, cancel := context.WithTimeout(ctx, readIndexTimeout)
		page, err := m.store.List(requestCtx, SessionPrefix, "")
		cancel()
		b.rev, b.err = page.Rev, err
		close(b.done)
		time.Sleep(m.pause / 2) // those who come meanwhile share the next one
	}
}

// takeBarrier returns the barrier to answer now; nil: nobody waits, and nobody asks any more.
func (m *Mirror) takeBarrier() *barrier {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.nextBarrier
	m.nextBarrier, m.asking = nil, b != nil
	return b
}
