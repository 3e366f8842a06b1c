// Package policy holds what operators may set beyond the platform's file: a
// file of lines "name = expression", checked before the service starts.
package policy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"

	"robinstack/internal/job"
)

// Policy is the operators' settings, with defaults that serve any deployment.
type Policy struct {
	SampleControllerShare float64       // share of the controllers asked for samples (C_p)
	SampleMachineShare    float64       // share of its machines that each samples (N_p)
	SampleMinMachines     int           // machines that each samples at least, if it has as many
	SampleTimeout         time.Duration // how long sampling may take
	MultiBind             int           // candidates tried in the commit phase (m)
	ResampleDelay         time.Duration // pause before a job without a place samples again
	ScaleInIdleTime       time.Duration // idle time after which a machine is returned
	WarmTasksPerGangClass int           // tasks of each class of gangs for which room is kept ready
	Preemption            bool          // stop tasks of lower priority to make room for gangs
	ClassFairShare        bool          // but not of a class that waits with less than its part

	RolloutSoak           time.Duration // how long all controllers have to have stood before the level rises
	RolloutAbsenceTimeout time.Duration // how long one that is away is waited for
	RolloutHold           bool          // the level does not rise by itself

	order *vm.Program // queue_order, nil for the built-in order
}

// Default returns the policy that holds where operators set nothing.
func Default() *Policy {
	return &Policy{SampleControllerShare: 1, SampleMachineShare: 0.04, SampleMinMachines: 48, SampleTimeout: time.Second, MultiBind: 3, ResampleDelay: time.Second, ScaleInIdleTime: 25 * time.Second, WarmTasksPerGangClass: 2, Preemption: true, ClassFairShare: true,
		RolloutSoak: 30 * time.Second, RolloutAbsenceTimeout: 10 * time.Minute}
}

// jobEnv is what queue_order can refer to.
type jobEnv struct {
	Rank      int     `expr:"rank"` // 3 production, 2 high, 1 normal, 0 best effort
	Class     string  `expr:"class"`
	Team      string  `expr:"team"`
	Tasks     int     `expr:"tasks"`
	GPUs      float64 `expr:"gpus"`
	CPUs      float64 `expr:"cpus"`
	AgeS      float64 `expr:"age_s"`
	EstimateS float64 `expr:"estimate_s"`
	HasDue    bool    `expr:"has_deadline"`
	LeftS     float64 `expr:"left_s"` // until the deadline
}

// number declares a setting that is a number within bounds.
type number struct {
	least, most float64
	set         func(*Policy, float64)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

var numbers = map[string]number{
	"sample_controllers": {0.01, 1, func(p *Policy, v float64) { p.SampleControllerShare = v }},
	"sample_machines":    {0.01, 1, func(p *Policy, v float64) { p.SampleMachineShare = v }},
	"sample_least":       {1, 10000, func(p *Policy, v float64) { p.SampleMinMachines = int(v) }},
	"sample_timeout_s":   {0.05, 10, func(p *Policy, v float64) { p.SampleTimeout = seconds(v) }},
	"multibind":          {1, 20, func(p *Policy, v float64) { p.MultiBind = int(v) }},
	"retry_s":            {0.1, 60, func(p *Policy, v float64) { p.ResampleDelay = seconds(v) }},
	"warm_gangs":         {0, 100, func(p *Policy, v float64) { p.WarmTasksPerGangClass = int(v) }},
	"idle_return_s":      {1, 86400, func(p *Policy, v float64) { p.ScaleInIdleTime = seconds(v) }},
	"rollout_soak_s":     {1, 7 * 86400, func(p *Policy, v float64) { p.RolloutSoak = seconds(v) }},
	"rollout_absent_s":   {0, 30 * 86400, func(p *Policy, v float64) { p.RolloutAbsenceTimeout = seconds(v) }},
}

// switches are the settings that are on or off.
var switches = map[string]func(*Policy) *bool{
	"class_parts":  func(p *Policy) *bool { return &p.ClassFairShare },
	"preempt":      func(p *Policy) *bool { return &p.Preemption },
	"rollout_hold": func(p *Policy) *bool { return &p.RolloutHold },
}

// Load reads a policy file; an error names the file, line and column.
func Load(path string) (*Policy, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading policy: %w", err)
	}
	return Parse(path, raw)
}

// Parse checks a policy and compiles its expressions.
func Parse(path string, raw []byte) (*Policy, error) {
	p := Default()
	var errs []error
	seen := map[string]bool{}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for n := 1; lines.Scan(); n++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if strings.TrimSpace(text) == "" {
			continue
		}
		name, source, ok := strings.Cut(text, "=")
		column := len(name) + 2
		name = strings.TrimSpace(name)
		at := func(col int, err error) {
			errs = append(errs, fmt.Errorf("%s:%d:%d: %s: %w", path, n, col, name, err))
		}
		if !ok {
			at(1, errors.New(`expected "name = expression"`))
			continue
		}
		if seen[name] {
			at(1, errors.New("is set twice"))
			continue
		}
		seen[name] = true
		if err := p.set(name, source); err != nil {
			var fe *file.Error
			if errors.As(err, &fe) {
				at(column+fe.Column, errors.New(fe.Message))
			} else {
				at(column, err)
			}
		}
	}
	if err := errors.Join(append(errs, lines.Err())...); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Policy) set(name, source string) error {
	switch num, ok := numbers[name]; {
	case ok:
		v, err := constant(source, expr.AsFloat64())
		if err != nil {
			return err
		}
		if f := v.(float64); f < num.least || f > num.most {
			return fmt.Errorf("%v is not within %v to %v", f, num.least, num.most)
		}
		num.set(p, v.(float64))
	case switches[name] != nil:
		v, err := constant(source, expr.AsBool())
		if err != nil {
			return err
		}
		*switches[name](p) = v.(bool)
	case name == "queue_order":
		program, err := expr.Compile(source, expr.Env(jobEnv{}), expr.AsFloat64())
		if err != nil {
			return err
		}
		if _, err := expr.Run(program, jobEnv{}); err != nil {
			return err
		}
		p.order = program
	default:
		return errors.New("is no setting")
	}
	return nil
}

func constant(source string, kind expr.Option) (any, error) {
	program, err := expr.Compile(source, expr.Env(struct{}{}), kind)
	if err != nil {
		return nil, err
	}
	return expr.Run(program, struct{}{})
}

// soon is the time in seconds before the aim for its wait from which on a job goes first.
const soon = 45

// QueueOrder puts jobs in the queue's order, higher first. The built-in order is
// rank; jobs without a deadline by age; then those that can still meet the
// earliest of limits, by when that is; those that can still meet the next; and
// last those that are too late for all. A job whose tasks should all have started
// soon by the users' aim, wait after its submission (0: none), goes before them: jobs
// that come later and can meet their limits would pass it by for ever.
func (p *Policy) QueueOrder(spec *job.Spec, age time.Duration, limits []time.Duration, wait time.Duration) float64 {
	if p.order != nil {
		env := jobEnv{Rank: spec.Priority(), Class: spec.Class, Team: spec.Team, Tasks: spec.Tasks, GPUs: spec.GPUs, CPUs: spec.CPUs,
			AgeS: age.Seconds(), EstimateS: spec.EstimateS, HasDue: spec.DeadlineS != nil}
		if env.HasDue {
			env.LeftS = *spec.DeadlineS - env.AgeS
		}
		if v, err := expr.Run(p.order, env); err == nil {
			return v.(float64)
		}
		return age.Seconds()
	}
	const ranks, classes = 1e9, 1e6
	order := float64(spec.Priority()) * ranks
	if spec.DeadlineS == nil {
		return order + classes + age.Seconds()
	}
	if left := (wait - age).Seconds(); left > 0 && left < soon {
		return order + 2*classes - left
	}
	for k, limit := range limits {
		if left := (limit - age).Seconds(); left >= spec.EstimateS {
			return order + classes/float64(k+1) - left
		}
	}
	return order + age.Seconds() - *spec.DeadlineS
}
