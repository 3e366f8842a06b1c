package emulator

import (
	"context"
	"fmt"
	"net"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// LocalCloud is a cloud on loopback whose machines have workers that run small commands, by
// the published protocols. It keeps a history and says what broke a rule.
type LocalCloud struct {
	ctx         context.Context
	types       []cloud.MachineType
	most        int               // machines of each type, zone and kind
	controllers map[string]string // addresses by host
	report      time.Duration
	lease       time.Duration
	spec        func(job string) (*job.Spec, error) // what users uploaded

	mu       sync.Mutex
	boxes    map[string]*LocalMachine
	requests map[string][]string
	count    int
	done     map[string]bool            // tasks that have completed
	on       map[string]*run            // where a task is
	gangs    map[string]map[string]*run // tasks on machines, by job and attempt
	needs    func(task string) []string // tasks that have to be completed before one starts
	starts   int
	before   map[string]bool // tasks that have been started
	again    int
	lastAt   time.Time
	gap      time.Duration // longest time between two starts
	broken   []string
}

// LocalCloudConfig says what a farm is like.
type LocalCloudConfig struct {
	MachineTypes                     []cloud.MachineType
	MaxPerPool                       int
	Controllers                      map[string]string
	HeartbeatInterval, LeaseDuration time.Duration
	LookUpSpec                       func(job string) (*job.Spec, error)
}

// NewLocalCloud returns a farm without machines, whose workers run until ctx ends.
func NewLocalCloud(ctx context.Context, c LocalCloudConfig) *LocalCloud {
	return &LocalCloud{ctx: ctx, types: c.MachineTypes, most: c.MaxPerPool, controllers: c.Controllers, report: c.HeartbeatInterval, lease: c.LeaseDuration, spec: c.LookUpSpec,
		boxes: map[string]*LocalMachine{}, requests: map[string][]string{}, done: map[string]bool{}, on: map[string]*run{}, gangs: map[string]map[string]*run{}, before: map[string]bool{}}
}

// Violations lists the rules that were broken.
func (f *LocalCloud) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// TaskStarts counts the starts of tasks, and Completed tells whether one has completed.
func (f *LocalCloud) TaskStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Restarts counts the starts of tasks that had been started before, and tells the longest
// time without a start.
func (f *LocalCloud) Restarts() (again int, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.again, f.gap
}

// CheckDependencies has each start of a task checked: needs lists the tasks that have to be completed
// before. It must not ask the farm.
func (f *LocalCloud) CheckDependencies(needs func(task string) []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needs = needs
}

// TaskCompleted reports whether a task has completed.
func (f *LocalCloud) TaskCompleted(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task]
}

// MachineTypes lists the types on offer.
func (f *LocalCloud) MachineTypes(context.Context) ([]cloud.MachineType, error) { return f.types, nil }

// ScaleIn returns machines, with all that is on them.
func (f *LocalCloud) ScaleIn(_ context.Context, names []string) error {
	for _, name := range names {
		f.mu.Lock()
		b := f.boxes[name]
		delete(f.boxes, name)
		f.mu.Unlock()
		if b != nil {
			b.stop()
			b.clear()
		}
	}
	return nil
}

// Machines lists the machines in the order of their names.
func (f *LocalCloud) Machines(context.Context) ([]cloud.Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []cloud.Machine{}
	for name, b := range f.boxes {
		out = append(out, cloud.Machine{Name: name, Address: b.address, Type: b.typ.Name, Zone: b.zone, Spot: b.spot, Status: "running", AgeS: time.Since(b.since).Seconds()})
	}
	slices.SortFunc(out, func(a, b cloud.Machine) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// ScaleOut rents machines, as many of those asked for as there is capacity for.
func (f *LocalCloud) ScaleOut(_ context.Context, r cloud.ScaleOutRequest) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if names, again := f.requests[r.RequestID]; again {
		return names, nil
	}
	at := slices.IndexFunc(f.types, func(t cloud.MachineType) bool { return t.Name == r.Type })
	if at < 0 {
		return nil, cloud.ErrNoCapacity
	}
	there := 0
	for _, b := range f.boxes {
		if b.typ.Name == r.Type && b.zone == r.Zone && b.spot == r.Spot {
			there++
		}
	}
	var names []string
	for ; there < f.most && len(names) < r.Count; there++ {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			break
		}
		f.count++
		ctx, stop := context.WithCancel(f.ctx)
		b := &LocalMachine{farm: f, name: fmt.Sprintf("vm-%06d", f.count), address: ln.Addr().String(), typ: f.types[at], zone: r.Zone, spot: r.Spot,
			since: time.Now(), ctx: ctx, stop: stop, changed: make(chan struct{}, 1), lease: lease{session: 1}, tasks: map[string]*run{}}
		f.boxes[b.name] = b
		names = append(names, b.name)
		go b.run(ln)
	}
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	f.requests[r.RequestID] = names
	return names, nil
}

// began books that a task is on a machine. The farm's mutex guards the history.
func (f *LocalCloud) began(r *run) {
	f.mu.Lock()
	needs, first := f.needs, []string(nil)
	f.mu.Unlock()
	if needs != nil {
		first = needs(r.id)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	for _, p := range first {
		if !f.done[p] {
			f.broken = append(f.broken, fmt.Sprintf("too_early: %s starts before %s has completed", r.id, p))
			break
		}
	}
	if f.before[r.id] {
		f.again++
	}
	f.before[r.id] = true
	now := time.Now()
	if !f.lastAt.IsZero() {
		f.gap = max(f.gap, now.Sub(f.lastAt))
	}
	f.lastAt = now
	if other := f.on[r.id]; other != nil {
		f.broken = append(f.broken, fmt.Sprintf("ran_twice: %s starts on %s while it is on %s", r.id, r.box.name, other.box.name))
	}
	f.on[r.id] = r
	key := r.gang()
	if f.gangs[key] == nil {
		f.gangs[key] = map[string]*run{}
	}
	f.gangs[key][r.id] = r
}

// ended books that it is not any more.
func (f *LocalCloud) ended(r *run, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.on[r.id] == r {
		delete(f.on, r.id)
	}
	if f.gangs[r.gang()][r.id] == r {
		delete(f.gangs[r.gang()], r.id)
	}
	if len(f.gangs[r.gang()]) == 0 {
		delete(f.gangs, r.gang())
	}
	if done {
		f.done[r.id] = true
	}
}

// together reports whether all tasks of a gang's attempt are on machines.
func (f *LocalCloud) together(r *run) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.gangs[r.gang()]) == r.spec.Tasks
}

// run is one attempt at a task on a machine.
type run struct {
	box     *LocalMachine
	id      string
	attempt uint64
	spec    *job.Spec
	state   string
	cause   string
	stop    chan struct{}
	stopped bool
}

func (r *run) gang() string {
	id, _, _ := strings.Cut(r.id, "/")
	return fmt.Sprint(id, " ", r.attempt)
}

// play takes the task through its states. Commands are small: what the image names
// after "sh:" is run by the shell, and anything else takes as long as its owner guessed.
func (r *run) play() {
	step := func(state, cause string) {
		r.box.mu.Lock()
		if r.state != "ended" {
			r.state, r.cause = state, cause
		}
		r.box.mu.Unlock()
		r.box.tell()
	}
	r.box.farm.began(r)
	finish := func(cause string) {
		// First: once it is reported, users may be told, and it may be started elsewhere.
		r.box.farm.ended(r, cause == "done")
		step("ended", cause)
	}
	gathered := time.After(20 * time.Second)
	for r.spec.Shape == job.Gang && !r.box.farm.together(r) {
		step("gathering", "")
		select {
		case <-r.stop:
			finish("stopped")
			return
		case <-gathered:
			finish("incomplete")
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	step("running", "")
	ctx, cancel := context.WithCancel(r.box.ctx)
	defer cancel()
	over := make(chan error, 1)
	go func() { over <- command(ctx, r.spec) }()
	select {
	case <-r.stop:
		cancel()
		<-over
		finish("stopped")
	case err := <-over:
		if err != nil {
			finish("error")
			return
		}
		finish("done")
	}
}

func command(ctx context.Context, s *job.Spec) error {
	if line, ok := strings.CutPrefix(s.Image, "sh:"); ok {
		return exec.CommandContext(ctx, "sh", "-c", line).Run()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(s.EstimateS * float64(time.Second))):
		return nil
	}
}
