package scheduler

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/peer"
	"robinstack/internal/quota"
	"robinstack/internal/recovery"
	"robinstack/internal/scheduler/candidate"
)

// batchTasks bounds how many tasks of a job one placement looks for.
const batchTasks = 64

// maxPlacements bounds the placements at work at the same time.
const maxPlacements = 8

// shapeKey stands for what a job asks of machines: if one such found no room,
// those behind it in the queue that ask for the same need not try just now.
type shapeKey struct {
	need    job.Need
	spot    bool
	oneZone bool
	tasks   int
	zone    string
	team    string
}

// shape is shared by all jobs with the same key. While room for it is scarce they are
// placed one after the other and pause together: side by side all would get some of
// what comes free, and as a job is done with its last task, few would be done in time.
type shape struct {
	fullTill   time.Time // none of them found room
	scarceTill time.Time // a draw saw all machines lately
	placing    int       // placements at work
}

// scarceFor is for how long room counts as scarce after a draw that saw all machines.
const scarceFor = 2 * time.Second

// waitsItsTurn reports whether an array has to wait for another job of its shape to
// be placed. The mutex is held.
func (j *jobState) waitsItsTurn(now time.Time) bool {
	return j.spec.Shape == job.Array && j.shape.placing > 0 && now.Before(j.shape.scarceTill)
}

// shapeOf returns the shape of a job's tasks. The mutex is held.
func (p *Scheduler) shapeOf(s *job.Spec) *shape {
	key := keyOf(s)
	if p.shapes[key] == nil {
		p.shapes[key] = &shape{}
	}
	return p.shapes[key]
}

// dropShapes forgets the shapes that no job has any more.
func (p *Scheduler) dropShapes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.shapes)
	for _, j := range p.jobs {
		p.shapes[keyOf(j.spec)] = j.shape
	}
}

func keyOf(s *job.Spec) shapeKey {
	need := s.Need
	if need.GPUs > 0 {
		need.CPUs, need.MemoryGB = 0, 0 // GPUs are what runs out
	}
	k := shapeKey{need: need, spot: s.Spot, oneZone: s.OneZone, team: s.Team}
	if s.Shape == job.Gang {
		k.tasks = s.Tasks
	}
	if s.Zone != nil {
		k.zone = *s.Zone
	}
	return k
}

// dispatch is the Sort stage: it starts placements for the jobs that wait,
// those first that the queue order puts first.
func (p *Scheduler) dispatch(ctx context.Context) {
	if !p.member.HoldsLease() {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lookAtWaits(now)
	if p.workers >= maxPlacements {
		return // the end of one of them wakes the queue
	}
	type item struct {
		j     *jobState
		order float64
	}
	var queue []item
	for _, j := range p.jobs {
		if j.over != "" || j.waits || j.busy || now.Before(j.nextTry) || now.Before(j.shape.fullTill) && !j.starves(now) || !p.mayStart(j) {
			continue
		}
		w := j.waiting()
		if w == 0 || j.spec.Shape == job.Gang && w < len(j.tasks) {
			continue
		}
		order := p.turn(j, now)
		if j.suspect {
			order = math.Inf(-1)
		}
		queue = append(queue, item{j, order})
	}
	slices.SortFunc(queue, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.order, a.order), cmp.Compare(a.j.spec.ID, b.j.spec.ID))
	})
	for _, it := range queue {
		if p.workers >= maxPlacements {
			break
		}
		if it.j.waitsItsTurn(now) && !it.j.starves(now) {
			continue
		}
		it.j.busy = true
		it.j.shape.placing++
		p.workers++
		go p.place(ctx, it.j)
	}
}

// binding is one task on its way to a machine.
type binding struct {
	ref        agentapi.TaskRef
	candidates []agentapi.Candidate
	verdict    string
}

// place takes one job through sampling, decision and commit.
func (p *Scheduler) place(ctx context.Context, j *jobState) {
	full := p.placeOnce(ctx, j)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers--
	j.shape.placing--
	j.busy = false
	if full {
		retry := now.Add(p.policy.ResampleDelay)
		j.tries++
		p.counters.Requeues++
		if retry.After(j.nextTry) {
			j.nextTry = retry
		}
		j.shape.fullTill = retry
	}
	p.dropIfOver(j.spec.ID, j)
	p.wake()
}

func (p *Scheduler) placeOnce(ctx context.Context, j *jobState) (full bool) {
	p.mu.Lock()
	spec := j.as
	s := p.slots[j.slot]
	if s == nil || j.over != "" {
		p.mu.Unlock()
		return false
	}
	var indices []int
	others := map[string]int{}
	for i := range j.tasks {
		switch {
		case j.done.Has(i):
		case j.tasks[i].status == pending:
			if len(indices) < j.batch() {
				indices = append(indices, i)
			}
		default:
			others[j.tasks[i].zone]++
		}
	}
	if time.Now().After(j.avoidTill) {
		j.avoid = nil
	}
	req := agentapi.Request{Spec: *spec, Slot: j.slot, Epoch: s.epoch, Age: time.Since(j.from), Avoid: slices.Clone(j.avoid), Tasks: len(indices),
		Share: p.policy.SampleMachineShare, Least: p.policy.SampleMinMachines, Spare: p.policy.MultiBind, Parts: p.policy.ClassFairShare, Zones: candidate.OpenZones(spec, others, p.settings.Zones)}
	p.mu.Unlock()

	found := p.sample(ctx, req)
	candidates, scarce := found.candidates, found.scarce
	if scarce {
		p.mu.Lock()
		j.shape.scarceTill = time.Now().Add(scarceFor)
		p.mu.Unlock()
	}
	candidate.Rank(candidates)
	patient := false
	if near := candidate.WithImage(candidates, spec.Shape); len(near) < len(candidates) && p.patient(j, len(indices), scarce) {
		patient, candidates = true, near
	}
	var lists [][]agentapi.Candidate
	zone, apart := "", false
	if spec.OneZone && req.Zones == nil && len(candidates) > 0 {
		zone = candidates[0].Zone
		if spec.Shape == job.Gang {
			// Where no zone has room for all of it, room is made in one.
			zone = candidate.GangZone(candidates, len(indices))
			apart = zone == ""
		}
	}
	if zone != "" {
		candidates, req.Zones = candidate.InZone(candidates, zone), []string{zone}
	}
	if !apart {
		lists = candidate.Assign(candidates, len(indices), p.policy.MultiBind)
	}
	if spec.Spread {
		lists = candidate.SpreadOut(lists, others, candidate.SpreadLimit(spec))
	}
	if patient && len(lists) < len(indices) {
		p.mu.Lock()
		j.nextTry = time.Now().Add(patiencePause)
		p.mu.Unlock()
		if spec.Shape == job.Gang && p.coldIsLate(j) {
			p.clearRoom(ctx, j, req, candidates, len(indices), true)
		}
		if len(lists) == 0 || spec.Shape == job.Gang {
			return false
		}
	}
	if spec.Shape == job.Gang && len(lists) < len(indices) && p.clearRoom(ctx, j, req, candidates, len(indices), false) {
		return false
	}
	if (len(lists) == 0 || spec.Shape == job.Gang && len(lists) < len(indices)) && p.gather(ctx, j, req, candidates, len(indices)) {
		return false
	}
	if found.crowded && len(lists) < len(indices) && spec.Shape != job.Gang {
		// There is room, but not for its image: jobs with others may take it.
		p.mu.Lock()
		j.nextTry = time.Now().Add(p.policy.ResampleDelay)
		p.mu.Unlock()
		patient = true
		if len(lists) == 0 {
			return false
		}
	}
	if len(lists) == 0 || spec.Shape == job.Gang && len(lists) < len(indices) {
		return true
	}
	bindings := p.begin(j, indices[:len(lists)], lists)
	if bindings == nil {
		return false
	}
	granted, stewardEpoch := p.permitted(ctx, j, bindings, s.epoch)
	if spec.Shape == job.Gang && len(granted) < len(bindings) {
		p.abandon(j, bindings, true)
		return true
	}
	var refused []*binding
	for _, b := range bindings {
		if !slices.Contains(granted, b) {
			refused = append(refused, b)
		}
	}
	p.abandon(j, refused, false)
	full = len(refused) > 0 || len(lists) < len(indices) && !patient
	p.mu.Lock()
	commit := agentapi.CommitRequest{Request: req, StewardEpoch: stewardEpoch, JobRev: j.rev}
	p.mu.Unlock()
	if spec.Shape == job.Gang && len(granted) > 1 {
		return !p.assemble(ctx, j, commit, granted)
	}
	p.multiBind(ctx, j, commit, granted)
	for _, b := range granted {
		full = full || b.verdict == agentapi.Refused
	}
	return full
}

// clearPause is how long a gang waits for machines that are being cleared
// before it has others cleared, beyond the time that tasks may need to save.
const clearPause = 12 * time.Second

// clearRoom has owners stop tasks of lower priority where a gang would then
// fit, if near is set only on machines that have its image. It returns whether room
// is being made, so that the gang tries again soon.
func (p *Scheduler) clearRoom(ctx context.Context, j *jobState, req agentapi.Request, candidates []agentapi.Candidate, n int, near bool) bool {
	p.mu.Lock()
	suspect := j.suspect
	p.mu.Unlock()
	if !p.policy.Preemption || suspect || req.Spec.Priority() <= job.LowestPriority {
		return false
	}
	soon := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		j.nextTry = time.Now().Add(300 * time.Millisecond)
	}
	if time.Now().Before(j.clearUntil) {
		soon()
		return true
	}
	if !p.limitAllows(ctx, j, req.Epoch, n) {
		return false
	}
	if req.Near = near; !near {
		req.Left = p.timeLeft(j)
	}
	options := p.ask(ctx, "Agent.Clearable", req).candidates
	if near {
		// Where tasks do not save, stopping them may lose more than a fetch takes.
		fetch := p.fetchTime(j.spec).Seconds() * max(1, j.spec.GPUs)
		options = slices.DeleteFunc(options, func(c agentapi.Candidate) bool { return -c.Score > fetch })
	}
	candidate.Rank(options)
	chosen := candidate.ChooseFreed(j.spec.OneZone, candidates, options, n)
	if len(chosen) == 0 {
		return false
	}
	p.keep(ctx, "Agent.Clear", j, req, chosen, candidates, n)
	j.clearUntil, j.clearNear = time.Now().Add(clearPause), near
	soon()
	return true
}

// timeLeft is how long the job's tasks may wait yet by the tightest of the
// users' aims for its class, and 0 if there is none.
func (p *Scheduler) timeLeft(j *jobState) time.Duration {
	if len(j.aims) == 0 {
		return 0
	}
	return max(0, j.aims[0]-time.Since(j.from))
}

// limitAllows asks whether the team's limit leaves room for the whole gang, so
// that nothing is stopped in vain.
func (p *Scheduler) limitAllows(ctx context.Context, j *jobState, epoch uint64, n int) bool {
	if !p.settings.HasQuota(j.spec.Team) {
		return true
	}
	req := quota.Request{Slot: j.slot, Epoch: epoch, Probe: true}
	for range n {
		req.Wants = append(req.Wants, quota.GrantRequest{Ref: agentapi.TaskRef{Job: j.spec.ID}, Team: j.spec.Team, Need: j.spec.Need})
	}
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := p.permits(cctx, req)
	return err == nil && !slices.Contains(reply.Granted, false)
}

// drawn is what the controllers that were asked have found.
type drawn struct {
	candidates []agentapi.Candidate
	scarce     bool // all of them looked at every machine they own
	crowded    bool // there is room on machines that fetch other images
}

// sample asks a random share of the controllers for eligible machines.
func (p *Scheduler) sample(ctx context.Context, req agentapi.Request) drawn {
	return p.ask(ctx, "Agent.Sample", req)
}

func (p *Scheduler) ask(ctx context.Context, method string, req agentapi.Request) drawn {
	hosts := candidate.PickHosts(p.member.AliveHosts(), p.policy.SampleControllerShare, rand.Shuffle)
	var mu sync.Mutex
	var asks sync.WaitGroup
	all := drawn{scarce: true}
	cctx, cancel := context.WithTimeout(ctx, p.policy.SampleTimeout)
	defer cancel()
	for _, h := range hosts {
		asks.Go(func() {
			var reply agentapi.SampleReply
			if err := p.call.Call(cctx, h, method, req, &reply); err != nil {
				slog.Debug("sampling request failed", "host", h, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all.candidates = append(all.candidates, reply.Candidates...)
			all.scarce = all.scarce && reply.Exhausted
			all.crowded = all.crowded || reply.Crowded
		})
	}
	asks.Wait()
	p.mu.Lock()
	p.counters.Samples += uint64(len(hosts))
	p.mu.Unlock()
	return all
}

// begin numbers new attempts, never used before for the job.
func (p *Scheduler) begin(j *jobState, indices []int, lists [][]agentapi.Candidate) []*binding {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.slots[j.slot]
	if s == nil || j.over != "" {
		return nil
	}
	p.counters.Placements++
	j.attempts = max(j.attempts, s.epoch<<20)
	gang := j.spec.Shape == job.Gang
	if gang {
		j.attempts++
	}
	var out []*binding
	for k, i := range indices {
		ts := &j.tasks[i]
		if ts.status != pending || j.done.Has(i) {
			if gang {
				for _, b := range out {
					p.clear(j, b.ref.Index)
				}
				return nil
			}
			continue
		}
		if !gang {
			j.attempts++
		}
		*ts = taskState{status: committing, attempt: j.attempts, zone: lists[k][0].Zone}
		out = append(out, &binding{ref: agentapi.TaskRef{Job: j.spec.ID, Index: i, Attempt: j.attempts}, candidates: lists[k]})
	}
	return out
}

// abandon returns tasks that were certainly not started to the queue.
func (p *Scheduler) abandon(j *jobState, bindings []*binding, permitted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range bindings {
		if ts := &j.tasks[b.ref.Index]; ts.status == committing && ts.attempt == b.ref.Attempt {
			*ts = taskState{}
			if permitted && p.settings.HasQuota(j.spec.Team) {
				p.releases = append(p.releases, b.ref)
			}
		}
	}
}

// permitted asks the steward for permits where the team has a limit.
func (p *Scheduler) permitted(ctx context.Context, j *jobState, bindings []*binding, epoch uint64) ([]*binding, uint64) {
	if !p.settings.HasQuota(j.spec.Team) {
		return bindings, 0
	}
	req := quota.Request{Slot: j.slot, Epoch: epoch}
	for _, b := range bindings {
		req.Wants = append(req.Wants, quota.GrantRequest{Ref: b.ref, Team: j.spec.Team, Need: j.spec.Need})
	}
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := p.permits(cctx, req)
	if err != nil || len(reply.Granted) != len(bindings) {
		slog.Debug("quota request failed", "job", j.spec.ID, "err", err)
		p.mu.Lock()
		for _, b := range bindings {
			p.releases = append(p.releases, b.ref)
		}
		p.mu.Unlock()
		return nil, 0
	}
	var granted []*binding
	for i, b := range bindings {
		if reply.Granted[i] {
			granted = append(granted, b)
		}
	}
	return granted, reply.Epoch
}

func (p *Scheduler) giveBack(ctx context.Context, refs []agentapi.TaskRef) {
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if _, err := p.permits(cctx, quota.Request{Release: refs}); err != nil {
		p.mu.Lock()
		if len(p.releases) < 10_000 {
			p.releases = append(p.releases, refs...)
		}
		p.mu.Unlock()
	}
}

// multiBind commits each task to the first of its candidates that takes it:
// in each round one request per machine, and on refusal the next candidate.
func (p *Scheduler) multiBind(ctx context.Context, j *jobState, commit agentapi.CommitRequest, bindings []*binding) {
	left := bindings
	for round := 0; len(left) > 0; round++ {
		groups := map[string][]*binding{}
		for _, b := range left {
			if round < len(b.candidates) {
				groups[b.candidates[round].Machine] = append(groups[b.candidates[round].Machine], b)
			} else {
				b.verdict = agentapi.Refused
				p.abandon(j, []*binding{b}, true)
			}
		}
		var calls sync.WaitGroup
		for _, group := range groups {
			calls.Go(func() { p.commit(ctx, j, commit, group, group[0].candidates[round], false) })
		}
		calls.Wait()
		var next []*binding
		for _, group := range groups {
			for _, b := range group {
				if b.verdict == agentapi.Refused {
					next = append(next, b)
				}
			}
		}
		p.mu.Lock()
		p.counters.Conflicts += uint64(len(next))
		if round > 0 {
			p.counters.Fallbacks += uint64(len(left))
		}
		p.mu.Unlock()
		left = next
	}
}

// commit sends one commit and books the verdicts.
func (p *Scheduler) commit(ctx context.Context, j *jobState, commit agentapi.CommitRequest, group []*binding, c agentapi.Candidate, hold bool) {
	commit.Machine, commit.Rev, commit.Hold, commit.Refs = c.Machine, c.Rev, hold, nil
	for _, b := range group {
		commit.Refs = append(commit.Refs, b.ref)
	}
	var reply agentapi.CommitReply
	cctx, cancel := context.WithTimeout(ctx, 4500*time.Millisecond)
	err := p.call.Call(cctx, c.Host, "Agent.Commit", commit, &reply)
	cancel()
	unknown := errors.Is(err, peer.ErrNoAnswer)
	if err == nil && slices.Contains(reply.Verdicts, agentapi.Started) {
		p.RecoveryTimeline.Record(recovery.StepTaskStarted)
	}
	var open []agentapi.TaskRef
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, b := range group {
		b.verdict = agentapi.Refused
		if err == nil && i < len(reply.Verdicts) {
			b.verdict = reply.Verdicts[i]
		}
		ts := &j.tasks[b.ref.Index]
		mine := ts.attempt == b.ref.Attempt && ts.status != pending
		switch {
		case unknown:
			b.verdict = agentapi.Unresolved
			open = append(open, b.ref)
			p.counters.Unanswered++
			if mine && ts.status == committing {
				ts.status, ts.machine, ts.zone, ts.rev, ts.ver = placed, c.Machine, c.Zone, c.Rev, unresolved
				p.noteOn(c.Machine, b.ref)
			}
		case b.verdict == agentapi.Started || b.verdict == agentapi.Unresolved:
			if mine && ts.status == committing {
				ts.status, ts.machine, ts.zone, ts.rev, ts.ver, ts.state = placed, c.Machine, c.Zone, reply.Rev, reply.Ver, agentapi.Starting
				p.noteOn(c.Machine, b.ref)
				if j.over != "" {
					p.stopTask(j, b.ref.Index, 0)
				}
				slog.Info(logline.TaskCommitted, "task", job.TaskID(b.ref.Job, b.ref.Index), "attempt", b.ref.Attempt, "machine", c.Machine, "result", b.verdict, "image_cached", c.Image, "age", time.Since(j.submitted).Round(time.Millisecond))
			}
		case b.verdict == agentapi.Refused && mine && ts.status == placed:
			// The feed was faster: it has shown the task; it will show its end.
			b.verdict = agentapi.Unresolved
		}
	}
	if len(open) > 0 {
		go p.resolve(ctx, j, open, c)
	}
}

// resolve finds out what became of a commit without an answer: its owner has
// the tasks, or promises that they never start. If the owner's life ends, the
// next owner's confirmed entry tells.
func (p *Scheduler) resolve(ctx context.Context, j *jobState, refs []agentapi.TaskRef, c agentapi.Candidate) {
	for ctx.Err() == nil {
		var reply agentapi.ResolveReply
		cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		err := p.call.Call(cctx, c.Host, "Agent.Void", agentapi.ResolveRequest{Machine: c.Machine, Rev: c.Rev, Refs: refs}, &reply)
		cancel()
		p.mu.Lock()
		waiting := false
		for i, ref := range refs {
			ts := &j.tasks[ref.Index]
			if ts.status != placed || ts.attempt != ref.Attempt || ts.ver != unresolved || ts.rev != c.Rev {
				continue
			}
			if err != nil {
				waiting = true
				continue
			}
			if reply.Present[i] {
				ts.ver = reply.Ver
				continue
			}
			if p.settings.HasQuota(j.spec.Team) {
				p.releases = append(p.releases, ref)
			}
			p.lost(j, ref.Index)
		}
		p.mu.Unlock()
		if !waiting {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// assemble places a gang: room is reserved for all of it, machine by machine
// in one fixed order, before anything is started.
func (p *Scheduler) assemble(ctx context.Context, j *jobState, commit agentapi.CommitRequest, bindings []*binding) bool {
	spare := bindings[0].candidates
	chosen := make([]agentapi.Candidate, len(bindings))
	used := map[string]int{}
	order := slices.Clone(bindings)
	slices.SortFunc(order, func(a, b *binding) int {
		return cmp.Or(cmp.Compare(a.candidates[0].Machine, b.candidates[0].Machine), cmp.Compare(a.ref.Index, b.ref.Index))
	})
	var held []int
	for k, b := range order {
		for _, c := range append(slices.Clone(b.candidates), spare...) {
			if used[c.Machine] >= c.Fits {
				continue
			}
			p.commit(ctx, j, commit, []*binding{b}, c, true)
			if b.verdict == agentapi.Held {
				chosen[k] = c
				used[c.Machine]++
				held = append(held, k)
				break
			}
			if b.verdict == agentapi.Unresolved {
				break
			}
		}
		if b.verdict != agentapi.Held {
			// Not all of it can be held: release what is.
			p.mu.Lock()
			for _, h := range held {
				p.forgets = append(p.forgets, agentapi.StopItem{Machine: chosen[h].Machine, TaskRef: order[h].ref})
			}
			p.mu.Unlock()
			p.abandon(j, bindings, true)
			return false
		}
	}
	groups := map[string][]*binding{}
	at := map[string]agentapi.Candidate{}
	for k, b := range order {
		groups[chosen[k].Machine] = append(groups[chosen[k].Machine], b)
		at[chosen[k].Machine] = chosen[k]
	}
	var calls sync.WaitGroup
	for name, group := range groups {
		calls.Go(func() { p.commit(ctx, j, commit, group, at[name], false) })
	}
	calls.Wait()
	ok := true
	for _, b := range bindings {
		if b.verdict == agentapi.Refused {
			ok = false
			p.abandon(j, []*binding{b}, true)
		}
	}
	if !ok {
		p.mu.Lock()
		for i := range j.tasks {
			p.stopTask(j, i, 0)
		}
		p.mu.Unlock()
	}
	return ok
}
