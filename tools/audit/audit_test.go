package audit

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var logStart = time.Date(2026, 9, 1, 12, 0, 0, 0, time.UTC)

func formatLine(after time.Duration, format string, args ...any) string {
	return "time=" + logStart.Add(after).Format(time.RFC3339Nano) + " level=INFO " + fmt.Sprintf(format, args...) + "\n"
}

const priceLine = "msg=price type=reef hourly=36 spot=18 cpus=64 gpus=8 mem_gb=512"

// toCurrentNames replaces the messages and keys of the previous version with the current ones. The
// names are repeated here rather than taken from logline.Renames, so that an error in that table
// makes the tests fail.
var toCurrentNames = strings.NewReplacer(
	`msg=price`, `msg="machine type price"`,
	`msg="price"`, `msg="machine type price"`,
	`msg=rented`, `msg="scaled out"`, ` wanted=`, ` requested=`, ` got=`, ` granted=`,
	`msg=returned`, `msg="scaled in"`,
	`msg="machine up"`, `msg="machine registered"`,
	`msg="machine is silent"`, `msg="machine unresponsive"`, ` for_s=`, ` duration_s=`,
	`msg="task over"`, `msg="task finished on machine"`, ` saved=`, ` checkpointed=`,
	` wait_s=`, ` gang_wait_s=`, ` save_s=`, ` checkpoint_s=`, ` saves_every_s=`, ` checkpoint_interval_s=`,
	` due_s=`, ` deadline_s=`, ` slot=`, ` job_shard=`, ` waits_on=`, ` dependencies=`,
	` verdict=`, ` result=`,
	`msg="job complete"`, `msg="job completed"`,
	`msg="job ready"`, `msg="job dependencies satisfied"`, ` after=`, ` elapsed=`,
	`msg="job withdrawn"`, `msg="job cancelled by dependency"`, ` because=`, ` dependency=`,
	`msg=fleet`, `msg="cluster summary"`,
)

// forBothVersions runs a test once with log lines of the previous version and once with the same
// lines under current names. The test writes lines of the previous version and passes its log
// through format.
func forBothVersions(t *testing.T, test func(t *testing.T, format func(string) string)) {
	t.Helper()
	t.Run("previous version", func(t *testing.T) { test(t, func(log string) string { return log }) })
	t.Run("current version", func(t *testing.T) {
		test(t, func(log string) string {
			current := toCurrentNames.Replace(log)
			if again := toCurrentNames.Replace(current); again != current {
				t.Fatalf("a name is both previous and current: %s", again)
			}
			return current
		})
	})
}

func readLog(t *testing.T, format func(string) string, log string) *Log {
	t.Helper()
	l, err := Read(strings.NewReader(format(log)))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// The bill of one machine equals amounts computed by hand: at 36 per hour, 100 seconds cost 1.
func TestBillOfOneMachine(t *testing.T) {
	forBothVersions(t, func(t *testing.T, format func(string) string) {
		l := readLog(t, format, formatLine(0, priceLine)+
			formatLine(0, `msg=rented type=reef zone=a spot=false wanted=1 got=1 machines="[m1]"`)+
			"  40.0 host-1 "+formatLine(40*time.Second, `msg="machine up" machine=m1 type=reef zone=a spot=false`)+
			formatLine(150*time.Second, `msg="task over" task=wk-1/0 attempt=1 machine=m1 cause=done saved=false cpus=6 gpus=4 mem_gb=1 fetch_s=20 wait_s=0 run_s=80 save_s=0 saves_every_s=0`)+
			formatLine(150*time.Second, `msg="task over" task=wk-2/0 attempt=1 machine=m1 cause=peers saved=false cpus=6 gpus=4 mem_gb=1 fetch_s=0 wait_s=10 run_s=90 save_s=0 saves_every_s=40`)+
			formatLine(200*time.Second, `msg=returned machines=[m1]`))
		b := l.Bill()
		want := map[string]float64{Boot: 0.4, IdleBeforeFirstTask: 0.1, Fetch: 0.1, Useful: 0.4 + 0.4, GangWait: 0.05, LostWork: 0.05, IdleAfterLastTask: 0.5}
		for _, category := range Categories {
			if math.Abs(b.ByCategory[category]-want[category]) > 1e-9 {
				t.Errorf("%s: got cost %v, want %v", category, b.ByCategory[category], want[category])
			}
		}
		if math.Abs(b.Cost-2) > 1e-9 {
			t.Errorf("got total cost %v, want 2", b.Cost)
		}
	})
}

// A spot machine is charged the price at each moment, not the price when it was added, and every
// machine is charged for at least one minute.
func TestBillFollowsSpotPrice(t *testing.T) {
	forBothVersions(t, func(t *testing.T, format func(string) string) {
		l := readLog(t, format, formatLine(0, priceLine)+
			formatLine(0, `msg=rented type=reef zone=a spot=true wanted=1 got=1 machines="[m1 m2]"`)+
			formatLine(10*time.Second, `msg=returned machines=[m2]`)+
			formatLine(100*time.Second, "%s", strings.Replace(priceLine, "spot=18", "spot=36", 1))+
			formatLine(300*time.Second, `msg=returned machines=[m1]`))
		if b := l.Bill(); math.Abs(b.Cost-(0.5+2+0.3)) > 1e-9 || b.NeverRegistered != 2 {
			t.Fatalf("got bill %+v, want cost 2.8 and 2 machines that never registered", b)
		}
	})
}

// A log may be truncated or mixed with other output. Valid lines are evaluated, and each malformed
// line is reported with its line number.
func TestMalformedLinesAreReported(t *testing.T) {
	forBothVersions(t, func(t *testing.T, format func(string) string) {
		validLog := formatLine(0, priceLine) + formatLine(0, `msg=rented type=reef zone=a spot=false wanted=1 got=1 machines=[m1]`) + formatLine(100*time.Second, `msg=returned machines=[m1]`)
		taskLine := `msg="task over" task=wk-1/0 machine=m1 cause=done saved=false cpus=6 gpus=8 mem_gb=1 fetch_s=%s wait_s=0 run_s=50 save_s=0 saves_every_s=0`
		for name, c := range map[string]struct {
			tail   string
			reason string
		}{
			"truncated string": {`time=2026-09-01T12:00:00Z level=INFO msg="task ov`, "line 4: is truncated or not a log line"},
			"truncated time":   {`time=2026-09-`, `line 4: time: "2026-09-" is not a valid time`},
			"missing field":    {formatLine(0, `msg=price type=kava hourly=3`), `line 4: msg="price": spot: missing`},
			"negative number":  {formatLine(0, taskLine, "-3"), `line 4: msg="task over": fetch_s: got "-3", want a non-negative number`},
			"too long line":    {"time=" + strings.Repeat("x", 3*maxLineBytes) + "\n", "line 4: is longer than 1048576 bytes"},
		} {
			l := readLog(t, format, validLog+c.tail)
			if len(l.Problems) != 1 || !strings.HasPrefix(l.Problems[0].String(), format(c.reason)) {
				t.Errorf("%s: got problems %v, want one that begins with %q", name, l.Problems, format(c.reason))
			}
			if b := l.Bill(); math.Abs(b.Cost-1) > 1e-9 {
				t.Errorf("%s: got cost %v of the valid lines, want 1", name, b.Cost)
			}
		}
		if l := readLog(t, format, "nothing of ours\n\x00\xff\n"); l.Unrecognized != 2 || l.Bill().Machines != 0 {
			t.Errorf("got log %+v, want 2 unrecognized lines and no machines", l)
		}
	})
}

// For random task runs, which may overlap, extend beyond the lifetime of the machine or overbook
// it, no category is negative and the categories add up to the cost of the machines.
func TestCategoriesAddUpToCost(t *testing.T) {
	forBothVersions(t, func(t *testing.T, format func(string) string) {
		rapid.Check(t, func(t *rapid.T) {
			var log strings.Builder
			log.WriteString(formatLine(0, priceLine))
			wantCost := 0.0
			seconds := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }
			for i := range rapid.IntRange(1, 4).Draw(t, "machines") {
				from := seconds("rented", 200)
				to := from + 60 + seconds("life", 600)
				log.WriteString(formatLine(time.Duration(from)*time.Second, "msg=rented type=reef zone=a spot=false machines=[m%d]", i))
				if rapid.Bool().Draw(t, "up") {
					log.WriteString(formatLine(time.Duration(from+seconds("boot", 700))*time.Second, `msg="machine up" machine=m%d type=reef zone=a spot=false`, i))
				}
				for k := range rapid.IntRange(0, 6).Draw(t, "tasks") {
					log.WriteString(formatLine(time.Duration(seconds("end", 900))*time.Second, `msg="task over" task=wk-1/%d machine=m%d cause=%s saved=%v cpus=1 gpus=%d mem_gb=1 fetch_s=%d wait_s=%d run_s=%d save_s=%d saves_every_s=%d`,
						k, i, rapid.SampledFrom([]string{"done", "stopped", "lost"}).Draw(t, "cause"), rapid.Bool().Draw(t, "saved"), seconds("gpus", 12),
						seconds("fetch", 90), seconds("wait", 90), seconds("run", 300), seconds("save", 9), seconds("every", 30)))
				}
				if rapid.Bool().Draw(t, "silent") {
					log.WriteString(formatLine(time.Duration(seconds("silent at", 900))*time.Second, `msg="machine is silent" machine=m%d for_s=14`, i))
				}
				log.WriteString(formatLine(time.Duration(to)*time.Second, "msg=returned machines=[m%d]", i))
				wantCost += float64(to-from) / 100
			}
			l, err := Read(strings.NewReader(format(log.String())))
			if err != nil || len(l.Problems) > 0 {
				t.Fatal(err, l.Problems)
			}
			b := l.Bill()
			sum := 0.0
			for category, money := range b.ByCategory {
				if money < 0 {
					t.Fatalf("%s: got cost %v, want none below 0", category, money)
				}
				sum += money
			}
			if math.Abs(sum-wantCost) > 1e-6 || math.Abs(b.Cost-wantCost) > 1e-6 {
				t.Fatalf("got categories that add up to %v and a bill of %v, want both %v", sum, b.Cost, wantCost)
			}
		})
	})
}

// One GPU is available for 100 seconds. The job that runs first is too long for its deadline and
// makes the two short jobs behind it miss theirs. Another order meets both of those deadlines.
func TestDeadlinesAchievableByAnotherOrder(t *testing.T) {
	forBothVersions(t, func(t *testing.T, format func(string) string) {
		accepted := func(id string, due int) string {
			return formatLine(0, `msg="job accepted" job=%s class=read tasks=1 gpus=1 due_s=%d`, id, due)
		}
		finished := func(end, run int, id string) string {
			return formatLine(time.Duration(end)*time.Second, `msg="task over" task=%s/0 machine=m1 cause=done saved=false cpus=1 gpus=1 mem_gb=1 fetch_s=0 wait_s=0 run_s=%d save_s=0 saves_every_s=0`, id, run)
		}
		log := formatLine(0, priceLine) + accepted("wk-1", 50) + accepted("wk-2", 40) + accepted("wk-3", 40) + accepted("wk-4", 0) +
			finished(60, 60, "wk-1") + finished(80, 20, "wk-2") + finished(100, 20, "wk-3")
		got := readLog(t, format, log).DeadlineOutcomes()
		if want := (DeadlineOutcome{Class: "read", Jobs: 3, Met: 0, Achievable: 2}); len(got) != 1 || got[0] != want {
			t.Fatalf("got %+v, want one outcome %+v", got, want)
		}
		if got := readLog(t, format, formatLine(0, priceLine)).DeadlineOutcomes(); got != nil {
			t.Fatalf("got %+v for a log without jobs, want none", got)
		}
	})
}

// Each job is measured against its own objective. Jobs that users cancelled are not counted, and an
// unfinished job counts as missed once its time limit has passed by the end of the log.
func TestServiceLevels(t *testing.T) {
	forBothVersions(t, func(t *testing.T, format func(string) string) {
		accepted := func(at time.Duration, id, class string, due int) string {
			return formatLine(at, `msg="job accepted" job=%s class=%s team=t-%s tasks=2 gpus=1 due_s=%d slot=s`, id, class, class, due)
		}
		l := readLog(t, format, accepted(0, "wk-1", "read", 100)+accepted(0, "wk-2", "read", 100)+accepted(0, "wk-3", "read", 100)+
			accepted(150*time.Second, "wk-4", "read", 100)+accepted(0, "wk-5", "train", 0)+accepted(0, "wk-6", "read", 100)+
			formatLine(20*time.Second, `msg="task committed" task=wk-1/0 attempt=1 machine=m verdict=started`)+
			formatLine(25*time.Second, `msg="task committed" task=wk-1/1 attempt=1 machine=m verdict=started`)+
			formatLine(90*time.Second, `msg="job complete" job=wk-1 age=90s`)+
			formatLine(30*time.Second, `msg="task committed" task=wk-2/0 attempt=1 machine=m verdict=started`)+
			formatLine(140*time.Second, `msg="job complete" job=wk-2 age=140s`)+
			formatLine(50*time.Second, `msg="job cancelled" job=wk-6`)+
			formatLine(180*time.Second, `msg=fleet machines=1`))
		classes, teams := l.ServiceLevels(func(_ string, due time.Duration) time.Duration { return due })
		want := ServiceLevel{Name: "read", Jobs: 4, Cancelled: 1, Started: 2, Done: 2, Tasks: 8, DoneBy: [3]Ratio{{3, 1}, {3, 2}, {2, 2}}, LongestWaitS: 180,
			LargestJobsStarted: Ratio{4, 2}, LargestJobsStartedInTime: Ratio{2, 2}, LargestJobsMinTasks: 2, LargestJobsLongestWaitS: 180}
		if len(classes) != 2 || !reflect.DeepEqual(classes[0], want) || teams[0].Jobs != 4 || teams[0].Name != "t-read" {
			t.Fatalf("got classes %+v\nand teams %+v, want %+v first and 4 jobs of t-read", classes, teams, want)
		}
		if train := classes[1]; train.Jobs != 1 || train.Started != 0 || train.DoneBy != [3]Ratio{} {
			t.Fatalf("got %+v, want one job that has not started and has no objective", train)
		}
		var out strings.Builder
		if err := PrintServiceLevels(&out, classes, teams); err != nil || !strings.Contains(out.String(), "0.33") {
			t.Fatalf("got error %v and table\n%s\nwant a share of 0.33", err, out.String())
		}
	})
}

// The largest jobs of a class have figures of their own, because starts of many small jobs would
// hide that a large job never started. The wait of a job with dependencies begins when these are
// satisfied, and a job cancelled by a dependency counts as cancelled.
func TestServiceLevelsOfLargestAndWaitingJobs(t *testing.T) {
	forBothVersions(t, func(t *testing.T, format func(string) string) {
		var log strings.Builder
		accepted := func(at time.Duration, id string, tasks, waits int) {
			log.WriteString(formatLine(at, `msg="job accepted" job=%s class=read team=t tasks=%d gpus=1 due_s=0 slot=s waits_on=%d`, id, tasks, waits))
		}
		started := func(at time.Duration, id string) {
			log.WriteString(formatLine(at, `msg="task committed" task=%s/0 attempt=1 machine=m verdict=started`, id))
		}
		for k := range 18 {
			id := fmt.Sprintf("wk-%d", k)
			accepted(0, id, 1, 0)
			started(time.Second, id)
		}
		accepted(0, "wk-90", 50, 0) // never starts
		accepted(0, "wk-91", 50, 1) // dependencies satisfied after 500 s; starts 100 s later
		log.WriteString(formatLine(500*time.Second, `msg="job ready" job=wk-91 after=500s`))
		started(600*time.Second, "wk-91")
		accepted(0, "wk-92", 70, 1) // cancelled by a dependency
		log.WriteString(formatLine(20*time.Second, `msg="job withdrawn" job=wk-92 because=wk-7`))
		accepted(0, "wk-93", 80, 2) // still waits for its dependencies
		log.WriteString(formatLine(700*time.Second, `msg=fleet machines=1`))
		classes, _ := readLog(t, format, log.String()).ServiceLevels(func(string, time.Duration) time.Duration { return 0 })
		level := classes[0]
		if level.Jobs != 20 || level.Cancelled != 1 || level.Waiting != 1 || level.Started != 19 {
			t.Errorf("got %+v, want 20 jobs, 19 started, 1 cancelled and 1 waiting", level)
		}
		if level.LargestJobsMinTasks != 50 || level.LargestJobsStarted != (Ratio{2, 1}) || level.LargestJobsStartedInTime != (Ratio{2, 1}) || level.LargestJobsLongestWaitS != 700 || level.LongestWaitS != 700 {
			t.Errorf("got %+v, want 1 of 2 largest jobs of 50 tasks started, in time, and waits of 700 s", level)
		}
	})
}

// During a rolling upgrade the logs of a cluster contain lines of both versions. Every mix of old
// and new lines yields the same results as lines of one version.
func TestLogMixingBothVersions(t *testing.T) {
	lines := []string{
		formatLine(0, priceLine),
		formatLine(0, `msg=rented type=reef zone=a spot=false wanted=1 got=1 machines="[m1]"`),
		formatLine(40*time.Second, `msg="machine up" machine=m1 type=reef zone=a spot=false`),
		formatLine(50*time.Second, `msg="job accepted" job=wk-1 class=read team=t tasks=1 gpus=4 due_s=200 slot=s waits_on=0`),
		formatLine(60*time.Second, `msg="task committed" task=wk-1/0 attempt=1 machine=m1 verdict=started`),
		formatLine(150*time.Second, `msg="task over" task=wk-1/0 machine=m1 cause=stopped saved=false cpus=6 gpus=4 mem_gb=1 fetch_s=20 wait_s=5 run_s=60 save_s=5 saves_every_s=40`),
		formatLine(170*time.Second, `msg="machine is silent" machine=m1 for_s=14`),
		formatLine(190*time.Second, `msg="job cancelled" job=wk-1`),
		formatLine(200*time.Second, `msg=returned machines=[m1]`),
	}
	unchanged := func(log string) string { return log }
	want := readLog(t, unchanged, strings.Join(lines, ""))
	wantClasses, wantTeams := want.ServiceLevels(func(string, time.Duration) time.Duration { return time.Minute })
	if bill := want.Bill(); math.Abs(bill.Cost-2) > 1e-9 || bill.ByCategory[Unresponsive] == 0 || bill.ByCategory[LostWork] == 0 || bill.ByCategory[Checkpoint] == 0 {
		t.Fatalf("got bill %+v, want cost 2 with shares of %s, %s and %s", bill, Unresponsive, LostWork, Checkpoint)
	}
	for versions := range 1 << len(lines) {
		var log strings.Builder
		for k, text := range lines {
			if versions>>k&1 == 1 {
				text = toCurrentNames.Replace(text)
			}
			log.WriteString(text)
		}
		got := readLog(t, unchanged, log.String())
		if len(got.Problems) > 0 || !reflect.DeepEqual(got.Bill(), want.Bill()) {
			t.Fatalf("got bill %+v and problems %v, want bill %+v and no problems from\n%s", got.Bill(), got.Problems, want.Bill(), log.String())
		}
		classes, teams := got.ServiceLevels(func(string, time.Duration) time.Duration { return time.Minute })
		if !reflect.DeepEqual(classes, wantClasses) || !reflect.DeepEqual(teams, wantTeams) {
			t.Fatalf("got classes %+v and teams %+v, want %+v and %+v from\n%s", classes, teams, wantClasses, wantTeams, log.String())
		}
	}
}
