package rollout

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
)

// Migrations of stored values.
const (
	MigrationCopy          = "copy" // tombstones get a compact form beside the legacy one
	MigrationDropLegacy    = "drop" // the legacy ones are deleted
	MigrationRestoreLegacy = "back" // legacy ones are written for those that have only a compact form
)

// undecodableMigration is the name of a migration whose key cannot be decoded.
const undecodableMigration = "unreadable"

// Migration is how far a migration has got, as its key holds it.
type Migration struct {
	Name     string `json:"move"`
	Version  int    `json:"level"`           // cluster version at which it is made
	Cursor   string `json:"after,omitempty"` // the last job that was scanned, by the order of keys
	Scanned  int    `json:"looked"`
	Migrated int    `json:"moved"`
	Done     bool   `json:"done,omitempty"`

	// Undecodable counts the values that cannot be decoded and were left as they are; the
	// first ones are listed.
	Undecodable       int                `json:"bad,omitempty"`
	UndecodableSample []UndecodableValue `json:"unreadable,omitempty"`
}

// UndecodableValue is a stored value that cannot be decoded.
type UndecodableValue struct {
	Key    string `json:"key"`
	Reason string `json:"why"`
}

// The key of a migration has to fit the smallest limit of a value with keys of 200 bytes,
// the longest there are, or the migration could never go on.
const (
	maxUndecodableListed = 4   // values
	maxReasonBytes       = 150 // of each
)

// MarshalJSON writes no more undecodable values than fit: the former version listed more.
func (m Migration) MarshalJSON() ([]byte, error) {
	type plain Migration
	m.UndecodableSample = m.UndecodableSample[:min(len(m.UndecodableSample), maxUndecodableListed)]
	return json.Marshal(plain(m))
}

// noteUndecodable counts a value that is left as it is.
func (m *Migration) noteUndecodable(key string, err error) {
	slog.Error("stored value undecodable, kept unchanged", "key", key, "err", err)
	m.Undecodable++
	if len(m.UndecodableSample) >= maxUndecodableListed {
		return
	}
	reason := err.Error()
	reason = strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
	// Copies of the migration share the list.
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
