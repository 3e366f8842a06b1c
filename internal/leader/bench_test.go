package leader

import (
	"context"
	"sync"
	"testing"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/quota"
)

// BenchmarkPermit measures a request for the quota grants of a hundred tasks, of which two fit the
// quota: the unconfirmed machine takes 8 of its 10 GPUs.
func BenchmarkPermit(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	l, _ := newLeader(b, ctx)
	var renewals sync.WaitGroup
	renewals.Go(func() { _ = l.session.KeepAlive(ctx) }) // returns the error of ctx
	b.Cleanup(func() {
		cancel()
		renewals.Wait()
	})
	const tasks = 100
	request := quota.Request{Slot: "s", Epoch: 1, Probe: true}
	for k := range tasks {
		ref := agentapi.TaskRef{Job: "wk-1", Index: k, Attempt: 1}
		request.Wants = append(request.Wants, quota.GrantRequest{Ref: ref, Team: "t", Need: job.Resources{GPUs: 1}})
	}
	service := NewService(l)
	b.ReportAllocs()
	for b.Loop() {
		var reply quota.Reply
		if err := service.Permit(request, &reply); err != nil || len(reply.Granted) != tasks {
			b.Fatalf("got reply %+v and error %v, want %d results", reply, err, tasks)
		}
	}
}
