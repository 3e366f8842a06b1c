package autoscaler

import (
	"cmp"
	"math"
	"slices"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// offer is a pool with what the packing needs to know of it.
type offer struct {
	Pool
	capacity  job.Resources // of one machine
	price     float64       // per hour
	available int           // machines that may be requested now
}

// listOffers lists what may be requested, the cheapest machines first. available says how
// many machines a pool may be asked for.
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

// How many times as much as the cheapest place there is, on any machine that would do, a
// task's place may cost.
const (
	// maxCostRatio holds for ordinary work. Machines that only part of the job's needs fits
	// cost so much that the work is better done some minutes later.
	maxCostRatio = 4.0
	// maxCostRatioFiller holds for work of the lowest priority, which is to fill what is
	// surplus anyway.
	maxCostRatioFiller = 1.2
	// urgentAgeS is the age in seconds from which on a job gets expensive machines too.
	urgentAgeS = 180
)

// costRatioLimit is how expensive, compared with the cheapest, a place for a job's tasks may
// be.
func costRatioLimit(d *Demand, backlogGrows bool) float64 {
	switch {
	case d.Spec.Priority() == job.LowestPriority && !d.Warm:
		return maxCostRatioFiller
	case backlogGrows || d.AgeS > urgentAgeS:
		return math.Inf(1)
	}
	return maxCostRatio
}

// taskGroup is tasks of one job for which the packing looks for places.
type taskGroup struct {
	spec         *job.Spec
	zone         string // "": any
	tasks        int
	maxCostRatio float64
}

// cheapestOffer picks, in the group's zone, the offer with the lowest price per task that a
// machine of it would hold, and says how many tasks that is: 0 without an offer.
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
