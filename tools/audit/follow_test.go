package audit

import (
	"strings"
	"testing"
)

// Guards against a line of another controller, of the machine or about ownership that is missing when a task is followed.
func TestFollowJoinsLinesOfAllControllers(t *testing.T) {
	first := NamedLog{"host-0", strings.NewReader(`
time=2026-01-01T00:00:01.000Z level=INFO msg="leader elected" epoch=3
time=2026-01-01T00:00:02.000Z level=INFO msg="task committed" task=wk-1/0 attempt=7 machine=vm-1 result=started
time=2026-01-01T00:00:02.100Z level=INFO msg="task committed" task=wk-2/0 attempt=9 machine=vm-1 result=started
time=2026-01-01T00:00:09.000Z level=INFO msg="task attempt gone" task=wk-1/0 attempt=7 machine=vm-1 proof=x
not a log line
`)}
	second := NamedLog{"host-1", strings.NewReader(`
time=2026-01-01T00:00:02.050Z level=INFO msg="task starts sent" tasks="wk-1/0:7 wk-2/0:9" machine=vm-1 token=5
time=2026-01-01T00:00:02.060Z level=INFO msg="task starts sent" tasks=wk-11/0:9 machine=vm-1 token=5
time=2026-01-01T00:00:05.000Z level=INFO msg="machine unresponsive" machine=vm-1 duration_s=4
time=2026-01-01T00:00:06.000Z level=INFO msg="machine unresponsive" machine=vm-2 duration_s=4
time=2026-01-01T00:10:00.000Z level=INFO msg="leader elected" epoch=9
`)}
	lines, err := Follow([]NamedLog{first, second}, "wk-1/0")
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"host-0 leader elected", "host-0 task committed", "host-1 task starts sent",
		"host-1 machine unresponsive", "host-0 task attempt gone"}
	if len(lines) != len(want) {
		t.Fatalf("got %d lines %v, want %v", len(lines), lines, want)
	}
	for i, line := range lines {
		host, message, _ := strings.Cut(want[i], " ")
		if line.Log != host || !strings.Contains(line.Text, message) {
			t.Errorf("line %d: got %s %s, want %s", i, line.Log, line.Text, want[i])
		}
	}
	if _, err := Follow(nil, "vm-1"); err == nil {
		t.Error("the name of a machine was taken for that of a task")
	}
}
