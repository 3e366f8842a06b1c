package integration

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// invalidSubmission is an edit that makes a submission invalid, and the status code of its
// rejection.
type invalidSubmission struct {
	name string
	code int
	edit func(fields map[string]any)
}

// setField returns an edit that sets a field.
func setField(field string, value any) func(fields map[string]any) {
	return func(fields map[string]any) { fields[field] = value }
}

// malformedFields returns submissions with a field that is missing or has an invalid type or
// amount.
func malformedFields() (out []invalidSubmission) {
	required := []string{
		"id", "job_class", "owner", "shape", "rank", "pieces", "cpus", "gpus", "mem_gb", "bundle", "pull_gb",
		"one_zone", "spread", "loaners", "guess_s", "snapshot_every_s", "snapshot_s",
	}
	for _, field := range required {
		out = append(out,
			invalidSubmission{field + " is missing", 400, func(fields map[string]any) { delete(fields, field) }},
			invalidSubmission{field + " is null", 400, setField(field, nil)},
			invalidSubmission{field + " is a list", 400, setField(field, []int{1})})
	}
	amounts := []string{
		"pieces", "cpus", "gpus", "mem_gb", "pull_gb", "guess_s", "snapshot_every_s", "snapshot_s", "due_s",
	}
	for _, field := range amounts {
		out = append(out,
			invalidSubmission{field + " is negative", 400, setField(field, -1)},
			invalidSubmission{field + " is a word", 400, setField(field, "one")},
			invalidSubmission{field + " is out of range", 400, setField(field, 1e300)})
	}
	for _, field := range []string{"one_zone", "spread", "loaners"} {
		out = append(out, invalidSubmission{field + " is a number", 400, setField(field, 1)})
	}
	return out
}

// invalidValues are submissions with a value that is not allowed or with which the job can never
// run.
var invalidValues = []invalidSubmission{
	{"a fractional number of tasks", 400, setField("pieces", 1.5)},
	{"no tasks", 400, setField("pieces", 0)},
	{"too many tasks", 400, setField("pieces", 100_001)},
	{"an unknown rank", 400, setField("rank", "urgent")},
	{"an unknown shape", 400, setField("shape", "round")},
	{"a malformed id", 400, setField("id", "job-1")},
	{"host_kinds is a word", 400, setField("host_kinds", "box")},
	{"site is a number", 400, setField("site", 1)},
	{"waits_on is a word", 400, setField("waits_on", "wk-1")},
	{"an unknown team", 422, setField("owner", "nobody")},
	{"an unknown machine type", 422, setField("host_kinds", []string{"g9"})},
	{"no machine types", 422, setField("host_kinds", []string{})},
	{"an unknown zone", 422, setField("site", "z")},
	{"too many GPUs for any machine type", 422, setField("gpus", 3)},
	{"over the quota", 422, func(fields map[string]any) {
		fields["owner"], fields["shape"], fields["pieces"] = "full", job.Gang, 7
	}},
	{"dependency on an unknown job", 422, setField("waits_on", []string{"wk-999999"})},
	{"dependency on itself", 422, func(fields map[string]any) { fields["waits_on"] = []any{fields["id"]} }},
}

// changesID reports whether the edit changes or removes the job ID.
func (c *invalidSubmission) changesID() bool {
	return strings.HasPrefix(c.name, "id ")
}

// submitInvalid submits an invalid job to a controller. The job must be rejected, or deferred by
// the restarting controller, and must not be recorded.
func (b *testbed) submitInvalid(host, restarting string, c invalidSubmission) {
	s := arrayJob(b.nextJobID(), 1)
	b.history.RecordInvalidSubmission(s)
	fields := submissionOf(s)
	c.edit(fields)
	code, _ := b.submitOnce(host, s.ID, fields)
	if code != c.code && code != http.StatusServiceUnavailable {
		b.t.Errorf("%s at %s: got status code %d, want %d", c.name, host, code, c.code)
	}
	if code == http.StatusServiceUnavailable && host != restarting {
		b.t.Errorf("%s at %s: got status code 503 from a controller that does not restart", c.name, host)
	}
	if c.code == http.StatusUnprocessableEntity || !c.changesID() {
		if b.queryOnce("host-0", s.ID); b.keyRevision(job.RecordKey(s.ID)) > 0 {
			b.t.Errorf("the invalid job was recorded: %s", c.name)
		}
	}
}

// A submission with a missing or malformed field, or of a job that can never run, must be rejected
// by every controller, including one that has just started, and must never be recorded.
func TestInvalidSubmissionsAreNeverAccepted(t *testing.T) {
	runScenario(t, 44, func(b *testbed) {
		const restarting = "host-1"
		time.Sleep(2 * time.Minute) // until jobs with dependencies are accepted
		for k, c := range slices.Concat(malformedFields(), invalidValues) {
			if k%10 == 0 {
				b.crash(restarting)
				b.start(restarting)
			}
			for _, h := range b.hosts {
				b.submitInvalid(h, restarting, c)
			}
		}
		s := arrayJob(b.nextJobID(), 1)
		if !b.submit("", s, time.Second) {
			b.t.Fatal("the valid job was not accepted")
		}
		time.Sleep(20 * time.Second)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}

// Controllers start while the machine types are unknown. They must reject malformed submissions and
// defer all others, without recording or finally rejecting a job. A known job must be recognized.
func TestSubmissionsAreDeferredWhileMachineTypesAreUnknown(t *testing.T) {
	runScenario(t, 45, func(b *testbed) {
		known := arrayJob(b.nextJobID(), 1)
		if !b.submit("host-0", known, time.Hour) {
			b.t.Fatal("the job was not accepted")
		}
		b.waitUntil("the machine types are stored", time.Minute, func() bool {
			return b.keyRevision(statekv.MachineTypesKey) > 0
		})
		b.crashFor(b.hosts, forever)
		b.cloud.SetMachineTypes(nil)
		if _, err := b.state.Txn(b.ctx, nil, []statekv.Op{{Delete: statekv.MachineTypesKey}}); err != nil {
			b.t.Fatal(err)
		}
		for _, h := range b.hosts {
			b.start(h)
		}
		time.Sleep(10 * time.Second)
		for _, h := range b.hosts {
			valid, tooLarge := arrayJob(b.nextJobID(), 1), arrayJob(b.nextJobID(), 1)
			tooLarge.GPUs = 100
			for _, s := range []job.Spec{valid, tooLarge} {
				b.history.RecordSubmission(s)
				if code, _ := b.callAsUser(h, http.MethodPost, "/submissions", submissionOf(s), 5*time.Second); code != 503 {
					b.t.Errorf("%s at %s: got status code %d, want 503", s.ID, h, code)
				}
				if b.keyRevision(job.RecordKey(s.ID)) > 0 {
					b.t.Errorf("%s was recorded while the machine types are unknown", s.ID)
				}
			}
			fields := submissionOf(valid)
			delete(fields, "cpus")
			if code, _ := b.callAsUser(h, http.MethodPost, "/submissions", fields, 5*time.Second); code != 400 {
				b.t.Errorf("submission without a required field at %s: got status code %d, want 400", h, code)
			}
			code, _ := b.submitOnce(h, known.ID, submissionOf(known))
			if code == 400 || code == 422 {
				b.t.Errorf("repeated submission of a known job at %s: got status code %d, want none of 400 and 422",
					h, code)
			}
			b.queryOnce(h, known.ID)
		}
		b.checkNoViolations()
	})
}
