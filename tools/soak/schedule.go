package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is one fault of a schedule. Which of the fields apply depends on the kind.
type Fault struct {
	At, For time.Duration // since the start of the faults
	Kind    string

	host, other  int      // indexes of controllers; other differs from host if there are two
	share        float64  // share of machines or of transactions, above 0 and below 1
	mode         linkMode // of a cut
	oneDirection int      // toServer or toClient: only that direction is cut; directions: both
	delay        time.Duration
}

// String describes the fault for the trace and the report.
func (f *Fault) String() string {
	return fmt.Sprintf("%s: controller %d (other %d), share %.2f, mode %v, direction %d, delay %v, for %v",
		f.Kind, f.host, f.other, f.share, f.mode, f.oneDirection, f.delay, f.For)
}

// maxActiveFaults bounds the faults at the same time, apart from kills of the leader.
const maxActiveFaults = 3

// Bounds of the time between two faults.
const (
	minFaultGap    = 300 * time.Millisecond
	faultGapSpread = 3500 * time.Millisecond
)

// Bounds of the delays that faults cause.
const (
	minFaultDelay    = 50 * time.Millisecond
	faultDelaySpread = 1200 * time.Millisecond
)

// leaderKillPeriod is the time within which each schedule kills the leader, whichever controller that
// is: the other faults may leave it alone for a whole run.
const leaderKillPeriod = 25 * time.Second

// Schedule draws the faults of a run from its seed. It does not depend on anything else.
func Schedule(seed uint64, duration time.Duration, controllers int) (schedule []Fault) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var ends []time.Duration
	killAt := randomDuration(rng, leaderKillPeriod)
	for at := minFaultGap; at < duration; at += minFaultGap + randomDuration(rng, faultGapSpread) {
		active := 0
		for _, end := range ends {
			if end > at {
				active++
			}
		}
		kind := &faultKinds[drawKind(rng)]
		switch {
		case at >= killAt:
			kind = leaderKills
			killAt += leaderKillPeriod
		case active >= maxActiveFaults:
			continue
		}
		f := drawFault(rng, kind, controllers)
		f.At, f.For = at, min(f.For, duration-at)
		ends = append(ends, f.At+f.For)
		schedule = append(schedule, f)
	}
	return schedule
}

func drawFault(rng *rand.Rand, kind *faultKind, controllers int) Fault {
	host := rng.IntN(controllers)
	return Fault{
		Kind:         kind.name,
		For:          kind.minFor + randomDuration(rng, kind.maxFor-kind.minFor),
		host:         host,
		other:        (host + 1 + rng.IntN(max(1, controllers-1))) % controllers,
		share:        0.1 + 0.5*rng.Float64(),
		mode:         linkSilent + linkMode(rng.IntN(int(linkReset))),
		oneDirection: rng.IntN(directions + 1),
		delay:        minFaultDelay + randomDuration(rng, faultDelaySpread),
	}
}

// drawKind returns the index of a kind of fault, drawn by weight.
func drawKind(rng *rand.Rand) int {
	sum := 0
	for i := range faultKinds {
		sum += faultKinds[i].weight
	}
	n := rng.IntN(sum)
	for i := range faultKinds {
		if n -= faultKinds[i].weight; n < 0 {
			return i
		}
	}
	return 0
}

func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(limit))
}
