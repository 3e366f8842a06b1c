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

// Phase 1, sampling: a random share of the controllers is asked for machines with capacity,
// each of which samples a share of its machines.

// shuffle is the source of randomness of the sampling.
var shuffle candidate.Shuffle = rand.Shuffle

// sampleResult is what the controllers that were asked have found.
type sampleResult struct {
	candidates []agentapi.Candidate
	scarce     bool // all of them looked at every machine they own
	crowded    bool // there is capacity on machines that fetch other images
}

// sample asks for machines on which the job's tasks have capacity.
func (s *Scheduler) sample(ctx context.Context, p *placement) sampleResult {
	found := s.askOwners(ctx, methodSample, p.request)
	if found.scarce {
		s.mu.Lock()
		p.job.class.scarceUntil = time.Now().Add(scarceDuration)
		s.mu.Unlock()
	}
	return found
}

// askOwners sends a request to a random share of the controllers, and joins their answers.
// One that does not answer in time is left out.
func (s *Scheduler) askOwners(ctx context.Context, method string, request agentapi.Request) sampleResult {
	hosts := candidate.PickHosts(s.session.AliveHosts(), s.policy.SampleControllerShare, shuffle)
	callCtx, cancel := context.WithTimeout(ctx, s.policy.SampleTimeout)
	defer cancel()
	var (
		mu    sync.Mutex // guards all
		all   = sampleResult{scarce: true}
		calls sync.WaitGroup
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
			all.candidates = append(all.candidates, reply.Candidates...)
			all.scarce = all.scarce && reply.Exhausted
			all.crowded = all.crowded || reply.Crowded
		})
	}
	calls.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Samples += uint64(len(hosts))
	return all
}
