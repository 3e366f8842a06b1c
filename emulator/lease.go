package emulator

import (
	"encoding/json"
	"net/http"
	"time"

	"robinstack/internal/worker"
)

// lease is what a worker knows of who may command it, and until when.
type lease struct {
	session  uint64
	seq      uint64
	token    uint64    // the highest that it has seen
	answered time.Time // when the last answered report was sent
}

// commands reports whether commands under a token and for a session are carried out.
func (l *lease) commands(token, session uint64) bool {
	return token >= l.token && session == l.session
}

// take takes the answer to a report of a session that was sent at some time. home is where
// to report next: "stay", a host, or "". An answer that the worker must drop is nil; any
// other renews the lease, and its orders are to be carried out under its token.
func (l *lease) take(session uint64, sent time.Time, code int, body []byte) (home string, answer *worker.HeartbeatResponse) {
	switch code {
	case http.StatusOK:
		var a worker.HeartbeatResponse
		if json.Unmarshal(body, &a) != nil {
			return "", nil
		}
		if !l.commands(a.FencingToken, session) {
			return "stay", nil
		}
		l.answered = sent
		return "stay", &a
	case http.StatusMisdirectedRequest:
		var m struct {
			Home string `json:"home"`
		}
		_ = json.Unmarshal(body, &m)
		return m.Home, nil
	}
	return "", nil
}
