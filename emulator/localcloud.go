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

// LocalCloud is a cloud on loopback whose machines have workers that run small commands, by
// the published protocols, in real time. It checks the rules that its workers see
// themselves (localRecord).
type LocalCloud struct {
	ctx    context.Context // ends all workers
	config LocalCloudConfig
	record *localRecord

	mu              sync.Mutex // guards the fields below
	machines        map[string]*LocalMachine
	machinesCreated int
	scaleOuts       map[string][]string // names of the machines, by request
}

// LocalCloudConfig says what a local cloud is like.
type LocalCloudConfig struct {
	MachineTypes      []cloud.MachineType
	MaxPerPool        int               // machines of each type, zone and kind (ordinary or spot)
	Controllers       map[string]string // addresses for workers, by host
	HeartbeatInterval time.Duration
	LeaseDuration     time.Duration
	LookUpSpec        func(job string) (*job.Spec, error) // what its user uploaded
}

// NewLocalCloud returns a cloud without machines, whose workers run until ctx ends.
func NewLocalCloud(ctx context.Context, c LocalCloudConfig) *LocalCloud {
	return &LocalCloud{
		ctx:       ctx,
		config:    c,
		record:    newLocalRecord(),
		machines:  map[string]*LocalMachine{},
		scaleOuts: map[string][]string{},
	}
}

// MachineTypes lists the types on offer.
func (c *LocalCloud) MachineTypes(context.Context) ([]cloud.MachineType, error) {
	return c.config.MachineTypes, nil
}

// ScaleIn returns machines, with all that is on them.
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

// Machines lists the machines in the order of their names.
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

// ScaleOut rents machines, as many of those asked for as there is capacity for. A repeated
// request has the same answer. The error is cloud.ErrNoCapacity if there may be none.
func (c *LocalCloud) ScaleOut(_ context.Context, r cloud.ScaleOutRequest) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, known := c.scaleOuts[r.RequestID]; known {
		return names, nil
	}
	t, offered := findType(c.config.MachineTypes, r.Type)
	if !offered {
		return nil, cloud.ErrNoCapacity
	}
	var names []string
	for n := c.poolSize(&r); n < c.config.MaxPerPool && len(names) < r.Count; n++ {
		name, err := c.startMachine(t, &r)
		if err != nil {
			break // there are no more ports: that is all the capacity
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	c.scaleOuts[r.RequestID] = names
	return names, nil
}

// poolSize counts the machines of the type, zone and kind of a request. The mutex is held.
func (c *LocalCloud) poolSize(r *cloud.ScaleOutRequest) (n int) {
	for _, m := range c.machines {
		if m.machineType.Name == r.Type && m.zone == r.Zone && m.spot == r.Spot {
			n++
		}
	}
	return n
}

// startMachine makes a machine that boots from now on, and returns its name. The mutex is
// held.
func (c *LocalCloud) startMachine(t cloud.MachineType, r *cloud.ScaleOutRequest) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(c.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.machinesCreated++
	m := &LocalMachine{
		cloud:       c,
		workerLease: workerLease{epoch: 1},
		name:        machineName(c.machinesCreated),
		address:     listener.Addr().String(),
		machineType: t,
		zone:        r.Zone,
		spot:        r.Spot,
		createdAt:   time.Now(),
		changed:     make(chan struct{}, 1),
		tasks:       map[string]*localTask{},
	}
	m.ctx, m.stop = context.WithCancel(c.ctx)
	c.machines[m.name] = m
	go m.run(listener)
	return m.name, nil
}

// Violations lists the rules that were broken.
func (c *LocalCloud) Violations() []string { return c.record.listViolations() }

// TaskStarts counts the starts of tasks.
func (c *LocalCloud) TaskStarts() int { return c.record.taskStarts() }

// Restarts counts the starts of tasks that had been started before, and tells the longest
// time without a start.
func (c *LocalCloud) Restarts() (restarts int, longestGap time.Duration) { return c.record.restarts() }

// CheckDependencies has each start of a task checked: dependencies lists the tasks that
// have to be completed before. It must not ask the cloud.
func (c *LocalCloud) CheckDependencies(dependencies func(task string) []string) {
	c.record.checkDependencies(dependencies)
}

// TaskCompleted reports whether a task has completed.
func (c *LocalCloud) TaskCompleted(task string) bool { return c.record.taskCompleted(task) }
