package autoscaler

import (
	"cmp"
	"math"
	"slices"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// offer is a pool with its machine capacity, price and availability.
type offer struct {
	Pool
	capacity  job.Resources // of one machine
	price     float64       // per hour
	available int           // number of machines that may be requested now
}

// listOffers lists the pools that have a price, cheapest machines first. available returns the
// number of machines that may be requested from a pool.
func listOffers(types map[string]cloud.MachineType, available func(Pool) int) []*offer {
	var offers []*offer
	for _, t := range types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				price := t.HourlyPrice(spot)
				if price <= 0 {
					continue
				}
				p := Pool{Type: t.Name, Zone: zone, Spot: spot}
				offers = append(offers, &offer{
					Pool: p, capacity: job.Capacity(t), price: price, available: available(p),
				})
			}
		}
	}
	slices.SortFunc(offers, func(a, b *offer) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.Type+a.Zone, b.Type+b.Zone))
	})
	return offers
}

// Limits on the cost per task on a machine, as a multiple of the lowest cost per task on any
// machine that suits the job.
const (
	// maxCostRatio applies to jobs above the lowest priority. A machine that matches only some of a
	// job's needs costs so much per task that it is better to run the job some minutes later.
	maxCostRatio = 4.0
	// maxCostRatioLowestPriority applies to jobs of the lowest priority, which only use surplus
	// capacity. Warm capacity is excepted.
	maxCostRatioLowestPriority = 1.2
	// urgentAgeS is the age in seconds above which jobs above the lowest priority may use machines
	// at any cost.
	urgentAgeS = 180
)

// costRatioLimit returns the largest allowed ratio of the cost of a job's tasks to the lowest cost.
func costRatioLimit(d *Demand, backlogGrows bool) float64 {
	switch {
	case d.Spec.Priority() == job.LowestPriority && !d.Warm:
		return maxCostRatioLowestPriority
	case backlogGrows || d.AgeS > urgentAgeS:
		return math.Inf(1)
	}
	return maxCostRatio
}

// taskGroup is a group of tasks of one job to be packed.
type taskGroup struct {
	spec         *job.Spec
	zone         string // "" if any zone will do
	tasks        int
	maxCostRatio float64
}

// cheapestOffer returns the offer in the group's zone with the lowest price per task, and the
// number of the group's tasks that fit on one of its machines: 0 if there is no offer within the
// group's cost ratio limit.
func cheapestOffer(offers []*offer, group *taskGroup) (best *offer, fits int) {
	bestCost, lowestCost := 0.0, 0.0
	for _, o := range offers {
		n := group.spec.CountIn(o.capacity)
		if n == 0 || !group.spec.AllowsMachine(o.Type, o.Zone, o.Spot) {
			continue
		}
		cost := o.price / float64(n)
		if lowestCost == 0 || cost < lowestCost {
			lowestCost = cost
		}
		if o.available == 0 || group.zone != "" && o.Zone != group.zone {
			continue
		}
		if fits == 0 || cost < bestCost {
			best, fits, bestCost = o, n, cost
		}
	}
	if bestCost > group.maxCostRatio*lowestCost {
		return nil, 0
	}
	return best, fits
}
