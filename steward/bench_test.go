package steward

import (
	"context"
	"testing"

	"robinstack/agent"
	"robinstack/job"
)

// BenchmarkPermit asks for the permits of a hundred tasks, of which ten fit the limit.
func BenchmarkPermit(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	s, _ := newSteward(b, ctx)
	go func() { _ = s.member.Keep(ctx) }() // it ends with the benchmark
	const tasks = 100
	request := PermitRequest{Slot: "s", Epoch: 1, Probe: true}
	for k := range tasks {
		ref := agent.TaskRef{Job: "wk-1", Index: k, Attempt: 1}
		request.Wants = append(request.Wants, Want{Ref: ref, Team: "t", Need: job.Need{GPUs: 1}})
	}
	service := NewService(s)
	b.ReportAllocs()
	for b.Loop() {
		var reply PermitReply
		if err := service.Permit(request, &reply); err != nil || len(reply.Granted) != tasks {
			b.Fatalf("%+v %v", reply, err)
		}
	}
}
