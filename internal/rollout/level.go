// Package rollout decides what the controllers of a fleet do together while they are
// replaced, one after the other, by those of another version.
//
// Each life registers what its build knows: features, and the forms of stored values
// that it reads and writes. The fleet has one level; a level is a set of features that
// are on, and its number is how many those are. It is a key of the state service that
// changes only under conditions: it rises when every controller that lives has what the
// next level needs and has stood for a while, and no life began meanwhile; a life
// begins only under the level that it has seen and knows. So at every moment each
// controller that lives knows all that is on, and one whose life is over writes nothing.
//
// level.go says what there is, decide.go when it changes, all of it pure; gate.go does
// it, for the life of one controller; move.go moves stored values to other forms. The
// package owns the level's key, the joins' key and the move's key, and nothing else.
package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// Build names this version, for operators.
const Build = "0.3.0"

// Feature is something that all controllers of a fleet have to know before any may
// do it.
type Feature string

// Features of this build.
const (
	// Gated: joins and levels are conditional. Whoever lacks it is refused.
	Gated Feature = "gated"
	// Failures: what is known of a job's failures is in its record.
	Failures Feature = "failures"
	// Ended: jobs that are over are recorded under robin/ended/ too.
	Ended Feature = "ended"
	// EndedOnly: and no longer under robin/final/.
	EndedOnly Feature = "ended-only"
	// Pipelines: jobs may wait for others, and records may be in pieces.
	Pipelines Feature = "pipelines"
)

// Kinds of stored values that have forms.
const (
	RecordKind = "record"
	EndedKind  = "ended"
	LevelKind  = "level"
)

// Step brings one feature.
type Step struct {
	Adds  Feature
	Needs Feature        // has to be on before; "": none
	Forms map[string]int // forms that are written from then on, by kind
	// Closes: what is written from then on cannot be read by the former version. The
	// fleet goes there only when a person says so.
	Closes bool
	// Move is what has to be done to stored values before what needs this feature comes
	// on, and Back before this feature may go off if what needs it was on.
	Move, Back string
	// Prompt: it comes on as soon as all controllers have it. Users wait for it, and it
	// writes nothing by itself.
	Prompt bool
	For    string // for operators: what it brings
}

// Ladder is what this build knows. The steps up to the one that closes the way back are
// each other's needs, as the former version climbed them one by one; Pipelines stands
// beside them: by the ladder it would have come much too late, or never.
var Ladder = []Step{
	{Adds: Gated, Prompt: true, For: "controllers join and rise only under conditions"},
	{Adds: Failures, Needs: Gated, For: "a job's failures are known to its next placer"},
	{Adds: Ended, Needs: Failures, Forms: map[string]int{EndedKind: tombstone.Form}, Move: MoveCopy, Back: MoveBack, For: "ended jobs have small records, beside the former ones"},
	{Adds: EndedOnly, Needs: Ended, Closes: true, Move: MoveDrop, For: "the former records of ended jobs go"},
	{Adds: Pipelines, Needs: Gated, Prompt: true, For: "jobs may wait for others"},
}

// Top is the highest level of this build.
func Top() int { return len(Ladder) }

// stepOf returns the step that brings a feature, or nil.
func stepOf(f Feature) *Step {
	for k := range Ladder {
		if Ladder[k].Adds == f {
			return &Ladder[k]
		}
	}
	return nil
}

// FeaturesAt lists the first n features of this build.
func FeaturesAt(n int) []Feature {
	out := []Feature{}
	for _, s := range Ladder[:n] {
		out = append(out, s.Adds)
	}
	return out
}

func formsOf(features []Feature) map[string]int {
	out := map[string]int{}
	for _, s := range Ladder {
		if slices.Contains(features, s.Adds) {
			maps.Copy(out, s.Forms)
		}
	}
	return out
}

// levelForm is the form of the level's key.
const levelForm = 1

// Level is what the level's key holds. Its absence means level 0.
type Level struct {
	Form     int            `json:"form"`
	N        int            `json:"level"`
	Features []Feature      `json:"features"` // in the order in which they came on
	Forms    map[string]int `json:"forms,omitempty"`
	Hold     string         `json:"hold,omitempty"`  // why it does not rise by itself
	Allow    int            `json:"allow,omitempty"` // level up to which a person let it rise although that closes the way back
	By       string         `json:"by,omitempty"`    // controller that wrote it
	// Ends is a feature that is to go off: nothing that needs it is taken any more. The
	// steward sees to it, unless there is something that needs it still.
	Ends Feature `json:"ends,omitempty"`

	Rest statekv.UnknownFields `json:"-"`
}

// of returns the level of these features with what else l says.
func (l Level) of(features []Feature) Level {
	l.Form, l.N, l.Features, l.Forms = levelForm, len(features), features, formsOf(features)
	return l
}

// at returns the level of the first n features.
func (l Level) at(n int) Level { return l.of(FeaturesAt(n)) }

// with and without return the level with a feature more, or less.
func (l Level) with(f Feature) Level { return l.of(append(slices.Clone(l.Features), f)) }

func (l Level) without(f Feature) Level {
	return l.of(slices.DeleteFunc(slices.Clone(l.Features), func(g Feature) bool { return g == f }))
}

// Takes reports whether a feature is on and what needs it is still taken.
func (l Level) Takes(f Feature) bool { return l.Has(f) && l.Ends != f }

// Has reports whether a feature is on.
func (l Level) Has(f Feature) bool { return slices.Contains(l.Features, f) }

func (l Level) value() any {
	if l.Rest == nil {
		return l
	}
	return statekv.WithUnknown{Value: l, Unknown: l.Rest}
}

// ParseLevel reads the level's key.
func ParseLevel(raw json.RawMessage) (Level, error) {
	if err := statekv.CheckSchema("the level's key", raw, levelForm); err != nil {
		return Level{}, err
	}
	var l Level
	if err := json.Unmarshal(raw, &l); err != nil {
		return Level{}, fmt.Errorf("the level's key: %w", err)
	}
	if l.Form < 1 || l.N < 0 || l.N != len(l.Features) {
		return Level{}, fmt.Errorf("the level's key: form %d, level %d with %d features is damaged", l.Form, l.N, len(l.Features))
	}
	l.Rest = statekv.UnknownFieldsOf(raw, &l)
	return l, nil
}

// Caps is what the key of a life says about its build. Lives of the time before there
// were levels say nothing: they know level 0.
type Caps struct {
	Build    string            `json:"build"`
	Features []Feature         `json:"features,omitempty"`
	Forms    map[string][2]int `json:"forms,omitempty"` // lowest and highest form that it reads and writes, by kind
	Least    int               `json:"least,omitempty"` // lowest level at which it can live
}

// OurCaps is what this build knows.
func OurCaps() Caps {
	return Caps{Build: Build, Features: FeaturesAt(Top()), Forms: map[string][2]int{
		RecordKind: {0, job.RecordForm}, EndedKind: {0, tombstone.Form}, LevelKind: {levelForm, levelForm},
	}}
}

// ParseCaps reads the key of a life.
func ParseCaps(raw json.RawMessage) (Caps, error) {
	var c Caps
	if err := json.Unmarshal(raw, &c); err != nil {
		return Caps{}, fmt.Errorf("the key of a life: %w", err)
	}
	if c.Build == "" {
		c.Build = "form 0"
	}
	return c, nil
}

// Lacks says what a build lacks to live at a level, or "".
func (c Caps) Lacks(l Level) string {
	if l.N < c.Least {
		return fmt.Sprintf("level %d or higher", c.Least)
	}
	for _, f := range l.Features {
		if !slices.Contains(c.Features, f) {
			return fmt.Sprintf("feature %q", f)
		}
	}
	for kind, form := range l.Forms {
		if known := c.Forms[kind]; form < known[0] || form > known[1] {
			return fmt.Sprintf("form %d of kind %q", form, kind)
		}
	}
	return ""
}

// RefusedError says that this build may not join the fleet.
type RefusedError struct{ Why string }

func (e *RefusedError) Error() string { return "this build may not join: " + e.Why }

// Register returns how a life of this build registers, or a *RefusedError: then the
// controller has to wait, unready, until the level is another one or it is replaced.
func Register(keys Keys, caps Caps) (statekv.Registration, error) {
	level := Level{}
	kv, ok := keys.Get(statekv.ClusterVersionKey)
	if ok {
		var err error
		if level, err = ParseLevel(kv.Value); err != nil {
			return statekv.Registration{}, &RefusedError{fmt.Sprintf("%s: %v", statekv.ClusterVersionKey, err)}
		}
	}
	if lacks := caps.Lacks(level); lacks != "" {
		return statekv.Registration{}, &RefusedError{fmt.Sprintf("the fleet is at level %d and this build (%s) lacks %s", level.N, caps.Build, lacks)}
	}
	return statekv.Registration{
		Value: caps,
		// A rise between the look and the write needs what this life may not have;
		// and a rise that did not see this life join must not be written after it.
		Compares: []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: kv.Rev}},
		Ops:      []statekv.Op{{Set: statekv.MembershipKey, Value: struct{}{}}},
	}, nil
}

// IsRefused reports whether err says that this build may not join.
func IsRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}
