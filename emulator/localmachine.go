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

// LocalMachine is a machine of a local cloud with its worker. Its mutex guards the lease
// and the tasks; the record's may be taken under it.
type LocalMachine struct {
	cloud       *LocalCloud
	name        string
	address     string
	machineType cloud.MachineType
	zone        string
	spot        bool
	createdAt   time.Time
	ctx         context.Context // ends with the machine
	stop        context.CancelFunc
	changed     chan struct{} // that the next heartbeat is to come sooner

	mu sync.Mutex
	workerLease
	tasks map[string]*localTask // by attemptKey
}

// notifyWorker has the next heartbeat come sooner.
func (m *LocalMachine) notifyWorker() { notify(m.changed) }

// run is the worker: it boots, then sends heartbeats to one controller at a time and takes
// commands until the machine ends.
func (m *LocalMachine) run(listener net.Listener) {
	if !sleep(m.ctx, m.machineType.ProvisioningTime()) {
		_ = listener.Close() // nothing has used it
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(m.serve)}
	go func() { _ = server.Serve(listener) }() // until it is closed
	defer func() { _ = server.Close() }()
	m.mu.Lock()
	m.renewedAt = time.Now()
	m.mu.Unlock()
	go m.watchLease()
	client := &http.Client{Timeout: heartbeatTimeout}
	hosts := slices.Sorted(maps.Keys(m.cloud.config.Controllers))
	controllers := controllerRotation{hosts, rand.IntN(len(hosts))}
	for m.ctx.Err() == nil {
		next := m.sendHeartbeat(client, m.cloud.config.Controllers[controllers.host()])
		interval := jitter(m.cloud.config.HeartbeatInterval, rand.Float64())
		waitForHeartbeat(m.ctx, controllers.next(next, interval), m.changed)
	}
}

// sendHeartbeat sends one heartbeat, and says where to send the next one.
func (m *LocalMachine) sendHeartbeat(client *http.Client, address string) redirect {
	sent := time.Now()
	heartbeat := m.nextHeartbeat()
	code, body, err := postHeartbeat(m.ctx, client, address, &heartbeat)
	if err != nil {
		return redirect{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next, response := m.accept(heartbeat.WorkerEpoch, sent, code, body)
	if response != nil {
		m.token = response.FencingToken
		m.executeAll(response.Commands)
	}
	return next
}

func postHeartbeat(
	ctx context.Context, client *http.Client, address string, h *worker.Heartbeat,
) (code int, body []byte, err error) {
	raw, err := json.Marshal(h)
	if err != nil {
		return 0, nil, err
	}
	url := "http://" + address + heartbeatPath
	// A request goes on when the machine ends, as from one whose power is cut.
	request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

func (m *LocalMachine) nextHeartbeat() worker.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.beginHeartbeat()
	h.Machine, h.Address, h.Type, h.Zone, h.Spot = m.name, m.address, m.machineType.Name, m.zone, m.spot
	for _, key := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[key]
		h.Tasks = append(h.Tasks, worker.Task{ID: t.id, Attempt: t.attempt, State: t.state, Cause: t.cause})
	}
	return h
}

// serve answers commands that come straight from controllers.
func (m *LocalMachine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != commandPath {
		respond(w, http.StatusOK, m.nextHeartbeat())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	in, err := parseCommands(body)
	if err != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	if !m.execute(in) {
		respond(w, http.StatusConflict, m.nextHeartbeat())
		return
	}
	respond(w, http.StatusOK, m.nextHeartbeat())
}

// execute carries out commands, unless they are for another worker epoch or under a fencing
// token that has been replaced.
func (m *LocalMachine) execute(in *commandRequest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admits(*in.Token, *in.Epoch) {
		return false
	}
	if m.token < *in.Token {
		m.notifyWorker()
	}
	m.token = *in.Token
	m.executeAll(in.Commands)
	return true
}

// executeAll executes commands in order. The mutex is held.
func (m *LocalMachine) executeAll(commands []worker.Command) {
	for _, c := range commands {
		key := attemptKey(c.Task, c.Attempt)
		t := m.tasks[key]
		switch {
		case c.Op == opRun && t == nil:
			m.start(key, c)
		case c.Op == opKill && t != nil:
			t.requestStop()
		case c.Op == opForget && t != nil && t.state == worker.TaskExited:
			delete(m.tasks, key)
		}
	}
	m.notifyWorker()
}

// start begins an attempt at a task, or lists it as ended at once. The mutex is held.
func (m *LocalMachine) start(key string, c worker.Command) {
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

// freeGPUs is what the tasks on the machine leave of its GPUs, and whether one of them is an
// attempt at the same task. The mutex is held.
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

// dropTasks ends and forgets all tasks, as when the machine goes or its lease expires.
func (m *LocalMachine) dropTasks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, t := range m.tasks {
		t.requestStop()
		m.cloud.record.recordEnd(t, false)
		delete(m.tasks, key)
	}
}

// leasePoll is how often a worker looks whether its lease has expired.
const leasePoll = 100 * time.Millisecond

// watchLease ends all tasks whenever the lease expires, until the machine ends.
func (m *LocalMachine) watchLease() {
	tick := time.NewTicker(leasePoll)
	defer tick.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-tick.C:
			if m.takeLeaseExpiry() {
				m.dropTasks()
			}
		}
	}
}

// takeLeaseExpiry begins a new worker epoch if the lease has expired, and reports that.
func (m *LocalMachine) takeLeaseExpiry() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.renewedAt) <= m.cloud.config.LeaseDuration {
		return false
	}
	m.epoch++
	m.renewedAt = time.Now()
	return true
}
