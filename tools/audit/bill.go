package audit

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"robinstack/tools/console"
)

// Categories of machine time. The categories of a machine add up to its lifetime.
const (
	Boot                = "boot"
	Fetch               = "fetch"    // a task waits for its image
	GangWait            = "wait"     // a gang task waits for the other tasks of its gang
	Useful              = "useful"   // run time that contributed to a result
	LostWork            = "repeated" // run time lost with an attempt, to be repeated
	Checkpoint          = "save"     // a task writes a checkpoint
	UnusedCapacity      = "unfilled" // the part of a machine that its tasks leave unused
	IdleBeforeFirstTask = "fresh"    // registered, and has not had a task
	IdleBetweenTasks    = "between"  // no task now, but tasks before and later
	IdleAfterLastTask   = "ended"    // no task until the end of its lifetime
	Unresponsive        = "silent"   // no task, and no heartbeats any more
)

// Categories lists the categories in the order in which they are printed.
var Categories = []string{
	Boot, Fetch, GangWait, Useful, LostWork, Checkpoint, UnusedCapacity,
	IdleBeforeFirstTask, IdleBetweenTasks, IdleAfterLastTask, Unresponsive,
}

// Pool is a group of machines of the same type, zone and charging (spot or on-demand).
type Pool struct {
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot"`
}

func (p Pool) name() string {
	kind := "ordinary"
	if p.Spot {
		kind = "spot"
	}
	return fmt.Sprintf("%s %s %s", p.Type, p.Zone, kind)
}

// Bill is the cost of the machines, split by category of machine time and by pool.
type Bill struct {
	Machines        int                         `json:"machines"`
	Cost            float64                     `json:"money"`
	Hours           float64                     `json:"machine_hours"`
	ByCategory      map[string]float64          `json:"by_part"` // cost by category
	Pools           map[Pool]map[string]float64 `json:"-"`       // cost by pool and category
	Unpriced        int                         `json:"machines_without_price"`
	NeverRegistered int                         `json:"machines_never_up"` // of Machines: never sent a heartbeat
}

// Bill computes the cost of all machines in the log whose price is known. The categories of each
// machine add up to its cost.
func (l *Log) Bill() *Bill {
	b := &Bill{ByCategory: map[string]float64{}, Pools: map[Pool]map[string]float64{}}
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		m := l.machines[name]
		if m.typeName == "" {
			continue // mentioned in a line, but the lines that describe the machine are missing
		}
		if len(l.prices[m.typeName]) == 0 {
			b.Unpriced++
			continue
		}
		b.add(l, m)
	}
	return b
}

// add adds the cost of a machine.
func (b *Bill) add(l *Log, m *machine) {
	b.Machines++
	if m.registeredAt.IsZero() {
		b.NeverRegistered++
	}
	pool := Pool{m.typeName, m.zone, m.spot}
	if b.Pools[pool] == nil {
		b.Pools[pool] = map[string]float64{}
	}
	for _, s := range m.segments(l) {
		cost := l.cost(m, s.from, s.to)
		b.Cost += cost
		b.Hours += s.to.Sub(s.from).Hours()
		for category, share := range s.shares {
			b.ByCategory[category] += share * cost
			b.Pools[pool][category] += share * cost
		}
	}
}

// cost returns the cost of the machine between two points in time. Spot machines are charged the
// spot price at each moment, not the price at which they were added.
func (l *Log) cost(m *machine, from, to time.Time) float64 {
	prices := l.prices[m.typeName]
	cost := 0.0
	for k, p := range prices {
		start, end := p.validFrom, to
		if k == 0 {
			start = from // the first known price also applies before its line
		}
		if k+1 < len(prices) {
			end = prices[k+1].validFrom
		}
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		hourly := p.onDemand
		if m.spot {
			hourly = p.spot
		}
		if end.After(start) {
			cost += hourly * end.Sub(start).Hours()
		}
	}
	return cost
}

// minDivisor avoids a division by zero where the total cost is 0.
const minDivisor = 1e-9

// Print writes the bill as tables. If charged is not 0, it is the amount that the cloud has
// charged, and the table shows the part of it that the bill does not account for.
func (b *Bill) Print(w io.Writer, charged float64) error {
	if err := console.WriteTable(w, b.categoryRows(charged), console.AlignRight); err != nil {
		return err
	}
	return console.WriteTable(w, b.poolRows(), 0)
}

func (b *Bill) categoryRows(charged float64) string {
	var rows strings.Builder
	fmt.Fprintf(&rows, "part\tmoney\tshare\t\n")
	for _, category := range Categories {
		amount := b.ByCategory[category]
		fmt.Fprintf(&rows, "%s\t%.1f\t%.1f%%\t\n", category, amount, 100*amount/max(b.Cost, minDivisor))
	}
	fmt.Fprintf(&rows, "all\t%.1f\t%d machines, %.1f machine hours\t\n", b.Cost, b.Machines, b.Hours)
	if charged > 0 {
		fmt.Fprintf(&rows, "charged\t%.1f\t%+.1f%% not accounted for\t\n", charged, 100*(charged-b.Cost)/charged)
	}
	return rows.String()
}

// shownCategories bounds the categories shown for each pool.
const shownCategories = 5

// poolRows returns a row for each pool, most expensive first, with its most expensive categories.
func (b *Bill) poolRows() string {
	poolCost := func(p Pool) (sum float64) {
		for _, amount := range b.Pools[p] {
			sum += amount
		}
		return sum
	}
	pools := slices.SortedFunc(maps.Keys(b.Pools), func(x, y Pool) int {
		return cmp.Or(cmp.Compare(poolCost(y), poolCost(x)), cmp.Compare(fmt.Sprint(x), fmt.Sprint(y)))
	})
	var rows strings.Builder
	fmt.Fprintf(&rows, "\npool\tmoney\tlargest parts\n")
	for _, p := range pools {
		byCategory, total := b.Pools[p], poolCost(p)
		categories := slices.SortedFunc(maps.Keys(byCategory), func(x, y string) int {
			return cmp.Or(cmp.Compare(byCategory[y], byCategory[x]), cmp.Compare(x, y))
		})
		fmt.Fprintf(&rows, "%s\t%.1f\t", p.name(), total)
		for _, category := range categories[:min(shownCategories, len(categories))] {
			fmt.Fprintf(&rows, "%s %.0f%%  ", category, 100*byCategory[category]/max(total, minDivisor))
		}
		fmt.Fprintln(&rows)
	}
	return rows.String()
}
