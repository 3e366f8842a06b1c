package emulator

import (
	"encoding/json"
	"slices"
	"time"

	"robinstack/internal/worker"
)

// exchange sends a heartbeat to a controller and returns the status code and body of the response.
// The code is 0 if there is no response within heartbeatTimeout.
func (m *SimulatedMachine) exchange(host string, h *worker.Heartbeat) (code int, body []byte) {
	raw, err := json.Marshal(h)
	if err != nil {
		return 0, nil
	}
	type result struct {
		code int
		body []byte
	}
	done := make(chan result, 1)
	go func() {
		code, b, err := m.transport.send(m.ctx, host, raw)
		if err != nil {
			code, b = 0, nil
		}
		done <- result{code, b}
	}()
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	select {
	case r := <-done:
		m.repeatHeartbeat(raw)
		return r.code, r.body
	case <-timer.C:
	case <-m.ctx.Done():
	}
	return 0, nil
}

// repeatHeartbeat may have a copy of an answered heartbeat arrive at any controller. Over a
// LoopbackNetwork it does nothing: the worker has a single connection there.
func (m *SimulatedMachine) repeatHeartbeat(raw []byte) {
	if m.cloud.network != nil {
		return
	}
	m.cloud.copies.Repeat(m.cloud.ctx, HeartbeatMessage, func() {
		m.cloud.mu.Lock()
		hosts := m.cloud.settings.Hosts()
		host := hosts[m.cloud.rng.IntN(len(hosts))]
		m.cloud.mu.Unlock()
		_, _, _ = m.transport.send(m.cloud.ctx, host, raw) // nobody waits for the answer
	})
}

// SendDuplicateHeartbeat sends a copy of the oldest recent heartbeat to a controller and ignores
// the response.
func (m *SimulatedMachine) SendDuplicateHeartbeat(host string) {
	if len(m.recentHeartbeats) > 0 {
		h := m.recentHeartbeats[0]
		go m.exchange(host, &h)
	}
}

// CaptureHeartbeat stores a copy of the latest heartbeat for SendCapturedHeartbeat, if one was
// sent.
func (m *SimulatedMachine) CaptureHeartbeat() {
	if len(m.recentHeartbeats) > 0 {
		h := m.recentHeartbeats[len(m.recentHeartbeats)-1]
		m.capturedHeartbeat = &h
	}
}

// HasCapturedHeartbeat reports whether a heartbeat has been captured.
func (m *SimulatedMachine) HasCapturedHeartbeat() bool { return m.capturedHeartbeat != nil }

// CapturedHeartbeatLists reports whether the captured heartbeat lists a task that has not exited.
func (m *SimulatedMachine) CapturedHeartbeatLists(task string) bool {
	return m.capturedHeartbeat != nil && slices.ContainsFunc(m.capturedHeartbeat.Tasks, func(t worker.Task) bool {
		return t.ID == task && t.State != worker.TaskExited
	})
}

// SendCapturedHeartbeat sends the captured heartbeat to a controller and returns the status code of
// the response. The worker does not see the response. The code is 0 if there is no response or no
// captured heartbeat. It locks the cloud's mutex, so it must not be called from ForEachMachine.
func (m *SimulatedMachine) SendCapturedHeartbeat(host string) (code int) {
	m.cloud.mu.Lock()
	h := m.capturedHeartbeat
	m.cloud.mu.Unlock()
	if h == nil {
		return 0
	}
	code, _ = m.exchange(host, h)
	return code
}
