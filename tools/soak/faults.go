package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"robinstack/emulator"
)

// injection is a fault that has begun.
type injection struct {
	end      func()
	affected func() int // what the fault has affected so far: processes, connections, requests, machines
}

// faultKind is a kind of fault, with the bounds of its duration and its relative frequency.
type faultKind struct {
	name           string
	minFor, maxFor time.Duration
	weight         int
	inject         func(c *cluster, f *Fault) injection
}

// faultKinds lists all kinds of faults. A seed selects kinds by their position, so a changed order
// changes the schedules of all seeds.
var faultKinds = []faultKind{
	{"controller restarts within a second", time.Second, time.Second, 3, restartController},
	{"controller is down", time.Second, 12 * time.Second, 3, killController},
	{"all controllers restart", time.Second, 4 * time.Second, 1, killAllControllers},
	{"leaders are killed in a row", 6 * time.Second, 9 * time.Second, 2, killLeaders},
	{"controller is paused", 500 * time.Millisecond, 26 * time.Second, 4, pauseController},
	{"all controllers are paused", 500 * time.Millisecond, 6 * time.Second, 1, pauseAllControllers},
	{"controller is cut from the state service", time.Second, 20 * time.Second, 3, cutState},
	{"state service refuses a controller", time.Second, 20 * time.Second, 2, refuseState},
	{"state service is down", time.Second, 15 * time.Second, 2, stopState},
	{"state service is slow", 2 * time.Second, 15 * time.Second, 2, slowState},
	{"transactions are carried out late", 3 * time.Second, 15 * time.Second, 3, delayTransactions},
	{"answers to transactions are lost", 3 * time.Second, 15 * time.Second, 3, loseAnswers},
	{"controller is cut from the others", time.Second, 20 * time.Second, 3, cutPeers},
	{"controller is cut from state service and others", 2 * time.Second, 22 * time.Second, 2, cutStateAndPeers},
	{"two controllers are cut apart", time.Second, 20 * time.Second, 2, cutPair},
	{"workers are cut from a controller", time.Second, 20 * time.Second, 3, cutWorkers},
	{"users are cut from a controller", time.Second, 10 * time.Second, 1, cutUsers},
	{"cloud is cut off", time.Second, 15 * time.Second, 1, cutCloud},
	{"links between controllers are slow", 2 * time.Second, 15 * time.Second, 2, slowPeers},
	{"machines hang", time.Second, 16 * time.Second, 3, onMachines(func(m *emulator.SimulatedMachine, on bool) {
		m.Hung = on
	})},
	{"answers and commands to machines are lost", time.Second, 16 * time.Second, 3,
		onMachines(func(m *emulator.SimulatedMachine, on bool) { m.InboundLost = on })},
	{"commands to machines are lost", time.Second, 16 * time.Second, 2,
		onMachines(func(m *emulator.SimulatedMachine, on bool) { m.CommandsLost = on })},
	{"heartbeats are lost", time.Second, 16 * time.Second, 2,
		onMachines(func(m *emulator.SimulatedMachine, on bool) { m.HeartbeatsLost = on })},
	{"commands to machines arrive late", 2 * time.Second, 12 * time.Second, 3,
		onMachines(func(m *emulator.SimulatedMachine, on bool) { m.CommandDelay = choose(on, lateCommandDelay) })},
	{"answers to heartbeats arrive late", 2 * time.Second, 12 * time.Second, 2,
		onMachines(func(m *emulator.SimulatedMachine, on bool) { m.ResponseDelay = choose(on, lateResponseDelay) })},
	{"old heartbeats arrive again", time.Second, 8 * time.Second, 3, repeatHeartbeats},
	{"machines fail", time.Second, time.Second, 2, failMachines},
	{"workers refuse starts", 3 * time.Second, 15 * time.Second, 8,
		onMachines(func(m *emulator.SimulatedMachine, on bool) { m.RefusesStarts = on })},
	{"all controllers are cut apart", 2 * time.Second, 20 * time.Second, 2, cutAllPeers},
	{"answered messages arrive again", 5 * time.Second, 20 * time.Second, 9, repeatAnswered},
	{"tasks fail", 3 * time.Second, 12 * time.Second, 6, failTasks},
}

// leaderKills is the kind of fault that every schedule has.
var leaderKills = kindNamed("leaders are killed in a row")

// kindNamed returns the kind of fault with the given name, or nil.
func kindNamed(name string) *faultKind {
	for i := range faultKinds {
		if faultKinds[i].name == name {
			return &faultKinds[i]
		}
	}
	return nil
}

// Delays of late commands and answers. A controller waits 2 s for the outcome of a command, a worker
// 4 s for the answer to its heartbeat.
const (
	lateCommandDelay  = 3500 * time.Millisecond
	lateResponseDelay = 3 * time.Second
)

func choose(on bool, d time.Duration) time.Duration {
	if on {
		return d
	}
	return 0
}

func constant(n int) func() int { return func() int { return n } }

func restartController(c *cluster, f *Fault) injection {
	c.kill(f.host)
	c.after(f.delay/2, func() { c.launch(f.host) })
	return injection{func() {}, constant(1)}
}

func killController(c *cluster, f *Fault) injection {
	c.kill(f.host)
	return injection{func() { c.launch(f.host) }, constant(1)}
}

func killAllControllers(c *cluster, f *Fault) injection {
	for k := range c.nodes {
		c.kill(k)
	}
	return injection{func() {
		for k := range c.nodes {
			c.after(time.Duration(k)*f.delay/2, func() { c.launch(k) })
		}
	}, constant(len(c.nodes))}
}

// leaderKillInterval is the time between two kills of a leader: a session's lease and an election.
const leaderKillInterval = 2500 * time.Millisecond

func killLeaders(c *cluster, f *Fault) injection {
	var mu sync.Mutex
	killed := 0
	for at := time.Duration(0); at < f.For; at += leaderKillInterval {
		c.after(at, func() {
			k, found := c.leaderIndex()
			if !found {
				return
			}
			c.kill(k)
			c.after(f.delay/2, func() { c.launch(k) })
			mu.Lock()
			defer mu.Unlock()
			killed++
		})
	}
	return injection{func() {}, func() int {
		mu.Lock()
		defer mu.Unlock()
		return killed
	}}
}

func pauseController(c *cluster, f *Fault) injection {
	if !c.pauses.begin(f.host) {
		return injection{func() {}, constant(0)}
	}
	return injection{func() { c.pauses.end(f.host) }, constant(1)}
}

func pauseAllControllers(c *cluster, _ *Fault) injection {
	var paused []int
	for k := range c.nodes {
		if c.pauses.begin(k) {
			paused = append(paused, k)
		}
	}
	return injection{func() {
		for _, k := range paused {
			c.pauses.end(k)
		}
	}, constant(len(paused))}
}

// setStateFaults applies faults to the state service as the given controllers reach it.
func setStateFaults(faults stateFaults, gates ...*stateGate) injection {
	count := func() (n int) {
		for _, g := range gates {
			n += g.affectedCount()
		}
		return n
	}
	before := count()
	for _, g := range gates {
		g.setFaults(faults)
	}
	return injection{func() {
		for _, g := range gates {
			g.setFaults(stateFaults{})
		}
	}, func() int { return count() - before }}
}

func refuseState(c *cluster, f *Fault) injection {
	return setStateFaults(stateFaults{reject: true}, c.gates[f.host])
}

func stopState(c *cluster, _ *Fault) injection {
	c.state.SetOutage(true, false)
	return injection{func() { c.state.SetOutage(false, false) }, constant(1)}
}

func slowState(c *cluster, f *Fault) injection {
	return setStateFaults(stateFaults{latency: f.delay}, c.gates...)
}

func delayTransactions(c *cluster, f *Fault) injection {
	return setStateFaults(stateFaults{late: f.share}, c.gates...)
}

func loseAnswers(c *cluster, f *Fault) injection {
	return setStateFaults(stateFaults{lost: f.share}, c.gates...)
}

// onMachines returns a fault that applies to a share of the machines.
func onMachines(set func(m *emulator.SimulatedMachine, on bool)) func(*cluster, *Fault) injection {
	return func(c *cluster, f *Fault) injection {
		affected := c.selectMachines(f)
		apply := func(on bool) {
			c.cloud.ForEachMachine(func(name string, m *emulator.SimulatedMachine) {
				if affected[name] {
					set(m, on)
				}
			})
		}
		apply(true)
		return injection{func() { apply(false) }, constant(len(affected))}
	}
}

// selectMachines returns the names of a share of the machines that are up. The selection depends on
// the fault and the machines only.
func (c *cluster) selectMachines(f *Fault) map[string]bool {
	rng := rand.New(rand.NewPCG(uint64(f.At), 2))
	selected := map[string]bool{}
	c.cloud.ForEachMachine(func(name string, m *emulator.SimulatedMachine) {
		if rng.Float64() < f.share && m.IsUp() {
			selected[name] = true
		}
	})
	return selected
}

// heartbeatRepeatInterval is the time between two copies of old heartbeats.
const heartbeatRepeatInterval = 400 * time.Millisecond

// repeatHeartbeats captures the heartbeats of a share of the machines. Until the fault ends, it sends
// each controller copies of them and of other recent heartbeats.
func repeatHeartbeats(c *cluster, f *Fault) injection {
	selected := c.selectMachines(f)
	c.cloud.ForEachMachine(func(name string, m *emulator.SimulatedMachine) {
		if selected[name] {
			m.CaptureHeartbeat()
		}
	})
	for at := time.Duration(0); at < f.For; at += heartbeatRepeatInterval {
		c.after(at, func() {
			var machines []*emulator.SimulatedMachine
			c.cloud.ForEachMachine(func(name string, m *emulator.SimulatedMachine) {
				if selected[name] {
					m.SendDuplicateHeartbeat(c.nodes[f.other].Host)
					machines = append(machines, m)
				}
			})
			for _, m := range machines {
				go m.SendCapturedHeartbeat(c.nodes[f.host].Host)
			}
		})
	}
	return injection{func() {}, constant(len(selected))}
}

// maxFailedMachines bounds the machines that fail at once.
const maxFailedMachines = 3

func failMachines(c *cluster, f *Fault) injection {
	selected, failed := c.selectMachines(f), 0
	c.cloud.ForEachMachine(func(name string, m *emulator.SimulatedMachine) {
		if selected[name] && failed < maxFailedMachines {
			m.Fail()
			failed++
		}
	})
	return injection{func() {}, constant(failed)}
}

// copyDelaySpread is by how much the delays of copies differ: twice a worker's lease.
const copyDelaySpread = 20 * time.Second

// repeatAnswered has copies of a share of all answered messages arrive later, of every kind but calls
// between controllers, unless the options say so.
func repeatAnswered(c *cluster, f *Fault) injection {
	before := c.copies.Total()
	kinds := slices.DeleteFunc(emulator.MessageKinds(), func(kind emulator.MessageKind) bool {
		return kind == emulator.PeerMessage && !c.options.RepeatCalls
	})
	c.copies.SetShare(f.share, kinds...)
	return injection{
		func() { c.copies.SetShare(0, kinds...) },
		func() int { return c.copies.Total() - before },
	}
}

// failTasks has every other task of arrays and services fail if it begins to run for the first time.
func failTasks(c *cluster, _ *Fault) injection {
	c.cloud.SetFailFirst(emulator.FailOddTasks)
	return injection{func() { c.cloud.SetFailFirst(emulator.FailNone) }, constant(1)}
}
