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

var start = time.Date(2026, 9, 1, 12, 0, 0, 0, time.UTC)

func line(after time.Duration, format string, args ...any) string {
	return "time=" + start.Add(after).Format(time.RFC3339Nano) + " level=INFO " + fmt.Sprintf(format, args...) + "\n"
}

const reef = "msg=price type=reef hourly=36 spot=18 cpus=64 gpus=8 mem_gb=512"

// currentNames rewrites lines of the former version to the names of this one. It is
// written out here, so that what audit reads does not hang on the table alone.
var currentNames = strings.NewReplacer(
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

// inBothFormats runs a test with lines as the former version wrote them, and with the
// same lines as this version writes them; format makes the one out of the other.
func inBothFormats(t *testing.T, test func(t *testing.T, format func(string) string)) {
	t.Helper()
	t.Run("former version", func(t *testing.T) { test(t, func(log string) string { return log }) })
	t.Run("this version", func(t *testing.T) {
		test(t, func(log string) string {
			current := currentNames.Replace(log)
			if again := currentNames.Replace(current); again != current {
				t.Fatalf("a name is both former and current: %s", again)
			}
			return current
		})
	})
}

func read(t *testing.T, format func(string) string, log string) *Log {
	t.Helper()
	l, err := Read(strings.NewReader(format(log)))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// One machine's day, by hand: 36 an hour is 1 a hundred seconds.
func TestBillOfOneMachine(t *testing.T) {
	inBothFormats(t, func(t *testing.T, format func(string) string) {
		l := read(t, format, line(0, reef)+
			line(0, `msg=rented type=reef zone=a spot=false wanted=1 got=1 machines="[m1]"`)+
			"  40.0 host-1 "+line(40*time.Second, `msg="machine up" machine=m1 type=reef zone=a spot=false`)+
			line(150*time.Second, `msg="task over" task=wk-1/0 attempt=1 machine=m1 cause=done saved=false cpus=6 gpus=4 mem_gb=1 fetch_s=20 wait_s=0 run_s=80 save_s=0 saves_every_s=0`)+
			line(150*time.Second, `msg="task over" task=wk-2/0 attempt=1 machine=m1 cause=peers saved=false cpus=6 gpus=4 mem_gb=1 fetch_s=0 wait_s=10 run_s=90 save_s=0 saves_every_s=40`)+
			line(200*time.Second, `msg=returned machines=[m1]`))
		b := l.Bill()
		want := map[string]float64{Boot: 0.4, IdleBeforeFirstTask: 0.1, Fetch: 0.1, Useful: 0.4 + 0.4, GangWait: 0.05, LostWork: 0.05, IdleAfterLastTask: 0.5}
		for _, category := range Categories {
			if math.Abs(b.ByCategory[category]-want[category]) > 1e-9 {
				t.Errorf("%s: %v, want %v", category, b.ByCategory[category], want[category])
			}
		}
		if math.Abs(b.Cost-2) > 1e-9 {
			t.Errorf("in all %v, want 2", b.Cost)
		}
	})
}

// Spot machines are charged the price of the moment, and a machine is charged for
// a minute at least.
func TestBillFollowsSpotPrice(t *testing.T) {
	inBothFormats(t, func(t *testing.T, format func(string) string) {
		l := read(t, format, line(0, reef)+
			line(0, `msg=rented type=reef zone=a spot=true wanted=1 got=1 machines="[m1 m2]"`)+
			line(10*time.Second, `msg=returned machines=[m2]`)+
			line(100*time.Second, "%s", strings.Replace(reef, "spot=18", "spot=36", 1))+
			line(300*time.Second, `msg=returned machines=[m1]`))
		if b := l.Bill(); math.Abs(b.Cost-(0.5+2+0.3)) > 1e-9 || b.NeverRegistered != 2 {
			t.Fatalf("%+v", b)
		}
	})
}

// A log that was cut or mixed with other output: what can be read is used, and the
// rest is named with its line.
func TestMalformedLinesAreReported(t *testing.T) {
	inBothFormats(t, func(t *testing.T, format func(string) string) {
		whole := line(0, reef) + line(0, `msg=rented type=reef zone=a spot=false wanted=1 got=1 machines=[m1]`) + line(100*time.Second, `msg=returned machines=[m1]`)
		over := `msg="task over" task=wk-1/0 machine=m1 cause=done saved=false cpus=6 gpus=8 mem_gb=1 fetch_s=%s wait_s=0 run_s=50 save_s=0 saves_every_s=0`
		for name, c := range map[string]struct {
			tail   string
			reason string
		}{
			"cut in a string": {`time=2026-09-01T12:00:00Z level=INFO msg="task ov`, "line 4: is cut or no log line"},
			"cut in the time": {`time=2026-09-`, `line 4: time: "2026-09-" is no time`},
			"a missing field": {line(0, `msg=price type=kava hourly=3`), `line 4: msg="price": spot: is missing`},
			"no amount":       {line(0, over, "-3"), `line 4: msg="task over": fetch_s: "-3" is no amount`},
			"an endless line": {"time=" + strings.Repeat("x", 3*maxLineBytes) + "\n", "line 4: is longer than a mebibyte"},
		} {
			l := read(t, format, whole+c.tail)
			if len(l.Problems) != 1 || !strings.HasPrefix(l.Problems[0].String(), format(c.reason)) {
				t.Errorf("%s: %v", name, l.Problems)
			}
			if b := l.Bill(); math.Abs(b.Cost-1) > 1e-9 {
				t.Errorf("%s: the rest adds up to %v", name, b.Cost)
			}
		}
		if l := read(t, format, "nothing of ours\n\x00\xff\n"); l.Unrecognized != 2 || l.Bill().Machines != 0 {
			t.Errorf("%+v", l)
		}
	})
}

// Whatever tasks do, and however their times overlap, run past the machine's or
// overbook it, no category is negative and all add up to what the machines cost.
func TestCategoriesAddUpToCost(t *testing.T) {
	inBothFormats(t, func(t *testing.T, format func(string) string) {
		rapid.Check(t, func(t *rapid.T) {
			var log strings.Builder
			log.WriteString(line(0, reef))
			want := 0.0
			seconds := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
			for i := range rapid.IntRange(1, 4).Draw(t, "machines") {
				from := seconds("rented", 200)
				to := from + 60 + seconds("life", 600)
				log.WriteString(line(time.Duration(from)*time.Second, "msg=rented type=reef zone=a spot=false machines=[m%d]", i))
				if rapid.Bool().Draw(t, "up") {
					log.WriteString(line(time.Duration(from+seconds("boot", 700))*time.Second, `msg="machine up" machine=m%d type=reef zone=a spot=false`, i))
				}
				for k := range rapid.IntRange(0, 6).Draw(t, "tasks") {
					log.WriteString(line(time.Duration(seconds("end", 900))*time.Second, `msg="task over" task=wk-1/%d machine=m%d cause=%s saved=%v cpus=1 gpus=%d mem_gb=1 fetch_s=%d wait_s=%d run_s=%d save_s=%d saves_every_s=%d`,
						k, i, rapid.SampledFrom([]string{"done", "stopped", "lost"}).Draw(t, "cause"), rapid.Bool().Draw(t, "saved"), seconds("gpus", 12),
						seconds("fetch", 90), seconds("wait", 90), seconds("run", 300), seconds("save", 9), seconds("every", 30)))
				}
				if rapid.Bool().Draw(t, "silent") {
					log.WriteString(line(time.Duration(seconds("silent at", 900))*time.Second, `msg="machine is silent" machine=m%d for_s=14`, i))
				}
				log.WriteString(line(time.Duration(to)*time.Second, "msg=returned machines=[m%d]", i))
				want += float64(to-from) / 100
			}
			l, err := Read(strings.NewReader(format(log.String())))
			if err != nil || len(l.Problems) > 0 {
				t.Fatal(err, l.Problems)
			}
			b := l.Bill()
			sum := 0.0
			for category, money := range b.ByCategory {
				if money < 0 {
					t.Fatalf("%s: %v", category, money)
				}
				sum += money
			}
			if math.Abs(sum-want) > 1e-6 || math.Abs(b.Cost-want) > 1e-6 {
				t.Fatalf("categories add up to %v, the bill is %v, the machines cost %v", sum, b.Cost, want)
			}
		})
	})
}

// One GPU for a hundred seconds, and a long job that was served first although it
// could not make its deadline: the two short ones behind it could have.
func TestDeadlinesAchievableByAnotherOrder(t *testing.T) {
	inBothFormats(t, func(t *testing.T, format func(string) string) {
		accepted := func(id string, due int) string {
			return line(0, `msg="job accepted" job=%s class=read tasks=1 gpus=1 due_s=%d`, id, due)
		}
		over := func(end, run int, id string) string {
			return line(time.Duration(end)*time.Second, `msg="task over" task=%s/0 machine=m1 cause=done saved=false cpus=1 gpus=1 mem_gb=1 fetch_s=0 wait_s=0 run_s=%d save_s=0 saves_every_s=0`, id, run)
		}
		log := line(0, reef) + accepted("wk-1", 50) + accepted("wk-2", 40) + accepted("wk-3", 40) + accepted("wk-4", 0) +
			over(60, 60, "wk-1") + over(80, 20, "wk-2") + over(100, 20, "wk-3")
		got := read(t, format, log).DeadlineOutcomes()
		if want := (DeadlineOutcome{Class: "read", Jobs: 3, Kept: 0, Achievable: 2}); len(got) != 1 || got[0] != want {
			t.Fatalf("%+v, want %+v", got, want)
		}
		if got := read(t, format, line(0, reef)).DeadlineOutcomes(); got != nil {
			t.Fatalf("without jobs: %+v", got)
		}
	})
}

// Who was served: each job counts by its own aim, users' cancellations do not
// count, and what is not over when the log ends counts once its time has passed.
func TestServiceLevels(t *testing.T) {
	inBothFormats(t, func(t *testing.T, format func(string) string) {
		accepted := func(at time.Duration, id, class string, due int) string {
			return line(at, `msg="job accepted" job=%s class=%s team=t-%s tasks=2 gpus=1 due_s=%d slot=s`, id, class, class, due)
		}
		l := read(t, format, accepted(0, "wk-1", "read", 100)+accepted(0, "wk-2", "read", 100)+accepted(0, "wk-3", "read", 100)+
			accepted(150*time.Second, "wk-4", "read", 100)+accepted(0, "wk-5", "train", 0)+accepted(0, "wk-6", "read", 100)+
			line(20*time.Second, `msg="task committed" task=wk-1/0 attempt=1 machine=m verdict=started`)+
			line(25*time.Second, `msg="task committed" task=wk-1/1 attempt=1 machine=m verdict=started`)+
			line(90*time.Second, `msg="job complete" job=wk-1 age=90s`)+
			line(30*time.Second, `msg="task committed" task=wk-2/0 attempt=1 machine=m verdict=started`)+
			line(140*time.Second, `msg="job complete" job=wk-2 age=140s`)+
			line(50*time.Second, `msg="job cancelled" job=wk-6`)+
			line(180*time.Second, `msg=fleet machines=1`))
		classes, teams := l.ServiceLevels(func(_ string, due time.Duration) time.Duration { return due })
		want := ServiceLevel{Name: "read", Jobs: 4, Cancelled: 1, Started: 2, Done: 2, Tasks: 8, DoneBy: [3]Ratio{{3, 1}, {3, 2}, {2, 2}}, LongestWaitS: 180,
			Largest: Ratio{4, 2}, LargestStartedInTime: Ratio{2, 2}, LargestMinTasks: 2, LargestLongestWaitS: 180}
		if len(classes) != 2 || !reflect.DeepEqual(classes[0], want) || teams[0].Jobs != 4 || teams[0].Name != "t-read" {
			t.Fatalf("%+v\n%+v", classes, teams)
		}
		if train := classes[1]; train.Jobs != 1 || train.Started != 0 || train.DoneBy != [3]Ratio{} {
			t.Fatalf("%+v", train)
		}
		var out strings.Builder
		if err := PrintServiceLevels(&out, classes, teams); err != nil || !strings.Contains(out.String(), "0.33") {
			t.Fatal(out.String(), err)
		}
	})
}

// The largest jobs of a class count by themselves: that all small ones began hides
// nothing. What waits for others has not begun to wait for a place, and what was
// withdrawn with a job before it is cancelled.
func TestServiceLevelsOfLargestAndWaitingJobs(t *testing.T) {
	inBothFormats(t, func(t *testing.T, format func(string) string) {
		var log strings.Builder
		accepted := func(at time.Duration, id string, tasks, waits int) {
			log.WriteString(line(at, `msg="job accepted" job=%s class=read team=t tasks=%d gpus=1 due_s=0 slot=s waits_on=%d`, id, tasks, waits))
		}
		started := func(at time.Duration, id string) {
			log.WriteString(line(at, `msg="task committed" task=%s/0 attempt=1 machine=m verdict=started`, id))
		}
		for k := range 18 {
			id := fmt.Sprintf("wk-%d", k)
			accepted(0, id, 1, 0)
			started(time.Second, id)
		}
		accepted(0, "wk-90", 50, 0) // never begins
		accepted(0, "wk-91", 50, 1) // is ready after 500 s, and begins 100 s later
		log.WriteString(line(500*time.Second, `msg="job ready" job=wk-91 after=500s`))
		started(600*time.Second, "wk-91")
		accepted(0, "wk-92", 70, 1) // is withdrawn
		log.WriteString(line(20*time.Second, `msg="job withdrawn" job=wk-92 because=wk-7`))
		accepted(0, "wk-93", 80, 2) // waits still
		log.WriteString(line(700*time.Second, `msg=fleet machines=1`))
		classes, _ := read(t, format, log.String()).ServiceLevels(func(string, time.Duration) time.Duration { return 0 })
		v := classes[0]
		if v.Jobs != 20 || v.Cancelled != 1 || v.Waiting != 1 || v.Started != 19 {
			t.Errorf("%+v", v)
		}
		if v.LargestMinTasks != 50 || v.Largest != (Ratio{2, 1}) || v.LargestStartedInTime != (Ratio{2, 1}) || v.LargestLongestWaitS != 700 || v.LongestWaitS != 700 {
			t.Errorf("%+v", v)
		}
	})
}

// While controllers are replaced one by one, the logs of a fleet have lines of both
// versions: they add up as those of either one do.
func TestMixedLinesOfBothVersions(t *testing.T) {
	lines := []string{
		line(0, reef),
		line(0, `msg=rented type=reef zone=a spot=false wanted=1 got=1 machines="[m1]"`),
		line(40*time.Second, `msg="machine up" machine=m1 type=reef zone=a spot=false`),
		line(50*time.Second, `msg="job accepted" job=wk-1 class=read team=t tasks=1 gpus=4 due_s=200 slot=s waits_on=0`),
		line(60*time.Second, `msg="task committed" task=wk-1/0 attempt=1 machine=m1 verdict=started`),
		line(150*time.Second, `msg="task over" task=wk-1/0 machine=m1 cause=stopped saved=false cpus=6 gpus=4 mem_gb=1 fetch_s=20 wait_s=5 run_s=60 save_s=5 saves_every_s=40`),
		line(170*time.Second, `msg="machine is silent" machine=m1 for_s=14`),
		line(190*time.Second, `msg="job cancelled" job=wk-1`),
		line(200*time.Second, `msg=returned machines=[m1]`),
	}
	former := func(log string) string { return log }
	want := read(t, former, strings.Join(lines, ""))
	wantClasses, wantTeams := want.ServiceLevels(func(string, time.Duration) time.Duration { return time.Minute })
	if bill := want.Bill(); math.Abs(bill.Cost-2) > 1e-9 || bill.ByCategory[Unresponsive] == 0 || bill.ByCategory[LostWork] == 0 || bill.ByCategory[Checkpoint] == 0 {
		t.Fatalf("%+v", bill)
	}
	for versions := range 1 << len(lines) {
		var log strings.Builder
		for k, text := range lines {
			if versions>>k&1 == 1 {
				text = currentNames.Replace(text)
			}
			log.WriteString(text)
		}
		got := read(t, former, log.String())
		if len(got.Problems) > 0 || !reflect.DeepEqual(got.Bill(), want.Bill()) {
			t.Fatalf("%+v %v, want %+v from\n%s", got.Bill(), got.Problems, want.Bill(), log.String())
		}
		classes, teams := got.ServiceLevels(func(string, time.Duration) time.Duration { return time.Minute })
		if !reflect.DeepEqual(classes, wantClasses) || !reflect.DeepEqual(teams, wantTeams) {
			t.Fatalf("%+v %+v, want %+v %+v from\n%s", classes, teams, wantClasses, wantTeams, log.String())
		}
	}
}
