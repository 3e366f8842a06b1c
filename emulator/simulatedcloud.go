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

// SimulatedCloud is a cloud whose machines run in this process, in fake time or in real time. Their
// workers hold leases and speak the published protocols. It records what happens on the machines in
// a History.
//
// mu also guards all machines and tasks. It is held during calls to the History.
type SimulatedCloud struct {
	ctx            context.Context // all workers stop when it ends
	settings       *config.Settings
	history        *History
	callController ControllerCall
	maxMachines    int

	mu              sync.Mutex
	rng             *rand.Rand
	types           []cloud.MachineType
	machines        map[string]*SimulatedMachine
	machinesCreated int
	scaleOuts       map[string][]string // names of the created machines, by request id
	network         *LoopbackNetwork    // nil: workers call controllers in this process
	copies          *LateCopies         // nil: no message arrives twice
	timing          Timing

	runTimes        map[string]jobRunTime
	failFirst       FirstFailures
	failedTasks     map[string]bool // ids of the tasks that have failed because of failFirst
	onTaskCompleted func(task string)

	gangs               map[string]map[string]*simulatedTask // tasks on machines, by job attempt and task id
	gangsLostToScaleIn  map[string]bool                      // job attempts that lost a task to a scale-in
	lostToScaleIn       int
	killedByLeaseExpiry int
}

// ControllerCall sends an HTTP request to the controller on a host.
type ControllerCall func(host string, r *http.Request) (*http.Response, error)

// SimulatedCloudConfig is the configuration of a SimulatedCloud.
type SimulatedCloudConfig struct {
	Settings       *config.Settings
	MachineTypes   []cloud.MachineType
	MaxMachines    int
	Seed           uint64 // for boot times, each worker's first controller, and heartbeat jitter
	History        *History
	CallController ControllerCall // sends heartbeats, unless UseNetwork is called
}

// Timing sets durations that the machine types do not determine.
type Timing struct {
	ImageFetch   time.Duration            // of an image that is not cached; 0: every fetch takes 1 s, cached or not
	RandomBoot   bool                     // boot times are 0.6 to 1.5 times the provisioning time
	OnWorkerStep func(late time.Duration) // called with the lateness of each worker step
}

// jobRunTime determines how long the tasks of a job run.
type jobRunTime struct {
	firstTask time.Duration
	increment time.Duration // for an array, the difference between the run times of consecutive tasks
}

// NewSimulatedCloud returns a cloud without machines. Its workers run until ctx ends.
func NewSimulatedCloud(ctx context.Context, c SimulatedCloudConfig) *SimulatedCloud {
	return &SimulatedCloud{
		ctx:                ctx,
		settings:           c.Settings,
		history:            c.History,
		callController:     c.CallController,
		maxMachines:        c.MaxMachines,
		rng:                rand.New(rand.NewPCG(c.Seed, 2)),
		types:              c.MachineTypes,
		machines:           map[string]*SimulatedMachine{},
		scaleOuts:          map[string][]string{},
		runTimes:           map[string]jobRunTime{},
		failedTasks:        map[string]bool{},
		gangs:              map[string]map[string]*simulatedTask{},
		gangsLostToScaleIn: map[string]bool{},
	}
}

// SetTiming sets the timing of all machines. The boot time applies to machines created later.
func (c *SimulatedCloud) SetTiming(t Timing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timing = t
}

// SetLateCopies sets which commands, heartbeats and requests to the cloud arrive once more. It must be
// called before the first machine is created.
func (c *SimulatedCloud) SetLateCopies(copies *LateCopies) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copies = copies
}

// FirstFailures says which tasks of arrays and services fail once, right after they have begun to run.
type FirstFailures int

const (
	// FailNone lets no task fail.
	FailNone FirstFailures = iota
	// FailOddTasks lets those with an odd index fail, so that the job itself is rarely suspected.
	FailOddTasks
	// FailAllTasks lets all of them fail.
	FailAllTasks
)

// SetFailFirst sets which tasks fail at their first attempt.
func (c *SimulatedCloud) SetFailFirst(which FirstFailures) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failFirst = which
}

// SetRunTimes sets how long the tasks of a job run: the first one runs for firstTask, and each
// following task of an array runs longer than the one before it by increment.
func (c *SimulatedCloud) SetRunTimes(id string, firstTask, increment time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runTimes[id] = jobRunTime{firstTask, increment}
}

// OnTaskCompleted sets a function that is called in its own goroutine when a task completes; nil:
// none.
func (c *SimulatedCloud) OnTaskCompleted(do func(task string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onTaskCompleted = do
}

// ForEachMachine calls do for every machine, sorted by name. The cloud's mutex is held meanwhile,
// so do must not call methods of the cloud.
func (c *SimulatedCloud) ForEachMachine(do func(name string, m *SimulatedMachine)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		do(name, c.machines[name])
	}
}

// TasksKilledByLeaseExpiry returns the number of tasks that ended because the lease of their worker
// expired.
func (c *SimulatedCloud) TasksKilledByLeaseExpiry() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killedByLeaseExpiry
}

// TasksLostToScaleIn returns the number of tasks that were on machines when these were deleted. A
// gang that loses one task has to restart, so all its tasks count as lost, once per job attempt.
func (c *SimulatedCloud) TasksLostToScaleIn() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostToScaleIn
}

// HasCapacity reports whether the given number of tasks of a job fits on machines without injected
// faults.
func (c *SimulatedCloud) HasCapacity(spec job.Spec, tasks int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	capacityByZone := map[string]int{}
	for _, m := range c.machines {
		if m.hasNoFaults() && spec.AllowsMachine(m.machineType.Name, m.zone, false) {
			capacityByZone[m.zone] += spec.CountIn(m.freeCapacity())
		}
	}
	total, largest := 0, 0
	for _, count := range capacityByZone {
		if spec.Spread {
			count = min(count, maxTasksInZone(spec))
		}
		total, largest = total+count, max(largest, count)
	}
	if spec.OneZone {
		return largest >= tasks
	}
	return total >= tasks
}

// SetMachineTypes replaces the offered machine types.
func (c *SimulatedCloud) SetMachineTypes(types []cloud.MachineType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.types = types
}

// MachineTypes lists the offered machine types.
func (c *SimulatedCloud) MachineTypes(context.Context) ([]cloud.MachineType, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types, nil
}

// errUnknownMachineType means that a request names a machine type that is not offered. CloudServer
// sends its text to clients.
var errUnknownMachineType = errors.New("malformed")

// ScaleOut creates as many of the requested machines as the maximum number of machines permits, or
// returns cloud.ErrNoCapacity if it permits none. A repeated request returns the machines of the
// first one.
func (c *SimulatedCloud) ScaleOut(_ context.Context, r cloud.ScaleOutRequest) ([]string, error) {
	names, err := c.scaleOut(r)
	//nolint:contextcheck // a copy outlives the request; nobody waits for its outcome
	c.copies.Repeat(c.ctx, CloudMessage, func() { _, _ = c.scaleOut(r) })
	return names, err
}

func (c *SimulatedCloud) scaleOut(r cloud.ScaleOutRequest) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, known := c.scaleOuts[r.RequestID]; known {
		return names, nil
	}
	machineType, found := findMachineType(c.types, r.Type)
	if !found {
		return nil, errUnknownMachineType
	}
	var names []string
	for range min(r.Count, c.maxMachines-len(c.machines)) {
		name, err := c.startMachine(machineType, r.Zone, c.drawBootTime(machineType))
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

// AddMachines creates machines in a zone without a scale-out request. Their boot times are random,
// up to the given one. The maximum number of machines does not apply.
func (c *SimulatedCloud) AddMachines(typeName, zone string, count int, within time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	machineType, found := findMachineType(c.types, typeName)
	if !found {
		return fmt.Errorf("unknown machine type %q", typeName)
	}
	for range count {
		if _, err := c.startMachine(machineType, zone, time.Duration(c.rng.Float64()*float64(within))); err != nil {
			return err
		}
	}
	return nil
}

func findMachineType(types []cloud.MachineType, name string) (cloud.MachineType, bool) {
	index := slices.IndexFunc(types, func(t cloud.MachineType) bool { return t.Name == name })
	if index < 0 {
		return cloud.MachineType{}, false
	}
	return types[index], true
}

// startMachine creates a machine, starts to boot it and returns its name. The caller must hold
// c.mu.
func (c *SimulatedCloud) startMachine(
	machineType cloud.MachineType, zone string, bootTime time.Duration,
) (string, error) {
	c.machinesCreated++
	m, err := c.newMachine(machineName(c.machinesCreated), machineType, zone, bootTime)
	if err != nil {
		return "", err
	}
	c.machines[m.name] = m
	go m.run()
	return m.name, nil
}

// machineName returns the name of the nth machine that a cloud creates.
func machineName(n int) string { return fmt.Sprintf("vm-%06d", n) }

// Random boot times are uniformly distributed from 0.6 to 1.5 times the provisioning time of the
// machine type.
const (
	minBootFactor    = 0.6
	bootFactorSpread = 0.9
)

// drawBootTime returns the boot time of a new machine. The caller must hold c.mu.
func (c *SimulatedCloud) drawBootTime(machineType cloud.MachineType) time.Duration {
	if !c.timing.RandomBoot {
		return machineType.ProvisioningTime()
	}
	return time.Duration(float64(machineType.ProvisioningTime()) * (minBootFactor + bootFactorSpread*c.rng.Float64()))
}

// ScaleIn deletes machines together with the tasks on them.
func (c *SimulatedCloud) ScaleIn(_ context.Context, names []string) error {
	c.scaleIn(names)
	//nolint:contextcheck // a copy outlives the request
	c.copies.Repeat(c.ctx, CloudMessage, func() { c.scaleIn(names) })
	return nil
}

func (c *SimulatedCloud) scaleIn(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		m := c.machines[name]
		if m == nil {
			continue
		}
		c.countTasksLostToScaleIn(m)
		m.dropTasks()
		m.stop()
		delete(c.machines, name)
	}
}

// countTasksLostToScaleIn counts the tasks that are lost with a deleted machine. The caller must
// hold c.mu.
func (c *SimulatedCloud) countTasksLostToScaleIn(m *SimulatedMachine) {
	for _, task := range m.tasks {
		if task.recordedOnMachine && !c.gangsLostToScaleIn[task.jobAttemptKey] {
			c.lostToScaleIn++
		}
	}
	for _, task := range m.tasks {
		if task.recordedOnMachine && !c.gangsLostToScaleIn[task.jobAttemptKey] && c.isGangTask(task) {
			c.gangsLostToScaleIn[task.jobAttemptKey] = true
			c.lostToScaleIn += c.gangTasksOnOtherMachines(m, task.jobAttemptKey)
		}
	}
}

// gangTasksOnOtherMachines returns the number of tasks of a gang's attempt that are on machines
// other than m.
func (c *SimulatedCloud) gangTasksOnOtherMachines(m *SimulatedMachine, jobAttemptKey string) (n int) {
	for _, other := range c.gangs[jobAttemptKey] {
		if m.tasks[attemptKey(other.ID, other.Attempt)] != other {
			n++
		}
	}
	return n
}

func (c *SimulatedCloud) isGangTask(task *simulatedTask) bool {
	return task.spec(c.history).Shape == job.Gang
}

// failureListingDelay is how long the cloud still lists a machine as running after it has failed.
const failureListingDelay = 30 * time.Second

// Machines lists the machines, sorted by name.
func (c *SimulatedCloud) Machines(context.Context) ([]cloud.Machine, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []cloud.Machine
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		m := c.machines[name]
		status := "running"
		if m.renewedAt.IsZero() {
			status = "booting"
		} else if !m.failedAt.IsZero() && time.Since(m.failedAt) > failureListingDelay {
			status = "failed"
		}
		out = append(out, cloud.Machine{
			Name: name, Address: m.address, Type: m.machineType.Name, Zone: m.zone,
			Status: status, AgeS: m.reportedAgeSeconds(),
		})
	}
	return out, nil
}
