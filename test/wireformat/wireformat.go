// Package wireformat holds what tests need to keep every form that leaves a process as
// it is: messages of net/rpc, stored values, JSON bodies, HTTP requests, settings.
//
// A test fills a value by reflection and compares its form with a golden file under
// testdata/wire of its own package. The files name wire fields and kinds only, never the
// Go names of types or packages, so that those may be renamed and moved. They are
// written anew with UPDATE_GOLDEN=1, which is right only where a form is meant to change.
//
// Only tests import this package; it imports nothing of the project and keeps no state.
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

// updateVariable is the environment variable with which golden files are written anew.
const updateVariable = "UPDATE_GOLDEN"

// Updating reports whether golden files are written rather than compared.
func Updating() bool { return os.Getenv(updateVariable) == "1" }

func goldenPath(name string) string { return filepath.Join("testdata", "wire", name+".golden") }

// Recorded returns the recorded text of that name.
func Recorded(t testing.TB, name string) string {
	t.Helper()
	raw, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatalf("no recorded form: %v", err)
	}
	return string(raw)
}

// Golden compares got with the recorded text of that name.
func Golden(t testing.TB, name, got string) {
	t.Helper()
	if Updating() {
		if err := os.MkdirAll(filepath.Dir(goldenPath(name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenPath(name), []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if difference := firstDifference(Recorded(t, name), got); difference != "" {
		t.Errorf("the form %q is not the recorded one: %s", name, difference)
	}
}

// firstDifference says where two texts begin to differ, or "".
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
			return fmt.Sprintf("line %d is %q, recorded %q", i+1, g, w)
		}
	}
	return ""
}

// Describe lists the fields that gob sends of a type, in order and recursively, with
// their kinds. An embedded struct is, for gob, a field with its type's name.
func Describe(t reflect.Type) string {
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

// Fill sets everything that v points to, except what JSON leaves out, to values that are
// not zero and are the same in every run.
func Fill(v any) {
	n := 0
	fill(reflect.ValueOf(v).Elem(), &n)
}

// fillTime is the time from which filled times count.
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
