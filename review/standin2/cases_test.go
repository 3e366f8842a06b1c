package standin2

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Exit codes of a scenario.
const (
	held   = 0 // the rule held
	broke  = 1 // the rule was broken
	unable = 2 // the case could not run
)

// scenario runs a case and returns its exit code. trouble says whether the disruption takes place.
type scenario func(r *recorder, program string, trouble bool) (code int, err error)

var scenarios = map[string]scenario{
	"quota":  quotaAfterTakeover,
	"polls":  pollsAfterCrash,
	"leak":   quotaNeverReturned,
	"class":  classHeldBack,
	"copies": quotaAfterCopies,
}

// TestScenario runs the case that REVIEW_CASE names. It is started by the run.sh of the case.
func TestScenario(t *testing.T) {
	name := os.Getenv("REVIEW_CASE")
	if name == "" {
		t.Skip("REVIEW_CASE is not set: see review/REPORT-2.md")
	}
	run, directory := scenarios[name], os.Getenv("REVIEW_DIR")
	record, err := newRecorder(filepath.Join(directory, "record.txt"))
	if err != nil || run == nil {
		fmt.Fprintln(os.Stderr, "no such case or no record:", name, err)
		os.Exit(unable)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, trouble %t", name, trouble)
	code, err := run(record, os.Getenv("REVIEW_PROGRAM"), trouble)
	if err != nil {
		code = unable
	}
	record.line("exit code %d (0 held, 1 broken, 2 could not run) %v", code, err)
	fmt.Fprintln(os.Stderr, name, "exit code", code, err)
	os.Exit(code)
}

const gpuSite = "joensuu"

// herbarium returns the settings of halonen-kuopio.
func herbarium() (facts, kind) {
	f := facts{
		Size: 3, Zones: []string{"joensuu", "kuopio"},
		Teams: []map[string]any{
			{"name": "scan-floor", "cpus": 0.0, "cpus_max": 0.0, "gpus": 48.0, "gpus_max": 168.0},
			{"name": "label-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 8.0},
		},
		Objectives: []map[string]any{},
		Workers:    timing{ReportS: 3, LeaseS: 34, GangWaitS: 45, GangPeerS: 4, CancelS: 64},
		State:      map[string]any{"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 24},
		Cloud:      map[string]any{"rps": 10.0, "list_lag_s": 4.0},
		Quota:      map[string]any{"cores": 0.36, "memory_mb": 342.0, "max_connections": 3500},
		ClockOffMS: 1000,
	}
	return f, kind{
		Label: "birch-box", CPUs: 64, GPUs: 8, MemoryGB: 512, LocalGB: 120, PullRate: 0.3, Hourly: 17.68, LowPrice: 7.96,
		StartupS: 40, Sites: []string{"joensuu", "kuopio"},
	}
}

// startHerbarium starts three controllers, of which host-0 leads and only host-1 is in the zone of the machines, the
// machines, and a service with one task on each of them, which keeps them in use.
func startHerbarium(r *recorder, program string, machines int) (*cluster, error) {
	f, k := herbarium()
	c, err := newCluster(r, program, f, []string{"kuopio", gpuSite, "kuopio"}, k)
	if err != nil {
		return nil, err
	}
	if err := c.begin("host-0"); err != nil {
		return c, err
	}
	for number := range machines {
		if err := c.platform.add(fmt.Sprintf("vm-%06d", number+1), gpuSite, false); err != nil {
			return c, err
		}
	}
	if !until(15*time.Second, func() bool { return c.platform.answeredOnce() == machines }) {
		return c, fmt.Errorf("only %d of %d machines were answered", c.platform.answeredOnce(), machines)
	}
	if !c.submit("host-1", keeper("wk-000001", "scan-floor", machines, false)) {
		return c, fmt.Errorf("the service was not accepted")
	}
	if !until(20*time.Second, func() bool { return c.platform.count("wk-000001", "running") == machines }) {
		return c, fmt.Errorf("only %d of %d tasks of the service run", c.platform.count("wk-000001"), machines)
	}
	return c, nil
}

// begin starts the controllers. The given one starts first and leads.
func (c *cluster) begin(leader string) error {
	if err := c.launch(leader); err != nil {
		return err
	}
	if !until(15*time.Second, func() bool { return c.leads(leader) && c.ready(leader) }) {
		return fmt.Errorf("%s does not lead", leader)
	}
	for _, host := range c.hosts {
		if host == leader {
			continue
		}
		if err := c.launch(host); err != nil {
			return err
		}
	}
	for _, host := range c.hosts {
		if !until(15*time.Second, func() bool { return c.ready(host) }) {
			return fmt.Errorf("%s is not ready", host)
		}
	}
	return nil
}

// keeper is a service of which one task fits on a machine, beside other work.
func keeper(id, team string, tasks int, loaners bool) *spec {
	return &spec{
		ID: id, Class: "keeper", Team: team, Shape: "standing", Rank: "high", Pieces: tasks, CPUs: 33, MemoryGB: 64,
		Bundle: "img-keeper", PullGB: 0.15, Loaners: loaners,
	}
}

// reading is an array of tasks of one GPU.
func reading(id string, tasks int, runS float64) *spec {
	return &spec{
		ID: id, Class: "label-read", Team: "label-desk", Shape: "sweep", Rank: "normal", Pieces: tasks, CPUs: 3, GPUs: 1,
		MemoryGB: 24, Bundle: "img-read", PullGB: 0.15, GuessS: runS, runS: runS,
	}
}

// verdict returns the exit code for the rule, and an error if another rule was broken before the case was over.
func (c *cluster) verdict(rule string) int {
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	for _, event := range c.platform.events {
		if len(event) > len(rule) && event[:len(rule)] == rule {
			return broke
		}
	}
	return held
}

// quotaAfterTakeover: the leader does not hear from the owner of the machines for some seconds, and meanwhile the
// controller whose jobs run there ends and is back at once.
func quotaAfterTakeover(r *recorder, program string, trouble bool) (int, error) {
	const machines, limit = 4, 8
	c, err := startHerbarium(r, program, machines)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.setCut("host-0", "host-1", true)
	}
	time.Sleep(time.Second)
	if !c.submit("host-2", reading("wk-000412", limit, 90)) {
		return unable, fmt.Errorf("the first job was not accepted")
	}
	if !until(15*time.Second, func() bool { return c.platform.count("wk-000412", "running") == limit }) {
		return unable, fmt.Errorf("only %d tasks of the first job run", c.platform.count("wk-000412"))
	}
	if !c.submit("host-2", reading("wk-000417", limit, 90)) {
		return unable, fmt.Errorf("the second job was not accepted")
	}
	time.Sleep(4 * time.Second)
	if n := c.platform.count("wk-000417"); n > 0 {
		return c.verdict("quota"), nil
	}
	if trouble {
		c.kill("host-2")
		time.Sleep(500 * time.Millisecond)
		if err := c.launch("host-2"); err != nil {
			return unable, err
		}
	}
	until(14*time.Second, func() bool { return c.verdict("quota") == broke })
	if trouble {
		c.setCut("host-0", "host-1", false)
	}
	time.Sleep(2 * time.Second)
	c.ask("host-1", "wk-000412")
	c.ask("host-1", "wk-000417")
	return c.verdict("quota"), nil
}

// quotaNeverReturned: the leader does not hear from the owner of the machines for some seconds. In that time a job
// of a team runs there and is done. Afterwards the team's next job waits.
func quotaNeverReturned(r *recorder, program string, trouble bool) (int, error) {
	const machines, limit = 4, 8
	c, err := startHerbarium(r, program, machines)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return unable, err
	}
	if trouble {
		c.setCut("host-0", "host-1", true)
	}
	if !c.submit("host-2", reading("wk-000412", limit, 2)) {
		return unable, fmt.Errorf("the first job was not accepted")
	}
	if !until(20*time.Second, func() bool {
		return c.platform.doneCount("wk-000412") == limit && c.platform.listed("wk-000412") == 0
	}) {
		return unable, fmt.Errorf("%d tasks of the first job are done, %d still listed",
			c.platform.doneCount("wk-000412"), c.platform.listed("wk-000412"))
	}
	time.Sleep(2 * time.Second) // until the workers' next reports have shown the owner that the tasks are forgotten
	if trouble {
		c.setCut("host-0", "host-1", false)
	}
	c.ask("host-2", "wk-000412")
	next := reading("wk-000417", limit, 2)
	if !c.submit("host-2", next) {
		return unable, fmt.Errorf("the second job was not accepted")
	}
	return c.waitsTooLong(next)
}

// waitLimit is for how long a job may be left waiting once the troubles are over.
const waitLimit = 90 * time.Second

// waitsTooLong waits until a task of the job starts. The rule is broken if none does within waitLimit although
// machines have had room all the time.
func (c *cluster) waitsTooLong(s *spec) (int, error) {
	lastAsked := time.Time{}
	for began := time.Now(); time.Since(began) < waitLimit+500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		if c.platform.count(s.ID) > 0 || c.platform.doneCount(s.ID) > 0 {
			c.record.line("%s has begun after %.1f s", s.ID, time.Since(began).Seconds())
			return held, nil
		}
		if time.Since(lastAsked) > 5*time.Second {
			lastAsked = time.Now()
			c.ask("host-2", s.ID)
			room := c.platform.roomBySite(s)
			c.platform.mu.Lock()
			c.record.line("%s waits; machines on which a task of it has room, by zone: %v; its team uses %g GPUs",
				s.ID, room, c.platform.teamGPUs(s.Team))
			c.platform.mu.Unlock()
			if total := total(room); total == 0 {
				return unable, fmt.Errorf("the machines have no room for %s any more", s.ID)
			}
		}
	}
	c.record.line("BROKEN not run: %s has waited for %v since the trouble was over", s.ID, waitLimit)
	return broke, nil
}

func total(room map[string]int) (n int) {
	for _, machines := range room {
		n += machines
	}
	return n
}

// classHeldBack: an array that is bound to one zone loses one of its machines there. A later array of the same kind has
// room in another zone.
func classHeldBack(r *recorder, program string, trouble bool) (int, error) {
	f, k := meters()
	c, err := newCluster(r, program, f, f.Zones, k)
	if err != nil {
		return unable, err
	}
	defer c.stop()
	if err := c.begin("host-0"); err != nil {
		return unable, err
	}
	sites := []string{"suva", "suva", "lautoka", "lautoka", "labasa"} // each controller owns machines
	for number, site := range sites {
		if err := c.platform.add(fmt.Sprintf("vm-%06d", number+1), site, site != "labasa"); err != nil {
			return unable, err
		}
	}
	if !until(15*time.Second, func() bool { return c.platform.answeredOnce() == len(sites) }) {
		return unable, fmt.Errorf("only %d machines were answered", c.platform.answeredOnce())
	}
	if !c.submit("host-1", keeper(keeperID, "readers-desk", len(sites), true)) {
		return unable, fmt.Errorf("the service was not accepted")
	}
	if !until(20*time.Second, func() bool { return c.platform.count(keeperID, "running") == len(sites) }) {
		return unable, fmt.Errorf("only %d tasks of the service run", c.platform.count(keeperID))
	}
	bound := func(id string) *spec {
		return &spec{
			ID: id, Class: "photo-infer", Team: "readers-desk", Shape: "sweep", Rank: "normal", Pieces: 2, CPUs: 24, GPUs: 8,
			MemoryGB: 200, Bundle: "img-infer", PullGB: 0.25, OneZone: true, Loaners: true, GuessS: 300, SnapshotS: 10,
			SaveS: 1, runS: 300,
		}
	}
	first, second := bound("wk-000412"), bound("wk-000417")
	if !c.submit("host-2", first) {
		return unable, fmt.Errorf("the first array was not accepted")
	}
	if !until(15*time.Second, func() bool { return c.platform.count(first.ID, "running") == first.Pieces }) {
		return unable, fmt.Errorf("%d tasks of the first array run", c.platform.count(first.ID, "running"))
	}
	if trouble {
		taken := "vm-000002"
		if c.platform.roomBySite(second)["suva"] > 0 {
			taken = "vm-000004" // the first array runs in lautoka
		}
		c.platform.notice(taken, 5*time.Second)
	}
	if !c.submit("host-2", second) {
		return unable, fmt.Errorf("the second array was not accepted")
	}
	return c.waitsTooLong(second)
}

// quotaAfterCopies: when a job of a team is done, copies of what its controller has sent to the leader arrive there.
func quotaAfterCopies(r *recorder, program string, trouble bool) (int, error) {
	const machines, limit = 4, 8
	c, err := startHerbarium(r, program, machines)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return unable, err
	}
	if !c.submit("host-2", reading("wk-000412", limit, 2)) {
		return unable, fmt.Errorf("the first job was not accepted")
	}
	if !until(20*time.Second, func() bool {
		return c.platform.doneCount("wk-000412") == limit && c.platform.listed("wk-000412") == 0
	}) {
		return unable, fmt.Errorf("%d tasks of the first job are done, %d still listed",
			c.platform.doneCount("wk-000412"), c.platform.listed("wk-000412"))
	}
	time.Sleep(2 * time.Second) // until the workers' next reports have shown the owner that the tasks are forgotten
	if trouble {
		r.line("%d bytes that host-2 has sent to host-0 arrive there once more", c.peers["host-2"]["host-0"].repeat())
		time.Sleep(time.Second)
	}
	next := reading("wk-000417", limit, 2)
	if !c.submit("host-2", next) {
		return unable, fmt.Errorf("the second job was not accepted")
	}
	return c.waitsTooLong(next)
}

// meters returns the settings of vitimeter-suva.
func meters() (facts, kind) {
	f := facts{
		Size: 3, Zones: []string{"labasa", "lautoka", "suva"},
		Teams:      []map[string]any{{"name": "readers-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}},
		Objectives: []map[string]any{{"kind": "wait", "class": "dial-train", "within_s": 25.0, "share": 0.85}},
		Workers:    timing{ReportS: 3, LeaseS: 29, GangWaitS: 45, GangPeerS: 6, CancelS: 54},
		State:      map[string]any{"rps": 150.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 24},
		Cloud:      map[string]any{"rps": 6.0, "list_lag_s": 8.0},
		Quota:      map[string]any{"cores": 0.24, "memory_mb": 234.0, "max_connections": 3000},
		ClockOffMS: 250,
	}
	return f, kind{
		Label: "reef-box", CPUs: 64, GPUs: 8, MemoryGB: 512, LocalGB: 90, PullRate: 0.5, Hourly: 25.56, LowPrice: 9.95,
		StartupS: 30, Sites: []string{"labasa", "lautoka", "suva"},
	}
}

// Numbers of the case "polls".
const (
	readings  = 170                    // jobs that the last one waits for and that are done
	slowState = 300 * time.Millisecond // time that the state service takes for an answer while it is slow
	pollLimit = 90 * time.Second       // for how long every poll for a job may fail
)

// pollsAfterCrash: a job waits for many that are done and for one that runs. All controllers end and are back after
// five seconds, and from then on the state service answers slowly.
func pollsAfterCrash(r *recorder, program string, trouble bool) (int, error) {
	f, k := meters()
	c, err := newCluster(r, program, f, f.Zones, k)
	if err != nil {
		return unable, err
	}
	defer c.stop()
	if err := c.begin("host-0"); err != nil {
		return unable, err
	}
	for number := range 4 {
		if err := c.platform.add(fmt.Sprintf("vm-%06d", number+1), "suva", false); err != nil {
			return unable, err
		}
	}
	bills, err := c.monthlyBills()
	if err != nil {
		return unable, err
	}
	if status, told := c.ask("host-1", bills.ID); status != 200 || told.Status != "queued" {
		return unable, fmt.Errorf("%s is %d %s", bills.ID, status, told.Status)
	}
	if trouble {
		for _, host := range c.hosts {
			c.kill(host)
		}
		c.slow.Store(int64(slowState))
		r.line("the state service takes %v for an answer from now on", slowState)
	}
	ended := time.Now()
	if trouble {
		time.Sleep(5 * time.Second)
		for _, host := range c.hosts {
			if err := c.launch(host); err != nil {
				return unable, err
			}
		}
	}
	return c.pollBoth(bills.ID, keeperID, ended)
}

const keeperID = "wk-000001"

// monthlyBills submits a job that waits for many, of which all but one are done.
func (c *cluster) monthlyBills() (*spec, error) {
	running := keeper(keeperID, "readers-desk", 1, false)
	running.Shape, running.GuessS, running.runS = "sweep", 300, 600
	if !c.submit("host-0", running) {
		return nil, fmt.Errorf("the first job was not accepted")
	}
	bills := reading("wk-000999", 1, 10)
	bills.Team, bills.Class, bills.WaitsOn = "readers-desk", "bill-join", []string{running.ID}
	for number := range readings {
		s := reading(fmt.Sprintf("wk-%06d", 100+number), 1, 0.2)
		s.Team, s.Class = "readers-desk", "photo-infer"
		if !c.submit(c.hosts[number%len(c.hosts)], s) {
			return nil, fmt.Errorf("%s was not accepted", s.ID)
		}
		bills.WaitsOn = append(bills.WaitsOn, s.ID)
	}
	for _, id := range bills.WaitsOn[1:] {
		if !until(20*time.Second, func() bool {
			status, told := c.request("GET", "host-0", "/submissions/"+id, nil)
			return status == 200 && told.Status == "done"
		}) {
			return nil, fmt.Errorf("%s is not done", id)
		}
	}
	c.record.line("%d jobs are done", readings)
	if !c.submit("host-1", bills) {
		return nil, fmt.Errorf("the last job was not accepted")
	}
	return bills, nil
}

// pollBoth polls for two jobs, each time at the next controller, as a load balancer would have it. The rule is broken if every poll for the first one fails from the
// given time on for pollLimit, while most polls for the other one get answers.
func (c *cluster) pollBoth(id, other string, since time.Time) (int, error) {
	polls, answers := 0, 0
	c.client.Timeout = 2 * time.Second // for which users wait
	for round := 0; time.Since(since) < pollLimit+time.Second; round++ {
		host := c.hosts[round%len(c.hosts)]
		if status, told := c.ask(host, id); status == 200 || status == 404 {
			c.record.line("%s is answered %.1f s after the controllers ended: %d %s", id, time.Since(since).Seconds(), status, told.Status)
			return held, nil
		}
		polls++
		if status, _ := c.ask(host, other); status == 200 {
			answers++
		}
		time.Sleep(4 * time.Second)
	}
	c.record.line("all %d polls for %s have failed, %d of %d polls for %s were answered", polls, id, answers, polls, other)
	if 2*answers <= polls {
		return unable, fmt.Errorf("most polls for the other job failed as well")
	}
	c.record.line("BROKEN forgotten: every poll for %s has failed for %v", id, pollLimit)
	return broke, nil
}
