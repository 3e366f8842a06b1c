package rollout

import (
	"context"
	"encoding/json"
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

// kind is a kind of stored value, by the prefix of its keys, and how this build reads
// one.
type kind struct {
	prefix, name string
	read         func(key string, value json.RawMessage) error
}

// object reads what has no form of its own beyond being an object of form 0.
func object(name string) func(string, json.RawMessage) error {
	return func(_ string, value json.RawMessage) error {
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(value, &fields); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		return statekv.CheckSchema(name, value, 0)
	}
}

func parsed(key string, value json.RawMessage) error {
	err, _ := shard.ParseValue(key, value).(error)
	return err
}

func endedJob(key string, value json.RawMessage) error {
	_, _, _, err := tombstone.Parse(key, value)
	return err
}

// kinds are all keys that this build knows; the first prefix that fits decides.
var kinds = []kind{
	{statekv.ClusterVersionKey, ClusterVersionKind, func(_ string, v json.RawMessage) error { _, err := ParseClusterVersion(v); return err }},
	{statekv.MembershipKey, "joins", object("the joins' key")},
	{statekv.MigrationKey, "move", object("the move's key")},
	{statekv.LeaderKey, "steward", object("the steward's key")},
	{statekv.MachineTypesKey, "types", func(_ string, v json.RawMessage) error { var list []json.RawMessage; return json.Unmarshal(v, &list) }},
	{statekv.SessionPrefix, "node", func(_ string, v json.RawMessage) error { _, err := ParseCapabilities(v); return err }},
	{statekv.JobShardPrefix, "slot", object("a slot's key")},
	{statekv.MachinePrefix, "machine", parsed},
	{statekv.MachineShardPrefix, "shard", parsed},
	{job.RecordPrefix, JobRecordKind, func(_ string, v json.RawMessage) error { _, err := job.ParseRecord(v); return err }},
	{tombstone.LegacyPrefix, "ended, former", endedJob},
	{tombstone.Prefix, TombstoneKind, endedJob},
	{job.SpecFragmentPrefix, "piece", func(_ string, v json.RawMessage) error { var piece string; return json.Unmarshal(v, &piece) }},
	{job.CompletedChunkPrefix, "part", func(_ string, v json.RawMessage) error { var chunk string; return json.Unmarshal(v, &chunk) }},
}

// CompatibilityReport is what a build makes of what is stored.
type CompatibilityReport struct {
	Version     ClusterVersion
	Missing     string         // what this build lacks for the level, or ""
	Counts      map[string]int // values, by kind
	Bytes       map[string]int
	Undecodable []UndecodableValue
	ForeignKeys int // keys that are none of the service's
}

// Compatible reports whether this build could serve on it.
func (r *CompatibilityReport) Compatible() bool { return r.Missing == "" && len(r.Undecodable) == 0 }

// Add reads one key.
func (r *CompatibilityReport) Add(key string, value json.RawMessage) {
	if r.Counts == nil {
		r.Counts, r.Bytes = map[string]int{}, map[string]int{}
	}
	at := slices.IndexFunc(kinds, func(k kind) bool { return strings.HasPrefix(key, k.prefix) })
	if at < 0 {
		if strings.HasPrefix(key, statekv.RootPrefix) {
			r.Undecodable = append(r.Undecodable, UndecodableValue{key, "this build knows no such key"})
		} else {
			r.ForeignKeys++
		}
		return
	}
	r.Counts[kinds[at].name]++
	r.Bytes[kinds[at].name] += len(key) + len(value)
	err := kinds[at].read(key, value)
	if err != nil {
		r.Undecodable = append(r.Undecodable, UndecodableValue{key, err.Error()})
	}
	if key == statekv.ClusterVersionKey && err == nil {
		r.Version, _ = ParseClusterVersion(value)
		r.Missing = LocalCapabilities().Missing(r.Version)
	}
}

// CheckDump reads a dump of the state service: its answers to GET /keys, one after the
// other, as they came.
func CheckDump(in io.Reader) (*CompatibilityReport, error) {
	r := &CompatibilityReport{Counts: map[string]int{}, Bytes: map[string]int{}}
	dec := json.NewDecoder(in)
	for n := 1; ; n++ {
		var page statekv.Page
		if err := dec.Decode(&page); err == io.EOF {
			return r, nil
		} else if err != nil {
			return nil, fmt.Errorf("page %d of the dump: %w", n, err)
		}
		for _, kv := range page.Items {
			r.Add(kv.Key, kv.Value)
		}
	}
}

// CheckStore reads all that a state service holds for the service.
func CheckStore(ctx context.Context, store statekv.Store) (*CompatibilityReport, error) {
	r := &CompatibilityReport{Counts: map[string]int{}, Bytes: map[string]int{}}
	for after, more := "", true; more; {
		page, err := store.List(ctx, statekv.RootPrefix, after)
		if err != nil {
			return nil, fmt.Errorf("listing the state service's keys: %w", err)
		}
		for _, kv := range page.Items {
			r.Add(kv.Key, kv.Value)
			after = kv.Key
		}
		more = page.More && len(page.Items) > 0
	}
	return r, nil
}

// mostShown bounds the unreadable keys that are printed.
const mostShown = 20

// Print writes the reading as a table.
func (r *CompatibilityReport) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "level %d with %v\n", r.Version.Number, r.Version.Features)
	fmt.Fprintln(t, "kind\tvalues\tbytes")
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(t, "%s\t%d\t%d\n", name, r.Counts[name], r.Bytes[name])
	}
	for k, b := range r.Undecodable {
		if k == mostShown {
			fmt.Fprintf(t, "and %d more that cannot be read\n", len(r.Undecodable)-k)
			break
		}
		fmt.Fprintf(t, "cannot be read: %s: %s\n", b.Key, b.Reason)
	}
	if r.Missing != "" {
		fmt.Fprintf(t, "this build (%s) lacks %s\n", BuildVersion, r.Missing)
	}
	if r.Compatible() {
		fmt.Fprintf(t, "this build (%s) reads all of it\n", BuildVersion)
	}
	return t.Flush()
}
