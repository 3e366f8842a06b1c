package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"robinstack/internal/statekv"
)

// An exhaustive model of the sessions of three controllers, up to a number of events: joins
// of four builds, raises, lowerings, holds, rejections, writes of data, ends of sessions,
// and transactions that are applied late or never. Every decision is made by the package's
// own functions, from what the controller read last, however long ago; which is what
// standing still, a partition and a slow state service amount to.

// modelStore is the state service: keys with their revisions. A key that does not exist
// has none.
type modelStore struct {
	rev  uint64
	keys [8]statekv.KV // in the order of modelKeys
}

const dependentJobKey = "robin/job/wk-1" // of a job that depends on another

var modelKeys = []string{
	dependentJobKey, statekv.MembershipKey, statekv.ClusterVersionKey, statekv.MigrationKey, statekv.LeaderKey,
	statekv.SessionPrefix + "host-0", statekv.SessionPrefix + "host-1", statekv.SessionPrefix + "host-2",
}

func keyIndex(key string) int { return slices.Index(modelKeys, key) }

func (s *modelStore) entry(key string) statekv.KV { return s.keys[keyIndex(key)] }

func (s *modelStore) set(key string, value json.RawMessage) {
	s.keys[keyIndex(key)] = statekv.KV{Key: key, Value: value, Rev: s.rev}
}

func (s *modelStore) Get(key string) (statekv.KV, bool) {
	kv := s.entry(key)
	return kv, kv.Rev != 0
}

func (s *modelStore) Dir(prefix string) (items []statekv.KV) {
	for _, kv := range s.keys {
		if kv.Rev != 0 && strings.HasPrefix(kv.Key, prefix) {
			items = append(items, kv)
		}
	}
	return items
}

// pendingTxn is a transaction on its way.
type pendingTxn struct {
	fingerprint string // action and ops
	action      string
	compares    []statekv.Compare
	ops         []statekv.Op
	features    string // which a write of data depends on
}

func (s *pendingTxn) setFingerprint() {
	raw, err := json.Marshal(s.ops)
	if err != nil {
		panic(err)
	}
	s.fingerprint = s.action + string(raw)
}

type modelSession struct {
	build       int
	incarnation uint64 // 0: it has not begun, as far as it knows
	seen        modelStore
	pending     *pendingTxn
}

// eventBudget bounds the events of each kind.
type eventBudget struct{ joins, commands, writes, ends int }

type modelState struct {
	modelStore
	sessions   [3]modelSession
	budget     eventBudget
	versionRev uint64 // revision at which the version became what it is
}

// modelBuilds: one from before there were versions, one that knows the first feature, one
// that knows the first two, as the former build did, and one that knows dependencies too.
var modelBuilds = []Capabilities{
	{},
	{Build: "1", Features: FeaturesAt(1)},
	{Build: "2", Features: FeaturesAt(2)},
	{Build: "3", Features: append(FeaturesAt(2), FeatureDependencies)},
}

// buildWithDependencies is the index of the build that knows dependencies.
const buildWithDependencies = 3

var modelHosts = []string{"host-0", "host-1", "host-2"}

// omittedCompare leaves a compare out of what is sent, as an omission in the code would:
// an action and the prefix of a key.
type omittedCompare string

func (f omittedCompare) apply(txn *pendingTxn) {
	action, key, _ := strings.Cut(string(f), " ")
	if action == txn.action {
		txn.compares = slices.DeleteFunc(slices.Clone(txn.compares), func(c statekv.Compare) bool {
			return strings.HasPrefix(c.Key, key)
		})
	}
}

// transitions collects what may follow from one state by events of one host.
type transitions struct {
	from    *modelState
	host    int
	planted omittedCompare
	states  []modelState
	events  []string
}

// add notes a state that follows, made by change from a copy.
func (n *transitions) add(event string, change func(w *modelState, l *modelSession)) {
	w := *n.from
	change(&w, &w.sessions[n.host])
	n.states = append(n.states, w)
	n.events = append(n.events, fmt.Sprintf("%s %s", modelHosts[n.host], event))
}

// send returns the change that has the host send a transaction.
func (n *transitions) send(txn pendingTxn) func(*modelState, *modelSession) {
	n.planted.apply(&txn)
	txn.setFingerprint()
	return func(_ *modelState, l *modelSession) { l.pending = &txn }
}

// successors lists the states that may follow, with the events. bad is a broken invariant.
func (w *modelState) successors(planted omittedCompare) (states []modelState, events []string, bad error) {
	for h := range w.sessions {
		n := &transitions{from: w, host: h, planted: planted}
		l := &w.sessions[h]
		switch {
		case l.pending != nil: // one transaction at a time
			if err := n.finishPending(l); err != nil {
				return nil, nil, err
			}
		case l.incarnation == 0:
			n.join()
		default:
			n.endSession(l)
			n.readKeys(l)
			n.writeData(l)
			n.decide(l)
		}
		states, events = append(states, n.states...), append(events, n.events...)
	}
	return states, events, nil
}

// finishPending has the pending transaction lost or applied.
func (n *transitions) finishPending(l *modelSession) error {
	n.add("lost "+l.pending.action, func(_ *modelState, l *modelSession) { l.pending = nil })
	w := *n.from
	if err := w.apply(n.host); err != nil {
		return err
	}
	n.states = append(n.states, w)
	n.events = append(n.events, fmt.Sprintf("%s applied %s", modelHosts[n.host], l.pending.action))
	return nil
}

// join has a session of any build begin.
func (n *transitions) join() {
	if n.from.budget.joins == 0 {
		return
	}
	sessionKey := statekv.SessionPrefix + modelHosts[n.host]
	for b := range modelBuilds {
		seen := n.from.modelStore
		txn := pendingTxn{action: "join", ops: []statekv.Op{{Set: sessionKey, Value: struct{}{}}}}
		if b > 0 {
			registration, err := NewRegistration(&seen, modelBuilds[b])
			if err != nil {
				continue
			}
			txn.compares = registration.Compares
			txn.ops = append([]statekv.Op{{Set: sessionKey, Value: registration.Value}}, registration.Ops...)
		}
		send := n.send(txn)
		n.add("joins with build "+modelBuilds[b].Build, func(w *modelState, l *modelSession) {
			w.budget.joins--
			l.build, l.seen = b, seen
			send(w, l)
		})
	}
}

// endSession has the session's lease expire or its controller restart.
func (n *transitions) endSession(l *modelSession) {
	if n.from.budget.ends > 0 {
		if kv := n.from.entry(statekv.SessionPrefix + modelHosts[n.host]); kv.Rev == l.incarnation {
			// The controller does not know.
			n.add("expires", func(w *modelState, _ *modelSession) {
				w.budget.ends--
				w.rev++
				w.keys[keyIndex(kv.Key)] = statekv.KV{}
			})
		}
		n.add("restarts", func(w *modelState, l *modelSession) {
			w.budget.ends--
			*l = modelSession{}
		})
	}
}

// readKeys brings what the session has seen up to date.
func (n *transitions) readKeys(l *modelSession) {
	if l.seen.rev != n.from.rev {
		n.add("reads", func(_ *modelState, l *modelSession) { l.seen = n.from.modelStore })
	}
}

// fence is the compare that the host's session goes on.
func (n *transitions) fence(l *modelSession) statekv.Compare {
	return statekv.Compare{Key: statekv.SessionPrefix + modelHosts[n.host], Rev: l.incarnation}
}

// writeData has the session write data, or accept a job that depends on another.
func (n *transitions) writeData(l *modelSession) {
	if n.from.budget.writes == 0 {
		return
	}
	within := func(txn pendingTxn) func(*modelState, *modelSession) {
		send := n.send(txn)
		return func(w *modelState, l *modelSession) {
			w.budget.writes--
			send(w, l)
		}
	}
	write := pendingTxn{action: "write", compares: []statekv.Compare{n.fence(l)}}
	if l.build > 0 {
		reader := &VersionReader{keys: &l.seen, capabilities: modelBuilds[l.build]}
		version, fence := reader.Current()
		write.compares, write.features = append(write.compares, fence), fmt.Sprint(version.Features)
		if version.Accepts(FeatureDependencies) && l.build == buildWithDependencies {
			ops := []statekv.Op{{Set: dependentJobKey, Value: 1}}
			submit := pendingTxn{action: "submit", compares: write.compares, ops: ops}
			n.add("submits a dependent job", within(submit))
		}
	}
	n.add("writes", within(write))
}

// decide has the session's controller do what the package's plans allow.
func (n *transitions) decide(l *modelSession) {
	if l.build == 0 {
		return
	}
	s := NewSnapshot(&l.seen, modelHosts, ClusterVersion{})
	s.JobsNeeding = func(Feature) (ids []string) {
		if _, open := l.seen.Get(dependentJobKey); open {
			ids = append(ids, "wk-1")
		}
		return ids
	}
	s.Self, s.VersionAge, s.LeaderEpoch = modelHosts[n.host], time.Hour, l.seen.entry(statekv.LeaderKey).Rev
	for k := range s.Controllers {
		s.Controllers[k].StateAge = time.Hour
	}
	fence := n.fence(l)
	for _, c := range s.IncompatibleControllers() {
		if c.Host != modelHosts[n.host] && modelBuilds[l.build].Missing(s.Version) == "" {
			compares, ops := s.PlanReject(c, 1)
			n.add("rejects "+c.Host, n.send(pendingTxn{action: "reject", compares: append(compares, fence), ops: ops}))
		}
	}
	if s.Version.Number < len(modelBuilds)-1 {
		if change, _ := s.PlanRaise(); change != nil {
			n.add("raises", n.send(pendingTxn{action: "raise", compares: append(change.Compares, fence), ops: change.Ops}))
		}
	}
	n.command(s, fence)
}

// command has an operator ask the host to lower or hold the version.
func (n *transitions) command(s Snapshot, fence statekv.Compare) {
	if n.from.budget.commands == 0 {
		return
	}
	s.LeaderEpoch = 0
	add := func(event, action string, change *VersionChange) {
		send := n.send(pendingTxn{action: action, compares: append(change.Compares, fence), ops: change.Ops})
		n.add(event, func(w *modelState, l *modelSession) {
			w.budget.commands--
			send(w, l)
		})
	}
	for _, feature := range s.Version.Features {
		if change, _ := s.PlanLower(feature, "x"); change != nil {
			add("lowers "+string(feature), "lower", change)
		}
	}
	if change, _ := s.PlanHold("x"); change != nil && s.Version.HoldReason == "" {
		add("holds", "hold", change)
	}
}

// version returns the stored version; absent is version 0.
func (w *modelState) version() ClusterVersion {
	kv, ok := w.Get(statekv.ClusterVersionKey)
	if !ok {
		return ClusterVersion{}
	}
	version, err := ParseClusterVersion(kv.Value)
	if err != nil {
		panic(err)
	}
	return version
}

// apply carries out what a host sent, if its compares hold, and checks the invariants.
func (w *modelState) apply(host int) error {
	l := &w.sessions[host]
	txn := l.pending
	l.pending = nil
	for _, c := range txn.compares {
		if w.entry(c.Key).Rev != c.Rev {
			return nil
		}
	}
	before := w.version()
	w.rev++
	for _, op := range txn.ops {
		raw, err := json.Marshal(op.Value)
		if err != nil {
			return err
		}
		if op.Delete != "" {
			w.keys[keyIndex(op.Delete)] = statekv.KV{}
		} else {
			w.set(op.Set, raw)
		}
	}
	after := w.version()
	if _, open := w.Get(dependentJobKey); open && !after.Enabled(FeatureDependencies) {
		return errors.New("a job depends on another and the version lets controllers live that do not know of that")
	}
	if after.Number != before.Number {
		w.versionRev = w.rev
	}
	switch txn.action {
	case "join":
		l.incarnation = w.rev
		if l.build > 0 && modelBuilds[l.build].Missing(after) != "" {
			return errors.New("a session began at a version that its build does not support")
		}
	case "write":
		bound := l.build > 0 || after.Number > 0 && w.startedBeforeVersion(host)
		if bound && txn.features != fmt.Sprint(after.Features) {
			return fmt.Errorf("a write under %s was applied under %v", txn.features, after.Features)
		}
	case "raise", "lower":
		return w.checkChange(txn.action, before, after)
	}
	return nil
}

// checkChange checks the invariants of a change of the version.
func (w *modelState) checkChange(action string, before, after ClusterVersion) error {
	if d := after.Number - before.Number; d != 1 && d != -1 && after.Disabling == before.Disabling {
		return fmt.Errorf("from version %d to %d", before.Number, after.Number)
	}
	if before.HoldReason != "" && action == "raise" && after.Number > before.Number {
		return errors.New("it was raised although an operator held it")
	}
	for k := range w.sessions {
		kv, alive := w.Get(statekv.SessionPrefix + modelHosts[k])
		if !alive || statekv.RejectionReason(kv) != "" {
			continue
		}
		capabilities, err := ParseCapabilities(kv.Value)
		if err != nil {
			return err
		}
		if missing := capabilities.Missing(after); missing != "" && capabilities.Missing(before) == "" {
			return fmt.Errorf("it went to version %d while %s is alive, whose build lacks %s",
				after.Number, modelHosts[k], missing)
		}
	}
	return nil
}

// startedBeforeVersion reports whether a controller's session began before the version did.
func (w *modelState) startedBeforeVersion(host int) bool {
	return w.sessions[host].incarnation < w.versionRev
}
