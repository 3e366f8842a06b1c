package clusteragent_test

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// benchMachines is how many machines an owner has in benchmarks, about those of one of
// three controllers in a fleet of 600.
const benchMachines = 200

// benchNode returns an owner of benchMachines machines, their workers and a job shard's epoch.
func benchNode(b *testing.B) (n *node, machines []*emulator.Worker, epoch uint64) {
	b.Helper()
	level := slog.SetLogLoggerLevel(slog.LevelError)
	b.Cleanup(func() { slog.SetLogLoggerLevel(level) })
	bed := newTestbed(b, b.Context())
	n = bed.startNode("host-0")
	var claims sync.WaitGroup
	for k := range benchMachines {
		w := bed.workers.Add(fmt.Sprintf("vm-%06d", k), "box", "a")
		machines = append(machines, w)
		claims.Go(func() { n.sendHeartbeat(w) })
	}
	claims.Wait()
	for _, w := range machines {
		if reply := n.sendHeartbeat(w); !reply.Owner {
			b.Fatalf("%s is not owned: %+v", w.Heartbeat.Machine, reply)
		}
	}
	return n, machines, n.takeJobShard("s", 0)
}

func benchRequest(epoch uint64) agentapi.Request {
	return agentapi.Request{Slot: "s", Epoch: epoch, Tasks: 8, Share: 0.04, Least: 48, Spare: 3,
		Spec: job.Spec{ID: "wk-1", Shape: job.Array, Rank: "normal", Tasks: 9, Need: job.Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}}}
}

// BenchmarkHeartbeat is the taking of a worker's heartbeat by the owner of its machine.
func BenchmarkHeartbeat(b *testing.B) {
	n, machines, _ := benchNode(b)
	b.ReportAllocs()
	for k := 0; b.Loop(); k++ {
		if reply := n.sendHeartbeat(machines[k%len(machines)]); !reply.Owner {
			b.Fatalf("%+v", reply)
		}
	}
}

// BenchmarkSample is one sampling step over the machines of an owner.
func BenchmarkSample(b *testing.B) {
	n, _, epoch := benchNode(b)
	b.ReportAllocs()
	for b.Loop() {
		var reply agentapi.SampleReply
		if err := n.service.Sample(benchRequest(epoch), &reply); err != nil || len(reply.Candidates) == 0 {
			b.Fatalf("%+v %v", reply, err)
		}
	}
}

// BenchmarkCommit reserves capacity for a task and gives it back, without a command.
func BenchmarkCommit(b *testing.B) {
	n, machines, epoch := benchNode(b)
	var revs []uint64
	entries := n.entries()
	for _, w := range machines {
		revs = append(revs, entries[w.Heartbeat.Machine].Rev)
	}
	b.ReportAllocs()
	for k := 0; b.Loop(); k++ {
		at, ref := k%len(machines), agentapi.TaskRef{Job: "wk-1", Attempt: uint64(k + 1)}
		machine := machines[at].Heartbeat.Machine
		request := agentapi.CommitRequest{Request: benchRequest(epoch), Machine: machine, Rev: revs[at], Hold: true}
		request.Refs = []agentapi.TaskRef{ref}
		var reply agentapi.CommitReply
		if err := n.service.Commit(request, &reply); err != nil || reply.Verdicts[0] != agentapi.Held {
			b.Fatalf("%+v %v", reply, err)
		}
		stop := agentapi.StopRequest{Items: []agentapi.StopItem{{Machine: machine, TaskRef: ref}}}
		if err := n.service.Stop(stop, &struct{}{}); err != nil {
			b.Fatal(err)
		}
	}
}
