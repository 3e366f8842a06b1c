package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"robinstack/statekv"
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
	if kv, ok := keys.Get(statekv.LevelKey); ok {
		v.LevelRev = kv.Rev
		var err error
		if v.Level, err = ParseLevel(kv.Value); err != nil {
			v.Level, v.LevelBad = known, err.Error()
		}
	}
	joins, _ := keys.Get(statekv.JoinsKey)
	v.JoinsRev = joins.Rev
	if kv, ok := keys.Get(statekv.MoveKey); ok {
		v.MoveRev = kv.Rev
		if err := json.Unmarshal(kv.Value, &v.Move); err != nil {
			v.Move = Move{Name: "unreadable"}
		}
	}
	nodes := map[string]Node{}
	for _, host := range hosts {
		nodes[host] = Node{Host: host}
	}
	for _, kv := range keys.Dir(statekv.NodePrefix) {
		n := Node{Host: kv.Key[len(statekv.NodePrefix):], Rev: kv.Rev, Refused: statekv.Refused(kv)}
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
	When []statekv.Cond
	Then []statekv.Op
}

// change returns the write that leads to a level. Every one of its conditions keeps
// something out: another change of the level, a person's hold among them; a steward
// that is none any more; a life that began, or ended, since the look, whether or not
// its build knows of levels; the end of a move that was not seen.
func (v *View) change(to Level, move Move) Change {
	to.By = v.Self
	c := Change{To: to, When: []statekv.Cond{{Key: statekv.LevelKey, Rev: v.LevelRev}, {Key: statekv.JoinsKey, Rev: v.JoinsRev}, {Key: statekv.MoveKey, Rev: v.MoveRev}}}
	if v.Steward != 0 {
		c.When = append(c.When, statekv.Cond{Key: statekv.StewardKey, Rev: v.Steward})
	}
	for _, n := range v.Nodes {
		c.When = append(c.When, statekv.Cond{Key: statekv.NodePrefix + n.Host, Rev: n.Rev})
	}
	c.Then = []statekv.Op{{Set: statekv.LevelKey, Value: to.value()}}
	switch {
	case move.Name != "":
		c.Then = append(c.Then, statekv.Op{Set: statekv.MoveKey, Value: move})
	case v.MoveRev != 0:
		c.Then = append(c.Then, statekv.Op{Delete: statekv.MoveKey})
	}
	return c
}

// Rise returns the change to the next level if it may be made now, or why not; both
// are empty at the top.
func (v *View) Rise() (*Change, string) {
	if why := v.stuck(); why != "" {
		return nil, why
	}
	n := v.Level.N
	if n >= Top() {
		return nil, ""
	}
	next := v.Level.at(n + 1)
	step := Ladder[n]
	switch {
	case v.Level.Hold != "":
		return nil, "held: " + v.Level.Hold
	case v.Held:
		return nil, "held by the policy (rollout_hold)"
	case step.Closes && v.Level.Allow <= n:
		return nil, fmt.Sprintf("level %d closes the way back: it waits for a person (robinstack rollout raise)", n+1)
	case n > 0 && Ladder[n-1].Move != "" && !(v.Move.Name != "" && v.Move.Done):
		return nil, "stored values are being moved: " + v.Move.String()
	}
	if why := v.lacking(next); why != "" {
		return nil, why
	}
	for _, node := range v.Nodes {
		switch {
		case node.Lives && node.For < v.Soak:
			return nil, fmt.Sprintf("%s has stood for %v of %v", node.Host, node.For.Round(time.Second), v.Soak)
		case !node.Lives && node.For < v.Absent:
			return nil, fmt.Sprintf("%s is away since %v and waited for until %v", node.Host, node.For.Round(time.Second), v.Absent)
		}
	}
	switch {
	case v.Stood < v.Soak:
		return nil, fmt.Sprintf("level %d has stood for %v of %v", n, v.Stood.Round(time.Second), v.Soak)
	case v.Steward == 0:
		return nil, "the steward raises it"
	}
	c := v.change(next, Move{Name: step.Move, Level: n + 1})
	return &c, ""
}

// Lower returns the change to the level below, for a person who asked for it, or why it
// cannot be made. It holds the fleet there.
func (v *View) Lower(why string) (*Change, string) {
	if stuck := v.stuck(); stuck != "" {
		return nil, stuck
	}
	n := v.Level.N
	if n == 0 {
		return nil, "the fleet is at level 0"
	}
	next := v.Level.at(n - 1)
	next.Hold, next.Allow = why, 0
	if stuck := v.lacking(next); stuck != "" {
		return nil, stuck
	}
	// What the level below writes must be all that it reads: values that only the level
	// above wrote are brought back while this one stands, which still reads both.
	if back := Ladder[n-1].Back; back != "" && v.Move.Name == back && !v.Move.Done {
		return nil, "stored values are being brought back: " + v.Move.String()
	}
	var move Move
	if n > 1 && Ladder[n-1].Closes {
		move = Move{Name: Ladder[n-2].Back, Level: n - 1}
	}
	c := v.change(next, move)
	return &c, ""
}

// Hold and Raise return the change for a person who asked for it; the level stays.
func (v *View) Hold(why string) (*Change, string) {
	if stuck := v.stuck(); stuck != "" {
		return nil, stuck
	}
	to := v.Level.at(v.Level.N)
	to.Hold, to.Allow = why, 0
	return v.stay(to), ""
}

// Raise lets the fleet rise again, also to a level that closes the way back.
func (v *View) Raise() (*Change, string) {
	if stuck := v.stuck(); stuck != "" {
		return nil, stuck
	}
	to := v.Level.at(v.Level.N)
	to.Hold = ""
	if n := to.N; n < Top() && Ladder[n].Closes {
		to.Allow = n + 1
	}
	return v.stay(to), ""
}

func (v *View) stay(to Level) *Change {
	to.By = v.Self
	// Whoever joins meanwhile does no harm: what is on stays as it is.
	return &Change{To: to, When: []statekv.Cond{{Key: statekv.LevelKey, Rev: v.LevelRev}}, Then: []statekv.Op{{Set: statekv.LevelKey, Value: to.value()}}}
}

// stuck says why nobody here may write the level's key at all.
func (v *View) stuck() string {
	switch {
	case v.LevelBad != "":
		return statekv.LevelKey + " cannot be read: " + v.LevelBad
	case v.Level.N > Top() || !slices.Equal(v.Level.Features, FeaturesAt(v.Level.N)):
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
			return fmt.Sprintf("%s%s cannot be read: %s", statekv.NodePrefix, n.Host, n.Bad)
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
func (v *View) Refuse(n Node, lease uint64) ([]statekv.Cond, []statekv.Op) {
	why := fmt.Sprintf("the fleet is at level %d and build %s lacks %s", v.Level.N, n.Caps.Build, n.Caps.Lacks(v.Level))
	return []statekv.Cond{{Key: statekv.LevelKey, Rev: v.LevelRev}, {Key: statekv.NodePrefix + n.Host, Rev: n.Rev}},
		[]statekv.Op{{Set: statekv.NodePrefix + n.Host, Value: statekv.Refusal{Refused: why}, Lease: lease}}
}
