package emulator

import (
	"context"
	"time"

	"robinstack/internal/statekv"
)

// Grant creates a lease that does not expire.
func (s *StateService) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, statekv.ErrRejected
	}
	s.lastLease++
	id := s.lastLease
	s.leaseDeadlines[id] = time.Now().Add(ttl)
	return id, nil
}

// grantWithExpiry creates a lease that expires unless it is renewed within ttl.
func (s *StateService) grantWithExpiry(ctx context.Context, ttl time.Duration) (uint64, error) {
	id, err := s.Grant(ctx, ttl)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.leaseTTLs[id] = ttl
	s.mu.Unlock()
	return id, nil
}

// Renew returns nil if the lease exists and statekv.ErrNotFound if it does not. It does not extend
// the lease.
func (s *StateService) Renew(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return statekv.ErrRejected
	}
	if _, ok := s.leaseDeadlines[lease]; !ok {
		return statekv.ErrNotFound
	}
	return nil
}

// renewWithExpiry extends a lease that expires by its full TTL.
func (s *StateService) renewWithExpiry(ctx context.Context, lease uint64) error {
	if err := s.Renew(ctx, lease); err != nil {
		return err
	}
	s.mu.Lock()
	s.leaseDeadlines[lease] = time.Now().Add(s.leaseTTLs[lease])
	s.mu.Unlock()
	return nil
}

// Revoke ends a lease and deletes its keys. It works during an outage too.
func (s *StateService) Revoke(_ context.Context, lease uint64) error {
	s.revoke(lease)
	return nil
}

func (s *StateService) revoke(lease uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leaseDeadlines, lease)
	for key, keyLease := range s.keyLeases {
		if keyLease == lease && lease != 0 {
			s.revision++
			delete(s.keys, key)
			delete(s.keyLeases, key)
			s.recordEvent(statekv.Event{Delete: key, Rev: s.revision})
		}
	}
}

func (s *StateService) leaseExists(lease uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.leaseDeadlines[lease]
	return ok
}

// revokeExpired revokes the leases that have expired. No lease expires during an outage.
func (s *StateService) revokeExpired(now time.Time) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	var expired []uint64
	for id, deadline := range s.leaseDeadlines {
		if s.leaseTTLs[id] > 0 && now.After(deadline) {
			expired = append(expired, id)
		}
	}
	s.mu.Unlock()
	for _, id := range expired {
		s.revoke(id)
	}
}

// leaseExpiryInterval is the interval at which ExpireLeases checks for expired leases. Each HTTP
// request checks too.
const leaseExpiryInterval = 50 * time.Millisecond

// ExpireLeases revokes expired leases periodically, until stop is closed.
func (s *StateService) ExpireLeases(stop <-chan struct{}) {
	tick := time.NewTicker(leaseExpiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			s.revokeExpired(now)
		}
	}
}
