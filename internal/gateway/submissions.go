package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/gofiber/fiber/v2"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/recovery"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// submissionTimeout bounds the handling of a submission. It leaves time to respond before the
// user's time-out of 5 s.
const submissionTimeout = 3500 * time.Millisecond

// submit handles a job submission. Submissions are idempotent: a new job is answered with 201, a
// known one with 200 and its status.
func (g *Gateway) submit(c *fiber.Ctx) error {
	spec, err := job.ParseSpec(c.Body())
	if err != nil {
		return &requestError{malformed, err.Error()}
	}
	types := g.catalogue.Types()
	components := g.components.Load()
	if components == nil || len(types) == 0 {
		return errStarting
	}
	ctx, cancel := context.WithTimeout(c.Context(), submissionTimeout)
	defer cancel()
	if final, ok := g.CachedTombstone(spec.ID); ok {
		return c.JSON(finalStatus(spec.ID, final))
	}
	if components.isolated(time.Now()) {
		return errIsolated
	}
	if _, open := components.Mirror.Get(job.RecordKey(spec.ID)); open {
		// A transaction whose compares fail still counts against the write limit, so a known job is
		// recognized without one.
		return g.respondKnownJob(ctx, c, spec.ID)
	}
	accepted, err := g.planAcceptance(ctx, components, spec, types)
	if err != nil {
		return g.rejectUnlessKnown(ctx, c, spec.ID, err)
	}
	rev, err := writeIdempotent(ctx, components.Session, accepted.compares, accepted.ops)
	if errors.Is(err, statekv.ErrRejected) {
		return &requestError{retryElsewhere, "the state service does not take it now"}
	}
	if err != nil {
		// A conflict means that the job is known, or that the session, the ownership of the job
		// shard or the cluster version has changed. Without an answer, the job may have been
		// written.
		return g.respondKnownJob(ctx, c, spec.ID)
	}
	components.Scheduler.OnJobAccepted(accepted.record, rev)
	components.RecoveryTimeline.Record(recovery.StepSubmissionAccepted)
	logAccepted(accepted.record)
	return c.Status(fiber.StatusCreated).JSON(jobStatus{ID: spec.ID, Status: job.Queued})
}

func logAccepted(record *job.Record) {
	spec := &record.Spec
	slog.Info(
		logline.JobAccepted,
		"job", spec.ID,
		"class", spec.Class,
		"team", spec.Team,
		"tasks", spec.Tasks,
		"gpus", spec.GPUs,
		"deadline_s", spec.RelativeDeadline().Seconds(),
		"job_shard", record.JobShard,
		"dependencies", len(spec.WaitsOn),
	)
}

// acceptance is the transaction that accepts a job.
type acceptance struct {
	record   *job.Record
	compares []statekv.Compare
	ops      []statekv.Op
}

// planAcceptance checks whether a new job can be accepted and builds the transaction for it. A
// permanent error applies only if the job is not known already, which the caller has to check.
func (g *Gateway) planAcceptance(
	ctx context.Context, components *Components, spec *job.Spec, types map[string]cloud.MachineType,
) (*acceptance, error) {
	if reason := spec.UnschedulableReason(types, g.settings.Teams); reason != "" {
		return nil, &requestError{unschedulable, reason}
	}
	jobShard, epoch, ok := components.Scheduler.OwnJobShard()
	if !ok {
		return nil, errStarting
	}
	a := &acceptance{
		record: &job.Record{Spec: *spec, JobShard: jobShard, SubmittedMS: time.Now().UnixMilli()},
		compares: append(
			tombstone.AbsentCompares(spec.ID),
			statekv.Compare{Key: job.RecordKey(spec.ID)},
			statekv.Compare{Key: statekv.JobShardPrefix + jobShard, Rev: epoch},
		),
	}
	if err := g.addFeatureGatedParts(components, a); err != nil {
		return nil, err
	}
	if err := g.checkDependencies(ctx, components, spec); err != nil {
		return nil, err
	}
	a.ops = append(a.ops, statekv.Op{Set: job.RecordKey(spec.ID), Value: a.record})
	return a, nil
}

// addFeatureGatedParts handles jobs that require the dependencies feature: jobs with dependencies,
// and jobs whose record exceeds the value limit, so that the spec is split into fragments. A
// controller without the feature would start a job with dependencies at once, and could not read a
// split spec. The transaction therefore also requires that the cluster version is unchanged,
// because that version keeps such controllers out.
func (g *Gateway) addFeatureGatedParts(components *Components, a *acceptance) error {
	limits := g.settings.StateLimits
	exceedsLimit := a.record.ExceedsLimit(limits.MaxValueBytes)
	if !exceedsLimit && len(a.record.Spec.WaitsOn) == 0 {
		return nil
	}
	version, versionUnchanged := components.ClusterVersion.Current()
	if !version.Accepts(rollout.FeatureDependencies) {
		return &requestError{unavailable, "not all controllers know jobs that wait for others yet"}
	}
	a.compares = append(a.compares, versionUnchanged)
	if !exceedsLimit {
		return nil
	}
	fragments, err := a.record.SplitSpec(limits.MaxValueBytes, limits.MaxTxnOps-1)
	if err != nil {
		return &requestError{malformed, "waits_on or host_kinds: " + err.Error()}
	}
	a.ops = fragments
	return nil
}

// rejectUnlessKnown responds to a submission that would be rejected if it were new. The checks
// depend on machine types, teams and quotas, which may have changed since the job was accepted, and
// a known job must never be rejected.
func (g *Gateway) rejectUnlessKnown(ctx context.Context, c *fiber.Ctx, id string, rejection error) error {
	var requestErr *requestError
	if !errors.As(rejection, &requestErr) || !requestErr.permanent() {
		return rejection
	}
	status, err := g.lookup(ctx, id)
	if errors.Is(err, statekv.ErrNotFound) {
		return rejection
	}
	return respondSubmission(c, id, status, err)
}

// respondKnownJob responds to a submission with the current status of its job, which is known or
// may have just been written.
func (g *Gateway) respondKnownJob(ctx context.Context, c *fiber.Ctx, id string) error {
	status, err := g.lookup(ctx, id)
	return respondSubmission(c, id, status, err)
}

// respondSubmission responds with the result of a lookup of the submitted job.
func respondSubmission(c *fiber.Ctx, id string, status jobStatus, err error) error {
	if err != nil {
		return submissionOutcomeUnknown(id, err)
	}
	return c.JSON(status)
}

// submissionOutcomeUnknown logs err and returns the error for a submission whose outcome is
// unknown.
func submissionOutcomeUnknown(id string, err error) error {
	slog.Debug("submission outcome unknown", "job", id, "err", err)
	return errOutcomeUnknown
}
