package policy

import (
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
)

// Valid settings of a policy file are applied. Each mistake is reported with its line before the
// service starts.
func TestParse(t *testing.T) {
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
		t.Fatalf("got %+v, want the values of the file", p)
	}
	night, day := &job.Spec{Rank: "normal", Team: "night"}, &job.Spec{Rank: "normal", Team: "day"}
	if p.QueueOrder(night, time.Minute, nil, 0) <= p.QueueOrder(day, 2*time.Minute, nil, 0) {
		t.Fatal("queue_order of the file is not used")
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
			t.Errorf("%q: got error %v, want one that contains %q", source, err, want)
		}
	}
}

// Jobs that can still meet their deadline go before those that cannot. Among the latter, those that
// can still meet the next completion target go first.
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
		t.Error("the job with the earlier deadline does not go first")
	}
	if order("normal", 110, age) >= order("normal", 300, age) {
		t.Error("a job that misses its deadline does not go behind one that can meet it")
	}
	if order("normal", 60, age) >= order("normal", 110, age) {
		t.Error("a job that is too late for all targets does not go last")
	}
	if p.QueueOrder(&job.Spec{Rank: "high"}, 0, nil, 0) <= order("normal", 160, age) {
		t.Error("a job of higher rank does not go first")
	}
}

// Guards against late jobs that are not started in time. Every later job that could still meet a
// completion target went ahead of a job that was too late for all of its targets, until no other
// job waited: 4% of such jobs had tasks that did not start within the users' objective.
func TestStartTargetComesBeforeCompletionTargets(t *testing.T) {
	deadlineS := 100.0
	spec := &job.Spec{Rank: "normal", EstimateS: 50, DeadlineS: &deadlineS}
	targets := []time.Duration{100 * time.Second, 150 * time.Second}
	order := func(age time.Duration) float64 {
		return Default().QueueOrder(spec, age, targets, 250*time.Second)
	}
	fresh := order(10 * time.Second)
	if order(180*time.Second) >= fresh {
		t.Error("a late job goes before one that can meet its target although its start target is not near")
	}
	if order(220*time.Second) <= fresh || order(240*time.Second) <= order(220*time.Second) {
		t.Error("shortly before its start target, a late job does not go first, by the time left")
	}
	if order(260*time.Second) >= fresh {
		t.Error("a late job goes first after its start target has passed")
	}
}
