// Package scheduler looks after the jobs of the slots that this controller
// holds: it finds places for their tasks by sampling and MultiBind, follows
// the attempts and records what has finished.
package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/autoscaler"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/dag"
	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/peer"
	"robinstack/internal/policy"
	"robinstack/internal/quota"
	"robinstack/internal/recovery"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
)

type status uint8

const (
	pending status = iota
	committing
	placed
)

// taskState is one unfinished task of a job.
type taskState struct {
	status   status
	stopping bool
	state    string // as last reported
	attempt  uint64
	machine  string
	zone     string
	rev, ver uint64 // entry from which on a missing task is gone
	grace    time.Duration
	stopSent time.Time
}

// unresolved marks a task whose commit has no answer: only an entry that has
// it, a later owner, or the old owner's word that it never comes decides.
const unresolved = ^uint64(0)

type jobState struct {
	spec      *job.Spec
	shape     *shape
	slot      string
	rev       uint64
	submitted time.Time
	from      time.Time // when it could start: its submission, or the end of the last job that it needs
	waits     bool      // for other jobs: nothing is done for it
	verdict   dag.Result
	urgency   dag.Urgency     // from those that need it
	as        *job.Spec       // spec with the rank and deadline that it is treated as having
	limits    []time.Duration // what the queue's order goes by
	aims      []time.Duration // and the users' aims for when its tasks should have started
	tasks     []taskState
	done      job.TaskBitmap
	doneCount int
	begun     bool        // a task of it has been placed
	gathers   bool        // room is being gathered for it
	fresh     bool        // accepted in this life: nothing of it can run unknown to us
	over      string      // final status, once decided
	overAt    time.Time   // when it was found to be done
	recorded  bool        // the final status is durable
	rest      *job.Record // as it was read: what a later version wrote in it is kept
	dirty     map[int]bool
	dirtyAt   time.Time
	ended     []agentapi.StopItem // finished tasks to be forgotten once recorded
	flushing  bool
	busy      bool
	nextTry   time.Time
	tries     int
	attempts  uint64
	avoid     []string
	avoidTill time.Time
	failedOn  map[string]bool // machines on which it failed, while none of it has succeeded
	failures  int             // in a row, since any of it succeeded
	suspect   bool            // it fails on every machine, as far as known
	noted     bool            // that is to be written into its record

	patientTill time.Time // until then it waits for machines that have its image
	patientMost time.Time // and until then for machines that are being cleared
	clearNear   bool      // only such with its image; like clearUntil
	clearUntil  time.Time // machines are being cleared for it; its placement's own
}

// lastWait is the longest of the users' aims for its wait, or 0.
func (j *jobState) lastWait() time.Duration {
	if len(j.aims) == 0 {
		return 0
	}
	return j.aims[len(j.aims)-1]
}

func (j *jobState) waiting() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].status == pending && !j.done.Has(i) {
			n++
		}
	}
	return n
}

// Scheduler holds the jobs of its slots. Its mutex guards all its state and is
// never held over I/O.
type Scheduler struct {
	settings *config.Settings
	policy   *policy.Policy
	store    statekv.Store
	mirror   *statekv.Mirror
	member   *statekv.Session
	call     peer.Caller
	types    func() map[string]cloud.MachineType
	levels   *rollout.VersionReader
	pipes    *dag.Tracker
	feed     *changefeed.Feed
	ctx      context.Context

	// RecoveryTimeline takes notes of the first start and of settled slots. Set it before Run.
	RecoveryTimeline *recovery.Timeline

	mu       sync.Mutex
	jobs     map[string]*jobState
	slots    map[string]*slotState
	home     string // slot that takes new jobs
	on       map[string]map[agentapi.TaskRef]bool
	stops    map[agentapi.TaskRef]bool // tasks that are being stopped
	others   map[string]bool           // open jobs that other slots look after
	forgets  []agentapi.StopItem
	verdicts []agentapi.Attribution // on machines, to be told to their owners
	releases []agentapi.TaskRef
	shapes   map[shapeKey]*shape
	gone     map[string]deleted // records deleted lately, which a slower read may still show
	workers  int
	counters Counters
	looked   uint64 // changes of the pipelines that were taken up
	lookedAt time.Time
	kick     chan struct{}
}

type deleted struct {
	rev uint64
	at  time.Time
}

// Counters count what the paper's mechanisms did.
type Counters struct {
	Placements, Samples, Conflicts, Fallbacks, Requeues, Unanswered, Lost, Failed, Suspects, Gathered uint64
}

// New returns a placer without slots.
func New(settings *config.Settings, pol *policy.Policy, store statekv.Store, mirror *statekv.Mirror, member *statekv.Session, call peer.Caller, types func() map[string]cloud.MachineType, pipes *dag.Tracker) *Scheduler {
	return &Scheduler{settings: settings, policy: pol, store: store, mirror: mirror, member: member, call: call, types: types, levels: rollout.NewVersionReader(mirror), pipes: pipes,
		jobs: map[string]*jobState{}, slots: map[string]*slotState{}, on: map[string]map[agentapi.TaskRef]bool{},
		stops: map[agentapi.TaskRef]bool{}, others: map[string]bool{},
		shapes: map[shapeKey]*shape{}, gone: map[string]deleted{}, kick: make(chan struct{}, 1)}
}

// HighestEpoch is the highest slot epoch held: agents must know of it.
func (p *Scheduler) HighestEpoch() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var e uint64
	for _, s := range p.slots {
		e = max(e, s.epoch)
	}
	return e
}

// Run places jobs until ctx ends.
func (p *Scheduler) Run(ctx context.Context, feed *changefeed.Feed) {
	p.mu.Lock()
	p.ctx, p.feed = ctx, feed
	p.mu.Unlock()
	var duties sync.WaitGroup
	every := func(d time.Duration, f func(context.Context)) {
		duties.Go(func() {
			tick := time.NewTicker(d)
			defer tick.Stop()
			for ctx.Err() == nil {
				f(ctx)
				select {
				case <-ctx.Done():
				case <-tick.C:
				}
			}
		})
	}
	every(300*time.Millisecond, p.holdSlots)
	every(100*time.Millisecond, p.flush)
	every(200*time.Millisecond, p.sendStops)
	every(time.Second, p.sendDemand)
	every(2*time.Second, func(context.Context) { p.dropGone() })
	every(10*time.Second, func(context.Context) { p.dropShapes() })
	every(5*time.Second, p.dropSlots)
	tick := time.NewTicker(150 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		p.dispatch(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-p.kick:
			time.Sleep(p.dispatchPause())
		}
	}
	duties.Wait()
}

// dispatchPause lets what wakes the queue gather: under load something does
// all the time, and every look goes through all jobs, so that with many the looks are
// further apart.
func (p *Scheduler) dispatchPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(50*time.Millisecond, 10*time.Millisecond+time.Duration(len(p.jobs))*100*time.Microsecond)
}

func (p *Scheduler) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// load takes up a job from its record.
func (p *Scheduler) load(ctx context.Context, rec *job.Record, rev uint64, fresh bool) error {
	j := &jobState{spec: &rec.Spec, slot: rec.JobShard, rev: rev, submitted: rec.SubmittedAt(), tasks: make([]taskState, rec.Spec.Tasks),
		done: job.NewTaskBitmap(rec.Spec.Tasks), fresh: fresh, rest: rec, dirty: map[int]bool{}}
	if err := j.done.LoadChunk(0, rec.CompletedTasks); err != nil {
		slog.Error("job record unusable", "job", rec.Spec.ID, "err", err)
	}
	for k := 1; k < job.ChunkCount(rec.Spec.Tasks) && !fresh; k++ {
		kv, err := p.store.Get(ctx, job.CompletedChunkKey(rec.Spec.ID, k))
		if errors.Is(err, statekv.ErrNotFound) {
			continue
		}
		var chunk string
		if err == nil {
			err = json.Unmarshal(kv.Value, &chunk)
		}
		if err == nil {
			err = j.done.LoadChunk(k, chunk)
		}
		if err != nil {
			return fmt.Errorf("loading finished tasks of %s: %w", rec.Spec.ID, err)
		}
	}
	j.doneCount = j.done.Len()
	j.begun = j.doneCount > 0
	j.recall(rec.Failures, time.Now())
	j.from, j.waits, j.as = j.submitted, len(j.spec.WaitsOn) > 0, j.spec
	j.limits, j.aims = p.settings.CompletionTargets(j.spec.Class, j.spec.DeadlineS), p.settings.StartTargets(j.spec.Class)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone[rec.Spec.ID].rev > rev {
		return nil // cancelled since the record was read
	}
	j.shape = p.shapeOf(j.spec)
	if old := p.jobs[rec.Spec.ID]; old == nil || rev > old.rev && !old.flushing && old.slot != rec.JobShard {
		p.jobs[rec.Spec.ID] = j
		p.lookedAt = time.Time{}
	}
	p.wake()
	return nil
}

// OwnJobShard returns the slot for new jobs and its epoch.
func (p *Scheduler) OwnJobShard() (slot string, epoch uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.slots[p.home]
	if s == nil {
		return "", 0, false
	}
	return p.home, s.epoch, true
}

// OnJobAccepted takes up a job whose record this controller has just written.
func (p *Scheduler) OnJobAccepted(rec *job.Record, rev uint64) {
	if err := p.load(context.Background(), rec, rev, true); err != nil {
		slog.Error("job load failed", "job", rec.Spec.ID, "err", err)
	}
}

// OnJobEvent follows the job records: cancellations come from any controller,
// and a submission of ours may turn out to have been applied after all.
func (p *Scheduler) OnJobEvent(e statekv.Event) {
	id, ok := strings.CutPrefix(e.Key(), job.RecordPrefix)
	if !ok {
		return
	}
	if e.Delete != "" {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.others, id)
		p.gone[id] = deleted{rev: e.Rev, at: time.Now()}
		for old, d := range p.gone {
			if len(p.gone) > 2000 && time.Since(d.at) > time.Minute {
				delete(p.gone, old)
			}
		}
		if j := p.jobs[id]; j != nil && e.Rev > j.rev {
			p.cancel(id, j)
		}
		return
	}
	p.mu.Lock()
	known := p.jobs[id] != nil || p.others[id]
	p.mu.Unlock()
	if known {
		return
	}
	rec, err := job.ParseRecord(e.Value)
	if err == nil {
		err = rec.JoinSpec(p.mirror.Get)
	}
	if err != nil {
		p.mirror.ReportUndecodable(e.Key(), err)
		return
	}
	p.mu.Lock()
	s := p.slots[rec.JobShard]
	if s == nil {
		// Its later changes are folds, which need not be read here. A slot
		// that is taken over is loaded from a list.
		p.others[id] = true
	}
	p.mu.Unlock()
	if s != nil && e.Rev > s.epoch && rec.CompletedTasks == "" {
		rec.KeepUnknownFields(e.Value)
		p.OnJobAccepted(rec, e.Rev)
	}
}

// cancel stops everything of a job whose record says that it is over.
func (p *Scheduler) cancel(id string, j *jobState) {
	if j.over == job.Done && !j.recorded {
		// Our own final write is under way, or a cancellation came first: the
		// record decides, and the flush will read it.
		return
	}
	if j.over == "" {
		slog.Info(logline.JobCancelled, "job", id)
		j.over = job.Cancelled
	}
	j.recorded = true
	for i := range j.tasks {
		p.stopTask(j, i, 0)
	}
	p.forgetEnded(j)
	p.dropIfOver(id, j)
}

// Resync looks for jobs whose end was missed in a gap of the watch.
func (p *Scheduler) Resync() {
	rev := p.mirror.Rev()
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.others)
	for id, j := range p.jobs {
		if _, open := p.mirror.Get(job.RecordKey(id)); !open && rev >= j.rev {
			p.cancel(id, j)
		}
	}
}

// Counts returns a job's finished and running tasks, if it is looked after here.
func (p *Scheduler) Counts(id string) (done, running int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.doneCount, j.countRunning(), true
}

func (j *jobState) countRunning() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].status == placed && j.tasks[i].state == "running" {
			n++
		}
	}
	return n
}

func (p *Scheduler) sendDemand(ctx context.Context) {
	host, ok := p.stewardHost()
	if !ok {
		return
	}
	req := autoscaler.DemandRequest{Host: p.member.Host}
	p.mu.Lock()
	for _, j := range p.jobs {
		if j.over != "" || j.waits {
			continue // nothing is rented or kept for what cannot start
		}
		d := autoscaler.Demand{Spec: *j.as, AgeS: time.Since(j.from).Seconds()}
		for i := range j.tasks {
			switch {
			case j.done.Has(i):
			case j.tasks[i].status == placed:
				d.Running++
				if j.spec.OneZone {
					d.Zone = j.tasks[i].zone
				}
			default:
				d.Waiting++
			}
		}
		if j.suspect {
			d.Waiting = 0 // nothing is rented for it
		}
		req.Jobs = append(req.Jobs, d)
	}
	p.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if err := p.call.Call(cctx, host, "Steward.Demand", req, &struct{}{}); err != nil {
		slog.Debug("demand report to leader failed", "err", err)
	}
}

func (p *Scheduler) stewardHost() (string, bool) {
	kv, ok := p.mirror.Get(statekv.LeaderKey)
	h, err := statekv.HolderOf(kv)
	if !ok || err != nil || !p.member.Alive(h) {
		return "", false
	}
	return h.Host, true
}

func (p *Scheduler) permits(ctx context.Context, req quota.Request) (*quota.Reply, error) {
	host, ok := p.stewardHost()
	if !ok {
		return nil, errors.New("no steward")
	}
	var reply quota.Reply
	if err := p.call.Call(ctx, host, "Steward.Permit", req, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}
