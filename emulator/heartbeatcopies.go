package emulator

import (
	"encoding/json"
	"slices"
	"time"

	"robinstack/internal/worker"
)

// exchange sends a heartbeat to a controller and returns what it answers, 0 for no answer
// in time.
func (m *SimulatedMachine) exchange(host string, h *worker.Heartbeat) (code int, body []byte) {
	raw, err := json.Marshal(h)
	if err != nil {
		return 0, nil
	}
	type answer struct {
		code int
		body []byte
	}
	done := make(chan answer, 1)
	go func() {
		code, b, err := m.transport.send(m.ctx, host, raw)
		if err != nil {
			code, b = 0, nil
		}
		done <- answer{code, b}
	}()
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	select {
	case a := <-done:
		return a.code, a.body
	case <-timer.C:
	case <-m.ctx.Done():
	}
	return 0, nil
}

// SendDuplicateHeartbeat sends a copy of an earlier heartbeat, the oldest that is kept, to
// a controller. Its answer reaches nobody.
func (m *SimulatedMachine) SendDuplicateHeartbeat(host string) {
	if len(m.recentHeartbeats) > 0 {
		h := m.recentHeartbeats[0]
		go m.exchange(host, &h)
	}
}

// CaptureHeartbeat keeps the latest heartbeat for later, if there was one.
func (m *SimulatedMachine) CaptureHeartbeat() {
	if len(m.recentHeartbeats) > 0 {
		h := m.recentHeartbeats[len(m.recentHeartbeats)-1]
		m.captured = &h
	}
}

// HasCapturedHeartbeat reports whether one of its heartbeats is kept.
func (m *SimulatedMachine) HasCapturedHeartbeat() bool { return m.captured != nil }

// CapturedHeartbeatLists reports whether the kept heartbeat lists a task that has not
// ended.
func (m *SimulatedMachine) CapturedHeartbeatLists(task string) bool {
	return m.captured != nil && slices.ContainsFunc(m.captured.Tasks, func(t worker.Task) bool {
		return t.ID == task && t.State != worker.TaskExited
	})
}

// SendCapturedHeartbeat sends the heartbeat that was kept to a controller, and returns the
// status that it was answered with; the answer reaches nobody. 0: no answer, or none was
// kept. It takes the cloud's mutex itself: it is not to be called from ForEachMachine.
func (m *SimulatedMachine) SendCapturedHeartbeat(host string) (code int) {
	m.cloud.mu.Lock()
	h := m.captured
	m.cloud.mu.Unlock()
	if h == nil {
		return 0
	}
	code, _ = m.exchange(host, h)
	return code
}
