package emulator

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/worker"
)

// SimulatedMachine is a machine with its worker. The fleet's mutex guards it.
type SimulatedMachine struct {
	lease
	fleet   *SimulatedCloud
	name    string
	typ     cloud.MachineType
	zone    string
	pieces  map[string]*piece
	images  map[string]bool // that it has
	since   time.Time       // when it was rented
	boot    time.Duration   // until it is up
	link    transport
	ctx     context.Context
	stop    context.CancelFunc
	changed chan struct{}

	address  string
	listener net.Listener // of its address, on a loopback network

	Hung             bool               // it does nothing, and may go on within its lease
	InboundLost      bool               // its reports arrive; answers and direct commands to it are lost
	CommandsLost     bool               // direct commands to it are lost; answers to its reports arrive
	HeartbeatsLost   bool               // its reports reach nobody; direct commands to it are carried out
	CommandDelay     time.Duration      // direct commands and their answers are held up for so long
	AnswerDelay      time.Duration      // answers to its reports are held up for so long
	UnreachableFrom  string             // the only controller that does not reach it directly
	OnlyController   string             // the only controller that it reaches, and that reaches it
	died             time.Time          // it stopped with all that was on it
	CommandsExecuted int                // direct commands that were carried out
	late             []worker.Heartbeat // reports that came, for copies
	kept             *worker.Heartbeat  // one that is kept for later
}

// Kill has a machine stop, with all that is on it. It is listed as running for a while.
func (u *SimulatedMachine) Kill() {
	u.clear()
	u.stop()
	u.died = time.Now()
}

// Zone is the machine's.
func (u *SimulatedMachine) Zone() string { return u.zone }

// age is how old a machine is said to be, in seconds.
func (f *SimulatedCloud) age(u *SimulatedMachine) float64 {
	if f.loopback == nil {
		return 60
	}
	return time.Since(u.since).Seconds()
}

func (u *SimulatedMachine) tell() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// run is the worker.
func (u *SimulatedMachine) run() {
	f := u.fleet
	if !sleep(u.ctx, u.boot) {
		if u.listener != nil {
			u.listener.Close()
		}
		return
	}
	if u.listener != nil {
		go u.serve()
	}
	defer u.link.close()
	f.mu.Lock()
	u.answered = time.Now()
	hosts := f.settings.Hosts()
	at := f.rng.IntN(len(hosts))
	f.mu.Unlock()
	go u.watch()
	for u.ctx.Err() == nil {
		home := u.report(hosts[at])
		f.mu.Lock()
		pause := time.Duration(float64(f.settings.Workers.HeartbeatInterval) * (0.75 + f.rng.Float64()/2))
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
func (u *SimulatedMachine) report(host string) string {
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
	mute := u.HeartbeatsLost || u.OnlyController != "" && u.OnlyController != host
	f.mu.Unlock()
	if mute {
		sleep(u.ctx, answerWait)
		return ""
	}
	code, body := u.send(host, &r)
	f.mu.Lock()
	defer f.mu.Unlock()
	if hold := u.AnswerDelay; hold > 0 {
		f.mu.Unlock()
		sleep(u.ctx, hold)
		f.mu.Lock()
	}
	if u.InboundLost || u.Hung || time.Since(sent) > answerWait {
		return ""
	}
	home, answer := u.take(r.WorkerEpoch, sent, code, body)
	if answer != nil {
		u.carryOut(answer.FencingToken, answer.Commands)
	}
	return home
}

func (u *SimulatedMachine) send(host string, r *worker.Heartbeat) (code int, body []byte) {
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
		code, b, err := u.link.report(host, raw)
		if err != nil {
			code, b = 0, nil
		}
		done <- answer{code, b}
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

// SendDuplicateHeartbeat sends a copy of an earlier report, the oldest that is kept, to a controller. Its
// answer reaches nobody.
func (u *SimulatedMachine) SendDuplicateHeartbeat(host string) {
	if len(u.late) > 0 {
		r := u.late[0]
		go u.send(host, &r)
	}
}

// CaptureHeartbeat keeps the latest report for later, if there was one.
func (u *SimulatedMachine) CaptureHeartbeat() {
	if len(u.late) > 0 {
		r := u.late[len(u.late)-1]
		u.kept = &r
	}
}

// SendCapturedHeartbeat sends the report that was kept to a controller, and returns what it was
// answered with, which reaches nobody; 0: nothing, or none was kept. It is not to be called
// from Each.
func (u *SimulatedMachine) SendCapturedHeartbeat(host string) (code int) {
	u.fleet.mu.Lock()
	r := u.kept
	u.fleet.mu.Unlock()
	if r == nil {
		return 0
	}
	code, _ = u.send(host, r)
	return code
}

// WorkerEpoch is the worker's.
func (u *SimulatedMachine) WorkerEpoch() uint64 { return u.session }

// HasCapturedHeartbeat reports whether one of its reports is kept.
func (u *SimulatedMachine) HasCapturedHeartbeat() bool { return u.kept != nil }

// CapturedHeartbeatLists reports whether the kept report lists a task that has not ended.
func (u *SimulatedMachine) CapturedHeartbeatLists(task string) bool {
	return u.kept != nil && slices.ContainsFunc(u.kept.Tasks, func(t worker.Task) bool { return t.ID == task && t.State != worker.TaskExited })
}

// next is the worker's next report. The fleet's mutex is held.
func (u *SimulatedMachine) next() worker.Heartbeat {
	u.seq++
	r := worker.Heartbeat{Machine: u.name, Address: u.address, Type: u.typ.Name, Zone: u.zone, WorkerEpoch: u.session, Sequence: u.seq, FencingToken: u.token, Tasks: []worker.Task{}}
	for _, key := range slices.Sorted(maps.Keys(u.pieces)) {
		r.Tasks = append(r.Tasks, u.pieces[key].task)
	}
	return r
}

// IsUp reports whether the worker is up. The fleet is to be held still.
func (u *SimulatedMachine) IsUp() bool { return !u.answered.IsZero() && u.died.IsZero() }
