// Package review has the scripts of an independent review, one folder a case. They stay out of the
// default test run.
package review

import (
	"os"
	"os/exec"
	"testing"
)

// runCase runs the script of a case. The rule of the case must hold.
func runCase(t *testing.T, number string) {
	t.Helper()
	if variable := "REVIEW_CASE_" + number; os.Getenv(variable) == "" {
		t.Skip("set " + variable + "=1 to run this case")
	}
	if out, err := exec.Command("bash", "build.sh").CombinedOutput(); err != nil {
		t.Fatalf("building the stand-ins: %v\n%s", err, out)
	}
	if out, err := exec.Command("bash", number+"/run.sh").CombinedOutput(); err != nil {
		t.Fatalf("case %s: %v\n%s", number, err, out)
	}
}

func TestCase1(t *testing.T) { runCase(t, "1") }

func TestCase2(t *testing.T) { runCase(t, "2") }

func TestCase3(t *testing.T) { runCase(t, "3") }
