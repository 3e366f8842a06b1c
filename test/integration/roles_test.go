package integration

import (
	"net/http"
	"sync"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// leaders are those that a story may have end: a job's placer, the owner of the machine
// that its first task is on, the steward, or all controllers.
var leaders = []string{"placer", "owner", "steward", "all"}

// never is for one that does not come back before the story is over.
const never = -1

// backs are when they are back: at once, after a fraction of a second, after more than a
// worker's lease, never.
var backs = []time.Duration{0, 400 * time.Millisecond, 40 * time.Second, never}

// backsOf are those that a story tries for a role: somebody has to come back from the end
// of all.
func backsOf(role string) []time.Duration {
	if role == "all" {
		return backs[:3]
	}
	return backs
}

// leading lists the hosts that have a role for a job.
func (w *world) leading(role, id string) []string {
	switch role {
	case "placer":
		return []string{w.placerOf(id)}
	case "owner":
		return []string{w.ownerOf(w.history.MachineOfFirstTask(id))}
	case "steward":
		return []string{w.holder(statekv.LeaderKey)}
	}
	return w.hosts
}

// ownerOf is the host that owns a machine by its key, or "".
func (w *world) ownerOf(machine string) string {
	for _, kv := range w.state.ListAll(statekv.MachinePrefix + machine) {
		if key := shard.ParseMachineRecord(kv); key != nil && kv.Key == statekv.MachinePrefix+machine {
			return w.holder(statekv.MachineShardPrefix + key.Shard)
		}
	}
	return ""
}

// end has controllers end, and each begin again so much later. What it returns brings back
// those that are away for good.
func (w *world) end(hosts []string, back time.Duration) (bring func()) {
	for _, h := range hosts {
		w.crash(h)
	}
	start := func() {
		for _, h := range hosts {
			w.start(h)
		}
	}
	if back == never {
		return start
	}
	go func() {
		time.Sleep(back)
		start()
	}()
	return func() {}
}

// on counts the tasks of jobs that are on machines.
func (w *world) on(jobs []job.Spec) (n int) {
	for _, s := range jobs {
		n += w.history.TasksOnMachines(s.ID)
	}
	return n
}

// lives tells how often controllers' lives have begun: it changes with each.
func (w *world) lives() (sum uint64) {
	for _, h := range w.hosts {
		sum += w.rev(statekv.SessionPrefix + h)
	}
	return sum
}

// unitOf calls do for the machine of that name, with the fleet held still.
func (w *world) unitOf(machine string, do func(u *emulator.SimulatedMachine)) {
	w.fleet.ForEachMachine(func(name string, u *emulator.SimulatedMachine) {
		if name == machine {
			do(u)
		}
	})
}

// ask1 asks one controller once about a job, and returns whether it was answered.
func (w *world) ask1(host, id string) bool {
	asked := w.history.StampRequest()
	code, status := w.call(host, http.MethodGet, "/submissions/"+id, nil, 2*time.Second)
	w.history.RecordResponse("query", id, asked, code, status)
	return code == 200 || code == 404
}

// resubmit submits a job at one controller once more, and returns whether it was answered.
func (w *world) resubmit(host string, spec job.Spec) bool {
	asked := w.history.StampRequest()
	code, status := w.call(host, http.MethodPost, "/submissions", wireSpec(spec), 5*time.Second)
	w.history.RecordResponse("submit", spec.ID, asked, code, status)
	return code == 200 || code == 201
}

// looks counts what was answered to close looks, by node.
type looks struct {
	mu       sync.Mutex
	answered map[string]int
}

func (l *looks) add(host string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answered == nil {
		l.answered = map[string]int{}
	}
	if answered {
		l.answered[host]++
	}
}

func (l *looks) at(host string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered[host]
}

// lookClosely has users ask all controllers about a job every few milliseconds for a while,
// and submit it again, whatever has just been told. It returns when all are answered.
func (w *world) lookClosely(spec job.Spec, l *looks) {
	var users sync.WaitGroup
	for _, h := range w.hosts {
		for _, every := range []time.Duration{3 * time.Millisecond, 7 * time.Millisecond} {
			users.Go(func() {
				for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(every) {
					l.add(h, w.ask1(h, spec.ID))
				}
			})
		}
		users.Go(func() {
			for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
				l.add(h, w.resubmit(h, spec))
			}
		})
	}
	users.Wait()
}
