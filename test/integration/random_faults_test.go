package integration

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// activeFault is a fault that has begun and not ended yet.
type activeFault struct {
	kind  *fault
	end   func()
	until time.Time
}

// maxActiveFaults is the maximum number of faults at the same time.
const maxActiveFaults = 3

// runRandomFaults submits jobs of all shapes at random, cancels some of them, and injects up to
// three faults at a time, while users query their jobs. It then ends all faults and checks the
// final state.
func (b *testbed) runRandomFaults(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	var active []activeFault
	for range 80 {
		if rng.IntN(2) == 0 {
			b.submitRandomJob(rng)
		}
		if ids := b.history.AcceptedJobIDs(); rng.IntN(6) == 0 && len(ids) > 0 {
			go b.cancel("", ids[rng.IntN(len(ids))])
		}
		active = b.endDueFaults(active)
		if rng.IntN(4) == 0 && len(active) < maxActiveFaults {
			active = b.injectRandomFault(rng, active)
		}
		time.Sleep(time.Duration(500+rng.IntN(4000)) * time.Millisecond)
	}
	for _, f := range active {
		f.end()
	}
	b.history.RecordFault("all faults have ended")
	time.Sleep(5 * time.Second)
	b.history.RecordFaultsEnded()
	time.Sleep(10 * time.Minute)
	b.history.CheckFinalState()
}

// endDueFaults ends the faults whose duration is over, and returns the remaining ones.
func (b *testbed) endDueFaults(active []activeFault) []activeFault {
	remaining := active[:0]
	for _, f := range active {
		if time.Now().After(f.until) {
			b.history.RecordFault("ended: %s", f.kind.name)
			f.end()
		} else {
			remaining = append(remaining, f)
		}
	}
	return remaining
}

// injectRandomFault picks a random fault, and injects it unless an active fault excludes it.
func (b *testbed) injectRandomFault(rng *rand.Rand, active []activeFault) []activeFault {
	kind := randomFault(rng)
	if slices.ContainsFunc(active, func(f activeFault) bool { return f.kind.excludes(kind) }) {
		return active
	}
	seconds := kind.randomDuration(rng)
	b.history.RecordFault("%s for %d s", kind.name, seconds)
	end := kind.inject(b, rng)
	return append(active, activeFault{kind, end, time.Now().Add(time.Duration(seconds) * time.Second)})
}

// submitRandomJob submits a random job. The tasks of many of these jobs complete far apart.
func (b *testbed) submitRandomJob(rng *rand.Rand) {
	s := arrayJob(b.nextJobID(), 1+rng.IntN(3))
	switch rng.IntN(8) {
	case 0, 1:
		s = withShape(job.Gang, s)
		s.Tasks = 1 + rng.IntN(2)
		s.OneZone = rng.IntN(2) == 0
		s.Rank = "high"
	case 2:
		s = inZone(zones[rng.IntN(3)], s)
	case 3:
		s.Team = "full"
	case 4:
		s.Spread = true
	}
	if ids := b.history.AcceptedJobIDs(); rng.IntN(4) == 0 && len(ids) > 0 {
		s.WaitsOn = []string{ids[rng.IntN(len(ids))]}
	}
	runTime := time.Duration(2+rng.IntN(60)) * time.Second
	go b.submitStaggered("", s, runTime, time.Duration(rng.IntN(2)*rng.IntN(30))*time.Second)
}

// seedsVariable is the environment variable with a range of seeds FROM-TO to run; TO is excluded.
const seedsVariable = "MEETINGS"

// seeds returns the seeds in the range given in the environment, or defaults if there is none.
func seeds(t *testing.T, defaults ...uint64) []uint64 {
	t.Helper()
	from, to, ok := strings.Cut(os.Getenv(seedsVariable), "-")
	if !ok {
		return defaults
	}
	first, errFirst := strconv.ParseUint(from, 10, 64)
	end, errEnd := strconv.ParseUint(to, 10, 64)
	if errFirst != nil || errEnd != nil {
		t.Fatalf("%s is not a range FROM-TO of seeds", seedsVariable)
	}
	var out []uint64
	for seed := first; seed < end; seed++ {
		out = append(out, seed)
	}
	return out
}

// Random faults of all kinds coincide. No rule may be violated, and every accepted job must remain
// known, be reported on request, and finish.
func TestRandomFaults(t *testing.T) {
	for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6, 7, 8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			bootS := 5.0
			if seed%3 == 0 {
				bootS = 1 // so that machines get tasks almost at once
			}
			runScenarioWithBootTime(t, seed, bootS, func(b *testbed) {
				b.runRandomFaults(seed)
				if n := len(b.history.AcceptedJobIDs()); n < 15 || b.history.TaskStarts() < 20 {
					b.t.Errorf("scenario hardly exercised: %d jobs and %d task starts, want at least 15 and 20",
						n, b.history.TaskStarts())
				}
				b.checkNoViolations()
				if b.t.Failed() {
					b.t.Logf("seed %d:\n%s", seed, strings.Join(b.history.Trace(), "\n"))
				}
				b.logOpenJobs()
			})
		})
	}
}

// logOpenJobs logs the record, job shard and tasks of each job that is still open, which shows why
// a job does not finish.
func (b *testbed) logOpenJobs() {
	for _, kv := range b.state.ListAll(job.RecordPrefix) {
		record, err := job.ParseRecord(kv.Value)
		if err != nil {
			b.t.Logf("%s: %v", kv.Key, err)
			continue
		}
		shard := b.state.ListAll(statekv.JobShardPrefix + record.JobShard)
		b.t.Logf("%s at revision %d: job shard %v, %d tasks on machines",
			kv.Key, kv.Rev, shard, b.history.TasksOnMachines(record.Spec.ID))
	}
	if b.t.Failed() {
		for _, kv := range b.state.ListAll(statekv.ClusterPrefix) {
			b.t.Logf("%s at revision %d: %s", kv.Key, kv.Rev, kv.Value)
		}
	}
}
