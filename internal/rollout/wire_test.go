package rollout

import (
	"testing"

	"robinstack/test/wireformat"
)

// The JSON forms of stored values and of the status, and the names in them, stay as recorded:
// other builds read them.
func TestWireForms(t *testing.T) {
	wireformat.JSON[ClusterVersion](t, "level")
	wireformat.JSON[Capabilities](t, "capabilities")
	wireformat.JSON[Migration](t, "move")
	wireformat.JSON[Status](t, "status")
	caps := LocalCapabilities()
	caps.Build = ""
	wireformat.Golden(t, "words", wireformat.Indent(t, map[string]any{
		"capabilities": caps, "top": ClusterVersion{}.withFeatures(FeaturesAt(MaxClusterVersion())),
		"features": []Feature{
			FeatureVersionGate, FeatureFailureHistory, FeatureTombstones, FeatureCompactTombstonesOnly,
			FeatureDependencies,
		},
		"kinds": []string{JobRecordKind, TombstoneKind, ClusterVersionKind},
		"moves": []string{MigrationCopy, MigrationDropLegacy, MigrationRestoreLegacy},
		"verbs": []string{CommandHold, CommandRaise, CommandLower},
	}))
}
