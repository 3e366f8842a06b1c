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

// SimulatedMachine is a machine with its worker. The cloud's mutex guards it: its methods
// and fields are for use from SimulatedCloud.ForEachMachine, but for those that say so.
type SimulatedMachine struct {
	workerLease
	cloud       *SimulatedCloud
	name        string
	machineType cloud.MachineType
	zone        string
	createdAt   time.Time
	bootTime    time.Duration

	ctx       context.Context // ends with the machine
	stop      context.CancelFunc
	changed   chan struct{} // that the next heartbeat is to come sooner
	address   string
	transport heartbeatTransport
	listener  net.Listener // of its address, on a loopback network; nil: none

	tasks  map[string]*simulatedTask // by attemptKey
	images map[string]bool           // that it has

	Hung            bool          // it does nothing, and may go on within its lease
	InboundLost     bool          // its heartbeats arrive; answers and direct commands to it are lost
	CommandsLost    bool          // direct commands to it are lost; answers to its heartbeats arrive
	HeartbeatsLost  bool          // its heartbeats reach nobody; direct commands to it are carried out
	CommandDelay    time.Duration // by which direct commands and their answers are held up
	AnswerDelay     time.Duration // by which answers to its heartbeats are held up
	UnreachableFrom string        // the only controller that does not reach it directly
	OnlyController  string        // the only controller that it reaches, and that reaches it

	failedAt         time.Time          // it stopped with all that was on it; zero: it has not
	CommandsExecuted int                // direct commands that were carried out
	recentHeartbeats []worker.Heartbeat // that were sent, the latest last, for copies
	captured         *worker.Heartbeat  // one that is kept for later
}

// newMachine makes a machine that does not run yet. The mutex is held.
func (c *SimulatedCloud) newMachine(
	name string, t cloud.MachineType, zone string, boot time.Duration,
) (*SimulatedMachine, error) {
	m := &SimulatedMachine{
		workerLease: workerLease{epoch: 1},
		cloud:       c,
		name:        name,
		machineType: t,
		zone:        zone,
		createdAt:   time.Now(),
		bootTime:    boot,
		changed:     make(chan struct{}, 1),
		address:     name,
		transport:   handlerTransport{c.callController},
		tasks:       map[string]*simulatedTask{},
		images:      map[string]bool{},
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

// Kill has a machine stop, with all that is on it. It is listed as running for a while.
func (m *SimulatedMachine) Kill() {
	m.dropTasks()
	m.stop()
	m.failedAt = time.Now()
}

// Zone is the machine's.
func (m *SimulatedMachine) Zone() string { return m.zone }

// WorkerEpoch is the worker's: 1, and one more for each lease that has expired.
func (m *SimulatedMachine) WorkerEpoch() uint64 { return m.epoch }

// IsUp reports whether the worker is up.
func (m *SimulatedMachine) IsUp() bool { return !m.renewedAt.IsZero() && m.failedAt.IsZero() }

// reachableFrom reports whether direct commands of a controller reach the worker.
func (m *SimulatedMachine) reachableFrom(host string) bool {
	return m.IsUp() && !m.InboundLost && !m.CommandsLost && m.UnreachableFrom != host && m.reaches(host)
}

// reaches reports whether the machine is not cut off together with another controller.
func (m *SimulatedMachine) reaches(host string) bool {
	return m.OnlyController == "" || m.OnlyController == host
}

// servesNormally reports whether nothing keeps the machine from serving.
func (m *SimulatedMachine) servesNormally() bool {
	losesMessages := m.InboundLost || m.CommandsLost || m.HeartbeatsLost
	partitioned := m.UnreachableFrom != "" || m.OnlyController != ""
	slow := m.CommandDelay > 0 || m.AnswerDelay > 0
	return m.IsUp() && !m.Hung && !losesMessages && !partitioned && !slow
}

// freeCapacity is what the tasks on the machine leave of it.
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

// simulatedAge is how old every machine is said to be in fake time, in seconds: tests begin
// with machines that are no news.
const simulatedAge = 60

// listedAge is how old the machine is said to be, in seconds.
func (m *SimulatedMachine) listedAge() float64 {
	if m.cloud.network == nil {
		return simulatedAge
	}
	return time.Since(m.createdAt).Seconds()
}

// run is the worker: it boots, then sends heartbeats until the machine ends.
func (m *SimulatedMachine) run() {
	c := m.cloud
	if !sleep(m.ctx, m.bootTime) {
		if m.listener != nil {
			_ = m.listener.Close() // nothing has used it
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
		next := m.sendHeartbeat(controllers.host())
		c.mu.Lock()
		interval := jitter(c.settings.Workers.HeartbeatInterval, c.rng.Float64())
		c.mu.Unlock()
		waitForHeartbeat(m.ctx, controllers.next(next, interval), m.changed)
	}
}

// maxRecentHeartbeats is how many heartbeats are kept for copies.
const maxRecentHeartbeats = 20

// sendHeartbeat sends one heartbeat, and says where to send the next one.
func (m *SimulatedMachine) sendHeartbeat(host string) redirect {
	c := m.cloud
	c.mu.Lock()
	if m.Hung {
		c.mu.Unlock()
		return redirect{stay: true}
	}
	sent, heartbeat := time.Now(), m.nextHeartbeat()
	m.recentHeartbeats = append(m.recentHeartbeats, heartbeat)
	if len(m.recentHeartbeats) > maxRecentHeartbeats {
		m.recentHeartbeats = m.recentHeartbeats[1:]
	}
	lost := m.HeartbeatsLost || !m.reaches(host)
	c.mu.Unlock()
	if lost {
		sleep(m.ctx, heartbeatTimeout)
		return redirect{}
	}
	code, body := m.exchange(host, &heartbeat)
	m.awaitAnswerDelay()
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.InboundLost || m.Hung || time.Since(sent) > heartbeatTimeout {
		return redirect{}
	}
	next, response := m.accept(heartbeat.WorkerEpoch, sent, code, body)
	if response != nil {
		m.executeAll(response.FencingToken, response.Commands)
	}
	return next
}

// awaitAnswerDelay holds up the answer to a heartbeat.
func (m *SimulatedMachine) awaitAnswerDelay() {
	m.cloud.mu.Lock()
	delay := m.AnswerDelay
	m.cloud.mu.Unlock()
	if delay > 0 {
		sleep(m.ctx, delay)
	}
}

// nextHeartbeat is the worker's next heartbeat. The cloud's mutex is held.
func (m *SimulatedMachine) nextHeartbeat() worker.Heartbeat {
	h := m.beginHeartbeat()
	h.Machine, h.Address, h.Type, h.Zone = m.name, m.address, m.machineType.Name, m.zone
	for _, key := range slices.Sorted(maps.Keys(m.tasks)) {
		h.Tasks = append(h.Tasks, m.tasks[key].Task)
	}
	return h
}

// notifyWorker has the next heartbeat come sooner.
func (m *SimulatedMachine) notifyWorker() { notify(m.changed) }
