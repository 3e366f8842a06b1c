package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of the worker protocol that the settings do not contain.
const (
	answerTimeout   = 4 * time.Second
	minReportPause  = 500 * time.Millisecond
	nextNodeDelay   = time.Second
	stepInterval    = 20 * time.Millisecond
	peersNoticeTime = time.Second // a gang notices the loss of a task within gang_peer_s
)

// States and causes of tasks.
const (
	fetching  = "fetching"
	gathering = "gathering"
	running   = "running"
	ended     = "ended"
)

// piece is one attempt at a task on a machine.
type piece struct {
	ID     string `json:"piece"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`

	spec  *jobSpec
	since time.Time // when the status began
}

// report is a worker's report.
type report struct {
	Host     string   `json:"host"`
	Addr     string   `json:"addr"`
	HostKind string   `json:"host_kind"`
	Site     string   `json:"site"`
	Loaners  bool     `json:"loaners"`
	Tenure   uint64   `json:"tenure"`
	Serial   uint64   `json:"serial"`
	Baton    uint64   `json:"baton"`
	RecallS  *float64 `json:"recall_s"`
	Pieces   []piece  `json:"pieces"`
}

// order is a command of a controller.
type order struct {
	Verb  string `json:"verb"`
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
}

// machine is a rented machine with its worker. fleet.mu guards the fields after ctx.
type machine struct {
	fleet      *fleet
	name, site string
	spot       bool
	addr       string
	firstNode  int // index of the controller that the worker tries first
	createdAt  time.Time
	ctx        context.Context // ends when the machine is gone
	stop       context.CancelFunc

	tenure, serial, baton uint64
	renewedAt             time.Time
	pieces                map[string]*piece // by attempt
	images                map[string]bool
	changed               chan struct{} // asks for a report soon
}

func attemptKey(id string, try uint64) string { return fmt.Sprintf("%s:%d", id, try) }

func (m *machine) requestReport() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// nextReport returns the next report. The caller must hold fleet.mu.
func (m *machine) nextReport() report {
	m.serial++
	r := report{
		Host: m.name, Addr: m.addr, HostKind: hostKind, Site: m.site, Loaners: m.spot,
		Tenure: m.tenure, Serial: m.serial, Baton: m.baton, Pieces: []piece{},
	}
	for _, p := range m.pieces {
		r.Pieces = append(r.Pieces, *p)
	}
	return r
}

// serve serves direct commands until the machine is gone.
func (m *machine) serve(listener net.Listener, done *sync.WaitGroup) {
	server := &http.Server{Handler: http.HandlerFunc(m.handle), ReadHeaderTimeout: answerTimeout}
	done.Go(func() { _ = server.Serve(listener) }) // returns when the server is closed
	done.Go(func() {
		<-m.ctx.Done()
		_ = server.Close() // what is in flight is cut off, as by a loss of power
	})
}

func (m *machine) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/status" {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		writeJSON(w, http.StatusOK, m.nextReport())
		return
	}
	var body struct {
		Baton  *uint64 `json:"baton"`
		Tenure *uint64 `json:"tenure"`
		Orders []order `json:"orders"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Baton == nil || body.Tenure == nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if *body.Baton < m.baton || *body.Tenure != m.tenure {
		writeJSON(w, http.StatusConflict, m.nextReport())
		return
	}
	m.execute(*body.Baton, body.Orders)
	writeJSON(w, http.StatusOK, m.nextReport())
}

// execute carries out commands. The caller must hold fleet.mu.
func (m *machine) execute(baton uint64, orders []order) {
	if baton > m.baton {
		m.baton = baton
		m.requestReport()
	}
	for _, o := range orders {
		p := m.pieces[attemptKey(o.Piece, o.Try)]
		switch {
		case o.Verb == "run" && p == nil:
			m.start(o)
		case o.Verb == "kill" && p != nil && p.Status != ended:
			m.end(p, "stopped")
		case o.Verb == "forget" && p != nil && p.Status == ended:
			delete(m.pieces, attemptKey(o.Piece, o.Try))
		}
	}
}

// start begins an attempt. The caller must hold fleet.mu.
func (m *machine) start(o order) {
	p := &piece{ID: o.Piece, Try: o.Try, Status: fetching, spec: m.fleet.specOf(o.Piece), since: time.Now()}
	m.pieces[attemptKey(o.Piece, o.Try)] = p
	m.requestReport()
	used, other := m.usage(p)
	switch {
	case p.spec == nil:
		m.end(p, "no_such")
	case other:
		m.end(p, "busy")
	case !used.fits(p.spec):
		m.end(p, "no_room")
	}
}

// resources are amounts in use on a machine.
type resources struct{ cpus, gpus, memory float64 }

func (r resources) fits(spec *jobSpec) bool {
	const rounding = 1e-6
	return r.cpus+spec.CPUs <= hostCPUs+rounding && r.gpus+spec.GPUs <= hostGPUs+rounding &&
		r.memory+spec.MemoryGB <= hostMemoryGB+rounding
}

// usage returns what the other tasks on the machine use, and whether one of them is another attempt
// at the same task. The caller must hold fleet.mu.
func (m *machine) usage(of *piece) (used resources, otherAttempt bool) {
	for _, p := range m.pieces {
		if p == of || p.Status == ended {
			continue
		}
		used.cpus, used.gpus = used.cpus+p.spec.CPUs, used.gpus+p.spec.GPUs
		used.memory += p.spec.MemoryGB
		otherAttempt = otherAttempt || of != nil && p.ID == of.ID
	}
	return used, otherAttempt
}

// end ends an attempt. The caller must hold fleet.mu.
func (m *machine) end(p *piece, cause string) {
	if p.Status != ended {
		m.fleet.record.add("machine %s (%s): %s attempt %d ends, %s: %s", m.name, m.site, p.ID, p.Try, p.Status, cause)
	}
	p.Status, p.Cause, p.since = ended, cause, time.Now()
	if cause == "done" {
		p.spec.completedPieces[p.ID] = true
	}
	m.requestReport()
}

// setStatus changes the state of an attempt. The caller must hold fleet.mu.
func (m *machine) setStatus(p *piece, status string) {
	p.Status, p.since = status, time.Now()
	m.fleet.record.add("machine %s (%s): %s attempt %d is %s", m.name, m.site, p.ID, p.Try, status)
	m.requestReport()
}

// run sends reports until the machine is gone.
func (m *machine) run() {
	client := &http.Client{Timeout: answerTimeout}
	defer client.CloseIdleConnections()
	for node := m.firstNode; m.ctx.Err() == nil; {
		next, answered, pause := m.sendReport(client, node)
		if answered {
			jitter := 0.75 + rand.Float64()/2
			pause = time.Duration(jitter * float64(reportInterval))
		}
		node = next
		m.waitForReport(pause, answered)
	}
}

// waitForReport waits until the next report is due: after the pause or, if the last report was
// answered, as soon as something changes.
func (m *machine) waitForReport(pause time.Duration, untilChange bool) {
	changed := m.changed
	if !untilChange {
		changed = nil
	}
	begin := time.Now()
	select {
	case <-m.ctx.Done():
		return
	case <-time.After(pause):
		return
	case <-changed:
	}
	select {
	case <-m.ctx.Done():
	case <-time.After(minReportPause - time.Since(begin)):
	}
}

// sendReport sends one report to a node and returns the node of the next one, whether the report was
// answered, and the pause before the next one if it was not.
func (m *machine) sendReport(client *http.Client, node int) (next int, answered bool, pause time.Duration) {
	nodes := m.fleet.nodes
	nextNode := (node + 1) % len(nodes)
	sentAt := time.Now()
	m.fleet.mu.Lock()
	r := m.nextReport()
	m.fleet.mu.Unlock()
	status, body, err := post(m.ctx, client, "http://"+nodes[node].listen+"/v1/report", r)
	if err != nil {
		return nextNode, false, nextNodeDelay
	}
	var answer struct {
		Baton  uint64  `json:"baton"`
		Orders []order `json:"orders"`
		Home   string  `json:"home"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return nextNode, false, nextNodeDelay
	}
	if status == http.StatusMisdirectedRequest {
		for k := range nodes {
			if nodes[k].host == answer.Home && k != node {
				return k, false, 0
			}
		}
	}
	if status != http.StatusOK {
		return nextNode, false, nextNodeDelay
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if answer.Baton >= m.baton && r.Tenure == m.tenure && time.Since(sentAt) < answerTimeout {
		m.renewedAt = sentAt
		m.execute(answer.Baton, answer.Orders)
	}
	return node, true, 0
}

// post sends a request with a JSON body.
func post(ctx context.Context, client *http.Client, url string, in any) (status int, body []byte, err error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return 0, nil, err
	}
	return send(ctx, client, http.MethodPost, url, raw)
}

func send(
	ctx context.Context, client *http.Client, method, url string, in []byte,
) (status int, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(in))
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have gone
}
