package clusteragent

import (
	"math/rand/v2"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// capacityIndex keeps an agent's machines by the GPUs that are free on them. In a full
// fleet a draw would look at hundreds of machines and find a few with capacity; so it
// draws among those that may have it. The agent's mutex guards it.
type capacityIndex struct {
	dirty    map[*ownedMachine]bool // to be sorted in anew
	bucketOf map[*ownedMachine]int
	buckets  [maxGPUBuckets + 1]map[*ownedMachine]bool
}

const (
	// maxGPUBuckets is the number of free GPUs up to which machines are told apart.
	maxGPUBuckets = 16
	// gpuRounding makes up for sums of fractions that fall short of a whole GPU.
	gpuRounding = 1e-9
)

func newCapacityIndex() *capacityIndex {
	r := &capacityIndex{dirty: map[*ownedMachine]bool{}, bucketOf: map[*ownedMachine]int{}}
	for k := range r.buckets {
		r.buckets[k] = map[*ownedMachine]bool{}
	}
	return r
}

func gpuBucket(amount float64) int { return max(0, min(maxGPUBuckets, int(amount+gpuRounding))) }

// markChanged notes that what is free on a machine may have changed.
func (r *capacityIndex) markChanged(m *ownedMachine) { r.dirty[m] = true }

// refresh sorts in what has changed. Machines of unknown type, and with tasks of
// which it is not known yet what they need, are in no bucket.
func (r *capacityIndex) refresh(types map[string]cloud.MachineType) {
	for m := range r.dirty {
		r.leaveBucket(m)
		t, known := types[m.Type]
		if !known {
			continue // stays dirty until it is
		}
		delete(r.dirty, m)
		if free, known := m.FreeCapacity(job.Capacity(t)); known {
			k := gpuBucket(free.GPUs)
			r.buckets[k][m], r.bucketOf[m] = true, k
		}
	}
}

func (r *capacityIndex) leaveBucket(m *ownedMachine) {
	if k, ok := r.bucketOf[m]; ok {
		delete(r.buckets[k], m)
		delete(r.bucketOf, m)
	}
}

func (r *capacityIndex) remove(m *ownedMachine) {
	delete(r.dirty, m)
	r.leaveBucket(m)
}

// draw returns, in random order, the machines on which a task of such a need may fit, as far
// as GPUs decide that. Those that are not owned any more it drops.
func (r *capacityIndex) draw(
	need job.Resources, types map[string]cloud.MachineType, owned func(*ownedMachine) bool,
) []*ownedMachine {
	r.refresh(types)
	var pool []*ownedMachine
	for k := gpuBucket(need.GPUs); k < len(r.buckets); k++ {
		for m := range r.buckets[k] {
			if !owned(m) || m.Deregistered() {
				r.remove(m) // given up or gone since
				continue
			}
			pool = append(pool, m)
		}
	}
	shuffle(pool)
	return pool
}

func shuffle(pool []*ownedMachine) {
	rand.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
}
