package statekv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Holder identifies the session of a controller that holds a role.
type Holder struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"instance"` // revision of the session's key
}

// RoleSchema is the schema version of role keys that this build writes, and the latest that it
// reads.
const RoleSchema = 0

// HolderOf returns the holder of a role from the role's key. A *SchemaError means that a later
// version wrote the key, which must then be left unchanged.
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

// Role is a role to acquire or remove, as seen when its holder's session was found to have ended.
// The revision of the role's key is the holder's epoch and fencing token.
type Role struct {
	Key            string
	ExpectedRev    uint64
	PreviousHolder Holder // its session must have ended; if zero, no session is compared
	Value          any    // value that names the new holder
}

// Acquire writes a role's key if it still has the expected revision, and returns the new revision,
// which fences earlier holders. If the response to a successful write was lost, the next call
// conflicts with that write, recognises this session as the holder and succeeds.
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

// AcquireAll acquires roles like Acquire, up to maxOps in one transaction, and returns the
// revisions of the acquired roles by key. After all controllers have crashed, dozens of roles have
// to be acquired while several controllers compete for them. Acquiring them one by one, with a
// conflict for each role lost to a faster controller, took longer than all other steps of the
// recovery together. The result omits roles lost to other controllers and roles whose transaction
// had no answer; if such a role was acquired, the mirror will show it.
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

// acquireGroup acquires all roles of a group that are not lost to other controllers with one
// transaction, and records them in acquired. If the transaction is too large, it returns the roles
// that are left.
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
		remaining := s.rolesNotLost(group, err)
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

// rolesNotLost returns the roles of a group that are not lost according to the transaction's error.
// A role is lost if another controller wrote its key first, or if the previous holder's session is
// alive.
func (s *Session) rolesNotLost(group []Role, err error) []Role {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return group
	}
	return slices.DeleteFunc(slices.Clone(group), func(role Role) bool {
		if slices.Contains(conflict.Failed, role.Key) {
			return true
		}
		return s.comparesPreviousHolder(role) &&
			slices.Contains(conflict.Failed, SessionPrefix+role.PreviousHolder.Host)
	})
}

// RoleCompares returns the compares under which a role may be acquired or removed: its key has the
// expected revision, and the previous holder's session has ended in the state service as well,
// whatever the mirror shows.
func (s *Session) RoleCompares(role Role) []Compare {
	when := []Compare{{Key: role.Key, Rev: role.ExpectedRev}}
	if s.comparesPreviousHolder(role) {
		previous := SessionPrefix + role.PreviousHolder.Host
		later, _ := s.mirror.Get(previous)
		when = append(when, Compare{Key: previous, Rev: later.Rev})
	}
	return when
}

// comparesPreviousHolder reports whether the role has a previous holder on another host, whose
// session must have ended.
func (s *Session) comparesPreviousHolder(role Role) bool {
	return role.PreviousHolder.Host != "" && role.PreviousHolder.Host != s.Host
}

// roleOp returns the change that sets a role's key to its new value. The new value keeps the fields
// of the replaced value that this build does not know.
func (s *Session) roleOp(role Role) Op {
	value := role.Value
	if kv, ok := s.mirror.Get(role.Key); ok && kv.Rev == role.ExpectedRev {
		value = PreserveUnknownFields(kv.Value, value)
	}
	return Op{Set: role.Key, Value: value}
}
