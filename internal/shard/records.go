// Package shard reads the keys of machines and of machine shards: a machine's key names its
// shard, and the shard's key names the controller that owns it. It owns no state and may
// import the state service's client only.
package shard

import (
	"encoding/json"
	"fmt"
	"strings"

	"robinstack/internal/statekv"
)

// MachineRecord is what a machine's key in the state service holds.
type MachineRecord struct {
	Shard   string `json:"shard"`
	Address string `json:"address"`
	Type    string `json:"type"`
	Zone    string `json:"zone"`
	Spot    bool   `json:"spot"`
}

// Record is what a machine shard's key holds. Index spreads the shards of an owner whose
// session has ended among the others.
type Record struct {
	statekv.Holder
	Index int `json:"index"`
}

// RecordSchema is the schema of the keys of machines and shards that this build writes and
// reads.
const RecordSchema = 0

// ParseValue reads a key for the mirror, once for all who look at it. An error says why
// a machine's or a shard's key cannot be read.
func ParseValue(key string, value json.RawMessage) any {
	switch {
	case strings.HasPrefix(key, statekv.MachinePrefix):
		return parseAs[MachineRecord]("a machine's key", value)
	case strings.HasPrefix(key, statekv.MachineShardPrefix):
		return parseAs[Record]("a shard's key", value)
	}
	return nil
}

func parseAs[T any](kind string, value json.RawMessage) any {
	v := new(T)
	if err := json.Unmarshal(value, v); err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	if err := statekv.CheckSchema(kind, value, RecordSchema); err != nil {
		return err
	}
	return v
}

func parsedAs[T any](kv statekv.KV) *T {
	if k, ok := kv.Parsed.(*T); ok {
		return k
	}
	k, _ := ParseValue(kv.Key, kv.Value).(*T)
	return k
}

// ParseMachineRecord returns what a machine's key holds, or nil if it cannot be read.
func ParseMachineRecord(kv statekv.KV) *MachineRecord { return parsedAs[MachineRecord](kv) }

// ParseRecord returns what a shard's key holds, or nil if it cannot be read.
func ParseRecord(kv statekv.KV) *Record { return parsedAs[Record](kv) }

// OwnerOf returns who owns the machine of a key, if its shard has an owner, and
// the revision that this ownership has: that of the later of the two keys.
func OwnerOf(mirror *statekv.Mirror, kv statekv.KV) (holder statekv.Holder, rev uint64) {
	key := ParseMachineRecord(kv)
	if key == nil {
		return holder, kv.Rev
	}
	shard, ok := mirror.Get(statekv.MachineShardPrefix + key.Shard)
	if !ok {
		return holder, kv.Rev
	}
	return HolderOf(shard), max(kv.Rev, shard.Rev)
}

// OwnerIndex is the shards' owners by shard id, for those who look through all machines.
type OwnerIndex map[string]Ownership

// Ownership is who owns a shard, under which revision of its key.
type Ownership struct {
	Holder statekv.Holder
	Rev    uint64
}

// NewOwnerIndex returns the owners of shards by the shards' keys.
func NewOwnerIndex(shards []statekv.KV) OwnerIndex {
	index := make(OwnerIndex, len(shards))
	for _, kv := range shards {
		index[kv.Key[len(statekv.MachineShardPrefix):]] = Ownership{HolderOf(kv), kv.Rev}
	}
	return index
}

// OwnerOf is the function OwnerOf for a machine's key that has been read, of revision rev.
func (o OwnerIndex) OwnerOf(key *MachineRecord, rev uint64) (statekv.Holder, uint64) {
	shard := o[key.Shard]
	return shard.Holder, max(rev, shard.Rev)
}

// HolderOf returns who owns a shard by its key, or the zero Holder if it cannot be read.
func HolderOf(shard statekv.KV) statekv.Holder {
	if key := ParseRecord(shard); key != nil {
		return key.Holder
	}
	return statekv.Holder{}
}
