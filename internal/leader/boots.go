package leader

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"robinstack/internal/autoscaler"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// bootWatch knows how long machines of each pool took to come up lately, so that
// those that take much longer are made up for elsewhere, and a pool from which
// few come is tried but not counted on.
type bootWatch struct {
	took map[pool][]time.Duration
	came map[pool][]time.Time // when machines came up, for as long as that counts
}

// bootMemory is how many boots of a pool are remembered.
const bootMemory = 20

func (w *bootWatch) note(p pool, d time.Duration, now time.Time) {
	if w.took == nil {
		w.took, w.came = map[pool][]time.Duration{}, map[pool][]time.Time{}
	}
	w.came[p] = append(w.came[p], now)
	list := append(w.took[p], d)
	w.took[p] = list[max(0, len(list)-bootMemory):]
}

// lately is for how long machines that came up speak for their pool.
const lately = time.Minute

// cameLately counts the machines of a pool that came up lately: where many did, the
// last few that have not are stragglers and not a pool from which few come.
func (w *bootWatch) cameLately(p pool, now time.Time) int {
	if w.came == nil {
		return 0
	}
	w.came[p] = slices.DeleteFunc(w.came[p], func(at time.Time) bool { return now.Sub(at) > lately })
	return len(w.came[p])
}

// patience is the age from which on a boot in the pool is overdue: where most
// are slow, that is nothing special.
func (w *bootWatch) patience(p pool, nominal time.Duration) time.Duration {
	limit := nominal * 3 / 2
	if list := w.took[p]; len(list) >= 5 {
		sorted := slices.Sorted(slices.Values(list))
		limit = max(limit, sorted[len(sorted)*4/5]*5/4)
	}
	return min(limit, 2*nominal) + 5*time.Second
}

// giveUp is the age at which a boot is given up. Where most of a pool is late,
// machines are slow rather than dead: given up and rented anew they would be as
// late again, and for ever. Then those that came say how long the others may take.
func (w *bootWatch) giveUp(p pool, nominal time.Duration, slow bool) time.Duration {
	usual, most := 3*nominal+15*time.Second, 8*nominal+15*time.Second
	if !slow {
		return usual
	}
	if list := w.took[p]; len(list) >= 5 && slices.Max(list) > 2*nominal {
		return min(most, max(usual, slices.Max(list)*7/5))
	}
	return most
}

// troubled reports whether so much of what boots in a pool, or came up lately, is
// overdue that no more than a probe should be asked for there.
func troubled(booting, came, overdue int) bool { return overdue >= 3 && 2*overdue >= booting+came }

// bootingBins returns the machines that boot, as far as they can be counted on,
// and adds those that are given up to deletes. The mutex is held.
func (s *Leader) bootingBins(types map[string]cloud.MachineType, now time.Time, deletes *[]string) []*bin {
	f := &s.fleet
	inBoot, overdue := map[pool]int{}, map[pool]int{}
	patience := map[pool]time.Duration{}
	for name, b := range f.booting {
		if _, owned := s.mirror.Get(statekv.MachinePrefix + name); owned {
			// It is up; its owner's entry just has not come yet. To a new
			// steward that is every machine at first.
			f.cameUp(name, now)
			continue
		}
		inBoot[b.pool]++
		if _, known := patience[b.pool]; !known {
			patience[b.pool] = f.boots.patience(b.pool, types[b.typeName].ProvisioningTime())
		}
		if now.Sub(b.since) > patience[b.pool] {
			overdue[b.pool]++
		}
	}
	came := map[pool]int{}
	for p := range overdue {
		came[p] = f.boots.cameLately(p, now)
	}
	var bins []*bin
	for name, b := range f.booting {
		t, age := types[b.typeName], now.Sub(b.since)
		slow := troubled(inBoot[b.pool], came[b.pool], overdue[b.pool])
		switch {
		case age > f.boots.giveUp(b.pool, t.ProvisioningTime(), slow):
			slog.Info("provisioning overdue", "machine", name, "age", age.Round(time.Second))
			*deletes = append(*deletes, name)
		case age > patience[b.pool] && !slow:
			// Used if it comes, but made up for.
		default:
			bins = append(bins, &bin{name: name, typeName: b.typeName, zone: b.zone, spot: b.spot, free: job.Capacity(t), empty: true})
		}
	}
	for p, n := range overdue {
		if troubled(inBoot[p], came[p], n) && now.After(f.shut[p]) {
			f.refuse(p, now)
			slog.Info("machine provisioning stalled", "type", p.typeName, "zone", p.zone, "spot", p.spot, "provisioning", inBoot[p], "overdue", n)
		}
	}
	return bins
}

// Overdue lists, by pool, boots that take longer than is usual there.
func (v *Service) Overdue(_ struct{}, reply *[]autoscaler.OverduePool) error {
	s := v.leader
	now := time.Now()
	types := s.catalogue.Types()
	s.mu.Lock()
	defer s.mu.Unlock()
	late := map[pool]autoscaler.OverduePool{}
	for _, b := range s.fleet.booting {
		age := now.Sub(b.since)
		if t := types[b.typeName]; age <= s.fleet.boots.patience(b.pool, t.ProvisioningTime()) {
			continue
		}
		l := late[b.pool]
		late[b.pool] = autoscaler.OverduePool{Type: b.typeName, Zone: b.zone, Spot: b.spot, Machines: l.Machines + 1, OldestS: max(l.OldestS, age.Seconds())}
	}
	for _, l := range late {
		*reply = append(*reply, l)
	}
	slices.SortFunc(*reply, func(a, b autoscaler.OverduePool) int { return cmp.Compare(a.Type+a.Zone, b.Type+b.Zone) })
	return nil
}
