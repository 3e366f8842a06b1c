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

// benchMachines is the number of machines of the owner in benchmarks: about as many as each of
// three controllers owns in a cluster of 600 machines.
const benchMachines = 200

// benchNode starts an owner of benchMachines machines. It returns the owner, the workers of the
// machines and the epoch of a job shard.
func benchNode(b *testing.B) (n *node, workers []*emulator.Worker, epoch uint64) {
	b.Helper()
	level := slog.SetLogLoggerLevel(slog.LevelError)
	b.Cleanup(func() { slog.SetLogLoggerLevel(level) })
	bed := newTestbed(b, b.Context())
	n = bed.startNode("host-0")
	var claims sync.WaitGroup
	for k := range benchMachines {
		w := bed.workers.Add(fmt.Sprintf("vm-%06d", k), "box", "a")
		workers = append(workers, w)
		claims.Go(func() { n.sendHeartbeat(w) })
	}
	claims.Wait()
	for _, w := range workers {
		if reply := n.sendHeartbeat(w); !reply.Accepted {
			b.Fatalf("%s is not owned: got reply %+v", w.Heartbeat.Machine, reply)
		}
	}
	return n, workers, n.acquireJobShard("s", 0)
}

func benchRequest(epoch uint64) agentapi.Request {
	return agentapi.Request{Slot: "s", Epoch: epoch, Tasks: 8, Share: 0.04, Least: 48, Spare: 3,
		Spec: job.Spec{ID: "wk-1", Shape: job.Array, Rank: "normal", Tasks: 9, Need: job.Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}}}
}

// BenchmarkHeartbeat measures how an owner handles a worker's heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	n, workers, _ := benchNode(b)
	b.ReportAllocs()
	for k := 0; b.Loop(); k++ {
		if reply := n.sendHeartbeat(workers[k%len(workers)]); !reply.Accepted {
			b.Fatalf("got reply %+v, want it accepted", reply)
		}
	}
}

// BenchmarkSample measures one sampling step over the machines of an owner.
func BenchmarkSample(b *testing.B) {
	n, _, epoch := benchNode(b)
	b.ReportAllocs()
	for b.Loop() {
		var reply agentapi.SampleReply
		if err := n.service.Sample(benchRequest(epoch), &reply); err != nil || len(reply.Candidates) == 0 {
			b.Fatalf("got reply %+v, error %v", reply, err)
		}
	}
}

// BenchmarkCommit measures reserving and releasing capacity for a task, without any command.
func BenchmarkCommit(b *testing.B) {
	n, workers, epoch := benchNode(b)
	var revs []uint64
	entries := n.entries()
	for _, w := range workers {
		revs = append(revs, entries[w.Heartbeat.Machine].Rev)
	}
	b.ReportAllocs()
	for k := 0; b.Loop(); k++ {
		index, ref := k%len(workers), agentapi.TaskRef{Job: "wk-1", Attempt: uint64(k + 1)}
		machine := workers[index].Heartbeat.Machine
		request := agentapi.CommitRequest{Request: benchRequest(epoch), Machine: machine, Rev: revs[index], Hold: true}
		request.Refs = []agentapi.TaskRef{ref}
		var reply agentapi.CommitReply
		if err := n.service.Commit(request, &reply); err != nil || reply.Verdicts[0] != agentapi.Held {
			b.Fatalf("got reply %+v, error %v", reply, err)
		}
		stop := agentapi.StopRequest{Items: []agentapi.StopItem{{Machine: machine, TaskRef: ref}}}
		if err := n.service.Stop(stop, &struct{}{}); err != nil {
			b.Fatal(err)
		}
	}
}
