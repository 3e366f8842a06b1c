package policy

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"robinstack/test/wireformat"
)

// The names and bounds of the settings, and the variables of queue_order, stay as recorded, and a
// recorded policy file is still read in the same way.
func TestWireForms(t *testing.T) {
	var settings, file strings.Builder
	for _, name := range slices.Sorted(maps.Keys(numberSettings)) {
		fmt.Fprintf(&settings, "%s = %v to %v\n", name, numberSettings[name].min, numberSettings[name].max)
		fmt.Fprintf(&file, "%s = %v\n", name, numberSettings[name].min)
	}
	for _, name := range slices.Sorted(maps.Keys(boolSettings)) {
		fmt.Fprintf(&settings, "%s = true or false\n", name)
		fmt.Fprintf(&file, "%s = true\n", name)
	}
	order := "0"
	for f := range reflect.TypeFor[jobEnv]().Fields() {
		fmt.Fprintf(&settings, "queue_order may use %s: %s\n", f.Tag.Get("expr"), f.Type.Kind())
		if f.Type.Kind() == reflect.Int || f.Type.Kind() == reflect.Float64 {
			order += " + " + f.Tag.Get("expr")
		}
	}
	fmt.Fprintf(&file, "queue_order = %s\n", order)
	wireformat.CheckGolden(t, "settings", settings.String())
	wireformat.CheckGolden(t, "file", file.String())
	p, err := Parse("recorded", []byte(wireformat.ReadGolden(t, "file")))
	if err != nil {
		t.Fatalf("the recorded file is rejected: %v", err)
	}
	var values []string
	for f, v := range reflect.ValueOf(*p).Fields() {
		if f.IsExported() {
			values = append(values, fmt.Sprint(v))
		}
	}
	wireformat.CheckGolden(t, "read", strings.Join(values, "\n")+"\n")
}
