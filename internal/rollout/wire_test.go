package rollout

import (
	"testing"

	"robinstack/test/wireformat"
)

// The JSON forms of stored values and of the status, and the names in them, stay as recorded:
// other builds read them.
func TestWireForms(t *testing.T) {
	wireformat.CheckJSON[ClusterVersion](t, "level")
	wireformat.CheckJSON[Capabilities](t, "capabilities")
	wireformat.CheckJSON[Migration](t, "move")
	wireformat.CheckJSON[Status](t, "status")
	caps := LocalCapabilities()
	caps.Build = ""
	wireformat.CheckGolden(t, "words", wireformat.IndentJSON(t, map[string]any{
		"capabilities": caps, "top": ClusterVersion{}.withFeatures(FirstFeatures(MaxClusterVersion())),
		"features": []Feature{
			FeatureVersionGate, FeatureFailureHistory, FeatureTombstones, FeatureCompactTombstonesOnly,
			FeatureDependencies,
		},
		"kinds": []string{JobRecordKind, TombstoneKind, ClusterVersionKind},
		"moves": []string{MigrationWriteCompact, MigrationDropLegacy, MigrationRestoreLegacy},
		"verbs": []string{CommandHold, CommandRaise, CommandLower},
	}))
}
