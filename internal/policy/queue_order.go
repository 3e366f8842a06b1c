package policy

import (
	"time"

	"github.com/expr-lang/expr"

	"robinstack/internal/job"
)

// jobEnv holds the variables that queue_order can use.
type jobEnv struct {
	Rank        int     `expr:"rank"` // 3 production, 2 high, 1 normal, 0 best effort
	Class       string  `expr:"class"`
	Team        string  `expr:"team"`
	Tasks       int     `expr:"tasks"`
	GPUs        float64 `expr:"gpus"`
	CPUs        float64 `expr:"cpus"`
	AgeS        float64 `expr:"age_s"`
	EstimateS   float64 `expr:"estimate_s"`
	HasDeadline bool    `expr:"has_deadline"`
	LeftS       float64 `expr:"left_s"` // seconds until the deadline
}

// Distances between ranks, and between the groups within a rank, in the built-in order. Within a
// group, seconds decide.
const (
	rankStep  = 1e9
	groupStep = 1e6
)

// startTargetUrgencyS is how many seconds before its start target a job with a deadline goes ahead
// of all other jobs of its rank.
const startTargetUrgencyS = 45

// setQueueOrder compiles queue_order and evaluates it once for an empty job.
func (p *Policy) setQueueOrder(source string) error {
	program, err := expr.Compile(source, expr.Env(jobEnv{}), expr.AsFloat64())
	if err != nil {
		return err
	}
	if _, err := expr.Run(program, jobEnv{}); err != nil {
		return err
	}
	p.queueOrder = program
	return nil
}

// QueueOrder returns a job's place in the queue: jobs with higher values go first. age,
// completionTargets and startTarget (0: none) count from the moment when the job became ready, or
// from its submission if it has no dependencies. Operators may replace the built-in order; if their
// expression fails, jobs go by age.
//
// The built-in order goes by rank first. Within a rank, jobs without a deadline come first, by age;
// then jobs that can still meet the earliest of their completion targets, by the time left until
// it; then those that can still meet the next one, and so on; and last those that are too late for
// all targets. A job with a deadline goes ahead of all these groups shortly before its start
// target: otherwise later jobs that can meet their completion targets would always go before it.
func (p *Policy) QueueOrder(
	spec *job.Spec, age time.Duration, completionTargets []time.Duration, startTarget time.Duration,
) float64 {
	if p.queueOrder != nil {
		return p.customOrder(spec, age)
	}
	order := float64(spec.Priority()) * rankStep
	if spec.DeadlineS == nil {
		return order + groupStep + age.Seconds()
	}
	if left := (startTarget - age).Seconds(); left > 0 && left < startTargetUrgencyS {
		return order + 2*groupStep - left
	}
	for k, target := range completionTargets {
		if left := (target - age).Seconds(); left >= spec.EstimateS {
			return order + groupStep/float64(k+1) - left
		}
	}
	return order + age.Seconds() - *spec.DeadlineS
}

// customOrder evaluates the operators' queue_order, or returns the age in seconds if that fails.
func (p *Policy) customOrder(spec *job.Spec, age time.Duration) float64 {
	env := jobEnv{
		Rank:        spec.Priority(),
		Class:       spec.Class,
		Team:        spec.Team,
		Tasks:       spec.Tasks,
		GPUs:        spec.GPUs,
		CPUs:        spec.CPUs,
		AgeS:        age.Seconds(),
		EstimateS:   spec.EstimateS,
		HasDeadline: spec.DeadlineS != nil,
	}
	if env.HasDeadline {
		env.LeftS = *spec.DeadlineS - env.AgeS
	}
	value, err := expr.Run(p.queueOrder, env)
	if err != nil {
		return age.Seconds()
	}
	order, ok := value.(float64)
	if !ok {
		return age.Seconds() // does not occur: the expression is compiled to return a number
	}
	return order
}
