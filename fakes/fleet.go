package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"robinstack/cloud"
	"robinstack/config"
	"robinstack/job"
	"robinstack/worker"
)

// Fleet is a cloud whose machines have workers that keep leases, by the published
// protocols, in memory and in fake time. What happens on them goes to a history.
type Fleet struct {
	ctx      context.Context
	settings *config.Settings
	types    []cloud.MachineType
	history  *History
	ask      func(host string, r *http.Request) (*http.Response, error) // a controller

	mu       sync.Mutex
	rng      *rand.Rand
	units    map[string]*Unit
	requests map[string][]string
	gangs    map[string]map[string]*piece // tasks on machines, by job and attempt
	runs     map[string][2]time.Duration  // how long the tasks of a job run
	most     int
	count    int
	deleted  int
	broken   map[string]bool // gangs that lost a task with a returned machine
	done     func(task string)
}

// OnDone has f called, in a goroutine of its own, at the moment at which a task completes.
func (f *Fleet) OnDone(do func(task string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done = do
}

// Fits reports whether so many tasks of a job have room now on machines that nothing keeps
// from serving.
func (f *Fleet) Fits(spec job.Spec, tasks int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	room := map[string]int{} // by zone
	for _, u := range f.units {
		if u.answered.IsZero() || u.Hung || u.Deaf || u.Lost || u.Mute || u.Hold > 0 || u.HoldAnswers > 0 || u.Cut != "" || u.Only != "" || !u.died.IsZero() || !spec.Allows(u.typ.Name, u.zone, false) {
			continue
		}
		free := job.Capacity(u.typ)
		for _, p := range u.pieces {
			if id, _, _ := job.SplitTaskID(p.task.ID); p.task.State != worker.Ended {
				if s, known := f.history.Spec(id); known {
					free = free.Add(s.Need, -1)
				}
			}
		}
		room[u.zone] += spec.Need.Count(free)
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

// Deleted counts the tasks that were on machines when those were returned. A gang that
// loses one of its tasks loses all, so all of its attempt count, once.
func (f *Fleet) Deleted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deleted
}

// Unit is a machine with its worker. The fleet's mutex guards it.
type Unit struct {
	lease
	fleet   *Fleet
	name    string
	typ     cloud.MachineType
	zone    string
	pieces  map[string]*piece
	ctx     context.Context
	stop    context.CancelFunc
	changed chan struct{}

	Hung        bool            // it does nothing, and may go on within its lease
	Deaf        bool            // its reports arrive; answers and direct commands to it are lost
	Lost        bool            // direct commands to it are lost; answers to its reports arrive
	Mute        bool            // its reports reach nobody; direct commands to it are carried out
	Hold        time.Duration   // direct commands and their answers are held up for so long
	HoldAnswers time.Duration   // answers to its reports are held up for so long
	Cut         string          // the only controller that does not reach it directly
	Only        string          // the only controller that it reaches, and that reaches it
	died        time.Time       // it stopped with all that was on it
	Carried     int             // direct commands that were carried out
	late        []worker.Report // reports that came, for copies
	kept        *worker.Report  // one that is kept for later
}

// piece is a task on a machine.
type piece struct {
	task    worker.Task
	runs    time.Duration // still
	since   time.Time     // of the state
	saves   time.Duration
	counted bool // it is on its machine by the protocol's words
	group   string
}

// NewFleet returns a fleet without machines, whose workers run until ctx ends. ask carries
// a worker's report to a controller.
func NewFleet(ctx context.Context, settings *config.Settings, types []cloud.MachineType, most int, seed uint64, h *History, ask func(host string, r *http.Request) (*http.Response, error)) *Fleet {
	return &Fleet{ctx: ctx, settings: settings, types: types, most: most, history: h, ask: ask, rng: rand.New(rand.NewPCG(seed, 2)),
		units: map[string]*Unit{}, requests: map[string][]string{}, gangs: map[string]map[string]*piece{}, broken: map[string]bool{}, runs: map[string][2]time.Duration{}}
}

// Runs says how long the first task of a job runs, and by how much each of the others runs
// longer than the one before it.
func (f *Fleet) Runs(id string, d, apart time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id] = [2]time.Duration{d, apart}
}

// Each calls do for every machine with the fleet held still, in the order of their names.
func (f *Fleet) Each(do func(name string, u *Unit)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(f.units)) {
		do(name, f.units[name])
	}
}

// Kill has a machine stop, with all that is on it. It is listed as running for a while.
func (u *Unit) Kill() {
	u.clear()
	u.stop()
	u.died = time.Now()
}

// Zone is the machine's.
func (u *Unit) Zone() string { return u.zone }

// Offer has the cloud offer other types from now on.
func (f *Fleet) Offer(types []cloud.MachineType) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.types = types
}

// MachineTypes, Rent, Delete and Machines are the cloud's.
func (f *Fleet) MachineTypes(context.Context) ([]cloud.MachineType, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.types, nil
}

func (f *Fleet) Rent(_ context.Context, r cloud.Rental) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if names, known := f.requests[r.Request]; known {
		return names, nil
	}
	at := slices.IndexFunc(f.types, func(t cloud.MachineType) bool { return t.Name == r.Type })
	if at < 0 {
		return nil, errors.New("malformed")
	}
	var names []string
	for range min(r.Count, f.most-len(f.units)) {
		f.count++
		u := &Unit{fleet: f, name: fmt.Sprintf("vm-%06d", f.count), typ: f.types[at], zone: r.Zone, lease: lease{session: 1}, pieces: map[string]*piece{}, changed: make(chan struct{}, 1)}
		u.ctx, u.stop = context.WithCancel(f.ctx)
		f.units[u.name] = u
		names = append(names, u.name)
		go u.run()
	}
	if names == nil {
		return nil, cloud.ErrNoCapacity
	}
	f.requests[r.Request] = names
	return names, nil
}

func (f *Fleet) isGang(id string) bool {
	spec, _ := f.history.Spec(id)
	return spec.Shape == job.Gang
}

func (f *Fleet) Delete(_ context.Context, names []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		if u := f.units[name]; u != nil {
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
			delete(f.units, name)
		}
	}
	return nil
}

func (f *Fleet) Machines(context.Context) ([]cloud.Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []cloud.Machine
	for _, name := range slices.Sorted(maps.Keys(f.units)) {
		u := f.units[name]
		status := "running"
		if u.answered.IsZero() {
			status = "booting"
		} else if !u.died.IsZero() && time.Since(u.died) > 30*time.Second {
			status = "failed"
		}
		out = append(out, cloud.Machine{Name: name, Address: name, Type: u.typ.Name, Zone: u.zone, Status: status, AgeS: 60})
	}
	return out, nil
}

func (u *Unit) tell() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// run is the worker.
func (u *Unit) run() {
	f := u.fleet
	if !sleep(u.ctx, u.typ.Boot()) {
		return
	}
	f.mu.Lock()
	u.answered = time.Now()
	hosts := f.settings.Hosts()
	at := f.rng.IntN(len(hosts))
	f.mu.Unlock()
	go u.watch()
	for u.ctx.Err() == nil {
		home := u.report(hosts[at])
		f.mu.Lock()
		pause := time.Duration(float64(f.settings.Workers.Report) * (0.75 + f.rng.Float64()/2))
		f.mu.Unlock()
		next := slices.Index(hosts, home)
		switch {
		case home == "stay":
		case next >= 0 && next != at:
			at, pause = next, 50*time.Millisecond
		default:
			at, pause = (at+1)%len(hosts), time.Second
		}
		least := time.Now().Add(min(pause, 500*time.Millisecond))
		timer := time.NewTimer(pause)
		select {
		case <-u.ctx.Done():
		case <-timer.C:
		case <-u.changed:
			sleep(u.ctx, time.Until(least))
		}
		timer.Stop()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// answerWait is how long a worker waits for the answer to its report.
const answerWait = 4 * time.Second

// report sends one report and returns where to go next: "stay", a host, or nothing.
func (u *Unit) report(host string) string {
	f := u.fleet
	f.mu.Lock()
	if u.Hung {
		f.mu.Unlock()
		return "stay"
	}
	sent, r := time.Now(), u.next()
	if u.late = append(u.late, r); len(u.late) > 20 {
		u.late = u.late[1:]
	}
	mute := u.Mute || u.Only != "" && u.Only != host
	f.mu.Unlock()
	if mute {
		sleep(u.ctx, answerWait)
		return ""
	}
	code, body := u.send(host, &r)
	f.mu.Lock()
	defer f.mu.Unlock()
	if hold := u.HoldAnswers; hold > 0 {
		f.mu.Unlock()
		sleep(u.ctx, hold)
		f.mu.Lock()
	}
	if u.Deaf || u.Hung || time.Since(sent) > answerWait {
		return ""
	}
	home, answer := u.take(r.Session, sent, code, body)
	if answer != nil {
		u.carryOut(answer.Token, answer.Orders)
	}
	return home
}

func (u *Unit) send(host string, r *worker.Report) (code int, body []byte) {
	raw, err := json.Marshal(r)
	if err != nil {
		return 0, nil
	}
	type answer struct {
		code int
		body []byte
	}
	done := make(chan answer, 1)
	go func() {
		req := httptest.NewRequest(http.MethodPost, "/v1/report", bytes.NewReader(raw))
		req.Header.Set("Content-Type", "application/json")
		resp, err := u.fleet.ask(host, req)
		if err != nil {
			done <- answer{}
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		done <- answer{resp.StatusCode, b}
	}()
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case a := <-done:
		return a.code, a.body
	case <-timer.C:
	case <-u.ctx.Done():
	}
	return 0, nil
}

// Again sends a copy of an earlier report, the oldest that is kept, to a controller. Its
// answer reaches nobody.
func (u *Unit) Again(host string) {
	if len(u.late) > 0 {
		r := u.late[0]
		go u.send(host, &r)
	}
}

// Keep keeps the latest report for later, if there was one.
func (u *Unit) Keep() {
	if len(u.late) > 0 {
		r := u.late[len(u.late)-1]
		u.kept = &r
	}
}

// SendKept sends the report that was kept to a controller, and returns what it was
// answered with, which reaches nobody; 0: nothing, or none was kept. It is not to be called
// from Each.
func (u *Unit) SendKept(host string) (code int) {
	u.fleet.mu.Lock()
	r := u.kept
	u.fleet.mu.Unlock()
	if r == nil {
		return 0
	}
	code, _ = u.send(host, r)
	return code
}

// Session is the worker's.
func (u *Unit) Session() uint64 { return u.session }

// Kept reports whether one of its reports is kept.
func (u *Unit) Kept() bool { return u.kept != nil }

// Lists reports whether the kept report lists a task that has not ended.
func (u *Unit) Lists(task string) bool {
	return u.kept != nil && slices.ContainsFunc(u.kept.Tasks, func(t worker.Task) bool { return t.ID == task && t.State != worker.Ended })
}

// next is the worker's next report. The fleet's mutex is held.
func (u *Unit) next() worker.Report {
	u.seq++
	r := worker.Report{Machine: u.name, Address: u.name, Type: u.typ.Name, Zone: u.zone, Session: u.session, Seq: u.seq, Token: u.token, Tasks: []worker.Task{}}
	for _, key := range slices.Sorted(maps.Keys(u.pieces)) {
		r.Tasks = append(r.Tasks, u.pieces[key].task)
	}
	return r
}

// Commander is how a controller sends commands straight to workers.
type Commander struct {
	fleet *Fleet
	host  string
}

// Commander returns the commander of a controller.
func (f *Fleet) Commander(host string) Commander { return Commander{f, host} }

// Command carries commands to a machine. What is held up is carried out later, if token and
// session still match.
func (c Commander) Command(ctx context.Context, address string, token, session uint64, orders []worker.Order) (*worker.Report, bool, error) {
	f := c.fleet
	f.mu.Lock()
	u := f.units[address]
	if u == nil || u.Deaf || u.Lost || u.Cut == c.host || u.Only != "" && u.Only != c.host || u.answered.IsZero() || !u.died.IsZero() {
		f.mu.Unlock()
		sleep(ctx, patience)
		return nil, false, errors.New("no answer")
	}
	hold := u.Hold
	f.mu.Unlock()
	type outcome struct {
		r  worker.Report
		ok bool
	}
	done := make(chan outcome, 1)
	go func() {
		if hold > 0 && !sleep(u.ctx, hold) {
			return
		}
		for u.ctx.Err() == nil {
			f.mu.Lock()
			if !u.Hung {
				ok := u.commands(token, session)
				if ok {
					u.Carried++
					u.carryOut(token, orders)
				}
				done <- outcome{u.next(), ok}
				f.mu.Unlock()
				return
			}
			f.mu.Unlock()
			sleep(u.ctx, 200*time.Millisecond)
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

// carryOut executes commands in order. The fleet's mutex is held.
func (u *Unit) carryOut(token uint64, orders []worker.Order) {
	if token > u.token {
		u.token = token
		u.tell()
	}
	for _, o := range orders {
		key := fmt.Sprint(o.Task, " ", o.Attempt)
		p := u.pieces[key]
		switch {
		case o.Op == "run" && p == nil:
			u.start(key, o)
		case o.Op == "kill" && p != nil && p.task.State != worker.Ended:
			u.kill(p, o)
		case o.Op == "forget" && p != nil && p.task.State == worker.Ended:
			delete(u.pieces, key)
		}
	}
}

func (u *Unit) start(key string, o worker.Order) {
	f := u.fleet
	id, index, _ := job.SplitTaskID(o.Task)
	p := &piece{task: worker.Task{ID: o.Task, Attempt: o.Attempt, State: worker.Fetching}, since: time.Now(), group: fmt.Sprint(id, " ", o.Attempt)}
	u.pieces[key] = p
	u.tell()
	spec, known := f.history.Spec(id)
	used := spec.GPUs
	for _, other := range u.pieces {
		if other == p || other.task.State == worker.Ended {
			continue
		}
		of, _, _ := job.SplitTaskID(other.task.ID)
		s, _ := f.history.Spec(of)
		used += s.GPUs
		if other.task.ID == o.Task {
			u.end(p, worker.Busy)
			return
		}
	}
	switch {
	case !known:
		u.end(p, worker.NoSuch)
	case used > u.typ.GPUs:
		u.end(p, worker.NoRoom)
	default:
		p.runs, p.saves = f.runs[id][0], spec.Save()
		if spec.Shape != job.Gang {
			p.runs += time.Duration(index) * f.runs[id][1]
		}
	}
}

// end ends a task.
func (u *Unit) end(p *piece, cause string) {
	if p.counted {
		u.fleet.history.Leave(p.task.ID, u.name)
		delete(u.fleet.gangs[p.group], p.task.ID)
	}
	p.counted = false
	p.task.State, p.task.Cause, p.since = worker.Ended, cause, time.Now()
	u.tell()
}

func (u *Unit) kill(p *piece, o worker.Order) {
	grace := time.Duration(0)
	if o.GraceS != nil {
		grace = config.Seconds(*o.GraceS)
	}
	id, _, _ := job.SplitTaskID(p.task.ID)
	spec, _ := u.fleet.history.Spec(id)
	switch {
	case p.task.State == worker.Running && spec.Saves() && grace >= p.saves && p.saves > 0:
		p.task.State, p.since = worker.Saving, time.Now()
		u.tell()
	case p.task.State == worker.Saving && grace > 0:
	default:
		u.end(p, worker.Stopped)
	}
}

// Plant puts a task on the machine that no controller had started.
func (u *Unit) Plant(task string, attempt uint64) {
	u.pieces[fmt.Sprint(task, " ", attempt)] = &piece{task: worker.Task{ID: task, Attempt: attempt, State: worker.Running}, since: time.Now(), runs: time.Hour}
	u.tell()
}

// Has reports whether a task is listed in the machine's reports.
func (u *Unit) Has(task string) bool {
	for _, p := range u.pieces {
		if p.task.ID == task {
			return true
		}
	}
	return false
}

// Save has the tasks that can save do so from now on, for so long.
func (u *Unit) Save(d time.Duration) {
	for _, p := range u.pieces {
		if p.task.State == worker.Running && p.saves > 0 {
			p.task.State, p.since, p.saves = worker.Saving, time.Now(), d
			u.tell()
		}
	}
}

// clear ends and forgets all tasks, as when the machine goes or its lease ends.
func (u *Unit) clear() {
	for key, p := range u.pieces {
		if p.task.State != worker.Ended {
			u.end(p, worker.Stopped)
		}
		delete(u.pieces, key)
	}
}

// tickEvery is how finely the workers' time goes.
const tickEvery = 250 * time.Millisecond

// watch moves the tasks on, and ends the lease in time.
func (u *Unit) watch() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-u.ctx.Done():
			return
		case <-tick.C:
		}
		u.fleet.mu.Lock()
		if time.Since(u.answered) > u.fleet.settings.Workers.Lease {
			u.session++
			u.answered = time.Now()
			u.clear()
			u.tell()
		}
		if !u.Hung {
			for _, key := range slices.Sorted(maps.Keys(u.pieces)) {
				u.step(u.pieces[key])
			}
		}
		u.fleet.mu.Unlock()
	}
}

// step moves one task on.
func (u *Unit) step(p *piece) {
	f, now := u.fleet, time.Now()
	id, _, _ := job.SplitTaskID(p.task.ID)
	spec, _ := f.history.Spec(id)
	gang := spec.Shape == job.Gang
	to := func(state string) { p.task.State, p.since = state, now; u.tell() }
	switch p.task.State {
	case worker.Fetching:
		if now.Sub(p.since) < time.Second {
			return
		}
		if f.history.Completed(p.task.ID) {
			u.end(p, worker.Done)
			return
		}
		f.history.Start(p.task.ID, u.name, u.typ.Name, u.zone, false)
		p.counted = true
		if f.gangs[p.group] == nil {
			f.gangs[p.group] = map[string]*piece{}
		}
		f.gangs[p.group][p.task.ID] = p
		if gang {
			to(worker.Gathering)
		} else {
			to(worker.Running)
		}
	case worker.Gathering:
		whole := len(f.gangs[p.group]) == spec.Tasks
		for _, other := range f.gangs[p.group] {
			whole = whole && (other.task.State == worker.Gathering || other.task.State == worker.Running)
		}
		if whole {
			to(worker.Running)
		} else if now.Sub(p.since) > f.settings.Workers.GangWait {
			u.end(p, worker.Incomplete)
		}
	case worker.Running:
		switch {
		case gang && f.history.Completed(p.task.ID):
			u.end(p, worker.Done)
		case gang && len(f.gangs[p.group]) < spec.Tasks && now.Sub(p.since) > f.settings.Workers.GangPeer:
			u.end(p, worker.PeersGone)
		default:
			if p.runs -= tickEvery; p.runs > 0 || spec.Shape == job.Service {
				return
			}
			if gang {
				for other := range f.gangs[p.group] {
					f.history.Complete(other)
				}
			}
			f.history.Complete(p.task.ID)
			u.end(p, worker.Done)
			if f.done != nil {
				go f.done(p.task.ID)
			}
		}
	case worker.Saving:
		if now.Sub(p.since) > p.saves {
			p.task.Saved = true
			u.end(p, worker.Stopped)
		}
	}
}
