package emulator

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// SimulatedMachine is a machine of a SimulatedCloud together with its worker. The cloud's mutex
// guards it: exported methods and fields must be used only from SimulatedCloud.ForEachMachine,
// unless a method says otherwise.
type SimulatedMachine struct {
	workerLease
	cloud       *SimulatedCloud
	name        string
	machineType cloud.MachineType
	zone        string
	createdAt   time.Time
	bootTime    time.Duration

	ctx                context.Context // ends when the machine fails or is deleted
	stop               context.CancelFunc
	heartbeatRequested chan struct{} // signals that the next heartbeat should be sent soon
	tokenReportedAt    time.Time     // when a higher token last requested a heartbeat
	address            string
	transport          heartbeatTransport
	listener           net.Listener // for direct commands; nil without a LoopbackNetwork

	tasks  map[string]*simulatedTask // by attemptKey
	images map[string]bool           // images that the machine has fetched

	Hung                    bool          // the worker does nothing; it can resume before its lease expires
	InboundLost             bool          // responses and direct commands do not reach the worker; heartbeats arrive
	CommandsLost            bool          // direct commands do not reach the worker; responses to its heartbeats do
	HeartbeatsLost          bool          // heartbeats do not reach any controller; direct commands are executed
	RefusesStarts           bool          // the worker refuses all starts for want of free resources
	CommandDelay            time.Duration // delay of direct commands, and therefore of their responses
	ResponseDelay           time.Duration // delay of responses to heartbeats
	UnreachableFrom         string        // host whose direct commands do not reach the worker; "": none
	OnlyReachableController string        // host of the only controller that messages pass to and from; "": all

	failedAt          time.Time          // when the machine failed; zero: it has not
	CommandsExecuted  int                // number of requests with direct commands that were executed
	recentHeartbeats  []worker.Heartbeat // in the order sent, for duplicates
	capturedHeartbeat *worker.Heartbeat  // stored by CaptureHeartbeat
}

// newMachine creates a machine that is not running yet. The caller must hold c.mu.
func (c *SimulatedCloud) newMachine(
	name string, machineType cloud.MachineType, zone string, bootTime time.Duration,
) (*SimulatedMachine, error) {
	m := &SimulatedMachine{
		workerLease:        workerLease{epoch: 1},
		cloud:              c,
		name:               name,
		machineType:        machineType,
		zone:               zone,
		createdAt:          time.Now(),
		bootTime:           bootTime,
		heartbeatRequested: make(chan struct{}, 1),
		address:            name,
		transport:          handlerTransport{c.callController},
		tasks:              map[string]*simulatedTask{},
		images:             map[string]bool{},
	}
	m.ctx, m.stop = context.WithCancel(c.ctx)
	if c.network == nil {
		return m, nil
	}
	m.transport = &loopbackTransport{ctx: m.ctx, network: c.network}
	if err := m.listen(); err != nil {
		m.stop()
		return nil, err
	}
	return m, nil
}

// Fail makes the machine fail, with all tasks on it. The cloud keeps listing it as running until
// failureListingDelay has passed.
func (m *SimulatedMachine) Fail() {
	m.dropTasks()
	m.stop()
	m.failedAt = time.Now()
}

// Zone returns the zone of the machine.
func (m *SimulatedMachine) Zone() string { return m.zone }

// WorkerEpoch returns the worker epoch, which starts at 1 and is incremented each time the lease
// expires.
func (m *SimulatedMachine) WorkerEpoch() uint64 { return m.epoch }

// IsUp reports whether the machine has booted and not failed.
func (m *SimulatedMachine) IsUp() bool { return !m.renewedAt.IsZero() && m.failedAt.IsZero() }

// reachableFrom reports whether direct commands of the controller on a host reach the worker.
func (m *SimulatedMachine) reachableFrom(host string) bool {
	return m.IsUp() && !m.InboundLost && !m.CommandsLost && m.UnreachableFrom != host && m.canReach(host)
}

// canReach reports whether OnlyReachableController permits messages to and from the controller on a
// host.
func (m *SimulatedMachine) canReach(host string) bool {
	return m.OnlyReachableController == "" || m.OnlyReachableController == host
}

// hasNoFaults reports whether the machine is up and no fault is injected into it.
func (m *SimulatedMachine) hasNoFaults() bool {
	losesMessages := m.InboundLost || m.CommandsLost || m.HeartbeatsLost
	partitioned := m.UnreachableFrom != "" || m.OnlyReachableController != ""
	slow := m.CommandDelay > 0 || m.ResponseDelay > 0
	return m.IsUp() && !m.Hung && !m.RefusesStarts && !losesMessages && !partitioned && !slow
}

// freeCapacity returns the resources that no task on the machine uses.
func (m *SimulatedMachine) freeCapacity() job.Resources {
	free := job.Capacity(m.machineType)
	for _, task := range m.tasks {
		if task.State != worker.TaskExited {
			spec := task.spec(m.cloud.history)
			free = free.AddScaled(spec.Need, -1)
		}
	}
	return free
}

// simulatedAgeSeconds is the age that the cloud reports for every machine in fake time, so that
// controllers do not treat the machines at the start of a test as new.
const simulatedAgeSeconds = 60

// reportedAgeSeconds returns the age that the cloud reports for the machine.
func (m *SimulatedMachine) reportedAgeSeconds() float64 {
	if m.cloud.network == nil {
		return simulatedAgeSeconds
	}
	return time.Since(m.createdAt).Seconds()
}

// run is the main loop of the worker. It boots the machine, then sends heartbeats until the machine
// stops.
func (m *SimulatedMachine) run() {
	c := m.cloud
	if !Sleep(m.ctx, m.bootTime) {
		if m.listener != nil {
			_ = m.listener.Close() // the listener has not been used
		}
		return
	}
	if m.listener != nil {
		go m.serveCommands()
	}
	defer m.transport.close()
	c.mu.Lock()
	m.renewedAt = time.Now()
	hosts := c.settings.Hosts()
	controllers := controllerRotation{hosts, c.rng.IntN(len(hosts))}
	c.mu.Unlock()
	go m.runTasks()
	for m.ctx.Err() == nil {
		target := m.sendHeartbeat(controllers.host())
		c.mu.Lock()
		interval := jitter(c.settings.Workers.HeartbeatInterval, c.rng.Float64())
		c.mu.Unlock()
		waitForHeartbeat(m.ctx, controllers.advance(target, interval), m.heartbeatRequested)
	}
}

// maxRecentHeartbeats is the number of heartbeats kept for duplicates.
const maxRecentHeartbeats = 20

// sendHeartbeat sends one heartbeat and returns the target of the next one.
func (m *SimulatedMachine) sendHeartbeat(host string) heartbeatTarget {
	c := m.cloud
	c.mu.Lock()
	if m.Hung {
		c.mu.Unlock()
		return heartbeatTarget{same: true}
	}
	sentAt, heartbeat := time.Now(), m.nextHeartbeat()
	m.recentHeartbeats = append(m.recentHeartbeats, heartbeat)
	if len(m.recentHeartbeats) > maxRecentHeartbeats {
		m.recentHeartbeats = m.recentHeartbeats[1:]
	}
	lost := m.HeartbeatsLost || !m.canReach(host)
	c.mu.Unlock()
	if lost {
		Sleep(m.ctx, heartbeatTimeout)
		return heartbeatTarget{}
	}
	code, body := m.exchange(host, &heartbeat)
	m.waitResponseDelay()
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.InboundLost || m.Hung || time.Since(sentAt) > heartbeatTimeout {
		return heartbeatTarget{}
	}
	target, response := m.handleResponse(heartbeat.WorkerEpoch, sentAt, code, body)
	if response != nil {
		m.executeCommands(response.FencingToken, response.Commands)
	}
	return target
}

// waitResponseDelay delays the response to a heartbeat by ResponseDelay.
func (m *SimulatedMachine) waitResponseDelay() {
	m.cloud.mu.Lock()
	delay := m.ResponseDelay
	m.cloud.mu.Unlock()
	if delay > 0 {
		Sleep(m.ctx, delay)
	}
}

// nextHeartbeat returns the worker's next heartbeat. The caller must hold the cloud's mutex.
func (m *SimulatedMachine) nextHeartbeat() worker.Heartbeat {
	h := m.newHeartbeat()
	h.Machine, h.Address, h.Type, h.Zone = m.name, m.address, m.machineType.Name, m.zone
	for _, key := range slices.Sorted(maps.Keys(m.tasks)) {
		h.Tasks = append(h.Tasks, m.tasks[key].Task)
	}
	return h
}

// requestHeartbeat makes the worker send its next heartbeat soon.
func (m *SimulatedMachine) requestHeartbeat() { trySignal(m.heartbeatRequested) }

// requestHeartbeatForToken requests a heartbeat because the worker has seen a higher token, at most once
// per half of its lease.
func (m *SimulatedMachine) requestHeartbeatForToken() {
	if time.Since(m.tokenReportedAt) < m.cloud.settings.Workers.LeaseDuration/2 {
		return
	}
	m.tokenReportedAt = time.Now()
	m.requestHeartbeat()
}
