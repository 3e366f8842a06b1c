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
	ClusterVersion int                `json:"level"`
	Features       []Feature          `json:"features"`
	HoldReason     string             `json:"hold,omitempty"`
	RaiseBlockedBy string             `json:"waits_for,omitempty"` // why it does not rise
	Next           *NextVersion       `json:"next,omitempty"`
	LowerBlockedBy string             `json:"lowering,omitempty"` // what stands in the way of lowering, or "possible"
	Controllers    []ControllerStatus `json:"controllers"`
	Migration      string             `json:"move,omitempty"`
	Undecodable    []UndecodableValue `json:"unreadable"`
	Build          string             `json:"build_here"`
}

// NextVersion is the level to come.
type NextVersion struct {
	ClusterVersion int     `json:"level"`
	Feature        Feature `json:"adds"`
	Description    string  `json:"for"`
	Irreversible   bool    `json:"closes_the_way_back"`
}

// ControllerStatus is one controller.
type ControllerStatus struct {
	Host           string  `json:"host"`
	Build          string  `json:"build,omitempty"`
	Alive          bool    `json:"lives"`
	StateAgeS      float64 `json:"for_s"` // how long it has been so, as seen from here
	MissingForNext string  `json:"lacks_for_next,omitempty"`
	RejectedReason string  `json:"refused,omitempty"`
}

// UndecodableValue is a stored value that cannot be read.
type UndecodableValue struct {
	Key    string `json:"key"`
	Reason string `json:"why"`
}

// Status tells how the roll-out stands, as seen from this controller.
func (g *VersionGate) Status() Status {
	v := g.look(time.Now())
	s := Status{ClusterVersion: v.Version.Number, Features: v.Version.Features, HoldReason: v.Version.HoldReason, Build: BuildVersion, Controllers: []ControllerStatus{}, Undecodable: []UndecodableValue{}}
	if s.Features == nil {
		s.Features = []Feature{}
	}
	change, why := v.PlanRaise()
	if s.RaiseBlockedBy = why; change != nil {
		s.RaiseBlockedBy = "the steward's next look"
	}
	next := v.Version
	if steps := v.next(); len(steps) > 0 {
		next = v.Version.with(steps[0].Feature)
		s.Next = &NextVersion{next.Number, steps[0].Feature, steps[0].Description, steps[0].Irreversible}
	}
	if v.Version.Number > 0 {
		if _, s.LowerBlockedBy = v.PlanLower("", ""); s.LowerBlockedBy == "" {
			s.LowerBlockedBy = "possible"
		}
	}
	for _, n := range v.Controllers {
		ns := ControllerStatus{Host: n.Host, Build: n.Capabilities.Build, Alive: n.Alive, StateAgeS: n.StateAge.Round(100 * time.Millisecond).Seconds(), RejectedReason: n.RejectedReason}
		if n.Alive {
			ns.MissingForNext = n.Capabilities.Missing(next)
		}
		s.Controllers = append(s.Controllers, ns)
	}
	if v.Migration.Name != "" {
		s.Migration = v.Migration.String()
	}
	bad := g.mirror.Undecodable()
	for _, b := range v.Migration.UndecodableSample {
		bad[b.Key] = b.Reason
	}
	if v.VersionDecodeError != "" {
		bad[statekv.ClusterVersionKey] = v.VersionDecodeError
	}
	for _, key := range slices.SortedFunc(maps.Keys(bad), strings.Compare) {
		s.Undecodable = append(s.Undecodable, UndecodableValue{key, bad[key]})
	}
	return s
}
