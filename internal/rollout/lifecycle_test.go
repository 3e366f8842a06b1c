package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"robinstack/internal/statekv"
)

// The life cycle of three controllers, searched through exhaustively up to a number of
// events: joins of three builds, rises, lowerings, holds, refusals, writes of data, ends
// of lives, and transactions that are applied late or never. Every decision is made by
// the code's own functions, from what the controller saw when it looked last, however
// long ago; which is what standing still, a cut and a slow state service amount to.

// store is the state service: keys with their revisions. A key that does not exist has
// none.
type store struct {
	rev  uint64
	keys [8]statekv.KV // in the order of places
}

const waitingJob = "robin/job/wk-1" // one that waits for another

var places = []string{waitingJob, statekv.MembershipKey, statekv.ClusterVersionKey, statekv.MigrationKey, statekv.LeaderKey, statekv.SessionPrefix + "host-0", statekv.SessionPrefix + "host-1", statekv.SessionPrefix + "host-2"}

func place(key string) int { return slices.Index(places, key) }

func (s *store) at(key string) statekv.KV { return s.keys[place(key)] }

func (s *store) set(key string, value json.RawMessage) {
	s.keys[place(key)] = statekv.KV{Key: key, Value: value, Rev: s.rev}
}

func (s *store) Get(key string) (statekv.KV, bool) {
	kv := s.at(key)
	return kv, kv.Rev != 0
}

func (s *store) Dir(prefix string) (out []statekv.KV) {
	for _, kv := range s.keys {
		if kv.Rev != 0 && strings.HasPrefix(kv.Key, prefix) {
			out = append(out, kv)
		}
	}
	return out
}

// sent is a transaction on its way.
type sent struct {
	text string // what and then
	what string
	when []statekv.Compare
	then []statekv.Op
	form string // features that a write of data goes by
}

func (s *sent) write() {
	raw, err := json.Marshal(s.then)
	if err != nil {
		panic(err)
	}
	s.text = s.what + string(raw)
}

type life struct {
	build    int
	instance uint64 // 0: it has not begun, as far as it knows
	saw      store
	sent     *sent
}

type world struct {
	store
	lives  [3]life
	budget [4]int // joins, changes of the level by persons, writes, ends of lives
	rose   uint64 // revision at which the level became what it is
}

// builds: one of the time before there were levels, one that knows the first, one that
// knows the first two, as the former version did, and one that knows pipelines too.
var builds = []Capabilities{{}, {Build: "1", Features: FeaturesAt(1)}, {Build: "2", Features: FeaturesAt(2)}, {Build: "3", Features: append(FeaturesAt(2), FeatureDependencies)}}

var names = []string{"host-0", "host-1", "host-2"}

// fault leaves a condition out of what is sent, as a forgotten compare would.
type fault string

func (f fault) drop(s *sent) {
	what, key, _ := strings.Cut(string(f), " ")
	if what == s.what {
		s.when = slices.DeleteFunc(slices.Clone(s.when), func(c statekv.Compare) bool { return strings.HasPrefix(c.Key, key) })
	}
}

// next lists the worlds that may follow, with what happened. bad is a broken promise.
func (w *world) next(planted fault) (out []world, did []string, bad error) {
	for h := range w.lives {
		l := &w.lives[h]
		add := func(what string, change func(v *world, l *life)) {
			v := *w
			change(&v, &v.lives[h])
			out, did = append(out, v), append(did, fmt.Sprintf("%s %s", names[h], what))
		}
		send := func(s sent) func(*world, *life) {
			planted.drop(&s)
			s.write()
			return func(_ *world, l *life) { l.sent = &s }
		}
		if l.sent != nil {
			add("lost "+l.sent.what, func(_ *world, l *life) { l.sent = nil })
			v := *w
			if err := v.apply(h); err != nil {
				return nil, nil, err
			}
			out, did = append(out, v), append(did, fmt.Sprintf("%s applied %s", names[h], l.sent.what))
			continue // one at a time
		}
		if l.instance == 0 {
			if w.budget[0] == 0 {
				continue
			}
			for b := range builds {
				look := w.store
				s := sent{what: "join", then: []statekv.Op{{Set: statekv.SessionPrefix + names[h], Value: struct{}{}}}}
				if b > 0 {
					reg, err := NewRegistration(&look, builds[b])
					if err != nil {
						continue
					}
					s.when, s.then = reg.Compares, append([]statekv.Op{{Set: statekv.SessionPrefix + names[h], Value: reg.Value}}, reg.Ops...)
				}
				planted.drop(&s)
				s.write()
				add("joins with build "+builds[b].Build, func(v *world, l *life) { v.budget[0]--; l.build, l.saw, l.sent = b, look, &s })
			}
			continue
		}
		if w.budget[3] > 0 {
			if kv := w.at(statekv.SessionPrefix + names[h]); kv.Rev == l.instance {
				// Its lease ends; it does not know.
				add("expires", func(v *world, _ *life) { v.budget[3]--; v.rev++; v.keys[place(kv.Key)] = statekv.KV{} })
			}
			add("restarts", func(v *world, l *life) { v.budget[3]--; *l = life{} })
		}
		if l.saw.rev != w.rev {
			add("looks", func(v *world, l *life) { l.saw = w.store })
		}
		own := statekv.Compare{Key: statekv.SessionPrefix + names[h], Rev: l.instance}
		if w.budget[2] > 0 {
			s := sent{what: "write", when: []statekv.Compare{own}}
			if l.build > 0 {
				r := &VersionReader{keys: &l.saw, capabilities: builds[l.build]}
				level, under := r.Current()
				s.when, s.form = append(s.when, under), fmt.Sprint(level.Features)
				if level.Accepts(FeatureDependencies) && l.build == 3 {
					submit := sent{what: "submit", when: s.when, then: []statekv.Op{{Set: waitingJob, Value: 1}}}
					add("submits a job that waits", func(v *world, l *life) { v.budget[2]--; send(submit)(v, l) })
				}
			}
			add("writes", func(v *world, l *life) { v.budget[2]--; send(s)(v, l) })
		}
		if l.build == 0 {
			continue
		}
		v := NewSnapshot(&l.saw, names, ClusterVersion{})
		v.JobsNeeding = func(Feature) (names []string) {
			if _, open := l.saw.Get(waitingJob); open {
				names = append(names, "wk-1")
			}
			return names
		}
		v.Self, v.VersionAge, v.LeaderEpoch = names[h], time.Hour, l.saw.at(statekv.LeaderKey).Rev
		for k := range v.Controllers {
			v.Controllers[k].StateAge = time.Hour
		}
		for _, n := range v.IncompatibleControllers() {
			if n.Host != names[h] && builds[l.build].Missing(v.Version) == "" {
				when, then := v.PlanReject(n, 1)
				add("refuses "+n.Host, send(sent{what: "refuse", when: append(when, own), then: then}))
			}
		}
		if v.Version.Number < len(builds)-1 {
			if change, _ := v.PlanRaise(); change != nil {
				add("raises", send(sent{what: "rise", when: append(change.Compares, own), then: change.Ops}))
			}
		}
		if w.budget[1] > 0 {
			v.LeaderEpoch = 0
			for _, f := range v.Version.Features {
				if change, _ := v.PlanLower(f, "x"); change != nil {
					add("lowers "+string(f), func(v *world, l *life) {
						v.budget[1]--
						send(sent{what: "lower", when: append(change.Compares, own), then: change.Ops})(v, l)
					})
				}
			}
			if change, _ := v.PlanHold("x"); change != nil && v.Version.HoldReason == "" {
				add("holds", func(v *world, l *life) {
					v.budget[1]--
					send(sent{what: "hold", when: append(change.Compares, own), then: change.Ops})(v, l)
				})
			}
		}
	}
	return out, did, nil
}

func (w *world) level() ClusterVersion {
	kv, ok := w.Get(statekv.ClusterVersionKey)
	if !ok {
		return ClusterVersion{}
	}
	l, err := ParseClusterVersion(kv.Value)
	if err != nil {
		panic(err)
	}
	return l
}

// apply carries out what a controller sent, if its conditions hold, and checks what
// was promised.
func (w *world) apply(h int) error {
	l := &w.lives[h]
	s := l.sent
	l.sent = nil
	for _, c := range s.when {
		if w.at(c.Key).Rev != c.Rev {
			return nil
		}
	}
	before := w.level()
	w.rev++
	for _, op := range s.then {
		raw, err := json.Marshal(op.Value)
		if err != nil {
			return err
		}
		if op.Delete != "" {
			w.keys[place(op.Delete)] = statekv.KV{}
		} else {
			w.set(op.Set, raw)
		}
	}
	after := w.level()
	if _, open := w.Get(waitingJob); open && !after.Enabled(FeatureDependencies) {
		return errors.New("a job waits for another and the level lets those live who do not know of that")
	}
	if after.Number != before.Number {
		w.rose = w.rev
	}
	switch s.what {
	case "join":
		l.instance = w.rev
		if l.build > 0 && builds[l.build].Missing(after) != "" {
			return errors.New("a life began at a level that its build does not know")
		}
	case "write":
		if s.form != fmt.Sprint(after.Features) && (l.build > 0 || after.Number > 0 && w.refusable(h)) {
			return fmt.Errorf("a write by level %s was applied at level %v", s.form, after.Features)
		}
	case "rise", "lower":
		if d := after.Number - before.Number; d != 1 && d != -1 && after.Disabling == before.Disabling {
			return fmt.Errorf("from level %d to %d", before.Number, after.Number)
		}
		if before.HoldReason != "" && s.what == "rise" && after.Number > before.Number {
			return errors.New("it rose although a person held it")
		}
		for k := range w.lives {
			kv, lives := w.Get(statekv.SessionPrefix + names[k])
			if !lives || statekv.RejectionReason(kv) != "" {
				continue
			}
			caps, err := ParseCapabilities(kv.Value)
			if err != nil {
				return err
			}
			if lacks := caps.Missing(after); lacks != "" && caps.Missing(before) == "" {
				return fmt.Errorf("it went to level %d while %s lives, whose build lacks %s", after.Number, names[k], lacks)
			}
		}
	}
	return nil
}

// refusable reports whether a former controller's life began before the level did.
func (w *world) refusable(h int) bool {
	return w.lives[h].instance < w.rose
}

// id names the world: revisions count only by their order.
func (w *world) id() string {
	order := []uint64{0}
	each := func(f func(uint64)) {
		for _, l := range w.lives {
			f(l.instance)
			f(w.rose)
			if l.sent != nil {
				for _, c := range l.sent.when {
					f(c.Rev)
				}
			}
		}
		for _, s := range [...]*store{&w.store, &w.lives[0].saw, &w.lives[1].saw, &w.lives[2].saw} {
			for k := range s.keys {
				f(s.keys[k].Rev)
			}
		}
	}
	each(func(r uint64) { order = append(order, r) })
	slices.Sort(order)
	order = slices.Compact(order)
	b := make([]byte, 0, 1024)
	each(func(r uint64) {
		at, _ := slices.BinarySearch(order, r)
		b = append(b, byte(at))
	})
	for _, s := range [...]*store{&w.store, &w.lives[0].saw, &w.lives[1].saw, &w.lives[2].saw} {
		for k := range s.keys {
			b = append(append(b, s.keys[k].Value...), '|')
		}
	}
	for _, l := range w.lives {
		b = append(b, byte(l.build))
		if l.sent != nil {
			b = append(append(b, l.sent.text...), byte(len(l.sent.when)))
			b = append(append(b, l.sent.form...), '|')
		}
	}
	for _, n := range w.budget {
		b = append(b, byte(n))
	}
	return string(b)
}

// search goes through all worlds that follow from one in which every controller lives
// with the given builds, and returns the first broken promise with its story.
func search(start [3]int, budget [4]int, planted fault, most int) (worlds int, story []string, bad error) {
	w := world{store: store{rev: 1}, budget: budget}
	w.set(statekv.LeaderKey, nil)
	for h, b := range start {
		if b >= 0 {
			raw, _ := json.Marshal(builds[b])
			w.rev++
			w.set(statekv.SessionPrefix+names[h], raw)
		}
	}
	for h, b := range start {
		if b >= 0 {
			w.lives[h] = life{build: b, instance: w.at(statekv.SessionPrefix + names[h]).Rev, saw: w.store}
		}
	}
	type from struct {
		world
		at  int
		did string
	}
	queue, seen := []from{{w, -1, ""}}, map[string]bool{w.id(): true}
	tell := func(at int) (story []string) {
		for ; at > 0; at = queue[at].at {
			story = append(story, queue[at].did)
		}
		slices.Reverse(story)
		return story
	}
	for k := 0; k < len(queue) && len(queue) < most; k++ {
		out, did, err := queue[k].next(planted)
		if err != nil {
			return len(queue), tell(k), err
		}
		for i, v := range out {
			if id := v.id(); !seen[id] {
				seen[id] = true
				queue = append(queue, from{v, k, did[i]})
			}
		}
	}
	return len(queue), nil, nil
}

func TestLifeCycle(t *testing.T) {
	const most = 100_000 // all of these end before
	for name, c := range map[string]struct {
		start  [3]int
		budget [4]int
	}{
		"a join in the midst of rises":       {[3]int{2, 2, -1}, [4]int{1, 0, 1, 0}},
		"a person and a join":                {[3]int{2, 2, -1}, [4]int{1, 1, 0, 0}},
		"one that knows less, and an end":    {[3]int{2, 1, 2}, [4]int{0, 0, 1, 1}},
		"the last former one is replaced":    {[3]int{2, 2, 0}, [4]int{1, 0, 1, 1}},
		"holds and lowerings beside a write": {[3]int{2, 2, 2}, [4]int{0, 1, 1, 0}},
		"two persons":                        {[3]int{2, 2, 2}, [4]int{0, 2, 0, 0}},
		"the last of the former version":     {[3]int{3, 3, 2}, [4]int{1, 0, 0, 1}},
		"one that waits, and one who lowers": {[3]int{3, 3, -1}, [4]int{0, 1, 1, 0}},
		"a lowering and a join of before":    {[3]int{3, -1, -1}, [4]int{1, 1, 1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worlds, story, err := search(c.start, c.budget, "", most)
			if err != nil || worlds >= most {
				t.Errorf("%v: %v after %d worlds:\n%s", c, err, worlds, strings.Join(story, "\n"))
			}
			t.Logf("%v: %d worlds", c, worlds)
		})
	}
}

// A compare that is forgotten anywhere is found by the same search.
func TestLifeCycleFindsForgottenCompares(t *testing.T) {
	for planted, c := range map[fault]struct {
		start  [3]int
		budget [4]int
	}{
		"join " + statekv.ClusterVersionKey:   {[3]int{2, 2, -1}, [4]int{1, 1, 0, 0}},
		"rise " + statekv.SessionPrefix:       {[3]int{2, 2, -1}, [4]int{1, 2, 1, 1}},
		"rise " + statekv.ClusterVersionKey:   {[3]int{2, 2, 2}, [4]int{1, 2, 1, 1}},
		"lower " + statekv.ClusterVersionKey:  {[3]int{2, 2, 2}, [4]int{1, 2, 1, 1}},
		"write " + statekv.ClusterVersionKey:  {[3]int{2, 2, 2}, [4]int{1, 2, 1, 1}},
		"write " + statekv.SessionPrefix:      {[3]int{2, 2, 0}, [4]int{1, 2, 1, 1}},
		"submit " + statekv.ClusterVersionKey: {[3]int{3, 3, -1}, [4]int{0, 1, 1, 0}},
	} {
		t.Run(string(planted), func(t *testing.T) {
			t.Parallel()
			worlds, story, err := search(c.start, c.budget, planted, 100_000)
			if err == nil {
				t.Fatalf("without %s nothing was found in %d worlds", planted, worlds)
			}
			t.Logf("without %s: %v\n  %s", planted, err, strings.Join(story, "\n  "))
		})
	}
}
