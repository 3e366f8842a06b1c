package leader

import (
	"cmp"
	"slices"
	"time"

	"robinstack/internal/autoscaler"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// bin is a machine as the plan sees it: there already, or booting.
type bin struct {
	name     string
	typeName string
	zone     string
	spot     bool
	free     job.Need
	empty    bool
	used     bool // the plan put waiting tasks on it
}

// pool is a kind of machine that can be rented.
type pool struct {
	typeName string
	zone     string
	spot     bool
}

// offer is a pool with what the plan needs to know of it.
type offer struct {
	pool
	capacity job.Need
	price    float64
	boot     time.Duration
	left     int // machines that may be asked for now
}

// offers lists what may be rented, the cheapest machines first. limit says how
// many of a pool may be asked for.
func offers(types map[string]cloud.MachineType, limit func(pool) int) []*offer {
	var out []*offer
	for _, t := range types {
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				p := pool{t.Name, z, spot}
				if t.HourlyPrice(spot) > 0 {
					out = append(out, &offer{pool: p, capacity: job.Capacity(t), price: t.HourlyPrice(spot), boot: t.ProvisioningTime(), left: limit(p)})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b *offer) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.typeName+a.zone, b.typeName+b.zone))
	})
	return out
}

// packer puts waiting tasks into bins. It keeps the bins by their free GPUs, so
// that a task of a few looks at the fullest bins first, as placing does it, and
// full ones are not looked at again for each job.
type packer struct {
	byGPUs [][]*bin
	offers []*offer
	rent   map[pool]int
	left   int  // machines that may still be rented
	urgent bool // rent dear machines too
	idle   bool // for work that fills what is spare: rent only the cheapest
}

func gpuBucket(free job.Need) int { return max(0, min(64, int(free.GPUs+1e-9))) }

func newPacker(bins []*bin, onOffer []*offer, most int) *packer {
	p := &packer{byGPUs: make([][]*bin, 65), offers: onOffer, rent: map[pool]int{}, left: most}
	for _, b := range bins {
		p.add(b)
	}
	return p
}

func (p *packer) add(b *bin) {
	k := gpuBucket(b.free)
	p.byGPUs[k] = append(p.byGPUs[k], b)
}

// fill puts up to left tasks into bins of a zone, or of any if it is "", and
// returns how many are left. With dry set it only counts.
func (p *packer) fill(spec *job.Spec, zone string, left int, dry bool) int {
	for k := gpuBucket(spec.Need); k < len(p.byGPUs) && left > 0; k++ {
		moved := false
		for _, b := range p.byGPUs[k] {
			if left == 0 {
				break
			}
			if zone != "" && b.zone != zone || !spec.FitsIn(b.free) || !spec.AllowsMachine(b.typeName, b.zone, b.spot) {
				continue
			}
			n := min(left, spec.CountIn(b.free))
			left -= n
			if !dry {
				b.free = b.free.AddScaled(spec.Need, -float64(n))
				b.used = true
				moved = moved || gpuBucket(b.free) != k
			}
		}
		if !moved {
			continue
		}
		kept := p.byGPUs[k][:0]
		for _, b := range p.byGPUs[k] {
			if at := gpuBucket(b.free); at != k {
				p.byGPUs[at] = append(p.byGPUs[at], b)
			} else {
				kept = append(kept, b)
			}
		}
		p.byGPUs[k] = kept
	}
	return left
}

// hire rents what left tasks need beyond the bins.
func (p *packer) hire(spec *job.Spec, zone string, left int) {
	for left > 0 && p.left > 0 {
		o, n := p.cheapest(spec, zone)
		if n == 0 {
			return
		}
		take := min(n, left)
		p.add(&bin{typeName: o.typeName, zone: o.zone, spot: o.spot, free: o.capacity.AddScaled(spec.Need, -float64(take)), used: true})
		p.rent[o.pool]++
		p.left--
		o.left--
		left -= take
	}
}

// zoneFor picks the zone for a gang that must be in one: that in which most of
// it has room, among those in which machines can be had for the rest.
func (p *packer) zoneFor(spec *job.Spec, tasks int, zones map[string]bool) string {
	best, bestLeft := "", 0
	for z := range zones {
		left := p.fill(spec, z, tasks, true)
		if left > 0 {
			if _, n := p.cheapest(spec, z); n == 0 {
				left += unrentable
			}
		}
		if best == "" || left < bestLeft || left == bestLeft && z < best {
			best, bestLeft = z, left
		}
	}
	return best
}

// unrentable puts zones without machines to rent behind all others.
const unrentable = job.MaxTasks

// turnover is what tasks of arrays that run leave free in time: a job whose
// deadline is far enough off waits for that instead of for new machines.
type turnover struct {
	perSecond float64 // places that come free, by size
	promised  float64
	growing   bool    // more and more waits: later jobs will need what comes free later
	boot      float64 // seconds that a machine takes to come up
	fetchRate float64 // GB per second that a machine fetches, 0 if unknown
}

// newTurnover starts with the slowest of the types in every respect.
func newTurnover(types map[string]cloud.MachineType) turnover {
	var t turnover
	for _, m := range types {
		t.boot = max(t.boot, m.ProvisioningS)
		if m.FetchGBPerS > 0 && (t.fetchRate == 0 || m.FetchGBPerS < t.fetchRate) {
			t.fetchRate = m.FetchGBPerS
		}
	}
	return t
}

// fetch is the time in seconds that the job's tasks may wait for their image:
// half of what it takes, for some machines have it.
func (t *turnover) fetch(spec *job.Spec) float64 {
	if t.fetchRate == 0 {
		return 0
	}
	return spec.ImageGB / t.fetchRate / 2
}

// Of what should come free some goes to gangs, and estimates are guesses.
const turnoverShare = 0.8

// placeSize compares places of different needs.
func placeSize(need job.Need) float64 {
	if need.GPUs > 0 {
		return need.GPUs
	}
	return need.CPUs / 8
}

// add counts a job's running tasks.
func (t *turnover) add(d *autoscaler.Demand) {
	if d.Spec.Shape == job.Array && d.Spec.EstimateS > 0 {
		t.perSecond += float64(d.Running) * placeSize(d.Spec.Need) / (d.Spec.EstimateS + t.fetch(&d.Spec))
	}
}

// lateSlack is how many seconds a job which is hopelessly late may wait for
// places to come free.
const lateSlack = 60

// serves reports whether a job's tasks can wait for places that come free.
func (t *turnover) serves(d *autoscaler.Demand) bool {
	return d.Spec.Shape == job.Array && d.Spec.DeadlineS != nil && d.Spec.EstimateS > 0
}

// beforeBoot is the size of what comes free before a machine rented now serves.
func (t *turnover) beforeBoot() float64 {
	return turnoverShare * t.perSecond * t.boot
}

// serve returns how many of so many tasks can wait for places that come free.
func (t *turnover) serve(d *autoscaler.Demand, tasks int) int {
	if !t.serves(d) {
		return 0
	}
	size := placeSize(d.Spec.Need)
	slack := *d.Spec.DeadlineS - d.AgeS - 1.2*d.Spec.EstimateS - t.fetch(&d.Spec)
	if slack < t.boot {
		// A machine rented now would come too late. Half the time over is
		// better than never; beyond that nothing is to be won by renting.
		slack += *d.Spec.DeadlineS / 2
	}
	if slack < t.boot {
		slack = lateSlack
	}
	if t.growing {
		slack = min(slack, t.boot+t.fetch(&d.Spec)) // a machine rented now serves from then on
	}
	n := min(tasks, int((turnoverShare*t.perSecond*slack-t.promised)/max(size, 1e-3)))
	if n <= 0 {
		return 0
	}
	t.promised += float64(n) * size
	return n
}

// packing puts waiting tasks into bins and says what to rent for the rest.
// bins are marked used where something was put. over is the size of what found no
// room in them, of the jobs that can wait for turnover.
func packing(demands []autoscaler.Demand, bins []*bin, turn turnover, onOffer []*offer, most int) (rent map[pool]int, over float64) {
	slices.SortStableFunc(demands, func(a, b autoscaler.Demand) int {
		return cmp.Or(cmp.Compare(b.Spec.Priority(), a.Spec.Priority()), cmp.Compare(b.Spec.GPUs*1e6+b.AgeS, a.Spec.GPUs*1e6+a.AgeS))
	})
	slices.SortStableFunc(bins, func(a, b *bin) int { return cmp.Compare(a.name, b.name) })
	zones := map[string]bool{}
	for _, b := range bins {
		zones[b.zone] = true
	}
	for _, o := range onOffer {
		zones[o.zone] = true
	}
	p := newPacker(bins, onOffer, most)
	for i := range demands {
		d := &demands[i]
		k := rounds(d, time.Minute)
		left := (d.Waiting + k - 1) / k
		if left <= 0 {
			continue
		}
		p.idle = d.Spec.Priority() == job.LowestPriority && !d.Warm
		p.urgent = (turn.growing || d.AgeS > urgentAge) && !p.idle
		zone := d.Zone
		if zone == "" && d.Spec.OneZone && d.Spec.Shape == job.Gang {
			zone = p.zoneFor(&d.Spec, left, zones)
		}
		if left = p.fill(&d.Spec, zone, left, false); left > 0 {
			if turn.serves(d) {
				over += float64(left) * placeSize(d.Spec.Need)
			}
			p.hire(&d.Spec, zone, left-turn.serve(d, left))
		}
	}
	return p.rent, over
}

// rounds is how many times over a place can serve a job's tasks before its
// deadline, going by the owner's estimate, which may be too low by half, and
// leaving time for a machine to come up. Jobs without a deadline do not wait.
func rounds(d *autoscaler.Demand, boot time.Duration) int {
	if d.Spec.DeadlineS == nil || d.Spec.EstimateS <= 0 {
		return 1
	}
	left := *d.Spec.DeadlineS - d.AgeS - boot.Seconds()
	return max(1, int(left/(1.3*d.Spec.EstimateS+10)))
}

// dear is how many times as much as the cheapest place there is a place may cost
// unless it is urgent. Machines that only part of the job's needs fits cost so
// much that the work is better done some minutes later.
const dear = 4

// spareCost is how many times as much as the cheapest place there is a place may
// cost for work of the lowest priority, which is to fill what is spare.
const spareCost = 1.2

// urgentAge is the age in seconds from which on a job gets dear machines too.
const urgentAge = 180

// cheapest picks the offer in a zone, or in any, with the lowest price per task that it would hold.
func (p *packer) cheapest(spec *job.Spec, zone string) (best *offer, fits int) {
	bestCost, least := 0.0, 0.0
	for _, o := range p.offers {
		n := spec.CountIn(o.capacity)
		if n == 0 || !spec.AllowsMachine(o.typeName, o.zone, o.spot) {
			continue
		}
		cost := o.price / float64(n)
		if least == 0 || cost < least {
			least = cost
		}
		if o.left == 0 || zone != "" && o.zone != zone {
			continue
		}
		if fits == 0 || cost < bestCost {
			best, fits, bestCost = o, n, cost
		}
	}
	if bestCost > dear*least && !p.urgent || bestCost > spareCost*least && p.idle {
		return nil, 0
	}
	return best, fits
}
