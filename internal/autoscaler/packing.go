package autoscaler

import (
	"cmp"
	"slices"

	"robinstack/internal/job"
)

// bin is an existing or provisioning machine as seen by the packing.
type bin struct {
	Pool
	name  string
	free  job.Resources
	empty bool
	used  bool // whether the packing placed waiting tasks on the machine
}

// accepts reports whether the job allows the machine and a task of the group fits into its free
// capacity.
func (b *bin) accepts(group *taskGroup) bool {
	if group.zone != "" && b.Zone != group.zone {
		return false
	}
	return group.spec.FitsIn(b.free) && group.spec.AllowsMachine(b.Type, b.Zone, b.Spot)
}

// packer places waiting tasks into bins. It groups the bins by free GPUs. Tasks that need few GPUs
// try the fullest bins first, as in the scheduler, and full bins are not scanned again for each
// job.
type packer struct {
	binsByGPUs        [][]*bin
	offers            []*offer
	requested         map[Pool]int // number of machines to request, by pool
	remainingMachines int          // number of machines that may still be requested, over all pools
}

// maxGPUBucket is the index of the bucket of all bins with at least that many free GPUs.
const maxGPUBucket = 64

func gpuBucket(free job.Resources) int {
	const rounding = 1e-9 // sums of fractions are not exact
	return max(0, min(maxGPUBucket, int(free.GPUs+rounding)))
}

func newPacker(bins []*bin, offers []*offer, maxMachines int) *packer {
	p := &packer{
		binsByGPUs:        make([][]*bin, maxGPUBucket+1),
		offers:            offers,
		requested:         map[Pool]int{},
		remainingMachines: maxMachines,
	}
	for _, b := range bins {
		p.add(b)
	}
	return p
}

func (p *packer) add(b *bin) {
	bucket := gpuBucket(b.free)
	p.binsByGPUs[bucket] = append(p.binsByGPUs[bucket], b)
}

// countUnplaced returns the number of a group's tasks that do not fit into the bins.
func (p *packer) countUnplaced(group *taskGroup) int {
	unplaced := group.tasks
	for bucket := gpuBucket(group.spec.Need); bucket < len(p.binsByGPUs); bucket++ {
		for _, b := range p.binsByGPUs[bucket] {
			if unplaced == 0 {
				return 0
			}
			if b.accepts(group) {
				unplaced -= min(unplaced, group.spec.CountIn(b.free))
			}
		}
	}
	return unplaced
}

// place puts as many of the group's tasks as possible into bins and returns the number of tasks
// left.
func (p *packer) place(group *taskGroup) int {
	unplaced := group.tasks
	for bucket := gpuBucket(group.spec.Need); bucket < len(p.binsByGPUs) && unplaced > 0; bucket++ {
		unplaced = p.placeInBucket(bucket, group, unplaced)
	}
	return unplaced
}

func (p *packer) placeInBucket(bucket int, group *taskGroup, unplaced int) int {
	moved := false
	for _, b := range p.binsByGPUs[bucket] {
		if unplaced == 0 {
			break
		}
		if !b.accepts(group) {
			continue
		}
		n := min(unplaced, group.spec.CountIn(b.free))
		unplaced -= n
		b.free = b.free.AddScaled(group.spec.Need, -float64(n))
		b.used = true
		moved = moved || gpuBucket(b.free) != bucket
	}
	if moved {
		p.rebucket(bucket)
	}
	return unplaced
}

// rebucket moves the bins of a bucket whose number of free GPUs has fallen to the matching buckets.
func (p *packer) rebucket(bucket int) {
	kept := p.binsByGPUs[bucket][:0]
	for _, b := range p.binsByGPUs[bucket] {
		if gpuBucket(b.free) == bucket {
			kept = append(kept, b)
		} else {
			p.add(b)
		}
	}
	p.binsByGPUs[bucket] = kept
}

// requestMachines adds the cheapest machines for the tasks of a group that the bins have no room
// for, as far as the offers and the limit of the plan allow.
func (p *packer) requestMachines(group *taskGroup, unplaced int) {
	for unplaced > 0 && p.remainingMachines > 0 {
		o, fits := cheapestOffer(p.offers, group)
		if fits == 0 {
			return
		}
		placed := min(fits, unplaced)
		free := o.capacity.AddScaled(group.spec.Need, -float64(placed))
		p.add(&bin{Pool: o.Pool, free: free, used: true})
		p.requested[o.Pool]++
		p.remainingMachines--
		o.available--
		unplaced -= placed
	}
}

// noOfferPenalty ranks zones in which no machine can be requested behind all other zones.
const noOfferPenalty = job.MaxTasks

// bestZone selects the zone for a gang that must be in one zone: the zone with the fewest unplaced
// tasks, preferring zones in which machines can be requested for those tasks.
func (p *packer) bestZone(group taskGroup, zones map[string]bool) string {
	best, fewestUnplaced := "", 0
	for zone := range zones {
		group.zone = zone
		unplaced := p.countUnplaced(&group)
		if unplaced > 0 {
			if _, fits := cheapestOffer(p.offers, &group); fits == 0 {
				unplaced += noOfferPenalty
			}
		}
		if best == "" || unplaced < fewestUnplaced || unplaced == fewestUnplaced && zone < best {
			best, fewestUnplaced = zone, unplaced
		}
	}
	return best
}

// gpuOrderWeight makes jobs of equal priority sort by the GPUs of a task first and by age in
// seconds second.
const gpuOrderWeight = 1e6

func comparePackingOrder(a, b Demand) int {
	weight := func(d *Demand) float64 { return d.Spec.GPUs*gpuOrderWeight + d.AgeS }
	return cmp.Or(
		cmp.Compare(b.Spec.Priority(), a.Spec.Priority()),
		cmp.Compare(weight(&b), weight(&a)),
	)
}

// pack places waiting tasks into bins and returns the number of machines to request for the
// remaining tasks, by pool. It marks the bins that received tasks as used. backlog is the size, in
// GPU equivalents, of the unplaced tasks of jobs that can wait for capacity that running tasks
// free.
func pack(
	demands []Demand, bins []*bin, freedCapacity freedCapacityForecast, offers []*offer, maxMachines int,
) (requested map[Pool]int, backlog float64) {
	slices.SortStableFunc(demands, comparePackingOrder)
	slices.SortStableFunc(bins, func(a, b *bin) int { return cmp.Compare(a.name, b.name) })
	zones := zonesOf(bins, offers)
	p := newPacker(bins, offers, maxMachines)
	for i := range demands {
		d := &demands[i]
		group := taskGroup{
			spec:         &d.Spec,
			zone:         d.Zone,
			tasks:        concurrentTasks(d),
			maxCostRatio: costRatioLimit(d, freedCapacity.growing),
		}
		if group.tasks <= 0 {
			continue
		}
		if group.zone == "" && d.Spec.OneZone && d.Spec.Shape == job.Gang {
			group.zone = p.bestZone(group, zones)
		}
		unplaced := p.place(&group)
		if unplaced == 0 {
			continue
		}
		if freedCapacity.appliesTo(d) {
			backlog += float64(unplaced) * gpuEquivalents(d.Spec.Need)
		}
		p.requestMachines(&group, unplaced-freedCapacity.reserve(d, unplaced))
	}
	return p.requested, backlog
}

func zonesOf(bins []*bin, offers []*offer) map[string]bool {
	zones := map[string]bool{}
	for _, b := range bins {
		zones[b.Zone] = true
	}
	for _, o := range offers {
		zones[o.Zone] = true
	}
	return zones
}
