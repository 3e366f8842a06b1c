package steward

import (
	"cmp"
	"slices"
	"time"

	"robinstack/cloud"
	"robinstack/job"
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
}

// offers lists what may be rented, leaving out pools that refused lately.
func offers(types map[string]cloud.MachineType, shut func(pool) bool) []offer {
	var out []offer
	for _, t := range types {
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				p := pool{t.Name, z, spot}
				if t.HourlyPrice(spot) > 0 && !shut(p) {
					out = append(out, offer{pool: p, capacity: job.Capacity(t), price: t.HourlyPrice(spot), boot: t.Boot()})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b offer) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.typeName+a.zone, b.typeName+b.zone))
	})
	return out
}

// packing puts waiting tasks into bins and says what to rent for the rest.
// bins are marked used where something was put.
func packing(demands []Demand, bins []*bin, onOffer []offer, most int) map[pool]int {
	slices.SortStableFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Spec.Priority(), a.Spec.Priority()), cmp.Compare(b.Spec.GPUs*1e6+b.AgeS, a.Spec.GPUs*1e6+a.AgeS))
	})
	rent := map[pool]int{}
	total := 0
	for _, d := range demands {
		k := rounds(&d, time.Minute)
		left := (d.Waiting + k - 1) / k
		// The fullest bin first, as placing does it.
		slices.SortStableFunc(bins, func(a, b *bin) int {
			return cmp.Or(cmp.Compare(d.Spec.Count(a.free), d.Spec.Count(b.free)), cmp.Compare(a.name, b.name))
		})
		for _, b := range bins {
			if left == 0 {
				break
			}
			if !d.Spec.Allows(b.typeName, b.zone, b.spot) {
				continue
			}
			if n := min(left, d.Spec.Count(b.free)); n > 0 {
				b.free = b.free.Add(d.Spec.Need, -float64(n))
				b.used = true
				left -= n
			}
		}
		for left > 0 && total < most {
			o, n := cheapest(&d.Spec, left, onOffer)
			if n == 0 {
				break
			}
			take := min(n, left)
			bins = append(bins, &bin{typeName: o.typeName, zone: o.zone, spot: o.spot, free: o.capacity.Add(d.Spec.Need, -float64(take)), used: true})
			rent[o.pool]++
			total++
			left -= take
		}
	}
	return rent
}

// rounds is how many times over a place can serve a job's tasks before its
// deadline, going by the owner's estimate, which may be too low by half, and
// leaving time for a machine to come up. Jobs without a deadline do not wait.
func rounds(d *Demand, boot time.Duration) int {
	if d.Spec.DeadlineS == nil || d.Spec.EstimateS <= 0 {
		return 1
	}
	left := *d.Spec.DeadlineS - d.AgeS - boot.Seconds()
	return max(1, int(left/(1.3*d.Spec.EstimateS+10)))
}

// cheapest picks the offer with the lowest price per task that it would hold.
func cheapest(spec *job.Spec, left int, onOffer []offer) (best offer, fits int) {
	bestCost := 0.0
	for _, o := range onOffer {
		n := spec.Count(o.capacity)
		if n == 0 || !spec.Allows(o.typeName, o.zone, o.spot) {
			continue
		}
		if cost := o.price / float64(n); fits == 0 || cost < bestCost {
			best, fits, bestCost = o, n, cost
		}
	}
	return best, fits
}
