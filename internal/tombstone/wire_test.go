package tombstone

import (
	"encoding/json"
	"strings"
	"testing"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	var all []statekv.Op
	tombstones := []Tombstone{{job.Done, 16, 1700000000123}, {job.Cancelled, 3, 0}}
	for _, tombstone := range tombstones {
		for _, formats := range []Formats{LegacyOnly, LegacyAndCompact, CompactOnly} {
			all = append(all, WriteOps("wk-1", tombstone, formats)...)
		}
	}
	wireformat.CheckGolden(t, "tombstones", wireformat.IndentJSON(t, all))
	wireformat.CheckGolden(t, "absent", wireformat.IndentJSON(t, AbsentCompares("wk-1")))

	var recorded []statekv.Event
	if err := json.Unmarshal([]byte(wireformat.ReadGolden(t, "tombstones")), &recorded); err != nil {
		t.Fatal(err)
	}
	for i, e := range recorded {
		want := tombstones[i*len(tombstones)/len(recorded)]
		if id, got, ok, err := Parse(e.Set, e.Value); id != "wk-1" || !ok || err != nil || got != want {
			t.Errorf("%s %s: got %s, %+v, %t, %v; want wk-1, %+v", e.Set, e.Value, id, got, ok, err, want)
		}
	}
	wireformat.CheckGolden(t, "keys", strings.Join([]string{LegacyKey("wk-1"), Key("wk-1")}, "\n")+"\n")
}
