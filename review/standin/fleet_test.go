package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// fleet is the cloud and all its machines. The cloud has no machines beyond those that it starts
// with: a rental request is answered with 503 "no capacity".
type fleet struct {
	ctx    context.Context
	record *record
	nodes  []node
	done   sync.WaitGroup

	mu       sync.Mutex // guards all machines and the fields below
	machines []*machine // in the order of their names
	jobs     map[string]*jobSpec
	lists    []machineList // what the cloud's list showed, in the order of time
	created  int
	broken   []string // starts in a zone that the job does not allow
}

// listed is a machine in the cloud's list.
type listed struct {
	ID       string  `json:"id"`
	Addr     string  `json:"addr"`
	HostKind string  `json:"host_kind"`
	Site     string  `json:"site"`
	Loaners  bool    `json:"loaners"`
	Status   string  `json:"status"`
	AgeS     float64 `json:"age_s"`
}

type machineList struct {
	at       time.Time
	machines []listed
}

func newFleet(ctx context.Context, r *record, nodes []node) *fleet {
	f := &fleet{ctx: ctx, record: r, nodes: nodes, jobs: map[string]*jobSpec{}}
	f.done.Go(f.step)
	return f
}

// addMachine starts a machine that is up at once. firstNode is the index of the controller that its
// worker tries first.
func (f *fleet) addMachine(site string, spot bool, firstNode int) (*machine, error) {
	var config net.ListenConfig
	listener, err := config.Listen(f.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting a worker: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.created++
	m := &machine{
		fleet: f, name: fmt.Sprintf("vm-%06d", f.created), site: site, spot: spot, addr: listener.Addr().String(),
		firstNode: firstNode, createdAt: time.Now(), tenure: 1, renewedAt: time.Now(),
		pieces: map[string]*piece{}, images: map[string]bool{}, changed: make(chan struct{}, 1),
	}
	m.ctx, m.stop = context.WithCancel(f.ctx)
	f.machines = append(f.machines, m)
	m.serve(listener, &f.done)
	f.done.Go(m.run)
	f.record.add("machine %s is up in %s, cheap %t", m.name, site, spot)
	return m, nil
}

// remove takes a machine away with everything on it. The caller must hold f.mu.
func (f *fleet) remove(name, why string) {
	k := slices.IndexFunc(f.machines, func(m *machine) bool { return m.name == name })
	if k < 0 {
		return
	}
	m := f.machines[k]
	f.machines = slices.Delete(f.machines, k, k+1)
	m.stop()
	f.record.add("machine %s (%s) is gone: %s", m.name, m.site, why)
	for _, p := range m.pieces {
		if p.Status != ended {
			f.record.add("machine %s (%s): %s attempt %d is lost", m.name, m.site, p.ID, p.Try)
		}
	}
}

// take takes a cheap machine back.
func (f *fleet) take(m *machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(m.name, "the cloud takes it back without notice")
}

// upload makes a job known to the workers.
func (f *fleet) upload(spec *jobSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	spec.completedPieces = map[string]bool{}
	f.jobs[spec.ID] = spec
}

// specOf returns the job of a task, or nil. The caller must hold f.mu.
func (f *fleet) specOf(pieceID string) *jobSpec {
	id, _, _ := strings.Cut(pieceID, "/")
	return f.jobs[id]
}

// countPieces returns how many tasks of a job are on machines in one of the given states.
func (f *fleet) countPieces(id string, states ...string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		for _, p := range m.pieces {
			if strings.HasPrefix(p.ID, id+"/") && slices.Contains(states, p.Status) {
				n++
			}
		}
	}
	return n
}

// countDone returns how many tasks of a job have completed.
func (f *fleet) countDone(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.jobs[id].completedPieces)
}

// roomByZone returns, for each zone, how many machines have room for one more task of a job.
func (f *fleet) roomByZone(spec *jobSpec) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	room := map[string]int{}
	for _, m := range f.machines {
		if used, _ := m.usage(nil); used.fits(spec) && (spec.Loaners || !m.spot) {
			room[m.site]++
		}
	}
	return room
}

// step advances all tasks and leases until the fleet ends.
func (f *fleet) step() {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C:
		}
		f.mu.Lock()
		for _, m := range f.machines {
			m.checkLease()
			m.advancePieces()
		}
		f.advanceGangs()
		f.remember()
		f.mu.Unlock()
	}
}

// checkLease kills and forgets all tasks if the lease has run out. The caller must hold fleet.mu.
func (m *machine) checkLease() {
	if time.Since(m.renewedAt) <= leaseDuration {
		return
	}
	m.fleet.record.add("machine %s (%s): its lease has run out, with %d tasks", m.name, m.site, len(m.pieces))
	m.tenure++
	m.renewedAt = time.Now()
	clear(m.pieces)
	m.requestReport()
}

// advancePieces moves tasks on: images arrive, tasks of arrays start and complete. The caller must
// hold fleet.mu.
func (m *machine) advancePieces() {
	for _, p := range m.pieces {
		if p.Status == ended {
			continue
		}
		fetch := time.Duration(p.spec.PullGB / fetchGBPerS * float64(time.Second))
		switch age := time.Since(p.since); {
		case p.Status == fetching && (m.images[p.spec.Bundle] || age >= fetch):
			m.images[p.spec.Bundle] = true
			next := running
			if p.spec.Shape == gang {
				next = gathering
			}
			m.setStatus(p, next)
			m.fleet.checkSpread(m, p)
			if p.spec.completedPieces[p.ID] {
				m.end(p, "done")
			}
		case p.Status == running && p.spec.Shape != gang && age >= p.spec.runTime:
			m.end(p, "done")
		case p.Status == gathering && age >= gangWait:
			m.end(p, "incomplete")
		}
	}
}

// member is a task of a gang with its machine.
type member struct {
	machine *machine
	piece   *piece
}

// advanceGangs starts gangs that are complete, ends those that have lost a task, and completes those
// that have run long enough. The caller must hold f.mu.
func (f *fleet) advanceGangs() {
	for _, members := range f.gangMembers() {
		spec := members[0].piece.spec
		started := slices.ContainsFunc(members, func(g member) bool { return g.piece.Status == running })
		complete := len(members) == spec.Pieces
		for _, g := range members {
			age := time.Since(g.piece.since)
			switch {
			case !started && complete:
				g.machine.setStatus(g.piece, running)
			case started && !complete && age >= peersNoticeTime:
				g.machine.end(g.piece, "peers")
			case started && complete && age >= spec.runTime:
				g.machine.end(g.piece, "done")
			}
		}
	}
}

// gangMembers returns the tasks of gangs that wait or run, by attempt. The caller must hold f.mu.
func (f *fleet) gangMembers() map[string][]member {
	attempts := map[string][]member{}
	for _, m := range f.machines {
		for _, p := range m.pieces {
			if p.Status == gathering || p.Status == running && p.spec.Shape == gang {
				key := attemptKey(p.spec.ID, p.Try)
				attempts[key] = append(attempts[key], member{m, p})
			}
		}
	}
	return attempts
}

// checkSpread checks, when a task has its image, that no more than half of the tasks of its job,
// rounded up, are in its zone if the job is spread. The caller must hold f.mu.
func (f *fleet) checkSpread(m *machine, started *piece) {
	spec := started.spec
	limit := (spec.Pieces + 1) / 2
	if !spec.Spread {
		return
	}
	inZone := []string{}
	for _, other := range f.machines {
		for _, p := range other.pieces {
			if p.spec == spec && other.site == m.site && p.Status != fetching && p.Status != ended {
				inZone = append(inZone, p.ID+" on "+other.name)
			}
		}
	}
	if len(inZone) > limit {
		slices.Sort(inZone)
		f.broken = append(f.broken, fmt.Sprintf("wrong_place: %s starts on %s in %s, where %d of %d tasks may be: %v",
			started.ID, m.name, m.site, limit, spec.Pieces, inZone))
		f.record.add("%s", f.broken[len(f.broken)-1])
	}
}

// brokenRules lists the starts in a zone that the job does not allow.
func (f *fleet) brokenRules() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// remember keeps what the cloud's list shows now. The caller must hold f.mu.
func (f *fleet) remember() {
	now := time.Now()
	list := machineList{at: now}
	for _, m := range f.machines {
		list.machines = append(list.machines, listed{
			ID: m.name, Addr: m.addr, HostKind: hostKind, Site: m.site, Loaners: m.spot,
			Status: running, AgeS: now.Sub(m.createdAt).Seconds(),
		})
	}
	f.lists = append(f.lists, list)
}

// laggingList returns what the cloud's list showed listLag ago.
func (f *fleet) laggingList() []listed {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := 0
	for current+1 < len(f.lists) && time.Since(f.lists[current+1].at) >= listLag {
		current++
	}
	f.lists = f.lists[current:]
	if len(f.lists) == 0 || time.Since(f.lists[0].at) < listLag {
		return []listed{}
	}
	return f.lists[0].machines
}

// ServeHTTP serves the protocol of the cloud.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		writeJSON(w, http.StatusOK, map[string]any{"host_kinds": []any{machineType}})
	case "GET /hosts":
		machines := []listed{}
		for _, m := range f.laggingList() {
			if m.ID > r.URL.Query().Get("since") {
				machines = append(machines, m)
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"hosts": machines, "truncated": false})
	case "POST /hosts":
		var request struct {
			Site    string `json:"site"`
			Loaners bool   `json:"loaners"`
			HowMany int    `json:"how_many"`
		}
		_ = json.NewDecoder(r.Body).Decode(&request) // only for the record
		f.record.add("cloud: asked for %d machines in %s, cheap %t: 503 no capacity",
			request.HowMany, request.Site, request.Loaners)
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
	case "POST /hosts/delete":
		f.deleteHosts(w, r)
	default:
		writeJSON(w, http.StatusBadRequest, nil)
	}
}

func (f *fleet) deleteHosts(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hosts []string `json:"hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record.add("cloud: asked to delete %v", request.Hosts)
	for _, name := range request.Hosts {
		f.remove(name, "deleted by a controller")
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
