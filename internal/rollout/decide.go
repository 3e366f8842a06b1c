package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"robinstack/internal/statekv"
)

// Node is a controller as the deciding one sees it.
type Node struct {
	Host    string
	Rev     uint64        // of its life's key; 0: it has none
	Caps    Caps          // of a life
	Bad     string        // why its key cannot be read
	Lives   bool          // it has a life that is not refused
	Refused string        // why its life was ended by others
	For     time.Duration // how long it has been so, for the deciding one
}

// View is all that a decision goes by: one look at the mirror.
type View struct {
	Self     string // the deciding controller
	Level    Level
	LevelRev uint64
	LevelBad string // why the level's key cannot be read
	Stood    time.Duration
	Nodes    []Node // those in the settings and those that have a key, by host
	JoinsRev uint64
	Steward  uint64 // revision of the steward's role if this controller has it
	Move     Move
	MoveRev  uint64

	Soak   time.Duration // how long all have to have stood
	Absent time.Duration // how long one in the settings that is away is waited for
	Held   bool          // by this controller's policy

	// Uses lists what is stored and needs a feature; nil: nobody has looked.
	Uses func(Feature) []string
}

// Keys are the keys of the state service as last seen; *statekv.Mirror has them.
type Keys interface {
	Get(key string) (statekv.KV, bool)
	Dir(prefix string) []statekv.KV
}

// Look gathers what the keys say; hosts are those in the settings, known is the level
// to go by where its key cannot be read. Times are for the caller to add.
func Look(keys Keys, hosts []string, known Level) View {
	v := View{Level: Level{}}
	if kv, ok := keys.Get(statekv.ClusterVersionKey); ok {
		v.LevelRev = kv.Rev
		var err error
		if v.Level, err = ParseLevel(kv.Value); err != nil {
			v.Level, v.LevelBad = known, err.Error()
		}
	}
	joins, _ := keys.Get(statekv.MembershipKey)
	v.JoinsRev = joins.Rev
	if kv, ok := keys.Get(statekv.MigrationKey); ok {
		v.MoveRev = kv.Rev
		if err := json.Unmarshal(kv.Value, &v.Move); err != nil {
			v.Move = Move{Name: unreadable}
		}
	}
	nodes := map[string]Node{}
	for _, host := range hosts {
		nodes[host] = Node{Host: host}
	}
	for _, kv := range keys.Dir(statekv.SessionPrefix) {
		n := Node{Host: kv.Key[len(statekv.SessionPrefix):], Rev: kv.Rev, Refused: statekv.RejectionReason(kv)}
		if n.Lives = n.Refused == ""; n.Lives {
			var err error
			if n.Caps, err = ParseCaps(kv.Value); err != nil {
				n.Bad = err.Error()
			}
		}
		nodes[n.Host] = n
	}
	for _, host := range slices.Sorted(maps.Keys(nodes)) {
		v.Nodes = append(v.Nodes, nodes[host])
	}
	return v
}

// Change is a write of the level that may be made under its conditions.
type Change struct {
	To   Level
	When []statekv.Compare
	Then []statekv.Op
}

// change returns the write that leads to a level. Every one of its conditions keeps
// something out: another change of the level, a person's hold among them; a steward
// that is none any more; a life that began, or ended, since the look, whether or not
// its build knows of levels; the end of a move that was not seen.
func (v *View) change(to Level, move Move) Change {
	to.By = v.Self
	c := Change{To: to, When: []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: v.LevelRev}, {Key: statekv.MembershipKey, Rev: v.JoinsRev}, {Key: statekv.MigrationKey, Rev: v.MoveRev}}}
	if v.Steward != 0 {
		c.When = append(c.When, statekv.Compare{Key: statekv.LeaderKey, Rev: v.Steward})
	}
	for _, n := range v.Nodes {
		c.When = append(c.When, statekv.Compare{Key: statekv.SessionPrefix + n.Host, Rev: n.Rev})
	}
	c.Then = []statekv.Op{{Set: statekv.ClusterVersionKey, Value: to.value()}}
	switch {
	case move.Name == unreadable: // whoever wrote it can read it
	case move.Name != "":
		move.Level = to.N
		c.Then = append(c.Then, statekv.Op{Set: statekv.MigrationKey, Value: move})
	case v.MoveRev != 0:
		c.Then = append(c.Then, statekv.Op{Delete: statekv.MigrationKey})
	}
	return c
}

// moveBeside is the move to go on with when a step is made or taken back: its own, else
// that which is under way, if the step stands beside what it belongs to.
func (v *View) moveBeside(step *Step, own string) Move {
	if own == "" && !v.chained(step) {
		return v.Move
	}
	return Move{Name: own}
}

// chained reports whether a step is among those of which each needs the one before.
func (v *View) chained(step *Step) bool {
	return slices.IndexFunc(Ladder, func(s Step) bool { return s.Needs == step.Adds }) >= 0 || step.Closes
}

// next lists the steps that may be made from here, those first that users wait for.
func (v *View) next() []*Step {
	var out []*Step
	for k := range Ladder {
		if s := &Ladder[k]; !v.Level.Has(s.Adds) && (s.Needs == "" || v.Level.Has(s.Needs)) {
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, func(a, b *Step) int {
		switch {
		case a.Prompt == b.Prompt:
			return 0
		case a.Prompt:
			return -1
		}
		return 1
	})
	return out
}

// Rise returns the change to the next level if it may be made now, or why not; both
// are empty at the top.
func (v *View) Rise() (*Change, string) {
	if why := v.stuck(); why != "" {
		return nil, why
	}
	if v.Level.Ends != "" {
		return v.end()
	}
	var whys []string
	for _, step := range v.next() {
		why := v.waits(step)
		if why == "" {
			to := v.Level.with(step.Adds)
			if to.Allow > v.Level.N && !step.Closes {
				to.Allow++ // it was for the step that closes, whose number grows by this one
			}
			c := v.change(to, v.moveBeside(step, step.Move))
			return &c, ""
		}
		if !slices.Contains(whys, why) {
			whys = append(whys, why)
		}
	}
	return nil, strings.Join(whys, "; ")
}

// promptSoak is how long all controllers have to have stood before a feature comes on
// that users wait for: long enough for one that ends itself as it starts.
const promptSoak = 3 * time.Second

// waits says what a step waits for, or "".
func (v *View) waits(step *Step) string {
	n := v.Level.N
	switch need := stepOf(step.Needs); {
	case v.Level.Hold != "":
		return "held: " + v.Level.Hold
	case v.Held:
		return "held by the policy (rollout_hold)"
	case step.Closes && v.Level.Allow <= n:
		return fmt.Sprintf("level %d closes the way back: it waits for a person (robinstack rollout raise)", n+1)
	case need != nil && need.Move != "" && !(v.Move.Name != "" && v.Move.Done):
		return "stored values are being moved: " + v.Move.String()
	}
	if why := v.lacking(v.Level.with(step.Adds)); why != "" {
		return why
	}
	soak, stood := v.Soak, v.Stood
	if step.Prompt {
		soak = min(soak, promptSoak)
		stood = soak // that others came on a moment ago is no reason to wait
	}
	for _, node := range v.Nodes {
		switch {
		case node.Lives && node.For < soak:
			return fmt.Sprintf("%s has stood for %v of %v", node.Host, node.For.Round(time.Second), soak)
		case !node.Lives && node.For < v.Absent:
			return fmt.Sprintf("%s is away since %v and waited for until %v", node.Host, node.For.Round(time.Second), v.Absent)
		}
	}
	switch {
	case stood < soak:
		return fmt.Sprintf("level %d has stood for %v of %v", n, v.Stood.Round(time.Second), soak)
	case v.Steward == 0:
		return "the steward raises it"
	}
	return ""
}

// Lower returns the change that takes a feature off, or the one that came on last if
// none is named, for a person who asked for it, or why it cannot be made. It holds the
// fleet there.
//
// A feature that stored values may need goes off in two steps: first nothing that needs
// it is taken any more; then, when all that was taken before has been seen, end takes it
// off. With one step, what is taken at the same moment would be left to controllers that
// ignore what it needs.
func (v *View) Lower(f Feature, why string) (*Change, string) {
	if stuck := v.stuck(); stuck != "" {
		return nil, stuck
	}
	n := v.Level.N
	if n == 0 {
		return nil, "the fleet is at level 0"
	}
	if f == "" {
		f = v.Level.Features[n-1]
	}
	step := stepOf(f)
	if !v.Level.Has(f) {
		return nil, fmt.Sprintf("feature %q is not on", f)
	}
	for _, s := range Ladder {
		if s.Needs == f && v.Level.Has(s.Adds) {
			return nil, fmt.Sprintf("feature %q needs %q", s.Adds, f)
		}
	}
	next := v.Level.without(f)
	next.Hold, next.Allow = why, 0
	if stuck := v.lacking(next); stuck != "" {
		return nil, stuck
	}
	// What the level below writes must be all that it reads: values that only the level
	// above wrote are brought back while this one stands, which still reads both.
	if back := step.Back; back != "" && v.Move.Name == back && !v.Move.Done {
		return nil, "stored values are being brought back: " + v.Move.String()
	}
	if f == Pipelines {
		if uses := v.uses(f); uses != "" {
			return nil, uses
		}
		if v.Level.Ends == f && v.Level.Hold != "" {
			// Written again and again, it would have all that is written under it
			// refused, the steward's own step too, and never come to its end.
			return nil, fmt.Sprintf("the steward is taking feature %q off", f)
		}
		to := v.Level.of(v.Level.Features)
		to.Hold, to.Allow, to.Ends = why, 0, f
		return v.stay(to), ""
	}
	move := ""
	if step.Closes {
		move = stepOf(step.Needs).Back
	}
	c := v.change(next, v.moveBeside(step, move))
	return &c, ""
}

// mostNamed bounds the jobs that are named as standing in the way.
const mostNamed = 5

// uses says what is stored and needs a feature, or "".
func (v *View) uses(f Feature) string {
	if v.Uses == nil {
		return ""
	}
	names := v.Uses(f)
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return fmt.Sprintf("%d unfinished jobs need feature %q, among them %s", len(names), f, strings.Join(names[:min(mostNamed, len(names))], ", "))
}

// end carries out what a person asked for: it takes the feature off that is to go, or
// gives that up if something needs it. All that was taken before is in this look, for
// it was written under the level of before, and this one sees the one after.
func (v *View) end() (*Change, string) {
	f := v.Level.Ends
	if v.Steward == 0 {
		return nil, fmt.Sprintf("the steward takes feature %q off", f)
	}
	if v.uses(f) != "" {
		to := v.Level.of(v.Level.Features)
		to.Ends = ""
		return v.stay(to), ""
	}
	next := v.Level.without(f)
	next.Ends = ""
	if stuck := v.lacking(next); stuck != "" {
		return nil, stuck
	}
	c := v.change(next, v.moveBeside(stepOf(f), ""))
	return &c, ""
}

// Hold and Raise return the change for a person who asked for it; the level stays.
func (v *View) Hold(why string) (*Change, string) {
	if stuck := v.stuck(); stuck != "" {
		return nil, stuck
	}
	to := v.Level.of(v.Level.Features)
	to.Hold, to.Allow = why, 0
	return v.stay(to), ""
}

// Raise lets the fleet rise again, also to a level that closes the way back.
func (v *View) Raise() (*Change, string) {
	if stuck := v.stuck(); stuck != "" {
		return nil, stuck
	}
	to := v.Level.of(v.Level.Features)
	to.Hold, to.Ends = "", ""
	if slices.ContainsFunc(v.next(), func(s *Step) bool { return s.Closes }) {
		to.Allow = to.N + 1
	}
	return v.stay(to), ""
}

func (v *View) stay(to Level) *Change {
	to.By = v.Self
	// Whoever joins meanwhile does no harm: what is on stays as it is.
	return &Change{To: to, When: []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: v.LevelRev}}, Then: []statekv.Op{{Set: statekv.ClusterVersionKey, Value: to.value()}}}
}

// stuck says why nobody here may write the level's key at all.
func (v *View) stuck() string {
	switch {
	case v.LevelBad != "":
		return statekv.ClusterVersionKey + " cannot be read: " + v.LevelBad
	case slices.ContainsFunc(v.Level.Features, func(f Feature) bool { return stepOf(f) == nil }):
		return fmt.Sprintf("level %d has features that this build (%s) does not know", v.Level.N, Build)
	}
	return ""
}

// lacking names what living controllers lack for a level.
func (v *View) lacking(l Level) string {
	for _, n := range v.Nodes {
		if !n.Lives {
			continue
		}
		if n.Bad != "" {
			return fmt.Sprintf("%s%s cannot be read: %s", statekv.SessionPrefix, n.Host, n.Bad)
		}
		if lacks := n.Caps.Lacks(l); lacks != "" {
			return fmt.Sprintf("%s (build %s) lacks %s", n.Host, n.Caps.Build, lacks)
		}
	}
	return ""
}

// Intruders lists the lives that must not go on at this level: controllers of the time
// before there were levels join without looking.
func (v *View) Intruders() []Node {
	if v.stuck() != "" {
		return nil
	}
	var out []Node
	for _, n := range v.Nodes {
		if n.Lives && n.Bad == "" && n.Caps.Lacks(v.Level) != "" {
			out = append(out, n)
		}
	}
	return out
}

// Refuse returns the write that ends an intruder's life: its writes have the condition
// that its key is as it wrote it, and it ends by itself once it sees that it is not.
func (v *View) Refuse(n Node, lease uint64) ([]statekv.Compare, []statekv.Op) {
	why := fmt.Sprintf("the fleet is at level %d and build %s lacks %s", v.Level.N, n.Caps.Build, n.Caps.Lacks(v.Level))
	return []statekv.Compare{{Key: statekv.ClusterVersionKey, Rev: v.LevelRev}, {Key: statekv.SessionPrefix + n.Host, Rev: n.Rev}},
		[]statekv.Op{{Set: statekv.SessionPrefix + n.Host, Value: statekv.Rejection{Reason: why}, Lease: lease}}
}
