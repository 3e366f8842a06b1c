package rollout

import (
	"testing"

	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.JSON[Level](t, "level")
	wireformat.JSON[Caps](t, "capabilities")
	wireformat.JSON[Move](t, "move")
	wireformat.JSON[Status](t, "status")
	caps := OurCaps()
	caps.Build = ""
	wireformat.Golden(t, "words", wireformat.Indent(t, map[string]any{
		"capabilities": caps, "top": Level{}.at(Top()),
		"features": []Feature{Gated, Failures, Ended, EndedOnly, Pipelines},
		"kinds":    []string{RecordKind, EndedKind, LevelKind},
		"moves":    []string{MoveCopy, MoveDrop, MoveBack},
		"verbs":    []string{HoldVerb, RaiseVerb, LowerVerb},
	}))
}
