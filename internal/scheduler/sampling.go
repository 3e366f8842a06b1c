package scheduler

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/scheduler/candidate"
)

// Phase 1 of a placement, sampling: the scheduler queries a random share of the controllers for
// machines with capacity, and each controller samples a share of its machines.

// shuffle is the source of randomness for choosing the controllers.
var shuffle candidate.Shuffle = rand.Shuffle

// sampleResult is the merged answer of the queried controllers.
type sampleResult struct {
	candidates     []agentapi.Candidate
	exhausted      bool // every controller that answered found fewer machines than its sample target
	fetchContended bool // capacity exists, but only on machines that fetch other images
}

// sample asks for machines that have capacity for tasks of the job. If the result is exhausted,
// capacity counts as scarce for the job's scheduling class.
func (s *Scheduler) sample(ctx context.Context, p *placement) sampleResult {
	result := s.queryControllers(ctx, methodSample, p.request)
	if result.exhausted {
		s.mu.Lock()
		p.job.class.scarceUntil = time.Now().Add(scarceDuration)
		s.mu.Unlock()
	}
	return result
}

// queryControllers sends a request to a random share of the controllers and merges the answers.
// Controllers that fail or do not answer within SampleTimeout are ignored.
func (s *Scheduler) queryControllers(ctx context.Context, method string, request agentapi.Request) sampleResult {
	hosts := candidate.PickHosts(s.session.AliveHosts(), s.policy.SampleControllerShare, shuffle)
	callCtx, cancel := context.WithTimeout(ctx, s.policy.SampleTimeout)
	defer cancel()
	var (
		mu     sync.Mutex // guards merged
		merged = sampleResult{exhausted: true}
		calls  sync.WaitGroup
	)
	for _, host := range hosts {
		calls.Go(func() {
			var reply agentapi.SampleReply
			if err := s.peers.Call(callCtx, host, method, request, &reply); err != nil {
				slog.Debug("sampling request failed", "host", host, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			merged.candidates = append(merged.candidates, reply.Candidates...)
			merged.exhausted = merged.exhausted && reply.Exhausted
			merged.fetchContended = merged.fetchContended || reply.Crowded
		})
	}
	calls.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Samples += uint64(len(hosts))
	return merged
}
