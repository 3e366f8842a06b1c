// Package wireformat helps tests to keep every format that leaves a process unchanged: net/rpc
// messages, stored values, JSON bodies, HTTP requests and settings.
//
// A test fills a value by reflection and compares its encoded form with a golden file below
// testdata/wire in its own package. Golden files contain only the names and kinds of encoded
// fields, never the Go names of types or packages, so that types and packages can be renamed and
// moved. UPDATE_GOLDEN=1 rewrites the golden files; use it only for an intended change of a format.
//
// Only tests import this package. It imports no other package of the project and has no state.
package wireformat

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// updateVariable is the environment variable that makes tests rewrite their golden files.
const updateVariable = "UPDATE_GOLDEN"

// UpdatingGolden reports whether tests rewrite golden files instead of comparing with them.
func UpdatingGolden() bool { return os.Getenv(updateVariable) == "1" }

func goldenPath(name string) string { return filepath.Join("testdata", "wire", name+".golden") }

// ReadGolden returns the contents of the golden file of that name.
func ReadGolden(t testing.TB, name string) string {
	t.Helper()
	raw, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatalf("reading the golden file: %v", err)
	}
	return string(raw)
}

// CheckGolden compares got with the golden file of that name.
func CheckGolden(t testing.TB, name, got string) {
	t.Helper()
	if UpdatingGolden() {
		if err := os.MkdirAll(filepath.Dir(goldenPath(name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenPath(name), []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if difference := firstDifference(ReadGolden(t, name), got); difference != "" {
		t.Errorf("%q differs from its golden file: %s", name, difference)
	}
}

// firstDifference describes the first line in which two texts differ, or returns "" if they are
// equal.
func firstDifference(want, got string) string {
	wanted, given := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i := range max(len(wanted), len(given)) {
		w, g := "(end)", "(end)"
		if i < len(wanted) {
			w = wanted[i]
		}
		if i < len(given) {
			g = given[i]
		}
		if w != g {
			return fmt.Sprintf("line %d: got %q, want %q", i+1, g, w)
		}
	}
	return ""
}

// DescribeGobType lists the fields of a type that gob encodes, in order and recursively, with their
// kinds. gob encodes an embedded struct as a field with the name of its type.
func DescribeGobType(t reflect.Type) string {
	var b strings.Builder
	describe(&b, t, "")
	return b.String()
}

func describe(b *strings.Builder, t reflect.Type, indent string) {
	if t == reflect.TypeFor[time.Time]() {
		b.WriteString("time\n")
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		b.WriteString("optional ")
		describe(b, t.Elem(), indent)
	case reflect.Slice, reflect.Array:
		b.WriteString("list of ")
		describe(b, t.Elem(), indent)
	case reflect.Map:
		b.WriteString("map from " + t.Key().Kind().String() + " to ")
		describe(b, t.Elem(), indent)
	case reflect.Struct:
		b.WriteString("struct\n")
		for _, f := range reflect.VisibleFields(t) {
			if len(f.Index) == 1 && f.IsExported() {
				b.WriteString(indent + "  " + f.Name + " ")
				describe(b, f.Type, indent+"  ")
			}
		}
	default:
		b.WriteString(t.Kind().String() + "\n")
	}
}

// Fill sets everything that v points to, except fields that JSON omits, to non-zero values that are
// the same in every run.
func Fill(v any) {
	n := 0
	fill(reflect.ValueOf(v).Elem(), &n)
}

// fillTime is the base of filled times.
var fillTime = time.Date(2020, 1, 2, 3, 4, 5, 0, time.UTC)

func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", *n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		fillSlice(v, n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		fillStruct(v, n)
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("any-%d", *n)))
	default:
		panic(fmt.Sprintf("wireformat: cannot fill a %s", v.Type()))
	}
}

func fillSlice(v reflect.Value, n *int) {
	if v.Type().Elem().Kind() == reflect.Uint8 { // raw JSON
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *n))
		return
	}
	const length = 2
	v.Set(reflect.MakeSlice(v.Type(), length, length))
	for i := range length {
		fill(v.Index(i), n)
	}
}

func fillStruct(v reflect.Value, n *int) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(fillTime.Add(time.Duration(*n) * time.Second)))
		return
	}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		embedded := f.Anonymous && f.Type.Kind() == reflect.Struct
		if (f.IsExported() || embedded) && f.Tag.Get("json") != "-" {
			fill(v.Field(i), n)
		}
	}
}
