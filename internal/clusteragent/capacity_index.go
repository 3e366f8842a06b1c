package clusteragent

import (
	"math/rand/v2"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// capacityIndex groups an agent's machines by their number of free GPUs. In a full cluster, drawing
// from all machines would examine hundreds of them to find a few with capacity; with the index,
// only machines that may have capacity are drawn. Agent.mu guards it.
type capacityIndex struct {
	dirty    map[*ownedMachine]bool // machines to be assigned to a bucket again
	bucketOf map[*ownedMachine]int
	buckets  [maxGPUBucket + 1]map[*ownedMachine]bool
}

const (
	// maxGPUBucket is the last bucket: it holds all machines with this many free GPUs or more.
	maxGPUBucket = 16
	// gpuEpsilon compensates for rounding errors in sums of fractional GPUs.
	gpuEpsilon = 1e-9
)

func newCapacityIndex() *capacityIndex {
	index := &capacityIndex{dirty: map[*ownedMachine]bool{}, bucketOf: map[*ownedMachine]int{}}
	for k := range index.buckets {
		index.buckets[k] = map[*ownedMachine]bool{}
	}
	return index
}

func gpuBucket(gpus float64) int { return max(0, min(maxGPUBucket, int(gpus+gpuEpsilon))) }

// markChanged records that the free capacity of a machine may have changed.
func (c *capacityIndex) markChanged(m *ownedMachine) { c.dirty[m] = true }

// refresh assigns changed machines to their buckets. Machines of unknown type, and machines with a
// task whose needs are not known yet, are in no bucket.
func (c *capacityIndex) refresh(types map[string]cloud.MachineType) {
	for m := range c.dirty {
		c.removeFromBucket(m)
		t, known := types[m.Type]
		if !known {
			continue // stays dirty until the type is known
		}
		delete(c.dirty, m)
		if free, known := m.FreeCapacity(job.Capacity(t)); known {
			bucket := gpuBucket(free.GPUs)
			c.buckets[bucket][m], c.bucketOf[m] = true, bucket
		}
	}
}

func (c *capacityIndex) removeFromBucket(m *ownedMachine) {
	if bucket, ok := c.bucketOf[m]; ok {
		delete(c.buckets[bucket], m)
		delete(c.bucketOf, m)
	}
}

func (c *capacityIndex) remove(m *ownedMachine) {
	delete(c.dirty, m)
	c.removeFromBucket(m)
}

// draw returns, in random order, the machines with enough free GPUs for a task with the given need.
// It removes machines that are no longer owned from the index.
func (c *capacityIndex) draw(
	need job.Resources, types map[string]cloud.MachineType, owned func(*ownedMachine) bool,
) []*ownedMachine {
	c.refresh(types)
	var machines []*ownedMachine
	for bucket := gpuBucket(need.GPUs); bucket < len(c.buckets); bucket++ {
		for m := range c.buckets[bucket] {
			if !owned(m) || m.Deregistered() {
				c.remove(m) // released or deregistered
				continue
			}
			machines = append(machines, m)
		}
	}
	shuffle(machines)
	return machines
}

func shuffle(machines []*ownedMachine) {
	rand.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
}
