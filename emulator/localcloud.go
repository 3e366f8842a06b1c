package emulator

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// LocalCloud is a cloud whose machines are workers on the loopback interface. They speak the
// published protocols and run small commands in real time. It checks the rules that can be observed
// on the machines (see localHistory).
type LocalCloud struct {
	ctx     context.Context // all workers stop when it ends
	config  LocalCloudConfig
	history *localHistory

	mu              sync.Mutex // guards the fields below
	machines        map[string]*LocalMachine
	machinesCreated int
	scaleOuts       map[string][]string // names of the created machines, by request id
}

// LocalCloudConfig is the configuration of a LocalCloud.
type LocalCloudConfig struct {
	MachineTypes       []cloud.MachineType
	MaxMachinesPerPool int               // machines of one type, zone and kind (on-demand or spot)
	Controllers        map[string]string // addresses that workers connect to, by host
	HeartbeatInterval  time.Duration
	LeaseDuration      time.Duration
	LookUpSpec         func(job string) (*job.Spec, error) // the spec as submitted; called with a machine's mutex held
}

// NewLocalCloud returns a cloud without machines. Its workers run until ctx ends.
func NewLocalCloud(ctx context.Context, c LocalCloudConfig) *LocalCloud {
	return &LocalCloud{
		ctx:       ctx,
		config:    c,
		history:   newLocalHistory(),
		machines:  map[string]*LocalMachine{},
		scaleOuts: map[string][]string{},
	}
}

// MachineTypes lists the offered machine types.
func (c *LocalCloud) MachineTypes(context.Context) ([]cloud.MachineType, error) {
	return c.config.MachineTypes, nil
}

// ScaleIn deletes machines together with the tasks on them.
func (c *LocalCloud) ScaleIn(_ context.Context, names []string) error {
	for _, name := range names {
		c.mu.Lock()
		m := c.machines[name]
		delete(c.machines, name)
		c.mu.Unlock()
		if m != nil {
			m.stop()
			m.dropTasks()
		}
	}
	return nil
}

// Machines lists the machines, sorted by name.
func (c *LocalCloud) Machines(context.Context) ([]cloud.Machine, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []cloud.Machine{}
	for name, m := range c.machines {
		out = append(out, cloud.Machine{
			Name: name, Address: m.address, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
			Status: "running", AgeS: time.Since(m.createdAt).Seconds(),
		})
	}
	slices.SortFunc(out, func(a, b cloud.Machine) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// ScaleOut creates as many of the requested machines as there is capacity for, or returns
// cloud.ErrNoCapacity if there is none. A repeated request returns the machines of the first one.
func (c *LocalCloud) ScaleOut(_ context.Context, r cloud.ScaleOutRequest) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, known := c.scaleOuts[r.RequestID]; known {
		return names, nil
	}
	machineType, found := findMachineType(c.config.MachineTypes, r.Type)
	if !found {
		return nil, cloud.ErrNoCapacity
	}
	var names []string
	for n := c.poolSize(&r); n < c.config.MaxMachinesPerPool && len(names) < r.Count; n++ {
		name, err := c.startMachine(machineType, &r)
		if err != nil {
			break // no port is available, so capacity is exhausted
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	c.scaleOuts[r.RequestID] = names
	return names, nil
}

// poolSize returns the number of machines of the type, zone and kind that a request names. The
// caller must hold c.mu.
func (c *LocalCloud) poolSize(r *cloud.ScaleOutRequest) (n int) {
	for _, m := range c.machines {
		if m.machineType.Name == r.Type && m.zone == r.Zone && m.spot == r.Spot {
			n++
		}
	}
	return n
}

// startMachine creates a machine, starts to boot it and returns its name. The caller must hold
// c.mu.
func (c *LocalCloud) startMachine(machineType cloud.MachineType, r *cloud.ScaleOutRequest) (string, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(c.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.machinesCreated++
	m := &LocalMachine{
		cloud:              c,
		workerLease:        workerLease{epoch: 1},
		name:               machineName(c.machinesCreated),
		address:            listener.Addr().String(),
		machineType:        machineType,
		zone:               r.Zone,
		spot:               r.Spot,
		createdAt:          time.Now(),
		heartbeatRequested: make(chan struct{}, 1),
		tasks:              map[string]*localTask{},
	}
	m.ctx, m.stop = context.WithCancel(c.ctx)
	c.machines[m.name] = m
	go m.run(listener)
	return m.name, nil
}

// Violations lists the rule violations detected so far.
func (c *LocalCloud) Violations() []string { return c.history.listViolations() }

// TaskStarts returns the number of task starts.
func (c *LocalCloud) TaskStarts() int { return c.history.taskStarts() }

// RestartStats returns the number of starts of tasks that had started before, and the longest time
// between two consecutive task starts.
func (c *LocalCloud) RestartStats() (restarts int, longestGap time.Duration) {
	return c.history.restartStats()
}

// SetDependencyLookup enables the check that a task starts only after its dependencies.
// dependencies returns the tasks that must have completed before the given one starts; it must not
// call the cloud.
func (c *LocalCloud) SetDependencyLookup(dependencies func(task string) []string) {
	c.history.setDependencyLookup(dependencies)
}

// TaskCompleted reports whether a task has completed.
func (c *LocalCloud) TaskCompleted(task string) bool { return c.history.taskCompleted(task) }
