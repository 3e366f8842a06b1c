package policy

import (
	"time"

	"github.com/expr-lang/expr"

	"robinstack/internal/job"
)

// jobEnv is what queue_order can refer to.
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
	LeftS       float64 `expr:"left_s"` // until the deadline
}

// Steps of the built-in order; within one, seconds decide.
const (
	rankStep  = 1e9
	groupStep = 1e6
)

// startTargetUrgencyS is how many seconds before the target for its start a job goes first.
const startTargetUrgencyS = 45

// setQueueOrder compiles queue_order and tries it on an empty job.
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

// QueueOrder is a job's place in the queue, higher first. age counts from its submission, as do
// completionTargets and startTarget (0: none). Operators may replace the built-in order; where
// their expression fails, jobs go by age.
//
// The built-in order is rank; jobs without a deadline by age; then those that can still meet the
// earliest of their completion targets, by when that is; those that can still meet the next; and
// last those that are too late for all. A job whose tasks should all have started soon by its
// start target goes before them: jobs that come later and can meet their targets would pass it by
// for ever.
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

// customOrder evaluates the operators' queue_order.
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
		return age.Seconds() // it was compiled to be a number
	}
	return order
}
