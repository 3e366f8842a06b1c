package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"robinstack/emulator"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/tools/devcluster"
)

// Options say how to run a profile.
type Options struct {
	Program string // this program: controllers, and the process of workers and users, run it
	Logs    string // directory for logs; "": they go when all ends
	Out     io.Writer
}

// Run is a profile that runs. It owns all processes.
type Run struct {
	profile *Profile
	options Options
	room    HostCapacity

	state       *emulator.StateService
	rates       *emulator.RateLimits
	server      *http.Server
	controllers *devcluster.Controllers
	nodes       []devcluster.Node
	dir         string
	begun       time.Time

	workers *exec.Cmd
	stdin   io.WriteCloser
	result  chan *LoadResult

	mu       sync.Mutex
	progress Progress
	down     map[int]bool // controllers that a fault has ended

	meters     []*meter // of the controllers
	loadMeter  *meter
	selfMeter  *meter
	sumMost    float64 // memory of all, in megabytes
	keysMost   int
	bytesMost  int
	registered registration
}

// RunProfile runs a profile to its end and returns what was measured. Whatever happens, all that it
// started has ended when it returns.
func RunProfile(ctx context.Context, p *Profile, o Options) (*Result, error) {
	room, err := MeasureHostCapacity()
	if err != nil {
		return nil, err
	}
	if err := p.CheckCapacity(room); err != nil {
		return nil, err
	}
	r := &Run{profile: p, options: o, room: room, state: emulator.NewStateService(), rates: emulator.NewRateLimits(p.State.RPS, p.State.WriteRPS),
		result: make(chan *LoadResult, 1), down: map[int]bool{}, loadMeter: &meter{}, selfMeter: &meter{}}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	if err := r.follow(ctx); err != nil {
		return nil, err
	}
	return r.finish(ctx)
}

// freeAddresses finds so many ports on this machine that are free now.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("a free port: %w", err)
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

func (r *Run) start(ctx context.Context) error {
	p := r.profile
	addresses, err := freeAddresses(2 + 2*p.Controllers.Count)
	if err != nil {
		return err
	}
	if r.dir, err = os.MkdirTemp("", "robinstack-scale-"); err != nil {
		return fmt.Errorf("making a directory: %w", err)
	}
	stateAddress, cloudAddress := addresses[0], addresses[1]
	zones, listens := p.Zones(), map[string]string{}
	for k := range p.Controllers.Count {
		n := devcluster.Node{Host: fmt.Sprintf("host-%d", k), Zone: zones[k%len(zones)], Listen: addresses[2+2*k], PeerListen: addresses[3+2*k]}
		r.nodes, r.meters = append(r.nodes, n), append(r.meters, &meter{})
		listens[n.Host] = n.Listen
	}
	logs := r.options.Logs
	if logs == "" {
		logs = r.dir
	}
	policyFile := filepath.Join(r.dir, "policy")
	if err := os.WriteFile(policyFile, []byte(p.Controllers.Policy), 0o600); err != nil {
		return fmt.Errorf("writing the policy: %w", err)
	}
	r.controllers, err = devcluster.NewControllers(devcluster.ControllersConfig{Nodes: r.nodes, State: stateAddress, Cloud: cloudAddress, Deployment: p.facts(), Policy: policyFile, Program: r.options.Program, LogDirectory: logs, LogLevel: "error"})
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", stateAddress)
	if err != nil {
		return fmt.Errorf("serving the state service: %w", err)
	}
	r.state.SetRateLimits(r.rates)
	r.server = &http.Server{Handler: r.state}
	go func() { _ = r.server.Serve(ln) }()
	go r.state.ExpireLeases(ctx.Done())
	for k := range r.nodes {
		if err := r.controllers.Launch(ctx, k, r.options.Program); err != nil {
			return err
		}
	}
	if err := r.startWorkers(ctx, LoadPlan{Profile: *p, Settings: r.controllers.SettingsFile(0), Controllers: listens, Cloud: cloudAddress}, logs); err != nil {
		return err
	}
	rctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := r.controllers.WaitUntilReady(rctx); err != nil {
		return err
	}
	r.begun = time.Now()
	_, err = fmt.Fprintln(r.stdin, "begin")
	return err
}

// readyWithin is how long the controllers may take until the first takes jobs.
const readyWithin = 30 * time.Second

// LoadProcessFlag is the flag under which this program runs the workers and users of a plan.
const LoadProcessFlag = "workers-of"

// startWorkers starts the process of the workers and users.
func (r *Run) startWorkers(ctx context.Context, plan LoadPlan, logs string) error {
	raw, err := json.Marshal(plan)
	if err != nil {
		return fmt.Errorf("writing the plan: %w", err)
	}
	file := filepath.Join(r.dir, "plan.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return fmt.Errorf("writing the plan: %w", err)
	}
	log, err := os.Create(filepath.Join(logs, "workers.log"))
	if err != nil {
		return fmt.Errorf("a log for the workers: %w", err)
	}
	defer log.Close()
	r.workers = exec.CommandContext(ctx, r.options.Program, "scale", "--"+LoadProcessFlag, file)
	r.workers.Stderr, r.workers.SysProcAttr = log, devcluster.ChildAttributes()
	if r.stdin, err = r.workers.StdinPipe(); err != nil {
		return err
	}
	out, err := r.workers.StdoutPipe()
	if err != nil {
		return err
	}
	if err := r.workers.Start(); err != nil {
		r.workers = nil
		return fmt.Errorf("starting the workers: %w", err)
	}
	go r.listen(out)
	return nil
}

// listen reads what the process of the workers and users says.
func (r *Run) listen(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 64*megabyte)
	for lines.Scan() {
		var line struct {
			Progress *Progress   `json:"progress"`
			Result   *LoadResult `json:"result"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		if line.Progress != nil {
			r.mu.Lock()
			r.progress = *line.Progress
			r.mu.Unlock()
		}
		if line.Result != nil {
			r.result <- line.Result
		}
	}
	close(r.result)
}

// registration tells when the machines that are there from the beginning had their keys.
type registration struct {
	Half, Most, All float64 // seconds from the beginning; 0: not in this run
}

// note takes the number of keys at a time.
func (g *registration) note(keys, machines int, at float64) {
	for _, step := range []struct {
		when  *float64
		share float64
	}{{&g.Half, 0.5}, {&g.Most, 0.9}, {&g.All, 1}} {
		if *step.when == 0 && float64(keys) >= step.share*float64(machines) {
			*step.when = at
		}
	}
}

// follow samples all processes each second until the run's time is over.
func (r *Run) follow(ctx context.Context) error {
	r.runFaults(ctx)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	warm := false
	for time.Since(r.begun) < time.Duration(r.profile.Duration)*time.Second {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		if err := r.sample(now); err != nil {
			return err
		}
		if !warm && now.Sub(r.begun) >= time.Duration(r.profile.Warmup)*time.Second {
			warm = true
			for _, m := range append([]*meter{r.loadMeter, r.selfMeter}, r.meters...) {
				m.warmedUp(now)
			}
		}
		if r.options.Out != nil && int(now.Sub(r.begun).Seconds())%10 == 0 {
			r.mu.Lock()
			g := r.progress
			r.mu.Unlock()
			fmt.Fprintf(r.options.Out, "%4d s: %d machines up, %d registered, %d tasks running, %d starts in the last second, %d jobs open\n", g.Second, g.MachinesUp, r.machineKeys(), g.TasksRunning, g.Starts, g.OpenJobs)
		}
	}
	return nil
}

func (r *Run) machineKeys() int { return len(r.state.ListAll(statekv.MachinePrefix)) }

// sample looks at all processes, and ends the run if it has grown beyond its room.
func (r *Run) sample(now time.Time) error {
	sum := 0.0
	for k, m := range r.meters {
		pid := r.controllers.PID(k)
		if pid == 0 && !r.isDown(k) {
			return fmt.Errorf("a controller failed: %w", r.controllers.UnexpectedExit())
		}
		m.look(pid, now)
		sum += m.resident()
	}
	r.loadMeter.look(r.workers.Process.Pid, now)
	r.selfMeter.look(self(), now)
	sum += r.loadMeter.resident() + r.selfMeter.resident()
	r.sumMost = max(r.sumMost, sum)
	if sum > r.room.MemoryMB {
		return fmt.Errorf("%w: it has grown to %.0f MB of memory, %.0f MB are half of the machine's", ErrDoesNotFit, sum, r.room.MemoryMB)
	}
	keys, bytes := r.state.Size()
	r.keysMost, r.bytesMost = max(r.keysMost, keys), max(r.bytesMost, bytes)
	r.registered.note(r.machineKeys(), r.profile.Machines(), now.Sub(r.begun).Seconds())
	return nil
}

// runFaults has controllers end and come back at their times.
func (r *Run) runFaults(ctx context.Context) {
	next := 0
	for _, f := range r.profile.Faults {
		if f.Kind != ControllerFails {
			continue
		}
		for range f.Count {
			k := next % len(r.nodes)
			next++
			time.AfterFunc(time.Until(r.begun.Add(seconds(f.At))), func() { r.failController(ctx, k, seconds(f.For)) })
		}
	}
}

// failController ends a controller without a word, and starts it again after some time.
func (r *Run) failController(ctx context.Context, k int, back time.Duration) {
	r.setDown(k, true)
	r.controllers.Kill(k)
	select {
	case <-ctx.Done():
		return
	case <-time.After(back):
	}
	if err := r.controllers.Launch(ctx, k, r.options.Program); err == nil {
		r.setDown(k, false)
	}
}

func (r *Run) setDown(k int, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[k] = down
}

func (r *Run) isDown(k int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down[k]
}

// finish has the workers' process sum up, and reads the controllers' status.
func (r *Run) finish(ctx context.Context) (*Result, error) {
	out := r.sumUp()
	for _, n := range r.nodes {
		out.Status = append(out.Status, readStatus(ctx, n.Listen))
	}
	fmt.Fprintln(r.stdin, "stop")
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case load, ok := <-r.result:
		if !ok {
			return nil, errors.New("the process of the workers and users ended by itself; see workers.log under --logs")
		}
		out.Load = *load
		out.addStatus()
		return out, nil
	case <-time.After(20 * time.Second):
		return nil, errors.New("the process of the workers and users does not sum up")
	}
}

// stop ends everything that was started.
func (r *Run) stop() {
	if r.workers != nil {
		_ = r.workers.Process.Kill()
		_ = r.workers.Wait()
	}
	if r.controllers != nil {
		r.controllers.Stop()
	}
	if r.server != nil {
		r.server.Close()
	}
	if r.dir != "" {
		os.RemoveAll(r.dir)
	}
}

// steward is the host that has the steward's role.
func (r *Run) steward() string {
	for _, kv := range r.state.ListAll(statekv.LeaderKey) {
		if h, err := statekv.HolderOf(kv); err == nil {
			return h.Host
		}
	}
	return ""
}

// owned counts the machines of each controller, by the keys.
func (r *Run) owned() map[string]int {
	owners, out := map[string]string{}, map[string]int{}
	for _, kv := range r.state.ListAll(statekv.MachineShardPrefix) {
		if h, err := statekv.HolderOf(kv); err == nil {
			owners[kv.Key[len(statekv.MachineShardPrefix):]] = h.Host
		}
	}
	for _, kv := range r.state.ListAll(statekv.MachinePrefix) {
		if key := shard.ParseMachineRecord(kv); key != nil {
			out[owners[key.Shard]]++
		}
	}
	return out
}
