package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/worker"
)

// LocalMachine is a machine of a LocalCloud together with its worker. mu guards the lease and the
// tasks. The mutex of the localHistory may be locked while mu is held.
type LocalMachine struct {
	cloud              *LocalCloud
	name               string
	address            string
	machineType        cloud.MachineType
	zone               string
	spot               bool
	createdAt          time.Time
	ctx                context.Context // ends when the machine is deleted
	stop               context.CancelFunc
	heartbeatRequested chan struct{} // signals that the next heartbeat should be sent soon

	mu sync.Mutex
	workerLease
	tasks map[string]*localTask // by attemptKey
}

// requestHeartbeat makes the worker send its next heartbeat soon.
func (m *LocalMachine) requestHeartbeat() { trySignal(m.heartbeatRequested) }

// run is the main loop of the worker. It boots the machine, then serves commands and sends
// heartbeats to one controller at a time until the machine is deleted.
func (m *LocalMachine) run(listener net.Listener) {
	if !Sleep(m.ctx, m.machineType.ProvisioningTime()) {
		_ = listener.Close() // the listener has not been used
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(m.serve)}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	defer func() { _ = server.Close() }()
	m.mu.Lock()
	m.renewedAt = time.Now()
	m.mu.Unlock()
	go m.watchLease()
	client := &http.Client{Timeout: heartbeatTimeout}
	hosts := slices.Sorted(maps.Keys(m.cloud.config.Controllers))
	controllers := controllerRotation{hosts, rand.IntN(len(hosts))}
	for m.ctx.Err() == nil {
		target := m.sendHeartbeat(client, m.cloud.config.Controllers[controllers.host()])
		interval := jitter(m.cloud.config.HeartbeatInterval, rand.Float64())
		waitForHeartbeat(m.ctx, controllers.advance(target, interval), m.heartbeatRequested)
	}
}

// sendHeartbeat sends one heartbeat and returns the target of the next one.
func (m *LocalMachine) sendHeartbeat(client *http.Client, address string) heartbeatTarget {
	sentAt := time.Now()
	heartbeat := m.nextHeartbeat()
	code, body, err := postHeartbeat(m.ctx, client, address, &heartbeat)
	if err != nil {
		return heartbeatTarget{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	target, response := m.handleResponse(heartbeat.WorkerEpoch, sentAt, code, body)
	if response != nil {
		m.token = response.FencingToken
		m.executeCommands(response.Commands)
	}
	return target
}

func postHeartbeat(
	ctx context.Context, client *http.Client, address string, h *worker.Heartbeat,
) (code int, body []byte, err error) {
	raw, err := json.Marshal(h)
	if err != nil {
		return 0, nil, err
	}
	url := "http://" + address + heartbeatPath
	// A request in flight is not cancelled when the machine is deleted: what a real machine has
	// sent before it loses power arrives too.
	request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

func (m *LocalMachine) nextHeartbeat() worker.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.newHeartbeat()
	h.Machine, h.Address, h.Type, h.Zone, h.Spot = m.name, m.address, m.machineType.Name, m.zone, m.spot
	for _, key := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[key]
		h.Tasks = append(h.Tasks, worker.Task{ID: t.id, Attempt: t.attempt, State: t.state, Cause: t.cause})
	}
	return h
}

// serve handles commands that controllers send directly to the worker. Every other path returns the
// worker's status.
func (m *LocalMachine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != commandPath {
		writeJSON(w, http.StatusOK, m.nextHeartbeat())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	request, err := parseCommands(body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	if !m.execute(request) {
		writeJSON(w, http.StatusConflict, m.nextHeartbeat())
		return
	}
	writeJSON(w, http.StatusOK, m.nextHeartbeat())
}

// execute executes commands and reports true, unless the commands are for another worker epoch or
// carry a fencing token lower than the highest one seen.
func (m *LocalMachine) execute(request *commandRequest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.acceptsCommands(*request.Token, *request.Epoch) {
		return false
	}
	if m.token < *request.Token {
		m.requestHeartbeat()
	}
	m.token = *request.Token
	m.executeCommands(request.Commands)
	return true
}

// executeCommands executes commands in order. The caller must hold m.mu.
func (m *LocalMachine) executeCommands(commands []worker.Command) {
	for _, c := range commands {
		key := attemptKey(c.Task, c.Attempt)
		t := m.tasks[key]
		switch {
		case c.Op == opStart && t == nil:
			m.startAttempt(key, c)
		case c.Op == opStop && t != nil:
			t.requestStop()
		case c.Op == opForget && t != nil && t.state == worker.TaskExited:
			delete(m.tasks, key)
		}
	}
	m.requestHeartbeat()
}

// startAttempt starts an attempt at a task. If the attempt cannot run here, it is added as exited,
// with the cause. The caller must hold m.mu.
func (m *LocalMachine) startAttempt(key string, c worker.Command) {
	t := newLocalTask(m, c)
	spec, err := m.cloud.config.LookUpSpec(t.job)
	t.spec = spec
	free, otherAttempt := m.freeGPUs(c.Task)
	switch {
	case otherAttempt:
		t.state, t.cause = worker.TaskExited, worker.CauseOtherAttempt
	case err != nil:
		t.state, t.cause = worker.TaskExited, worker.CauseUnknownTask
	case spec.GPUs > free:
		t.state, t.cause = worker.TaskExited, worker.CauseNoCapacity
	case m.cloud.TaskCompleted(c.Task):
		t.state, t.cause = worker.TaskExited, worker.CauseDone
	default:
		go t.run(m.ctx)
	}
	m.tasks[key] = t
}

// freeGPUs returns the GPUs that no task on the machine uses, and reports whether the machine runs
// another attempt at the given task. The caller must hold m.mu.
func (m *LocalMachine) freeGPUs(task string) (free float64, otherAttempt bool) {
	free = m.machineType.GPUs
	for _, other := range m.tasks {
		if other.state != worker.TaskExited {
			free -= other.spec.GPUs
			otherAttempt = otherAttempt || other.id == task
		}
	}
	return free, otherAttempt
}

// dropTasks stops and removes all tasks, because the machine is deleted or its lease has expired.
func (m *LocalMachine) dropTasks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, t := range m.tasks {
		t.requestStop()
		m.cloud.history.recordRemoval(t, false)
		delete(m.tasks, key)
	}
}

// leaseCheckInterval is the interval at which a worker checks whether its lease has expired.
const leaseCheckInterval = 100 * time.Millisecond

// watchLease drops all tasks each time the lease expires, until the machine is deleted.
func (m *LocalMachine) watchLease() {
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-tick.C:
			if m.expireLeaseIfDue() {
				m.dropTasks()
			}
		}
	}
}

// expireLeaseIfDue starts a new worker epoch if the lease has expired, and reports whether it has.
func (m *LocalMachine) expireLeaseIfDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.renewedAt) <= m.cloud.config.LeaseDuration {
		return false
	}
	m.epoch++
	m.renewedAt = time.Now()
	return true
}
