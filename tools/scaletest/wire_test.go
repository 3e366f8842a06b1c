package scaletest

import (
	"reflect"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	var want, got Profile
	wireformat.Fill(&want)
	raw, err := toml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	wireformat.CheckGolden(t, "profile", string(raw))
	err = toml.Unmarshal([]byte(wireformat.ReadGolden(t, "profile")), &got)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the recorded profile reads as %+v, %v; want %+v", got, err, want)
	}
	wireformat.CheckJSON[Result](t, "result")
	wireformat.CheckJSON[SweepResult](t, "sweep")
	wireformat.CheckJSON[Progress](t, "progress")
	wireformat.CheckJSON[LoadResult](t, "load")
}
