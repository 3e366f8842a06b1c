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
	"robinstack/internal/worker"
)

// SimulatedCloud is a cloud whose machines have workers that keep leases, by the published
// protocols, in memory and in fake time. What happens on them goes to a history.
type SimulatedCloud struct {
	ctx      context.Context
	settings *config.Settings
	types    []cloud.MachineType
	history  *History
	ask      func(host string, r *http.Request) (*http.Response, error) // a controller

	mu       sync.Mutex
	rng      *rand.Rand
	machines map[string]*SimulatedMachine
	requests map[string][]string
	gangs    map[string]map[string]*piece // tasks on machines, by job and attempt
	runs     map[string][2]time.Duration  // how long the tasks of a job run
	most     int
	count    int
	deleted  int
	broken   map[string]bool // gangs that lost a task with a returned machine
	done     func(task string)
	loopback *LoopbackNetwork         // nil: all of it is in this process
	fetch    time.Duration            // of an image that a machine does not have
	spread   bool                     // boots take from 0.6 to 1.5 times what is usual
	late     func(late time.Duration) // told how late each step of a worker is
	killed   int                      // tasks that ended with their worker's lease
}

// Timing says how a fleet's machines behave in time beyond what their types say.
type Timing struct {
	ImageFetch   time.Duration            // of an image that a machine does not have
	RandomBoot   bool                     // boots take from 0.6 to 1.5 times what is usual
	OnWorkerStep func(late time.Duration) // told how late each step of a worker is
}

// SetTiming has the machines keep to a timing from now on.
func (f *SimulatedCloud) SetTiming(t Timing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetch, f.spread, f.late = t.ImageFetch, t.RandomBoot, t.OnWorkerStep
}

// TasksKilledByLeaseExpiry counts the tasks that ended because their worker's lease did.
func (f *SimulatedCloud) TasksKilledByLeaseExpiry() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.killed
}

// OnTaskCompleted has f called, in a goroutine of its own, at the moment at which a task completes.
func (f *SimulatedCloud) OnTaskCompleted(do func(task string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done = do
}

// HasCapacity reports whether so many tasks of a job have room now on machines that nothing keeps
// from serving.
func (f *SimulatedCloud) HasCapacity(spec job.Spec, tasks int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	room := map[string]int{} // by zone
	for _, u := range f.machines {
		if u.answered.IsZero() || u.Hung || u.InboundLost || u.CommandsLost || u.HeartbeatsLost || u.CommandDelay > 0 || u.AnswerDelay > 0 || u.UnreachableFrom != "" || u.OnlyController != "" || !u.died.IsZero() || !spec.AllowsMachine(u.typ.Name, u.zone, false) {
			continue
		}
		free := job.Capacity(u.typ)
		for _, p := range u.pieces {
			if id, _, _ := job.SplitTaskID(p.task.ID); p.task.State != worker.TaskExited {
				if s, known := f.history.Spec(id); known {
					free = free.AddScaled(s.Need, -1)
				}
			}
		}
		room[u.zone] += spec.Need.CountIn(free)
	}
	sum, most := 0, 0
	for _, n := range room {
		if spec.Spread {
			n = min(n, (spec.Tasks+1)/2)
		}
		sum, most = sum+n, max(most, n)
	}
	if spec.OneZone {
		sum = most
	}
	return sum >= tasks
}

// TasksLostToScaleIn counts the tasks that were on machines when those were returned. A gang that
// loses one of its tasks loses all, so all of its attempt count, once.
func (f *SimulatedCloud) TasksLostToScaleIn() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deleted
}

// NewSimulatedCloud returns a fleet without machines, whose workers run until ctx ends. ask carries
// a worker's report to a controller.
func NewSimulatedCloud(ctx context.Context, settings *config.Settings, types []cloud.MachineType, most int, seed uint64, h *History, ask func(host string, r *http.Request) (*http.Response, error)) *SimulatedCloud {
	return &SimulatedCloud{ctx: ctx, settings: settings, types: types, most: most, history: h, ask: ask, rng: rand.New(rand.NewPCG(seed, 2)),
		machines: map[string]*SimulatedMachine{}, requests: map[string][]string{}, gangs: map[string]map[string]*piece{}, broken: map[string]bool{}, runs: map[string][2]time.Duration{}}
}

// SetRunTimes says how long the first task of a job runs, and by how much each of the others runs
// longer than the one before it.
func (f *SimulatedCloud) SetRunTimes(id string, d, apart time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id] = [2]time.Duration{d, apart}
}

// ForEachMachine calls do for every machine with the fleet held still, in the order of their names.
func (f *SimulatedCloud) ForEachMachine(do func(name string, u *SimulatedMachine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(f.machines)) {
		do(name, f.machines[name])
	}
}

// SetMachineTypes has the cloud offer other types from now on.
func (f *SimulatedCloud) SetMachineTypes(types []cloud.MachineType) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.types = types
}

// MachineTypes, Rent, Delete and Machines are the cloud's.
func (f *SimulatedCloud) MachineTypes(context.Context) ([]cloud.MachineType, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.types, nil
}

func (f *SimulatedCloud) ScaleOut(_ context.Context, r cloud.ScaleOutRequest) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if names, known := f.requests[r.RequestID]; known {
		return names, nil
	}
	at := slices.IndexFunc(f.types, func(t cloud.MachineType) bool { return t.Name == r.Type })
	if at < 0 {
		return nil, errors.New("malformed")
	}
	var names []string
	for range min(r.Count, f.most-len(f.machines)) {
		f.count++
		u, err := f.newMachine(f.types[at], r.Zone, f.bootTime(f.types[at]))
		if err != nil {
			return names, err
		}
		f.machines[u.name] = u
		names = append(names, u.name)
		go u.run()
	}
	if names == nil {
		return nil, cloud.ErrNoCapacity
	}
	f.requests[r.RequestID] = names
	return names, nil
}

// newMachine makes a machine that does not run yet. The fleet's mutex is held.
func (f *SimulatedCloud) newMachine(t cloud.MachineType, zone string, boot time.Duration) (*SimulatedMachine, error) {
	u := &SimulatedMachine{fleet: f, name: fmt.Sprintf("vm-%06d", f.count), typ: t, zone: zone, lease: lease{session: 1}, pieces: map[string]*piece{}, images: map[string]bool{}, boot: boot, since: time.Now(), changed: make(chan struct{}, 1)}
	u.ctx, u.stop = context.WithCancel(f.ctx)
	u.address, u.link = u.name, handlerTransport{f.ask}
	if f.loopback == nil {
		return u, nil
	}
	u.link = &connection{loopback: f.loopback}
	return u, u.listen()
}

// AddMachines puts so many machines into a zone that are up within some time, rented by nobody.
func (f *SimulatedCloud) AddMachines(typeName, zone string, count int, within time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := slices.IndexFunc(f.types, func(t cloud.MachineType) bool { return t.Name == typeName })
	if at < 0 {
		return fmt.Errorf("there is no machine type %q", typeName)
	}
	for range count {
		f.count++
		u, err := f.newMachine(f.types[at], zone, time.Duration(f.rng.Float64()*float64(within)))
		if err != nil {
			return err
		}
		f.machines[u.name] = u
		go u.run()
	}
	return nil
}

// bootTime is how long a machine takes to come up. The fleet's mutex is held.
func (f *SimulatedCloud) bootTime(t cloud.MachineType) time.Duration {
	if !f.spread {
		return t.ProvisioningTime()
	}
	return time.Duration(float64(t.ProvisioningTime()) * (0.6 + 0.9*f.rng.Float64()))
}

func (f *SimulatedCloud) isGang(id string) bool {
	spec, _ := f.history.Spec(id)
	return spec.Shape == job.Gang
}

func (f *SimulatedCloud) ScaleIn(_ context.Context, names []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		if u := f.machines[name]; u != nil {
			for _, p := range u.pieces {
				if p.counted && !f.broken[p.group] {
					f.deleted++
				}
			}
			for _, p := range u.pieces {
				if id, _, _ := job.SplitTaskID(p.task.ID); p.counted && !f.broken[p.group] && f.isGang(id) {
					f.broken[p.group] = true
					for _, other := range f.gangs[p.group] {
						if u.pieces[fmt.Sprint(other.task.ID, " ", other.task.Attempt)] != other {
							f.deleted++
						}
					}
				}
			}
			u.clear()
			u.stop()
			delete(f.machines, name)
		}
	}
	return nil
}

func (f *SimulatedCloud) Machines(context.Context) ([]cloud.Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []cloud.Machine
	for _, name := range slices.Sorted(maps.Keys(f.machines)) {
		u := f.machines[name]
		status := "running"
		if u.answered.IsZero() {
			status = "booting"
		} else if !u.died.IsZero() && time.Since(u.died) > 30*time.Second {
			status = "failed"
		}
		out = append(out, cloud.Machine{Name: name, Address: u.address, Type: u.typ.Name, Zone: u.zone, Status: status, AgeS: f.age(u)})
	}
	return out, nil
}

// Commander is how a controller sends commands straight to workers.
type Commander struct {
	fleet *SimulatedCloud
	host  string
}

// Commander returns the commander of a controller.
func (f *SimulatedCloud) Commander(host string) Commander { return Commander{f, host} }

// Send carries commands to a machine. What is held up is carried out later, if token and
// session still match.
func (c Commander) Send(ctx context.Context, address string, token, session uint64, orders []worker.Command) (*worker.Heartbeat, bool, error) {
	f := c.fleet
	f.mu.Lock()
	u := f.machines[address]
	if u == nil || u.InboundLost || u.CommandsLost || u.UnreachableFrom == c.host || u.OnlyController != "" && u.OnlyController != c.host || u.answered.IsZero() || !u.died.IsZero() {
		f.mu.Unlock()
		sleep(ctx, patience)
		return nil, false, errors.New("no answer")
	}
	hold := u.CommandDelay
	f.mu.Unlock()
	type outcome struct {
		r  worker.Heartbeat
		ok bool
	}
	done := make(chan outcome, 1)
	go func() {
		if hold > 0 && !sleep(u.ctx, hold) {
			return
		}
		if r, executed, ok := u.execute(token, session, orders); ok {
			done <- outcome{r, executed}
		}
	}()
	wctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	select {
	case o := <-done:
		return &o.r, o.ok, nil
	case <-wctx.Done():
		return nil, false, errors.New("no answer in time")
	}
}
