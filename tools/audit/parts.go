package audit

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// What machine time goes into. The parts of a machine add up to its life.
const (
	Boot                = "boot"
	Fetch               = "fetch"    // a task waits for its image
	GangWait            = "wait"     // a member of a gang waits for the others
	Useful              = "useful"   // runs that count in the end
	LostWork            = "repeated" // runs that were lost and done again
	Checkpoint          = "save"
	UnusedCapacity      = "unfilled" // room left beside tasks
	IdleBeforeFirstTask = "fresh"    // no task yet since it came up
	IdleBetweenTasks    = "between"  // no task, and one came later
	IdleAfterLastTask   = "ended"    // no task came any more until it was returned
	Unresponsive        = "silent"   // not heard from until it was given up
)

// Categories lists them in the order of a machine's life.
var Categories = []string{Boot, Fetch, GangWait, Useful, LostWork, Checkpoint, UnusedCapacity, IdleBeforeFirstTask, IdleBetweenTasks, IdleAfterLastTask, Unresponsive}

// Pool is a kind of machine in a zone.
type Pool struct {
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot"`
}

// Bill is where the money went.
type Bill struct {
	Machines        int                         `json:"machines"`
	Cost            float64                     `json:"money"`
	Hours           float64                     `json:"machine_hours"`
	ByCategory      map[string]float64          `json:"by_part"` // money
	Pools           map[Pool]map[string]float64 `json:"-"`
	Unpriced        int                         `json:"machines_without_price"`
	NeverRegistered int                         `json:"machines_never_up"` // rented and returned without having come up
}

// least is what a machine that is returned is charged for at least.
const least = time.Minute

// Bill adds up the log. The parts of each machine add up to what it cost.
func (l *Log) Bill() *Bill {
	b := &Bill{ByCategory: map[string]float64{}, Pools: map[Pool]map[string]float64{}}
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		m := l.machines[name]
		if m.typeName == "" {
			continue // named in passing by a line whose machine's own lines are missing
		}
		if len(l.prices[m.typeName]) == 0 {
			b.Unpriced++
			continue
		}
		b.Machines++
		if m.up.IsZero() {
			b.NeverRegistered++
		}
		p := Pool{m.typeName, m.zone, m.spot}
		if b.Pools[p] == nil {
			b.Pools[p] = map[string]float64{}
		}
		for _, piece := range m.pieces(l) {
			money := l.cost(m, piece.from, piece.to)
			b.Cost += money
			b.Hours += piece.to.Sub(piece.from).Hours()
			for part, share := range piece.shares {
				b.ByCategory[part] += share * money
				b.Pools[p][part] += share * money
			}
		}
	}
	return b
}

// piece is a stretch of a machine's life in which nothing changes; its shares
// add up to 1.
type piece struct {
	from, to time.Time
	shares   map[string]float64
}

type use struct {
	from, to time.Time
	part     string
	share    float64
}

// share is the part of the machine that a task takes: the largest of its needs.
func share(need, capacity map[string]float64) float64 {
	most := 0.0
	for k, v := range need {
		if capacity[k] > 0 {
			most = max(most, v/capacity[k])
		}
	}
	return min(1, most)
}

// uses lays the phases of all tasks on the machine's time. Of a run that counts
// in part the first part counts.
func (m *machine) uses(capacity map[string]float64) []use {
	var out []use
	for _, s := range m.spans {
		at := s.end
		for _, d := range s.spent {
			at = at.Add(-d)
		}
		add := func(part string, d time.Duration) {
			if d > 0 {
				out = append(out, use{at, at.Add(d), part, share(s.need, capacity)})
				at = at.Add(d)
			}
		}
		add(Fetch, s.spent[fetching])
		add(GangWait, s.spent[gathering])
		add(Useful, min(s.useful, s.spent[running]))
		add(LostWork, s.spent[running]-min(s.useful, s.spent[running]))
		add(Checkpoint, s.spent[saving])
	}
	return out
}

// life is when the machine was charged for, as far as the log tells. One that the
// cloud took falls silent and is not returned before.
func (m *machine) life(l *Log) (from, up, to time.Time) {
	from, up, to = m.rented, m.up, m.gone
	if from.IsZero() {
		from = l.first // it was there before the log begins
	}
	if to.IsZero() {
		to = l.last
	}
	if !m.gone.IsZero() && !m.rented.IsZero() && to.Sub(from) < least {
		to = from.Add(least)
	}
	if up.IsZero() || up.After(to) {
		up = to
	}
	if up.Before(from) {
		up = from
	}
	return from, up, to
}

func (m *machine) pieces(l *Log) []piece {
	from, up, to := m.life(l)
	uses := m.uses(l.capacity[m.typeName])
	firstUse, lastUse := to, up
	cuts := []time.Time{from, up, to}
	for _, u := range uses {
		cuts = append(cuts, u.from, u.to)
		if u.from.Before(firstUse) {
			firstUse = u.from
		}
		if u.to.After(lastUse) {
			lastUse = u.to
		}
	}
	if !m.silent.IsZero() {
		cuts = append(cuts, m.silent)
	}
	slices.SortFunc(cuts, time.Time.Compare)
	var out []piece
	for k := 1; k < len(cuts); k++ {
		p := piece{from: cuts[k-1], to: cuts[k], shares: map[string]float64{}}
		if !p.to.After(p.from) || p.from.Before(from) || p.to.After(to) {
			continue
		}
		total := 0.0
		for _, u := range uses {
			if !u.from.After(p.from) && !u.to.Before(p.to) {
				p.shares[u.part] += u.share
				total += u.share
			}
		}
		for part := range p.shares {
			p.shares[part] /= max(1, total)
		}
		rest := max(0, 1-total)
		switch {
		case total > 0:
			p.shares[UnusedCapacity] += rest
		case p.from.Before(up):
			p.shares[Boot] = 1
		case !m.silent.IsZero() && !p.from.Before(m.silent):
			p.shares[Unresponsive] = 1
		case p.from.Before(firstUse):
			p.shares[IdleBeforeFirstTask] = 1
		case p.from.Before(lastUse):
			p.shares[IdleBetweenTasks] = 1
		default:
			p.shares[IdleAfterLastTask] = 1
		}
		out = append(out, p)
	}
	return out
}

// cost is what the machine cost between two moments: spot machines are charged the
// price of the moment, whenever they were rented.
func (l *Log) cost(m *machine, from, to time.Time) float64 {
	prices := l.prices[m.typeName]
	money := 0.0
	for k, p := range prices {
		a, b := p.at, to
		if k == 0 {
			a = from
		}
		if k+1 < len(prices) {
			b = prices[k+1].at
		}
		if a.Before(from) {
			a = from
		}
		if b.After(to) {
			b = to
		}
		rate := p.hourly
		if m.spot {
			rate = p.spot
		}
		if b.After(a) {
			money += rate * b.Sub(a).Hours()
		}
	}
	return money
}

// Print writes the bill as a table; what the cloud charged, if it is known, is set
// against it.
func (b *Bill) Print(w io.Writer, charged float64) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "part\tmoney\tshare\t\n")
	for _, part := range Categories {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f%%\t\n", part, b.ByCategory[part], 100*b.ByCategory[part]/max(b.Cost, 1e-9))
	}
	fmt.Fprintf(t, "all\t%.1f\t%d machines, %.1f machine hours\t\n", b.Cost, b.Machines, b.Hours)
	if charged > 0 {
		fmt.Fprintf(t, "charged\t%.1f\t%+.1f%% not accounted for\t\n", charged, 100*(charged-b.Cost)/charged)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\npool\tmoney\tlargest parts\n")
	sum := func(p Pool) (s float64) {
		for _, x := range b.Pools[p] {
			s += x
		}
		return s
	}
	pools := slices.SortedFunc(maps.Keys(b.Pools), func(x, y Pool) int {
		return cmp.Or(cmp.Compare(sum(y), sum(x)), cmp.Compare(fmt.Sprint(x), fmt.Sprint(y)))
	})
	for _, p := range pools {
		kind := "ordinary"
		if p.Spot {
			kind = "spot"
		}
		parts := slices.SortedFunc(maps.Keys(b.Pools[p]), func(x, y string) int {
			return cmp.Or(cmp.Compare(b.Pools[p][y], b.Pools[p][x]), cmp.Compare(x, y))
		})
		fmt.Fprintf(t, "%s %s %s\t%.1f\t", p.Type, p.Zone, kind, sum(p))
		for _, part := range parts[:min(5, len(parts))] {
			fmt.Fprintf(t, "%s %.0f%%  ", part, 100*b.Pools[p][part]/max(sum(p), 1e-9))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
