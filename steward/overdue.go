package steward

import (
	"cmp"
	"slices"
	"time"
)

// Late counts the machines of a pool that should be up by now.
type Late struct {
	Type     string  `json:"type"`
	Zone     string  `json:"zone"`
	Spot     bool    `json:"spot"`
	Machines int     `json:"machines"`
	OldestS  float64 `json:"oldest_s"`
}

// Overdue lists, by pool, boots that take more than half as long again as usual.
func (v *Service) Overdue(_ struct{}, reply *[]Late) error {
	s := v.steward
	now := time.Now()
	types := s.catalogue.Types()
	s.mu.Lock()
	defer s.mu.Unlock()
	late := map[pool]Late{}
	for _, b := range s.fleet.booting {
		age := now.Sub(b.since)
		if t := types[b.typeName]; age < t.Boot()*3/2 {
			continue
		}
		l := late[b.pool]
		late[b.pool] = Late{Type: b.typeName, Zone: b.zone, Spot: b.spot, Machines: l.Machines + 1, OldestS: max(l.OldestS, age.Seconds())}
	}
	for _, l := range late {
		*reply = append(*reply, l)
	}
	slices.SortFunc(*reply, func(a, b Late) int { return cmp.Compare(a.Type+a.Zone, b.Type+b.Zone) })
	return nil
}
