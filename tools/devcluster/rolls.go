package devcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
)

// ExampleSubmission is a submission to try by hand.
const ExampleSubmission = `{"id":"wk-1","job_class":"try","owner":"crew","shape":"sweep","rank":"normal","pieces":4,"cpus":1,"gpus":1,"mem_gb":1,"bundle":"sh:echo tried; sleep 3","pull_gb":0.1,"host_kinds":null,"site":null,"one_zone":false,"spread":false,"loaners":true,"guess_s":3,"snapshot_every_s":0,"snapshot_s":0,"due_s":null}`

// RolloutPlan says how often to roll, from and to what, and what goes on meanwhile.
type RolloutPlan struct {
	Rollouts      int
	FormerProgram string // program of the former version
	RunningTasks  int    // tasks that are to run at a time
	MeanTasks     float64
	MeanSeconds   float64
	MaxPause      time.Duration
	Warmup        time.Duration
}

// known is what a user was told of a job.
type known struct {
	tasks     int
	accepted  time.Time
	final     string
	cancelled bool // its user asked for that

	needs  []string  // jobs that it waits for
	ending time.Time // when its user was told that a job before it is cancelled
}

// load is users that submit, ask and cancel for as long as the rolls go on, and remember
// what they were told.
type load struct {
	f      *Cluster
	of     RolloutPlan
	client *Client

	mu      sync.Mutex
	jobs    map[string]*known
	chains  bool           // all controllers know pipelines: jobs may wait for others
	waiting sync.WaitGroup // submissions of such under way
	named   int
	recent  []string
	count   int
	refused int           // submissions without a yes in their time
	slowest time.Duration // submission
	over1s  int
	broken  []string
}

func (l *load) address() string { return l.f.ControllerAddress(rand.IntN(l.f.opts.Controllers)) }

func (l *load) breaks(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// submit submits one job, as often as it takes, for up to a minute.
func (l *load) submit(ctx context.Context) {
	l.mu.Lock()
	l.count++
	n := l.count
	needs := l.choose()
	l.mu.Unlock()
	if len(needs) > 0 {
		defer l.waiting.Done()
	}
	id, tasks, shape := fmt.Sprintf("wk-%08d", n), 1+rand.IntN(int(2*l.of.MeanTasks)), "sweep"
	if n%4 == 0 {
		shape, tasks = "gang", 1+rand.IntN(3)
	}
	s := NewSubmission(id, shape, "", tasks, 1, l.of.MeanSeconds*(0.25+1.5*rand.Float64()))
	if len(needs) > 0 {
		s["waits_on"] = needs
	}
	began := time.Now()
	for time.Since(began) < time.Minute && ctx.Err() == nil && (len(needs) == 0 || l.linked()) {
		a, err := l.client.Submit(ctx, l.address(), s)
		if err == nil && (a.Code == http.StatusCreated || a.Code == http.StatusOK) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.jobs[id] = &known{tasks: tasks, accepted: time.Now(), needs: needs}
			if l.recent = append(l.recent, id); len(l.recent) > mostRecent {
				l.recent = l.recent[1:]
			}
			if len(needs) > 0 {
				l.named++
			}
			for _, p := range needs {
				if l.jobs[p].cancelled && l.jobs[p].final == "withdrawn" || !l.jobs[p].ending.IsZero() {
					l.jobs[id].ending = time.Now()
				}
			}
			took := time.Since(began)
			l.slowest = max(l.slowest, took)
			if took > time.Second {
				l.over1s++
			}
			return
		}
		if err == nil && (a.Code == http.StatusBadRequest || a.Code == http.StatusUnprocessableEntity) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.breaks("forgotten: a submission of %s answers %d", id, a.Code)
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	if ctx.Err() == nil && (len(needs) == 0 || l.linked()) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.refused++
	}
}

// mostRecent is of how many jobs accepted last some are named by new ones.
const mostRecent = 12

// choose picks jobs that the next one is to wait for. The mutex is held.
func (l *load) choose() (needs []string) {
	if !l.chains || len(l.recent) == 0 || rand.IntN(2) == 0 {
		return nil
	}
	for range 1 + rand.IntN(3) {
		if id := l.recent[rand.IntN(len(l.recent))]; !slices.Contains(needs, id) {
			needs = append(needs, id)
		}
	}
	l.waiting.Add(1)
	return needs
}

func (l *load) linked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chains
}

// link says whether jobs may wait for others from now on; before they may not any more
// it waits until no such submission is under way.
func (l *load) link(on bool) {
	l.mu.Lock()
	l.chains = on
	l.mu.Unlock()
	if !on {
		l.waiting.Wait()
	}
}

// before lists the tasks that have to be completed before one starts.
func (l *load) before(task string) (tasks []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, _, _ := strings.Cut(task, "/")
	j := l.jobs[id]
	if j == nil {
		return nil // its acceptance is on its way to its user
	}
	for _, p := range j.needs {
		for k := range l.jobs[p].tasks {
			tasks = append(tasks, fmt.Sprintf("%s/%d", p, k))
		}
	}
	return tasks
}

// ended notes that a user was told of a cancellation, for all jobs after that one. The
// mutex is held.
func (l *load) ended(id string) {
	for after, j := range l.jobs {
		if j.ending.IsZero() && slices.Contains(j.needs, id) {
			j.ending = time.Now()
			l.ended(after)
		}
	}
}

// cancelGone is the time within which all is over after a cancellation, as the settings
// say.
const cancelGone = 20 * time.Second

// ask asks for a job, or cancels it, and holds the answer against earlier ones.
func (l *load) ask(ctx context.Context, id string, cancel bool) {
	l.mu.Lock()
	j := l.jobs[id]
	before := j.final
	j.cancelled = j.cancelled || cancel
	l.mu.Unlock()
	var a Response
	var err error
	asked := time.Now()
	if cancel {
		a, err = l.client.Cancel(ctx, l.address(), id)
	} else {
		a, err = l.client.Query(ctx, l.address(), id)
	}
	if err != nil || a.Code != http.StatusOK && a.Code != http.StatusNotFound {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.Code == http.StatusNotFound:
		l.breaks("forgotten: %s answers 404", id)
	case before != "" && a.Status != before:
		l.breaks("went_back: %s was %s and is %s", id, before, a.Status)
	case a.Status == "done" && before == "":
		for k := range j.tasks {
			if task := fmt.Sprintf("%s/%d", id, k); !l.f.Cloud.TaskCompleted(task) {
				l.breaks("not_done: %s is called done before %s is", id, task)
			}
		}
		j.final = a.Status
	case a.Status == "withdrawn" && !j.cancelled && j.ending.IsZero():
		l.breaks("went_back: %s is called cancelled and nobody cancelled it", id)
	case a.Status == "withdrawn":
		j.final = a.Status
		if cancel {
			l.ended(id)
		}
	case !j.ending.IsZero() && asked.Sub(j.ending) > cancelGone:
		l.breaks("orphaned: %s is called %s %v after a job before it was cancelled", id, a.Status, asked.Sub(j.ending).Round(time.Second))
	}
}

// open lists the jobs that are not over as far as their users know, in any order, and
// some that are.
func (l *load) open() (open, over []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, j := range l.jobs {
		if j.final == "" {
			open = append(open, id)
		} else {
			over = append(over, id)
		}
	}
	return open, over
}

func (l *load) run(ctx context.Context) {
	var users sync.WaitGroup
	every := func(d time.Duration, f func()) {
		users.Go(func() {
			for ctx.Err() == nil {
				users.Go(f)
				time.Sleep(time.Duration(float64(d) * (0.5 + rand.Float64())))
			}
		})
	}
	rate := float64(l.of.RunningTasks) / (l.of.MeanTasks * l.of.MeanSeconds) // jobs a second
	every(time.Duration(float64(time.Second)/rate), func() { l.submit(ctx) })
	every(50*time.Millisecond, func() {
		open, over := l.open()
		if len(open) > 0 {
			l.ask(ctx, open[rand.IntN(len(open))], rand.IntN(60) == 0)
		}
		if len(over) > 0 {
			l.ask(ctx, over[rand.IntN(len(over))], false)
		}
	})
	users.Wait()
}

// RunRollouts replaces the controllers, one after the other, by this program and back by the
// former one, so many times, under load; each is killed at any moment, some twice. On the
// way back the level is lowered first, or, every third time, not: then the former ones
// must be refused without harm, and are replaced again. It tells what was lost.
func (f *Cluster) RunRollouts(ctx context.Context, out io.Writer, of RolloutPlan) error {
	if of.FormerProgram == "" || of.RunningTasks < 1 || of.MeanTasks < 1 || of.MeanSeconds <= 0 {
		return errors.New("--former is missing, or the load is none")
	}
	l := &load{f: f, of: of, client: NewClient(), jobs: map[string]*known{}}
	f.Cloud.CheckDependencies(l.before)
	lctx, stop := context.WithCancel(ctx)
	defer stop()
	var users sync.WaitGroup
	users.Go(func() { l.run(lctx) })
	pause := func(most time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.Float64() * float64(most))):
		}
	}
	replace := func(program string) error {
		for _, k := range rand.Perm(f.opts.Controllers) {
			for range 1 + rand.IntN(2) {
				f.Kill(k)
				pause(500 * time.Millisecond)
				if err := f.Launch(k, program); err != nil {
					return err
				}
				pause(of.MaxPause)
			}
		}
		return ctx.Err()
	}
	var refusedAt, loweredFrom []int
	select {
	case <-ctx.Done():
	case <-time.After(of.Warmup):
	}
	began := time.Now()
	for n := range of.Rollouts {
		if err := replace(f.opts.Program); err != nil {
			return err
		}
		f.command("raise")
		// As soon as all are new, users send pipelines, and the limits are lowered.
		l.link(true)
		f.State.SetSizeLimits(limitsToCome["value_kb"]*1024, limitsToCome["txn_ops"])
		pause(12 * time.Second)
		level := f.level()
		if n%3 == 2 && level > 0 && !closed(level) {
			refusedAt = append(refusedAt, level)
		} else {
			loweredFrom = append(loweredFrom, level)
			l.link(false)
			if err := f.lower(ctx); err != nil {
				return err
			}
		}
		f.State.SetSizeLimits(0, 0) // the former version keeps to those of before
		if err := replace(of.FormerProgram); err != nil {
			return err
		}
		pause(2 * time.Second)
		if (n+1)%5 == 0 || n+1 == of.Rollouts {
			l.mu.Lock()
			fmt.Fprintf(out, "%d rolls in %v: %d jobs accepted, %d starts, broken: %d here, %d seen by workers %v\n", n+1, time.Since(began).Round(time.Second), len(l.jobs), f.Cloud.TaskStarts(), len(l.broken), len(f.Cloud.Violations()), l.broken[:min(5, len(l.broken))])
			l.mu.Unlock()
		}
	}
	if err := replace(f.opts.Program); err != nil {
		return err
	}
	stop()
	users.Wait()
	return l.finish(ctx, out, of.Rollouts, refusedAt, loweredFrom)
}

// finish waits until all accepted jobs are over, and tells what became of them.
func (l *load) finish(ctx context.Context, out io.Writer, rolls int, refusedAt, loweredFrom []int) error {
	longest := time.Minute + time.Duration(4*l.of.MeanSeconds*float64(time.Second))
	for deadline := time.Now().Add(longest); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		open, _ := l.open()
		if len(open) == 0 {
			break
		}
		for _, id := range open[:min(len(open), 20)] {
			l.ask(ctx, id, false)
		}
	}
	open, _ := l.open()
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(open)
	byStatus := map[string]int{}
	for _, j := range l.jobs {
		byStatus[j.final]++
	}
	fmt.Fprintf(out, "%d rolls forward and back; levels lowered from %v, former ones refused at %v\n", rolls, counts(loweredFrom), counts(refusedAt))
	fmt.Fprintf(out, "submissions: %d accepted, %d over 1 s, slowest %v, %d given up by their users\n", len(l.jobs), l.over1s, l.slowest.Round(time.Millisecond), l.refused)
	again, gap := l.f.Cloud.Restarts()
	fmt.Fprintf(out, "tasks: %d starts, %d of them of tasks that had been started before; longest time without a start %v\n", l.f.Cloud.TaskStarts(), again, gap.Round(time.Millisecond))
	fmt.Fprintf(out, "jobs: %d done, %d cancelled, %d lost %v\n", byStatus["done"], byStatus["withdrawn"], len(open), open[:min(10, len(open))])
	fmt.Fprintf(out, "pipelines: %d jobs waited for others; refused as too large: %d %v\n", l.named, len(l.f.State.SizeViolations()), l.f.State.SizeViolations()[:min(3, len(l.f.State.SizeViolations()))])
	broken := append(l.broken, l.f.Cloud.Violations()...)
	fmt.Fprintf(out, "rules broken: %d %s\n", len(broken), strings.Join(broken[:min(10, len(broken))], "; "))
	if len(broken) > 0 || len(open) > 0 {
		return errors.New("something was lost or broken")
	}
	return nil
}

func counts(levels []int) map[int]int {
	out := map[int]int{}
	for _, n := range levels {
		out[n]++
	}
	return out
}

// closed reports whether the way back from a level is closed: then the former version
// must not be put back without lowering it.
func closed(level int) bool {
	for _, step := range rollout.FeatureGates[:level] {
		if step.Irreversible {
			return true
		}
	}
	return false
}

// lower lowers the level to 0, however long it takes to bring stored values back.
func (f *Cluster) lower(ctx context.Context) error {
	for deadline := time.Now().Add(10 * time.Minute); f.level() > 0; time.Sleep(100 * time.Millisecond) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the level is still %d after ten minutes of lowering it", f.level())
		}
		f.command("lower")
	}
	return nil
}

// command gives a person's command to any controller that takes it.
func (f *Cluster) command(verb string) {
	for k := range f.opts.Controllers {
		resp, err := (&http.Client{Timeout: 3 * time.Second}).Post("http://"+f.ControllerAddress(k)+"/rollout/"+verb, "", nil)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
}

// level is the fleet's level, as the state service has it.
func (f *Cluster) level() int {
	for _, kv := range f.State.ListAll(statekv.ClusterVersionKey) {
		if l, err := rollout.ParseClusterVersion(kv.Value); err == nil {
			return l.Number
		}
	}
	return 0
}
