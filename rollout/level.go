// Package rollout decides what the controllers of a fleet do together while they are
// replaced, one after the other, by those of another version.
//
// Each life registers what its build knows: features, and the forms of stored values
// that it reads and writes. The fleet has one level; a level is a set of features that
// are on, each adding one to those below it. It is a key of the state service that
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
	"slices"

	"robinstack/ended"
	"robinstack/job"
	"robinstack/statekv"
)

// Build names this version, for operators.
const Build = "0.2.0"

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
)

// Kinds of stored values that have forms.
const (
	RecordKind = "record"
	EndedKind  = "ended"
	LevelKind  = "level"
)

// Step leads from one level to the next.
type Step struct {
	Adds  Feature
	Forms map[string]int // forms that are written from then on, by kind
	// Closes: what is written from then on cannot be read by the former version. The
	// fleet goes there only when a person says so.
	Closes bool
	// Move is what has to be done to stored values at this level before it may be left
	// upwards, and Back before it may be left downwards if the level above was left.
	Move, Back string
	For        string // for operators: what it brings
}

// Ladder is what this build knows: Ladder[n] leads to level n+1.
var Ladder = []Step{
	{Adds: Gated, For: "controllers join and rise only under conditions"},
	{Adds: Failures, For: "a job's failures are known to its next placer"},
	{Adds: Ended, Forms: map[string]int{EndedKind: ended.Form}, Move: MoveCopy, Back: MoveBack, For: "ended jobs have small records, beside the former ones"},
	{Adds: EndedOnly, Closes: true, Move: MoveDrop, For: "the former records of ended jobs go"},
}

// Top is the highest level of this build.
func Top() int { return len(Ladder) }

// FeaturesAt lists what is on at a level of this build.
func FeaturesAt(n int) []Feature {
	out := []Feature{}
	for _, s := range Ladder[:n] {
		out = append(out, s.Adds)
	}
	return out
}

func formsAt(n int) map[string]int {
	out := map[string]int{}
	for _, s := range Ladder[:n] {
		for kind, form := range s.Forms {
			out[kind] = form
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
	Features []Feature      `json:"features"`
	Forms    map[string]int `json:"forms,omitempty"`
	Hold     string         `json:"hold,omitempty"`  // why it does not rise by itself
	Allow    int            `json:"allow,omitempty"` // level up to which a person let it rise although that closes the way back
	By       string         `json:"by,omitempty"`    // controller that wrote it

	Rest statekv.Rest `json:"-"`
}

// at returns the level n with what else l says.
func (l Level) at(n int) Level {
	l.Form, l.N, l.Features, l.Forms = levelForm, n, FeaturesAt(n), formsAt(n)
	return l
}

// Has reports whether a feature is on.
func (l Level) Has(f Feature) bool { return slices.Contains(l.Features, f) }

func (l Level) value() any {
	if l.Rest == nil {
		return l
	}
	return statekv.Keeping{Value: l, Rest: l.Rest}
}

// ParseLevel reads the level's key.
func ParseLevel(raw json.RawMessage) (Level, error) {
	if err := statekv.CheckForm("the level's key", raw, levelForm); err != nil {
		return Level{}, err
	}
	var l Level
	if err := json.Unmarshal(raw, &l); err != nil {
		return Level{}, fmt.Errorf("the level's key: %w", err)
	}
	if l.Form < 1 || l.N < 0 || l.N != len(l.Features) {
		return Level{}, fmt.Errorf("the level's key: form %d, level %d with %d features is damaged", l.Form, l.N, len(l.Features))
	}
	l.Rest = statekv.RestOf(raw, &l)
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
		RecordKind: {0, job.RecordForm}, EndedKind: {0, ended.Form}, LevelKind: {levelForm, levelForm},
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
	kv, ok := keys.Get(statekv.LevelKey)
	if ok {
		var err error
		if level, err = ParseLevel(kv.Value); err != nil {
			return statekv.Registration{}, &RefusedError{fmt.Sprintf("%s: %v", statekv.LevelKey, err)}
		}
	}
	if lacks := caps.Lacks(level); lacks != "" {
		return statekv.Registration{}, &RefusedError{fmt.Sprintf("the fleet is at level %d and this build (%s) lacks %s", level.N, caps.Build, lacks)}
	}
	return statekv.Registration{
		Value: caps,
		// A rise between the look and the write needs what this life may not have;
		// and a rise that did not see this life join must not be written after it.
		When: []statekv.Cond{{Key: statekv.LevelKey, Rev: kv.Rev}},
		Also: []statekv.Op{{Set: statekv.JoinsKey, Value: struct{}{}}},
	}, nil
}

// IsRefused reports whether err says that this build may not join.
func IsRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}
