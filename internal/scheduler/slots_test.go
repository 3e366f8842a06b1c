package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// startsOf counts how many starts of a job's tasks were carried out.
func (w *world) startsOf(id string) (n int) {
	for task, k := range w.starts() {
		if strings.HasPrefix(task, id+"/") {
			n += k
		}
	}
	return n
}

// crashWithSilent has host-0 place a job of zone a and one of any zone, makes the
// machine of zone b silent and crashes host-0.
func crashWithSilent(w *world) (survivor *node, silent *emulator.Worker) {
	a := w.start("host-0")
	w.run(3 * time.Second)
	survivor = w.start("host-1")
	w.run(3 * time.Second)
	zone := "a"
	local := spec("wk-1", job.Array, 4, 1)
	local.Zone = &zone
	w.submit(a, local)
	w.run(2 * time.Second)
	w.submit(a, spec("wk-2", job.Array, 4, 1))
	w.run(4 * time.Second)
	if w.startsOf("wk-1") != 2 || w.startsOf("wk-2") != 2 {
		w.t.Fatalf("%d and %d tasks started", w.startsOf("wk-1"), w.startsOf("wk-2"))
	}
	silent = w.boxes[1]
	w.workers.WithLock(func() { silent.HoldCommands = true })
	w.boxes = w.boxes[:1]
	w.crash(a, 1)
	return survivor, silent
}

// A machine that does not answer held up every job of a crashed placer, also
// those that it is not allowed to have. A job that it may have waits until its
// tasks there are certainly over: or they would run twice.
func TestASilentMachineHoldsUpOnlyJobsItMayHave(t *testing.T) {
	story(t, func(w *world) {
		crashWithSilent(w)
		w.run(8 * time.Second)
		w.endAll(worker.CauseDone) // the two of wk-1 that run on the machine that answers
		w.run(8 * time.Second)
		if n := w.startsOf("wk-1"); n != 4 {
			t.Fatalf("%d of 4 tasks started that the silent machine cannot have", n)
		}
		if n := w.startsOf("wk-2"); n != 0 {
			t.Fatalf("%d starts elsewhere of a job whose tasks the silent machine may have", n)
		}
		w.endAll(worker.CauseDone)
		w.run(90 * time.Second)
		if n := w.startsOf("wk-2"); n != 2 {
			t.Fatalf("%d starts after the silent machine's lease", n)
		}
	})
}

// Machines come up all the time. One that was claimed first after the slot was
// taken has an owner that refuses the earlier placer's commits, so a slot does not
// wait until it is confirmed too.
func TestASlotDoesNotWaitForYoungerMachines(t *testing.T) {
	story(t, func(w *world) {
		b, silent := crashWithSilent(w)
		w.run(4 * time.Second)
		young := w.workers.Add("m3", "box", "a")
		w.workers.WithLock(func() { young.HoldCommands, silent.HoldCommands = true, false })
		r := w.workers.NextHeartbeat(young)
		b.agent.Heartbeat(w.ctx, &r) // claimed, and not heard of again
		w.boxes = append(w.boxes, silent)
		w.run(3 * time.Second)
		w.endAll(worker.CauseDone)
		w.run(6 * time.Second)
		if n := w.startsOf("wk-2"); n != 4 {
			t.Fatalf("%d of 4 tasks started while a younger machine is unconfirmed", n)
		}
	})
}

// Every crash left a slot and shards behind for good, and the next crash had to
// take them over one by one. What a slot's earlier placer wrote late must fail
// although the slot's key is gone.
func TestCrashesLeaveNoSlotsAndShardsBehind(t *testing.T) {
	story(t, func(w *world) {
		for i := range 20 {
			w.boxes = append(w.boxes, w.workers.Add(fmt.Sprintf("n%d", i), "box", []string{"a", "b"}[i%2]))
		}
		lease := uint64(0)
		var epoch uint64
		for round := range 4 {
			a, b := w.start("host-0"), w.start("host-1")
			w.run(45 * time.Second)
			w.submit(a, spec(fmt.Sprintf("wk-%d", round), job.Array, 2, 1))
			w.run(4 * time.Second)
			if round == 0 {
				_, epoch, _ = a.placer.OwnJobShard()
			}
			w.crash(a, lease+1)
			w.crash(b, lease+2)
			lease += 2
			w.run(time.Second)
		}
		a, b := w.start("host-0"), w.start("host-1")
		w.run(5 * time.Second)
		w.endAll(worker.CauseDone)
		w.run(20 * time.Second)
		if slots := w.state.ListAll(statekv.JobShardPrefix); len(slots) != 2 {
			t.Errorf("%d slots for two controllers", len(slots))
		}
		if shards := w.state.ListAll(statekv.MachineShardPrefix); len(shards) > 12 {
			t.Errorf("%d shards for two controllers in two zones", len(shards))
		}
		for _, n := range []*node{a, b} {
			if _, entries := n.agent.Snapshot(); len(entries) == 0 {
				t.Errorf("%s came back with %d of 22 machines", n.host, len(entries))
			}
		}
		old := []statekv.Compare{{Key: statekv.JobShardPrefix + "host-0.2", Rev: epoch}}
		if _, err := w.state.Txn(w.ctx, old, nil); !statekv.IsConflict(err) {
			t.Errorf("a late write of the first placer: %v", err)
		}
	})
}

// Where nothing changes, agents were asked again only after 2 s whether they knew of
// the new epoch, and twice that passed before slots settled.
func TestSlotsSettleAtOnceWhereNothingChanges(t *testing.T) {
	story(t, func(w *world) {
		w.start("host-1") // owns the machines
		w.run(3 * time.Second)
		a := w.start("host-0")
		w.run(6 * time.Second)
		slot, _, _ := a.placer.OwnJobShard()
		w.crash(a, 2)
		rec := job.Record{Spec: spec("wk-1", job.Array, 4, 1), JobShard: slot} // accepted, and not placed yet
		if _, err := w.state.Txn(w.ctx, nil, []statekv.Op{{Set: job.RecordKey("wk-1"), Value: rec}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if n := w.startsOf("wk-1"); n != 4 {
			t.Fatalf("%d of 4 tasks started a second after the crash", n)
		}
	})
}

// Guards against ran_twice: a start that the crashed owner had sent arrives at a
// machine that the job is allowed to use only after the slot was taken.
func TestALateStartOnASilentMachineIsNotRepeated(t *testing.T) {
	story(t, func(w *world) {
		a := w.start("host-0")
		w.run(3 * time.Second)
		w.start("host-1")
		w.run(3 * time.Second)
		w.workers.WithLock(func() {
			for _, b := range w.boxes {
				b.HoldCommands = true // reports get through, commands are held
			}
		})
		w.submit(a, spec("wk-1", job.Array, 1, 1))
		time.Sleep(time.Second)
		w.crash(a, 1)
		boxes := w.boxes
		w.boxes = nil
		w.run(6 * time.Second)
		for _, b := range boxes {
			w.workers.DeliverHeldCommands(b)
			w.workers.WithLock(func() { b.HoldCommands = false })
		}
		w.boxes = boxes
		w.run(8 * time.Second)
		if n := w.startsOf("wk-1"); n != 1 {
			t.Fatalf("the task was started %d times", n)
		}
		var ran []string
		for _, e := range entriesOf(w) {
			for _, task := range e.Tasks {
				ran = append(ran, e.Machine+" "+task.State)
			}
		}
		if len(ran) != 1 {
			t.Fatalf("on machines: %v", ran)
		}
	})
}

func entriesOf(w *world) (all []agentapi.MachineEntry) {
	for _, host := range []string{"host-0", "host-1"} {
		if n := w.node(host); n != nil {
			_, entries := n.agent.Snapshot()
			all = append(all, entries...)
		}
	}
	return all
}
