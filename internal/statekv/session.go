package statekv

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"
)

// Fractions of a lease's time to live.
const (
	// renewalsPerTTL is how many renewals are sent within it: several may fail.
	renewalsPerTTL = 4
	// marginPerTTL is the fraction of it that a session gives up for clock drift and for the
	// time that a write takes.
	marginPerTTL = 8
)

// Session is one session of this controller: a key attached to a lease. Every write carries the
// compare that the key still has its revision, the incarnation, so nothing that this session
// sent can be applied after its end.
type Session struct {
	Holder
	store  Store
	mirror *Mirror
	ttl    time.Duration
	lease  uint64
	opened time.Time

	aborted chan error // why the session has to end although the lease is held

	mu          sync.Mutex
	lastRenewal time.Time // when the last successful renewal was sent
}

// Registration is what the key of a session says, and what has to hold for it to open.
type Registration struct {
	Value    any       // nil: nothing
	Compares []Compare // a *ConflictError from OpenSession says that one did not hold
	Ops      []Op      // written with it
}

// OpenSession opens a session of host, ending any earlier one that the mirror shows. A copy of
// an earlier registration that is carried out late, with its lease alive because the request to
// revoke that was lost as well, must not replace this one: the key has to be as it was seen, or
// the next try sees what it is.
func OpenSession(
	ctx context.Context, store Store, mirror *Mirror, host string, ttl time.Duration, reg Registration,
) (*Session, error) {
	sent := time.Now()
	lease, err := store.Grant(ctx, ttl)
	if err != nil {
		return nil, fmt.Errorf("obtaining a state lease: %w", err)
	}
	if reg.Value == nil {
		reg.Value = struct{}{}
	}
	key := SessionPrefix + host
	former, _ := mirror.Get(key)
	when := append(slices.Clone(reg.Compares), Compare{Key: key, Rev: former.Rev})
	then := append([]Op{{Set: key, Value: reg.Value, Lease: lease}}, reg.Ops...)
	rev, err := store.Txn(ctx, when, then)
	if err != nil {
		// A copy applied late must not replace a later registration.
		_ = store.Revoke(ctx, lease)
		return nil, fmt.Errorf("registering: %w", err)
	}
	return &Session{
		Holder:      Holder{Host: host, Incarnation: rev},
		store:       store,
		mirror:      mirror,
		ttl:         ttl,
		lease:       lease,
		opened:      time.Now(),
		aborted:     make(chan error, 1),
		lastRenewal: sent,
	}, nil
}

// KeepAlive renews the lease until ctx ends, the lease is lost or the session is aborted; the
// error says which.
func (s *Session) KeepAlive(ctx context.Context) error {
	tick := time.NewTicker(s.ttl / renewalsPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-s.aborted:
			return err
		case <-tick.C:
		}
		sent := time.Now()
		err := s.store.Renew(ctx, s.lease)
		if errors.Is(err, ErrNotFound) {
			return errors.New("state lease has ended")
		}
		if err != nil {
			slog.Debug("state lease renewal failed", "err", err)
			continue
		}
		if kv, ok := s.mirror.Get(SessionPrefix + s.Host); ok && kv.Rev > s.Incarnation {
			return errors.New("replaced by a later session")
		}
		s.mu.Lock()
		s.lastRenewal = sent
		s.mu.Unlock()
	}
}

// Abort ends this session, for the given reason: another controller holds a role that only this
// one should hold, so that others do not take it for alive.
func (s *Session) Abort(reason error) {
	select {
	case s.aborted <- reason:
	default:
	}
}

// HoldsLease reports whether the lease is certainly held right now.
func (s *Session) HoldsLease() bool { return time.Since(s.LastRenewal()) < s.ttl-s.ttl/marginPerTTL }

// LastRenewal is when the last successful renewal was sent.
func (s *Session) LastRenewal() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRenewal
}

// Fence is the compare that every write of this session carries.
func (s *Session) Fence() Compare { return Compare{Key: SessionPrefix + s.Host, Rev: s.Incarnation} }

// Write applies then under the session's fence and the given compares.
func (s *Session) Write(ctx context.Context, when []Compare, then []Op) (uint64, error) {
	return s.store.Txn(ctx, append([]Compare{s.Fence()}, when...), then)
}
