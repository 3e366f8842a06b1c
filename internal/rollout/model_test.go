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

// The model explores exhaustively what the sessions of three controllers can do within a bounded
// number of events: joins of four builds, raises, lowerings, holds, rejections, writes of data,
// ends of sessions, and transactions that are applied late or never. Every decision is made by the
// package's own functions, from the keys as the controller last read them, however long ago. That
// covers a paused process, a partition and a slow state service.

// modelStore is the state service: keys with their revisions. A key that does not exist has
// revision 0.
type modelStore struct {
	rev  uint64
	keys [8]statekv.KV // in the order of modelKeys
}

const dependentJobKey = "robin/job/wk-1" // record of a job that depends on another

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

// pendingTxn is a transaction that was sent and is neither applied nor lost.
type pendingTxn struct {
	fingerprint string // of the action and the operations
	action      string
	compares    []statekv.Compare
	ops         []statekv.Op
	features    string // enabled features under which a write of data was made
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
	incarnation uint64 // 0: its registration has not been applied
	seen        modelStore
	pending     *pendingTxn
}

// eventBudget bounds the events of each kind.
type eventBudget struct{ joins, commands, writes, ends int }

type modelState struct {
	modelStore
	sessions   [3]modelSession
	budget     eventBudget
	versionRev uint64 // revision at which the version got its present number
}

// modelBuilds are a build that predates cluster versions, one that knows the first feature, one
// that knows the first two, as the previous build does, and one that knows dependencies too.
var modelBuilds = []Capabilities{
	{},
	{Build: "1", Features: FirstFeatures(1)},
	{Build: "2", Features: FirstFeatures(2)},
	{Build: "3", Features: append(FirstFeatures(2), FeatureDependencies)},
}

// buildWithDependencies is the index of the build that knows dependencies.
const buildWithDependencies = 3

var modelHosts = []string{"host-0", "host-1", "host-2"}

// omittedCompare identifies a compare by an action and the prefix of a key. The model leaves this
// compare out of the transactions of the action, as a bug in the code would.
type omittedCompare string

func (o omittedCompare) apply(txn *pendingTxn) {
	action, key, _ := strings.Cut(string(o), " ")
	if action == txn.action {
		txn.compares = slices.DeleteFunc(slices.Clone(txn.compares), func(c statekv.Compare) bool {
			return strings.HasPrefix(c.Key, key)
		})
	}
}

// transitions collects the states that may follow from one state by an event of one host.
type transitions struct {
	from    *modelState
	host    int
	omitted omittedCompare
	states  []modelState
	events  []string
}

// add adds a state that may follow: a copy of the present state, modified by change.
func (next *transitions) add(event string, change func(state *modelState, session *modelSession)) {
	state := *next.from
	change(&state, &state.sessions[next.host])
	next.states = append(next.states, state)
	next.events = append(next.events, fmt.Sprintf("%s %s", modelHosts[next.host], event))
}

// send returns the change by which the host sends a transaction.
func (next *transitions) send(txn pendingTxn) func(*modelState, *modelSession) {
	next.omitted.apply(&txn)
	txn.setFingerprint()
	return func(_ *modelState, session *modelSession) { session.pending = &txn }
}

// successors lists the states that may follow, with the events that lead to them. violation is a
// violated invariant.
func (state *modelState) successors(omitted omittedCompare) (states []modelState, events []string, violation error) {
	for h := range state.sessions {
		next := &transitions{from: state, host: h, omitted: omitted}
		session := &state.sessions[h]
		switch {
		case session.pending != nil: // a session sends one transaction at a time
			if err := next.finishPending(session); err != nil {
				return nil, nil, err
			}
		case session.incarnation == 0:
			next.join()
		default:
			next.endSession(session)
			next.readKeys(session)
			next.writeData(session)
			next.decide(session)
		}
		states, events = append(states, next.states...), append(events, next.events...)
	}
	return states, events, nil
}

// finishPending adds the state in which the pending transaction is lost and the one in which it is
// applied.
func (next *transitions) finishPending(session *modelSession) error {
	next.add("lost "+session.pending.action, func(_ *modelState, session *modelSession) { session.pending = nil })
	state := *next.from
	if err := state.apply(next.host); err != nil {
		return err
	}
	next.states = append(next.states, state)
	next.events = append(next.events, fmt.Sprintf("%s applied %s", modelHosts[next.host], session.pending.action))
	return nil
}

// join adds the states in which a controller of any build sends its registration.
func (next *transitions) join() {
	if next.from.budget.joins == 0 {
		return
	}
	sessionKey := statekv.SessionPrefix + modelHosts[next.host]
	for b := range modelBuilds {
		seen := next.from.modelStore
		txn := pendingTxn{action: "join", ops: []statekv.Op{{Set: sessionKey, Value: struct{}{}}}}
		if b > 0 {
			registration, err := NewRegistration(&seen, modelBuilds[b])
			if err != nil {
				continue
			}
			txn.compares = registration.Compares
			txn.ops = append([]statekv.Op{{Set: sessionKey, Value: registration.Value}}, registration.Ops...)
		}
		send := next.send(txn)
		next.add("joins with build "+modelBuilds[b].Build, func(state *modelState, session *modelSession) {
			state.budget.joins--
			session.build, session.seen = b, seen
			send(state, session)
		})
	}
}

// endSession adds the state in which the session's lease expires and the one in which its controller
// restarts.
func (next *transitions) endSession(session *modelSession) {
	if next.from.budget.ends > 0 {
		if kv := next.from.entry(statekv.SessionPrefix + modelHosts[next.host]); kv.Rev == session.incarnation {
			// The controller does not notice the expiry.
			next.add("expires", func(state *modelState, _ *modelSession) {
				state.budget.ends--
				state.rev++
				state.keys[keyIndex(kv.Key)] = statekv.KV{}
			})
		}
		next.add("restarts", func(state *modelState, session *modelSession) {
			state.budget.ends--
			*session = modelSession{}
		})
	}
}

// readKeys adds the state in which the session reads the present keys.
func (next *transitions) readKeys(session *modelSession) {
	if session.seen.rev != next.from.rev {
		next.add("reads", func(_ *modelState, session *modelSession) { session.seen = next.from.modelStore })
	}
}

// fence returns the compare that the host's session has not ended.
func (next *transitions) fence(session *modelSession) statekv.Compare {
	return statekv.Compare{Key: statekv.SessionPrefix + modelHosts[next.host], Rev: session.incarnation}
}

// writeData adds the states in which the session writes data, or accepts a job that depends on
// another.
func (next *transitions) writeData(session *modelSession) {
	if next.from.budget.writes == 0 {
		return
	}
	countWrite := func(txn pendingTxn) func(*modelState, *modelSession) {
		send := next.send(txn)
		return func(state *modelState, session *modelSession) {
			state.budget.writes--
			send(state, session)
		}
	}
	write := pendingTxn{action: "write", compares: []statekv.Compare{next.fence(session)}}
	if session.build > 0 {
		reader := &VersionReader{keys: &session.seen, capabilities: modelBuilds[session.build]}
		version, fence := reader.Current()
		write.compares, write.features = append(write.compares, fence), fmt.Sprint(version.Features)
		if version.Accepts(FeatureDependencies) && session.build == buildWithDependencies {
			ops := []statekv.Op{{Set: dependentJobKey, Value: 1}}
			submit := pendingTxn{action: "submit", compares: write.compares, ops: ops}
			next.add("submits a dependent job", countWrite(submit))
		}
	}
	next.add("writes", countWrite(write))
}

// decide adds the states in which the session's controller sends a change that the package plans.
func (next *transitions) decide(session *modelSession) {
	if session.build == 0 {
		return
	}
	s := NewSnapshot(&session.seen, modelHosts, ClusterVersion{})
	s.JobsNeeding = func(Feature) (ids []string) {
		if _, open := session.seen.Get(dependentJobKey); open {
			ids = append(ids, "wk-1")
		}
		return ids
	}
	s.Self, s.VersionAge, s.LeaderEpoch = modelHosts[next.host], time.Hour, session.seen.entry(statekv.LeaderKey).Rev
	for k := range s.Controllers {
		s.Controllers[k].StateAge = time.Hour
	}
	fence := next.fence(session)
	for _, c := range s.IncompatibleControllers() {
		if c.Host != modelHosts[next.host] && modelBuilds[session.build].Missing(s.Version) == "" {
			compares, ops := s.PlanReject(c, 1)
			next.add("rejects "+c.Host, next.send(pendingTxn{action: "reject", compares: append(compares, fence), ops: ops}))
		}
	}
	if s.Version.Number < len(modelBuilds)-1 {
		if change, _ := s.PlanRaise(); change != nil {
			next.add("raises", next.send(pendingTxn{action: "raise", compares: append(change.Compares, fence), ops: change.Ops}))
		}
	}
	next.command(s, fence)
}

// command adds the states in which an operator has the host lower or hold the version.
func (next *transitions) command(s Snapshot, fence statekv.Compare) {
	if next.from.budget.commands == 0 {
		return
	}
	s.LeaderEpoch = 0
	add := func(event, action string, change *VersionChange) {
		send := next.send(pendingTxn{action: action, compares: append(change.Compares, fence), ops: change.Ops})
		next.add(event, func(state *modelState, session *modelSession) {
			state.budget.commands--
			send(state, session)
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

// version returns the stored version, or version 0 if the key does not exist.
func (state *modelState) version() ClusterVersion {
	kv, ok := state.Get(statekv.ClusterVersionKey)
	if !ok {
		return ClusterVersion{}
	}
	version, err := ParseClusterVersion(kv.Value)
	if err != nil {
		panic(err)
	}
	return version
}

// apply applies the pending transaction of a host if its compares hold, and checks the invariants.
func (state *modelState) apply(host int) error {
	session := &state.sessions[host]
	txn := session.pending
	session.pending = nil
	for _, c := range txn.compares {
		if state.entry(c.Key).Rev != c.Rev {
			return nil
		}
	}
	before := state.version()
	state.rev++
	for _, op := range txn.ops {
		raw, err := json.Marshal(op.Value)
		if err != nil {
			return err
		}
		if op.Delete != "" {
			state.keys[keyIndex(op.Delete)] = statekv.KV{}
		} else {
			state.set(op.Set, raw)
		}
	}
	after := state.version()
	if _, open := state.Get(dependentJobKey); open && !after.Enabled(FeatureDependencies) {
		return errors.New("a dependent job is stored at a version without dependencies")
	}
	if after.Number != before.Number {
		state.versionRev = state.rev
	}
	switch txn.action {
	case "join":
		session.incarnation = state.rev
		if session.build > 0 && modelBuilds[session.build].Missing(after) != "" {
			return errors.New("a session began at a version that its build does not support")
		}
	case "write":
		bound := session.build > 0 || after.Number > 0 && state.startedBeforeVersion(host)
		if bound && txn.features != fmt.Sprint(after.Features) {
			return fmt.Errorf("a write planned under features %s was applied under %v", txn.features, after.Features)
		}
	case "raise", "lower":
		return state.checkChange(txn.action, before, after)
	}
	return nil
}

// checkChange checks the invariants of a change of the version.
func (state *modelState) checkChange(action string, before, after ClusterVersion) error {
	if d := after.Number - before.Number; d != 1 && d != -1 && after.Disabling == before.Disabling {
		return fmt.Errorf("the version changed from %d to %d", before.Number, after.Number)
	}
	if before.HoldReason != "" && action == "raise" && after.Number > before.Number {
		return errors.New("the version was raised although an operator held it")
	}
	for k := range state.sessions {
		kv, alive := state.Get(statekv.SessionPrefix + modelHosts[k])
		if !alive || statekv.RejectionReason(kv) != "" {
			continue
		}
		capabilities, err := ParseCapabilities(kv.Value)
		if err != nil {
			return err
		}
		if missing := capabilities.Missing(after); missing != "" && capabilities.Missing(before) == "" {
			return fmt.Errorf("the version became %d while %s is alive, whose build lacks %s",
				after.Number, modelHosts[k], missing)
		}
	}
	return nil
}

// startedBeforeVersion reports whether the host's session began before the version got its present
// number.
func (state *modelState) startedBeforeVersion(host int) bool {
	return state.sessions[host].incarnation < state.versionRev
}
