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

// invalidSubmission is what is wrong with a submission, and how it is refused.
type invalidSubmission struct {
	name string
	code int
	edit func(fields map[string]any)
}

// withField is an edit that sets a field.
func withField(field string, value any) func(fields map[string]any) {
	return func(fields map[string]any) { fields[field] = value }
}

// malformedFields lists submissions with a field that is missing or of another kind.
func malformedFields() (out []invalidSubmission) {
	required := []string{
		"id", "job_class", "owner", "shape", "rank", "pieces", "cpus", "gpus", "mem_gb", "bundle", "pull_gb",
		"one_zone", "spread", "loaners", "guess_s", "snapshot_every_s", "snapshot_s",
	}
	for _, field := range required {
		out = append(out,
			invalidSubmission{field + " is missing", 400, func(fields map[string]any) { delete(fields, field) }},
			invalidSubmission{field + " is null", 400, withField(field, nil)},
			invalidSubmission{field + " is a list", 400, withField(field, []int{1})})
	}
	amounts := []string{
		"pieces", "cpus", "gpus", "mem_gb", "pull_gb", "guess_s", "snapshot_every_s", "snapshot_s", "due_s",
	}
	for _, field := range amounts {
		out = append(out,
			invalidSubmission{field + " is negative", 400, withField(field, -1)},
			invalidSubmission{field + " is a word", 400, withField(field, "one")},
			invalidSubmission{field + " is out of range", 400, withField(field, 1e300)})
	}
	for _, field := range []string{"one_zone", "spread", "loaners"} {
		out = append(out, invalidSubmission{field + " is a number", 400, withField(field, 1)})
	}
	return out
}

// invalidValues are submissions with a value that is none, or with which the job never runs.
var invalidValues = []invalidSubmission{
	{"half a task", 400, withField("pieces", 1.5)},
	{"no task", 400, withField("pieces", 0)},
	{"too many tasks", 400, withField("pieces", 100_001)},
	{"an unknown rank", 400, withField("rank", "urgent")},
	{"an unknown shape", 400, withField("shape", "round")},
	{"a malformed id", 400, withField("id", "job-1")},
	{"host_kinds is a word", 400, withField("host_kinds", "box")},
	{"site is a number", 400, withField("site", 1)},
	{"waits_on is a word", 400, withField("waits_on", "wk-1")},
	{"an unknown team", 422, withField("owner", "nobody")},
	{"an unknown type", 422, withField("host_kinds", []string{"g9"})},
	{"no type", 422, withField("host_kinds", []string{})},
	{"an unknown zone", 422, withField("site", "z")},
	{"too large", 422, withField("gpus", 3)},
	{"over the quota", 422, func(fields map[string]any) {
		fields["owner"], fields["shape"], fields["pieces"] = "full", job.Gang, 7
	}},
	{"depends on an unknown job", 422, withField("waits_on", []string{"wk-999999"})},
	{"depends on itself", 422, func(fields map[string]any) { fields["waits_on"] = []any{fields["id"]} }},
}

// changesID reports whether a submission is of another job, or of none.
func (c *invalidSubmission) changesID() bool {
	return strings.HasPrefix(c.name, "id ")
}

// submitInvalid submits what is invalid at a controller: it must be refused, or put off by
// the one that restarts, and not be recorded.
func (b *testbed) submitInvalid(host, restarting string, c invalidSubmission) {
	s := arrayJob(b.nextJobID(), 1)
	b.history.RecordInvalidSubmission(s)
	fields := submissionOf(s)
	c.edit(fields)
	code, _ := b.submitOnce(host, s.ID, fields)
	if code != c.code && code != http.StatusServiceUnavailable {
		b.t.Errorf("%s at %s: %d", c.name, host, code)
	}
	if code == http.StatusServiceUnavailable && host != restarting {
		b.t.Errorf("%s at %s, which is well, is put off", c.name, host)
	}
	if c.code == http.StatusUnprocessableEntity || !c.changesID() {
		if b.queryOnce("host-0", s.ID); b.keyRevision(job.RecordKey(s.ID)) > 0 {
			b.t.Errorf("%s was recorded", c.name)
		}
	}
}

// A submission that lacks a field, has one of another kind, or can never run is refused at
// every controller, also by one that has just begun, and is never recorded.
func TestInvalidSubmissionsAreNeverAccepted(t *testing.T) {
	runScenario(t, 44, func(b *testbed) {
		const restarting = "host-1"
		time.Sleep(2 * time.Minute) // jobs that depend on others are accepted
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
			b.t.Fatal("a valid one is not accepted")
		}
		time.Sleep(20 * time.Second)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}

// Controllers begin while nobody knows the machine types: what is malformed is refused, and
// nothing else is decided, neither refused for good nor recorded. A known job is known.
func TestSubmissionsAreDeferredWhileMachineTypesAreUnknown(t *testing.T) {
	runScenario(t, 45, func(b *testbed) {
		known := arrayJob(b.nextJobID(), 1)
		if !b.submit("host-0", known, time.Hour) {
			b.t.Fatal("not accepted")
		}
		b.waitUntil("types are kept", time.Minute, func() bool { return b.keyRevision(statekv.MachineTypesKey) > 0 })
		b.stopFor(b.hosts, never)
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
					b.t.Errorf("%s at %s: %d", s.ID, h, code)
				}
				if b.keyRevision(job.RecordKey(s.ID)) > 0 {
					b.t.Errorf("%s was recorded", s.ID)
				}
			}
			fields := submissionOf(valid)
			delete(fields, "cpus")
			if code, _ := b.callAsUser(h, http.MethodPost, "/submissions", fields, 5*time.Second); code != 400 {
				b.t.Errorf("one that lacks a field at %s: %d", h, code)
			}
			code, _ := b.submitOnce(h, known.ID, submissionOf(known))
			if code == 400 || code == 422 {
				b.t.Errorf("a known job, submitted again at %s: %d", h, code)
			}
			b.queryOnce(h, known.ID)
		}
		b.checkNoViolations()
	})
}
