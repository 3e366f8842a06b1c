package clusteragent

import (
	"math/rand/v2"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// capacityIndex keeps an agent's machines by the GPUs that are free on them. In a full
// fleet a draw would look at hundreds of machines and find a few with room; so it
// draws among those that may have it. The agent's mutex guards it.
type capacityIndex struct {
	dirty    map[*machine]bool // to be sorted in anew
	bucketOf map[*machine]int
	buckets  [maxGPUBuckets + 1]map[*machine]bool
}

// maxGPUBuckets is the number of free GPUs up to which machines are told apart.
const maxGPUBuckets = 16

func newCapacityIndex() *capacityIndex {
	r := &capacityIndex{dirty: map[*machine]bool{}, bucketOf: map[*machine]int{}}
	for k := range r.buckets {
		r.buckets[k] = map[*machine]bool{}
	}
	return r
}

func gpuBucket(amount float64) int { return max(0, min(maxGPUBuckets, int(amount+1e-9))) }

// refresh sorts in what has changed. Machines of unknown type, and with tasks of
// which it is not known yet what they need, are in no place.
func (r *capacityIndex) refresh(types map[string]cloud.MachineType) {
	for m := range r.dirty {
		if k, ok := r.bucketOf[m]; ok {
			delete(r.buckets[k], m)
			delete(r.bucketOf, m)
		}
		t, known := types[m.typeName]
		if !known {
			continue // stays dirty until it is
		}
		delete(r.dirty, m)
		if free, known := m.freeCapacity(job.Capacity(t)); known {
			k := gpuBucket(free.GPUs)
			r.buckets[k][m], r.bucketOf[m] = true, k
		}
	}
}

func (r *capacityIndex) remove(m *machine) {
	delete(r.dirty, m)
	if k, ok := r.bucketOf[m]; ok {
		delete(r.buckets[k], m)
		delete(r.bucketOf, m)
	}
}

// machinesWithCapacity returns, in random order, the machines on which a task of such a need
// may have room, as far as GPUs decide that.
func (a *Agent) machinesWithCapacity(need job.Need) []*machine {
	r := a.capacityIndex
	r.refresh(a.types())
	var pool []*machine
	for k := gpuBucket(need.GPUs); k < len(r.buckets); k++ {
		for m := range r.buckets[k] {
			if a.machines[m.name] != m || m.gone {
				r.remove(m) // given up or gone since
				continue
			}
			pool = append(pool, m)
		}
	}
	rand.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	return pool
}
