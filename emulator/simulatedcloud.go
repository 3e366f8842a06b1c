package emulator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
)

// SimulatedCloud is a cloud whose machines have workers that keep leases, by the published
// protocols, in memory and in fake time. What happens on them goes to a history.
//
// Its mutex guards all machines and tasks too, and is held while the history is told.
type SimulatedCloud struct {
	ctx            context.Context // ends all workers
	settings       *config.Settings
	history        *History
	callController ControllerCall
	maxMachines    int

	mu              sync.Mutex
	rng             *rand.Rand
	types           []cloud.MachineType
	machines        map[string]*SimulatedMachine
	machinesCreated int
	scaleOuts       map[string][]string // names of the machines, by request
	network         *LoopbackNetwork    // nil: all of it is in this process
	timing          Timing

	runTimes        map[string]runTime
	onTaskCompleted func(task string)

	gangs            map[string]map[string]*simulatedTask // tasks on machines, by the job's attempt
	brokenGangs      map[string]bool                      // that lost a task with a returned machine
	lostToScaleIn    int
	killedByLeaseEnd int
}

// ControllerCall sends a request to a controller, by its host.
type ControllerCall func(host string, r *http.Request) (*http.Response, error)

// SimulatedCloudConfig says what a simulated cloud is like.
type SimulatedCloudConfig struct {
	Settings       *config.Settings
	MachineTypes   []cloud.MachineType
	MaxMachines    int
	Seed           uint64 // of boot times, first controllers and intervals between heartbeats
	History        *History
	CallController ControllerCall // carries heartbeats, unless a network does (UseNetwork)
}

// Timing says how machines behave in time beyond what their types say.
type Timing struct {
	ImageFetch   time.Duration            // of an image that a machine does not have; 0: a second for each
	RandomBoot   bool                     // boots take from 0.6 to 1.5 times what is usual
	OnWorkerStep func(late time.Duration) // called with how late each step of a worker is
}

// runTime is how long the tasks of a job run.
type runTime struct {
	first time.Duration
	step  time.Duration // by which each task of an array runs longer than the one before it
}

// NewSimulatedCloud returns a cloud without machines, whose workers run until ctx ends.
func NewSimulatedCloud(ctx context.Context, c SimulatedCloudConfig) *SimulatedCloud {
	return &SimulatedCloud{
		ctx:            ctx,
		settings:       c.Settings,
		history:        c.History,
		callController: c.CallController,
		maxMachines:    c.MaxMachines,
		rng:            rand.New(rand.NewPCG(c.Seed, 2)),
		types:          c.MachineTypes,
		machines:       map[string]*SimulatedMachine{},
		scaleOuts:      map[string][]string{},
		runTimes:       map[string]runTime{},
		gangs:          map[string]map[string]*simulatedTask{},
		brokenGangs:    map[string]bool{},
	}
}

// SetTiming has the machines keep to a timing from now on.
func (c *SimulatedCloud) SetTiming(t Timing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timing = t
}

// SetRunTimes says how long the first task of a job runs, and by how much each of the
// others of an array runs longer than the one before it.
func (c *SimulatedCloud) SetRunTimes(id string, first, step time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runTimes[id] = runTime{first, step}
}

// OnTaskCompleted has do called, in a goroutine of its own, at the moment at which a task
// completes; nil: nothing.
func (c *SimulatedCloud) OnTaskCompleted(do func(task string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onTaskCompleted = do
}

// ForEachMachine calls do for every machine with the cloud held still, in the order of
// their names.
func (c *SimulatedCloud) ForEachMachine(do func(name string, m *SimulatedMachine)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		do(name, c.machines[name])
	}
}

// TasksKilledByLeaseExpiry counts the tasks that ended because their worker's lease did.
func (c *SimulatedCloud) TasksKilledByLeaseExpiry() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killedByLeaseEnd
}

// TasksLostToScaleIn counts the tasks that were on machines when those were returned. A
// gang that loses one of its tasks loses all, so all of its attempt count, once.
func (c *SimulatedCloud) TasksLostToScaleIn() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostToScaleIn
}

// HasCapacity reports whether so many tasks of a job find capacity now on machines that
// nothing keeps from serving.
func (c *SimulatedCloud) HasCapacity(spec job.Spec, tasks int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	byZone := map[string]int{}
	for _, m := range c.machines {
		if m.servesNormally() && spec.AllowsMachine(m.machineType.Name, m.zone, false) {
			byZone[m.zone] += spec.CountIn(m.freeCapacity())
		}
	}
	total, largest := 0, 0
	for _, n := range byZone {
		if spec.Spread {
			n = min(n, maxTasksInZone(spec))
		}
		total, largest = total+n, max(largest, n)
	}
	if spec.OneZone {
		return largest >= tasks
	}
	return total >= tasks
}

// SetMachineTypes has the cloud offer other types from now on.
func (c *SimulatedCloud) SetMachineTypes(types []cloud.MachineType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.types = types
}

// MachineTypes lists the types on offer.
func (c *SimulatedCloud) MachineTypes(context.Context) ([]cloud.MachineType, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types, nil
}

// errMalformed is the cloud's answer to a request for what it does not offer.
var errMalformed = errors.New("malformed")

// ScaleOut rents machines, as many of those asked for as there may be. A repeated request
// has the same answer. The error is cloud.ErrNoCapacity if there may be none.
func (c *SimulatedCloud) ScaleOut(_ context.Context, r cloud.ScaleOutRequest) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, known := c.scaleOuts[r.RequestID]; known {
		return names, nil
	}
	t, offered := findType(c.types, r.Type)
	if !offered {
		return nil, errMalformed
	}
	var names []string
	for range min(r.Count, c.maxMachines-len(c.machines)) {
		name, err := c.startMachine(t, r.Zone, c.drawBootTime(t))
		if err != nil {
			return names, err
		}
		names = append(names, name)
	}
	if names == nil {
		return nil, cloud.ErrNoCapacity
	}
	c.scaleOuts[r.RequestID] = names
	return names, nil
}

// AddMachines puts so many machines into a zone that are up within some time, rented by
// nobody.
func (c *SimulatedCloud) AddMachines(typeName, zone string, count int, within time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, offered := findType(c.types, typeName)
	if !offered {
		return fmt.Errorf("there is no machine type %q", typeName)
	}
	for range count {
		if _, err := c.startMachine(t, zone, time.Duration(c.rng.Float64()*float64(within))); err != nil {
			return err
		}
	}
	return nil
}

func findType(types []cloud.MachineType, name string) (cloud.MachineType, bool) {
	at := slices.IndexFunc(types, func(t cloud.MachineType) bool { return t.Name == name })
	if at < 0 {
		return cloud.MachineType{}, false
	}
	return types[at], true
}

// startMachine makes a machine that boots from now on, and returns its name. The mutex is
// held.
func (c *SimulatedCloud) startMachine(t cloud.MachineType, zone string, boot time.Duration) (string, error) {
	c.machinesCreated++
	m, err := c.newMachine(machineName(c.machinesCreated), t, zone, boot)
	if err != nil {
		return "", err
	}
	c.machines[m.name] = m
	go m.run()
	return m.name, nil
}

// machineName names the nth machine that a cloud has rented out.
func machineName(n int) string { return fmt.Sprintf("vm-%06d", n) }

// Boot times are drawn from 0.6 to 1.5 times what is usual.
const (
	minBootFactor    = 0.6
	bootFactorSpread = 0.9
)

// drawBootTime is how long a machine takes to come up. The mutex is held.
func (c *SimulatedCloud) drawBootTime(t cloud.MachineType) time.Duration {
	if !c.timing.RandomBoot {
		return t.ProvisioningTime()
	}
	return time.Duration(float64(t.ProvisioningTime()) * (minBootFactor + bootFactorSpread*c.rng.Float64()))
}

// ScaleIn returns machines, with all that is on them.
func (c *SimulatedCloud) ScaleIn(_ context.Context, names []string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		m := c.machines[name]
		if m == nil {
			continue
		}
		c.countLosses(m)
		m.dropTasks()
		m.stop()
		delete(c.machines, name)
	}
	return nil
}

// countLosses counts the tasks that are lost with a machine. The mutex is held.
func (c *SimulatedCloud) countLosses(m *SimulatedMachine) {
	for _, task := range m.tasks {
		if task.onMachine && !c.brokenGangs[task.jobAttempt] {
			c.lostToScaleIn++
		}
	}
	for _, task := range m.tasks {
		if task.onMachine && !c.brokenGangs[task.jobAttempt] && c.isGang(task) {
			c.brokenGangs[task.jobAttempt] = true
			c.lostToScaleIn += c.gangTasksElsewhere(m, task.jobAttempt)
		}
	}
}

// gangTasksElsewhere counts the tasks of a gang's attempt that are on other machines.
func (c *SimulatedCloud) gangTasksElsewhere(m *SimulatedMachine, jobAttempt string) (n int) {
	for _, other := range c.gangs[jobAttempt] {
		if m.tasks[attemptKey(other.ID, other.Attempt)] != other {
			n++
		}
	}
	return n
}

func (c *SimulatedCloud) isGang(task *simulatedTask) bool {
	return task.spec(c.history).Shape == job.Gang
}

// failedAfter is how long the cloud lists a machine as running that has stopped.
const failedAfter = 30 * time.Second

// Machines lists the machines in the order of their names.
func (c *SimulatedCloud) Machines(context.Context) ([]cloud.Machine, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []cloud.Machine
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		m := c.machines[name]
		status := "running"
		if m.renewedAt.IsZero() {
			status = "booting"
		} else if !m.failedAt.IsZero() && time.Since(m.failedAt) > failedAfter {
			status = "failed"
		}
		out = append(out, cloud.Machine{
			Name: name, Address: m.address, Type: m.machineType.Name, Zone: m.zone, Status: status, AgeS: m.listedAge(),
		})
	}
	return out, nil
}
