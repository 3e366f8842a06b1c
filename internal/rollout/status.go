package rollout

import (
	"maps"
	"slices"
	"time"

	"robinstack/internal/statekv"
)

// Status is the state of an upgrade as shown to operators.
type Status struct {
	ClusterVersion int                `json:"level"`
	Features       []Feature          `json:"features"`
	HoldReason     string             `json:"hold,omitempty"`
	RaiseBlockedBy string             `json:"waits_for,omitempty"` // why the version is not raised
	Next           *NextVersion       `json:"next,omitempty"`
	LowerBlockedBy string             `json:"lowering,omitempty"` // why the version cannot be lowered, or "possible"
	Controllers    []ControllerStatus `json:"controllers"`
	Migration      string             `json:"move,omitempty"`
	Undecodable    []UndecodableValue `json:"unreadable"`
	Build          string             `json:"build_here"`
}

// NextVersion is the version to which the next raise leads.
type NextVersion struct {
	ClusterVersion int     `json:"level"`
	Feature        Feature `json:"adds"`
	Description    string  `json:"for"`
	Irreversible   bool    `json:"closes_the_way_back"`
}

// ControllerStatus is the state of one controller, as the controller that was asked has observed it.
type ControllerStatus struct {
	Host           string  `json:"host"`
	Build          string  `json:"build,omitempty"`
	Alive          bool    `json:"lives"`
	StateAgeS      float64 `json:"for_s"`                    // seconds it has been down, or up with this session
	MissingForNext string  `json:"lacks_for_next,omitempty"` // what its build lacks for the next version
	RejectedReason string  `json:"refused,omitempty"`
}

// statusAgeUnit is the unit to which the ages of controllers are rounded.
const statusAgeUnit = 100 * time.Millisecond

// Status returns the state of the upgrade as this controller sees it.
func (g *VersionGate) Status() Status {
	snapshot := g.snapshot(time.Now())
	status := Status{
		ClusterVersion: snapshot.Version.Number,
		Features:       snapshot.Version.Features,
		HoldReason:     snapshot.Version.HoldReason,
		Build:          BuildVersion,
	}
	if status.Features == nil {
		status.Features = []Feature{} // encoded in JSON as an empty list instead of null
	}
	change, reason := snapshot.PlanRaise()
	if change != nil {
		reason = "the steward's next look"
	}
	status.RaiseBlockedBy = reason
	if snapshot.Version.Number > 0 {
		status.LowerBlockedBy = lowerBlockedBy(&snapshot)
	}
	next := snapshot.Version
	if gates := snapshot.nextGates(); len(gates) > 0 {
		gate := gates[0]
		next = snapshot.Version.with(gate.Feature)
		status.Next = &NextVersion{next.Number, gate.Feature, gate.Description, gate.Irreversible}
	}
	status.Controllers = controllerStatuses(snapshot.Controllers, next)
	if snapshot.Migration.Name != "" {
		status.Migration = snapshot.Migration.String()
	}
	status.Undecodable = g.undecodable(&snapshot)
	return status
}

func lowerBlockedBy(snapshot *Snapshot) string {
	_, reason := snapshot.PlanLower("", "")
	if reason == "" {
		return "possible"
	}
	return reason
}

func controllerStatuses(controllers []Controller, next ClusterVersion) []ControllerStatus {
	statuses := []ControllerStatus{}
	for _, c := range controllers {
		status := ControllerStatus{
			Host:           c.Host,
			Build:          c.Capabilities.Build,
			Alive:          c.Alive,
			StateAgeS:      c.StateAge.Round(statusAgeUnit).Seconds(),
			RejectedReason: c.RejectedReason,
		}
		if c.Alive {
			status.MissingForNext = c.Capabilities.Missing(next)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// undecodable lists, sorted by key, the stored values that this controller or the migration cannot
// decode.
func (g *VersionGate) undecodable(snapshot *Snapshot) []UndecodableValue {
	reasons := g.mirror.Undecodable()
	for _, value := range snapshot.Migration.UndecodableSample {
		reasons[value.Key] = value.Reason
	}
	if snapshot.VersionDecodeError != "" {
		reasons[statekv.ClusterVersionKey] = snapshot.VersionDecodeError
	}
	values := []UndecodableValue{}
	for _, key := range slices.Sorted(maps.Keys(reasons)) {
		values = append(values, UndecodableValue{key, reasons[key]})
	}
	return values
}
