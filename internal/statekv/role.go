package statekv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Holder says which session of which controller holds a role.
type Holder struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"instance"` // the revision of the session's key
}

// RoleSchema is the schema version of the keys of roles that this build writes and reads.
const RoleSchema = 0

// HolderOf reads who holds a role from its key. A *SchemaError says that a later version wrote
// it: then it must be left alone.
func HolderOf(kv KV) (Holder, error) {
	var holder Holder
	if err := CheckSchema("a role's key", kv.Value, RoleSchema); err != nil {
		return holder, err
	}
	if err := json.Unmarshal(kv.Value, &holder); err != nil {
		return holder, fmt.Errorf("a role's key: %w", err)
	}
	return holder, nil
}

// Role is a key that names its holder, as it was seen when its holder's session was found to
// have ended. The revision of the key is the holder's epoch, or fencing token.
type Role struct {
	Key            string
	ExpectedRev    uint64
	PreviousHolder Holder // whose session has ended; zero: acquired whether it is alive or not
	Value          any    // names the new holder
}

// Acquire writes a role's key if it still has the expected revision, and returns the new
// revision, which fences off earlier holders. If an answer is lost, the next try meets its own
// write and recognises it.
func (s *Session) Acquire(ctx context.Context, role Role) (uint64, error) {
	rev, err := s.Write(ctx, s.RoleCompares(role), []Op{s.roleOp(role)})
	if !IsConflict(err) {
		return rev, err
	}
	kv, readErr := s.store.Get(ctx, role.Key)
	if readErr != nil {
		return 0, err
	}
	if holder, err := HolderOf(kv); err == nil && holder == s.Holder {
		return kv.Rev, nil
	}
	return 0, err
}

// AcquireAll acquires roles like Acquire, up to maxOps with one transaction, and returns the
// revisions of those acquired by their keys. After all controllers have crashed there are dozens
// to acquire, and several controllers try: one by one, with a conflict for each that another was
// faster with, that took longer than everything else until the service worked again. Roles lost
// to others are left out; so are those whose transaction had no answer, which the mirror will
// show if they were acquired.
func (s *Session) AcquireAll(ctx context.Context, roles []Role, maxOps int) (map[string]uint64, error) {
	acquired := map[string]uint64{}
	for len(roles) > 0 {
		size := min(s.store.TxnBatchSize(maxOps), len(roles))
		group, later := roles[:size], roles[size:]
		tooLarge, err := s.acquireGroup(ctx, group, acquired)
		if err != nil {
			return acquired, err
		}
		roles = append(slices.Clone(tooLarge), later...)
	}
	return acquired, nil
}

// acquireGroup acquires with one transaction all roles of a group that are not lost to others,
// and notes them in acquired. It returns those that are too many for one transaction.
func (s *Session) acquireGroup(
	ctx context.Context, group []Role, acquired map[string]uint64,
) (tooLarge []Role, err error) {
	for len(group) > 0 {
		rev, err := s.writeRoles(ctx, group)
		if err == nil {
			for _, role := range group {
				acquired[role.Key] = rev
			}
			return nil, nil
		}
		if errors.Is(err, ErrTooLarge) && len(group) > 1 {
			return group, nil
		}
		remaining := s.withoutLost(group, err)
		if len(remaining) == len(group) {
			// No role is lost: there was no answer, or this session has ended.
			return nil, fmt.Errorf("acquiring %d roles: %w", len(group), err)
		}
		group = remaining
	}
	return nil, nil
}

// writeRoles writes the keys of several roles with one transaction.
func (s *Session) writeRoles(ctx context.Context, roles []Role) (uint64, error) {
	var when []Compare
	var then []Op
	for _, role := range roles {
		for _, compare := range s.RoleCompares(role) {
			if !slices.Contains(when, compare) {
				when = append(when, compare)
			}
		}
		then = append(then, s.roleOp(role))
	}
	return s.Write(ctx, when, then)
}

// withoutLost returns the roles of a group that its transaction's error does not name as lost:
// another was faster, or the previous holder is alive.
func (s *Session) withoutLost(group []Role, err error) []Role {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return group
	}
	return slices.DeleteFunc(slices.Clone(group), func(role Role) bool {
		if slices.Contains(conflict.Failed, role.Key) {
			return true
		}
		return s.comparesPrevious(role) && slices.Contains(conflict.Failed, SessionPrefix+role.PreviousHolder.Host)
	})
}

// RoleCompares is what has to hold for a role to be acquired or removed: nobody was faster, and
// the state service too has the previous holder's session ended, whatever the mirror shows.
func (s *Session) RoleCompares(role Role) []Compare {
	when := []Compare{{Key: role.Key, Rev: role.ExpectedRev}}
	if s.comparesPrevious(role) {
		previous := SessionPrefix + role.PreviousHolder.Host
		later, _ := s.mirror.Get(previous)
		when = append(when, Compare{Key: previous, Rev: later.Rev})
	}
	return when
}

// comparesPrevious reports whether a role had another host's holder whose session must have
// ended.
func (s *Session) comparesPrevious(role Role) bool {
	return role.PreviousHolder.Host != "" && role.PreviousHolder.Host != s.Host
}

// roleOp sets a role's key to its new value, with the fields that this build does not know of
// the value that it replaces.
func (s *Session) roleOp(role Role) Op {
	value := role.Value
	if kv, ok := s.mirror.Get(role.Key); ok && kv.Rev == role.ExpectedRev {
		value = PreserveUnknown(kv.Value, value)
	}
	return Op{Set: role.Key, Value: value}
}
