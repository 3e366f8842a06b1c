package policy

import (
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
)

func TestPolicyIsCheckedBeforeItIsUsed(t *testing.T) {
	const valid = `# ours
multibind = 2 + 3
preempt = false
idle_return_s = 1.5 * 60
queue_order = rank * 1000 + (team == "night" ? 500 : 0) + age_s
`
	p, err := Parse("ops.policy", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if p.MultiBind != 5 || p.Preemption || p.ScaleInIdleTime != 90*time.Second {
		t.Fatalf("%+v", p)
	}
	night, day := &job.Spec{Rank: "normal", Team: "night"}, &job.Spec{Rank: "normal", Team: "day"}
	if p.QueueOrder(night, time.Minute, nil, 0) <= p.QueueOrder(day, 2*time.Minute, nil, 0) {
		t.Fatal("the operators' order is not used")
	}
	for source, want := range map[string]string{
		"multibind = 0":                   "ops.policy:1:",
		"\nretry_s = \"soon\"":            "ops.policy:2:",
		"queue_order = rank + colour":     "colour",
		"queue_order = team":              "ops.policy:1:",
		"speed = 3":                       "no setting",
		"preempt":                         "expected",
		"preempt = true\npreempt = false": "ops.policy:2:1: preempt: is set twice",
		"sample_controllers = 1 / (2 -":   "ops.policy:1:",
	} {
		if _, err := Parse("ops.policy", []byte(source)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", source, err)
		}
	}
}

// Jobs that can still meet their deadline go before those that cannot, and of these those first that
// can still meet the users' next objective.
func TestDeadlineOrder(t *testing.T) {
	p := Default()
	order := func(rank string, deadlineS float64, age time.Duration) float64 {
		targets := []time.Duration{
			time.Duration(deadlineS) * time.Second,
			time.Duration(deadlineS*1.5) * time.Second,
		}
		return p.QueueOrder(&job.Spec{Rank: rank, EstimateS: 50, DeadlineS: &deadlineS}, age, targets, 0)
	}
	const age = 100 * time.Second
	if order("normal", 200, age) <= order("normal", 300, age) {
		t.Error("the earlier deadline goes first")
	}
	if order("normal", 110, age) >= order("normal", 300, age) {
		t.Error("a deadline that cannot be met any more goes behind")
	}
	if order("normal", 60, age) >= order("normal", 110, age) {
		t.Error("a job that is too late for every objective goes last")
	}
	if p.QueueOrder(&job.Spec{Rank: "high"}, 0, nil, 0) <= order("normal", 160, age) {
		t.Error("rank goes before everything")
	}
}

// A job that is late for all completion targets was passed by whatever came later and was not, until
// nothing else waited: 4% of such jobs had tasks that never started within the users' objective.
func TestStartTargetComesBeforeCompletionTargets(t *testing.T) {
	deadlineS := 100.0
	spec := &job.Spec{Rank: "normal", EstimateS: 50, DeadlineS: &deadlineS}
	targets := []time.Duration{100 * time.Second, 150 * time.Second}
	order := func(age time.Duration) float64 {
		return Default().QueueOrder(spec, age, targets, 250*time.Second)
	}
	fresh := order(10 * time.Second)
	if order(180*time.Second) >= fresh {
		t.Error("with time left for its start, a late job goes behind those that can be done in time")
	}
	if order(220*time.Second) <= fresh || order(240*time.Second) <= order(220*time.Second) {
		t.Error("shortly before the start target it goes before them, the one with less time left first")
	}
	if order(260*time.Second) >= fresh {
		t.Error("once the start target is missed nothing is won by it")
	}
}
