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

func TestWireForms(t *testing.T) {
	var b, file strings.Builder
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		fmt.Fprintf(&b, "%s = %v to %v\n", name, numbers[name].least, numbers[name].most)
		fmt.Fprintf(&file, "%s = %v\n", name, numbers[name].least)
	}
	for _, name := range slices.Sorted(maps.Keys(switches)) {
		fmt.Fprintf(&b, "%s = true or false\n", name)
		fmt.Fprintf(&file, "%s = true\n", name)
	}
	order := "0"
	for f := range reflect.TypeFor[jobEnv]().Fields() {
		fmt.Fprintf(&b, "queue_order may use %s: %s\n", f.Tag.Get("expr"), f.Type.Kind())
		if f.Type.Kind() == reflect.Int || f.Type.Kind() == reflect.Float64 {
			order += " + " + f.Tag.Get("expr")
		}
	}
	fmt.Fprintf(&file, "queue_order = %s\n", order)
	wireformat.Golden(t, "settings", b.String())
	wireformat.Golden(t, "file", file.String())
	p, err := Parse("recorded", []byte(wireformat.Recorded(t, "file")))
	if err != nil {
		t.Fatalf("the recorded file is refused: %v", err)
	}
	var values []string
	for f, v := range reflect.ValueOf(*p).Fields() {
		if f.IsExported() {
			values = append(values, fmt.Sprint(v))
		}
	}
	wireformat.Golden(t, "read", strings.Join(values, "\n")+"\n")
}
