package policy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/file"

	"robinstack/internal/config"
)

// queueOrderSetting is the setting whose expression is evaluated for each job.
const queueOrderSetting = "queue_order"

// numberSetting is a numeric setting with its bounds.
type numberSetting struct {
	min, max float64
	set      func(*Policy, float64)
}

const (
	secondsPerDay = 86400
	daysPerWeek   = 7
	daysPerMonth  = 30
)

// numberSettings are the numeric settings by name.
var numberSettings = map[string]numberSetting{
	"sample_controllers": {0.01, 1, func(p *Policy, v float64) { p.SampleControllerShare = v }},
	"sample_machines":    {0.01, 1, func(p *Policy, v float64) { p.SampleMachineShare = v }},
	"sample_least":       {1, 10000, func(p *Policy, v float64) { p.SampleMinMachines = int(v) }},
	"sample_timeout_s":   {0.05, 10, func(p *Policy, v float64) { p.SampleTimeout = config.Seconds(v) }},
	"multibind":          {1, 20, func(p *Policy, v float64) { p.MultiBind = int(v) }},
	"retry_s":            {0.1, 60, func(p *Policy, v float64) { p.ResampleDelay = config.Seconds(v) }},
	"warm_gangs":         {0, 100, func(p *Policy, v float64) { p.WarmTasksPerGangClass = int(v) }},
	"idle_return_s":      {1, secondsPerDay, func(p *Policy, v float64) { p.ScaleInIdleTime = config.Seconds(v) }},
	"rollout_soak_s": {1, daysPerWeek * secondsPerDay, func(p *Policy, v float64) {
		p.RolloutSoak = config.Seconds(v)
	}},
	"rollout_absent_s": {0, daysPerMonth * secondsPerDay, func(p *Policy, v float64) {
		p.RolloutAbsenceTimeout = config.Seconds(v)
	}},
}

// boolSettings are the boolean settings by name.
var boolSettings = map[string]func(*Policy) *bool{
	"class_parts":  func(p *Policy) *bool { return &p.ClassFairShare },
	"preempt":      func(p *Policy) *bool { return &p.Preemption },
	"rollout_hold": func(p *Policy) *bool { return &p.RolloutHold },
}

// Load reads a policy file. Its error names the file, line and column of each mistake.
func Load(path string) (*Policy, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading policy: %w", err)
	}
	return Parse(path, raw)
}

// Parse checks a policy and compiles its expressions. Its error names the path, line and column of
// each mistake.
func Parse(path string, raw []byte) (*Policy, error) {
	p := Default()
	var errs []error
	seen := map[string]bool{}
	scanner := bufio.NewScanner(bytes.NewReader(raw))
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		text, _, _ := strings.Cut(scanner.Text(), "#")
		if strings.TrimSpace(text) == "" {
			continue
		}
		if err := p.parseLine(text, seen); err != nil {
			errs = append(errs, fmt.Errorf("%s:%d:%w", path, lineNumber, err))
		}
	}
	if err := errors.Join(append(errs, scanner.Err())...); err != nil {
		return nil, err
	}
	return p, nil
}

// parseLine applies one line, without its comment. seen holds the names set so far. The error text
// begins with the column.
func (p *Policy) parseLine(text string, seen map[string]bool) error {
	left, source, ok := strings.Cut(text, "=")
	name := strings.TrimSpace(left)
	errorAt := func(column int, err error) error { return fmt.Errorf("%d: %s: %w", column, name, err) }
	if !ok {
		return errorAt(1, errors.New(`expected "name = expression"`))
	}
	if seen[name] {
		return errorAt(1, errors.New("is set twice"))
	}
	seen[name] = true
	err := p.set(name, source)
	if err == nil {
		return nil
	}
	sourceColumn := len(left) + 2 // columns count from 1, and the "=" takes up one
	var exprErr *file.Error
	if errors.As(err, &exprErr) {
		return errorAt(sourceColumn+exprErr.Column, errors.New(exprErr.Message))
	}
	return errorAt(sourceColumn, err)
}

// set evaluates or compiles the expression of a setting and applies the result.
func (p *Policy) set(name, source string) error {
	if number, ok := numberSettings[name]; ok {
		return p.setNumber(number, source)
	}
	if field, ok := boolSettings[name]; ok {
		value, err := evaluateConstant[bool](source, expr.AsBool())
		if err == nil {
			*field(p) = value
		}
		return err
	}
	if name == queueOrderSetting {
		return p.setQueueOrder(source)
	}
	return errors.New("is no setting")
}

func (p *Policy) setNumber(number numberSetting, source string) error {
	value, err := evaluateConstant[float64](source, expr.AsFloat64())
	if err != nil {
		return err
	}
	if value < number.min || value > number.max {
		return fmt.Errorf("%v is not within %v to %v", value, number.min, number.max)
	}
	number.set(p, value)
	return nil
}

// evaluateConstant evaluates an expression without variables. resultType is the option with which
// expr checks that the value is a T.
func evaluateConstant[T any](source string, resultType expr.Option) (T, error) {
	var zero T
	program, err := expr.Compile(source, expr.Env(struct{}{}), resultType)
	if err != nil {
		return zero, err
	}
	value, err := expr.Run(program, struct{}{})
	if err != nil {
		return zero, err
	}
	typed, ok := value.(T)
	if !ok {
		return zero, fmt.Errorf("%v is no %T", value, zero)
	}
	return typed, nil
}
