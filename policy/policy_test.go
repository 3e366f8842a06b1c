package policy

import (
	"strings"
	"testing"
	"time"

	"robinstack/job"
)

func TestPolicyIsCheckedBeforeItIsUsed(t *testing.T) {
	p, err := Parse("ops.policy", []byte("# ours\nmultibind = 2 + 3\npreempt = false\nidle_return_s = 1.5 * 60\nqueue_order = rank * 1000 + (team == \"night\" ? 500 : 0) + age_s\n"))
	if err != nil {
		t.Fatal(err)
	}
	if p.MultiBind != 5 || p.Preempt || p.IdleReturn != 90*time.Second {
		t.Fatalf("%+v", p)
	}
	night, day := &job.Spec{Rank: "normal", Team: "night"}, &job.Spec{Rank: "normal", Team: "day"}
	if p.Order(night, time.Minute) <= p.Order(day, 2*time.Minute) {
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

// Jobs that can still meet their deadline go before those that cannot.
func TestDeadlineOrder(t *testing.T) {
	due := func(s float64) *job.Spec { return &job.Spec{Rank: "normal", EstimateS: 50, DeadlineS: &s} }
	p := Default()
	if p.Order(due(200), 100*time.Second) <= p.Order(due(300), 100*time.Second) {
		t.Error("the earlier deadline goes first")
	}
	if p.Order(due(110), 100*time.Second) >= p.Order(due(300), 100*time.Second) {
		t.Error("a deadline that cannot be met any more goes last")
	}
	if p.Order(&job.Spec{Rank: "high"}, 0) <= p.Order(due(160), 100*time.Second) {
		t.Error("rank goes before everything")
	}
}
