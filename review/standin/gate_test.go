package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"robinstack/emulator"
	"robinstack/internal/statekv"
)

// stateGate is the state service as one controller reaches it. While it refuses, every request gets
// 503, and open watches wait as they do in an outage.
type stateGate struct {
	service *emulator.StateService

	mu      sync.Mutex // guards the fields below
	refuses bool
	changed chan struct{} // closed and replaced when refuses changes
}

// refuse begins or ends the refusal.
func (g *stateGate) refuse(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuses = on
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *stateGate) state() (refuses bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refuses, g.changed
}

// ServeHTTP serves the protocol of the state service.
func (g *stateGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if refuses, _ := g.state(); refuses {
		writeJSON(w, http.StatusServiceUnavailable, nil)
		return
	}
	if r.URL.Path != "/follow" {
		g.service.ServeHTTP(w, r)
		return
	}
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	block, _ := strconv.Atoi(query.Get("block_ms")) // 0 if it is absent
	response, ok := g.watch(r.Context(), query.Get("prefix"), since, time.Duration(block)*time.Millisecond)
	if !ok {
		writeJSON(w, http.StatusGone, nil)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// watchSlice is how long a watch waits before it looks again whether it is to wait.
const watchSlice = 20 * time.Millisecond

// watch returns the changes since a revision as soon as there are any or the time has run out, but
// not while the gate refuses.
func (g *stateGate) watch(
	ctx context.Context, prefix string, since uint64, block time.Duration,
) (response statekv.WatchResponse, ok bool) {
	for end := time.Now().Add(block); ; {
		response, err := g.service.Watch(ctx, prefix, since, min(watchSlice, max(0, time.Until(end))))
		if err != nil {
			return response, false
		}
		refuses, changed := g.state()
		if refuses {
			select {
			case <-ctx.Done():
				return response, true
			case <-changed:
			}
			continue
		}
		if len(response.Events) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return response, true
		}
	}
}
