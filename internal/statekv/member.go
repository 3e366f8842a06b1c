package statekv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"time"
)

// FleetPrefix is the prefix of the keys that every controller mirrors.
const FleetPrefix = "robin/fleet/"

// Keys of roles and of what the fleet knows.
const (
	RootPrefix    = "robin/"
	NodePrefix    = FleetPrefix + "node/"
	SlotPrefix    = FleetPrefix + "slot/"
	MachinePrefix = FleetPrefix + "machine/"
	ShardPrefix   = FleetPrefix + "shard/"
	StewardKey    = FleetPrefix + "steward"
	TypesKey      = FleetPrefix + "types"

	// LevelKey says what the fleet's controllers do together (package rollout),
	// JoinsKey changes with every life that begins, MoveKey tells how far stored
	// values have been moved to another form.
	LevelKey = FleetPrefix + "level"
	JoinsKey = FleetPrefix + "joins"
	MoveKey  = FleetPrefix + "move"
)

// Holder says which life of which controller holds a role.
type Holder struct {
	Host     string `json:"host"`
	Instance uint64 `json:"instance"`
}

// RoleForm is the form of the keys of roles that this build writes and reads.
const RoleForm = 0

// HolderOf reads who holds a role by its key. A *FormError says that a later version
// wrote it: then it must be left alone.
func HolderOf(kv KV) (Holder, error) {
	var h Holder
	if err := CheckForm("a role's key", kv.Value, RoleForm); err != nil {
		return h, err
	}
	if err := json.Unmarshal(kv.Value, &h); err != nil {
		return h, fmt.Errorf("a role's key: %w", err)
	}
	return h, nil
}

// Role is a key that names its holder, as it was seen when its holder's life
// was found to be over.
type Role struct {
	Key   string
	Seen  uint64 // its revision
	From  Holder // whose life is over; zero: taken whether it lives or not
	Value any    // names the new holder
}

// Member is one life of this controller: a key attached to a state lease.
// Every write carries the condition that the key still has its revision, so
// nothing this life sent can be applied after its end.
type Member struct {
	Holder
	store  Store
	mirror *Mirror
	ttl    time.Duration
	lease  uint64

	began    time.Time
	replaced chan error // why another has taken over although the lease is held

	mu      sync.Mutex
	renewed time.Time // when the last successful renewal was sent
}

// Registration is what the key of a life says, and what has to hold for it to begin.
type Registration struct {
	Value any    // nil: nothing
	When  []Cond // a *Conflict from Join says that one did not hold
	Also  []Op   // written with it
}

// Join registers a new life of host, ending any earlier one that the mirror shows. A
// copy of an earlier life's registration that is carried out late, with its lease alive
// because the word to end that was lost as well, must not replace this one: the key has to
// be as it was seen, or the next try sees what it is.
func Join(ctx context.Context, store Store, mirror *Mirror, host string, ttl time.Duration, reg Registration) (*Member, error) {
	sent := time.Now()
	lease, err := store.Grant(ctx, ttl)
	if err != nil {
		return nil, fmt.Errorf("obtaining a state lease: %w", err)
	}
	if reg.Value == nil {
		reg.Value = struct{}{}
	}
	was, _ := mirror.Get(NodePrefix + host)
	when := append(slices.Clone(reg.When), Cond{Key: NodePrefix + host, Rev: was.Rev})
	rev, err := store.Txn(ctx, when, append([]Op{{Set: NodePrefix + host, Value: reg.Value, Lease: lease}}, reg.Also...))
	if err != nil {
		// A copy applied late must not replace a later registration.
		_ = store.Revoke(ctx, lease)
		return nil, fmt.Errorf("registering: %w", err)
	}
	return &Member{Holder: Holder{Host: host, Instance: rev}, store: store, mirror: mirror, ttl: ttl, lease: lease, began: time.Now(), replaced: make(chan error, 1), renewed: sent}, nil
}

// Keep renews the lease until ctx ends or the lease is lost.
func (m *Member) Keep(ctx context.Context) error {
	tick := time.NewTicker(m.ttl / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-m.replaced:
			return err
		case <-tick.C:
		}
		sent := time.Now()
		err := m.store.Renew(ctx, m.lease)
		if errors.Is(err, ErrNotFound) {
			return errors.New("state lease has ended")
		}
		if err != nil {
			slog.Debug("state lease renewal failed", "err", err)
			continue
		}
		if kv, ok := m.mirror.Get(NodePrefix + m.Host); ok && kv.Rev > m.Instance {
			return errors.New("replaced by a later life")
		}
		m.mu.Lock()
		m.renewed = sent
		m.mu.Unlock()
	}
}

// Replaced ends this life, for the given reason: another controller holds a role
// that only it should hold, so that others do not take it for alive.
func (m *Member) Replaced(reason error) {
	select {
	case m.replaced <- reason:
	default:
	}
}

// Certain reports whether the lease is certainly held right now.
func (m *Member) Certain() bool { return time.Since(m.Renewed()) < m.ttl-m.ttl/8 }

// Renewed is when the last successful renewal was sent.
func (m *Member) Renewed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewed
}

// Cond is the condition that every write of this life carries.
func (m *Member) Cond() Cond { return Cond{Key: NodePrefix + m.Host, Rev: m.Instance} }

// Alive reports whether the holder's life goes on, as far as the mirror shows.
func (m *Member) Alive(h Holder) bool {
	kv, ok := m.mirror.Get(NodePrefix + h.Host)
	return ok && kv.Rev == h.Instance
}

// AliveHosts lists the controllers that are alive, in order.
func (m *Member) AliveHosts() []string {
	var hosts []string
	for _, kv := range m.mirror.Dir(NodePrefix) {
		if Refused(kv) == "" {
			hosts = append(hosts, kv.Key[len(NodePrefix):])
		}
	}
	sort.Strings(hosts)
	return hosts
}

// Refusal is what another controller writes in place of a life that must not go on.
type Refusal struct {
	Refused string `json:"refused"` // why
}

// Refused tells why the life whose key kv was is refused, or "".
func Refused(kv KV) string {
	var r Refusal
	if len(kv.Value) > 2 && json.Unmarshal(kv.Value, &r) == nil {
		return r.Refused
	}
	return ""
}

// gathering is how long a new life leaves what is not its own part to controllers
// that may just be coming back too.
const gathering = 2 * time.Second

// Heirs lists the controllers among which roles whose holder's life is over are
// divided: those that live. A life that has just begun counts all there are,
// given as hosts, for when all have crashed they come back within a second of each
// other, and the first would take everything.
func (m *Member) Heirs(hosts []string) []string {
	if time.Since(m.began) > gathering {
		return m.AliveHosts()
	}
	return slices.Sorted(slices.Values(hosts))
}

// Write applies ops under the member's condition and the given ones.
func (m *Member) Write(ctx context.Context, when []Cond, then []Op) (uint64, error) {
	return m.store.Txn(ctx, append([]Cond{m.Cond()}, when...), then)
}

// Conds is what has to hold for r to be taken or removed: nobody was faster, and the
// state service too has the earlier holder's life over, whatever the mirror shows.
func (m *Member) Conds(r Role) []Cond {
	when := []Cond{{Key: r.Key, Rev: r.Seen}}
	if r.From.Host != "" && r.From.Host != m.Host {
		later, _ := m.mirror.Get(NodePrefix + r.From.Host)
		when = append(when, Cond{Key: NodePrefix + r.From.Host, Rev: later.Rev})
	}
	return when
}

// keep is the role's new value with what it does not know of the one it replaces.
func (m *Member) keep(r Role) any {
	if kv, ok := m.mirror.Get(r.Key); ok && kv.Rev == r.Seen {
		return Keep(kv.Value, r.Value)
	}
	return r.Value
}

// Take writes a role's key if it still has the revision seen, and returns the
// new revision, which fences off earlier holders. If an answer is lost, the next
// try meets its own write and recognises it.
func (m *Member) Take(ctx context.Context, r Role) (uint64, error) {
	rev, err := m.Write(ctx, m.Conds(r), []Op{{Set: r.Key, Value: m.keep(r)}})
	if !IsConflict(err) {
		return rev, err
	}
	kv, readErr := m.store.Get(ctx, r.Key)
	if readErr != nil {
		return 0, err
	}
	if h, err := HolderOf(kv); err == nil && h == m.Holder {
		return kv.Rev, nil
	}
	return 0, err
}

// TakeAll takes roles like Take, up to most with one transaction, and returns the
// revisions of those taken by their keys. After all controllers have crashed there
// are dozens to take, and several controllers try: one by one, with a conflict for
// each that another was faster with, that took longer than everything else until
// the service worked again. Roles lost to others are left out; so are those whose
// transaction had no answer, which the mirror will show if they were taken.
func (m *Member) TakeAll(ctx context.Context, roles []Role, most int) (map[string]uint64, error) {
	taken := map[string]uint64{}
	for len(roles) > 0 {
		group := roles[:min(m.store.Batch(most), len(roles))]
		roles = roles[len(group):]
		for len(group) > 0 {
			var when []Cond
			var then []Op
			for _, r := range group {
				for _, c := range m.Conds(r) {
					if !slices.Contains(when, c) {
						when = append(when, c)
					}
				}
				then = append(then, Op{Set: r.Key, Value: m.keep(r)})
			}
			rev, err := m.Write(ctx, when, then)
			if err == nil {
				for _, r := range group {
					taken[r.Key] = rev
				}
				break
			}
			if errors.Is(err, ErrTooLarge) && len(group) > 1 {
				roles = append(slices.Clone(group), roles...) // in smaller groups
				break
			}
			var conflict *Conflict
			if !errors.As(err, &conflict) {
				return taken, fmt.Errorf("taking %d roles: %w", len(group), err)
			}
			left := slices.DeleteFunc(slices.Clone(group), func(r Role) bool {
				return slices.Contains(conflict.Failed, r.Key) || r.From.Host != "" && r.From.Host != m.Host && slices.Contains(conflict.Failed, NodePrefix+r.From.Host)
			})
			if len(left) == len(group) {
				return taken, fmt.Errorf("taking %d roles: %w", len(group), err) // this life is over
			}
			group = left
		}
	}
	return taken, nil
}
