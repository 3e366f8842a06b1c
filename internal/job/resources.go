package job

import (
	"math"

	"robinstack/internal/cloud"
)

// Resources are amounts of machine resources, such as what a task requires or what a machine has
// free.
type Resources struct {
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"gpus"`
	MemoryGB float64 `json:"mem_gb"`
}

// Need is an alias of Resources. Spec embeds Resources under this name, because gob sends the name
// of the embedded field. Nothing else uses the alias.
type Need = Resources

// roundingTolerance is added to what is available before amounts are compared, because sums of
// fractions are inexact.
const roundingTolerance = 1e-9

// Capacity returns the resources of an empty machine of the given type.
func Capacity(t cloud.MachineType) Resources {
	return Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// amountPair holds the required and the available amount of one resource.
type amountPair struct{ required, available float64 }

func (r Resources) pairs(available Resources) [3]amountPair {
	return [...]amountPair{{r.CPUs, available.CPUs}, {r.GPUs, available.GPUs}, {r.MemoryGB, available.MemoryGB}}
}

// FitsIn reports whether r fits into the free resources.
func (r Resources) FitsIn(free Resources) bool {
	for _, amount := range r.pairs(free) {
		fits := amount.required <= amount.available+roundingTolerance
		if !fits {
			return false
		}
	}
	return true
}

// AddScaled returns r plus factor times other.
func (r Resources) AddScaled(other Resources, factor float64) Resources {
	return Resources{
		CPUs:     r.CPUs + factor*other.CPUs,
		GPUs:     r.GPUs + factor*other.GPUs,
		MemoryGB: r.MemoryGB + factor*other.MemoryGB,
	}
}

// DominantShare returns the largest share that r takes of any one resource of a capacity.
func (r Resources) DominantShare(capacity Resources) float64 {
	share := 0.0
	for _, amount := range r.pairs(capacity) {
		if amount.available > 0 {
			share = max(share, amount.required/amount.available)
		}
	}
	return share
}

// CountIn returns how many times r fits into the free resources, or MaxTasks if r requires none.
func (r Resources) CountIn(free Resources) int {
	count := math.Inf(1)
	for _, amount := range r.pairs(free) {
		if amount.required > 0 {
			count = min(count, math.Floor(amount.available/amount.required+roundingTolerance))
		}
	}
	if math.IsInf(count, 1) {
		return MaxTasks
	}
	return max(0, int(count))
}
