package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// piece is a task on a machine.
type piece struct {
	task    worker.Task
	runs    time.Duration // still
	since   time.Time     // of the state
	saves   time.Duration
	counted bool // it is on its machine by the protocol's words
	group   string
}

// execute carries out commands that came straight to the worker, as soon as it does not hang,
// and returns its report after them. It is not ok if the machine ended before.
func (u *SimulatedMachine) execute(token, session uint64, orders []worker.Command) (r worker.Heartbeat, executed, ok bool) {
	for u.ctx.Err() == nil {
		u.fleet.mu.Lock()
		if !u.Hung {
			defer u.fleet.mu.Unlock()
			if executed = u.commands(token, session); executed {
				u.CommandsExecuted++
				u.carryOut(token, orders)
			}
			return u.next(), executed, true
		}
		u.fleet.mu.Unlock()
		sleep(u.ctx, 200*time.Millisecond)
	}
	return r, false, false
}

// carryOut executes commands in order. The fleet's mutex is held.
func (u *SimulatedMachine) carryOut(token uint64, orders []worker.Command) {
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
		case o.Op == "kill" && p != nil && p.task.State != worker.TaskExited:
			u.kill(p, o)
		case o.Op == "forget" && p != nil && p.task.State == worker.TaskExited:
			delete(u.pieces, key)
		}
	}
}

func (u *SimulatedMachine) start(key string, o worker.Command) {
	f := u.fleet
	id, index, _ := job.SplitTaskID(o.Task)
	p := &piece{task: worker.Task{ID: o.Task, Attempt: o.Attempt, State: worker.TaskFetching}, since: time.Now(), group: fmt.Sprint(id, " ", o.Attempt)}
	u.pieces[key] = p
	u.tell()
	spec, known := f.history.Spec(id)
	used := spec.GPUs
	for _, other := range u.pieces {
		if other == p || other.task.State == worker.TaskExited {
			continue
		}
		of, _, _ := job.SplitTaskID(other.task.ID)
		s, _ := f.history.Spec(of)
		used += s.GPUs
		if other.task.ID == o.Task {
			u.end(p, worker.CauseOtherAttempt)
			return
		}
	}
	switch {
	case !known:
		u.end(p, worker.CauseUnknownTask)
	case used > u.typ.GPUs:
		u.end(p, worker.CauseNoCapacity)
	default:
		p.runs, p.saves = f.runs[id][0], spec.CheckpointDuration()
		if spec.Shape != job.Gang {
			p.runs += time.Duration(index) * f.runs[id][1]
		}
	}
}

// end ends a task.
func (u *SimulatedMachine) end(p *piece, cause string) {
	if p.counted {
		u.fleet.history.RecordTaskRemoval(p.task.ID, u.name)
		delete(u.fleet.gangs[p.group], p.task.ID)
	}
	p.counted = false
	p.task.State, p.task.Cause, p.since = worker.TaskExited, cause, time.Now()
	u.tell()
}

func (u *SimulatedMachine) kill(p *piece, o worker.Command) {
	grace := time.Duration(0)
	if o.GraceS != nil {
		grace = config.Seconds(*o.GraceS)
	}
	id, _, _ := job.SplitTaskID(p.task.ID)
	spec, _ := u.fleet.history.Spec(id)
	switch {
	case p.task.State == worker.TaskRunning && spec.CanCheckpoint() && grace >= p.saves && p.saves > 0:
		p.task.State, p.since = worker.TaskCheckpointing, time.Now()
		u.tell()
	case p.task.State == worker.TaskCheckpointing && grace > 0:
	default:
		u.end(p, worker.CauseStopped)
	}
}

// PlantTask puts a task on the machine that no controller had started.
func (u *SimulatedMachine) PlantTask(task string, attempt uint64) {
	u.pieces[fmt.Sprint(task, " ", attempt)] = &piece{task: worker.Task{ID: task, Attempt: attempt, State: worker.TaskRunning}, since: time.Now(), runs: time.Hour}
	u.tell()
}

// ListsTask reports whether a task is listed in the machine's reports.
func (u *SimulatedMachine) ListsTask(task string) bool {
	for _, p := range u.pieces {
		if p.task.ID == task {
			return true
		}
	}
	return false
}

// StartCheckpoints has the tasks that can save do so from now on, for so long.
func (u *SimulatedMachine) StartCheckpoints(d time.Duration) {
	for _, p := range u.pieces {
		if p.task.State == worker.TaskRunning && p.saves > 0 {
			p.task.State, p.since, p.saves = worker.TaskCheckpointing, time.Now(), d
			u.tell()
		}
	}
}

// clear ends and forgets all tasks, as when the machine goes or its lease ends.
func (u *SimulatedMachine) clear() {
	for key, p := range u.pieces {
		if p.task.State != worker.TaskExited {
			u.end(p, worker.CauseStopped)
		}
		delete(u.pieces, key)
	}
}

// unended counts the tasks that have not ended.
func (u *SimulatedMachine) unended() (n int) {
	for _, p := range u.pieces {
		if p.task.State != worker.TaskExited {
			n++
		}
	}
	return n
}

// fetchTime is how long the fetch of an image takes.
func (u *SimulatedMachine) fetchTime(image string) time.Duration {
	switch {
	case u.fleet.fetch == 0:
		return time.Second
	case u.images[image]:
		return 0
	}
	return u.fleet.fetch
}

// tickEvery is how finely the workers' time goes.
const tickEvery = 250 * time.Millisecond

// watch moves the tasks on, and ends the lease in time.
func (u *SimulatedMachine) watch() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		var due time.Time
		select {
		case <-u.ctx.Done():
			return
		case due = <-tick.C:
		}
		u.fleet.mu.Lock()
		if u.fleet.late != nil {
			u.fleet.late(time.Since(due))
		}
		if time.Since(u.answered) > u.fleet.settings.Workers.LeaseDuration {
			u.session++
			u.answered = time.Now()
			u.fleet.killed += u.unended()
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
func (u *SimulatedMachine) step(p *piece) {
	f, now := u.fleet, time.Now()
	id, _, _ := job.SplitTaskID(p.task.ID)
	spec, _ := f.history.Spec(id)
	gang := spec.Shape == job.Gang
	to := func(state string) { p.task.State, p.since = state, now; u.tell() }
	switch p.task.State {
	case worker.TaskFetching:
		if now.Sub(p.since) < u.fetchTime(spec.Image) {
			return
		}
		u.images[spec.Image] = true
		if f.history.TaskCompleted(p.task.ID) {
			u.end(p, worker.CauseDone)
			return
		}
		f.history.RecordTaskStart(p.task.ID, u.name, u.typ.Name, u.zone, false)
		p.counted = true
		if f.gangs[p.group] == nil {
			f.gangs[p.group] = map[string]*piece{}
		}
		f.gangs[p.group][p.task.ID] = p
		if gang {
			to(worker.TaskAwaitingGang)
		} else {
			to(worker.TaskRunning)
		}
	case worker.TaskAwaitingGang:
		whole := len(f.gangs[p.group]) == spec.Tasks
		for _, other := range f.gangs[p.group] {
			whole = whole && (other.task.State == worker.TaskAwaitingGang || other.task.State == worker.TaskRunning)
		}
		if whole {
			to(worker.TaskRunning)
		} else if now.Sub(p.since) > f.settings.Workers.GangWaitTimeout {
			u.end(p, worker.CauseGangIncomplete)
		}
	case worker.TaskRunning:
		switch {
		case gang && f.history.TaskCompleted(p.task.ID):
			u.end(p, worker.CauseDone)
		case gang && len(f.gangs[p.group]) < spec.Tasks && now.Sub(p.since) > f.settings.Workers.GangPeerTimeout:
			u.end(p, worker.CauseGangPeerLost)
		default:
			if p.runs -= tickEvery; p.runs > 0 || spec.Shape == job.Service {
				return
			}
			if gang {
				for other := range f.gangs[p.group] {
					f.history.RecordTaskCompletion(other)
				}
			}
			f.history.RecordTaskCompletion(p.task.ID)
			u.end(p, worker.CauseDone)
			if f.done != nil {
				go f.done(p.task.ID)
			}
		}
	case worker.TaskCheckpointing:
		if now.Sub(p.since) > p.saves {
			p.task.Checkpointed = true
			u.end(p, worker.CauseStopped)
		}
	}
}
