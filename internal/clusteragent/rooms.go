package clusteragent

import (
	"math/rand/v2"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// rooms keeps an agent's machines by the GPUs that are free on them. In a full
// fleet a draw would look at hundreds of machines and find a few with room; so it
// draws among those that may have it. The agent's mutex guards it.
type rooms struct {
	dirty map[*machine]bool // to be sorted in anew
	at    map[*machine]int
	by    [mostGPUs + 1]map[*machine]bool
}

// mostGPUs is the number of free GPUs up to which machines are told apart.
const mostGPUs = 16

func newRooms() *rooms {
	r := &rooms{dirty: map[*machine]bool{}, at: map[*machine]int{}}
	for k := range r.by {
		r.by[k] = map[*machine]bool{}
	}
	return r
}

func gpus(amount float64) int { return max(0, min(mostGPUs, int(amount+1e-9))) }

// refresh sorts in what has changed. Machines of unknown type, and with tasks of
// which it is not known yet what they need, are in no place.
func (r *rooms) refresh(types map[string]cloud.MachineType) {
	for m := range r.dirty {
		if k, ok := r.at[m]; ok {
			delete(r.by[k], m)
			delete(r.at, m)
		}
		t, known := types[m.typeName]
		if !known {
			continue // stays dirty until it is
		}
		delete(r.dirty, m)
		if free, known := m.room(job.Capacity(t)); known {
			k := gpus(free.GPUs)
			r.by[k][m], r.at[m] = true, k
		}
	}
}

func (r *rooms) remove(m *machine) {
	delete(r.dirty, m)
	if k, ok := r.at[m]; ok {
		delete(r.by[k], m)
		delete(r.at, m)
	}
}

// withRoom returns, in random order, the machines on which a task of such a need
// may have room, as far as GPUs decide that.
func (a *Agent) withRoom(need job.Need) []*machine {
	r := a.rooms
	r.refresh(a.types())
	var pool []*machine
	for k := gpus(need.GPUs); k < len(r.by); k++ {
		for m := range r.by[k] {
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
