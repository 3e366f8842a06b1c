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

// Categories of what machine time goes into. Those of a machine add up to its lifetime.
const (
	Boot                = "boot"
	Fetch               = "fetch"    // a task waits for its image
	GangWait            = "wait"     // a member of a gang waits for the others
	Useful              = "useful"   // runs that count in the end
	LostWork            = "repeated" // runs that were lost and done again
	Checkpoint          = "save"     // a task saves its progress
	UnusedCapacity      = "unfilled" // left beside tasks
	IdleBeforeFirstTask = "fresh"    // no task yet since it registered
	IdleBetweenTasks    = "between"  // no task, and one came later
	IdleAfterLastTask   = "ended"    // no task came any more until it was returned
	Unresponsive        = "silent"   // no heartbeat until it was given up
)

// Categories lists them in the order of a machine's lifetime.
var Categories = []string{
	Boot, Fetch, GangWait, Useful, LostWork, Checkpoint, UnusedCapacity,
	IdleBeforeFirstTask, IdleBetweenTasks, IdleAfterLastTask, Unresponsive,
}

// Pool is a kind of machine in a zone.
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

// Bill is where the money went.
type Bill struct {
	Machines        int                         `json:"machines"`
	Cost            float64                     `json:"money"`
	Hours           float64                     `json:"machine_hours"`
	ByCategory      map[string]float64          `json:"by_part"` // money
	Pools           map[Pool]map[string]float64 `json:"-"`       // money by category
	Unpriced        int                         `json:"machines_without_price"`
	NeverRegistered int                         `json:"machines_never_up"` // rented and returned without having come up
}

// Bill adds up the log. The categories of each machine add up to what it cost.
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
		b.add(l, m)
	}
	return b
}

// add adds what a machine cost.
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

// cost is what the machine cost between two moments: spot machines are charged the price of
// the moment, whenever they were rented.
func (l *Log) cost(m *machine, from, to time.Time) float64 {
	prices := l.prices[m.typeName]
	cost := 0.0
	for k, p := range prices {
		start, end := p.at, to
		if k == 0 {
			start = from // the first price that is known holds before it too
		}
		if k+1 < len(prices) {
			end = prices[k+1].at
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

// minAmount keeps a share of nothing from being none.
const minAmount = 1e-9

// Print writes the bill as a table; what the cloud charged, if it is known (0: it is not),
// is set against it.
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
		money := b.ByCategory[category]
		fmt.Fprintf(&rows, "%s\t%.1f\t%.1f%%\t\n", category, money, 100*money/max(b.Cost, minAmount))
	}
	fmt.Fprintf(&rows, "all\t%.1f\t%d machines, %.1f machine hours\t\n", b.Cost, b.Machines, b.Hours)
	if charged > 0 {
		fmt.Fprintf(&rows, "charged\t%.1f\t%+.1f%% not accounted for\t\n", charged, 100*(charged-b.Cost)/charged)
	}
	return rows.String()
}

// shownCategories is how many categories are shown of each pool.
const shownCategories = 5

// poolRows lists the pools, the most expensive first, each with its largest categories.
func (b *Bill) poolRows() string {
	cost := func(p Pool) (sum float64) {
		for _, money := range b.Pools[p] {
			sum += money
		}
		return sum
	}
	pools := slices.SortedFunc(maps.Keys(b.Pools), func(x, y Pool) int {
		return cmp.Or(cmp.Compare(cost(y), cost(x)), cmp.Compare(fmt.Sprint(x), fmt.Sprint(y)))
	})
	var rows strings.Builder
	fmt.Fprintf(&rows, "\npool\tmoney\tlargest parts\n")
	for _, p := range pools {
		byCategory, total := b.Pools[p], cost(p)
		categories := slices.SortedFunc(maps.Keys(byCategory), func(x, y string) int {
			return cmp.Or(cmp.Compare(byCategory[y], byCategory[x]), cmp.Compare(x, y))
		})
		fmt.Fprintf(&rows, "%s\t%.1f\t", p.name(), total)
		for _, category := range categories[:min(shownCategories, len(categories))] {
			fmt.Fprintf(&rows, "%s %.0f%%  ", category, 100*byCategory[category]/max(total, minAmount))
		}
		fmt.Fprintln(&rows)
	}
	return rows.String()
}
