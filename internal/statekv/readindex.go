package statekv

import (
	"context"
	"time"
)

// readIndexTimeout bounds the request for the service's current revision.
const readIndexTimeout = 1500 * time.Millisecond

// barrier is a pending request for the state service's revision, shared by all callers of ReadIndex
// that joined before the request was sent. rev and err are set before done is closed.
type barrier struct {
	done chan struct{}
	rev  uint64
	err  error
}

// ReadIndex waits until the mirror shows every change that was committed before the call, so that
// reads from the mirror after it returns are linearizable. At most one request at a time is sent to
// the state service, however many callers there are.
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

// joinBarrier returns the barrier that the next request resolves, and starts that request if none
// is running. The request serves all callers, so it does not use the context of the caller that
// starts it.
func (m *Mirror) joinBarrier() *barrier {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pendingBarrier == nil {
		m.pendingBarrier = &barrier{done: make(chan struct{})}
	}
	if !m.requestingRevisions {
		m.requestingRevisions = true
		go m.requestRevisions(context.Background())
	}
	return m.pendingBarrier
}

// requestRevisions requests the revision for one barrier after the other until no caller waits.
func (m *Mirror) requestRevisions(ctx context.Context) {
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
		time.Sleep(m.pause / 2) // callers that arrive meanwhile share the next request
	}
}

// takeBarrier returns the barrier to resolve now. If no caller waits it returns nil, and
// requestRevisions must end.
func (m *Mirror) takeBarrier() *barrier {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.pendingBarrier
	m.pendingBarrier, m.requestingRevisions = nil, b != nil
	return b
}
