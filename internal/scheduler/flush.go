package scheduler

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// foldEvery is how long finished tasks of an unfinished job may wait to be
// folded into its record.
const foldEvery = time.Second

// flush records what has finished: whole jobs at once, tasks in batches, the
// oldest first and only as many as leave room for what cannot wait. Until then
// they stay in their workers' reports, so nothing is lost.
func (p *Scheduler) flush(ctx context.Context) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var folds []*jobState
	n := 0
	start := func(j *jobState) {
		n++
		j.flushing = true
		go p.flushJob(ctx, j.spec.ID, j)
	}
	for _, j := range p.jobs {
		switch {
		case j.recorded || j.flushing:
		case j.over == job.Done:
			if n < maxFlushes {
				start(j)
			}
		case j.over != "":
			// Withdrawn with a job before it: users are told already (package pipeline).
			if n < maxFlushes && p.store.Allow(statekv.ClassMaintenance, 3) {
				start(j)
			}
		case (len(j.dirty) > 0 || j.noted) && now.Sub(j.dirtyAt) > foldEvery:
			folds = append(folds, j)
		}
	}
	slices.SortFunc(folds, func(a, b *jobState) int { return a.dirtyAt.Compare(b.dirtyAt) })
	for _, j := range folds {
		if n >= maxFlushes || !p.store.Allow(statekv.ClassMaintenance, max(1, len(j.dirty))) {
			break
		}
		start(j)
	}
}

// maxFlushes bounds the writes that one look starts.
const maxFlushes = 8

func (p *Scheduler) flushJob(ctx context.Context, id string, j *jobState) {
	p.mu.Lock()
	s := p.slots[j.slot]
	if s == nil {
		j.flushing = false
		p.mu.Unlock()
		return
	}
	final := j.over != ""
	chunks := len(j.dirty)
	// Under the level that its form goes by: after a change nothing is written any more
	// in the form of before.
	level, unchanged := p.levels.Current()
	when := []statekv.Compare{{Key: job.RecordKey(id), Rev: j.rev}, {Key: statekv.JobShardPrefix + j.slot, Rev: s.epoch}, unchanged}
	var then []statekv.Op
	dirty, noted := j.dirty, j.noted
	j.dirty, j.dirtyAt = map[int]bool{}, time.Time{}
	over := len(j.ended)
	pieces := j.rest.SpecFragments
	if final {
		r := tombstone.Tombstone{Status: j.over, Tasks: len(j.tasks)}
		if j.over == job.Done {
			r.CompletedAtMS = j.overAt.UnixMilli()
		}
		then = append(then, statekv.Op{Delete: job.RecordKey(id)})
		then = append(then, tombstone.WriteOps(id, r, level.TombstoneFormats())...)
		then = append(then, job.DeleteAuxiliaryOps(id, len(j.tasks), pieces, p.store.MaxTxnOps(p.settings.StateLimits.MaxTxnOps)-len(then))...)
	} else {
		rec := p.record(j, level.Enabled(rollout.FeatureFailureHistory))
		then = p.recordOps(j, &rec, dirty, level)
		pieces = rec.SpecFragments
		j.noted = false
	}
	p.mu.Unlock()

	tctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	rev, err := uint64(0), errTooSoon
	if len(then) > 0 {
		rev, err = p.member.Write(tctx, when, then)
	}
	var verdict string
	if statekv.IsConflict(err) {
		verdict, rev, err = p.readBack(tctx, id)
	}
	cancel()

	if err != nil {
		slog.Debug("completed tasks write failed", "job", id, "chunks", chunks, "err", err)
		time.Sleep(200 * time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	j.flushing = false
	if err == nil && verdict == "" {
		j.rev, j.rest.SpecFragments = rev, pieces
		if final {
			j.recorded = true
			// Tasks that another attempt or member made superfluous stop now.
			for i := range j.tasks {
				p.stopTask(j, i, 0)
			}
			// Members of a gang that were reported during the write are recorded
			// with it too: no later write would have them forgotten, and their
			// machines would never count as idle again.
			over = len(j.ended)
		}
		p.forgets = append(p.forgets, j.ended[:over]...)
		j.ended = j.ended[over:]
		p.dropIfOver(id, j)
		return
	}
	for k := range dirty {
		j.dirty[k] = true
	}
	j.noted = j.noted || noted
	if j.dirtyAt.IsZero() {
		j.dirtyAt = time.Now()
	}
	switch {
	case err != nil:
	case verdict == job.Cancelled || verdict == job.Done:
		j.over, j.recorded = verdict, true
		p.cancel(id, j)
	default:
		// The record has moved by a write of ours whose answer was lost.
		j.rev = rev
	}
}

// errTooSoon says that a record has to be kept in pieces and not all controllers of the
// fleet can read those yet. What has finished stays in the workers' reports.
var errTooSoon = errors.New("its record is too large for one value, and not all controllers know pieces yet")

// recordOps are the changes that write an unfinished job's record and the chunks of
// finished tasks, as many as one transaction takes; it removes those from dirty that are
// left for later, and puts them back into the job's own. A record that is too large,
// which a version that knew a higher limit wrote, is brought into pieces. It returns
// nothing where that cannot be done yet.
func (p *Scheduler) recordOps(j *jobState, rec *job.Record, dirty map[int]bool, level rollout.ClusterVersion) []statekv.Op {
	var then []statekv.Op
	limit, most := p.settings.StateLimits.MaxValueBytes, p.store.MaxTxnOps(p.settings.StateLimits.MaxTxnOps)
	if rec.SpecFragments == 0 && rec.ExceedsLimit(limit) {
		if !level.Enabled(rollout.FeatureDependencies) {
			return nil
		}
		ops, err := rec.SplitSpec(limit, most-1)
		if err != nil {
			slog.Error("job record unusable", "job", rec.Spec.ID, "err", err)
			return nil
		}
		then = ops
	}
	then = append(then, statekv.Op{Set: job.RecordKey(rec.Spec.ID), Value: *rec})
	for k := range dirty {
		switch {
		case k == 0:
		case len(then) < most:
			then = append(then, statekv.Op{Set: job.CompletedChunkKey(rec.Spec.ID, k), Value: j.done.EncodeChunk(k)})
		default:
			delete(dirty, k)
			j.dirty[k], j.dirtyAt = true, time.Now()
		}
	}
	return then
}

const stillOpen = "open"

// readBack finds out what a job's record says after a write of ours met a
// conflict or was lost.
func (p *Scheduler) readBack(ctx context.Context, id string) (verdict string, rev uint64, err error) {
	kv, err := p.store.Get(ctx, job.RecordKey(id))
	if err == nil {
		return stillOpen, kv.Rev, nil
	}
	if !errors.Is(err, statekv.ErrNotFound) {
		return "", 0, err
	}
	r, err := tombstone.Read(ctx, p.store, []statekv.Compare{p.member.Fence()}, id)
	if err != nil {
		return "", 0, err
	}
	return r.Status, 0, nil
}
