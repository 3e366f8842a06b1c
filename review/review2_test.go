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
	if variable := "REVIEW_CASE_" + number; os.Getenv(variable) == "" {
		t.Skip("set " + variable + "=1 to run this case")
	}
	output, err := exec.Command(filepath.Join(number, "run.sh")).CombinedOutput()
	if err != nil {
		t.Fatalf("review/%s/run.sh: %v\n%s", number, err, output)
	}
}

// While the leader does not hear from the owner of the machines, the takeover of a job shard makes it forget what a
// team's tasks use there.
func TestCase4(t *testing.T) { runScript(t, "4") }

// While the leader does not hear from the owner of the machines, grants of tasks that run and end there stay counted.
func TestCase5(t *testing.T) { runScript(t, "5") }

// An array that is bound to a zone without room holds back one that fits elsewhere.
func TestCase6(t *testing.T) { runScript(t, "6") }

// Polls for a job with many dependencies fail after all controllers have ended.
func TestCase7(t *testing.T) { runScript(t, "7") }

// A late copy of a call for quota grants obtains grants that nobody releases.
func TestCase8(t *testing.T) { runScript(t, "8") }
