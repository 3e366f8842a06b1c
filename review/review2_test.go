package review

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runScript runs the script of a case of the second review. It takes the builds of deploy/service.toml and of
// review/build-2.sh and up to two minutes, so it runs only if the environment asks for it.
func runScript(t *testing.T, number string) {
	t.Helper()
	const variable = "REVIEW_2"
	if os.Getenv(variable) == "" {
		t.Skipf("%s is not set", variable)
	}
	output, err := exec.Command(filepath.Join(number, "run.sh")).CombinedOutput()
	if err != nil {
		t.Fatalf("review/%s/run.sh: %v\n%s", number, err, output)
	}
}

// While the leader does not hear from the owner of the machines, the takeover of a job shard makes it forget what a
// team's tasks use there.
func TestQuotaHoldsAfterTakeover(t *testing.T) { runScript(t, "4") }

// While the leader does not hear from the owner of the machines, grants of tasks that run and end there stay counted.
func TestQuotaIsReturnedAfterInterruption(t *testing.T) { runScript(t, "5") }

// A gang that is spread over zones starts again on the machines that are left.
func TestSpreadGangRestartsAfterNotice(t *testing.T) { runScript(t, "6") }

// Polls for a job with many dependencies are answered after all controllers have ended.
func TestPollsAreAnsweredAfterCrash(t *testing.T) { runScript(t, "7") }
