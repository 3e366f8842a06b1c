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

// Holder says which life of which controller holds a role.
type Holder struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"instance"`
}

// RoleSchema is the form of the keys of roles that this build writes and reads.
const RoleSchema = 0

// HolderOf reads who holds a role by its key. A *SchemaError says that a later version
// wrote it: then it must be left alone.
func HolderOf(kv KV) (Holder, error) {
	var h Holder
	if err := CheckSchema("a role's key", kv.Value, RoleSchema); err != nil {
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
	Key            string
	ExpectedRev    uint64 // its revision
	PreviousHolder Holder // whose life is over; zero: taken whether it lives or not
	Value          any    // names the new holder
}

// Session is one life of this controller: a key attached to a state lease.
// Every write carries the condition that the key still has its revision, so
// nothing this life sent can be applied after its end.
type Session struct {
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
	Value    any       // nil: nothing
	Compares []Compare // a *Conflict from Join says that one did not hold
	Ops      []Op      // written with it
}

// OpenSession registers a new life of host, ending any earlier one that the mirror shows. A
// copy of an earlier life's registration that is carried out late, with its lease alive
// because the word to end that was lost as well, must not replace this one: the key has to
// be as it was seen, or the next try sees what it is.
func OpenSession(ctx context.Context, store Store, mirror *Mirror, host string, ttl time.Duration, reg Registration) (*Session, error) {
	sent := time.Now()
	lease, err := store.Grant(ctx, ttl)
	if err != nil {
		return nil, fmt.Errorf("obtaining a state lease: %w", err)
	}
	if reg.Value == nil {
		reg.Value = struct{}{}
	}
	was, _ := mirror.Get(SessionPrefix + host)
	when := append(slices.Clone(reg.Compares), Compare{Key: SessionPrefix + host, Rev: was.Rev})
	rev, err := store.Txn(ctx, when, append([]Op{{Set: SessionPrefix + host, Value: reg.Value, Lease: lease}}, reg.Ops...))
	if err != nil {
		// A copy applied late must not replace a later registration.
		_ = store.Revoke(ctx, lease)
		return nil, fmt.Errorf("registering: %w", err)
	}
	return &Session{Holder: Holder{Host: host, Incarnation: rev}, store: store, mirror: mirror, ttl: ttl, lease: lease, began: time.Now(), replaced: make(chan error, 1), renewed: sent}, nil
}

// KeepAlive renews the lease until ctx ends or the lease is lost.
func (m *Session) KeepAlive(ctx context.Context) error {
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
		if kv, ok := m.mirror.Get(SessionPrefix + m.Host); ok && kv.Rev > m.Incarnation {
			return errors.New("replaced by a later life")
		}
		m.mu.Lock()
		m.renewed = sent
		m.mu.Unlock()
	}
}

// Abort ends this life, for the given reason: another controller holds a role
// that only it should hold, so that others do not take it for alive.
func (m *Session) Abort(reason error) {
	select {
	case m.replaced <- reason:
	default:
	}
}

// HoldsLease reports whether the lease is certainly held right now.
func (m *Session) HoldsLease() bool { return time.Since(m.LastRenewal()) < m.ttl-m.ttl/8 }

// LastRenewal is when the last successful renewal was sent.
func (m *Session) LastRenewal() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewed
}

// Fence is the condition that every write of this life carries.
func (m *Session) Fence() Compare { return Compare{Key: SessionPrefix + m.Host, Rev: m.Incarnation} }

// Alive reports whether the holder's life goes on, as far as the mirror shows.
func (m *Session) Alive(h Holder) bool {
	kv, ok := m.mirror.Get(SessionPrefix + h.Host)
	return ok && kv.Rev == h.Incarnation
}

// AliveHosts lists the controllers that are alive, in order.
func (m *Session) AliveHosts() []string {
	var hosts []string
	for _, kv := range m.mirror.Dir(SessionPrefix) {
		if RejectionReason(kv) == "" {
			hosts = append(hosts, kv.Key[len(SessionPrefix):])
		}
	}
	sort.Strings(hosts)
	return hosts
}

// Rejection is what another controller writes in place of a life that must not go on.
type Rejection struct {
	Reason string `json:"refused"` // why
}

// RejectionReason tells why the life whose key kv was is refused, or "".
func RejectionReason(kv KV) string {
	var r Rejection
	if len(kv.Value) > 2 && json.Unmarshal(kv.Value, &r) == nil {
		return r.Reason
	}
	return ""
}

// gathering is how long a new life leaves what is not its own part to controllers
// that may just be coming back too.
const gathering = 2 * time.Second

// Successors lists the controllers among which roles whose holder's life is over are
// divided: those that live. A life that has just begun counts all there are,
// given as hosts, for when all have crashed they come back within a second of each
// other, and the first would take everything.
func (m *Session) Successors(hosts []string) []string {
	if time.Since(m.began) > gathering {
		return m.AliveHosts()
	}
	return slices.Sorted(slices.Values(hosts))
}

// Write applies ops under the member's condition and the given ones.
func (m *Session) Write(ctx context.Context, when []Compare, then []Op) (uint64, error) {
	return m.store.Txn(ctx, append([]Compare{m.Fence()}, when...), then)
}

// RoleCompares is what has to hold for r to be taken or removed: nobody was faster, and the
// state service too has the earlier holder's life over, whatever the mirror shows.
func (m *Session) RoleCompares(r Role) []Compare {
	when := []Compare{{Key: r.Key, Rev: r.ExpectedRev}}
	if r.PreviousHolder.Host != "" && r.PreviousHolder.Host != m.Host {
		later, _ := m.mirror.Get(SessionPrefix + r.PreviousHolder.Host)
		when = append(when, Compare{Key: SessionPrefix + r.PreviousHolder.Host, Rev: later.Rev})
	}
	return when
}

// keep is the role's new value with what it does not know of the one it replaces.
func (m *Session) keep(r Role) any {
	if kv, ok := m.mirror.Get(r.Key); ok && kv.Rev == r.ExpectedRev {
		return PreserveUnknown(kv.Value, r.Value)
	}
	return r.Value
}

// Acquire writes a role's key if it still has the revision seen, and returns the
// new revision, which fences off earlier holders. If an answer is lost, the next
// try meets its own write and recognises it.
func (m *Session) Acquire(ctx context.Context, r Role) (uint64, error) {
	rev, err := m.Write(ctx, m.RoleCompares(r), []Op{{Set: r.Key, Value: m.keep(r)}})
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

// AcquireAll takes roles like Take, up to most with one transaction, and returns the
// revisions of those taken by their keys. After all controllers have crashed there
// are dozens to take, and several controllers try: one by one, with a conflict for
// each that another was faster with, that took longer than everything else until
// the service worked again. Roles lost to others are left out; so are those whose
// transaction had no answer, which the mirror will show if they were taken.
func (m *Session) AcquireAll(ctx context.Context, roles []Role, most int) (map[string]uint64, error) {
	taken := map[string]uint64{}
	for len(roles) > 0 {
		group := roles[:min(m.store.TxnBatchSize(most), len(roles))]
		roles = roles[len(group):]
		for len(group) > 0 {
			var when []Compare
			var then []Op
			for _, r := range group {
				for _, c := range m.RoleCompares(r) {
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
			var conflict *ConflictError
			if !errors.As(err, &conflict) {
				return taken, fmt.Errorf("taking %d roles: %w", len(group), err)
			}
			left := slices.DeleteFunc(slices.Clone(group), func(r Role) bool {
				return slices.Contains(conflict.Failed, r.Key) || r.PreviousHolder.Host != "" && r.PreviousHolder.Host != m.Host && slices.Contains(conflict.Failed, SessionPrefix+r.PreviousHolder.Host)
			})
			if len(left) == len(group) {
				return taken, fmt.Errorf("taking %d roles: %w", len(group), err) // this life is over
			}
			group = left
		}
	}
	return taken, nil
}
