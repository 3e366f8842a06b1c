package job

import (
	"math"

	"robinstack/internal/cloud"
)

// Resources are amounts of what machines have: what a task needs, or what is free.
type Resources struct {
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"gpus"`
	MemoryGB float64 `json:"mem_gb"`
}

// Need is another name of Resources. Spec embeds it under this name, which gob sends as
// the field's name; nothing else uses it.
type Need = Resources

// roundingSlack is how far amounts may be beyond what holds them: sums of fractions are
// not exact.
const roundingSlack = 1e-9

// Capacity returns the resources of an empty machine of a type.
func Capacity(t cloud.MachineType) Resources {
	return Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// amountPair is the amount of one resource here and in another value.
type amountPair struct{ own, other float64 }

func (r Resources) pairs(other Resources) [3]amountPair {
	return [...]amountPair{{r.CPUs, other.CPUs}, {r.GPUs, other.GPUs}, {r.MemoryGB, other.MemoryGB}}
}

// FitsIn reports whether r fits into free resources.
func (r Resources) FitsIn(free Resources) bool {
	for _, amount := range r.pairs(free) {
		fits := amount.own <= amount.other+roundingSlack
		if !fits {
			return false
		}
	}
	return true
}

// AddScaled returns r plus times as much as other.
func (r Resources) AddScaled(other Resources, times float64) Resources {
	return Resources{
		CPUs:     r.CPUs + times*other.CPUs,
		GPUs:     r.GPUs + times*other.GPUs,
		MemoryGB: r.MemoryGB + times*other.MemoryGB,
	}
}

// DominantShare is the share of a capacity that r takes: the largest of its amounts.
func (r Resources) DominantShare(capacity Resources) float64 {
	share := 0.0
	for _, amount := range r.pairs(capacity) {
		if amount.other > 0 {
			share = max(share, amount.own/amount.other)
		}
	}
	return share
}

// CountIn is how many times r fits into free resources; MaxTasks if it takes nothing.
func (r Resources) CountIn(free Resources) int {
	count := math.Inf(1)
	for _, amount := range r.pairs(free) {
		if amount.own > 0 {
			count = min(count, math.Floor(amount.other/amount.own+roundingSlack))
		}
	}
	if math.IsInf(count, 1) {
		return MaxTasks
	}
	return max(0, int(count))
}
