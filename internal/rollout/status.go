package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"

	"robinstack/internal/statekv"
)

// Status is what operators see of a roll-out.
type Status struct {
	Level       int          `json:"level"`
	Features    []Feature    `json:"features"`
	Hold        string       `json:"hold,omitempty"`
	WaitsFor    string       `json:"waits_for,omitempty"` // why it does not rise
	Next        *NextStatus  `json:"next,omitempty"`
	Lower       string       `json:"lowering,omitempty"` // what stands in the way of lowering, or "possible"
	Controllers []NodeStatus `json:"controllers"`
	Move        string       `json:"move,omitempty"`
	Unreadable  []BadValue   `json:"unreadable"`
	Build       string       `json:"build_here"`
}

// NextStatus is the level to come.
type NextStatus struct {
	Level  int     `json:"level"`
	Adds   Feature `json:"adds"`
	For    string  `json:"for"`
	Closes bool    `json:"closes_the_way_back"`
}

// NodeStatus is one controller.
type NodeStatus struct {
	Host    string  `json:"host"`
	Build   string  `json:"build,omitempty"`
	Lives   bool    `json:"lives"`
	ForS    float64 `json:"for_s"` // how long it has been so, as seen from here
	Lacks   string  `json:"lacks_for_next,omitempty"`
	Refused string  `json:"refused,omitempty"`
}

// BadValue is a stored value that cannot be read.
type BadValue struct {
	Key string `json:"key"`
	Why string `json:"why"`
}

// Status tells how the roll-out stands, as seen from this controller.
func (g *Gate) Status() Status {
	v := g.look(time.Now())
	s := Status{Level: v.Level.N, Features: v.Level.Features, Hold: v.Level.Hold, Build: Build, Controllers: []NodeStatus{}, Unreadable: []BadValue{}}
	if s.Features == nil {
		s.Features = []Feature{}
	}
	change, why := v.Rise()
	if s.WaitsFor = why; change != nil {
		s.WaitsFor = "the steward's next look"
	}
	next := v.Level
	if steps := v.next(); len(steps) > 0 {
		next = v.Level.with(steps[0].Adds)
		s.Next = &NextStatus{next.N, steps[0].Adds, steps[0].For, steps[0].Closes}
	}
	if v.Level.N > 0 {
		if _, s.Lower = v.Lower("", ""); s.Lower == "" {
			s.Lower = "possible"
		}
	}
	for _, n := range v.Nodes {
		ns := NodeStatus{Host: n.Host, Build: n.Caps.Build, Lives: n.Lives, ForS: n.For.Round(100 * time.Millisecond).Seconds(), Refused: n.Refused}
		if n.Lives {
			ns.Lacks = n.Caps.Lacks(next)
		}
		s.Controllers = append(s.Controllers, ns)
	}
	if v.Move.Name != "" {
		s.Move = v.Move.String()
	}
	bad := g.mirror.Undecodable()
	for _, b := range v.Move.Listed {
		bad[b.Key] = b.Why
	}
	if v.LevelBad != "" {
		bad[statekv.ClusterVersionKey] = v.LevelBad
	}
	for _, key := range slices.SortedFunc(maps.Keys(bad), strings.Compare) {
		s.Unreadable = append(s.Unreadable, BadValue{key, bad[key]})
	}
	return s
}
