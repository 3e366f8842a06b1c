package autoscaler

import (
	"cmp"
	"slices"

	"robinstack/internal/job"
)

// bin is a machine as the packing sees it: there already, or provisioning.
type bin struct {
	Pool
	name  string
	free  job.Resources
	empty bool
	used  bool // the packing put waiting tasks on it
}

// accepts reports whether a task of the group may and can go there.
func (b *bin) accepts(group *taskGroup) bool {
	if group.zone != "" && b.Zone != group.zone {
		return false
	}
	return group.spec.FitsIn(b.free) && group.spec.AllowsMachine(b.Type, b.Zone, b.Spot)
}

// packer puts waiting tasks into bins. It keeps the bins by their free GPUs, so that a task
// of a few looks at the fullest bins first, as the scheduler does it, and full ones are not
// looked at again for each job.
type packer struct {
	byGPUs    [][]*bin
	offers    []*offer
	requested map[Pool]int // machines to request
	available int          // machines that may still be requested, of all pools
}

// maxGPUBucket is the bucket of all bins with at least so many free GPUs.
const maxGPUBucket = 64

func gpuBucket(free job.Resources) int {
	const rounding = 1e-9 // sums of fractions are not exact
	return max(0, min(maxGPUBucket, int(free.GPUs+rounding)))
}

func newPacker(bins []*bin, offers []*offer, maxMachines int) *packer {
	p := &packer{
		byGPUs:    make([][]*bin, maxGPUBucket+1),
		offers:    offers,
		requested: map[Pool]int{},
		available: maxMachines,
	}
	for _, b := range bins {
		p.add(b)
	}
	return p
}

func (p *packer) add(b *bin) {
	bucket := gpuBucket(b.free)
	p.byGPUs[bucket] = append(p.byGPUs[bucket], b)
}

// countUnplaced returns how many of a group's tasks the bins have no capacity for.
func (p *packer) countUnplaced(group *taskGroup) int {
	left := group.tasks
	for bucket := gpuBucket(group.spec.Need); bucket < len(p.byGPUs); bucket++ {
		for _, b := range p.byGPUs[bucket] {
			if left == 0 {
				return 0
			}
			if b.accepts(group) {
				left -= min(left, group.spec.CountIn(b.free))
			}
		}
	}
	return left
}

// place puts the group's tasks into bins as far as they go and returns how many are left.
func (p *packer) place(group *taskGroup) int {
	left := group.tasks
	for bucket := gpuBucket(group.spec.Need); bucket < len(p.byGPUs) && left > 0; bucket++ {
		left = p.placeInBucket(bucket, group, left)
	}
	return left
}

func (p *packer) placeInBucket(bucket int, group *taskGroup, left int) int {
	moved := false
	for _, b := range p.byGPUs[bucket] {
		if left == 0 {
			break
		}
		if !b.accepts(group) {
			continue
		}
		n := min(left, group.spec.CountIn(b.free))
		left -= n
		b.free = b.free.AddScaled(group.spec.Need, -float64(n))
		b.used = true
		moved = moved || gpuBucket(b.free) != bucket
	}
	if moved {
		p.rebucket(bucket)
	}
	return left
}

// rebucket moves the bins of a bucket that have fewer free GPUs by now to their own.
func (p *packer) rebucket(bucket int) {
	kept := p.byGPUs[bucket][:0]
	for _, b := range p.byGPUs[bucket] {
		if gpuBucket(b.free) == bucket {
			kept = append(kept, b)
		} else {
			p.add(b)
		}
	}
	p.byGPUs[bucket] = kept
}

// request asks for the machines that so many of the group's tasks need beyond the bins.
func (p *packer) request(group *taskGroup, left int) {
	for left > 0 && p.available > 0 {
		o, fits := cheapestOffer(p.offers, group)
		if fits == 0 {
			return
		}
		placed := min(fits, left)
		free := o.capacity.AddScaled(group.spec.Need, -float64(placed))
		p.add(&bin{Pool: o.Pool, free: free, used: true})
		p.requested[o.Pool]++
		p.available--
		o.available--
		left -= placed
	}
}

// noOfferPenalty puts zones without machines to request behind all others.
const noOfferPenalty = job.MaxTasks

// bestZone picks the zone for a gang that must be in one: that in which most of it has
// capacity, among those in which machines can be had for the rest.
func (p *packer) bestZone(group taskGroup, zones map[string]bool) string {
	best, leastLeft := "", 0
	for zone := range zones {
		group.zone = zone
		left := p.countUnplaced(&group)
		if left > 0 {
			if _, fits := cheapestOffer(p.offers, &group); fits == 0 {
				left += noOfferPenalty
			}
		}
		if best == "" || left < leastLeft || left == leastLeft && zone < best {
			best, leastLeft = zone, left
		}
	}
	return best
}

// gpuOrderWeight has the jobs of a priority packed by the GPUs of a task first and by their
// age in seconds second.
const gpuOrderWeight = 1e6

func comparePackingOrder(a, b Demand) int {
	weight := func(d *Demand) float64 { return d.Spec.GPUs*gpuOrderWeight + d.AgeS }
	return cmp.Or(
		cmp.Compare(b.Spec.Priority(), a.Spec.Priority()),
		cmp.Compare(weight(&b), weight(&a)),
	)
}

// pack puts waiting tasks into bins and says how many machines of each pool to request for
// the rest. Bins are marked used where something was put. backlog is the size of what found
// no capacity in them, of the jobs that can wait for turnover.
func pack(
	demands []Demand, bins []*bin, turnover turnover, offers []*offer, maxMachines int,
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
			maxCostRatio: costRatioLimit(d, turnover.growing),
		}
		if group.tasks <= 0 {
			continue
		}
		if group.zone == "" && d.Spec.OneZone && d.Spec.Shape == job.Gang {
			group.zone = p.bestZone(group, zones)
		}
		left := p.place(&group)
		if left == 0 {
			continue
		}
		if turnover.canServe(d) {
			backlog += float64(left) * placeSize(d.Spec.Need)
		}
		p.request(&group, left-turnover.promise(d, left))
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
