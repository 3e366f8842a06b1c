package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/worker"
)

// LocalMachine is a machine of a farm with its worker.
type LocalMachine struct {
	farm    *LocalCloud
	name    string
	address string
	typ     cloud.MachineType
	zone    string
	spot    bool
	since   time.Time
	ctx     context.Context
	stop    context.CancelFunc
	changed chan struct{}

	mu sync.Mutex
	lease
	tasks map[string]*run
}

func (b *LocalMachine) tell() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// run is the worker: it reports to one controller at a time and takes commands.
func (b *LocalMachine) run(ln net.Listener) {
	select {
	case <-b.ctx.Done():
		ln.Close()
		return
	case <-time.After(b.typ.ProvisioningTime()):
	}
	server := &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	b.mu.Lock()
	b.answered = time.Now()
	b.mu.Unlock()
	go b.watchLease()
	client := &http.Client{Timeout: 4 * time.Second}
	hosts := slices.Sorted(maps.Keys(b.farm.controllers))
	at := rand.IntN(len(hosts))
	for b.ctx.Err() == nil {
		home := b.reportTo(client, b.farm.controllers[hosts[at]])
		next := slices.Index(hosts, home)
		var pause time.Duration
		switch {
		case home == "stay":
			pause = time.Duration(float64(b.farm.report) * (0.75 + rand.Float64()/2))
		case next >= 0 && next != at:
			at, pause = next, 50*time.Millisecond
		default:
			at, pause = (at+1)%len(hosts), time.Second
		}
		least := time.After(min(pause, 500*time.Millisecond))
		select {
		case <-b.ctx.Done():
		case <-time.After(pause):
		case <-b.changed:
			<-least
		}
	}
}

// reportTo sends one report and returns where to go next: "stay", a host, or nothing.
func (b *LocalMachine) reportTo(client *http.Client, address string) (home string) {
	sent := time.Now()
	report := b.report()
	raw, err := json.Marshal(report)
	if err != nil {
		return ""
	}
	resp, err := client.Post("http://"+address+"/v1/report", "application/json", bytes.NewReader(raw))
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	home, answer := b.take(report.WorkerEpoch, sent, resp.StatusCode, body)
	if answer != nil {
		b.token = answer.FencingToken
		b.carryOut(answer.Commands)
	}
	return home
}

func (b *LocalMachine) report() worker.Heartbeat {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	r := worker.Heartbeat{Machine: b.name, Address: b.address, Type: b.typ.Name, Zone: b.zone, Spot: b.spot, WorkerEpoch: b.session, Sequence: b.seq, FencingToken: b.token, Tasks: []worker.Task{}}
	for _, key := range slices.Sorted(maps.Keys(b.tasks)) {
		t := b.tasks[key]
		r.Tasks = append(r.Tasks, worker.Task{ID: t.id, Attempt: t.attempt, State: t.state, Cause: t.cause})
	}
	return r
}

// serve answers commands that come straight from controllers.
func (b *LocalMachine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/do" {
		var in struct {
			Token   *uint64          `json:"baton"`
			Session *uint64          `json:"tenure"`
			Orders  []worker.Command `json:"orders"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || in.Token == nil || in.Session == nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		b.mu.Lock()
		ok := b.commands(*in.Token, *in.Session)
		if ok {
			if b.token < *in.Token {
				b.tell()
			}
			b.token = *in.Token
			b.carryOut(in.Orders)
		}
		b.mu.Unlock()
		if !ok {
			answer(w, http.StatusConflict, b.report())
			return
		}
	}
	answer(w, http.StatusOK, b.report())
}

// carryOut executes commands in order. The mutex is held.
func (b *LocalMachine) carryOut(orders []worker.Command) {
	for _, o := range orders {
		key := fmt.Sprint(o.Task, " ", o.Attempt)
		t := b.tasks[key]
		switch {
		case o.Op == "run" && t == nil:
			b.start(key, o)
		case o.Op == "kill" && t != nil && !t.stopped:
			t.stopped = true
			close(t.stop)
		case o.Op == "forget" && t != nil && t.state == worker.TaskExited:
			delete(b.tasks, key)
		}
	}
	b.tell()
}

func (b *LocalMachine) start(key string, o worker.Command) {
	t := &run{box: b, id: o.Task, attempt: o.Attempt, state: worker.TaskFetching, stop: make(chan struct{})}
	id, _, _ := strings.Cut(o.Task, "/")
	spec, err := b.farm.spec(id)
	free := b.typ.GPUs
	for _, other := range b.tasks {
		if other.state != worker.TaskExited {
			free -= other.spec.GPUs
			if other.id == o.Task {
				t.state, t.cause = worker.TaskExited, worker.CauseOtherAttempt
			}
		}
	}
	switch {
	case t.state == worker.TaskExited:
	case err != nil:
		t.state, t.cause = worker.TaskExited, worker.CauseUnknownTask
	case spec.GPUs > free:
		t.state, t.cause = worker.TaskExited, worker.CauseNoCapacity
	case b.farm.TaskCompleted(o.Task):
		t.state, t.cause = worker.TaskExited, worker.CauseDone
	}
	t.spec = spec
	b.tasks[key] = t
	if t.state != worker.TaskExited {
		go t.play()
	}
}

// clear ends all tasks, as when the machine goes or its lease ends.
func (b *LocalMachine) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, t := range b.tasks {
		if !t.stopped {
			t.stopped = true
			close(t.stop)
		}
		b.farm.ended(t, false)
		delete(b.tasks, key)
	}
}

func (b *LocalMachine) watchLease() {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-tick.C:
		}
		b.mu.Lock()
		over := time.Since(b.answered) > b.farm.lease
		if over {
			b.session++
			b.answered = time.Now()
		}
		b.mu.Unlock()
		if over {
			b.clear()
		}
	}
}
