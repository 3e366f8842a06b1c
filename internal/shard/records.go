// Package shard decodes the keys of machines and of machine shards: a machine's key names its
// shard, and the shard's key names the controller that owns it. The package has no state and may
// import only the client of the state service.
package shard

import (
	"encoding/json"
	"fmt"
	"strings"

	"robinstack/internal/statekv"
)

// MachineRecord is the value of a machine's key in the state service.
type MachineRecord struct {
	Shard   string `json:"shard"`
	Address string `json:"address"`
	Type    string `json:"type"`
	Zone    string `json:"zone"`
	Spot    bool   `json:"spot"`
}

// Record is the value of a machine shard's key. Index determines the zone that the shard belongs
// to, and spreads the shards of an owner whose session has ended over its successors.
type Record struct {
	statekv.Holder
	Index int `json:"index"`
}

// RecordSchema is the schema version of machine and shard keys that this build writes, and the
// highest that it reads.
const RecordSchema = 0

// ParseValue decodes the value of a machine's or a machine shard's key, so that the mirror decodes
// it once for all readers. It returns a *MachineRecord, a *Record, an error if the value cannot be
// decoded, or nil for other keys.
func ParseValue(key string, value json.RawMessage) any {
	switch {
	case strings.HasPrefix(key, statekv.MachinePrefix):
		return parseValueAs[MachineRecord]("machine key", value)
	case strings.HasPrefix(key, statekv.MachineShardPrefix):
		return parseValueAs[Record]("machine shard key", value)
	}
	return nil
}

func parseValueAs[T any](kind string, value json.RawMessage) any {
	record := new(T)
	if err := json.Unmarshal(value, record); err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	if err := statekv.CheckSchema(kind, value, RecordSchema); err != nil {
		return err
	}
	return record
}

func recordOf[T any](kv statekv.KV) *T {
	if record, ok := kv.Parsed.(*T); ok {
		return record
	}
	record, _ := ParseValue(kv.Key, kv.Value).(*T)
	return record
}

// ParseMachineRecord returns the decoded value of a machine's key, or nil if it cannot be decoded.
func ParseMachineRecord(kv statekv.KV) *MachineRecord { return recordOf[MachineRecord](kv) }

// ParseRecord returns the decoded value of a shard's key, or nil if it cannot be decoded.
func ParseRecord(kv statekv.KV) *Record { return recordOf[Record](kv) }

// OwnerOf returns the owner of the machine with the given key, or the zero Holder if its shard has
// no owner, and the ownership revision: the later of the revisions of the machine's and the shard's
// key.
func OwnerOf(mirror *statekv.Mirror, kv statekv.KV) (holder statekv.Holder, rev uint64) {
	record := ParseMachineRecord(kv)
	if record == nil {
		return holder, kv.Rev
	}
	shardKV, ok := mirror.Get(statekv.MachineShardPrefix + record.Shard)
	if !ok {
		return holder, kv.Rev
	}
	return HolderOf(shardKV), max(kv.Rev, shardKV.Rev)
}

// OwnerIndex holds the owners of shards by shard id, for callers that iterate over all machines.
type OwnerIndex map[string]Ownership

// Ownership is the owner of a shard, with the revision of the shard's key.
type Ownership struct {
	Holder statekv.Holder
	Rev    uint64
}

// NewOwnerIndex returns the owners that the given shard keys name.
func NewOwnerIndex(shards []statekv.KV) OwnerIndex {
	index := make(OwnerIndex, len(shards))
	for _, kv := range shards {
		index[kv.Key[len(statekv.MachineShardPrefix):]] = Ownership{HolderOf(kv), kv.Rev}
	}
	return index
}

// OwnerOf is like the function OwnerOf, for a decoded machine key of revision rev.
func (o OwnerIndex) OwnerOf(record *MachineRecord, rev uint64) (statekv.Holder, uint64) {
	ownership := o[record.Shard]
	return ownership.Holder, max(rev, ownership.Rev)
}

// HolderOf returns the owner that a shard's key names, or the zero Holder if the key cannot be
// decoded.
func HolderOf(shardKV statekv.KV) statekv.Holder {
	if record := ParseRecord(shardKV); record != nil {
		return record.Holder
	}
	return statekv.Holder{}
}
