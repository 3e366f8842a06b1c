package rollout

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
)

// Names of the migrations of tombstones.
const (
	MigrationWriteCompact  = "copy" // writes a compact tombstone beside each legacy one
	MigrationDropLegacy    = "drop" // deletes the legacy tombstones
	MigrationRestoreLegacy = "back" // writes a legacy tombstone for each one that has only the compact format
)

// undecodableMigration takes the place of the name of a migration whose key cannot be decoded.
const undecodableMigration = "unreadable"

// Migration is the progress of a migration, as stored under statekv.MigrationKey.
type Migration struct {
	Name     string `json:"move"`
	Version  int    `json:"level"`           // cluster version at which the migration runs
	Cursor   string `json:"after,omitempty"` // ID of the last job scanned; jobs are scanned in the order of their keys
	Scanned  int    `json:"looked"`
	Migrated int    `json:"moved"`
	Done     bool   `json:"done,omitempty"`

	// Undecodable counts the values that cannot be decoded and are left unchanged.
	// UndecodableSample lists the first of them.
	Undecodable       int                `json:"bad,omitempty"`
	UndecodableSample []UndecodableValue `json:"unreadable,omitempty"`
}

// UndecodableValue is a stored value that cannot be decoded.
type UndecodableValue struct {
	Key    string `json:"key"`
	Reason string `json:"why"`
}

// The value of the migration's key has to fit the lowest value size limit of the state service,
// even if all listed keys have 200 bytes, the longest keys in use. Otherwise the progress could not
// be written, and the migration would never continue.
const (
	maxUndecodableListed = 4
	maxReasonBytes       = 150 // of each listed value
)

// MarshalJSON writes at most maxUndecodableListed undecodable values, since a list that an earlier
// build stored may be longer.
func (m Migration) MarshalJSON() ([]byte, error) {
	type plain Migration
	m.UndecodableSample = m.UndecodableSample[:min(len(m.UndecodableSample), maxUndecodableListed)]
	return json.Marshal(plain(m))
}

// recordUndecodable counts a value that cannot be decoded and is left unchanged, and lists it if
// the list is not full.
func (m *Migration) recordUndecodable(key string, err error) {
	slog.Error("stored value undecodable, kept unchanged", "key", key, "err", err)
	m.Undecodable++
	if len(m.UndecodableSample) >= maxUndecodableListed {
		return
	}
	reason := err.Error()
	reason = strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
	// Copies of the migration share the list, so it is cloned before it grows.
	m.UndecodableSample = append(slices.Clone(m.UndecodableSample), UndecodableValue{key, reason})
}

// String describes the progress for operators.
func (m Migration) String() string {
	progress := fmt.Sprintf("%s: %d of %d looked at so far moved", m.Name, m.Migrated, m.Scanned)
	if m.Done {
		progress = fmt.Sprintf("%s: all %d looked at, %d moved", m.Name, m.Scanned, m.Migrated)
	}
	if m.Undecodable > 0 {
		progress += fmt.Sprintf(", %d cannot be read", m.Undecodable)
	}
	return progress
}
