// Package standin2 has the stand-ins of the cases in review/4 to review/8: a cloud with its workers, users, links
// between the processes, and the state service of package emulator. Each case is a scenario in cases_test.go, which
// a run.sh starts. Built with go test -c by review/build-2.sh.
package standin2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// spec is a job as its user submits it.
type spec struct {
	ID        string   `json:"id"`
	Class     string   `json:"job_class"`
	Team      string   `json:"owner"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Pieces    int      `json:"pieces"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"gpus"`
	MemoryGB  float64  `json:"mem_gb"`
	Bundle    string   `json:"bundle"`
	PullGB    float64  `json:"pull_gb"`
	HostKinds []string `json:"host_kinds"`
	Site      *string  `json:"site"`
	OneZone   bool     `json:"one_zone"`
	Spread    bool     `json:"spread"`
	Loaners   bool     `json:"loaners"`
	GuessS    float64  `json:"guess_s"`
	SnapshotS float64  `json:"snapshot_every_s"`
	SaveS     float64  `json:"snapshot_s"`
	DueS      *float64 `json:"due_s"`
	WaitsOn   []string `json:"waits_on,omitempty"`

	runS float64 // how long a task really runs; 0: until it is stopped
}

// kind is a machine type.
type kind struct {
	Label    string   `json:"label"`
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"gpus"`
	MemoryGB float64  `json:"mem_gb"`
	LocalGB  float64  `json:"local_gb"`
	PullRate float64  `json:"pull_gb_per_s"`
	Hourly   float64  `json:"hourly"`
	LowPrice float64  `json:"low_price"`
	StartupS float64  `json:"startup_s"`
	Sites    []string `json:"sites"`
}

// timing holds what "workers" in the settings says.
type timing struct {
	ReportS   float64 `json:"report_s"`
	LeaseS    float64 `json:"lease_s"`
	GangWaitS float64 `json:"gang_wait_s"`
	GangPeerS float64 `json:"gang_peer_s"`
	CancelS   float64 `json:"cancel_s"`
}

// platform is the cloud with the workers on its machines. mu guards everything in it and in its workers.
type platform struct {
	record  *recorder
	timing  timing
	kind    kind
	listLag time.Duration
	started time.Time

	mu       sync.Mutex
	nodes    []string          // hosts of the controllers, in the order in which workers try them
	reports  map[string]string // address that workers report to, by host of the controller
	specs    map[string]*spec
	workers  map[string]*worker
	gone     map[string]time.Time // when machines went, for the lagging list
	departed map[string]*worker
	finished map[string]bool // tasks that are done
	events   []string        // broken rules
}

type worker struct {
	p                  *platform
	name, site, addr   string
	loaners            bool
	listener           net.Listener
	stop               chan struct{}
	change             chan struct{}
	tenure, serial     uint64
	baton              uint64
	leaseFrom          time.Time
	takenAt            time.Time // zero: no notice
	images             map[string]bool
	tasks              []*task
	node               int
	halted             bool
	reported, answered int
}

type task struct {
	w      *worker
	piece  string
	try    uint64
	spec   *spec
	status string
	cause  string
	stored bool
	began  time.Time // when it had its image
	on     bool      // on its machine: has its image and has not ended
	cancel chan struct{}
}

func newPlatform(r *recorder, t timing, k kind, listLag time.Duration) *platform {
	return &platform{
		record: r, timing: t, kind: k, listLag: listLag, started: time.Now(), reports: map[string]string{},
		specs: map[string]*spec{}, workers: map[string]*worker{}, gone: map[string]time.Time{},
		departed: map[string]*worker{}, finished: map[string]bool{},
	}
}

// add starts a machine that is up.
func (p *platform) add(name, site string, loaners bool) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &worker{
		p: p, name: name, site: site, addr: listener.Addr().String(), loaners: loaners, listener: listener,
		stop: make(chan struct{}), change: make(chan struct{}, 1), tenure: 1, leaseFrom: time.Now(), images: map[string]bool{},
	}
	p.mu.Lock()
	p.workers[name] = w
	p.mu.Unlock()
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: time.Minute}).Serve(listener)
	}()
	go w.reportLoop()
	go w.leaseLoop()
	return nil
}

// remove ends a machine with everything on it. The caller holds p.mu.
func (p *platform) remove(name, why string) {
	w := p.workers[name]
	if w == nil {
		return
	}
	delete(p.workers, name)
	p.gone[name], p.departed[name] = time.Now(), w
	w.halted = true
	close(w.stop)
	_ = w.listener.Close()
	p.record.line("machine %s is gone: %s", name, why)
	for _, t := range w.tasks {
		t.leave("its machine is gone")
		t.end()
	}
	w.tasks = nil
}

// notice announces that the machine is taken, and takes it after the time.
func (p *platform) notice(name string, after time.Duration) {
	p.mu.Lock()
	if w := p.workers[name]; w != nil {
		w.takenAt = time.Now().Add(after)
		w.poke()
		p.record.line("machine %s is to be taken in %v", name, after)
	}
	p.mu.Unlock()
	time.Sleep(after)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(name, "taken back by the cloud")
}

// broken records that a rule was broken. The caller holds p.mu.
func (p *platform) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	p.events = append(p.events, text)
	p.record.line("BROKEN %s", text)
}

// count returns the tasks of a job that are on machines, in the given states (none: any).
func (p *platform) count(job string, states ...string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		for _, t := range w.tasks {
			if t.on && t.job() == job && (len(states) == 0 || slices.Contains(states, t.status)) {
				n++
			}
		}
	}
	return n
}

// listed returns how many tasks of a job workers list, ended ones included.
func (p *platform) listed(job string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		for _, t := range w.tasks {
			if t.job() == job {
				n++
			}
		}
	}
	return n
}

// doneCount returns how many tasks of a job are done.
func (p *platform) doneCount(job string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for piece := range p.finished {
		if strings.HasPrefix(piece, job+"/") {
			n++
		}
	}
	return n
}

// teamGPUs returns what a team's tasks use. The caller holds p.mu.
func (p *platform) teamGPUs(team string) (gpus float64) {
	for _, w := range p.workers {
		for _, t := range w.tasks {
			if t.on && t.spec.Team == team {
				gpus += t.spec.GPUs
			}
		}
	}
	return gpus
}

// roomBySite returns on how many machines of each zone a task of the job has room now.
func (p *platform) roomBySite(s *spec) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	room := map[string]int{}
	for _, w := range p.workers {
		if w.takenAt.IsZero() && w.fits(s) && (s.Site == nil || *s.Site == w.site) && (s.Loaners || !w.loaners) {
			room[w.site]++
		}
	}
	return room
}

// answeredOnce returns how many machines have had an answer to a report.
func (p *platform) answeredOnce() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.answered > 0 {
			n++
		}
	}
	return n
}

func (w *worker) poke() {
	select {
	case w.change <- struct{}{}:
	default:
	}
}

// fits reports whether a task of the job has room. The caller holds p.mu.
func (w *worker) fits(s *spec) bool {
	cpus, gpus, memory := w.p.kind.CPUs, w.p.kind.GPUs, w.p.kind.MemoryGB
	for _, t := range w.tasks {
		if t.status != "ended" {
			cpus, gpus, memory = cpus-t.spec.CPUs, gpus-t.spec.GPUs, memory-t.spec.MemoryGB
		}
	}
	const rounding = 1e-9
	return s.CPUs <= cpus+rounding && s.GPUs <= gpus+rounding && s.MemoryGB <= memory+rounding
}

type pieceReport struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`
}

type report struct {
	Host     string        `json:"host"`
	Addr     string        `json:"addr"`
	HostKind string        `json:"host_kind"`
	Site     string        `json:"site"`
	Loaners  bool          `json:"loaners"`
	Tenure   uint64        `json:"tenure"`
	Serial   uint64        `json:"serial"`
	Baton    uint64        `json:"baton"`
	RecallS  *float64      `json:"recall_s"`
	Pieces   []pieceReport `json:"pieces"`
}

// report returns the next report. The caller holds p.mu.
func (w *worker) report() report {
	w.serial++
	r := report{
		Host: w.name, Addr: w.addr, HostKind: w.p.kind.Label, Site: w.site, Loaners: w.loaners,
		Tenure: w.tenure, Serial: w.serial, Baton: w.baton, Pieces: []pieceReport{},
	}
	if !w.takenAt.IsZero() {
		left := math.Max(0, time.Until(w.takenAt).Seconds())
		r.RecallS = &left
	}
	for _, t := range w.tasks {
		r.Pieces = append(r.Pieces, pieceReport{t.piece, t.try, t.status, t.cause, t.stored})
	}
	return r
}

type order struct {
	Verb      string   `json:"verb"`
	Piece     string   `json:"piece"`
	Try       uint64   `json:"try"`
	WindDownS *float64 `json:"wind_down_s"`
}

type orders struct {
	Baton  *uint64 `json:"baton"`
	Tenure *uint64 `json:"tenure"`
	Orders []order `json:"orders"`
}

// reportLoop reports to one controller at a time.
func (w *worker) reportLoop() {
	client := &http.Client{Timeout: 4 * time.Second}
	w.node = rand.IntN(len(w.p.nodes))
	for {
		sent := time.Now()
		wait := w.reportOnce(client, sent)
		select {
		case <-w.stop:
			return
		case <-time.After(wait):
			continue
		case <-w.change:
		}
		select {
		case <-w.stop:
			return
		case <-time.After(time.Until(sent.Add(min(wait, 500*time.Millisecond)))):
		}
	}
}

// reportOnce sends one report and returns the pause until the next.
func (w *worker) reportOnce(client *http.Client, sent time.Time) (pause time.Duration) {
	w.p.mu.Lock()
	r, host := w.report(), w.p.nodes[w.node]
	address := w.p.reports[host]
	w.p.mu.Unlock()
	raw, _ := json.Marshal(r)
	response, err := client.Post("http://"+address+"/v1/report", "application/json", bytes.NewReader(raw))
	var body []byte
	status := 0
	if err == nil {
		status = response.StatusCode
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.reported++
	if err != nil || w.halted {
		return w.nextNode(-1)
	}
	switch status {
	case http.StatusOK:
		var answer orders
		if json.Unmarshal(body, &answer) == nil && answer.Baton != nil && *answer.Baton >= w.baton && r.Tenure == w.tenure {
			w.leaseFrom, w.baton = sent, *answer.Baton
			w.answered++
			w.carryOut(answer.Orders)
		}
		jitter := 0.75 + rand.Float64()/2
		return time.Duration(w.p.timing.ReportS * jitter * float64(time.Second))
	case http.StatusMisdirectedRequest:
		var other struct {
			Home string `json:"home"`
		}
		_ = json.Unmarshal(body, &other)
		client.CloseIdleConnections()
		return w.nextNode(slices.Index(w.p.nodes, other.Home))
	}
	return w.nextNode(-1)
}

// nextNode moves to the given controller at once, or to the next one after a second. The caller holds p.mu.
func (w *worker) nextNode(k int) time.Duration {
	if k >= 0 && k != w.node {
		w.node = k
		return 50 * time.Millisecond
	}
	w.node = (w.node + 1) % len(w.p.nodes)
	return time.Second
}

// leaseLoop ends the session when its lease has run out.
func (w *worker) leaseLoop() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		w.p.mu.Lock()
		if time.Since(w.leaseFrom).Seconds() > w.p.timing.LeaseS {
			w.p.record.line("machine %s: lease of session %d has run out, %d tasks end", w.name, w.tenure, len(w.tasks))
			for _, t := range w.tasks {
				t.leave("the lease of its machine has run out")
				t.end()
			}
			w.tasks = nil
			w.tenure++
			w.leaseFrom = time.Now()
			w.poke()
		}
		w.p.mu.Unlock()
	}
}

// serve answers direct commands.
func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	status := http.StatusOK
	if r.URL.Path == "/do" {
		var command orders
		switch {
		case err != nil || json.Unmarshal(body, &command) != nil || command.Baton == nil || command.Tenure == nil:
			status = http.StatusBadRequest
		case *command.Baton < w.baton || *command.Tenure != w.tenure:
			status = http.StatusConflict
		default:
			if *command.Baton > w.baton {
				w.baton = *command.Baton
				w.poke()
			}
			w.carryOut(command.Orders)
		}
	}
	raw, _ := json.Marshal(w.report())
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(raw)
}

// carryOut executes commands in order. The caller holds p.mu.
func (w *worker) carryOut(list []order) {
	for _, o := range list {
		k := slices.IndexFunc(w.tasks, func(t *task) bool { return t.piece == o.Piece && t.try == o.Try })
		switch {
		case o.Verb == "run" && k < 0:
			w.run(o)
		case o.Verb == "kill" && k >= 0:
			grace := 0.0
			if o.WindDownS != nil {
				grace = *o.WindDownS
			}
			w.tasks[k].kill(grace)
		case o.Verb == "forget" && k >= 0 && w.tasks[k].status == "ended":
			w.tasks = slices.Delete(w.tasks, k, k+1)
			w.poke()
		}
	}
}

// run begins an attempt. The caller holds p.mu.
func (w *worker) run(o order) {
	job, index, _ := strings.Cut(o.Piece, "/")
	s := w.p.specs[job]
	number, err := strconv.Atoi(index)
	t := &task{w: w, piece: o.Piece, try: o.Try, spec: s, status: "fetching", cancel: make(chan struct{})}
	refusal := ""
	switch {
	case s == nil || err != nil || number < 0 || number >= s.Pieces:
		refusal, t.spec = "no_such", &spec{}
	case slices.ContainsFunc(w.tasks, func(other *task) bool { return other.piece == o.Piece && other.status != "ended" }):
		refusal = "busy"
	case !w.fits(s):
		refusal = "no_room"
	}
	w.tasks = append(w.tasks, t)
	w.poke()
	if refusal != "" {
		t.status, t.cause = "ended", refusal
		w.p.record.line("task %s attempt %d refused by %s: %s", t.piece, t.try, w.name, refusal)
		return
	}
	go t.live()
}

func (t *task) job() string {
	job, _, _ := strings.Cut(t.piece, "/")
	return job
}

// wait sleeps and reports whether the task is still alive.
func (t *task) wait(seconds float64) bool {
	select {
	case <-t.cancel:
		return false
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return true
	}
}

// live is the life of an attempt from its fetch on.
func (t *task) live() {
	p := t.w.p
	p.mu.Lock()
	has := t.w.images[t.spec.Bundle]
	p.mu.Unlock()
	if !has && !t.wait(t.spec.PullGB/p.kind.PullRate) {
		return
	}
	p.mu.Lock()
	if t.status != "fetching" {
		p.mu.Unlock()
		return
	}
	t.w.images[t.spec.Bundle] = true
	t.enter()
	if p.finished[t.piece] {
		t.exit("done")
		p.mu.Unlock()
		return
	}
	t.status = "running"
	if t.spec.Shape == "gang" && t.spec.Pieces > 1 {
		t.status = "gathering"
	}
	t.w.poke()
	p.mu.Unlock()
	if t.status == "gathering" && !t.gather() {
		return
	}
	for t.spec.runS == 0 {
		if !t.wait(0.2) || !t.peersThere() {
			return
		}
	}
	for left := t.spec.runS; left > 0; left -= 0.2 {
		if !t.wait(math.Min(left, 0.2)) || !t.peersThere() {
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.status == "running" {
		t.exit("done")
	}
}

// enter notes that the task is on its machine from now on, and checks the rules. The caller holds p.mu.
func (t *task) enter() {
	p := t.w.p
	for _, other := range p.workers {
		for _, o := range other.tasks {
			if o != t && o.on && o.piece == t.piece {
				p.broken("ran_twice", "%s starts on %s while it is on %s", t.piece, t.w.name, other.name)
			}
		}
	}
	t.on, t.began = true, time.Now()
	p.record.line("task %s attempt %d starts on %s (%s), team %s now uses %g GPUs",
		t.piece, t.try, t.w.name, t.w.site, t.spec.Team, p.teamGPUs(t.spec.Team))
	t.checkZones()
	if limit := p.record.limits[t.spec.Team]; limit > 0 && p.teamGPUs(t.spec.Team) > limit+1e-9 {
		p.broken("quota", "team %s uses %g GPUs, its limit is %g", t.spec.Team, p.teamGPUs(t.spec.Team), limit)
	}
}

// checkZones checks the rule wrong_place at a start. The caller holds p.mu.
func (t *task) checkZones() {
	p, s := t.w.p, t.spec
	if s.Site != nil && *s.Site != t.w.site || t.w.loaners && !s.Loaners {
		p.broken("wrong_place", "%s starts on %s", t.piece, t.w.name)
	}
	here, elsewhere := 0, 0
	for _, w := range p.workers {
		for _, o := range w.tasks {
			switch {
			case !o.on || o.job() != t.job():
			case w.site == t.w.site:
				here++
			default:
				elsewhere++
			}
		}
	}
	if s.OneZone && elsewhere > 0 || s.Spread && here > (s.Pieces+1)/2 {
		p.broken("wrong_place", "%s starts in %s, where the job has %d tasks, with %d elsewhere", t.piece, t.w.site, here, elsewhere)
	}
}

// leave notes that the task is on its machine no more. The caller holds p.mu.
func (t *task) leave(why string) {
	if t.on {
		t.on = false
		t.w.p.record.line("task %s attempt %d leaves %s: %s", t.piece, t.try, t.w.name, why)
	}
}

// end stops the goroutine of the task. The caller holds p.mu.
func (t *task) end() {
	select {
	case <-t.cancel:
	default:
		close(t.cancel)
	}
}

// exit ends the attempt. The caller holds p.mu.
func (t *task) exit(cause string) {
	if cause == "done" {
		t.w.p.finished[t.piece] = true
	}
	t.leave(cause)
	t.status, t.cause = "ended", cause
	t.end()
	t.w.poke()
}

// kill stops the task. The caller holds p.mu.
func (t *task) kill(grace float64) {
	switch {
	case t.status == "ended":
	case t.status == "running" && t.spec.SnapshotS > 0 && grace >= t.spec.SaveS:
		t.status = "saving"
		t.end()
		t.w.poke()
		go func() {
			time.Sleep(time.Duration(t.spec.SaveS * float64(time.Second)))
			t.w.p.mu.Lock()
			defer t.w.p.mu.Unlock()
			if t.status == "saving" && !t.w.halted {
				t.stored = true
				t.exit("stopped")
			}
		}()
	case t.status == "saving" && grace > 0:
	default:
		t.exit("stopped")
	}
}

// members returns the tasks of the gang's attempt that are on machines. The caller holds p.mu.
func (t *task) members() (list []*task) {
	for _, w := range t.w.p.workers {
		for _, o := range w.tasks {
			if o.on && o.try == t.try && o.job() == t.job() {
				list = append(list, o)
			}
		}
	}
	return list
}

// gather waits for the other tasks of the gang.
func (t *task) gather() bool {
	p := t.w.p
	for began := time.Now(); ; {
		p.mu.Lock()
		if t.status == "running" {
			p.mu.Unlock()
			return true
		}
		if members := t.members(); len(members) == t.spec.Pieces {
			for _, m := range members {
				m.status = "running"
				m.w.poke()
			}
			p.record.line("gang %s attempt %d runs", t.job(), t.try)
			p.mu.Unlock()
			return true
		}
		if time.Since(began).Seconds() > p.timing.GangWaitS {
			t.exit("incomplete")
			p.mu.Unlock()
			return false
		}
		p.mu.Unlock()
		if !t.wait(0.05) {
			return false
		}
	}
}

// peersThere ends the task with "peers" if another task of its gang is gone.
func (t *task) peersThere() bool {
	p := t.w.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.spec.Shape != "gang" || t.status != "running" || len(t.members()) == t.spec.Pieces {
		return t.status == "running"
	}
	if p.finished[t.job()+"/0"] {
		return true // the others are done, and so is this one in a moment
	}
	t.exit("peers")
	return false
}

// serveCloud answers the controllers' calls to the cloud. No machine can be rented: the capacity is used up.
func (p *platform) serveCloud(out http.ResponseWriter, r *http.Request) {
	reply := func(status int, body any) {
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_ = json.NewEncoder(out).Encode(body)
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		reply(http.StatusOK, map[string]any{"host_kinds": []kind{p.kind}})
	case "POST /hosts":
		reply(http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
	case "POST /hosts/delete":
		var request struct {
			Hosts []string `json:"hosts"`
		}
		_ = json.NewDecoder(r.Body).Decode(&request)
		p.mu.Lock()
		for _, name := range request.Hosts {
			p.remove(name, "deleted by the controllers")
		}
		p.mu.Unlock()
		reply(http.StatusOK, struct{}{})
	case "GET /hosts":
		reply(http.StatusOK, map[string]any{"hosts": p.list(r.URL.Query().Get("since")), "truncated": false})
	default:
		reply(http.StatusBadRequest, struct{}{})
	}
}

// list returns the machines as the lagging list shows them: those that went lately still appear.
func (p *platform) list(since string) []map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{}
	for name := range p.workers {
		names = append(names, name)
	}
	for name, at := range p.gone {
		if time.Since(at) < p.listLag {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	hosts := []map[string]any{}
	for _, name := range names {
		w := p.workers[name]
		if w == nil {
			w = p.departed[name]
		}
		if name > since {
			hosts = append(hosts, map[string]any{
				"id": name, "addr": w.addr, "host_kind": p.kind.Label, "site": w.site, "loaners": w.loaners,
				"status": "running", "age_s": 600 + time.Since(p.started).Seconds(),
			})
		}
	}
	return hosts
}
