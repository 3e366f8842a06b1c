package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// storedKind describes a kind of stored values: the prefix of their keys and how this build decodes
// them.
type storedKind struct {
	prefix, name string
	decode       func(key string, value json.RawMessage) error
}

// storedKinds lists all kinds of keys that this build knows. The first matching prefix decides.
var storedKinds = []storedKind{
	{statekv.ClusterVersionKey, ClusterVersionKind, valueDecoder(ParseClusterVersion)},
	{statekv.MembershipKey, "joins", objectDecoder("the joins' key")},
	{statekv.MigrationKey, "move", objectDecoder("the move's key")},
	{statekv.LeaderKey, "steward", objectDecoder("the steward's key")},
	{statekv.MachineTypesKey, "types", valueDecoder(parseJSON[[]json.RawMessage])},
	{statekv.SessionPrefix, "node", valueDecoder(ParseCapabilities)},
	{statekv.JobShardPrefix, "slot", objectDecoder("a slot's key")},
	{statekv.MachinePrefix, "machine", decodeOwnership},
	{statekv.MachineShardPrefix, "shard", decodeOwnership},
	{job.RecordPrefix, JobRecordKind, valueDecoder(job.ParseRecord)},
	{tombstone.LegacyPrefix, "ended, former", decodeTombstone},
	{tombstone.Prefix, TombstoneKind, decodeTombstone},
	{job.SpecFragmentPrefix, "piece", valueDecoder(parseJSON[string])},
	{job.CompletedChunkPrefix, "part", valueDecoder(parseJSON[string])},
}

// valueDecoder adapts a parser that needs only the value of a key.
func valueDecoder[T any](parse func(json.RawMessage) (T, error)) func(string, json.RawMessage) error {
	return func(_ string, value json.RawMessage) error {
		_, err := parse(value)
		return err
	}
}

func parseJSON[T any](value json.RawMessage) (parsed T, err error) {
	err = json.Unmarshal(value, &parsed)
	return parsed, err
}

// objectDecoder returns a decoder that requires a value to be a JSON object of schema 0 and checks
// nothing else.
func objectDecoder(subject string) func(string, json.RawMessage) error {
	return func(_ string, value json.RawMessage) error {
		if _, err := parseJSON[map[string]json.RawMessage](value); err != nil {
			return fmt.Errorf("%s: %w", subject, err)
		}
		return statekv.CheckSchema(subject, value, 0)
	}
}

// decodeOwnership decodes the values of the keys of machines and of machine shards.
func decodeOwnership(key string, value json.RawMessage) error {
	err, _ := shard.ParseValue(key, value).(error) // any other type is the decoded value
	return err
}

func decodeTombstone(key string, value json.RawMessage) error {
	_, _, _, err := tombstone.Parse(key, value)
	return err
}

// CompatibilityReport says which of the stored values this build can decode.
type CompatibilityReport struct {
	Version     ClusterVersion
	Missing     string         // what this build lacks for the stored cluster version, or ""
	Counts      map[string]int // number of values, by kind
	Bytes       map[string]int // total size of keys and values, by kind
	Undecodable []UndecodableValue
	ForeignKeys int // number of keys outside statekv.RootPrefix
}

// Compatible reports whether this build can run with the stored values.
func (r *CompatibilityReport) Compatible() bool { return r.Missing == "" && len(r.Undecodable) == 0 }

// Add adds one stored value to the report.
func (r *CompatibilityReport) Add(key string, value json.RawMessage) {
	if r.Counts == nil {
		r.Counts, r.Bytes = map[string]int{}, map[string]int{}
	}
	hasPrefix := func(kind storedKind) bool { return strings.HasPrefix(key, kind.prefix) }
	index := slices.IndexFunc(storedKinds, hasPrefix)
	if index < 0 {
		r.addUnknownKey(key)
		return
	}
	kind := storedKinds[index]
	r.Counts[kind.name]++
	r.Bytes[kind.name] += len(key) + len(value)
	if err := kind.decode(key, value); err != nil {
		r.Undecodable = append(r.Undecodable, UndecodableValue{key, err.Error()})
		return
	}
	if key == statekv.ClusterVersionKey {
		r.Version, _ = ParseClusterVersion(value) // the value was decoded without an error above
		r.Missing = LocalCapabilities().Missing(r.Version)
	}
}

// addUnknownKey adds a key of no known kind to the report. Under statekv.RootPrefix it counts as
// undecodable.
func (r *CompatibilityReport) addUnknownKey(key string) {
	if !strings.HasPrefix(key, statekv.RootPrefix) {
		r.ForeignKeys++
		return
	}
	r.Undecodable = append(r.Undecodable, UndecodableValue{key, "this build knows no such key"})
}

func (r *CompatibilityReport) addPage(page statekv.Page) {
	for _, kv := range page.Items {
		r.Add(kv.Key, kv.Value)
	}
}

// CheckDump reports on a dump of the state service: the concatenated bodies of its responses to GET
// /keys, one for each page, in their order.
func CheckDump(dump io.Reader) (*CompatibilityReport, error) {
	report := &CompatibilityReport{}
	decoder := json.NewDecoder(dump)
	for n := 1; ; n++ {
		var page statekv.Page
		err := decoder.Decode(&page)
		if errors.Is(err, io.EOF) {
			return report, nil
		}
		if err != nil {
			return nil, fmt.Errorf("page %d of the dump: %w", n, err)
		}
		report.addPage(page)
	}
}

// CheckStore reports on all keys under statekv.RootPrefix in a state service.
func CheckStore(ctx context.Context, store statekv.Store) (*CompatibilityReport, error) {
	report := &CompatibilityReport{}
	after := ""
	for {
		page, err := store.List(ctx, statekv.RootPrefix, after)
		if err != nil {
			return nil, fmt.Errorf("listing the state service's keys: %w", err)
		}
		report.addPage(page)
		if !page.More || len(page.Items) == 0 {
			return report, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// maxUndecodablePrinted bounds the undecodable keys that are printed.
const maxUndecodablePrinted = 20

// Print writes the report as a table.
func (r *CompatibilityReport) Print(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "level %d with %v\n", r.Version.Number, r.Version.Features)
	fmt.Fprintln(&text, "kind\tvalues\tbytes")
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&text, "%s\t%d\t%d\n", name, r.Counts[name], r.Bytes[name])
	}
	for i, value := range r.Undecodable {
		if i == maxUndecodablePrinted {
			fmt.Fprintf(&text, "and %d more that cannot be read\n", len(r.Undecodable)-i)
			break
		}
		fmt.Fprintf(&text, "cannot be read: %s: %s\n", value.Key, value.Reason)
	}
	if r.Missing != "" {
		fmt.Fprintf(&text, "this build (%s) lacks %s\n", BuildVersion, r.Missing)
	}
	if r.Compatible() {
		fmt.Fprintf(&text, "this build (%s) reads all of it\n", BuildVersion)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}
