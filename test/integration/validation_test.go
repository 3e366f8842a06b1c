package integration

import (
	"net/http"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// A submission that lacks a field, has one of another kind, or can never run is refused at
// every controller, also by one that has just begun, and is never recorded.
func TestInvalidSubmissionsAreNeverAccepted(t *testing.T) {
	runScenario(t, 44, func(b *testbed) {
		type invalid struct {
			what string
			code int
			edit func(fields map[string]any)
		}
		var all []invalid
		for _, field := range []string{"id", "job_class", "owner", "shape", "rank", "pieces", "cpus", "gpus", "mem_gb", "bundle", "pull_gb", "one_zone", "spread", "loaners", "guess_s", "snapshot_every_s", "snapshot_s"} {
			all = append(all, invalid{field + " is missing", 400, func(fields map[string]any) { delete(fields, field) }},
				invalid{field + " is null", 400, func(fields map[string]any) { fields[field] = nil }},
				invalid{field + " is a list", 400, func(fields map[string]any) { fields[field] = []int{1} }})
		}
		for _, field := range []string{"pieces", "cpus", "gpus", "mem_gb", "pull_gb", "guess_s", "snapshot_every_s", "snapshot_s", "due_s"} {
			all = append(all, invalid{field + " is negative", 400, func(fields map[string]any) { fields[field] = -1 }}, invalid{field + " is a word", 400, func(fields map[string]any) { fields[field] = "one" }},
				invalid{field + " is out of range", 400, func(fields map[string]any) { fields[field] = 1e300 }})
		}
		for _, field := range []string{"one_zone", "spread", "loaners"} {
			all = append(all, invalid{field + " is a number", 400, func(fields map[string]any) { fields[field] = 1 }})
		}
		set := func(field string, v any) func(fields map[string]any) {
			return func(fields map[string]any) { fields[field] = v }
		}
		all = append(all, invalid{"half a task", 400, set("pieces", 1.5)}, invalid{"no task", 400, set("pieces", 0)}, invalid{"too many tasks", 400, set("pieces", 100_001)},
			invalid{"a rank that is none", 400, set("rank", "urgent")}, invalid{"a shape that is none", 400, set("shape", "round")}, invalid{"a form of id that is none", 400, set("id", "job-1")},
			invalid{"host_kinds is a word", 400, set("host_kinds", "box")}, invalid{"site is a number", 400, set("site", 1)}, invalid{"waits_on is a word", 400, set("waits_on", "wk-1")},
			invalid{"an unknown team", 422, set("owner", "nobody")}, invalid{"an unknown type", 422, set("host_kinds", []string{"g9"})}, invalid{"no type", 422, set("host_kinds", []string{})},
			invalid{"an unknown zone", 422, set("site", "z")}, invalid{"too large", 422, set("gpus", 3)}, invalid{"over the limit", 422, func(fields map[string]any) { fields["owner"], fields["shape"], fields["pieces"] = "full", job.Gang, 7 }},
			invalid{"waits for none", 422, set("waits_on", []string{"wk-999999"})}, invalid{"waits for itself", 422, func(fields map[string]any) { fields["waits_on"] = []any{fields["id"]} }})
		send := func(host string, c invalid) {
			s := arrayJob(b.nextJobID(), 1)
			b.history.RecordInvalidSubmission(s)
			fields := submissionOf(s)
			c.edit(fields)
			code, _ := b.submitOnce(host, s.ID, fields)
			if code != c.code && code != 503 {
				b.t.Errorf("%s at %s: %d", c.what, host, code)
			}
			if code == 503 && host != "host-1" {
				b.t.Errorf("%s at %s, which is well, is put off", c.what, host)
			}
			if c.code == 422 || c.what[:2] != "id" {
				if b.queryOnce("host-0", s.ID); b.keyRevision(job.RecordKey(s.ID)) > 0 {
					b.t.Errorf("%s was recorded", c.what)
				}
			}
		}
		time.Sleep(2 * time.Minute) // jobs that wait for others are accepted
		for k, c := range all {
			if k%10 == 0 {
				b.crash("host-1")
				b.start("host-1")
			}
			for _, h := range b.hosts {
				send(h, c)
			}
		}
		s := arrayJob(b.nextJobID(), 1)
		if !b.submit("", s, time.Second) {
			b.t.Fatal("one that is well is not accepted")
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
			good, unfit := arrayJob(b.nextJobID(), 1), arrayJob(b.nextJobID(), 1)
			unfit.GPUs = 100
			for _, s := range []job.Spec{good, unfit} {
				b.history.RecordSubmission(s)
				if code, _ := b.callAsUser(h, http.MethodPost, "/submissions", submissionOf(s), 5*time.Second); code != 503 {
					b.t.Errorf("%s at %s: %d", s.ID, h, code)
				}
				if b.keyRevision(job.RecordKey(s.ID)) > 0 {
					b.t.Errorf("%s was recorded", s.ID)
				}
			}
			fields := submissionOf(good)
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
